#include "decisions/rate_limit.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <vector>

namespace corianderpost {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart(seconds(100));

// The requirement: in each window of 4 s at most one and a half times what the
// limit allows, plus five requests.
constexpr Duration kWindow = seconds(4);
double MaxAllowed(double limit) { return 1.5 * 4 * limit + 5; }

struct Load {
  int routers = 6;
  double limit = 13;
  // Requests per second that router `i` wants to send at `seconds`.
  double (*wanted)(int i, int routers, double seconds) = nullptr;
};

struct Result {
  // The largest number of requests in a window, from 4 s on.
  int most_in_window = 0;
  // Requests sent from 4 s on, as a fraction of what the limit allows.
  double use = 0;
};

// Plays 24 s of a load over routers that know the use by the others with a
// delay of 200 ms.
Result Play(const Load& load, std::uint32_t seed) {
  std::minstd_rand random(seed);
  const auto n = static_cast<std::size_t>(load.routers);
  std::vector<RateLimit> limits(n);
  std::deque<std::vector<LimitUse>> reports;
  std::vector<TimePoint> sent;
  constexpr Duration kStep = milliseconds(5);
  for (int step = 0; step < 24 * 200; ++step) {
    const TimePoint now = kStart + step * kStep;
    const double time = 0.005 * step;
    if (step % 20 == 0) {
      std::vector<LimitUse> report;
      report.reserve(n);
      for (const RateLimit& it : limits) {
        report.push_back(it.LocalUse(now));
      }
      reports.push_back(report);
      if (reports.size() > 3) {
        reports.pop_front();
      }
    }
    LimitUse all;
    for (const LimitUse& it : reports.front()) {
      all.wanted += it.wanted;
      all.sent += it.sent;
    }
    for (std::size_t i = 0; i < n; ++i) {
      std::poisson_distribution<int> requests(
          0.005 * load.wanted(static_cast<int>(i), load.routers, time));
      const LimitUse own = reports.front()[i];
      const LimitUse peers{all.wanted - own.wanted, all.sent - own.sent};
      for (int k = requests(random); k > 0; --k) {
        if (limits[i].HasCredit(now, load.limit, peers, load.routers, random)) {
          limits[i].Spend(now);
          sent.push_back(now);
        }
      }
    }
  }
  Result result;
  std::size_t first = 0;
  int counted = 0;
  for (std::size_t i = 0; i < sent.size(); ++i) {
    while (sent[i] - sent[first] >= kWindow) {
      ++first;
    }
    if (sent[i] >= kStart + kWindow) {
      ++counted;
      result.most_in_window =
          std::max(result.most_in_window, static_cast<int>(i - first + 1));
    }
  }
  result.use = counted / (20 * std::max(load.limit, 0.2));
  return result;
}

double Even(int, int routers, double) { return 500.0 / routers; }
double Uneven(int i, int, double) { return i < 9 ? 250.0 / (1 << i) : 0.0; }
double AtOneRouter(int i, int, double) { return i == 0 ? 500.0 : 0.0; }
double Moving(int i, int routers, double time) {
  return i == static_cast<int>(time / 2) % routers ? 500.0 : 0.0;
}
double FromNothing(int, int routers, double time) {
  return time < 10 ? 0.0 : 500.0 / routers;
}
double OnAndOff(int, int routers, double time) {
  return static_cast<int>(time / 3) % 2 == 0 ? 0.0 : 500.0 / routers;
}

TEST_CASE("RateLimit keeps the sum of all routers within the limit") {
  for (const auto wanted :
       {Even, Uneven, AtOneRouter, Moving, FromNothing, OnAndOff}) {
    for (const int routers : {1, 6, 91}) {
      for (const double limit : {0.0, 0.5, 2.0, 6.5, 13.0, 60.0}) {
        for (std::uint32_t seed = 1; seed <= 8; ++seed) {
          INFO("seed ", seed, ", routers ", routers, ", limit ", limit);
          INFO("wants at 11 s: ", wanted(0, routers, 11));
          CHECK(Play({routers, limit, wanted}, seed).most_in_window <=
                MaxAllowed(limit));
        }
      }
    }
  }
}

TEST_CASE("RateLimit uses the limit however the demand is spread") {
  for (const auto wanted : {Even, Uneven, AtOneRouter}) {
    for (const int routers : {6, 91}) {
      for (const double limit : {6.5, 13.0, 60.0}) {
        for (std::uint32_t seed = 1; seed <= 4; ++seed) {
          INFO("seed ", seed, ", routers ", routers, ", limit ", limit);
          CHECK(Play({routers, limit, wanted}, seed).use >= 0.85);
        }
      }
    }
  }
}

TEST_CASE("RateLimit lets all requests pass that are within the limit") {
  const auto few = [](int, int, double) { return 1.0; };
  CHECK(Play({6, 60, few}, 1).use >= 0.85 * 6 / 60);
}

}  // namespace
}  // namespace corianderpost
