#include "decisions/engine_speed.h"

#include <doctest/doctest.h>

#include <cmath>
#include <random>
#include <string>
#include <vector>

#include "decisions/target_table.h"

namespace corianderpost {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart(seconds(1000));
constexpr int kEngines = 9;
constexpr double kSpeeds[] = {0.6, 1.0, 1.6};
constexpr double kExpected = 0.2;

TargetEntry MakeEntry(int index, std::int64_t incarnation = 1) {
  TargetEntry entry;
  entry.id = "t" + std::to_string(index);
  entry.service = "engines";
  entry.incarnation = incarnation;
  return entry;
}

// Several routers with the same engines, each of which sees one first event
// per second of each engine. Reports take `kDelay` turns of 100 ms.
struct Fleet {
  explicit Fleet(std::size_t routers) : tables(routers), reports(routers) {
    for (TargetTable& it : tables) {
      for (int i = 0; i < kEngines; ++i) {
        it.ApplyEntry(kStart, MakeEntry(i));
      }
    }
  }
  void Run(int turns) {
    for (int i = 0; i < turns; ++i) {
      now += milliseconds(100);
      for (std::size_t router = 0; router < tables.size(); ++router) {
        const int engine = (turn + static_cast<int>(router)) % 10;
        if (engine < kEngines) {
          const double noise = std::lognormal_distribution<>(0, 0.3)(random);
          SpeedOf(router, engine)
              .Record(now, {kExpected * noise / kSpeeds[engine % 3], kExpected,
                            kExpected, 0.8});
        }
        reports[router] = tables[router].LocalLoad(now);
      }
      for (std::size_t router = 0; router < tables.size(); ++router) {
        std::map<TargetId, TargetLoad> load;
        for (std::size_t j = 0; j < tables.size(); ++j) {
          for (const auto& [id, it] : reports[j]) {
            load[id].speed_observations +=
                j == router ? 0.0 : it.speed_observations;
            load[id].log_speed += j == router ? 0.0 : it.log_speed;
          }
        }
        tables[router].SetPeerLoad(now, load);
      }
      ++turn;
    }
  }
  EngineSpeed& SpeedOf(std::size_t router, int engine) {
    return tables[router].Find("t" + std::to_string(engine))->speed;
  }

  std::vector<TargetTable> tables;
  std::vector<std::map<TargetId, TargetLoad>> reports;
  TimePoint now = kStart;
  int turn = 0;
  std::mt19937 random{1};
};

// Guards against speeds that each router only learns from its own requests.
TEST_CASE("Routers that see few requests agree on speeds within five seconds") {
  Fleet fleet(8);
  fleet.Run(50);
  for (int i = 0; i < kEngines; ++i) {
    INFO("engine ", i);
    const double speed = fleet.SpeedOf(0, i).speed();
    CHECK(speed == doctest::Approx(kSpeeds[i % 3]).epsilon(0.25));
    for (std::size_t router = 1; router < fleet.tables.size(); ++router) {
      CHECK(fleet.SpeedOf(router, i).speed() == doctest::Approx(speed));
      CHECK(fleet.SpeedOf(router, i).quantized_speed() ==
            fleet.SpeedOf(0, i).quantized_speed());
    }
  }
  CHECK(fleet.tables[0].SpeedRatio("engines") > 1.8);
}

TEST_CASE("Without enough observations speeds are those of the mean") {
  Fleet fleet(1);
  CHECK(fleet.SpeedOf(0, 0).speed() == 1.0);
  CHECK(fleet.tables[0].SpeedRatio("engines") == 1.0);
  fleet.Run(10);
  CHECK(fleet.SpeedOf(0, 0).speed() > 0.85);
  CHECK(fleet.SpeedOf(0, 2).speed() < 1.2);
  CHECK(fleet.tables[0].SpeedRatio("engines") == 1.0);
}

// Guards against an engine that is avoided for long because of one event.
TEST_CASE("A single bad measurement hardly changes a speed") {
  Fleet fleet(4);
  fleet.Run(100);
  const double before = fleet.SpeedOf(0, 1).speed();
  fleet.SpeedOf(0, 1).Record(fleet.now,
                             {100 * kExpected, kExpected, kExpected, 1.0});
  fleet.Run(1);
  CHECK(fleet.SpeedOf(0, 1).speed() > 0.95 * before);
}

TEST_CASE("The effect of a slow period fades") {
  Fleet fleet(4);
  fleet.Run(300);
  const double before = fleet.SpeedOf(0, 1).speed();
  for (int i = 0; i < 10; ++i) {
    fleet.SpeedOf(0, 1).Record(fleet.now,
                               {10 * kExpected, kExpected, kExpected, 0.8});
  }
  fleet.Run(600);
  CHECK(fleet.SpeedOf(0, 1).speed() == doctest::Approx(before).epsilon(0.1));
}

TEST_CASE("A restarted engine starts with the mean speed") {
  Fleet fleet(4);
  fleet.Run(100);
  REQUIRE(fleet.SpeedOf(0, 0).speed() < 0.8);
  for (TargetTable& it : fleet.tables) {
    it.ApplyEntry(fleet.now, MakeEntry(0, 2));
  }
  fleet.Run(1);
  CHECK(fleet.SpeedOf(0, 0).speed() > 0.9);
  CHECK(fleet.SpeedOf(0, 0).observations() < 5);
}

// Guards against one damaged report that makes all other speeds look extreme.
TEST_CASE("Sums without observations or out of range are bounded") {
  std::vector<EngineSpeed> engines(10);
  ServiceSpeeds speeds;
  for (EngineSpeed& it : engines) {
    speeds.Add(it, &it == &engines[0]   ? FirstEventSums{0, 0, 50, -1e12}
                   : &it == &engines[1] ? FirstEventSums{0, 0, -1, 0.5}
                                        : FirstEventSums{0, 0, 50, 0});
  }
  speeds.Evaluate();
  CHECK(engines[0].speed() < 0.3);
  CHECK(engines[1].speed() == 1.0);
  CHECK(engines[2].speed() < 1.6);
}

// Guards against a rotation of homes by noise about the bound of two levels.
TEST_CASE("A quantized speed has hysteresis") {
  std::vector<EngineSpeed> engines(2);
  const auto quantized_at = [&engines](double speed) {
    ServiceSpeeds speeds;
    const double log_speed = std::log(speed);
    speeds.Add(engines[0], {0, 0, 1e6, 1e6 * log_speed});
    speeds.Add(engines[1], {0, 0, 1e6, -1e6 * log_speed});
    speeds.Evaluate();
    return engines[0].quantized_speed();
  };
  CHECK(quantized_at(1.14) == 1.0);
  CHECK(quantized_at(1.3) == doctest::Approx(1.25).epsilon(0.01));
  CHECK(quantized_at(1.1) == doctest::Approx(1.25).epsilon(0.01));
  CHECK(quantized_at(1.0) == 1.0);
}

}  // namespace
}  // namespace corianderpost
