// Settings of one router, read from a YAML file.
#ifndef CORIANDERPOST_ROUTER_SETTINGS_H_
#define CORIANDERPOST_ROUTER_SETTINGS_H_

#include <map>
#include <string>
#include <vector>

#include "corianderpost/clock.h"
#include "decisions/adaptive_placement.h"
#include "decisions/retry_budget.h"
#include "runtime/checked_yaml.h"

namespace corianderpost {

// A value type.
struct RouterSettings {
  // Name of this VM, used in log lines only; peers know it by its `ip`.
  std::string vm;
  std::string zone;
  std::string region;
  // IPv4 address of this VM.
  std::string ip;
  // Addresses to listen on, each "IPv4:port".
  std::string callers_address;
  std::string readiness_address;
  std::string control_address;
  std::uint16_t peer_port = 0;
  // Control addresses of other routers, to find the fleet; some may be stale.
  // Only the IPv4 addresses are used, as all routers use the same ports.
  std::vector<std::string> seeds;
  // Region of each zone.
  std::map<std::string, std::string> region_of_zone;
  // Address of the store, "IPv4:port".
  std::string store_address;
  // Time between SIGTERM and SIGKILL.
  Duration shutdown_grace = std::chrono::seconds(8);
  RetryBudgetLimits retry_budget;
  // Capacity of the link between two regions, shared by all traffic. Zero
  // disables requests to targets in other regions.
  double region_link_bytes_per_second = 0;
  // Limit on open file descriptors.
  int max_descriptors = 1024;
  // Required and range-checked, but not used.
  int memory_mb = 128;
  // Processor share in thousandths of a core. In a fleet that uses relays, a
  // zone's relay is its router with the largest share among those that are
  // alive and not suspected to have failed.
  int cpu_millicores = 1000;
  // Where learned costs, measured capacity and engine speeds take effect.
  AdaptiveMode adaptive_placement = AdaptiveMode::kAuto;
  friend bool operator==(const RouterSettings&,
                         const RouterSettings&) = default;

  // Throws YamlError if a setting is missing, unknown or invalid.
  static RouterSettings FromYaml(const CheckedYaml& yaml);
};

}  // namespace corianderpost

#endif  // CORIANDERPOST_ROUTER_SETTINGS_H_
