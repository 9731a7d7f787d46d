// corianderpost-router: one router of the fleet.
#include <iostream>

#include "corianderpost/internal/command_line.h"
#include "corianderpost/internal/router_process.h"

namespace {

namespace po = boost::program_options;
namespace in = corianderpost::internal;

int Run(const po::variables_map& values) {
  const auto settings =
      in::RouterSettings::FromYaml(corianderpost::CheckedYaml::FromFile(
          values["settings"].as<std::string>()));
  if (values.count("check") != 0) {
    std::cout << "the settings are in order\n";
    return in::kExitSuccess;
  }
  in::OpenLog(settings.log_file, values.count("verbose") != 0
                                     ? in::LogLevel::kDebug
                                     : in::LogLevel::kInfo);
  in::StopSignal stop;
  std::unique_ptr<in::RouterProcess> router;
  try {
    router = std::make_unique<in::RouterProcess>(settings);
  } catch (const std::runtime_error& ex) {
    throw in::UsageError(ex.what());
  }
  stop.OnStop([&router] { router->Drain(); });
  router->Run();
  return in::kExitSuccess;
}

}  // namespace

int main(int argc, char** argv) {
  in::ProgramDescription program{
      "corianderpost-router",
      "routes callers' requests to targets, with its peers",
      po::options_description("options"),
      {}};
  program.options.add_options()("settings",
                                po::value<std::string>()->required(),
                                "YAML settings of this router")(
      "check", "only check the settings")("verbose", "log in more detail");
  return in::RunProgram(argc, argv, program, Run);
}
