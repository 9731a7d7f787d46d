#include "router/settings.h"

#include "dataplane/upstream.h"

namespace corianderpost {
namespace {

constexpr std::int64_t kMaxPort = 65535;
constexpr double kMillicoresPerCore = 1000;
constexpr double kBytesPerMbit = 1e6 / 8;

std::string ReadAddress(const CheckedYaml& yaml) {
  std::string text = yaml.AsString();
  if (!ParseEndpoint(text)) {
    yaml.Fail("'" + text + "' is not an address (IPv4:port)");
  }
  return text;
}

double ReadNonNegative(const CheckedYaml& yaml) {
  // `AsPositiveNumber` rejects zero, which is valid here.
  return yaml.AsString() == "0" ? 0.0 : yaml.AsPositiveNumber();
}

AdaptiveMode ReadAdaptiveMode(const CheckedYaml& yaml) {
  const std::string text = yaml.AsString();
  for (const AdaptiveMode mode :
       {AdaptiveMode::kAuto, AdaptiveMode::kOn, AdaptiveMode::kOff}) {
    if (text == ToString(mode)) {
      return mode;
    }
  }
  yaml.Fail("'" + text + "' is not one of auto, on, off");
}

Duration ReadSeconds(const CheckedYaml& yaml) {
  return Duration(static_cast<std::int64_t>(yaml.AsPositiveNumber() * 1e6));
}

}  // namespace

RouterSettings RouterSettings::FromYaml(const CheckedYaml& yaml) {
  yaml.RequireOnlyKeys({"vm",
                        "zone",
                        "region",
                        "ip",
                        "callers",
                        "readiness",
                        "control",
                        "peer_port",
                        "seeds",
                        "zones",
                        "store",
                        "grace_seconds",
                        "retry_ratio",
                        "retry_window_seconds",
                        "retry_slack",
                        "max_descriptors",
                        "memory_mb",
                        "processor_share",
                        "region_link_mbit",
                        "adaptive_placement"});
  RouterSettings settings;
  settings.vm = yaml.Get("vm").AsString();
  settings.zone = yaml.Get("zone").AsString();
  settings.region = yaml.Get("region").AsString();
  settings.ip = yaml.Get("ip").AsString();
  settings.callers_address = ReadAddress(yaml.Get("callers"));
  settings.readiness_address = ReadAddress(yaml.Get("readiness"));
  settings.control_address = ReadAddress(yaml.Get("control"));
  settings.peer_port =
      static_cast<std::uint16_t>(yaml.Get("peer_port").AsInt(1, kMaxPort));
  for (const CheckedYaml& it : yaml.Get("seeds").Items()) {
    settings.seeds.push_back(ReadAddress(it));
  }
  for (const CheckedYaml::Entry& it : yaml.Get("zones").Entries()) {
    settings.region_of_zone[it.key.AsString()] = it.value.AsString();
  }
  settings.store_address = ReadAddress(yaml.Get("store"));
  settings.shutdown_grace = ReadSeconds(yaml.Get("grace_seconds"));
  settings.retry_budget.ratio = ReadNonNegative(yaml.Get("retry_ratio"));
  settings.retry_budget.window = ReadSeconds(yaml.Get("retry_window_seconds"));
  settings.retry_budget.slack = ReadNonNegative(yaml.Get("retry_slack"));
  settings.max_descriptors =
      static_cast<int>(yaml.Get("max_descriptors").AsInt(64, 10'000'000));
  settings.cpu_millicores = static_cast<int>(
      kMillicoresPerCore * yaml.Get("processor_share").AsPositiveNumber());
  settings.region_link_bytes_per_second =
      kBytesPerMbit * ReadNonNegative(yaml.Get("region_link_mbit"));
  settings.memory_mb =
      static_cast<int>(yaml.Get("memory_mb").AsInt(16, 10'000'000));
  if (const auto mode = yaml.Find("adaptive_placement")) {
    settings.adaptive_placement = ReadAdaptiveMode(*mode);
  }
  return settings;
}

}  // namespace corianderpost
