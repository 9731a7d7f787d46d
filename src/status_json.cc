#include "corianderpost/internal/status_json.h"

namespace corianderpost::internal {

using Json = nlohmann::json;

Json StatusToJson(const RouterStatus& status) {
  Json targets = Json::array();
  for (const auto& it : status.targets) {
    Json target = {{"name", it.name},
                   {"owned_here", it.owned_here},
                   {"outstanding", it.outstanding}};
    if (it.owned_here) {
      target["warm"] = it.warm;
      target["lease"] = it.lease_held;
      target["free"] = it.free;
    }
    targets.push_back(target);
  }
  Json accounts = Json::array();
  for (const auto& it : status.accounts) {
    accounts.push_back({{"service", it.service},
                        {"customer", it.customer},
                        {"units_served", it.units_served},
                        {"waiting_here", it.waiting}});
  }
  Json peers = Json::array();
  for (const auto& it : status.peers) {
    peers.push_back({{"router", it.router.value()},
                     {"heard", it.heard},
                     {"revision", it.bundle_revision}});
  }
  return {{"serving", status.serving},
          {"draining", status.draining},
          {"revision", status.bundle_revision},
          {"highest_revision", status.highest_revision},
          {"list_revision", status.list_revision},
          {"waiting", status.waiting},
          {"running", status.running},
          {"invariant_checks", status.invariant_checks},
          {"invariant_violations", status.invariant_violations},
          {"targets", targets},
          {"accounts", accounts},
          {"peers", peers}};
}

Json DecisionsToJson(TimePoint now, const std::vector<Decision>& decisions) {
  Json steps = Json::array();
  for (const auto& it : decisions) {
    steps.push_back({{"age_ms", (now - it.at).count() / 1000},
                     {"request", it.request},
                     {"step", it.text}});
  }
  return {{"decisions", steps}};
}

}  // namespace corianderpost::internal
