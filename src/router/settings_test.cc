#include "router/settings.h"

#include <doctest/doctest.h>

namespace corianderpost {
namespace {

const std::string kValidYaml =
    "vm: v\nzone: a\nregion: west\nip: 10.0.0.1\n"
    "callers: 10.0.0.1:80\nreadiness: 10.0.0.1:81\ncontrol: 10.0.0.1:82\n"
    "peer_port: 7400\nseeds: [\"10.0.0.2:82\"]\nzones: {a: west}\n"
    "store: 10.0.0.9:90\ngrace_seconds: 8\nretry_ratio: 0.2\n"
    "retry_window_seconds: 10\nretry_slack: 0\nmax_descriptors: 4100\n"
    "memory_mb: 110\nprocessor_share: 0.25\nregion_link_mbit: 30\n";

std::string ErrorFor(const std::string& text) {
  try {
    RouterSettings::FromYaml(CheckedYaml::FromText(text, "router.yaml"));
  } catch (const YamlError& ex) {
    return ex.what();
  }
  return "no error";
}

TEST_CASE("RouterSettings reads every field") {
  const RouterSettings settings = RouterSettings::FromYaml(
      CheckedYaml::FromText(kValidYaml, "router.yaml"));
  CHECK(settings.vm == "v");
  CHECK(settings.peer_port == 7400);
  CHECK(settings.seeds == std::vector<std::string>{"10.0.0.2:82"});
  CHECK(settings.region_of_zone.at("a") == "west");
  CHECK(settings.shutdown_grace == std::chrono::seconds(8));
  CHECK(settings.retry_budget.ratio == doctest::Approx(0.2));
  CHECK(settings.retry_budget.slack == 0);
  CHECK(settings.cpu_millicores == 250);
  CHECK(settings.region_link_bytes_per_second == doctest::Approx(3.75e6));
}

TEST_CASE("RouterSettings reports the location of an invalid address") {
  std::string text = kValidYaml;
  text.replace(text.find("10.0.0.9:90"), 11, "store:90   ");
  CHECK(ErrorFor(text).find(
            "router.yaml:11:8: 'store:90' is not an address (IPv4:port)") !=
        std::string::npos);
}

TEST_CASE(
    "RouterSettings rejects an unknown key and suggests the closest one") {
  CHECK(ErrorFor(kValidYaml + "memory_md: 9\n").find("memory_mb") !=
        std::string::npos);
}

TEST_CASE("RouterSettings reads where adaptive decisions take effect") {
  CHECK(
      RouterSettings::FromYaml(CheckedYaml::FromText(kValidYaml, "router.yaml"))
          .adaptive_placement == AdaptiveMode::kAuto);
  CHECK(RouterSettings::FromYaml(
            CheckedYaml::FromText(kValidYaml + "adaptive_placement: \"off\"\n",
                                  "router.yaml"))
            .adaptive_placement == AdaptiveMode::kOff);
  CHECK(ErrorFor(kValidYaml + "adaptive_placement: maybe\n")
            .find("not one of auto, on, off") != std::string::npos);
}

}  // namespace
}  // namespace corianderpost
