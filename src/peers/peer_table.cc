#include "peers/peer_table.h"

#include <algorithm>

namespace corianderpost {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A router of which nobody heard for this long does not count as live.
constexpr Duration kAliveFor = milliseconds(2500);
// Load that is older is left out.
constexpr Duration kLoadFor = milliseconds(1500);
// A silent router is forgotten after this time.
constexpr Duration kRememberedFor = seconds(30);
// A relay that did not answer is passed over for this long.
constexpr Duration kSuspectedFor = seconds(2);
// Fleets up to this size exchange reports pairwise.
constexpr int kMaxMesh = 12;
// Routers that are remembered.
constexpr std::size_t kMaxPeers = 8192;

void Subtract(const LoadByTarget& less, LoadByTarget& sum) {
  for (const auto& [id, load] : less) {
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
    if (total == TargetLoad{}) {
      sum.erase(it);
    }
  }
}

void Subtract(const RatesByCustomer& less, RatesByCustomer& sum) {
  for (const auto& [customer, rates] : less) {
    if (const auto it = sum.find(customer); it != sum.end()) {
      it->second.demand -= rates.demand;
      it->second.admitted = std::max(0.0, it->second.admitted - rates.admitted);
      if (it->second.demand < 1.0) {
        sum.erase(it);
      }
    }
  }
}

}  // namespace

bool PeerTable::IsAlive(TimePoint now, const Peer& peer) const {
  return peer.is_known && now - peer.alive_at <= kAliveFor;
}

void PeerTable::NoteRoster(TimePoint now, const RosterEntry& entry) {
  if (entry.vm == self_.vm || entry.age > kAliveFor ||
      (peers_.size() >= kMaxPeers && !peers_.contains(entry.vm))) {
    return;
  }
  Peer& peer = peers_[entry.vm];
  const TimePoint alive_at = now - std::max(Duration(0), entry.age);
  if (!peer.is_known || alive_at > peer.alive_at) {
    peer.entry = entry;
    peer.is_known = true;
    peer.alive_at = alive_at;
  }
}

bool PeerTable::Take(TimePoint now, const PeerReport& report) {
  const std::string& vm = report.sender.vm;
  if (vm == self_.vm) {
    return false;
  }
  const auto held = peers_.find(vm);
  const bool was_alive = held != peers_.end() && IsAlive(now, held->second);
  if (was_alive && (report.incarnation < held->second.incarnation ||
                    (report.incarnation == held->second.incarnation &&
                     report.sequence <= held->second.sequence))) {
    return false;
  }
  NoteRoster(now, report.sender);
  for (const RosterEntry& it : report.roster) {
    NoteRoster(now, it);
  }
  const auto it = peers_.find(vm);
  if (it == peers_.end()) {
    return false;
  }
  Peer& peer = it->second;
  peer.incarnation = report.incarnation;
  peer.sequence = report.sequence;
  switch (report.scope) {
    case ReportScope::kRouter:
      peer.own = report;
      peer.own_at = now;
      break;
    case ReportScope::kZone:
      peer.zone = report;
      peer.zone_at = now;
      break;
    case ReportScope::kFleet:
      peer.suspected_until = TimePoint();
      fleet_ = report;
      fleet_at_ = now;
      break;
  }
  return !was_alive;
}

void PeerTable::NoteAddress(const std::string& vm) {
  if (vm != self_.vm && peers_.size() < kMaxPeers) {
    peers_.try_emplace(vm);
  }
}

void PeerTable::Expire(TimePoint now) {
  std::erase_if(peers_, [now](const auto& it) {
    return it.second.is_known && now - it.second.alive_at > kRememberedFor;
  });
}

std::vector<RosterEntry> PeerTable::Alive(TimePoint now) const {
  std::vector<RosterEntry> alive;
  for (const auto& [vm, peer] : peers_) {
    if (IsAlive(now, peer)) {
      alive.push_back(peer.entry);
      alive.back().age = now - peer.alive_at;
    }
  }
  return alive;
}

std::vector<std::string> PeerTable::Silent(TimePoint now) const {
  std::vector<std::string> silent;
  for (const auto& [vm, peer] : peers_) {
    if (!IsAlive(now, peer)) {
      silent.push_back(vm);
    }
  }
  return silent;
}

int PeerTable::FleetSize(TimePoint now) const {
  return 1 + static_cast<int>(std::count_if(peers_.begin(), peers_.end(),
                                            [this, now](const auto& it) {
                                              return IsAlive(now, it.second);
                                            }));
}

int PeerTable::OwnPosition(TimePoint now) const {
  return static_cast<int>(
      std::count_if(peers_.begin(), peers_.end(), [this, now](const auto& it) {
        return IsAlive(now, it.second) && it.first < self_.vm;
      }));
}

bool PeerTable::UsesRelays(TimePoint now) const {
  return FleetSize(now) > kMaxMesh;
}

std::vector<RosterEntry> PeerTable::RelayOrder(TimePoint now,
                                               const std::string& zone) const {
  std::vector<RosterEntry> order;
  for (const auto& [vm, peer] : peers_) {
    if (IsAlive(now, peer) && peer.entry.zone == zone &&
        now >= peer.suspected_until) {
      order.push_back(peer.entry);
    }
  }
  if (zone == self_.zone) {
    order.push_back(self_);
  }
  std::sort(order.begin(), order.end(),
            [](const RosterEntry& a, const RosterEntry& b) {
              return a.capacity != b.capacity ? a.capacity > b.capacity
                                              : a.vm < b.vm;
            });
  return order;
}

int PeerTable::OwnRank(TimePoint now) const {
  const std::vector<RosterEntry> order = RelayOrder(now, self_.zone);
  int rank = 0;
  for (const RosterEntry& it : order) {
    if (it.vm == self_.vm) {
      break;
    }
    ++rank;
  }
  return rank;
}

std::optional<std::string> PeerTable::RelayOf(TimePoint now,
                                              const std::string& zone) const {
  const std::vector<RosterEntry> order = RelayOrder(now, zone);
  return order.empty() ? std::nullopt
                       : std::optional<std::string>(order.front().vm);
}

std::vector<RosterEntry> PeerTable::OtherRelays(TimePoint now) const {
  std::map<std::string, RosterEntry> best;
  for (const auto& [vm, peer] : peers_) {
    if (!IsAlive(now, peer) || peer.entry.zone == self_.zone) {
      continue;
    }
    const auto [it, is_new] = best.emplace(peer.entry.zone, peer.entry);
    if (!is_new && peer.entry.capacity > it->second.capacity) {
      it->second = peer.entry;
    }
  }
  std::vector<RosterEntry> relays;
  relays.reserve(best.size());
  for (auto& [zone, entry] : best) {
    relays.push_back(std::move(entry));
  }
  return relays;
}

void PeerTable::SuspectRelay(TimePoint now) {
  const auto relay = RelayOf(now, self_.zone);
  if (relay && *relay != self_.vm) {
    peers_[*relay].suspected_until = now + kSuspectedFor;
  }
}

LoadByTarget PeerTable::LoadOfOthers(TimePoint now) const {
  if (UsesRelays(now) && !IsRelay(now)) {
    return fleet_ && now - fleet_at_ <= kLoadFor ? fleet_->load
                                                 : LoadByTarget{};
  }
  LoadByTarget sum;
  const bool has_relays = UsesRelays(now);
  for (const auto& [vm, peer] : peers_) {
    const bool is_direct = !has_relays || peer.entry.zone == self_.zone;
    if (is_direct && peer.own && now - peer.own_at <= kLoadFor) {
      AddLoad(peer.own->load, sum);
    } else if (!is_direct && peer.zone && now - peer.zone_at <= kLoadFor) {
      AddLoad(peer.zone->load, sum);
    }
  }
  return sum;
}

RatesByCustomer PeerTable::DemandOfOthers(TimePoint now) const {
  if (UsesRelays(now) && !IsRelay(now)) {
    return fleet_ && now - fleet_at_ <= kAliveFor ? fleet_->demand
                                                  : RatesByCustomer{};
  }
  RatesByCustomer sum;
  const bool has_relays = UsesRelays(now);
  for (const auto& [vm, peer] : peers_) {
    const bool is_direct = !has_relays || peer.entry.zone == self_.zone;
    if (is_direct && peer.own && now - peer.own_at <= kAliveFor) {
      AddDemand(peer.own->demand, sum);
    } else if (!is_direct && peer.zone && now - peer.zone_at <= kAliveFor) {
      AddDemand(peer.zone->demand, sum);
    }
  }
  return sum;
}

double PeerTable::LinkUseOfOthers(TimePoint now) const {
  const bool has_relays = UsesRelays(now);
  if (has_relays && !IsRelay(now)) {
    return fleet_ && now - fleet_at_ <= kLoadFor ? fleet_->link_use : 0.0;
  }
  double sum = 0;
  for (const auto& [vm, peer] : peers_) {
    if (peer.entry.region != self_.region) {
      continue;
    }
    const bool is_direct = !has_relays || peer.entry.zone == self_.zone;
    if (is_direct && peer.own && now - peer.own_at <= kLoadFor) {
      sum += peer.own->link_use;
    } else if (!is_direct && peer.zone && now - peer.zone_at <= kLoadFor) {
      sum += peer.zone->link_use;
    }
  }
  return sum;
}

void PeerTable::AddZone(TimePoint now, PeerReport& own) const {
  own.scope = ReportScope::kZone;
  for (const auto& [vm, peer] : peers_) {
    if (peer.entry.zone == self_.zone && peer.own &&
        now - peer.own_at <= kLoadFor) {
      AddLoad(peer.own->load, own.load);
      AddDemand(peer.own->demand, own.demand);
      own.link_use += peer.own->link_use;
    }
  }
}

PeerReport PeerTable::FleetReportFor(TimePoint now, const std::string& vm,
                                     const PeerReport& own) const {
  PeerReport report = own;
  report.scope = ReportScope::kFleet;
  AddLoad(LoadOfOthers(now), report.load);
  AddDemand(DemandOfOthers(now), report.demand);
  report.link_use += LinkUseOfOthers(now);
  const auto it = peers_.find(vm);
  if (it != peers_.end() && it->second.own &&
      now - it->second.own_at <= kLoadFor) {
    Subtract(it->second.own->load, report.load);
    Subtract(it->second.own->demand, report.demand);
    report.link_use = std::max(0.0, report.link_use - it->second.own->link_use);
  }
  return report;
}

std::optional<std::string> PeerTable::NewerCopy(
    TimePoint now, std::uint64_t PeerReport::*revision,
    std::uint64_t own) const {
  const PeerReport* newest = nullptr;
  bool is_near = false;
  const auto consider = [&](const std::optional<PeerReport>& report,
                            TimePoint at) {
    if (!report || now - at > kAliveFor || (*report).*revision <= own) {
      return;
    }
    // A copy within the zone costs no bytes between zones.
    const bool near = report->sender.zone == self_.zone;
    if (newest == nullptr || (near && !is_near) ||
        (near == is_near && (*report).*revision > newest->*revision)) {
      newest = &*report;
      is_near = near;
    }
  };
  for (const auto& [vm, peer] : peers_) {
    consider(peer.own, peer.own_at);
    consider(peer.zone, peer.zone_at);
  }
  consider(fleet_, fleet_at_);
  return newest == nullptr ? std::nullopt
                           : std::optional<std::string>(newest->sender.vm);
}

TimePoint PeerTable::OperatorCopyProvenAt(TimePoint now,
                                          std::uint64_t own) const {
  TimePoint proven;
  const auto consider = [&](const std::optional<PeerReport>& report,
                            TimePoint at) {
    if (report && now - at <= kAliveFor && report->operator_revision <= own) {
      proven = std::max(proven, at - report->operator_age);
    }
  };
  for (const auto& [vm, peer] : peers_) {
    consider(peer.own, peer.own_at);
  }
  consider(fleet_, fleet_at_);
  return proven;
}

}  // namespace corianderpost
