#include "router/share_log.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace corianderpost {
namespace {

// Returns the customer's name, or its id if the configuration lacks it.
std::string NameOf(CustomerId id, const Configuration& configuration) {
  const auto& customers = configuration.customers();
  const auto it = std::find_if(
      customers.begin(), customers.end(),
      [id](const CustomerProfile& profile) { return profile.id == id; });
  return it == customers.end() ? std::to_string(id.value()) : it->name;
}

std::int64_t Rounded(double value) { return static_cast<std::int64_t>(value); }

}  // namespace

nlohmann::json DescribeShares(TimePoint now, FairShare& share,
                              const Configuration& configuration,
                              const RejectionTally::Counts& rejections) {
  const double level = share.ShareLevel(now);
  using Entry = RatesByCustomer::value_type;
  std::vector<const Entry*> above;
  for (const Entry& it : share.FleetRates(now)) {
    if (it.second.demand > level) {
      above.push_back(&it);
    }
  }
  std::sort(above.begin(), above.end(), [](const Entry* a, const Entry* b) {
    return a->second.demand > b->second.demand;
  });
  const auto least = std::min_element(
      above.begin(), above.end(),
      [](auto* a, auto* b) { return a->second.admitted < b->second.admitted; });
  if (const auto index = static_cast<std::size_t>(least - above.begin());
      index >= kMaxCustomersInShareLog && index < above.size()) {
    above[kMaxCustomersInShareLog] = *least;
    above.resize(kMaxCustomersInShareLog + 1);
  } else {
    above.resize(std::min(above.size(), kMaxCustomersInShareLog));
  }
  const RatesByCustomer local_rates = share.LocalRates(now);
  nlohmann::json lines = nlohmann::json::array();
  for (const Entry* it : above) {
    const std::string name = NameOf(it->first, configuration);
    const auto found = local_rates.find(it->first);
    const CustomerRates local =
        found == local_rates.end() ? CustomerRates() : found->second;
    nlohmann::json by_reason = nlohmann::json::object();
    for (const auto& [key, count] : rejections) {
      if (key.customer == name) {
        by_reason[key.reason] = count;
      }
    }
    lines.push_back({{"customer", name},
                     {"fleet_demand", Rounded(it->second.demand)},
                     {"fleet_admitted", Rounded(it->second.admitted)},
                     {"demand", Rounded(local.demand)},
                     {"current_demand", Rounded(local.current_demand)},
                     {"admitted", Rounded(local.admitted)},
                     {"credit", Rounded(share.Credit(now, it->first))},
                     {"rejected", std::move(by_reason)}});
  }
  return lines;
}

}  // namespace corianderpost
