#include "decisions/held_part_records.h"

#include <algorithm>

#include "decisions/stream_records.h"

namespace corianderpost {

PartHolders Merge(const PartHolders& a, const PartHolders& b) {
  PartHolders merged = a;
  merged.is_incomplete = a.is_incomplete || b.is_incomplete;
  for (const PartHolder& it : b.by_version) {
    const auto position =
        std::lower_bound(merged.by_version.begin(), merged.by_version.end(), it,
                         [](const PartHolder& x, const PartHolder& y) {
                           return x.version.value() < y.version.value();
                         });
    if (position != merged.by_version.end() &&
        position->version == it.version) {
      position->tokens = std::max(position->tokens, it.tokens);
    } else if (merged.by_version.size() < kMaxPartHolders) {
      merged.by_version.insert(position, it);
    } else {
      merged.is_incomplete = true;
    }
  }
  return merged;
}

PartWriter WriterOf(const PartHolders& holders, std::int64_t min_tokens) {
  if (holders.is_incomplete) {
    return {};
  }
  PartWriter writer;
  for (const PartHolder& it : holders.by_version) {
    if (it.tokens < min_tokens) {
      continue;
    }
    if (writer.version.is_known() || !it.version.is_known()) {
      return {VersionId(), true};
    }
    writer.version = it.version;
  }
  return writer;
}

void HeldPartRecords::Add(TimePoint now, const StreamKey& key,
                          const PartHolder& holder) {
  const TimePoint expires_at = now + kStreamRetention;
  const auto it = records_.find(key);
  if (it != records_.end()) {
    const bool is_expired = now >= it->second.expires_at;
    it->second = {
        Merge(is_expired ? PartHolders() : it->second.holders, {{holder}}),
        expires_at};
  } else if (records_.size() < max_records_) {
    records_.emplace(key, Record{{{holder}}, expires_at});
  } else {
    incomplete_until_ = expires_at;
  }
}

PartHolders HeldPartRecords::Find(TimePoint now, const StreamKey& key) const {
  const auto it = records_.find(key);
  PartHolders holders = it == records_.end() || now >= it->second.expires_at
                            ? PartHolders()
                            : it->second.holders;
  holders.is_incomplete = incomplete_until_ && now < *incomplete_until_;
  return holders;
}

void HeldPartRecords::Expire(TimePoint now) {
  std::erase_if(records_,
                [now](const auto& it) { return now >= it.second.expires_at; });
}

}  // namespace corianderpost
