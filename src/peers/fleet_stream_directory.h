// Finds the software version that began a stream, in a fleet of routers without
// shared storage.
//
// Each router remembers the streams of which it passed on the first event. As
// long as a service has had only one version in use, that proves where a stream
// began. Otherwise routers also send each record to two peers in other zones,
// chosen by rendezvous hashing, before the first event is passed on. A router
// at which a stream is resumed asks the peers that may have been chosen. After
// the loss of all of them, the targets' runs and the prompt parts that they
// hold show it (`HeldPartDirectory`).
#ifndef CORIANDERPOST_PEERS_FLEET_STREAM_DIRECTORY_H_
#define CORIANDERPOST_PEERS_FLEET_STREAM_DIRECTORY_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "corianderpost/clock.h"
#include "corianderpost/ids.h"
#include "dataplane/stream_directory.h"
#include "decisions/stream_records.h"
#include "decisions/version_history.h"
#include "peers/held_part_directory.h"
#include "peers/keeper_selection.h"
#include "peers/peer_report.h"
#include "peers/stream_message.h"
#include "peers/stream_peers.h"
#include "runtime/metrics.h"

namespace corianderpost {

// Used from the event loop only.
class FleetStreamDirectory final : public StreamDirectory {
 public:
  // `on_new_version` is called when a service is first known to have several
  // versions in use, or one more. `clock`, `peers` and `metrics` must outlive
  // the directory.
  FleetStreamDirectory(const RouterInfo& self, const Clock& clock,
                       StreamPeers& peers, internal::Metrics& metrics,
                       std::function<void()> on_new_version);

  void RecordBegun(const BegunStream& stream) override;
  void FindOrigin(const StreamQuery& query, OriginCallback callback) override;

  // Records that a target is listed, or may still serve streams. Call for all
  // targets at least once per second, and at once for new ones.
  void RecordTarget(TimePoint now, const TargetEntry& entry);
  // Records that the target list, of which all targets were recorded, was
  // current at `confirmed_at` according to a request sent at `called_at`. Has
  // no effect if this router was late in between: the response may have waited
  // meanwhile.
  void ConfirmList(TimePoint called_at, TimePoint confirmed_at);
  // Must be called in each turn of the event loop that calls `Tick`, before
  // `ConfirmList`. After a long pause the target list proves nothing until it
  // is confirmed again.
  void NoticeDelay(TimePoint now);
  // Sets the longest time after which a stream may be resumed: the proof of a
  // version has to reach back that far, or streams are recorded at peers.
  void SetMaxStreamAge(Duration max_age) {
    max_stream_age_ = std::clamp(max_age, Duration(0), kStreamRetention);
  }
  // Whether neither this router nor a peer that it has heard from knows the
  // past, so that streams of before can only be known from the targets.
  bool LacksHistory(TimePoint now) const {
    return history_.Coverage(now) == Duration(0);
  }
  // Whether this router is one of those that are to ask a target for its runs.
  bool IsAsker(TimePoint now, const std::string& target_id) {
    keepers_.Refresh(now);
    return keepers_.IsAsker(target_id);
  }
  // Whether streams may have begun of which only the targets know: nobody knows
  // the past, or a router that has started may have kept the record of a stream
  // of a service with several versions.
  bool NeedsTargets(TimePoint now) const {
    return LacksHistory(now) || !history_.MixedUses(now).empty();
  }
  // Until `ready_at`, what targets hold decides nothing: they are being asked.
  void SetHeldPartsReadyAt(TimePoint ready_at) {
    held_parts_.SetReadyAt(ready_at);
  }
  // Records the prompt parts that a target holds, and sends the records to
  // peers.
  void RecordHeldParts(const TargetEntry& target,
                       const std::vector<PromptPart>& parts) {
    held_parts_.RecordHeld(clock_.Now(), target, parts);
  }
  // Records streams of which a target reports to have made events, and sends
  // the records to peers.
  void RecordRuns(const TargetEntry& target,
                  const std::vector<std::string>& request_ids);
  // Applies the uses of versions in a peer's report.
  void MergeUses(TimePoint now, const std::vector<VersionUse>& uses);
  // Returns the uses of versions to be reported to peers; empty while each
  // service has one version.
  std::vector<VersionUse> ReportedUses(TimePoint now) const {
    return history_.MixedUses(now);
  }
  // Handles a datagram for which `IsStreamMessage` holds, from the router at
  // IPv4 address `from`.
  void HandleMessage(TimePoint now, const std::string& from,
                     std::string_view bytes);
  // Sends what is due and ends requests that take too long. Must be called
  // regularly.
  void Tick(TimePoint now);

 private:
  // A search that waits for replies.
  struct Search {
    StreamQuery query;
    OriginCallback callback;
    // Peers that have not replied.
    std::set<std::string> asked;
    TimePoint resend_at;
    TimePoint ends_at;
    // What a peer could prove. Records go before it.
    std::optional<StreamOrigin> proven = std::nullopt;
  };
  // A stream whose record this router has not sent to peers.
  struct UnsentStream {
    StreamKey key;
    TimePoint begun_at;
  };

  void Send(const std::string& vm, const StreamMessage& message);
  // Whether peers can find the version that began a stream of the service
  // without its record.
  bool IsProvable(TimePoint now, ServiceId service) const;
  void SendUnsent(TimePoint now);
  void AddRecord(TimePoint now, const AgedStream& stream, bool is_conflict);
  // Returns what the record of `key`, if any, says; nullopt if it says nothing.
  std::optional<StreamOrigin> OriginFromRecord(TimePoint now,
                                               const StreamKey& key,
                                               const StreamQuery& query,
                                               OriginEvidence evidence) const;
  std::optional<StreamOrigin> ProvenOrigin(TimePoint now, ServiceId service,
                                           Duration max_age) const;
  // Returns the proven origin, else that of the target that ran the stream, or
  // that there is none.
  StreamOrigin OriginWithoutRecord(TimePoint now,
                                   const StreamQuery& query) const;
  // Ends a query with `origin`, or if that is unknown, with what targets hold.
  void Resolve(TimePoint now, const StreamQuery& query,
               const StreamOrigin& origin, const OriginCallback& callback);
  void Ask(Search& search, std::uint32_t request_id);
  void EndSearch(std::uint32_t request_id, const StreamOrigin& origin);
  // Ends a search in which no peer has sent a record.
  void EndWithoutRecord(TimePoint now, std::uint32_t request_id);
  // Whether this router may have been paused since it last heard of new
  // versions.
  bool IsLate(TimePoint now) const;
  void RequestHistory(TimePoint now);
  void LogVersions(TimePoint now);
  std::string NameOf(VersionId version) const;
  std::string NameOf(ServiceId service) const;

  void Handle(TimePoint now, const std::string& from, const StreamBatch& batch);
  void Handle(TimePoint now, const std::string& from,
              const OriginRequest& request);
  void Handle(TimePoint now, const std::string& from, const OriginReply& reply);
  void Handle(TimePoint now, const std::string& from,
              const HistoryRequest& request);
  void Handle(TimePoint now, const std::string& from,
              const HistoryReply& reply);
  void Handle(TimePoint now, const std::string& from,
              const HeldPartBatch& batch);
  void Handle(TimePoint now, const std::string& from,
              const HeldPartRequest& request);
  void Handle(TimePoint now, const std::string& from,
              const HeldPartReply& reply);

  const Clock& clock_;
  StreamPeers& peers_;
  internal::Metrics& metrics_;
  const std::function<void()> on_new_version_;
  Duration max_stream_age_ = kStreamRetention;
  KeeperSelection keepers_;
  HeldPartDirectory held_parts_;
  StreamRecords records_;
  VersionHistory history_;
  TimePoint ticked_at_;
  // Confirmations that were requested before are ignored.
  TimePoint late_at_;
  bool is_list_in_doubt_ = false;
  std::map<ServiceId, std::deque<UnsentStream>> unsent_;
  std::uint32_t next_request_id_;
  std::map<std::uint32_t, Search> searches_;
  std::uint32_t history_request_id_ = 0;
  TimePoint next_history_request_at_;
  Duration history_interval_;
  TimePoint next_housekeeping_at_;
  std::uint64_t reported_evictions_ = 0;
  // Versions in use of each service that has several.
  std::map<ServiceId, std::set<VersionId>> mixed_;
  // Names for the log.
  std::map<ServiceId, std::string> service_names_;
  std::map<VersionId, std::string> version_names_;
};

}  // namespace corianderpost

#endif  // CORIANDERPOST_PEERS_FLEET_STREAM_DIRECTORY_H_
