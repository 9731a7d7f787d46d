#include "peers/held_part_directory.h"

#include <utility>

namespace corianderpost {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// About 3 MB.
constexpr std::size_t kMaxRecords = 32'768;
// Bounds the memory of searches.
constexpr std::size_t kMaxSearches = 4096;
// Requests are sent again after the first time. A search ends after the second
// one, whether all routers have replied or not.
constexpr Duration kResendAfter = milliseconds(100);
constexpr Duration kSearchTime = milliseconds(250);
constexpr Duration kHousekeepingInterval = seconds(1);

}  // namespace

HeldPartDirectory::HeldPartDirectory(KeeperSelection& keepers, Sender send,
                                     std::uint32_t last_request_id)
    : keepers_(keepers),
      send_(std::move(send)),
      records_(kMaxRecords),
      last_request_id_(last_request_id) {}

void HeldPartDirectory::RecordHeld(TimePoint now, const TargetEntry& target,
                                   const std::vector<PromptPart>& parts) {
  keepers_.Refresh(now);
  const ServiceId service = ServiceId::FromName(target.service);
  const VersionId version = VersionId::FromName(target.version);
  std::map<std::string, HeldPartBatch> batches;
  for (const PromptPart& part : parts) {
    const HeldPartRecord record = {StreamKey::OfPart(service, part.id),
                                   part.tokens};
    records_.Add(now, record.key, {version, record.tokens, false});
    for (const std::string& it : keepers_.Keepers(record.key)) {
      HeldPartBatch& batch =
          batches.try_emplace(it, HeldPartBatch{version, {}}).first->second;
      batch.parts.push_back(record);
      if (batch.parts.size() >= kMaxPartsPerBatch) {
        send_(it, std::exchange(batch, {version, {}}));
      }
    }
  }
  for (const auto& [vm, batch] : batches) {
    if (!batch.parts.empty()) {
      send_(vm, batch);
    }
  }
}

void HeldPartDirectory::Find(TimePoint now, const StreamKey& key,
                             Callback callback) {
  Search search{key,
                std::move(callback),
                {},
                now + kResendAfter,
                now + kSearchTime,
                records_.Find(now, key)};
  if (searches_.size() < kMaxSearches) {
    keepers_.Refresh(now);
    keepers_.AddPossibleKeepers(key, search.asked);
  }
  if (search.asked.empty()) {
    search.callback(search.found);
    return;
  }
  const std::uint32_t request_id = ++last_request_id_;
  Ask(search, request_id);
  searches_.insert_or_assign(request_id, std::move(search));
}

void HeldPartDirectory::Ask(const Search& search, std::uint32_t request_id) {
  for (const std::string& it : search.asked) {
    send_(it, HeldPartRequest{request_id, search.key});
  }
}

void HeldPartDirectory::EndSearch(std::uint32_t request_id) {
  // The callback may start another search.
  const auto search = searches_.extract(request_id);
  search.mapped().callback(search.mapped().found);
}

void HeldPartDirectory::Handle(TimePoint now, const HeldPartBatch& batch) {
  for (const HeldPartRecord& it : batch.parts) {
    records_.Add(now, it.key, {batch.version, it.tokens, false});
  }
}

void HeldPartDirectory::Handle(TimePoint now, const std::string& from,
                               const HeldPartRequest& request) {
  send_(from,
        HeldPartReply{request.request_id, records_.Find(now, request.key)});
}

void HeldPartDirectory::Handle(const std::string& from,
                               const HeldPartReply& reply) {
  const auto it = searches_.find(reply.request_id);
  if (it == searches_.end() || it->second.asked.erase(from) == 0) {
    return;
  }
  Search& search = it->second;
  if (reply.holder) {
    search.found =
        search.found ? Merge(*search.found, *reply.holder) : reply.holder;
  }
  if (search.asked.empty()) {
    EndSearch(reply.request_id);
  }
}

void HeldPartDirectory::Tick(TimePoint now) {
  std::vector<std::uint32_t> ended;
  for (auto& [request_id, search] : searches_) {
    if (now >= search.ends_at) {
      ended.push_back(request_id);
    } else if (now >= search.resend_at) {
      search.resend_at = TimePoint::max();
      Ask(search, request_id);
    }
  }
  for (const std::uint32_t request_id : ended) {
    EndSearch(request_id);
  }
  if (now >= next_housekeeping_at_) {
    next_housekeeping_at_ = now + kHousekeepingInterval;
    records_.Expire(now);
  }
}

}  // namespace corianderpost
