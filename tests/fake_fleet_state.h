// What the fake fleet keeps of routers, targets and callers. Private to it.
#ifndef CORIANDERPOST_TESTS_FAKE_FLEET_STATE_H_
#define CORIANDERPOST_TESTS_FAKE_FLEET_STATE_H_

#include <deque>

#include "fake_fleet.h"

namespace corianderpost::testing {

inline constexpr char kModelName[] = "assistant";
inline constexpr char kLedgerName[] = "ledger";
inline constexpr std::uint64_t kEpochMicros = 1'700'000'000'000'000;
inline constexpr std::size_t kMaxViolations = 50;

inline constexpr Duration kTick{10'000};
inline constexpr Duration kSameZone{300};
inline constexpr Duration kSameRegion{500};
inline constexpr Duration kAcrossRegions{30'000};
// IP and UDP headers.
inline constexpr std::size_t kDatagramOverhead = 28;
inline constexpr Duration kWatchTime{1'500'000};
inline constexpr Duration kWatchPoll{20'000};
inline constexpr Duration kListInterval{1'000'000};
inline constexpr Duration kListLag{2'000'000};
inline constexpr Duration kReportLag{500'000};
inline constexpr Duration kProduceInterval{100'000};
// The letter's bound: a published change is in force within this time.
inline constexpr Duration kInForceWithin{5'000'000};
// Time by which routers can know that a target turned cold by itself: load
// reports lag and are asked for from time to time, and a report counts until
// the next is due.
inline constexpr Duration kColdKnownWithin{4'000'000};
// Targets that one request may crash over the whole fleet.
inline constexpr int kMaxCrashesOfOne = 6;
inline constexpr Duration kLostConnection{1'000'000};

inline std::string CustomerNameOf(int customer) {
  return "customer-" + std::to_string(customer);
}

struct FakeFleet::Router {
  std::string name;
  std::string zone;
  VmId vm;
  std::uint64_t life = 0;
  bool is_alive = false;
  bool is_draining = false;
  bool is_cut_from_list = false;
  Duration paused_until{0};
  Duration clock_offset{0};
  Duration wall_skew{0};
  std::unique_ptr<RouterCore> core;
  std::map<RequestId, std::uint64_t> work_of_request;
  std::set<RequestId> open_when_drained;
  std::set<RequestId> dispatched;
  std::map<AttemptId, std::uint64_t> execution_of_attempt;
  // Requests that a target has begun.
  std::set<RequestId> begun;
  std::set<RequestId> answers;
};

struct FakeFleet::Engine {
  std::string name;
  std::string zone;
  VmId vm;
  bool is_plain = false;
  bool is_leaving = false;
  Duration left_at{0};
  Duration away_until{0};
  Duration cold_since{0};
  Duration cold_until{0};
  std::set<std::uint64_t> running;
  struct Sample {
    Duration at;
    int in_flight;
    bool cold;
  };
  std::deque<Sample> history;

  bool IsCold(Duration now) const { return now < cold_until; }
  void Record(Duration now) {
    history.push_back({now, static_cast<int>(running.size()), IsCold(now)});
    while (history.size() > 1 && history[1].at <= now - kReportLag) {
      history.pop_front();
    }
  }
};

struct FakeFleet::Execution {
  std::uint64_t id = 0;
  std::uint64_t work = 0;
  int router = 0;
  std::uint64_t life = 0;
  RequestId request = 0;
  AttemptId attempt = 0;
  int engine = 0;
  std::uint64_t next_unit = 0;
  Duration arrived_at{0};
};

struct FakeFleet::Work {
  std::uint64_t id = 0;
  int customer = 0;
  bool is_once_only = false;
  bool is_poison = false;
  std::uint64_t units = 0;
  // Units that the caller has been given in this try.
  std::uint64_t received = 0;
  std::vector<int> routers;
  std::string key;
  int tries_left = 1;
  int executions = 0;
  int crashes = 0;
};

}  // namespace corianderpost::testing

#endif  // CORIANDERPOST_TESTS_FAKE_FLEET_STATE_H_
