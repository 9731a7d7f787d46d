// corianderpost-standins: stand-ins for the systems around the fleet.
#include <iostream>

#include "corianderpost/checked_yaml.h"
#include "corianderpost/internal/command_line.h"
#include "corianderpost/internal/http_util.h"
#include "corianderpost/internal/standins.h"

namespace {

namespace po = boost::program_options;
namespace in = corianderpost::internal;
using corianderpost::CheckedYaml;
using corianderpost::Duration;

constexpr std::size_t kThreads = 512;
constexpr std::size_t kMaxBodyBytes = 8'000'000;
constexpr std::int64_t kMaxMilliseconds = 3'600'000;

Duration Milliseconds(const CheckedYaml& settings, const std::string& key,
                      Duration otherwise) {
  const auto value = settings.Find(key);
  return value ? std::chrono::milliseconds(value->AsInt(0, kMaxMilliseconds))
               : otherwise;
}

int Whole(const CheckedYaml& settings, const std::string& key, int otherwise) {
  const auto value = settings.Find(key);
  return value ? static_cast<int>(value->AsInt(1, 1'000'000'000)) : otherwise;
}

in::EngineOptions EngineOptionsFrom(const CheckedYaml& settings) {
  settings.RequireMapOf({"slots", "cold_slots", "first_token_ms",
                         "between_tokens_ms", "mean_tokens", "cold_ms",
                         "restart_ms", "report_lag_ms", "starts_cold"});
  in::EngineOptions options;
  options.slots = Whole(settings, "slots", options.slots);
  options.cold_slots = Whole(settings, "cold_slots", options.cold_slots);
  options.first_token =
      Milliseconds(settings, "first_token_ms", options.first_token);
  options.between_tokens =
      Milliseconds(settings, "between_tokens_ms", options.between_tokens);
  options.mean_tokens = Whole(settings, "mean_tokens", options.mean_tokens);
  options.cold_time = Milliseconds(settings, "cold_ms", options.cold_time);
  options.restart_time =
      Milliseconds(settings, "restart_ms", options.restart_time);
  options.report_lag =
      Milliseconds(settings, "report_lag_ms", options.report_lag);
  if (const auto cold = settings.Find("starts_cold")) {
    options.starts_cold = cold->AsBool();
  }
  return options;
}

void Install(httplib::Server& server, const std::string& kind,
             const CheckedYaml& settings) {
  if (kind == "engine") {
    in::InstallEngine(server, EngineOptionsFrom(settings));
  } else if (kind == "service") {
    settings.RequireMapOf({"work_ms"});
    in::InstallPlainService(server,
                            Milliseconds(settings, "work_ms", Duration(5'000)));
  } else if (kind == "configuration") {
    settings.RequireMapOf({});
    in::InstallConfigurationService(server);
  } else if (kind == "vms") {
    settings.RequireMapOf({"lag_ms"});
    in::InstallVmList(server,
                      Milliseconds(settings, "lag_ms", Duration(1'000'000)));
  } else if (kind == "weights") {
    settings.RequireMapOf({"bytes_a_second"});
    in::InstallWeightStore(server,
                           Whole(settings, "bytes_a_second", 1'000'000));
  } else {
    throw in::UsageError(
        "unknown stand-in '" + kind +
        "'; known: engine, service, configuration, vms, weights");
  }
}

int Run(const po::variables_map& values) {
  if (values.count("kind") == 0 || values.count("listen") == 0) {
    throw in::UsageError("a stand-in and --listen are needed; see --help");
  }
  const auto settings =
      values.count("settings") != 0
          ? CheckedYaml::FromFile(values["settings"].as<std::string>())
          : CheckedYaml::FromText("{}", "defaults");
  const auto addresses = values["listen"].as<std::vector<std::string>>();
  in::StopSignal stop;
  std::vector<std::unique_ptr<httplib::Server>> servers;
  std::vector<in::HostPort> bound;
  for (const std::string& it : addresses) {
    bound.push_back(in::ParseHostPort(it));
    servers.push_back(std::make_unique<httplib::Server>());
    in::ConfigureServer(*servers.back(), kThreads / addresses.size() + 1,
                        kMaxBodyBytes);
    Install(*servers.back(), values["kind"].as<std::string>(), settings);
  }
  stop.OnStop([&servers] {
    for (auto& it : servers) {
      it->stop();
    }
  });
  std::vector<std::thread> threads;
  for (std::size_t i = 0; i < servers.size(); ++i) {
    threads.emplace_back([&, i] {
      try {
        in::Serve(*servers[i], bound[i]);
      } catch (const std::exception& ex) {
        std::cerr << "corianderpost-standins: " << ex.what() << "\n";
        std::_Exit(in::kExitUsage);
      }
    });
  }
  for (auto& it : threads) {
    it.join();
  }
  return in::kExitSuccess;
}

}  // namespace

int main(int argc, char** argv) {
  in::ProgramDescription program{
      "corianderpost-standins",
      "runs one kind of stand-in: engine, service, configuration, vms, weights",
      po::options_description("options"),
      {"kind"}};
  program.options.add_options()("kind", po::value<std::string>(),
                                "which stand-in to run")(
      "listen", po::value<std::vector<std::string>>(),
      "IP:port to serve on; may repeat, a stand-in each")(
      "settings", po::value<std::string>(), "YAML file with its settings");
  return in::RunProgram(argc, argv, program, Run);
}
