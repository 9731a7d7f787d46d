// Plays odd entries of the target list, written by others than targets, on a
// small fleet under load.
#include <doctest/doctest.h>

#include "fleet/engine_fleet.h"
#include "fleet/random_load.h"
#include "platform/standin_wire.h"

namespace corianderpost::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kRouters = 4;
constexpr int kEngines = 4;
constexpr double kMinServed = 0.99;
const std::vector<std::string> kCustomers = {"c0", "c1", "c2"};

const std::vector<std::string>& OddValues() {
  const auto entry = [](const std::string& address, const std::string& slots) {
    return platform::FormatStandinOddEntry("assistant", "a", address, slots);
  };
  static const std::vector<std::string> values = {
      std::string(100'000, '[') + std::string(100'000, ']'),
      std::string(100'000, '{'),
      std::string(1'000'000, 'x'),
      entry("10.0.0.1:0", "8"),
      entry("10.0.0.1:70000", "8"),
      entry("10.0.0.1:99999999999", "8"),
      entry("host.example:80", "8"),
      entry("[::1]:80", "8"),
      entry("0.0.0.0:80", "8"),
      entry("127.0.0.1:9", "1e300"),
      entry("127.0.0.1:9", "1e400"),
      entry("127.0.0.1:9", "-1"),
      entry("127.0.0.1:9", "9223372036854775808"),
      std::string("\0\xff\xfe", 3),
      "",
      "[]"};
  return values;
}

// Names of odd entries, of up to 200 bytes with the prefix.
std::string OddId(int number) {
  std::string id = "odd-" + std::to_string(number);
  switch (number % 8) {
    case 0:
      return id + "\r\nX-Odd: 1";
    case 1:
      return id + " &after=%00+#?";
    case 2:
      return id + std::string(180 - id.size(), 'a');
    case 3:
      return id + "\xc3\xa9";
    default:
      return id;
  }
}

void PutOdd(EngineFleet& fleet, int from, int to) {
  for (int i = from; i < to; ++i) {
    const auto index = static_cast<std::size_t>(i) % OddValues().size();
    // Few values are large.
    fleet.store().Put(platform::StandinEntryKey(OddId(i)),
                      OddValues()[i < 32 ? index : 3 + index % 12]);
  }
}

// Plays, and checks that nearly all requests are served and no router ended.
void CheckServes(EngineFleet& fleet, RandomLoad& load, Duration duration,
                 const std::function<void(TimePoint)>& on_step = {}) {
  const TimePoint from = fleet.Now();
  fleet.PlayFor(duration, [&](TimePoint now) {
    load(now);
    if (on_step) {
      on_step(now);
    }
  });
  const std::size_t sent = load.CountSince(from);
  fleet.PlayFor(milliseconds(800));
  CHECK(static_cast<double>(load.Count("HTTP/1.1 200", from)) >=
        kMinServed * static_cast<double>(sent));
  for (const auto& it : fleet.routers()) {
    CHECK_FALSE(it->HasExited());
  }
}

TEST_CASE("Thousands of odd entries that come and go leave sound ones in use") {
  constexpr int kOddEntries = 3000;
  constexpr int kBatch = 100;
  const std::uint64_t seed = 1;
  INFO("seed ", seed);
  EngineFleet fleet(235, kRouters, kEngines, kCustomers);
  fleet.Start();
  RandomLoad load(fleet, kCustomers, 100, 40, seed);
  CheckServes(fleet, load, seconds(2));
  int written = 0;
  TimePoint next = fleet.Now();
  CheckServes(fleet, load, seconds(4), [&](TimePoint now) {
    if (now >= next && written < kOddEntries) {
      PutOdd(fleet, written, written + kBatch);
      written += kBatch;
      next = now + milliseconds(100);
    }
  });
  CHECK(written == kOddEntries);
  // A router that starts reads all of them.
  fleet.routers()[3]->Kill();
  fleet.routers()[3]->Start();
  fleet.PlayFor(seconds(3));
  CheckServes(fleet, load, seconds(2));
  int removed = 0;
  CheckServes(fleet, load, seconds(4), [&](TimePoint now) {
    if (now >= next && removed < kOddEntries) {
      for (int i = removed; i < removed + kBatch; ++i) {
        fleet.store().Remove(platform::StandinEntryKey(OddId(i)));
      }
      removed += kBatch;
      next = now + milliseconds(100);
    }
  });
}

TEST_CASE("An entry that becomes odd is not used until it is sound again") {
  constexpr Duration kNoticeTime = seconds(3);
  const std::uint64_t seed = 2;
  INFO("seed ", seed);
  EngineFleet fleet(236, kRouters, kEngines, kCustomers);
  fleet.Start();
  RandomLoad load(fleet, kCustomers, 100, 40, seed);
  CheckServes(fleet, load, seconds(2));
  for (const std::string& value : {OddValues()[0], OddValues()[4]}) {
    fleet.store().Put(platform::StandinEntryKey("t0"), value);
    CheckServes(fleet, load, kNoticeTime);
    const std::size_t arrivals = fleet.engines()[0]->arrivals().size();
    CheckServes(fleet, load, seconds(1));
    CHECK(fleet.engines()[0]->arrivals().size() == arrivals);
    fleet.PublishEngine(0);
    CheckServes(fleet, load, kNoticeTime);
    CHECK(fleet.engines()[0]->arrivals().size() > arrivals);
  }
}

}  // namespace
}  // namespace corianderpost::soak
