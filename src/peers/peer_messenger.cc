#include "peers/peer_messenger.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <stdexcept>

#include "runtime/bind_retry.h"
#include "runtime/json_log.h"

namespace corianderpost {
namespace {

namespace asio = boost::asio;
using internal::Log;
using internal::LogLevel;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Report intervals within the region, and over the narrow link to other
// regions.
constexpr Duration kReportInterval = milliseconds(100);
constexpr Duration kRemoteReportInterval = milliseconds(100);
// Report interval within the region in a fleet that uses relays.
constexpr Duration kRelayedReportInterval = milliseconds(100);
// A relay that sends no fleet report for this long is suspected to have failed.
constexpr Duration kRelayTimeout = milliseconds(700);
// Shortest time between two aggregations of the peers' reports.
constexpr Duration kAggregationInterval = milliseconds(75);
// Interval of reports to addresses at which no router is known to be alive.
constexpr Duration kHelloInterval = seconds(1);
// How long an unreachable target is listed in reports.
constexpr Duration kUnreachableReportTime = milliseconds(300);
constexpr std::size_t kMaxDatagramBytes = 60'000;
// Bounds the memory for timestamps of routers that have left.
constexpr std::size_t kMaxRemoteTimestamps = 256;

}  // namespace

PeerMessenger::PeerMessenger(asio::io_context& loop, const Clock& clock,
                             const RouterInfo& self, std::uint16_t port,
                             Scheduler& scheduler, internal::Metrics& metrics,
                             AddReplicaState add_replica_state)
    : clock_(clock),
      port_(port),
      scheduler_(scheduler),
      metrics_(metrics),
      add_replica_state_(std::move(add_replica_state)),
      peers_(self),
      socket_(loop),
      incarnation_(clock.WallMicros()) {
  boost::system::error_code ec;
  const auto ip = asio::ip::make_address_v4(self.vm, ec);
  if (!ec) {
    socket_.open(asio::ip::udp::v4(), ec);
  }
  if (!ec) {
    socket_.bind({ip, port_}, ec);
  }
  if (!ec) {
    socket_.non_blocking(true, ec);
  }
  if (ec) {
    internal::ThrowBindError("cannot bind the UDP socket for peer reports at " +
                                 self.vm + ":" + std::to_string(port_),
                             ec);
  }
}

void PeerMessenger::WaitForReports() {
  socket_.async_wait(asio::ip::udp::socket::wait_read,
                     [this](boost::system::error_code ec) {
                       if (!ec) {
                         ReceiveReports();
                         WaitForReports();
                       }
                     });
}

void PeerMessenger::ReceiveReports() {
  static std::array<char, kMaxDatagramBytes> buffer;
  while (true) {
    boost::system::error_code ec;
    asio::ip::udp::endpoint from;
    const std::size_t n =
        socket_.receive_from(asio::buffer(buffer), from, 0, ec);
    if (ec) {
      if (ec != asio::error::would_block) {
        Log(LogLevel::kDebug, "receiving a peer report failed",
            {{"reason", ec.message()}});
      }
      return;
    }
    const std::string_view bytes(buffer.data(), n);
    if (stream_directory_ != nullptr && IsStreamMessage(bytes)) {
      stream_directory_->HandleMessage(clock_.Now(), from.address().to_string(),
                                       bytes);
      continue;
    }
    auto report = DecodeReport(bytes);
    if (!report.ok()) {
      Log(LogLevel::kWarning, "invalid peer report ignored",
          {{"from", from.address().to_string()},
           {"reason", std::string(report.status().message())}});
      continue;
    }
    HandleReport(clock_.Now(), *std::move(report));
  }
}

void PeerMessenger::ReportUnreachable(TimePoint now,
                                      const std::string& target_id) {
  const TargetState* target = scheduler_.targets().Find(target_id);
  if (target != nullptr && scheduler_.targets().SpeaksForPeers(*target)) {
    unreachable_recorded_at_[target_id] = now;
  }
}

void PeerMessenger::HandleReport(TimePoint now, PeerReport report) {
  for (const SuspectReport& it : report.suspects) {
    scheduler_.suspects().Merge(now, it);
  }
  for (const NamedRateLimit& it : report.rate_limits) {
    if (const TargetState* target =
            scheduler_.targets().MergeRateLimit(now, it);
        target != nullptr) {
      Log(LogLevel::kInfo,
          it.per_second ? "target named a rate limit"
                        : "target no longer names a rate limit",
          {{"target", target->entry.id},
           {"per_second", it.per_second.value_or(0.0)},
           {"peer", report.sender.vm}});
    }
  }
  for (const LeavingTarget& it : report.leaving_targets) {
    if (const TargetState* target = scheduler_.targets().RecordLeaving(it);
        target != nullptr) {
      Log(LogLevel::kInfo, "target said that it leaves",
          {{"target", target->entry.id},
           {"incarnation", it.incarnation},
           {"peer", report.sender.vm}});
    }
  }
  for (const SharedEventSize& it : report.event_sizes) {
    scheduler_.costs().MergeEventSize(now, it);
  }
  if (stream_directory_ != nullptr) {
    stream_directory_->MergeUses(now, report.version_uses);
  }
  for (const std::string& it : report.unreachable_targets) {
    scheduler_.ConfirmCrash(now, it);
    TargetState* target = scheduler_.targets().Find(it);
    if (target != nullptr && now >= target->ejected_until &&
        !unreachable_recorded_at_.contains(it)) {
      scheduler_.targets().RecordPeerFailure(now, it);
      // Passes the information on once: while the target is ejected, further
      // reports about it are ignored.
      unreachable_recorded_at_[it] = now;
    }
  }
  needs_aggregation_ = true;
  if (report.scope == ReportScope::kFleet) {
    relay_heard_at_ = now;
    if (report.link_budget > 0) {
      scheduler_.link_budget().SetBudget(report.link_budget);
    }
  }
  if (report.sent_at != 0) {
    if (remote_timestamps_.size() >= kMaxRemoteTimestamps) {
      remote_timestamps_.clear();
    }
    remote_timestamps_[report.sender.vm] = {report.sent_at, now};
  }
  if (report.echoed_sent_at != 0) {
    const Duration round_trip = now.time_since_epoch() -
                                Duration(report.echoed_sent_at) -
                                report.echo_delay;
    scheduler_.link_budget().RecordRoundTrip(now, round_trip);
  }
  if (peers_.ApplyReport(now, report)) {
    Log(LogLevel::kInfo, "peer became live",
        {{"peer", report.sender.vm}, {"zone", report.sender.zone}});
    // A new peer learns the addresses of the others from this reply.
    PeerReport reply = BuildReport(now, true);
    reply.load.clear();
    reply.live_routers = peers_.LivePeers(now);
    SendTo(reply, report.sender.vm);
  }
}

PeerReport PeerMessenger::BuildReport(TimePoint now, bool is_complete) {
  PeerReport report;
  report.sender = peers_.self();
  report.incarnation = incarnation_;
  report.sequence = ++sequence_;
  add_replica_state_(now, report);
  report.load = scheduler_.targets().LocalLoad(now);
  report.customer_rates = scheduler_.fair_share().LocalRates(now);
  report.event_sizes = scheduler_.costs().EventSizes(now);
  report.link_use = scheduler_.LocalLinkUse(now);
  report.rate_limits = scheduler_.targets().RateLimits(now);
  report.leaving_targets = scheduler_.targets().LeavingTargets();
  report.suspects = scheduler_.suspects().ReportsFor(now, is_complete);
  std::erase_if(unreachable_recorded_at_, [now](const auto& it) {
    return now - it.second > kUnreachableReportTime;
  });
  for (const auto& [id, recorded_at] : unreachable_recorded_at_) {
    report.unreachable_targets.push_back(id);
  }
  return report;
}

void PeerMessenger::SendTo(const PeerReport& report, const std::string& vm) {
  SendMessage(vm, EncodeReport(report));
}

void PeerMessenger::SendMessage(const std::string& vm,
                                const std::string& bytes) {
  boost::system::error_code ec;
  const auto ip = asio::ip::make_address_v4(vm, ec);
  if (!ec) {
    socket_.send_to(asio::buffer(bytes), {ip, port_}, 0, ec);
  }
  if (ec) {
    metrics_.IncrementCounter("corianderpost_report_send_errors_total", "");
  }
}

void PeerMessenger::SendToRemoteRegion(TimePoint now, PeerReport report,
                                       const std::string& vm) {
  report.sent_at = now.time_since_epoch().count();
  if (const auto it = remote_timestamps_.find(vm);
      it != remote_timestamps_.end()) {
    report.echoed_sent_at = it->second.sent_at;
    report.echo_delay = now - it->second.received_at;
    remote_timestamps_.erase(it);
  }
  SendTo(report, vm);
}

void PeerMessenger::SendToMesh(TimePoint now) {
  const bool sends_remote = now >= next_remote_report_at_;
  PeerReport report = BuildReport(now, false);
  if (sends_remote) {
    next_remote_report_at_ = now + kRemoteReportInterval;
    report.live_routers = peers_.LivePeers(now);
  }
  for (const RouterInfo& it : peers_.LivePeers(now)) {
    if (it.region == peers_.self().region) {
      SendTo(report, it.vm);
    } else if (sends_remote) {
      SendToRemoteRegion(now, report, it.vm);
    }
  }
}

void PeerMessenger::SendAsMember(TimePoint now) {
  if (now - relay_heard_at_ > kRelayTimeout) {
    peers_.SuspectRelay(now);
    relay_heard_at_ = now;
  }
  if (const auto relay = peers_.RelayOf(now, peers_.self().zone)) {
    SendTo(BuildReport(now, false), *relay);
  }
}

void PeerMessenger::SendAsRelay(TimePoint now) {
  const bool sends_remote = now >= next_remote_report_at_;
  const PeerReport local_report = BuildReport(now, false);
  const std::string& local_zone = peers_.self().zone;
  std::vector<RouterInfo> live_peers;
  if (sends_remote) {
    next_remote_report_at_ = now + kRemoteReportInterval;
    live_peers = peers_.LivePeers(now);
  }
  PeerReport zone_report = local_report;
  peers_.AggregateZone(now, zone_report);
  std::copy_if(live_peers.begin(), live_peers.end(),
               std::back_inserter(zone_report.live_routers),
               [&](const RouterInfo& it) { return it.zone == local_zone; });
  for (const RouterInfo& it : peers_.OtherZoneRelays(now)) {
    if (it.region == peers_.self().region) {
      SendTo(zone_report, it.vm);
    } else if (sends_remote) {
      SendToRemoteRegion(now, zone_report, it.vm);
    }
  }
  for (const RouterInfo& it : peers_.LivePeers(now)) {
    if (it.zone == local_zone) {
      PeerReport fleet_report = peers_.FleetReportFor(now, it.vm, local_report);
      fleet_report.live_routers = live_peers;
      fleet_report.link_budget = scheduler_.link_budget().BytesPerSecond();
      SendTo(fleet_report, it.vm);
    }
  }
}

void PeerMessenger::SendReports(TimePoint now) {
  if (!peers_.UsesRelays(now)) {
    next_report_at_ = now + kReportInterval;
    relay_heard_at_ = now;
    SendToMesh(now);
    return;
  }
  next_report_at_ = now + kRelayedReportInterval;
  if (peers_.IsRelay(now)) {
    relay_heard_at_ = now;
    SendAsRelay(now);
  } else {
    SendAsMember(now);
  }
}

void PeerMessenger::ReportAtNextTick() {
  next_report_at_ = TimePoint();
  next_remote_report_at_ = TimePoint();
}

void PeerMessenger::Tick(TimePoint now) {
  if (needs_aggregation_ && now >= next_aggregation_at_) {
    needs_aggregation_ = false;
    next_aggregation_at_ = now + kAggregationInterval;
    scheduler_.targets().SetPeerLoad(now, peers_.PeerLoad(now));
    scheduler_.fair_share().SetPeerRates(peers_.PeerRates(now));
    scheduler_.SetFleet(peers_.FleetSize(now), peers_.LocalPosition(now));
    scheduler_.SetPeerLinkUse(now, peers_.PeerLinkUse(now));
  }
  if (now >= next_report_at_) {
    SendReports(now);
    // Recomputes the totals, so that they no longer include expired reports.
    needs_aggregation_ = true;
  }
  if (now >= next_hello_at_) {
    next_hello_at_ = now + kHelloInterval;
    PeerReport report = BuildReport(now, false);
    report.load.clear();
    for (const std::string& it : peers_.SilentPeers(now)) {
      SendTo(report, it);
    }
  }
}

}  // namespace corianderpost
