// Settings of one router, read from a YAML file.
#ifndef CORIANDERPOST_ROUTER_SETTINGS_H_
#define CORIANDERPOST_ROUTER_SETTINGS_H_

#include <map>
#include <string>
#include <vector>

#include "corianderpost/clock.h"
#include "decisions/retry_budget.h"
#include "runtime/checked_yaml.h"

namespace corianderpost {

struct RouterSettings {
  std::string vm;
  std::string zone;
  std::string region;
  // IPv4 address of this VM.
  std::string ip;
  // "IP:port" each.
  std::string callers_address;
  std::string readiness_address;
  std::string control_address;
  std::uint16_t peer_port = 0;
  // Control addresses of other routers; some may be outdated.
  std::vector<std::string> seeds;
  std::map<std::string, std::string> region_of_zone;
  std::string store_address;
  // Time from SIGTERM to SIGKILL.
  Duration shutdown_grace = std::chrono::seconds(8);
  RetryBudgetLimits retry_budget;
  // Capacity of the link between two regions, all traffic together.
  double region_link_bytes_per_second = 0;
  int max_descriptors = 1024;
  int memory_mb = 128;
  // Share of a processor in thousandths; larger routers relay for others.
  int cpu_millicores = 1000;
  friend bool operator==(const RouterSettings&,
                         const RouterSettings&) = default;

  // Throws YamlError with file, line and column if something is wrong.
  static RouterSettings FromYaml(const CheckedYaml& yaml);
};

}  // namespace corianderpost

#endif  // CORIANDERPOST_ROUTER_SETTINGS_H_
