#include "peers/store_reader.h"

#include "runtime/json_log.h"

namespace corianderpost {
namespace {

using internal::Log;
using internal::LogLevel;
using std::chrono::milliseconds;

// A call that takes this much longer than it may wait at the store is lost.
// Slow stores take some hundred milliseconds.
constexpr Duration kCallMargin = milliseconds(900);
// A list's page may be large and the store slow.
constexpr Duration kListTimeout = milliseconds(2000);
constexpr Duration kFirstRetry = milliseconds(150);
constexpr Duration kLongestRetry = milliseconds(800);
constexpr int kMaxDoublings = 3;
// The store is taken for away when it was silent this long.
constexpr Duration kOutage = milliseconds(1000);
// How long after an outage changes may be its effect.
constexpr Duration kSettling = milliseconds(2200);
// A peer is asked this often, once its copy stays newer for a moment.
constexpr Duration kPeerInterval = milliseconds(400);
constexpr Duration kPeerTimeout = milliseconds(800);

}  // namespace

StoreReader::StoreReader(StoreReaderOptions options,
                         const StoreProtocol& protocol, Fetcher& fetcher,
                         const Clock& clock, Listener listener)
    : options_(std::move(options)),
      protocol_(protocol),
      fetcher_(fetcher),
      clock_(clock),
      listener_(std::move(listener)),
      answered_at_(clock.Now()),
      began_at_(clock.Now()) {}

void StoreReader::Restart() {
  ++run_;
  is_busy_ = false;
  next_at_ = TimePoint();
}

bool StoreReader::IsAfterOutage(TimePoint now) const {
  return now < outage_until_;
}

void StoreReader::NoteAdvance(TimePoint now) {
  if (now - advanced_at_ > options_.wait + kOutage && mirror_.is_filled()) {
    outage_until_ = now + kSettling;
    Log(LogLevel::kInfo, "store answers again",
        {{"prefix", options_.prefix},
         {"away_ms",
          std::chrono::duration_cast<milliseconds>(now - advanced_at_)
              .count()}});
  }
  advanced_at_ = now;
}

void StoreReader::TakeAnswer() {
  const TimePoint now = clock_.Now();
  if (failures_ > 0) {
    outage_until_ = now + kSettling;
  }
  NoteAdvance(now);
  answered_at_ = now;
  failures_ = 0;
}

void StoreReader::Fail(const std::string& reason) {
  if (failures_ == 0) {
    Log(LogLevel::kWarning, "store call failed",
        {{"prefix", options_.prefix}, {"reason", reason}});
  }
  Duration retry = kFirstRetry;
  for (int i = 0; i < std::min(failures_, kMaxDoublings); ++i) {
    retry = std::min(2 * retry, kLongestRetry);
  }
  ++failures_;
  is_busy_ = false;
  next_at_ = clock_.Now() + retry;
}

void StoreReader::List(const std::string& after) {
  fetcher_.Get(options_.address, protocol_.RangeCall(options_.prefix, after),
               kListTimeout, [this, run = run_](const FetchResult& result) {
                 if (run != run_) {
                   return;
                 }
                 auto batch = result.status == 200
                                  ? protocol_.DecodeBatch(result.body)
                                  : absl::UnavailableError(
                                        std::to_string(result.status));
                 if (!batch.ok()) {
                   Fail(std::string(batch.status().message()));
                   return;
                 }
                 TakeList(*std::move(batch));
               });
}

void StoreReader::TakeList(StoreBatch batch) {
  const bool has_more = batch.has_more && !batch.items.empty();
  const bool is_first = listing_.items.empty();
  // Pages are no snapshot: what changed since the first comes by the watch.
  if (is_first) {
    listing_.store_revision = batch.store_revision;
  }
  listing_.items.insert(listing_.items.end(), batch.items.begin(),
                        batch.items.end());
  if (has_more) {
    List(listing_.items.back().key);
    return;
  }
  TakeAnswer();
  is_busy_ = false;
  must_list_ = false;
  const std::vector<StoreItem> changes =
      mirror_.Replace(std::exchange(listing_, {}));
  Log(LogLevel::kInfo, "store listed",
      {{"prefix", options_.prefix},
       {"revision", mirror_.revision()},
       {"changes", changes.size()}});
  listener_(changes, IsAfterOutage(clock_.Now()));
}

void StoreReader::Watch() {
  fetcher_.Get(
      options_.address,
      protocol_.WatchCall(options_.prefix, mirror_.revision(), options_.wait),
      options_.wait + kCallMargin,
      [this, run = run_](const FetchResult& result) {
        if (run != run_) {
          return;
        }
        if (result.status == 410) {
          Log(LogLevel::kInfo, "store dropped its history",
              {{"prefix", options_.prefix}});
          TakeAnswer();
          outage_until_ = clock_.Now() + kSettling;
          must_list_ = true;
          is_busy_ = false;
          return;
        }
        auto batch =
            result.status == 200
                ? protocol_.DecodeBatch(result.body)
                : absl::UnavailableError(std::to_string(result.status));
        if (!batch.ok()) {
          Fail(std::string(batch.status().message()));
          return;
        }
        TakeAnswer();
        is_busy_ = false;
        next_at_ = clock_.Now() + options_.pause;
        const std::vector<StoreItem> changes = mirror_.Apply(*batch);
        if (!changes.empty()) {
          listener_(changes, IsAfterOutage(clock_.Now()));
        }
      });
}

void StoreReader::AskPeer(const std::string& peer) {
  is_asking_peer_ = true;
  peer_next_at_ = clock_.Now() + kPeerInterval;
  fetcher_.Get(peer,
               "/mirror?prefix=" + options_.prefix + "&after=" +
                   std::to_string(mirror_.is_filled() ? mirror_.revision() : 0),
               kPeerTimeout, [this, peer](const FetchResult& result) {
                 is_asking_peer_ = false;
                 if (result.status != 200) {
                   return;
                 }
                 const auto batch = protocol_.DecodeBatch(result.body);
                 if (!batch.ok()) {
                   Log(LogLevel::kWarning, "peer's copy can't be read",
                       {{"peer", peer},
                        {"reason", std::string(batch.status().message())}});
                   return;
                 }
                 if (batch->store_revision <= mirror_.revision() ||
                     (!batch->is_snapshot && !mirror_.is_filled())) {
                   return;
                 }
                 NoteAdvance(clock_.Now());
                 const std::vector<StoreItem> changes =
                     batch->is_snapshot ? mirror_.Replace(*batch)
                                        : mirror_.Apply(*batch);
                 // The copy is filled, so a watch may follow it.
                 must_list_ = must_list_ && !mirror_.is_filled();
                 if (!changes.empty()) {
                   Log(LogLevel::kInfo, "copy taken from a peer",
                       {{"prefix", options_.prefix},
                        {"peer", peer},
                        {"revision", mirror_.revision()},
                        {"changes", changes.size()}});
                   listener_(changes, IsAfterOutage(clock_.Now()));
                 }
               });
}

void StoreReader::Tick(TimePoint now, const std::optional<std::string>& peer,
                       bool reads_store) {
  if (!is_busy_ && now >= next_at_ && (reads_store || !mirror_.is_filled())) {
    is_busy_ = true;
    if (must_list_) {
      listing_ = {};
      List("");
    } else {
      Watch();
    }
  }
  if (peer && !is_asking_peer_ && now >= peer_next_at_) {
    AskPeer(*peer);
  }
}

}  // namespace corianderpost
