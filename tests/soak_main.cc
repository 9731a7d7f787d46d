// corianderpost-soak: the long randomised run; exits 1 on any violation.
#include <iostream>

#include "corianderpost/internal/command_line.h"
#include "soak_run.h"

namespace {

namespace po = boost::program_options;
namespace in = corianderpost::internal;
namespace ct = corianderpost::testing;

void ShowCounts(const ct::SoakResult& result) {
  const ct::FleetStats& stats = result.stats;
  std::cout << "simulated " << result.simulated.count() / 1'000'000 << " s, "
            << result.faults << " faults, " << result.invariant_checks
            << " invariant checks in the last lives\n"
            << "requests " << stats.requests << ", whole " << stats.whole
            << ", not-run " << stats.refused_not_run << ", unknown "
            << stats.refused_unknown << ", lost with a router "
            << stats.lost_with_router << "\n"
            << "dispatches " << stats.dispatches << ", resumed "
            << stats.resumed << ", on cold targets " << stats.cold_arrivals
            << ", over the limit before it could be known "
            << stats.unknowable_overloads << ", once-only runs "
            << stats.once_only_run << ", retries " << stats.retries
            << ", crashes by poison " << stats.crashes_by_poison
            << "\nrefusals:";
  for (const auto& [reason, count] : stats.refusals) {
    std::cout << " " << reason << " " << count;
  }
  std::cout << "\n";
}

int Run(const po::variables_map& values) {
  const auto seed = values["seed"].as<std::uint64_t>();
  const auto steps = values["steps"].as<std::uint64_t>();
  corianderpost::Guards guards;
  if (values.count("without") != 0) {
    try {
      guards = ct::WithGuardOff(values["without"].as<std::string>());
    } catch (const std::invalid_argument& ex) {
      throw in::UsageError(ex.what());
    }
  }
  std::cout << "seed " << seed << ", steps " << steps << "\n";
  const ct::SoakResult result =
      ct::RunSoak(seed, steps, guards, values["routers"].as<int>());
  ShowCounts(result);
  if (values.count("trace") != 0) {
    for (const auto& it : result.trace) {
      std::cout << it.at.count() / 1000 << " ms: " << it.what << "\n";
    }
  }
  for (const auto& it : result.violations) {
    std::cout << "VIOLATION at " << it.at.count() / 1000 << " ms: " << it.what
              << "\n";
  }
  std::cout << (result.violations.empty() ? "no violation\n" : "FAILED\n");
  return result.violations.empty() ? in::kExitSuccess : in::kExitFailure;
}

}  // namespace

int main(int argc, char** argv) {
  in::ProgramDescription program{
      "corianderpost-soak",
      "runs router cores with fakes and random faults on a paused clock",
      po::options_description("options"),
      {}};
  program.options.add_options()(
      "seed", po::value<std::uint64_t>()->default_value(1), "random seed")(
      "steps", po::value<std::uint64_t>()->default_value(20'000),
      "steps of 10 ms")(
      "routers", po::value<int>()->default_value(ct::kSoakRouters),
      "routers of the fleet")("without", po::value<std::string>(),
                              "switch a guard off, to see what it prevents")(
      "trace", "show the faults");
  return in::RunProgram(argc, argv, program, Run);
}
