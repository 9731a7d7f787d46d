#include "peers/peer_report.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "absl/status/status.h"

namespace corianderpost {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

// A router silent for this long does not count as live.
constexpr Duration kAliveFor = milliseconds(2000);
// Its load is left out sooner, for it is outdated.
constexpr Duration kLoadFor = milliseconds(1500);
// Then it is forgotten, unless the settings name it again.
constexpr Duration kRememberedFor = seconds(60);
// Routers that are remembered.
constexpr std::size_t kMaxPeers = 4096;
// Version of the encoding; a router ignores other versions.
constexpr int kFormat = 1;

}  // namespace

std::string EncodeReport(const PeerReport& report) {
  Json load = Json::array();
  for (const auto& [id, it] : report.load) {
    load.push_back({id, it.in_flight, static_cast<std::int64_t>(it.pending_tokens),
                    static_cast<std::int64_t>(it.memory_tokens)});
  }
  Json demand = Json::array();
  for (const auto& [customer, rate] : report.demand) {
    demand.push_back({customer, static_cast<std::int64_t>(rate)});
  }
  Json crashes = Json::array();
  for (const CrashReport& it : report.crashes) {
    crashes.push_back({it.request, it.crash_id});
  }
  const Json json = {kFormat,
                     report.vm,
                     report.zone,
                     report.region,
                     report.incarnation,
                     report.sequence,
                     report.operator_revision,
                     report.target_revision,
                     report.is_leaving,
                     std::move(load),
                     std::move(demand),
                     std::move(crashes),
                     report.unreachable,
                     report.heard};
  const std::vector<std::uint8_t> bytes = Json::to_msgpack(json);
  return {bytes.begin(), bytes.end()};
}

absl::StatusOr<PeerReport> DecodeReport(std::string_view bytes) {
  const Json json =
      Json::from_msgpack(bytes.begin(), bytes.end(), true, false);
  if (!json.is_array() || json.size() != 14 || json[0] != kFormat) {
    return absl::InvalidArgumentError("no report of this version");
  }
  try {
    PeerReport report;
    report.vm = json[1].get<std::string>();
    report.zone = json[2].get<std::string>();
    report.region = json[3].get<std::string>();
    report.incarnation = json[4].get<std::uint64_t>();
    report.sequence = json[5].get<std::uint64_t>();
    report.operator_revision = json[6].get<std::uint64_t>();
    report.target_revision = json[7].get<std::uint64_t>();
    report.is_leaving = json[8].get<bool>();
    for (const Json& it : json[9]) {
      report.load[it.at(0).get<std::string>()] = {
          it.at(1).get<int>(), it.at(2).get<double>(), it.at(3).get<double>()};
    }
    for (const Json& it : json[10]) {
      report.demand[it.at(0).get<std::string>()] = it.at(1).get<double>();
    }
    for (const Json& it : json[11]) {
      report.crashes.push_back(
          {it.at(0).get<std::uint64_t>(), it.at(1).get<std::uint64_t>()});
    }
    report.unreachable = json[12].get<std::vector<std::string>>();
    report.heard = json[13].get<std::vector<std::string>>();
    return report;
  } catch (const Json::exception& ex) {
    return absl::InvalidArgumentError(ex.what());
  }
}

bool PeerTable::Take(TimePoint now, PeerReport report) {
  if (report.vm == own_vm_ || (peers_.size() >= kMaxPeers &&
                               !peers_.contains(report.vm))) {
    return false;
  }
  Peer& peer = peers_[report.vm];
  if (peer.has_report &&
      (report.incarnation < peer.report.incarnation ||
       (report.incarnation == peer.report.incarnation &&
        report.sequence <= peer.report.sequence)) &&
      now - peer.heard_at < kAliveFor) {
    return false;
  }
  for (const std::string& it : report.heard) {
    NoteAddress(it);
  }
  Peer& taken = peers_[report.vm];
  taken.report = std::move(report);
  taken.heard_at = now;
  taken.has_report = true;
  return true;
}

void PeerTable::NoteAddress(const std::string& vm) {
  if (vm != own_vm_ && peers_.size() < kMaxPeers) {
    peers_.try_emplace(vm);
  }
}

void PeerTable::Expire(TimePoint now) {
  std::erase_if(peers_, [now](const auto& it) {
    return it.second.has_report && now - it.second.heard_at > kRememberedFor;
  });
}

bool PeerTable::IsAlive(TimePoint now, const std::string& vm) const {
  const auto it = peers_.find(vm);
  return it != peers_.end() && it->second.has_report &&
         now - it->second.heard_at <= kAliveFor;
}

std::vector<const PeerReport*> PeerTable::Alive(TimePoint now) const {
  std::vector<const PeerReport*> alive;
  for (const auto& [vm, peer] : peers_) {
    if (peer.has_report && now - peer.heard_at <= kAliveFor) {
      alive.push_back(&peer.report);
    }
  }
  return alive;
}

std::vector<std::string> PeerTable::Addresses() const {
  std::vector<std::string> addresses;
  for (const auto& [vm, peer] : peers_) {
    addresses.push_back(vm);
  }
  return addresses;
}

int PeerTable::FleetSize(TimePoint now) const {
  return static_cast<int>(Alive(now).size()) + 1;
}

int PeerTable::OwnPosition(TimePoint now) const {
  int position = 0;
  for (const PeerReport* it : Alive(now)) {
    position += it->vm < own_vm_ ? 1 : 0;
  }
  return position;
}

std::map<std::string, TargetLoad> PeerTable::SumOfLoad(TimePoint now) const {
  std::map<std::string, TargetLoad> sum;
  for (const auto& [vm, peer] : peers_) {
    if (!peer.has_report || now - peer.heard_at > kLoadFor) {
      continue;
    }
    for (const auto& [id, load] : peer.report.load) {
      TargetLoad& total = sum[id];
      total.in_flight += load.in_flight;
      total.pending_tokens += load.pending_tokens;
      total.memory_tokens += load.memory_tokens;
    }
  }
  return sum;
}

DemandByCustomer PeerTable::SumOfDemand(TimePoint now) const {
  DemandByCustomer sum;
  for (const auto& [vm, peer] : peers_) {
    if (!peer.has_report || now - peer.heard_at > kAliveFor) {
      continue;
    }
    for (const auto& [customer, rate] : peer.report.demand) {
      sum[customer] += rate;
    }
  }
  return sum;
}

}  // namespace corianderpost
