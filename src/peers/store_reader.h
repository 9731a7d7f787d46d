// Keeps a mirror up to date from the store, or from a peer while the store
// does not answer.
#ifndef CORIANDERPOST_PEERS_STORE_READER_H_
#define CORIANDERPOST_PEERS_STORE_READER_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "corianderpost/clock.h"
#include "dataplane/fetch.h"
#include "peers/store_replica.h"

namespace corianderpost {

// The store's read calls, as the deployment spells them.
class StoreProtocol {
 public:
  virtual ~StoreProtocol() = default;
  virtual std::string RangePath(std::string_view prefix,
                                std::string_view after) const = 0;
  virtual std::string WatchPath(std::string_view prefix,
                                std::uint64_t after_revision,
                                Duration wait) const = 0;
  virtual absl::StatusOr<StoreBatch> DecodeBatch(
      std::string_view body) const = 0;
  virtual std::string EncodeBatch(const StoreBatch& batch) const = 0;
};

struct StoreReaderOptions {
  std::string prefix;
  std::string address;
  // Time between the answer to a watch and the next one, so that many small
  // changes come in one answer.
  Duration watch_pause{0};
  // Longest time that a watch waits at the store.
  Duration watch_timeout = std::chrono::milliseconds(1500);
};

// Used from the event loop only.
class StoreReader {
 public:
  // Receives what changed. `after_outage` is true for what came first after a
  // time without the store.
  using ChangeHandler =
      std::function<void(const std::vector<StoreItem>&, bool after_outage)>;

  StoreReader(StoreReaderOptions options, const StoreProtocol& protocol,
              Fetcher& fetcher, const Clock& clock,
              ChangeHandler change_handler);

  // Starts calls that are due. `peer` is the control address of a peer with a
  // newer copy that should be asked. With `reads_store` false the store itself
  // is left to others once the mirror is filled.
  void Tick(TimePoint now, const std::optional<std::string>& peer,
            bool reads_store);
  // Reads at the next tick whatever is in progress, e.g. after a suspension.
  void Restart();
  void SetAddress(const std::string& address) { options_.address = address; }

  const StoreReplica& replica() const { return replica_; }
  // When the mirror last took anything, from the store or a peer.
  TimePoint updated_at() const { return updated_at_; }
  // When the store answered last.
  TimePoint store_responded_at() const { return store_responded_at_; }
  bool is_failing() const { return consecutive_failures_ > 0; }

 private:
  void FetchPage(const std::string& after);
  void Watch();
  void HandlePage(StoreBatch batch);
  void RecordUpdate(TimePoint now);
  void RecordStoreResponse();
  void HandleFailure(const std::string& reason);
  void FetchFromPeer(const std::string& peer);
  bool IsAfterOutage(TimePoint now) const;

  StoreReaderOptions options_;
  const StoreProtocol& protocol_;
  Fetcher& fetcher_;
  const Clock& clock_;
  ChangeHandler change_handler_;
  StoreReplica replica_;
  // Pages of the list that is being read.
  StoreBatch partial_snapshot_;
  bool is_store_request_pending_ = false;
  bool needs_snapshot_ = true;
  // Answers to calls of an earlier generation are ignored.
  std::uint64_t generation_ = 0;
  int consecutive_failures_ = 0;
  TimePoint next_request_at_;
  TimePoint store_responded_at_;
  TimePoint updated_at_;
  TimePoint outage_effects_until_;
  TimePoint started_at_;
  bool is_peer_request_pending_ = false;
  TimePoint next_peer_request_at_;
};

}  // namespace corianderpost

#endif  // CORIANDERPOST_PEERS_STORE_READER_H_
