// corianderpost-ctl: the operators' view of the fleet, from any router.
#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>

#include "corianderpost/checked_yaml.h"
#include "corianderpost/internal/command_line.h"
#include "corianderpost/internal/http_util.h"
#include "corianderpost/internal/rpc.h"

namespace {

namespace po = boost::program_options;
namespace in = corianderpost::internal;
using Json = nlohmann::json;

Json Call(const std::string& router, const std::string& method,
          const Json& parameters) {
  in::ParseHostPort(router);
  return Json::parse(
      in::CallRpc("http://" + router, method, parameters.dump()));
}

void ShowStatus(const Json& status) {
  std::cout << status.value("vm", "") << " in " << status.value("zone", "")
            << ": " << (status["serving"] ? "serving" : "NOT serving")
            << (status["draining"] ? ", draining" : "") << "; revision "
            << status["revision"] << " of " << status["highest_revision"]
            << "; VM list " << status["list_revision"] << "; waiting "
            << status["waiting"] << ", running " << status["running"]
            << "; invariant violations " << status["invariant_violations"]
            << "\n";
}

void ShowTargets(const Json& status) {
  std::cout << std::left << std::setw(28) << "target" << std::setw(8) << "owned"
            << std::setw(8) << "warm" << std::setw(8) << "lease" << std::setw(8)
            << "in use"
            << "free\n";
  const auto yes_no = [](const Json& json, const char* key) {
    return json.contains(key) ? (json[key].get<bool>() ? "yes" : "no") : "-";
  };
  for (const Json& it : status["targets"]) {
    std::cout << std::setw(28) << it["name"].get<std::string>() << std::setw(8)
              << yes_no(it, "owned_here") << std::setw(8) << yes_no(it, "warm")
              << std::setw(8) << yes_no(it, "lease") << std::setw(8)
              << it["outstanding"].get<int>()
              << (it.contains("free") ? it["free"].dump() : "-") << "\n";
  }
}

void ShowCustomers(const Json& status) {
  double total = 0;
  for (const Json& it : status["accounts"]) {
    total += it["units_served"].get<double>();
  }
  std::cout << std::left << std::setw(24) << "service" << std::setw(28)
            << "customer" << std::setw(14) << "units" << std::setw(9)
            << "share %"
            << "waiting here\n";
  for (const Json& it : status["accounts"]) {
    const double units = it["units_served"];
    std::cout << std::setw(24) << it["service"].get<std::string>()
              << std::setw(28) << it["customer"].get<std::string>()
              << std::setw(14) << it["units_served"].get<std::uint64_t>()
              << std::setw(9) << std::fixed << std::setprecision(1)
              << (total > 0 ? 100 * units / total : 0.0) << it["waiting_here"]
              << "\n";
  }
}

void ShowDecisions(const Json& answer) {
  for (const Json& it : answer["decisions"]) {
    std::cout << std::setw(8) << std::right << it["age_ms"].get<std::int64_t>()
              << " ms ago  request " << it["request"] << ": "
              << it["step"].get<std::string>() << "\n";
  }
}

std::vector<std::string> RoutersFrom(const po::variables_map& values) {
  std::vector<std::string> routers;
  if (values.count("settings") != 0) {
    const auto settings = corianderpost::CheckedYaml::FromFile(
        values["settings"].as<std::string>());
    settings.RequireMapOf({"routers"});
    for (const auto& it : settings.Get("routers").Items()) {
      routers.push_back(it.AsString());
    }
  }
  if (values.count("router") != 0) {
    routers = values["router"].as<std::vector<std::string>>();
  }
  if (routers.empty()) {
    throw in::UsageError("no router is given; use --router or --settings");
  }
  return routers;
}

Json Parameters(const po::variables_map& values) {
  return {{"request", values["request"].as<std::uint64_t>()}};
}

int Run(const po::variables_map& values) {
  const std::string command =
      values.count("command") != 0 ? values["command"].as<std::string>() : "";
  const std::vector<std::string> known = {"status",   "targets", "customers",
                                          "versions", "explain", "drain"};
  if (std::find(known.begin(), known.end(), command) == known.end()) {
    throw in::UsageError(
        "unknown command '" + command +
        "'; known: status, targets, customers, versions, explain, drain");
  }
  const bool is_rpc_method = command == "explain" || command == "drain";
  int code = in::kExitSuccess;
  for (const std::string& router : RoutersFrom(values)) {
    Json answer;
    try {
      answer =
          Call(router, is_rpc_method ? command : "status", Parameters(values));
    } catch (const std::invalid_argument& ex) {
      throw in::UsageError(ex.what());
    } catch (const std::runtime_error& ex) {
      std::cerr << "corianderpost-ctl: " << ex.what() << "\n";
      code = in::kExitFailure;
      continue;
    }
    if (values.count("json") != 0) {
      std::cout << answer.dump() << "\n";
    } else if (command == "explain") {
      ShowDecisions(answer);
    } else if (command == "targets") {
      ShowTargets(answer);
    } else if (command == "customers") {
      ShowCustomers(answer);
    } else if (command == "versions") {
      std::cout << answer["vm"].get<std::string>() << " revision "
                << answer["revision"] << "\n";
    } else if (command == "status") {
      ShowStatus(answer);
    } else {
      std::cout << router << " drains\n";
    }
  }
  return code;
}

}  // namespace

int main(int argc, char** argv) {
  in::ProgramDescription program{
      "corianderpost-ctl",
      "shows status, targets, customers, versions and explanations; drains",
      po::options_description("options"),
      {"command"}};
  program.options.add_options()(
      "command", po::value<std::string>(),
      "status, targets, customers, versions, explain or drain")(
      "router", po::value<std::vector<std::string>>(),
      "admin address IP:port of a router; may repeat")(
      "settings", po::value<std::string>(), "YAML file with a list of routers")(
      "request", po::value<std::uint64_t>()->default_value(0),
      "request to explain; 0 for all recent ones")("json", "show as JSON");
  return in::RunProgram(argc, argv, program, Run);
}
