#include "peers/keeper_selection.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

namespace corianderpost {
namespace {

using std::chrono::milliseconds;

// Peers that remember a record beside the router that made it.
constexpr std::size_t kKeepers = 2;
// Routers of each zone that are asked for a record. The first ones may have
// started after the record was sent.
constexpr std::size_t kAskedPerZone = 3;
// Bounds the messages and the memory of one search.
constexpr std::size_t kMaxAsked = 32;
// Routers that question a target.
constexpr std::size_t kAskersPerTarget = 2;
// How long the list of live routers is used.
constexpr Duration kMaxAge = milliseconds(100);

std::uint32_t HashItem(const StreamKey& key) {
  return static_cast<std::uint32_t>(key.value ^ (key.value >> 32));
}

}  // namespace

KeeperSelection::KeeperSelection(RouterInfo self, const StreamPeers& peers)
    : self_(std::move(self)), peers_(peers) {}

void KeeperSelection::Refresh(TimePoint now) {
  if (refreshed_at_ != TimePoint::min() && now - refreshed_at_ < kMaxAge) {
    return;
  }
  refreshed_at_ = now;
  live_peers_.clear();
  std::vector<RouterInfo> routers = peers_.LiveRouters(now);
  for (const RouterInfo& it : routers) {
    live_peers_.push_back(it.vm);
  }
  routers.push_back(self_);
  std::map<std::string, Zone> zones;
  for (const RouterInfo& it : routers) {
    Zone& zone = zones[it.zone];
    zone.name = it.zone;
    zone.is_in_local_region = it.region == self_.region;
    zone.routers.push_back({it.vm, VmId::FromName(it.vm)});
  }
  zones_.clear();
  for (auto& [name, zone] : zones) {
    zone.id = VmId::FromName(name).value();
    zones_.push_back(std::move(zone));
  }
}

std::vector<std::string> KeeperSelection::Candidates(const Zone& zone,
                                                     const StreamKey& key,
                                                     std::size_t count) {
  std::vector<std::pair<std::uint64_t, const std::string*>> ranked;
  for (const Router& it : zone.routers) {
    ranked.emplace_back(RendezvousWeight(it.id.value(), HashItem(key)), &it.vm);
  }
  const std::size_t n = std::min(count, ranked.size());
  std::partial_sort(
      ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(n),
      ranked.end(),
      [](const auto& a, const auto& b) { return a.first > b.first; });
  std::vector<std::string> vms;
  for (std::size_t i = 0; i < n; ++i) {
    vms.push_back(*ranked[i].second);
  }
  return vms;
}

std::vector<std::string> KeeperSelection::Keepers(const StreamKey& key) const {
  // Other zones before this one, those of this region first.
  std::vector<const Zone*> ranked;
  for (const Zone& it : zones_) {
    ranked.push_back(&it);
  }
  const auto rank = [&](const Zone& zone) {
    return std::tuple(zone.name != self_.zone, zone.is_in_local_region,
                      RendezvousWeight(zone.id, HashItem(key)));
  };
  std::sort(ranked.begin(), ranked.end(),
            [&](const Zone* a, const Zone* b) { return rank(*a) > rank(*b); });
  std::vector<std::string> keepers;
  for (const Zone* zone : ranked) {
    const bool is_local = zone->name == self_.zone;
    for (const std::string& it :
         Candidates(*zone, key, is_local ? kKeepers + 1 : 1)) {
      if (it != self_.vm && keepers.size() < kKeepers) {
        keepers.push_back(it);
      }
    }
  }
  return keepers;
}

void KeeperSelection::AddPossibleKeepers(const StreamKey& key,
                                         std::set<std::string>& keepers) const {
  std::vector<const Zone*> ranked;
  for (const Zone& it : zones_) {
    ranked.push_back(&it);
  }
  std::stable_sort(ranked.begin(), ranked.end(),
                   [](const Zone* a, const Zone* b) {
                     return a->is_in_local_region > b->is_in_local_region;
                   });
  std::size_t added = 0;
  for (const Zone* zone : ranked) {
    for (const std::string& it : Candidates(*zone, key, kAskedPerZone)) {
      if (it != self_.vm && added < kMaxAsked) {
        keepers.insert(it);
        ++added;
      }
    }
  }
}

bool KeeperSelection::IsAsker(const std::string& target_id) const {
  const std::uint32_t target = TargetId::FromName(target_id).value();
  const auto weight_of = [target](const std::string& vm) {
    return RendezvousWeight(VmId::FromName(vm).value(), target);
  };
  const std::uint64_t own_weight = weight_of(self_.vm);
  return static_cast<std::size_t>(
             std::count_if(live_peers_.begin(), live_peers_.end(),
                           [&](const std::string& it) {
                             return weight_of(it) > own_weight;
                           })) < kAskersPerTarget;
}

}  // namespace corianderpost
