// Finds the software version that began a stream, in a fleet of routers without
// shared storage.
//
// Each router remembers the streams of which it passed on the first event. As
// long as a service has had only one version in use, that proves where a stream
// began. Otherwise routers also send each record to two peers in other zones,
// chosen by rendezvous hashing, before the first event is passed on. A router
// at which a stream is resumed asks the peers that may have been chosen.
#ifndef CORIANDERPOST_PEERS_FLEET_STREAM_DIRECTORY_H_
#define CORIANDERPOST_PEERS_FLEET_STREAM_DIRECTORY_H_

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
#include "peers/peer_report.h"
#include "peers/stream_message.h"
#include "runtime/metrics.h"

namespace corianderpost {

// The other routers, as the directory reaches them.
class StreamPeers {
 public:
  virtual ~StreamPeers() = default;
  // Returns the live routers except this one.
  virtual std::vector<RouterInfo> LiveRouters(TimePoint now) const = 0;
  // Sends a datagram, which may be lost, to the router at IPv4 address `vm`.
  virtual void SendMessage(const std::string& vm, const std::string& bytes) = 0;
};

// Used from the event loop only.
class FleetStreamDirectory final : public StreamDirectory {
 public:
  // `on_new_version` is called when a service is first known to have several
  // versions in use, or one more. `clock`, `peers` and `metrics` must outlive
  // the directory.
  FleetStreamDirectory(RouterInfo self, const Clock& clock, StreamPeers& peers,
                       internal::Metrics& metrics,
                       std::function<void()> on_new_version);

  void RecordBegun(const BegunStream& stream) override;
  void FindOrigin(const StreamQuery& query, OriginCallback callback) override;

  // Records that a target is listed, or may still serve streams. Call for all
  // targets at least once per second, and at once for new ones.
  void RecordTarget(TimePoint now, const TargetEntry& entry);
  // Records that the target list, of which all targets were recorded, was
  // current at `confirmed_at`.
  void ConfirmList(TimePoint confirmed_at) {
    history_.ConfirmList(confirmed_at);
  }
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
  struct Router {
    std::string vm;
    VmId id;
  };
  struct Zone {
    std::string name;
    std::uint32_t id = 0;
    bool is_in_local_region = false;
    // The routers of the zone, including this one.
    std::vector<Router> routers;
  };
  // A search that waits for replies.
  struct Search {
    StreamQuery query;
    OriginCallback callback;
    // Peers that have not replied.
    std::set<std::string> asked;
    TimePoint resend_at;
    TimePoint ends_at;
  };
  // A stream whose record this router has not sent to peers.
  struct UnsentStream {
    StreamKey key;
    TimePoint begun_at;
  };

  void RefreshZones(TimePoint now);
  // Returns the best routers of the zone for `key`, at most `count`.
  std::vector<std::string> Candidates(const Zone& zone, const StreamKey& key,
                                      std::size_t count) const;
  // Returns the peers that are to remember a stream that began here.
  std::vector<std::string> Keepers(const StreamKey& key) const;
  // Returns the peers that may have been chosen to remember a stream.
  std::set<std::string> PossibleKeepers(const StreamKey& key) const;

  void Send(const std::string& vm, const StreamMessage& message);
  // Whether peers can find the version that began a stream of the service
  // without its record.
  bool IsProvable(TimePoint now, ServiceId service) const;
  void SendUnsent(TimePoint now);
  void AddRecord(TimePoint now, const AgedStream& stream, bool is_conflict);
  // Returns what the record of `key`, if any, says; nullopt if it says nothing.
  std::optional<StreamOrigin> OriginFromRecord(TimePoint now,
                                               const StreamQuery& query,
                                               OriginEvidence evidence) const;
  std::optional<StreamOrigin> ProvenOrigin(TimePoint now, ServiceId service,
                                           Duration max_age) const;
  // Returns the proven origin, or that there is none.
  StreamOrigin OriginWithoutRecord(TimePoint now,
                                   const StreamQuery& query) const;
  void Ask(Search& search, std::uint32_t request_id);
  void EndSearch(std::uint32_t request_id, const StreamOrigin& origin);
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

  const RouterInfo self_;
  const Clock& clock_;
  StreamPeers& peers_;
  internal::Metrics& metrics_;
  const std::function<void()> on_new_version_;
  StreamRecords records_;
  VersionHistory history_;
  std::map<ServiceId, std::deque<UnsentStream>> unsent_;
  std::uint32_t next_request_id_;
  std::map<std::uint32_t, Search> searches_;
  // Live routers by zone, those of this region first.
  std::vector<Zone> zones_;
  std::vector<std::string> live_peers_;
  TimePoint zones_refreshed_at_ = TimePoint::min();
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
