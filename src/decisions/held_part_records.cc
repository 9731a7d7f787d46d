#include "decisions/held_part_records.h"

#include <algorithm>

#include "decisions/stream_records.h"

namespace corianderpost {

PartHolder Merge(const PartHolder& a, const PartHolder& b) {
  const bool is_conflict =
      a.is_conflict || b.is_conflict || !a.version.IsSame(b.version);
  return {is_conflict ? VersionId() : a.version, std::max(a.tokens, b.tokens),
          is_conflict};
}

std::optional<VersionId> WriterOf(const PartHolder& holder,
                                  std::int64_t prompt_tokens) {
  const bool is_writer = !holder.is_conflict && holder.version.is_known() &&
                         holder.tokens > prompt_tokens;
  return is_writer ? std::optional(holder.version) : std::nullopt;
}

void HeldPartRecords::Add(TimePoint now, const StreamKey& key,
                          const PartHolder& holder) {
  const TimePoint expires_at = now + kStreamRetention;
  const auto it = records_.find(key);
  if (it != records_.end()) {
    it->second = {
        now < it->second.expires_at ? Merge(it->second.holder, holder) : holder,
        expires_at};
  } else if (records_.size() < max_records_) {
    records_.emplace(key, Record{holder, expires_at});
  } else {
    incomplete_until_ = expires_at;
  }
}

std::optional<PartHolder> HeldPartRecords::Find(TimePoint now,
                                                const StreamKey& key) const {
  if (incomplete_until_ && now < *incomplete_until_) {
    return PartHolder{VersionId(), 0, true};
  }
  const auto it = records_.find(key);
  return it == records_.end() || now >= it->second.expires_at
             ? std::nullopt
             : std::optional(it->second.holder);
}

void HeldPartRecords::Expire(TimePoint now) {
  std::erase_if(records_,
                [now](const auto& it) { return now >= it.second.expires_at; });
}

}  // namespace corianderpost
