// Keeps a store replica up to date from the store, or from a peer that has a
// newer replica, e.g. because the store does not respond to this router.
#ifndef CORIANDERPOST_PEERS_STORE_READER_H_
#define CORIANDERPOST_PEERS_STORE_READER_H_

#include <algorithm>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "corianderpost/clock.h"
#include "dataplane/fetch.h"
#include "peers/store_replica.h"

namespace corianderpost {

// Paths and encoding of the store's read requests; implemented by the
// deployment.
class StoreProtocol {
 public:
  virtual ~StoreProtocol() = default;
  // Lists the items under `prefix` whose keys follow `after`.
  virtual std::string RangePath(std::string_view prefix,
                                std::string_view after) const = 0;
  // Waits for changes under `prefix` after a revision (long poll). Without a
  // change, the store responds after `wait`.
  virtual std::string WatchPath(std::string_view prefix,
                                std::uint64_t after_revision,
                                Duration wait) const = 0;
  // Returns the era of the store that the headers of its response state: it
  // rises each time the store is restored from an older copy. Returns 0 if the
  // headers state none, or no valid one.
  virtual std::uint64_t DecodeEra(const HttpFields& fields) const = 0;
  // Returns InvalidArgumentError if `body` is not a response of the store.
  virtual absl::StatusOr<StoreBatch> DecodeBatch(
      std::string_view body) const = 0;
  virtual std::string EncodeBatch(const StoreBatch& batch) const = 0;
};

struct StoreReaderOptions {
  std::string prefix;
  // "IP:port" of the store.
  std::string address;
  // Time from the response to a watch until the next watch, so that many small
  // changes arrive in one response.
  Duration watch_pause{0};
  // Longest time that the store holds a watch open.
  Duration watch_timeout = std::chrono::milliseconds(1500);
  // Whether each response with changes has a line in the log. Unsuitable for
  // prefixes that change often.
  bool logs_changes = false;
  // Shortest time between the starts of two requests to peers.
  Duration peer_request_interval = std::chrono::milliseconds(400);
};

// Used from the event loop only.
class StoreReader {
 public:
  // Receives the changes. For the time `outage_effects` from now, items may be
  // missing because of an outage of the store; zero if there was none.
  using ChangeHandler = std::function<void(const std::vector<StoreItem>&,
                                           Duration outage_effects)>;

  StoreReader(StoreReaderOptions options, const StoreProtocol& protocol,
              Fetcher& fetcher, const Clock& clock,
              ChangeHandler change_handler);

  // Starts the requests that are due. `peers` are control addresses ("IP:port")
  // of peers that may have a newer replica, the preferred one first; if a
  // request to one fails, the next one is used. With `reads_store` false, the
  // store is read only until the replica is loaded.
  void Tick(TimePoint now, const std::vector<std::string>& peers,
            bool reads_store);
  // Ignores the pending store request and sends a new one at the next tick,
  // e.g. after the VM was suspended.
  void Restart();
  void SetAddress(const std::string& address) { options_.address = address; }

  const StoreReplica& replica() const { return replica_; }
  // Ends the retention of a key that its owner has written again.
  void Release(const std::string& key) { replica_.Release(key); }
  // Ends the retention of all keys but `key` once owners had the time to write
  // them again.
  void ReleaseSettled(TimePoint now, const std::string& key) {
    if (OutageEffects(now) == Duration(0)) {
      replica_.ReleaseAllExcept(key);
    }
  }
  // Time of the last response from the store or newer data from a peer.
  TimePoint updated_at() const { return updated_at_; }
  // Time of the last response from the store; TimePoint() if there was none.
  TimePoint store_verified_at() const { return store_responded_at_; }
  // The last response that brought the replica up to date.
  struct Confirmation {
    // When its request was sent, and when its changes were applied.
    TimePoint called_at;
    TimePoint applied_at;
  };
  const Confirmation& confirmation() const { return confirmation_; }
  // Number of times that the store was found to be restored.
  std::uint64_t restore_count() const { return restore_count_; }
  // How much longer removals may be effects of an outage of the store.
  Duration OutageEffects(TimePoint now) const {
    return std::max(Duration(0), outage_effects_until_ - now);
  }
  // Whether the last store request failed.
  bool is_failing() const { return consecutive_failures_ > 0; }

 private:
  void FetchPage(const std::string& after);
  void Watch();
  void HandlePage(StoreBatch batch, const FetchResult& result);
  void HandleWatchResponse(const FetchResult& result);
  // Reads a snapshot next, after a short delay.
  void RequestSnapshot();
  // Returns the era of a response, or 0 if it states none that is plausible.
  std::uint64_t EraOf(const FetchResult& result) const;
  // Applies a snapshot of the store or of a peer that is not older than the
  // replica. Logs what is retained if the store was restored.
  std::vector<StoreItem> ApplySnapshot(const StoreBatch& snapshot);
  // Treats a response of an earlier position as a failure of the store.
  void RejectOlder(const FetchResult& result, const StorePosition& position);
  // Whether a peer's batch can be applied and is newer than the replica.
  bool IsNews(const StoreBatch& batch) const;
  // Records that the replica was brought up to date.
  void RecordUpdate(TimePoint now);
  // As `RecordUpdate`, with a batch of a peer, which tells of an outage of the
  // store.
  void RecordPeerUpdate(const StoreBatch& batch);
  // As `RecordUpdate`, after a response of the store itself.
  void RecordStoreResponse();
  // Lets the next request follow after a delay, or at once if `result`, the
  // response to the failed request, may only show that its connection failed.
  void HandleFailure(const FetchResult& result, const std::string& reason);
  void FetchFromPeer(const std::string& peer);
  void HandlePeerResponse(const std::string& peer, const FetchResult& result);
  // Decodes the response of a peer, which may be of an earlier version that
  // responds in the format of the store.
  absl::StatusOr<StoreBatch> DecodePeerBatch(const std::string& body) const;
  // Sends the pending watch again from the replica's revision, so that the
  // store does not send a large value that a peer has sent.
  void RestartWatch();
  // Logs the size and the times of a response with changes.
  void LogReceived(const FetchResult& result, const std::string& source,
                   const StoreBatch& batch, TimePoint decoded_at) const;
  // Whether the replica had no update for longer than a watch may take.
  bool WasSilent(TimePoint now) const;

  StoreReaderOptions options_;
  const StoreProtocol& protocol_;
  Fetcher& fetcher_;
  const Clock& clock_;
  ChangeHandler change_handler_;
  StoreReplica replica_;
  // Pages of the snapshot being read.
  StoreBatch partial_snapshot_;
  bool is_store_request_pending_ = false;
  // Set while a watch is pending.
  std::optional<FetchId> pending_watch_;
  bool needs_snapshot_ = true;
  // Responses to requests of an earlier generation are ignored.
  std::uint64_t generation_ = 0;
  int consecutive_failures_ = 0;
  // One of these failures shows that the store did not serve this router.
  bool was_store_away_ = false;
  std::uint64_t restore_count_ = 0;
  TimePoint next_request_at_;
  TimePoint store_responded_at_;
  TimePoint updated_at_;
  Confirmation confirmation_;
  TimePoint outage_effects_until_;
  bool is_peer_request_pending_ = false;
  TimePoint next_peer_request_at_;
  // Requests to peers that failed since the last successful one.
  std::size_t peer_failures_ = 0;
  // The last delta had another base, so the next request asks for whole values.
  bool needs_whole_values_ = false;
};

}  // namespace corianderpost

#endif  // CORIANDERPOST_PEERS_STORE_READER_H_
