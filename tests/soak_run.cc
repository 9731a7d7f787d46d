#include "soak_run.h"

#include <algorithm>
#include <stdexcept>

namespace corianderpost::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kStep = milliseconds(10);
constexpr Duration kFaultInterval = seconds(8);
constexpr int kCustomers = 12;
// The stated budget: a tenth of the requests, and some for each router's life.
constexpr double kRetryShare = 0.1;
constexpr double kRetriesAtStart = 20;

struct NamedGuard {
  const char* name;
  bool Guards::*member;
};

constexpr NamedGuard kGuards[] = {
    {"fair_order", &Guards::fair_order},
    {"idle_earns_no_credit", &Guards::idle_earns_no_credit},
    {"cold_needs_lease", &Guards::cold_needs_lease},
    {"voter_waits_after_start", &Guards::voter_waits_after_start},
    {"grants_expire", &Guards::grants_expire},
    {"grants_are_used_once", &Guards::grants_are_used_once},
    {"key_has_home", &Guards::key_has_home},
    {"revisions_only_grow", &Guards::revisions_only_grow},
    {"peers_spread_revisions", &Guards::peers_spread_revisions},
    {"majority_to_serve", &Guards::majority_to_serve},
    {"lost_means_unknown", &Guards::lost_means_unknown},
    {"quarantine", &Guards::quarantine},
    {"retry_budget", &Guards::retry_budget},
    {"drain_finishes_requests", &Guards::drain_finishes_requests},
    {"spreads_demand", &Guards::spreads_demand},
    {"incarnations_go_on", &Guards::incarnations_go_on},
};

// Throws the faults of the brief's list at a fleet.
class FaultPlan {
 public:
  explicit FaultPlan(FakeFleet& fleet) : fleet_(fleet) {}

  // Begins a fault, or two at once, and ends those whose time is over.
  void Act() {
    End();
    const int count = fleet_.Chance() < 0.4 ? 2 : 1;
    for (int i = 0; i < count; ++i) {
      Begin();
      ++faults_;
    }
  }
  std::uint64_t faults() const { return faults_; }
  const std::vector<Violation>& trace() const { return trace_; }

 private:
  int AnyRouter() {
    return static_cast<int>(
        fleet_.Pick(static_cast<std::uint64_t>(fleet_.router_count())));
  }
  int AnyEngine() {
    return static_cast<int>(
        fleet_.Pick(static_cast<std::uint64_t>(fleet_.router_count()) * 3 / 2));
  }

  void End() {
    if (fleet_.Chance() < 0.6) {
      Note("cuts heal");
      fleet_.HealCuts();
    }
    fleet_.SetLoss(0);
    fleet_.SetLateness(0);
    if (fleet_.Chance() < 0.5) {
      Note("configuration up");
      fleet_.SetConfigurationDown(false);
      fleet_.SetConfigurationStale(false);
    }
    for (int i = 0; i < fleet_.router_count(); ++i) {
      fleet_.CutFromVmList(i, false);
      fleet_.StartRouter(i);
    }
    if (!zone_out_.empty() && fleet_.Chance() < 0.5) {
      Note("bring back zone " + zone_out_);
      fleet_.PublishZone(zone_out_, false);
      zone_out_.clear();
    }
    if (leaving_ >= 0) {
      fleet_.AnnounceLeaving(leaving_, false);
      leaving_ = -1;
    }
  }

  void Note(const std::string& fault) {
    trace_.push_back({fleet_.now(), fault});
  }

  // Notes the fault and the router that it meets.
  int NoteRouter(const std::string& fault) {
    const int router = AnyRouter();
    Note(fault + " router " + std::to_string(router));
    return router;
  }

  int NoteEngine(const std::string& fault) {
    const int engine = AnyEngine();
    Note(fault + " engine " + std::to_string(engine));
    return engine;
  }

  std::string NoteZone(const std::string& fault) {
    static constexpr const char* kZones[] = {"colombo", "negombo", "kandy"};
    std::string zone = kZones[fleet_.Pick(std::size(kZones))];
    Note(fault + " zone " + zone);
    return zone;
  }

  void Begin() {
    switch (fleet_.Pick(16)) {
      case 0:
        return fleet_.RestartRouter(NoteRouter("restart"));
      case 1:
        return fleet_.RestartRouter(NoteRouter("clock back"), true);
      case 2:
        return fleet_.ReplaceRouter(NoteRouter("replace"));
      case 3:
        return fleet_.PauseRouter(NoteRouter("pause"),
                                  milliseconds(500 + fleet_.Pick(20'000)));
      case 4:
        return fleet_.CutZones({NoteZone("cut")});
      case 5: {
        const int first = NoteRouter("cut");
        return fleet_.CutRouters({first, NoteRouter("and cut with it")});
      }
      case 6:
        Note("configuration down");
        return fleet_.SetConfigurationDown(true);
      case 7:
        Note("configuration stale");
        return fleet_.SetConfigurationStale(true);
      case 8:
        if (zone_out_.empty()) {
          zone_out_ = NoteZone("take out");
          fleet_.PublishZone(zone_out_, true);
        }
        return;
      case 9:
        return fleet_.TurnCold(NoteEngine("cold"),
                               seconds(5 + fleet_.Pick(15)));
      case 10:
        return fleet_.RestartEngine(NoteEngine("restart"),
                                    seconds(5 + fleet_.Pick(15)));
      case 11:
        leaving_ = NoteEngine("leaving");
        return fleet_.AnnounceLeaving(leaving_, true);
      case 12:
        Note("loss and lateness");
        fleet_.SetLoss(fleet_.Chance() < 0.5 ? 0.3 : 0.0);
        return fleet_.SetLateness(0.3);
      case 13:
        Note("poison");
        return fleet_.SendPoison(static_cast<int>(fleet_.Pick(kCustomers)), 8);
      case 14: {
        const int first = NoteRouter("cut pair");
        return fleet_.CutPair(first, NoteRouter("and"));
      }
      default:
        fleet_.CutFromVmList(NoteRouter("no VM list for"), true);
        return fleet_.DrainRouter(NoteRouter("drain"));
    }
  }

  FakeFleet& fleet_;
  std::string zone_out_;
  int leaving_ = -1;
  std::uint64_t faults_ = 0;
  std::vector<Violation> trace_;
};

std::vector<CustomerLoad> MixedLoad() {
  std::vector<CustomerLoad> load;
  // Two flood from few routers, the others ask now and then.
  load.push_back({0, 40, {0, 1}, false});
  load.push_back({1, 25, {2, 3, 4}, false});
  for (int i = 2; i < kCustomers; ++i) {
    load.push_back({i, 1.5, {}, false});
  }
  load.push_back({2, 4, {}, true});
  load.push_back({3, 4, {}, true});
  return load;
}

}  // namespace

SoakResult RunSoak(std::uint64_t seed, std::uint64_t steps,
                   const Guards& guards, int routers) {
  FleetOptions options;
  options.seed = seed;
  options.routers = routers;
  options.engines = routers * 3 / 2;
  options.customers = kCustomers;
  options.guards = guards;
  options.duplicates = 0.01;
  FakeFleet fleet(options);
  FaultPlan plan(fleet);
  fleet.RunFor(seconds(8));
  fleet.SetLoad(MixedLoad());
  const Duration end = fleet.now() + static_cast<Duration::rep>(steps) * kStep;
  while (fleet.now() < end) {
    fleet.RunFor(std::min<Duration>(kFaultInterval, end - fleet.now()));
    plan.Act();
  }
  std::vector<Violation> violations = fleet.violations();
  const FleetStats& stats = fleet.stats();
  const auto allowed = static_cast<std::uint64_t>(
      kRetryShare * static_cast<double>(stats.requests) +
      kRetriesAtStart * static_cast<double>(stats.lives));
  if (stats.retries > allowed) {
    violations.push_back(
        {fleet.now(), std::to_string(stats.retries) + " retries, " +
                          std::to_string(allowed) + " allowed"});
  }
  return {violations,  stats,       plan.faults(), fleet.InvariantChecks(),
          fleet.now(), plan.trace()};
}

Guards WithGuardOff(const std::string& name) {
  for (const NamedGuard& it : kGuards) {
    if (name == it.name) {
      Guards guards;
      guards.*it.member = false;
      return guards;
    }
  }
  throw std::invalid_argument("no guard is named '" + name + "'");
}

std::vector<std::string> GuardNames() {
  std::vector<std::string> names;
  for (const NamedGuard& it : kGuards) {
    names.emplace_back(it.name);
  }
  return names;
}

}  // namespace corianderpost::testing
