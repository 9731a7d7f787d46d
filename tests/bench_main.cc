// corianderpost-bench: measures the fleet's decisions with fakes and a paused
// clock. Prints CSV.
#include <chrono>
#include <fstream>
#include <iostream>

#include "central_queue.h"
#include "corianderpost/internal/command_line.h"
#include "deployments.h"

namespace {

namespace po = boost::program_options;
namespace in = corianderpost::internal;
namespace ct = corianderpost::testing;
using corianderpost::Duration;
using std::chrono::seconds;

constexpr Duration kWarmUp = seconds(30);
constexpr Duration kMeasured = seconds(120);
constexpr Duration kSample = seconds(1);
// The longest interval in which routers exchange counters.
constexpr double kExchangeSeconds = 0.5;

struct Deployment {
  const char* name;
  ct::FleetOptions options;
};

std::vector<Deployment> Deployments(std::uint64_t seed) {
  return {{"ranwala", ct::RanwalaOptions(seed)},
          {"jadran", ct::JadranOptions(seed)}};
}

std::vector<double> FlooderWeights(const ct::FleetOptions& options) {
  std::vector<double> weights;
  weights.reserve(ct::kFlooders.size());
  for (const int it : ct::kFlooders) {
    const auto i = static_cast<std::size_t>(it);
    weights.push_back(i < options.weights.size() ? options.weights[i] : 1.0);
  }
  return weights;
}

struct Service {
  double units = 0;
  double largest_gap = 0;
  double last_gap = 0;
};

template <typename System>
Service Measure(System& system, const ct::FleetOptions& options) {
  system.RunFor(kWarmUp);
  ct::GapMeter gap(ct::kFlooders, FlooderWeights(options));
  const auto units_of = [&](int customer) { return system.UnitsOf(customer); };
  gap.Sample(units_of);
  const std::uint64_t before = system.UnitsTotal();
  for (Duration it{0}; it < kMeasured; it += kSample) {
    system.RunFor(kSample);
    gap.Sample(units_of);
  }
  return {static_cast<double>(system.UnitsTotal() - before), gap.largest(),
          gap.last()};
}

// Fairness gap, work conservation and control traffic beside a central queue.
void MeasureService(std::uint64_t seed) {
  struct Variant {
    const char* name;
    bool corianderpost::Guards::*off;
  };
  const std::vector<Variant> variants = {
      {"full", nullptr},
      {"without fair order", &corianderpost::Guards::fair_order},
      {"own slots only", &corianderpost::Guards::spreads_demand}};
  std::cout << "deployment,variant,units_of_central_%,largest_gap,last_gap,"
               "central_gap,gap_bound,bytes_a_s_a_node,bytes_a_s_across,"
               "messages_a_s_a_node,configuration_calls_a_s,violations\n";
  for (const Deployment& deployment : Deployments(seed)) {
    ct::CentralQueue central(deployment.options,
                             ct::FloodLoad(deployment.options));
    const Service best = Measure(central, deployment.options);
    for (const Variant& variant : variants) {
      ct::FleetOptions options = deployment.options;
      if (variant.off != nullptr) {
        options.guards.*variant.off = false;
      }
      ct::FakeFleet fleet(options);
      fleet.RunFor(seconds(5));
      fleet.SetLoad(ct::FloodLoad(options));
      const Service service = Measure(fleet, options);
      const double time = std::chrono::duration<double>(fleet.now()).count();
      const double measured = std::chrono::duration<double>(kMeasured).count();
      const ct::FleetStats& stats = fleet.stats();
      std::cout << deployment.name << "," << variant.name << ","
                << 100 * service.units / best.units << ","
                << service.largest_gap << "," << service.last_gap << ","
                << best.largest_gap << ","
                << 2 * best.largest_gap +
                       service.units / measured * kExchangeSeconds
                << ","
                << static_cast<double>(stats.bytes) / time / options.routers
                << "," << static_cast<double>(stats.bytes_across) / time << ","
                << static_cast<double>(stats.messages) / time / options.routers
                << "," << static_cast<double>(stats.configuration_calls) / time
                << "," << fleet.violations().size() << "\n";
    }
  }
}

// Service in 10 s steps while a zone is taken out and brought back.
void MeasureZone(std::uint64_t seed) {
  std::cout << "deployment,second,state,units_a_s,whole_a_s,refused_a_s,"
               "lost_a_s,unknown_a_s,bytes_a_s,violations\n";
  for (const Deployment& deployment : Deployments(seed)) {
    ct::FakeFleet fleet(deployment.options);
    fleet.RunFor(seconds(5));
    // About 60% of what the whole fleet can serve.
    std::vector<ct::CustomerLoad> load;
    load.reserve(static_cast<std::size_t>(deployment.options.customers));
    for (int i = 0; i < deployment.options.customers; ++i) {
      load.push_back({i, 6, {}, false});
    }
    fleet.SetLoad(load);
    fleet.RunFor(seconds(25));
    const std::string zone = deployment.options.zones[1].name;
    for (int step = 0; step < 15; ++step) {
      const char* state = step < 4 || step >= 10 ? "in" : "out";
      if (step == 4) {
        fleet.PublishZone(zone, true);
      }
      if (step == 10) {
        for (int i = 1; i < deployment.options.engines; i += 3) {
          fleet.RestartEngine(i, seconds(8));
        }
        fleet.PublishZone(zone, false);
      }
      const ct::FleetStats before = fleet.stats();
      const std::uint64_t units = fleet.UnitsTotal();
      fleet.RunFor(seconds(10));
      const ct::FleetStats& after = fleet.stats();
      std::cout << deployment.name << "," << 10 * step << "," << state << ","
                << static_cast<double>(fleet.UnitsTotal() - units) / 10 << ","
                << static_cast<double>(after.whole - before.whole) / 10 << ","
                << static_cast<double>(after.refused_not_run -
                                       before.refused_not_run) /
                       10
                << ","
                << static_cast<double>(after.lost_with_router -
                                       before.lost_with_router) /
                       10
                << ","
                << static_cast<double>(after.refused_unknown -
                                       before.refused_unknown) /
                       10
                << "," << static_cast<double>(after.bytes - before.bytes) / 10
                << "," << fleet.violations().size() << "\n";
    }
  }
}

// Resident memory in kilobytes.
double ResidentKilobytes() {
  std::ifstream in("/proc/self/statm");
  double size = 0;
  double resident = 0;
  in >> size >> resident;
  return resident * 4;
}

// Cost a node of control, by the number of routers; load grows with it.
void MeasureSlopes(std::uint64_t seed, int most) {
  std::cout << "routers,customers,cpu_%_of_a_core_a_node,bytes_a_s_a_node,"
               "messages_a_s_a_node,kilobytes_a_node,"
               "configuration_calls_a_s,counter_bytes_a_s_a_node,"
               "demand_bytes_a_s_a_node,heartbeat_bytes_a_s_a_node,"
               "units_of_capacity_%\n";
  for (const int n : {6, 10, 30, 100, 300}) {
    if (n > most) {
      break;
    }
    ct::FleetOptions options;
    options.seed = seed;
    options.routers = n;
    options.engines = n * 3;
    options.customers = n * 4;
    const double resident = ResidentKilobytes();
    ct::FakeFleet fleet(options);
    fleet.RunFor(seconds(4));
    std::vector<ct::CustomerLoad> load;
    load.reserve(static_cast<std::size_t>(options.customers));
    for (int i = 0; i < options.customers; ++i) {
      // A tenth is backlogged; a customer's callers reach a few routers.
      const int home = i % n;
      load.push_back({i,
                      i % 10 == 0 ? 60.0 : 0.5,
                      {home, (home + 1) % n, (home + 7) % n},
                      false});
    }
    fleet.SetLoad(load);
    fleet.RunFor(seconds(4));
    const ct::FleetStats before = fleet.stats();
    const std::uint64_t units = fleet.UnitsTotal();
    const double time = n >= 100 ? 3 : 10;
    fleet.RunFor(Duration(static_cast<Duration::rep>(time * 1e6)));
    const ct::FleetStats& after = fleet.stats();
    const auto rate = [&](const char* kind) {
      const auto count = [&](const ct::FleetStats& stats) {
        const auto it = stats.bytes_by_kind.find(kind);
        return it == stats.bytes_by_kind.end()
                   ? 0.0
                   : static_cast<double>(it->second);
      };
      return (count(after) - count(before)) / time / n;
    };
    std::cout << n << "," << options.customers << ","
              << 100 * (after.core_seconds - before.core_seconds) / time / n
              << ","
              << static_cast<double>(after.bytes - before.bytes) / time / n
              << ","
              << static_cast<double>(after.messages - before.messages) / time /
                     n
              << "," << (ResidentKilobytes() - resident) / n << ","
              << static_cast<double>(after.configuration_calls -
                                     before.configuration_calls) /
                     time
              << "," << rate("counters") << "," << rate("demand") << ","
              << rate("heartbeat") << ","
              << 100 * static_cast<double>(fleet.UnitsTotal() - units) / time /
                     (options.engines * options.slots * options.units_a_second)
              << std::endl;
  }
}

int Run(const po::variables_map& values) {
  const std::string what =
      values.count("what") != 0 ? values["what"].as<std::string>() : "";
  const auto seed = values["seed"].as<std::uint64_t>();
  if (what == "service") {
    MeasureService(seed);
  } else if (what == "zone") {
    MeasureZone(seed);
  } else if (what == "slopes") {
    MeasureSlopes(seed, values["most"].as<int>());
  } else {
    throw in::UsageError("one of service, zone and slopes is expected");
  }
  return in::kExitSuccess;
}

}  // namespace

int main(int argc, char** argv) {
  in::ProgramDescription program{
      "corianderpost-bench",
      "measures decisions of several routers: service, zone or slopes",
      po::options_description("options"),
      {"what"}};
  program.options.add_options()("what", po::value<std::string>(),
                                "service, zone or slopes")(
      "seed", po::value<std::uint64_t>()->default_value(1), "random seed")(
      "most", po::value<int>()->default_value(100),
      "largest fleet of the slopes");
  return in::RunProgram(argc, argv, program, Run);
}
