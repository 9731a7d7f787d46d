#include "decisions/zone_rotation.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <random>

namespace corianderpost {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart(seconds(100));
constexpr Duration kTick = milliseconds(25);

// A zone of routers that exchange reports every 100 ms, each late by up to
// `max_delay` and lost at a rate of `loss`, and a load balancer that checks
// each router once a second and takes it out after two failures in a row.
class SimulatedZone {
 public:
  SimulatedZone(int routers, Duration max_delay, double loss,
                std::uint64_t seed)
      : max_delay_(max_delay), loss_(loss), random_(seed) {
    for (int i = 0; i < routers; ++i) {
      routers_.emplace_back(Address(i));
    }
  }

  // `wants[i]` tells whether router i is saturated.
  void Run(Duration duration, const std::vector<bool>& wants) {
    for (const TimePoint end = now_ + duration; now_ < end; now_ += kTick) {
      ++ticks_;
      for (std::size_t i = 0; i < routers_.size(); ++i) {
        Tick(i, wants[i]);
      }
      const auto is_out = [](const Router& it) { return it.misses >= 2; };
      most_out_ = std::max(most_out_, OutCount());
      most_out_of_balancer_ =
          std::max(most_out_of_balancer_,
                   static_cast<int>(std::count_if(routers_.begin(),
                                                  routers_.end(), is_out)));
    }
  }
  int OutCount() const {
    return static_cast<int>(
        std::count_if(routers_.begin(), routers_.end(),
                      [](const Router& it) { return it.rotation.is_out(); }));
  }
  int most_out() const { return most_out_; }
  int most_out_of_balancer() const { return most_out_of_balancer_; }
  bool is_out(std::size_t i) const { return routers_[i].rotation.is_out(); }
  void SetLoss(double loss) { loss_ = loss; }
  // The router sends reports, but none of this state.
  void SetEarlierVersion(std::size_t i) { routers_[i].is_earlier = true; }

 private:
  struct Report {
    TimePoint arrives_at;
    TimePoint sent_at;
    std::optional<LeaveNumber> left_rotation;
  };
  struct Router {
    explicit Router(const std::string& vm) : rotation(vm) {}
    ZoneRotation rotation;
    bool is_earlier = false;
    int misses = 0;
    // By sender: reports on the way, and the newest one that arrived.
    std::map<std::size_t, std::vector<Report>> inbox;
    std::map<std::size_t, Report> known;
  };
  static std::string Address(int i) { return "10.0.0." + std::to_string(i); }

  void Tick(std::size_t i, bool wants) {
    Router& router = routers_[i];
    std::vector<ZonePeer> peers;
    for (std::size_t j = 0; j < routers_.size(); ++j) {
      if (j == i) {
        continue;
      }
      std::erase_if(router.inbox[j], [&](const Report& it) {
        if (it.arrives_at <= now_ && it.sent_at >= router.known[j].sent_at) {
          router.known[j] = it;
        }
        return it.arrives_at <= now_;
      });
      peers.push_back({Address(static_cast<int>(j)),
                       now_ - router.known[j].sent_at,
                       router.known[j].left_rotation});
    }
    const RotationChange change = router.rotation.Update(now_, wants, peers);
    // Reports of the routers are spread over the interval.
    if (change != RotationChange::kNone ||
        (ticks_ + static_cast<int>(i)) % 4 == 0) {
      Send(i);
    }
    if ((ticks_ + 7 * static_cast<int>(i)) % 40 == 0) {
      router.misses = router.rotation.is_out() ? router.misses + 1 : 0;
    }
  }
  void Send(std::size_t i) {
    for (std::size_t j = 0; j < routers_.size(); ++j) {
      if (j != i && std::bernoulli_distribution(1 - loss_)(random_)) {
        const Duration delay(std::uniform_int_distribution<Duration::rep>(
            0, max_delay_.count())(random_));
        routers_[j].inbox[i].push_back(
            {now_ + delay, now_,
             routers_[i].is_earlier ? std::nullopt
                                    : routers_[i].rotation.left_rotation()});
      }
    }
  }

  const Duration max_delay_;
  double loss_;
  std::mt19937_64 random_;
  TimePoint now_ = kStart;
  int ticks_ = 0;
  std::vector<Router> routers_;
  int most_out_ = 0;
  int most_out_of_balancer_ = 0;
};

// The incident of 2026-12 (overload-alone): both routers of a zone left.
TEST_CASE("A zone of one or two routers keeps all of them in rotation") {
  for (const int n : {1, 2}) {
    SimulatedZone zone(n, milliseconds(100), 0, 1);
    zone.Run(seconds(2), std::vector<bool>(2, false));
    zone.Run(seconds(20), std::vector<bool>(2, true));
    CHECK(zone.most_out() == 0);
  }
}

TEST_CASE("Of a saturated zone the permitted number of routers leaves") {
  for (const int n : {3, 4, 15}) {
    INFO("routers ", n);
    SimulatedZone zone(n, milliseconds(50), 0, 1);
    zone.Run(seconds(1), std::vector<bool>(15, false));
    zone.Run(seconds(5), std::vector<bool>(15, true));
    CHECK(zone.OutCount() == (n - 1) / 2);
    CHECK(zone.most_out_of_balancer() == (n - 1) / 2);
    zone.Run(seconds(2), std::vector<bool>(15, false));
    CHECK(zone.OutCount() == 0);
  }
}

// Guards against a zone that falls under half while its routers learn of each
// other late: what counts is what the load balancer sees.
TEST_CASE("Late and lost reports do not take more routers out") {
  for (const int n : {2, 3, 15}) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      INFO("routers ", n, ", seed ", seed);
      SimulatedZone zone(n, milliseconds(300), 0.2, seed);
      std::mt19937_64 random(seed);
      std::vector<bool> wants(15, false);
      zone.Run(seconds(1), wants);
      for (int step = 0; step < 200; ++step) {
        const auto i = random() % static_cast<unsigned>(n);
        wants[i] = random() % 3 != 0;
        zone.Run(milliseconds(random() % 500), wants);
      }
      CHECK(zone.most_out_of_balancer() <= (n - 1) / 2);
    }
  }
}

TEST_CASE("Of two routers that leave at once the later address returns") {
  SimulatedZone zone(3, milliseconds(80), 0, 1);
  zone.Run(seconds(1), {false, false, false});
  zone.Run(seconds(3), {false, true, true});
  CHECK(zone.is_out(1));
  CHECK_FALSE(zone.is_out(2));
  CHECK(zone.most_out() == 2);
  CHECK(zone.most_out_of_balancer() == 1);
  // A router that is saturated later does not take the place of an earlier one
  // with a larger address.
  SimulatedZone other(3, milliseconds(80), 0, 1);
  other.Run(seconds(1), {false, false, false});
  other.Run(seconds(1), {false, false, true});
  other.Run(seconds(3), {true, false, true});
  CHECK(other.is_out(2));
  CHECK_FALSE(other.is_out(0));
  // The place is given on when the router that holds it has recovered.
  other.Run(seconds(3), {true, false, false});
  CHECK(other.is_out(0));
}

TEST_CASE("A router without reports from its zone returns to rotation") {
  SimulatedZone zone(15, milliseconds(50), 0, 1);
  std::vector<bool> wants(15, false);
  zone.Run(seconds(1), wants);
  wants[3] = true;
  zone.Run(seconds(2), wants);
  CHECK(zone.is_out(3));
  zone.SetLoss(1);
  zone.Run(seconds(1), wants);
  CHECK_FALSE(zone.is_out(3));
  wants[4] = true;
  zone.Run(seconds(3), wants);
  CHECK(zone.OutCount() == 0);
}

TEST_CASE("A router of an earlier version counts as in rotation") {
  SimulatedZone zone(3, milliseconds(50), 0, 1);
  zone.SetEarlierVersion(0);
  zone.Run(seconds(1), {true, false, false});
  zone.Run(seconds(2), {true, true, false});
  CHECK(zone.is_out(1));
}

TEST_CASE("A router that is out for another reason takes a place") {
  ZoneRotation rotation("10.0.0.1");
  std::vector<ZonePeer> peers = {{"10.0.0.2", Duration(0), kOutForOtherReason},
                                 {"10.0.0.3", Duration(0), std::nullopt}};
  CHECK(rotation.Update(kStart, true, peers) == RotationChange::kStayed);
  CHECK(rotation.zone_out() == 1);
  peers[0].left_rotation.reset();
  CHECK(rotation.Update(kStart + kTick, true, peers) == RotationChange::kLeft);
  peers[1].left_rotation = kOutForOtherReason;
  CHECK(rotation.Update(kStart + 2 * kTick, true, peers) ==
        RotationChange::kYielded);
  // Two attempts to leave must not fail two readiness checks in a row.
  peers[1].left_rotation.reset();
  CHECK(rotation.Update(kStart + seconds(1), true, peers) ==
        RotationChange::kNone);
  CHECK(rotation.Update(kStart + milliseconds(1400), true, peers) ==
        RotationChange::kLeft);
}

// Guards against callers who can't connect: a saturated zone kept them though
// routers of the next zone, in the same region, were idle.
TEST_CASE("A zone may empty if its region has another zone") {
  ZoneRotation rotation("10.0.0.1");
  const std::vector<ZonePeer> peers = {
      {"10.0.0.2", Duration(0), LeaveNumber{1}}};
  CHECK(rotation.Update(kStart, true, peers, false) == RotationChange::kStayed);
  CHECK(rotation.Update(kStart + seconds(2), true, peers, true) ==
        RotationChange::kLeft);
}

}  // namespace
}  // namespace corianderpost
