#include "router/share_log.h"

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <utility>

namespace corianderpost {
namespace {

const TimePoint kStart(std::chrono::seconds(100));

std::shared_ptr<const Configuration> ConfigurationOf(int customers) {
  ConfigurationParts parts;
  for (int i = 0; i < customers; ++i) {
    CustomerProfile profile;
    profile.name = "customer" + std::to_string(i);
    profile.id = CustomerId::FromName(profile.name);
    parts.customers.push_back(profile);
  }
  return Configuration::Create(std::move(parts));
}

TEST_CASE("The share log is empty while all demand fits the capacity") {
  FairShare share;
  share.SetCapacity(1000);
  share.RecordDemand(kStart, CustomerId::FromName("customer0"), 10);
  CHECK(DescribeShares(kStart, share, *ConfigurationOf(1), {}).empty());
}

// A line per customer would grow with the configuration.
TEST_CASE("The share log names the largest customers and the least served") {
  constexpr int kCustomers = 40;
  FairShare share;
  share.SetCapacity(1000);
  RatesByCustomer peers;
  for (int i = 0; i < kCustomers; ++i) {
    peers[CustomerId::FromName("customer" + std::to_string(i))] = {
        1000.0 + i, i == 3 ? 1.0 : 20.0, 0};
  }
  share.SetPeerRates(peers);
  const nlohmann::json lines = DescribeShares(
      kStart, share, *ConfigurationOf(kCustomers),
      {{{"over_share", "customer3"}, 7}, {{"overloaded", "customer39"}, 2}});
  REQUIRE(lines.size() == kMaxCustomersInShareLog + 1);
  CHECK(lines.front()["customer"] == "customer39");
  CHECK(lines.front()["rejected"] == nlohmann::json({{"overloaded", 2}}));
  CHECK(lines.back()["customer"] == "customer3");
  CHECK(lines.back()["fleet_admitted"] == 1);
  CHECK(lines.back()["rejected"] == nlohmann::json({{"over_share", 7}}));
}

}  // namespace
}  // namespace corianderpost
