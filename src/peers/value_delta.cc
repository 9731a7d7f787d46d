#include "peers/value_delta.h"

#include <xxhash.h>

#include <algorithm>
#include <array>

#include "absl/status/status.h"

namespace corianderpost {
namespace {

// Chunks end where a rolling hash of the last bytes has these bits zero, so
// that an insertion moves only the boundaries next to it. Bit N depends on the
// last N + 1 bytes. Chunks are smaller than a route, since new routes may stand
// between the others.
constexpr std::uint64_t kBoundaryMask = std::uint64_t{0x3f} << 16;
constexpr std::size_t kMinChunkBytes = 48;
constexpr std::size_t kMaxChunkBytes = 1024;
// Versions that a receiver may be behind.
constexpr std::size_t kMaxVersions = 4;
// A larger result is refused before memory is allocated for it.
constexpr std::uint64_t kMaxResultBytes = std::uint64_t{16} * 1024 * 1024;

constexpr std::array<std::uint64_t, 256> MakeGearTable() {
  std::array<std::uint64_t, 256> table{};
  std::uint64_t state = 0x9e3779b97f4a7c15;
  for (std::uint64_t& it : table) {
    // SplitMix64.
    state += 0x9e3779b97f4a7c15;
    std::uint64_t z = state;
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9;
    z = (z ^ (z >> 27)) * 0x94d049bb133111eb;
    it = z ^ (z >> 31);
  }
  return table;
}
constexpr std::array<std::uint64_t, 256> kGearTable = MakeGearTable();

// Returns the size of the first chunk of `text`.
std::size_t FirstChunkSize(std::string_view text) {
  if (text.size() <= kMinChunkBytes) {
    return text.size();
  }
  const std::size_t end = std::min(text.size(), kMaxChunkBytes);
  std::uint64_t hash = 0;
  for (std::size_t i = kMinChunkBytes; i < end; ++i) {
    hash = (hash << 1) + kGearTable[static_cast<unsigned char>(text[i])];
    if ((hash & kBoundaryMask) == 0) {
      return i + 1;
    }
  }
  return end;
}

template <typename Callback>
void ForEachChunk(std::string_view value, const Callback& callback) {
  std::uint64_t offset = 0;
  while (!value.empty()) {
    const std::string_view chunk = value.substr(0, FirstChunkSize(value));
    callback(offset, chunk);
    offset += chunk.size();
    value.remove_prefix(chunk.size());
  }
}

// Appends a range of the base, merged with the previous part if that one ends
// where the range begins.
void AppendRange(const CopiedRange& range, std::vector<DeltaPart>& parts) {
  if (!parts.empty()) {
    if (auto* last = std::get_if<CopiedRange>(&parts.back());
        last != nullptr && last->offset + last->size == range.offset) {
      last->size += range.size;
      return;
    }
  }
  parts.emplace_back(range);
}

void AppendBytes(std::string_view bytes, std::vector<DeltaPart>& parts) {
  if (!parts.empty()) {
    if (auto* last = std::get_if<std::string>(&parts.back()); last != nullptr) {
      last->append(bytes);
      return;
    }
  }
  parts.emplace_back(std::string(bytes));
}

}  // namespace

std::uint64_t HashOfValue(std::string_view value) {
  return XXH64(value.data(), value.size(), 0);
}

absl::StatusOr<std::string> ApplyDelta(std::string_view base,
                                       const ValueDelta& delta) {
  if (HashOfValue(base) != delta.base_hash) {
    return absl::FailedPreconditionError(
        "the delta is based on another value than the one at hand");
  }
  std::string result;
  for (const DeltaPart& it : delta.parts) {
    if (const auto* bytes = std::get_if<std::string>(&it)) {
      result.append(*bytes);
      continue;
    }
    const auto& range = std::get<CopiedRange>(it);
    if (range.offset > base.size() || range.size > base.size() - range.offset ||
        result.size() + range.size > kMaxResultBytes) {
      return absl::InvalidArgumentError(
          "the delta copies bytes beyond the end of its base");
    }
    result.append(base.substr(range.offset, range.size));
  }
  if (HashOfValue(result) != delta.result_hash) {
    return absl::InvalidArgumentError(
        "the delta's result does not have the announced hash");
  }
  return result;
}

void ValueHistory::Record(std::string_view value) {
  const std::uint64_t hash = HashOfValue(value);
  newest_hash_ = hash;
  if (std::any_of(versions_.begin(), versions_.end(),
                  [hash](const Version& it) { return it.hash == hash; })) {
    return;
  }
  Version version;
  version.hash = hash;
  ForEachChunk(value, [&](std::uint64_t offset, std::string_view chunk) {
    version.chunks.push_back({HashOfValue(chunk), {offset, chunk.size()}});
    version.index_of_hash.emplace(version.chunks.back().hash,
                                  version.chunks.size() - 1);
  });
  versions_.push_back(std::move(version));
  if (versions_.size() > kMaxVersions) {
    versions_.pop_front();
  }
}

std::optional<ValueDelta> ValueHistory::DeltaTo(
    std::string_view value, const std::vector<std::uint64_t>& bases) const {
  const auto base = std::find_if(
      versions_.begin(), versions_.end(), [&bases](const Version& it) {
        return std::find(bases.begin(), bases.end(), it.hash) != bases.end();
      });
  if (base == versions_.end()) {
    return std::nullopt;
  }
  ValueDelta delta;
  delta.base_hash = base->hash;
  delta.result_hash = HashOfValue(value);
  if (last_delta_ && last_delta_->base_hash == delta.base_hash &&
      last_delta_->result_hash == delta.result_hash) {
    return last_delta_;
  }
  // Index of the chunk after the one that was copied last. It is preferred to
  // others with the same bytes, so that ranges can be merged.
  std::size_t next = 0;
  ForEachChunk(value, [&](std::uint64_t, std::string_view chunk) {
    const std::uint64_t hash = HashOfValue(chunk);
    if (next >= base->chunks.size() || base->chunks[next].hash != hash) {
      const auto it = base->index_of_hash.find(hash);
      if (it == base->index_of_hash.end()) {
        AppendBytes(chunk, delta.parts);
        return;
      }
      next = it->second;
    }
    AppendRange(base->chunks[next].range, delta.parts);
    ++next;
  });
  last_delta_ = delta;
  return delta;
}

}  // namespace corianderpost
