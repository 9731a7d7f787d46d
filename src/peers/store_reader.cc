#include "peers/store_reader.h"

#include <algorithm>

#include "absl/strings/str_join.h"
#include "peers/replica_batch.h"
#include "runtime/json_log.h"

namespace corianderpost {
namespace {

using internal::Log;
using internal::LogLevel;
using std::chrono::milliseconds;

// The head of a watch's response is late if it comes this long after the store
// should have responded. Slow stores need several hundred milliseconds.
constexpr Duration kWatchTimeoutMargin = milliseconds(900);
// A page may be large and the store slow.
constexpr Duration kPageTimeout = milliseconds(1500);
// Limits on the transfer of a response, which may have to share a narrow link.
constexpr Duration kStoreProgressTimeout = milliseconds(1000);
constexpr Duration kStoreTransferTimeout = milliseconds(8000);
// Larger steps between the eras of two responses are implausible.
constexpr std::uint64_t kMaxEraStep = 1000;
// Keys named in the line on a restored store.
constexpr std::size_t kMaxLoggedKeys = 8;
constexpr Duration kInitialRetryDelay = milliseconds(150);
constexpr Duration kMaxRetryDelay = milliseconds(800);
constexpr int kMaxRetryDoublings = 3;
// A replica is silent if it had no update for this long, in addition to the
// watch timeout.
constexpr Duration kMinSilence = milliseconds(1000);
// For this long after an outage, changes may be effects of it.
constexpr Duration kOutageSettlingTime = milliseconds(2200);
// Another peer is asked if one does not begin to respond within this time.
constexpr FetchTimeouts kPeerTimeouts = {milliseconds(500), milliseconds(500),
                                         milliseconds(3000)};

std::int64_t ToMilliseconds(Duration duration) {
  return std::chrono::duration_cast<milliseconds>(duration).count();
}

// Whether a failed request got no response because of its connection, while the
// store may have served others: connections may become silent for good, or be
// reset, one by one.
bool MayBeConnectionFailure(const FetchResult& result) {
  return result.status == 0 &&
         (result.used_kept_connection || result.head_at != TimePoint());
}

}  // namespace

StoreReader::StoreReader(StoreReaderOptions options,
                         const StoreProtocol& protocol, Fetcher& fetcher,
                         const Clock& clock, ChangeHandler change_handler)
    : options_(std::move(options)),
      protocol_(protocol),
      fetcher_(fetcher),
      clock_(clock),
      change_handler_(std::move(change_handler)) {}

void StoreReader::Restart() {
  ++generation_;
  is_store_request_pending_ = false;
  pending_watch_.reset();
  next_request_at_ = TimePoint();
}

bool StoreReader::WasSilent(TimePoint now) const {
  return replica_.is_loaded() &&
         now - updated_at_ > options_.watch_timeout + kMinSilence;
}

void StoreReader::RecordUpdate(TimePoint now) {
  if (WasSilent(now)) {
    // Not taken for an outage of the store: this router may have been late.
    Log(LogLevel::kInfo,
        "store replica updated again after a long time without updates",
        {{"prefix", options_.prefix},
         {"away_ms", ToMilliseconds(now - updated_at_)}});
  }
  updated_at_ = now;
}

void StoreReader::RecordPeerUpdate(const StoreBatch& batch) {
  const TimePoint now = clock_.Now();
  if (batch.outage_effects) {
    outage_effects_until_ =
        std::max(outage_effects_until_,
                 now + std::min(*batch.outage_effects, kOutageSettlingTime));
  } else if (WasSilent(now)) {
    // A peer of an earlier version doesn't tell whether there was an outage.
    outage_effects_until_ = now + kOutageSettlingTime;
  }
  RecordUpdate(now);
}

void StoreReader::RecordStoreResponse() {
  const TimePoint now = clock_.Now();
  if (std::exchange(was_store_away_, false)) {
    outage_effects_until_ = now + kOutageSettlingTime;
  }
  RecordUpdate(now);
  store_responded_at_ = now;
  consecutive_failures_ = 0;
}

void StoreReader::HandleFailure(const FetchResult& result,
                                const std::string& reason) {
  const bool may_be_connection = MayBeConnectionFailure(result);
  if (consecutive_failures_ == 0 || (!may_be_connection && !was_store_away_)) {
    Log(LogLevel::kWarning, "store request failed",
        {{"prefix", options_.prefix},
         {"reason", reason},
         {"kept_connection", result.used_kept_connection},
         {"had_head", result.head_at != TimePoint()},
         {"after_ms", ToMilliseconds(result.ended_at - result.called_at)}});
  }
  was_store_away_ = was_store_away_ || !may_be_connection;
  Duration delay = kInitialRetryDelay;
  for (int i = 0; i < std::min(consecutive_failures_, kMaxRetryDoublings);
       ++i) {
    delay = std::min(2 * delay, kMaxRetryDelay);
  }
  ++consecutive_failures_;
  is_store_request_pending_ = false;
  // A new connection tells whether the store serves.
  next_request_at_ =
      clock_.Now() +
      (result.used_kept_connection && may_be_connection ? Duration(0) : delay);
}

void StoreReader::LogReceived(const FetchResult& result,
                              const std::string& source,
                              const StoreBatch& batch,
                              TimePoint decoded_at) const {
  if (!options_.logs_changes || batch.items.empty()) {
    return;
  }
  Log(LogLevel::kInfo, "store changes received",
      {{"prefix", options_.prefix},
       {"source", source},
       {"era", batch.era},
       {"revision", batch.store_revision},
       {"items", batch.items.size()},
       {"bytes", result.body.size()},
       {"head_after_ms", ToMilliseconds(result.head_at - result.called_at)},
       {"transfer_ms", ToMilliseconds(result.ended_at - result.head_at)},
       {"decode_ms", ToMilliseconds(decoded_at - result.ended_at)}});
}

void StoreReader::FetchPage(const std::string& after) {
  fetcher_.Get(options_.address, protocol_.RangePath(options_.prefix, after),
               {kPageTimeout, kStoreProgressTimeout, kStoreTransferTimeout},
               [this, generation = generation_](const FetchResult& result) {
                 if (generation != generation_) {
                   return;
                 }
                 auto batch = result.status == 200
                                  ? protocol_.DecodeBatch(result.body)
                                  : absl::UnavailableError(
                                        std::to_string(result.status));
                 if (!batch.ok()) {
                   HandleFailure(result, std::string(batch.status().message()));
                   return;
                 }
                 batch->era = EraOf(result);
                 LogReceived(result, "store", *batch, clock_.Now());
                 HandlePage(*std::move(batch), result);
               });
}

void StoreReader::HandlePage(StoreBatch batch, const FetchResult& result) {
  const bool has_more = batch.has_more && !batch.items.empty();
  const bool is_first = partial_snapshot_.items.empty();
  // Items may change between pages, so the snapshot is complete only as of the
  // first page's revision. The watch then delivers the later changes.
  if (is_first) {
    partial_snapshot_.store_revision = batch.store_revision;
    partial_snapshot_.era = batch.era;
  } else if (batch.era != partial_snapshot_.era) {
    HandleFailure(result, "the store was restored while a snapshot was read");
    return;
  }
  partial_snapshot_.items.insert(partial_snapshot_.items.end(),
                                 batch.items.begin(), batch.items.end());
  if (has_more) {
    FetchPage(partial_snapshot_.items.back().key);
    return;
  }
  const StoreBatch snapshot = std::exchange(partial_snapshot_, {});
  if (replica_.IsOlder(snapshot)) {
    RejectOlder(result, snapshot.position());
    return;
  }
  RecordStoreResponse();
  is_store_request_pending_ = false;
  needs_snapshot_ = false;
  const std::vector<StoreItem> changes = ApplySnapshot(snapshot);
  confirmation_ = {result.called_at, clock_.Now()};
  Log(LogLevel::kInfo, "store snapshot read",
      {{"prefix", options_.prefix},
       {"era", replica_.era()},
       {"revision", replica_.revision()},
       {"changes", changes.size()}});
  change_handler_(changes, OutageEffects(clock_.Now()));
}

std::uint64_t StoreReader::EraOf(const FetchResult& result) const {
  const std::uint64_t era = protocol_.DecodeEra(result.fields);
  const std::uint64_t known = replica_.era();
  // An implausible era would make all later ones look older.
  return known != 0 && era > known + kMaxEraStep ? 0 : era;
}

std::vector<StoreItem> StoreReader::ApplySnapshot(const StoreBatch& snapshot) {
  const bool is_new_era = replica_.IsOfNewEra(snapshot);
  const StorePosition former = replica_.position();
  std::vector<StoreItem> changes = replica_.ApplySnapshot(snapshot);
  if (is_new_era) {
    outage_effects_until_ = clock_.Now() + kOutageSettlingTime;
  }
  // A replica without an era is replaced even if it only lacks the era.
  if (is_new_era &&
      (former.era != 0 || replica_.revision() < former.revision)) {
    ++restore_count_;
    nlohmann::json retained = nlohmann::json::array();
    for (const auto& [key, item] : replica_.retained()) {
      if (retained.size() < kMaxLoggedKeys) {
        retained.push_back(key);
      }
    }
    Log(LogLevel::kWarning,
        "store was restored from an older copy; keeping what it lacks until "
        "that is written again",
        {{"prefix", options_.prefix},
         {"former_era", former.era},
         {"former_revision", former.revision},
         {"era", replica_.era()},
         {"revision", replica_.revision()},
         {"changes", changes.size()},
         {"retained", replica_.retained().size()},
         {"retained_keys", std::move(retained)}});
  }
  return changes;
}

void StoreReader::RejectOlder(const FetchResult& result,
                              const StorePosition& position) {
  Log(LogLevel::kWarning, "response of the store is older than the replica",
      {{"prefix", options_.prefix},
       {"response_era", position.era},
       {"response_revision", position.revision},
       {"era", replica_.era()},
       {"revision", replica_.revision()}});
  HandleFailure(result, "the response is older than the replica");
}

void StoreReader::Watch() {
  pending_watch_ =
      fetcher_.Get(options_.address,
                   protocol_.WatchPath(options_.prefix, replica_.revision(),
                                       options_.watch_timeout),
                   {options_.watch_timeout + kWatchTimeoutMargin,
                    kStoreProgressTimeout, kStoreTransferTimeout},
                   [this, generation = generation_](const FetchResult& result) {
                     if (generation != generation_) {
                       return;
                     }
                     pending_watch_.reset();
                     HandleWatchResponse(result);
                   });
}

void StoreReader::HandleWatchResponse(const FetchResult& result) {
  if (result.status == 410) {
    Log(LogLevel::kInfo,
        "store discarded the requested changes; reading a snapshot",
        {{"prefix", options_.prefix}, {"era", EraOf(result)}});
    RecordStoreResponse();
    RequestSnapshot();
    return;
  }
  auto batch = result.status == 200
                   ? protocol_.DecodeBatch(result.body)
                   : absl::UnavailableError(std::to_string(result.status));
  if (!batch.ok()) {
    HandleFailure(result, std::string(batch.status().message()));
    return;
  }
  batch->era = EraOf(result);
  if (replica_.IsOfNewEra(*batch)) {
    // Changes up to the requested revision may be unknown in the new era.
    RequestSnapshot();
    return;
  }
  if (replica_.IsOlder(*batch)) {
    RejectOlder(result, batch->position());
    return;
  }
  LogReceived(result, "store", *batch, clock_.Now());
  RecordStoreResponse();
  is_store_request_pending_ = false;
  next_request_at_ = clock_.Now() + options_.watch_pause;
  const std::vector<StoreItem> changes = replica_.ApplyChanges(*batch);
  confirmation_ = {result.called_at, clock_.Now()};
  if (!changes.empty()) {
    change_handler_(changes, OutageEffects(clock_.Now()));
  }
}

void StoreReader::RequestSnapshot() {
  needs_snapshot_ = true;
  is_store_request_pending_ = false;
  next_request_at_ = clock_.Now() + kInitialRetryDelay;
}

void StoreReader::RestartWatch() {
  if (pending_watch_) {
    fetcher_.Cancel(*pending_watch_);
    pending_watch_.reset();
    Restart();
  }
}

void StoreReader::FetchFromPeer(const std::string& peer) {
  is_peer_request_pending_ = true;
  next_peer_request_at_ = clock_.Now() + options_.peer_request_interval;
  std::string path =
      "/mirror?format=binary&prefix=" + options_.prefix +
      "&era=" + std::to_string(replica_.era()) + "&after=" +
      std::to_string(replica_.is_loaded() ? replica_.revision() : 0);
  if (!needs_whole_values_) {
    path += "&bases=" + absl::StrJoin(replica_.LargeValueHashes(), ",");
  }
  fetcher_.Get(peer, path, kPeerTimeouts,
               [this, peer](const FetchResult& result) {
                 is_peer_request_pending_ = false;
                 HandlePeerResponse(peer, result);
               });
}

absl::StatusOr<StoreBatch> StoreReader::DecodePeerBatch(
    const std::string& body) const {
  return body.starts_with("{") ? protocol_.DecodeBatch(body)
                               : DecodeReplicaBatch(body, replica_);
}

bool StoreReader::IsNews(const StoreBatch& batch) const {
  if (!replica_.is_loaded()) {
    // A peer that has just started has nothing yet.
    return batch.is_snapshot && batch.store_revision > 0;
  }
  if (replica_.IsOfNewEra(batch)) {
    return batch.is_snapshot;
  }
  // A peer of an earlier version states no era. It may be of a former one.
  return batch.era == replica_.era() &&
         batch.store_revision > replica_.revision();
}

void StoreReader::HandlePeerResponse(const std::string& peer,
                                     const FetchResult& result) {
  if (result.status != 200) {
    ++peer_failures_;
    // One line for each series if the prefix changes often.
    if (options_.logs_changes || peer_failures_ == 1) {
      Log(LogLevel::kWarning, "request to a peer failed",
          {{"prefix", options_.prefix},
           {"peer", peer},
           {"status", result.status},
           {"had_head", result.head_at != TimePoint()},
           {"after_ms", ToMilliseconds(result.ended_at - result.called_at)}});
    }
    return;
  }
  const auto batch = DecodePeerBatch(result.body);
  needs_whole_values_ = absl::IsFailedPrecondition(batch.status());
  if (!batch.ok()) {
    ++peer_failures_;
    Log(LogLevel::kWarning, "invalid replica from a peer ignored",
        {{"peer", peer}, {"reason", std::string(batch.status().message())}});
    return;
  }
  peer_failures_ = 0;
  LogReceived(result, peer, *batch, clock_.Now());
  const std::uint64_t old_content = replica_.content_revision();
  const std::uint64_t old_era = replica_.era();
  std::vector<StoreItem> changes;
  if (IsNews(*batch)) {
    RecordPeerUpdate(*batch);
    changes = batch->is_snapshot ? ApplySnapshot(*batch)
                                 : replica_.ApplyChanges(*batch);
    confirmation_ = {result.called_at, clock_.Now()};
    // A watch can continue from the position of the replica if its era is
    // known.
    needs_snapshot_ = needs_snapshot_ && replica_.era() == 0;
    if (replica_.era() != old_era) {
      // The pending watch waits for what follows a revision of the former era.
      RestartWatch();
    }
  }
  for (StoreItem& it : replica_.ApplyRetained(batch->retained)) {
    changes.push_back(std::move(it));
  }
  if (changes.empty()) {
    return;
  }
  Log(LogLevel::kInfo, "store replica updated from a peer",
      {{"prefix", options_.prefix},
       {"peer", peer},
       {"era", replica_.era()},
       {"revision", replica_.revision()},
       {"changes", changes.size()},
       {"retained", batch->retained.size()}});
  const bool has_large_change =
      std::any_of(changes.begin(), changes.end(), [&](const StoreItem& it) {
        return it.revision > old_content &&
               it.value.size() >= kMinDeltaValueBytes;
      });
  if (has_large_change) {
    RestartWatch();
  }
  change_handler_(changes, OutageEffects(clock_.Now()));
}

void StoreReader::Tick(TimePoint now, const std::vector<std::string>& peers,
                       bool reads_store) {
  if (!is_store_request_pending_ && now >= next_request_at_ &&
      (reads_store || !replica_.is_loaded())) {
    is_store_request_pending_ = true;
    if (needs_snapshot_) {
      partial_snapshot_ = {};
      FetchPage("");
    } else {
      Watch();
    }
  }
  if (!peers.empty() && !is_peer_request_pending_ &&
      now >= next_peer_request_at_) {
    FetchFromPeer(peers[peer_failures_ % peers.size()]);
  }
}

}  // namespace corianderpost
