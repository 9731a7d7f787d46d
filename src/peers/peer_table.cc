#include "peers/peer_table.h"

#include <algorithm>

namespace corianderpost {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A router is live for this long after any router received a report from it.
constexpr Duration kLivenessTimeout = milliseconds(2500);
// Load and link use in older reports are ignored. `PeerRates` accepts customer
// rates up to `kLivenessTimeout` old; zone reports, and the subtraction in
// `FleetReportFor`, apply this age to rates too.
constexpr Duration kMaxLoadAge = milliseconds(1500);
// A silent router is removed from the table after this time.
constexpr Duration kPeerRetention = seconds(30);
// How long a suspected relay is excluded from the candidates.
constexpr Duration kRelaySuspicionTime = seconds(2);
// Up to this fleet size, all routers report directly to each other.
constexpr int kMaxMeshRouters = 12;
// Bounds the memory of the table.
constexpr std::size_t kMaxPeers = 8192;

void Subtract(const LoadByTarget& subtrahend, LoadByTarget& sum) {
  for (const auto& [id, load] : subtrahend) {
    const auto it = sum.find(id);
    if (it == sum.end()) {
      continue;
    }
    TargetLoad& total = it->second;
    total.in_flight = std::max(0, total.in_flight - load.in_flight);
    const auto subtract = [](double part, double& whole) {
      whole = std::max(0.0, whole - part);
    };
    subtract(load.pending_prefill_tokens, total.pending_prefill_tokens);
    subtract(load.kv_cache_tokens, total.kv_cache_tokens);
    subtract(load.ended_attempts, total.ended_attempts);
    subtract(load.failed_attempts, total.failed_attempts);
    subtract(load.first_events, total.first_events);
    total.log_slowness -= load.log_slowness;
    subtract(load.limit_use.wanted, total.limit_use.wanted);
    subtract(load.limit_use.sent, total.limit_use.sent);
    subtract(load.speed_observations, total.speed_observations);
    total.log_speed -= load.log_speed;
    subtract(load.output_tokens_left, total.output_tokens_left);
    if (total == TargetLoad{}) {
      sum.erase(it);
    }
  }
}

void Subtract(const RatesByCustomer& subtrahend, RatesByCustomer& sum) {
  for (const auto& [customer, rates] : subtrahend) {
    if (const auto it = sum.find(customer); it != sum.end()) {
      it->second.demand -= rates.demand;
      it->second.admitted = std::max(0.0, it->second.admitted - rates.admitted);
      it->second.current_demand =
          std::max(0.0, it->second.current_demand - rates.current_demand);
      if (it->second.demand < 1.0) {
        sum.erase(it);
      }
    }
  }
}

bool HasNewerOperatorKeys(const PeerReport& report,
                          const OperatorKeysState& local,
                          std::uint64_t local_revision) {
  if (report.operator_keys) {
    return report.operator_keys->content > local.content ||
           report.operator_keys->configuration_version >
               local.configuration_version;
  }
  // Revisions of earlier versions also grow with changes of other keys, and may
  // be of a former era.
  return local.content.era == 0 && report.operator_revision > local_revision;
}

StorePosition TargetListPosition(const PeerReport& report) {
  return {report.target_list_era, report.target_list_revision};
}

// A peer from which to copy a replica.
struct CopySource {
  std::string vm;
  bool is_in_local_zone = false;
  StorePosition position;
};

void AddUnique(const std::string& vm, std::vector<std::string>& vms) {
  if (std::find(vms.begin(), vms.end(), vm) == vms.end()) {
    vms.push_back(vm);
  }
}

// Returns the peers, each once, the preferred one first.
std::vector<std::string> RankedAddresses(std::vector<CopySource> sources) {
  // Copying within the zone causes no traffic between zones.
  std::stable_sort(sources.begin(), sources.end(),
                   [](const CopySource& a, const CopySource& b) {
                     return a.is_in_local_zone != b.is_in_local_zone
                                ? a.is_in_local_zone
                                : a.position > b.position;
                   });
  std::vector<std::string> vms;
  for (const CopySource& it : sources) {
    AddUnique(it.vm, vms);
  }
  return vms;
}

}  // namespace

bool PeerTable::IsAlive(TimePoint now, const Peer& peer) const {
  return peer.has_info && now - peer.last_heard_at <= kLivenessTimeout;
}

void PeerTable::ApplyRouterInfo(TimePoint now, const RouterInfo& info,
                                bool tells_rotation) {
  if (info.vm == self_.vm || info.age > kLivenessTimeout ||
      (peers_.size() >= kMaxPeers && !peers_.contains(info.vm))) {
    return;
  }
  Peer& peer = peers_[info.vm];
  const TimePoint last_heard_at = now - std::max(Duration(0), info.age);
  if (!peer.has_info || last_heard_at > peer.last_heard_at) {
    const auto left_rotation = peer.info.left_rotation;
    peer.info = info;
    peer.info.left_rotation = left_rotation;
    peer.has_info = true;
    peer.last_heard_at = last_heard_at;
  }
  if (tells_rotation && last_heard_at >= peer.rotation_known_at) {
    peer.info.left_rotation = info.left_rotation;
    peer.rotation_known_at = last_heard_at;
  }
}

bool PeerTable::ApplyReport(TimePoint now, const PeerReport& report) {
  const std::string& vm = report.sender.vm;
  if (vm == self_.vm) {
    return false;
  }
  const auto known = peers_.find(vm);
  const bool was_alive = known != peers_.end() && IsAlive(now, known->second);
  const bool is_restarted = was_alive && known->second.incarnation != 0 &&
                            report.incarnation != known->second.incarnation;
  if (was_alive && (report.incarnation < known->second.incarnation ||
                    (report.incarnation == known->second.incarnation &&
                     report.sequence <= known->second.sequence))) {
    return false;
  }
  // The rotation state is taken from the router itself or from the relay of
  // this zone. A report that waited on the link between regions looks newer
  // than it is.
  const bool is_from_relay =
      report.scope == ReportScope::kFleet && report.sender.zone == self_.zone;
  ApplyRouterInfo(now, report.sender, true);
  for (const RouterInfo& it : report.live_routers) {
    ApplyRouterInfo(now, it, is_from_relay);
  }
  const auto it = peers_.find(vm);
  if (it == peers_.end()) {
    return false;
  }
  if (report.operator_keys) {
    RecordOperatorChange(
        report.operator_keys->newest,
        now - std::max(Duration(0), report.operator_keys->newest_age));
  }
  Peer& peer = it->second;
  peer.incarnation = report.incarnation;
  peer.sequence = report.sequence;
  switch (report.scope) {
    case ReportScope::kRouter:
      peer.router_report = report;
      peer.router_report_at = now;
      break;
    case ReportScope::kZone:
      peer.zone_report = report;
      peer.zone_report_at = now;
      break;
    case ReportScope::kFleet:
      peer.relay_suspected_until = TimePoint();
      fleet_report_ = report;
      fleet_report_at_ = now;
      break;
  }
  return !was_alive || is_restarted;
}

void PeerTable::AddSeed(const std::string& vm) {
  if (vm != self_.vm && peers_.size() < kMaxPeers) {
    peers_.try_emplace(vm);
  }
}

void PeerTable::Expire(TimePoint now) {
  std::erase_if(peers_, [now](const auto& it) {
    return it.second.has_info && now - it.second.last_heard_at > kPeerRetention;
  });
}

std::vector<RouterInfo> PeerTable::LivePeers(TimePoint now) const {
  std::vector<RouterInfo> live_peers;
  for (const auto& [vm, peer] : peers_) {
    if (IsAlive(now, peer)) {
      live_peers.push_back(peer.info);
      live_peers.back().age = now - peer.last_heard_at;
    }
  }
  return live_peers;
}

std::vector<ZonePeer> PeerTable::ZonePeers(TimePoint now) const {
  std::vector<ZonePeer> zone_peers;
  for (const auto& [vm, peer] : peers_) {
    if (peer.has_info && peer.info.zone == self_.zone) {
      zone_peers.push_back(
          {vm, now - peer.rotation_known_at, peer.info.left_rotation});
    }
  }
  return zone_peers;
}

std::vector<std::string> PeerTable::SilentPeers(TimePoint now) const {
  std::vector<std::string> silent_peers;
  for (const auto& [vm, peer] : peers_) {
    if (!IsAlive(now, peer)) {
      silent_peers.push_back(vm);
    }
  }
  return silent_peers;
}

int PeerTable::FleetSize(TimePoint now) const {
  return 1 + static_cast<int>(std::count_if(peers_.begin(), peers_.end(),
                                            [this, now](const auto& it) {
                                              return IsAlive(now, it.second);
                                            }));
}

int PeerTable::LocalPosition(TimePoint now) const {
  return static_cast<int>(
      std::count_if(peers_.begin(), peers_.end(), [this, now](const auto& it) {
        return IsAlive(now, it.second) && it.first < self_.vm;
      }));
}

bool PeerTable::UsesRelays(TimePoint now) const {
  return FleetSize(now) > kMaxMeshRouters;
}

std::vector<RouterInfo> PeerTable::RelayCandidates(
    TimePoint now, const std::string& zone) const {
  std::vector<RouterInfo> candidates;
  for (const auto& [vm, peer] : peers_) {
    if (IsAlive(now, peer) && peer.info.zone == zone &&
        now >= peer.relay_suspected_until) {
      candidates.push_back(peer.info);
    }
  }
  if (zone == self_.zone) {
    candidates.push_back(self_);
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const RouterInfo& a, const RouterInfo& b) {
              return a.cpu_millicores != b.cpu_millicores
                         ? a.cpu_millicores > b.cpu_millicores
                         : a.vm < b.vm;
            });
  return candidates;
}

int PeerTable::LocalRelayRank(TimePoint now) const {
  const std::vector<RouterInfo> candidates = RelayCandidates(now, self_.zone);
  int rank = 0;
  for (const RouterInfo& it : candidates) {
    if (it.vm == self_.vm) {
      break;
    }
    ++rank;
  }
  return rank;
}

std::optional<std::string> PeerTable::RelayOf(TimePoint now,
                                              const std::string& zone) const {
  const std::vector<RouterInfo> candidates = RelayCandidates(now, zone);
  return candidates.empty() ? std::nullopt
                            : std::optional<std::string>(candidates.front().vm);
}

std::vector<RouterInfo> PeerTable::OtherZoneRelays(TimePoint now) const {
  std::map<std::string, RouterInfo> relay_of_zone;
  for (const auto& [vm, peer] : peers_) {
    if (!IsAlive(now, peer) || peer.info.zone == self_.zone) {
      continue;
    }
    const auto [it, is_new] = relay_of_zone.emplace(peer.info.zone, peer.info);
    if (!is_new && peer.info.cpu_millicores > it->second.cpu_millicores) {
      it->second = peer.info;
    }
  }
  std::vector<RouterInfo> relays;
  relays.reserve(relay_of_zone.size());
  for (auto& [zone, info] : relay_of_zone) {
    relays.push_back(std::move(info));
  }
  return relays;
}

void PeerTable::SuspectRelay(TimePoint now) {
  const auto relay = RelayOf(now, self_.zone);
  if (relay && *relay != self_.vm) {
    peers_[*relay].relay_suspected_until = now + kRelaySuspicionTime;
  }
}

LoadByTarget PeerTable::PeerLoad(TimePoint now) const {
  if (UsesRelays(now) && !IsRelay(now)) {
    return fleet_report_ && now - fleet_report_at_ <= kMaxLoadAge
               ? fleet_report_->load
               : LoadByTarget{};
  }
  LoadByTarget sum;
  const bool uses_relays = UsesRelays(now);
  for (const auto& [vm, peer] : peers_) {
    const bool reports_directly = !uses_relays || peer.info.zone == self_.zone;
    if (reports_directly && peer.router_report &&
        now - peer.router_report_at <= kMaxLoadAge) {
      AddLoad(peer.router_report->load, sum);
    } else if (!reports_directly && peer.zone_report &&
               now - peer.zone_report_at <= kMaxLoadAge) {
      AddLoad(peer.zone_report->load, sum);
    }
  }
  return sum;
}

RatesByCustomer PeerTable::PeerRates(TimePoint now) const {
  if (UsesRelays(now) && !IsRelay(now)) {
    return fleet_report_ && now - fleet_report_at_ <= kLivenessTimeout
               ? fleet_report_->customer_rates
               : RatesByCustomer{};
  }
  RatesByCustomer sum;
  const bool uses_relays = UsesRelays(now);
  for (const auto& [vm, peer] : peers_) {
    const bool reports_directly = !uses_relays || peer.info.zone == self_.zone;
    if (reports_directly && peer.router_report &&
        now - peer.router_report_at <= kLivenessTimeout) {
      AddRates(peer.router_report->customer_rates, sum);
    } else if (!reports_directly && peer.zone_report &&
               now - peer.zone_report_at <= kLivenessTimeout) {
      AddRates(peer.zone_report->customer_rates, sum);
    }
  }
  return sum;
}

double PeerTable::PeerLinkUse(TimePoint now) const {
  const bool uses_relays = UsesRelays(now);
  if (uses_relays && !IsRelay(now)) {
    return fleet_report_ && now - fleet_report_at_ <= kMaxLoadAge
               ? fleet_report_->link_use
               : 0.0;
  }
  double sum = 0;
  for (const auto& [vm, peer] : peers_) {
    if (peer.info.region != self_.region) {
      continue;
    }
    const bool reports_directly = !uses_relays || peer.info.zone == self_.zone;
    if (reports_directly && peer.router_report &&
        now - peer.router_report_at <= kMaxLoadAge) {
      sum += peer.router_report->link_use;
    } else if (!reports_directly && peer.zone_report &&
               now - peer.zone_report_at <= kMaxLoadAge) {
      sum += peer.zone_report->link_use;
    }
  }
  return sum;
}

void PeerTable::AggregateZone(TimePoint now, PeerReport& report) const {
  report.scope = ReportScope::kZone;
  for (const auto& [vm, peer] : peers_) {
    if (peer.info.zone == self_.zone && peer.router_report &&
        now - peer.router_report_at <= kMaxLoadAge) {
      AddLoad(peer.router_report->load, report.load);
      AddRates(peer.router_report->customer_rates, report.customer_rates);
      report.link_use += peer.router_report->link_use;
    }
  }
}

PeerReport PeerTable::FleetReportFor(TimePoint now, const std::string& vm,
                                     const PeerReport& local_report) const {
  PeerReport report = local_report;
  report.scope = ReportScope::kFleet;
  AddLoad(PeerLoad(now), report.load);
  AddRates(PeerRates(now), report.customer_rates);
  report.link_use += PeerLinkUse(now);
  const auto it = peers_.find(vm);
  if (it != peers_.end() && it->second.router_report &&
      now - it->second.router_report_at <= kMaxLoadAge) {
    Subtract(it->second.router_report->load, report.load);
    Subtract(it->second.router_report->customer_rates, report.customer_rates);
    report.link_use =
        std::max(0.0, report.link_use - it->second.router_report->link_use);
  }
  return report;
}

std::vector<std::string> PeerTable::TargetListSources(
    TimePoint now, const StorePosition& local) const {
  std::vector<CopySource> sources;
  const auto consider = [&](const std::optional<PeerReport>& report,
                            TimePoint received_at) {
    if (report && now - received_at <= kLivenessTimeout &&
        TargetListPosition(*report) > local) {
      sources.push_back({report->sender.vm, report->sender.zone == self_.zone,
                         TargetListPosition(*report)});
    }
  };
  for (const auto& [vm, peer] : peers_) {
    consider(peer.router_report, peer.router_report_at);
    consider(peer.zone_report, peer.zone_report_at);
  }
  consider(fleet_report_, fleet_report_at_);
  return RankedAddresses(std::move(sources));
}

void PeerTable::RecordOperatorChange(const StorePosition& position,
                                     TimePoint known_at) {
  if (position > newest_operator_change_) {
    newest_operator_change_ = position;
    newest_operator_change_at_ = known_at;
  } else if (position == newest_operator_change_) {
    newest_operator_change_at_ = std::min(newest_operator_change_at_, known_at);
  }
}

OperatorKeysState PeerTable::OperatorKeysStateAt(
    TimePoint now, const StorePosition& content) const {
  return {content, std::max(content, newest_operator_change_),
          newest_operator_change_ == StorePosition{}
              ? Duration(0)
              : now - newest_operator_change_at_};
}

std::vector<std::string> PeerTable::OperatorKeySources(
    TimePoint now, const OperatorKeysState& local,
    std::uint64_t local_revision) const {
  std::vector<CopySource> sources;
  const auto consider = [&](const std::optional<PeerReport>& report,
                            TimePoint received_at) {
    if (report && now - received_at <= kLivenessTimeout &&
        HasNewerOperatorKeys(*report, local, local_revision)) {
      sources.push_back({report->sender.vm, report->sender.zone == self_.zone,
                         report->operator_keys
                             ? report->operator_keys->content
                             : StorePosition{0, report->operator_revision}});
    }
  };
  for (const auto& [vm, peer] : peers_) {
    consider(peer.router_report, peer.router_report_at);
    consider(peer.zone_report, peer.zone_report_at);
  }
  consider(fleet_report_, fleet_report_at_);
  std::vector<std::string> vms = RankedAddresses(std::move(sources));
  if (local.newest > local.content && UsesRelays(now)) {
    std::vector<RouterInfo> relays = OtherZoneRelays(now);
    std::stable_partition(
        relays.begin(), relays.end(),
        [this](const RouterInfo& it) { return it.region == self_.region; });
    for (const RouterInfo& it : relays) {
      AddUnique(it.vm, vms);
    }
  }
  return vms;
}

TimePoint PeerTable::OperatorReplicaVerifiedAt(
    TimePoint now, const OperatorKeysState& local,
    std::uint64_t local_revision) const {
  TimePoint verified_at;
  const auto consider = [&](const std::optional<PeerReport>& report,
                            TimePoint received_at) {
    if (report && now - received_at <= kLivenessTimeout &&
        !HasNewerOperatorKeys(*report, local, local_revision)) {
      verified_at =
          std::max(verified_at, received_at - report->operator_replica_age);
    }
  };
  for (const auto& [vm, peer] : peers_) {
    consider(peer.router_report, peer.router_report_at);
  }
  consider(fleet_report_, fleet_report_at_);
  return verified_at;
}

}  // namespace corianderpost
