#include "decisions/scheduler.h"

#include <doctest/doctest.h>

#include <map>
#include <queue>
#include <random>
#include <set>

namespace corianderpost {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart(seconds(100));

ConfigurationParts MakeConfigurationParts(double tokens_per_second) {
  ConfigurationParts parts;
  Route route;
  route.name = "report";
  route.host = "h";
  route.prefix = "/";
  route.kind = RequestKind::kStreaming;
  route.is_resumable = true;
  route.max_attempts = 2;
  route.latency_goal = milliseconds(600);
  route.timeout = seconds(4);
  route.split = {{"assistant", 1.0}};
  parts.AddRoute(route);
  ServiceProfile service;
  service.name = "assistant";
  service.cold_start = seconds(3);
  service.cold_per_second = 20;
  service.engine = EngineProfile{128, 400'000};
  parts.services = {service};
  for (const char* name : {"small", "large", "other"}) {
    CustomerProfile customer;
    customer.id = CustomerId::FromName(name);
    customer.name = name;
    parts.customers.push_back(customer);
  }
  parts.requires_api_key = true;
  parts.engine_tokens_per_second = tokens_per_second;
  return parts;
}

SchedulerOptions WestOptions() {
  SchedulerOptions options;
  options.zone = "a";
  options.region = "west";
  options.region_of_zone = {{"a", "west"}, {"b", "west"}, {"c", "east"}};
  options.retry_budget = {0.2, seconds(10), 50};
  options.region_link_bytes_per_second = 4e6;
  return options;
}

// A scheduler with targets "t0", "t1", ... in the given zones.
class Fixture {
 public:
  explicit Fixture(const std::vector<std::string>& zones,
                   double tokens_per_second = 0)
      : configuration_(
            Configuration::Create(MakeConfigurationParts(tokens_per_second))),
        scheduler_(WestOptions()) {
    scheduler_.SetConfiguration(configuration_);
    for (std::size_t i = 0; i < zones.size(); ++i) {
      scheduler_.targets().ApplyEntry(kStart, Entry(i, zones[i]));
    }
  }

  static TargetEntry Entry(std::size_t number, const std::string& zone) {
    TargetEntry entry;
    entry.id = "t" + std::to_string(number);
    entry.service = "assistant";
    entry.address = "10.0.0." + std::to_string(number + 1) + ":80";
    entry.zone = zone;
    entry.slots = 128;
    entry.incarnation = 1;
    return entry;
  }

  // Returns a request that shares 2000 prompt tokens with all requests and 4000
  // with those of the same `prefix_id`.
  ScheduledRequest Request(const std::string& customer, std::uint64_t prefix_id,
                           std::int64_t unshared_tokens) const {
    ScheduledRequest request;
    request.route = configuration_->routes().front().get();
    for (const CustomerProfile& it : configuration_->customers()) {
      if (it.name == customer) {
        request.customer = &it;
      }
    }
    request.service = "assistant";
    request.prompt = {
        {1, 2000}, {prefix_id, 4000}, {prefix_id * 1000 + 7, unshared_tokens}};
    request.prompt_tokens = 6000 + unshared_tokens;
    request.max_output_tokens = 50;
    request.body_bytes = 2000;
    request.traits = TraitsOf(prefix_id, request.prompt);
    request.remaining = seconds(4);
    return request;
  }

  Scheduler& scheduler() { return scheduler_; }

 private:
  std::shared_ptr<const Configuration> configuration_;
  Scheduler scheduler_;
};

std::string ChosenTarget(const Decision& decision) {
  const auto* assignment = std::get_if<Assignment>(&decision);
  return assignment == nullptr ? "" : assignment->target_id;
}

TEST_CASE("Scheduler sends prompts with the same prefix to one target") {
  Fixture fixture({"a", "a", "b", "b"});
  std::set<std::string> used;
  for (int i = 0; i < 5; ++i) {
    const Decision decision = fixture.scheduler().Place(
        kStart + seconds(i), fixture.Request("small", 42, 100));
    REQUIRE(std::holds_alternative<Assignment>(decision));
    used.insert(ChosenTarget(decision));
    fixture.scheduler().Finish(kStart + seconds(i),
                               std::get<Assignment>(decision),
                               AttemptOutcome::kCompleted);
  }
  CHECK(used.size() == 1);
}

TEST_CASE("Schedulers of a region choose the same home without coordination") {
  Fixture one({"a", "a", "b", "b"});
  Fixture two({"a", "a", "b", "b"});
  for (std::uint64_t prefix_id = 1; prefix_id < 20; ++prefix_id) {
    CHECK(ChosenTarget(one.scheduler().Place(
              kStart, one.Request("small", prefix_id, 10))) ==
          ChosenTarget(two.scheduler().Place(
              kStart, two.Request("small", prefix_id, 10))));
  }
}

TEST_CASE(
    "Scheduler uses other targets for a popular prefix when its home is busy") {
  Fixture fixture({"a", "a", "b"});
  std::set<std::string> used;
  for (int i = 0; i < 12; ++i) {
    used.insert(ChosenTarget(
        fixture.scheduler().Place(kStart, fixture.Request("small", 42, 3000))));
  }
  CHECK(used.size() > 1);
}

// Work that is added and not removed would keep a target from being used.
TEST_CASE("Remaining output at a target follows the events of its streams") {
  Fixture fixture({"a"});
  Scheduler& scheduler = fixture.scheduler();
  const auto load = [&scheduler]() {
    return scheduler.targets().Find("t0")->local_load;
  };
  const Decision first =
      scheduler.Place(kStart, fixture.Request("small", 42, 10));
  const Decision second =
      scheduler.Place(kStart, fixture.Request("small", 42, 10));
  Assignment one = std::get<Assignment>(first);
  const Assignment two = std::get<Assignment>(second);
  CHECK(load().output_tokens_left == 100);
  for (int i = 0; i < 40; ++i) {
    scheduler.RecordEvent(one);
  }
  CHECK(load().output_tokens_left == 60);
  for (int i = 0; i < 40; ++i) {
    scheduler.RecordEvent(one);
  }
  CHECK(load().output_tokens_left == 51);
  scheduler.Finish(kStart, one, AttemptOutcome::kCompleted);
  CHECK(load().output_tokens_left == 50);
  scheduler.Finish(kStart, two, AttemptOutcome::kCancelled);
  CHECK(load() == TargetLoad{});
}

TEST_CASE("Scheduler uses no target that has asked for a pause") {
  Fixture fixture({"a", "a"});
  TargetTable& targets = fixture.scheduler().targets();
  targets.Find("t0")->paused_until = kStart + seconds(3);
  for (int i = 0; i < 5; ++i) {
    CHECK(ChosenTarget(fixture.scheduler().Place(
              kStart, fixture.Request("small", 40 + i, 10))) == "t1");
  }
  // Not even if it is the only one.
  targets.Find("t1")->paused_until = kStart + milliseconds(1500);
  const Decision decision =
      fixture.scheduler().Place(kStart, fixture.Request("small", 42, 10));
  const auto* rejection = std::get_if<Rejection>(&decision);
  REQUIRE(rejection != nullptr);
  CHECK(rejection->reason == RejectionReason::kPaused);
  CHECK(rejection->retry_after == milliseconds(1500));
  CHECK(ChosenTarget(fixture.scheduler().Place(
            kStart + seconds(2), fixture.Request("small", 42, 10))) == "t1");
}

TEST_CASE(
    "Streams that may be resumed begin at no version that just appeared") {
  Fixture fixture({"a", "a"});
  TargetEntry entry = Fixture::Entry(2, "a");
  entry.version = "next";
  const TimePoint appeared_at = kStart + seconds(10);
  TargetTable& targets = fixture.scheduler().targets();
  targets.ApplyEntry(appeared_at, entry);
  for (int i = 0; i < 30; ++i) {
    CHECK(ChosenTarget(fixture.scheduler().Place(
              appeared_at, fixture.Request("small", 40 + i, 10))) != "t2");
  }
  // It is used if the other versions leave.
  targets.ApplyRemoval(appeared_at, "t0", Duration(0));
  targets.ApplyRemoval(appeared_at, "t1", Duration(0));
  CHECK(ChosenTarget(fixture.scheduler().Place(
            appeared_at, fixture.Request("small", 42, 10))) == "t2");
}

TEST_CASE("Scheduler includes the load that peers report") {
  Fixture fixture({"a", "b"});
  const std::string home = ChosenTarget(
      fixture.scheduler().Place(kStart, fixture.Request("small", 42, 10)));
  fixture.scheduler().targets().SetPeerLoad(
      kStart, {{TargetId::FromName(home), {60, 30'000, 200'000}}});
  CHECK(ChosenTarget(fixture.scheduler().Place(
            kStart, fixture.Request("small", 42, 10))) != home);
}

// In a load test (grown scale-1), all of 75 routers saw the same target as idle
// and chose it; its first events then took three times as long as predicted.
TEST_CASE("Routers with the same peer reports spread over the targets") {
  constexpr int kRouters = 60;
  std::map<std::string, int> requests_by_target;
  for (int router = 0; router < kRouters; ++router) {
    Fixture fixture(std::vector<std::string>(20, "a"));
    fixture.scheduler().SetSeed(static_cast<std::uint32_t>(router + 1));
    std::map<TargetId, TargetLoad> load;
    for (int i = 0; i < 20; ++i) {
      // One target looks idle, the others have short queues.
      load[TargetId::FromName("t" + std::to_string(i))].pending_prefill_tokens =
          i == 7 ? 0 : 3000;
    }
    fixture.scheduler().targets().SetPeerLoad(kStart, load);
    ScheduledRequest request = fixture.Request("small", 1, 1000);
    request.prompt = {{5, 1000}};
    ++requests_by_target[ChosenTarget(
        fixture.scheduler().Place(kStart, request))];
  }
  CHECK(requests_by_target.size() >= 10);
  for (const auto& it : requests_by_target) {
    INFO(it.first);
    CHECK(it.second <= kRouters / 4);
  }
}

// In a load test (Ranwala, grown scale-1), a router that could not keep up
// reported first events seconds late. Its peers took all engines to be full and
// rejected requests.
TEST_CASE(
    "A router with a lagging event loop does not make targets look full") {
  Fixture fixture({"a"});
  Scheduler& scheduler = fixture.scheduler();
  scheduler.SetEventLoopLagging(true);
  std::vector<Assignment> sent;
  for (int i = 0; i < 5; ++i) {
    const Decision decision =
        scheduler.Place(kStart, fixture.Request("small", 42, 1000));
    REQUIRE(std::holds_alternative<Assignment>(decision));
    sent.push_back(std::get<Assignment>(decision));
  }
  const TargetId id = TargetId::FromName("t0");
  CHECK(scheduler.targets().LocalLoad(kStart).at(id).pending_prefill_tokens >=
        5000);
  const TimePoint later = kStart + seconds(3);
  CHECK(scheduler.targets().LocalLoad(later).at(id).pending_prefill_tokens ==
        0);
  for (Assignment& it : sent) {
    scheduler.RecordFirstEvent(later, it, fixture.Request("small", 42, 1000));
  }
  CHECK(scheduler.targets().LocalLoad(later).at(id).first_events == 0);
  CHECK(scheduler.targets().LocalLoad(later).at(id).pending_prefill_tokens ==
        0);
}

TEST_CASE(
    "A prompt that misses its goal on an idle target is admitted at low load") {
  Fixture fixture({"a"}, 50'000);
  ScheduledRequest request = fixture.Request("small", 1, 30'000);
  request.prompt = {{5, 30'000}};
  CHECK(ChosenTarget(fixture.scheduler().Place(kStart, request)) == "t0");
  fixture.scheduler().targets().SetPeerLoad(
      kStart, {{TargetId::FromName("t0"), {50, 20'000, 0}}});
  CHECK(std::holds_alternative<Rejection>(
      fixture.scheduler().Place(kStart, request)));
}

TEST_CASE(
    "Scheduler rejects a request that would miss its goal on every target") {
  Fixture fixture({"a", "b"});
  fixture.scheduler().targets().SetPeerLoad(
      kStart, {{TargetId::FromName("t0"), {100, 40'000, 0}},
               {TargetId::FromName("t1"), {100, 40'000, 0}}});
  const Decision decision =
      fixture.scheduler().Place(kStart, fixture.Request("small", 42, 100));
  REQUIRE(std::holds_alternative<Rejection>(decision));
  const Rejection& rejection = std::get<Rejection>(decision);
  CHECK(rejection.reason == RejectionReason::kOverloaded);
  CHECK(rejection.retry_after > Duration(0));
  CHECK(rejection.predicted > milliseconds(600));
}

TEST_CASE("A rejection says how many targets each limit ruled out") {
  Fixture fixture({"a", "c"});
  fixture.scheduler().targets().SetPeerLoad(
      kStart, {{TargetId::FromName("t0"), {100, 60'000, 0}}});
  fixture.scheduler().SetPeerLinkUse(kStart, 4e6);
  const Decision decision =
      fixture.scheduler().Place(kStart, fixture.Request("small", 42, 100));
  REQUIRE(std::holds_alternative<Rejection>(decision));
  const ExcludedTargets& excluded = std::get<Rejection>(decision).excluded;
  CHECK(excluded.latency == 1);
  CHECK(excluded.link == 1);
  CHECK(excluded.queue + excluded.recompute + excluded.cold == 0);
}

TEST_CASE("Routers together keep to the rate limit of a cold target") {
  Fixture fixture({});
  TargetEntry cold = Fixture::Entry(0, "a");
  cold.cold_remaining = seconds(30);
  fixture.scheduler().targets().ApplyEntry(kStart, cold);
  constexpr int kRouters = 4;
  int sent = 0;
  for (int router = 0; router < kRouters; ++router) {
    fixture.scheduler().SetFleet(kRouters, router);
    fixture.scheduler().targets().Find("t0")->cold_send_credit = 1.0;
    fixture.scheduler().targets().Find("t0")->cold_credit_updated_at = kStart;
    for (int i = 0; i < 1000; ++i) {
      const TimePoint now = kStart + milliseconds(i);
      const Decision decision =
          fixture.scheduler().Place(now, fixture.Request("small", 42, 10));
      if (const auto* assignment = std::get_if<Assignment>(&decision)) {
        ++sent;
        fixture.scheduler().Finish(now, *assignment,
                                   AttemptOutcome::kCompleted);
      }
    }
  }
  CHECK(sent > 0);
  CHECK(sent <= 20 * 1.5 + 5);
}

TEST_CASE("Only some routers of a large fleet send to a cold target") {
  Fixture fixture({});
  TargetEntry cold = Fixture::Entry(0, "a");
  cold.cold_remaining = seconds(30);
  fixture.scheduler().targets().ApplyEntry(kStart, cold);
  int senders = 0;
  for (int router = 0; router < 91; ++router) {
    fixture.scheduler().SetFleet(91, router);
    fixture.scheduler().targets().Find("t0")->cold_send_credit = 1.0;
    senders += std::holds_alternative<Assignment>(fixture.scheduler().Place(
                   kStart, fixture.Request("small", 42, 10)))
                   ? 1
                   : 0;
  }
  CHECK(senders <= 20);
  CHECK(senders > 0);
}

TEST_CASE("Scheduler stays in the local region while it has headroom") {
  Fixture fixture({"a", "c", "c", "c"});
  for (std::uint64_t prefix_id = 1; prefix_id < 5; ++prefix_id) {
    ScheduledRequest request = fixture.Request("small", prefix_id, 10);
    request.prompt = {{prefix_id, 500}};
    CHECK(ChosenTarget(fixture.scheduler().Place(kStart, request)) == "t0");
  }
}

// In a load test (grown scale-1), with one home per region, each region
// recomputed the shared parts: 24 of every 100 tokens were recomputed.
TEST_CASE("Routers of both regions send a long chain to the same home") {
  Fixture west({"a", "a", "c", "c"});
  Fixture east({"a", "a", "c", "c"});
  SchedulerOptions east_options = WestOptions();
  east_options.zone = "c";
  east_options.region = "east";
  east.scheduler().SetOptions(east_options);
  std::set<std::string> used;
  for (std::uint64_t prefix_id = 1; prefix_id < 20; ++prefix_id) {
    const std::string home = ChosenTarget(
        west.scheduler().Place(kStart, west.Request("small", prefix_id, 10)));
    CHECK(home == ChosenTarget(east.scheduler().Place(
                      kStart, east.Request("small", prefix_id, 10))));
    used.insert(home);
  }
  CHECK(used.size() == 4);
}

TEST_CASE("Scheduler keeps a chain in the local region without link budget") {
  Fixture fixture({"a", "c", "c", "c"});
  fixture.scheduler().SetPeerLinkUse(kStart, 4e6);
  for (std::uint64_t prefix_id = 1; prefix_id < 5; ++prefix_id) {
    CHECK(ChosenTarget(fixture.scheduler().Place(
              kStart, fixture.Request("small", prefix_id, 10))) == "t0");
  }
}

// In a load test (consortium's scale-1, seed 738070823539), one region was full
// while the other had headroom.
TEST_CASE("Scheduler uses the remote region when the local one is full") {
  Fixture fixture({"a", "c"});
  fixture.scheduler().targets().SetPeerLoad(
      kStart, {{TargetId::FromName("t0"), {100, 60'000, 0}}});
  ScheduledRequest request = fixture.Request("small", 42, 100);
  request.body_bytes = 18'000;
  CHECK(ChosenTarget(fixture.scheduler().Place(kStart, request)) == "t1");
}

TEST_CASE("Scheduler keeps to the budget of the link between regions") {
  Fixture fixture({"a", "c", "c", "c"});
  fixture.scheduler().targets().SetPeerLoad(
      kStart, {{TargetId::FromName("t0"), {100, 60'000, 0}}});
  double bytes = 0;
  for (int i = 0; i < 10'000; ++i) {
    const TimePoint now = kStart + Duration(i * 100);
    ScheduledRequest request =
        fixture.Request("small", static_cast<std::uint64_t>(i), 1);
    request.prompt.clear();
    request.prompt_tokens = 1;
    request.body_bytes = 18'000;
    const Decision decision = fixture.scheduler().Place(now, request);
    if (const auto* assignment = std::get_if<Assignment>(&decision)) {
      bytes += assignment->target_id == "t0" ? 0 : 18'000;
      fixture.scheduler().Finish(now, *assignment, AttemptOutcome::kCompleted);
    }
  }
  CHECK(bytes > 1e6);
  CHECK(bytes <= 4e6);
}

TEST_CASE("Scheduler does not use the link when peers use the whole budget") {
  Fixture fixture({"a", "c"});
  fixture.scheduler().targets().SetPeerLoad(
      kStart, {{TargetId::FromName("t0"), {100, 60'000, 0}}});
  fixture.scheduler().SetPeerLinkUse(kStart, 4e6);
  CHECK(std::holds_alternative<Rejection>(
      fixture.scheduler().Place(kStart, fixture.Request("small", 42, 100))));
}

// In a load test (Ranwala, grown scale-1), with half of the engines down,
// customers with callers at many routers took the share of a customer with
// callers at only two routers.
TEST_CASE("The share level is proportional to the usable engines") {
  Fixture fixture({"a", "a", "a", "a"}, 200'000);
  Scheduler& scheduler = fixture.scheduler();
  const ScheduledRequest request = fixture.Request("large", 1, 1000);
  for (int i = 0; i < 1000; ++i) {
    scheduler.RecordRequest(kStart, request);
  }
  scheduler.Place(kStart, request);
  CHECK(scheduler.fair_share().ShareLevel(kStart) == doctest::Approx(200'000));
  for (const char* id : {"t0", "t1"}) {
    scheduler.targets().RecordOutcome(kStart, *scheduler.targets().Find(id),
                                      AttemptOutcome::kConnectFailed);
  }
  const TimePoint later = kStart + milliseconds(200);
  scheduler.Place(later, request);
  CHECK(scheduler.fair_share().ShareLevel(later) == doctest::Approx(100'000));
}

TEST_CASE("The share level counts the throughput that a rate limit allows") {
  Fixture fixture({"a", "a", "a", "a"}, 200'000);
  Scheduler& scheduler = fixture.scheduler();
  // 1,100 units, so an engine has the throughput for 45 a second.
  const ScheduledRequest request = fixture.Request("large", 1, 1000);
  for (int i = 0; i < 1000; ++i) {
    scheduler.RecordRequest(kStart, request);
  }
  scheduler.Place(kStart, request);
  for (const char* id : {"t0", "t1"}) {
    TargetTable::RecordRateLimit(kStart, *scheduler.targets().Find(id), 5.0);
  }
  const TimePoint later = kStart + milliseconds(200);
  scheduler.Place(later, request);
  CHECK(scheduler.fair_share().ShareLevel(later) ==
        doctest::Approx(100'000 + 2 * 5.0 * 1100));
}

TEST_CASE("Requests beyond a target's rate limit go to other targets") {
  Fixture fixture({"a", "a"});
  Scheduler& scheduler = fixture.scheduler();
  TargetTable::RecordRateLimit(kStart, *scheduler.targets().Find("t0"), 2.0);
  int limited = 0;
  int others = 0;
  for (int i = 0; i < 400; ++i) {
    const TimePoint now = kStart + milliseconds(10 * i);
    const ScheduledRequest request =
        fixture.Request("small", static_cast<std::uint64_t>(i), 10);
    scheduler.RecordRequest(now, request);
    const Decision decision = scheduler.Place(now, request);
    if (const auto* it = std::get_if<Assignment>(&decision)) {
      (it->target_id == "t0" ? limited : others) += 1;
      Assignment assignment = *it;
      scheduler.RecordFirstEvent(now, assignment, request);
      scheduler.Finish(now, assignment, AttemptOutcome::kCompleted);
    }
  }
  // At most one and a half times the limit in 4 s, plus five.
  CHECK(limited <= 1.5 * 4 * 2.0 + 5);
  CHECK(limited >= 0.5 * 4 * 2.0);
  CHECK(limited + others == 400);
}

TEST_CASE("A request that only rate limits rule out is told when to return") {
  Fixture fixture({"a"});
  Scheduler& scheduler = fixture.scheduler();
  TargetTable::RecordRateLimit(kStart, *scheduler.targets().Find("t0"), 1.0);
  int rejected = 0;
  for (int i = 0; i < 100; ++i) {
    const TimePoint now = kStart + milliseconds(10 * i);
    const Decision decision =
        scheduler.Place(now, fixture.Request("small", 42, 10));
    if (const auto* it = std::get_if<Rejection>(&decision)) {
      ++rejected;
      CHECK(it->reason == RejectionReason::kRateLimited);
      CHECK(it->retry_after >= milliseconds(500));
      CHECK(it->excluded.rate_limit == 1);
    }
  }
  CHECK(rejected >= 95);
}

// In a load test (grown scale-1), requests with a long latency goal filled the
// engines' queues beyond what requests with the shortest goal tolerate.
TEST_CASE("A long latency goal does not allow a longer queue") {
  Fixture fixture({"a"});
  Route long_goal_route = *fixture.Request("small", 1, 1).route;
  long_goal_route.latency_goal = seconds(10);
  fixture.scheduler().targets().SetPeerLoad(
      kStart, {{TargetId::FromName("t0"), {100, 30'000, 0}}});
  ScheduledRequest request = fixture.Request("small", 42, 100);
  request.route = &long_goal_route;
  CHECK(std::holds_alternative<Rejection>(
      fixture.scheduler().Place(kStart, request)));
}

TEST_CASE("Scheduler uses only targets in allowed regions") {
  Fixture fixture({"a", "c"});
  ScheduledRequest request = fixture.Request("small", 42, 10);
  CustomerProfile customer = *request.customer;
  customer.allowed_regions = {"east"};
  request.customer = &customer;
  CHECK(ChosenTarget(fixture.scheduler().Place(kStart, request)) == "t1");
  customer.allowed_regions = {"north"};
  const Decision decision = fixture.scheduler().Place(kStart, request);
  REQUIRE(std::holds_alternative<Rejection>(decision));
  CHECK(std::get<Rejection>(decision).reason == RejectionReason::kNoTarget);
}

TEST_CASE("Scheduler does not send a request to the same target twice") {
  Fixture fixture({"a", "b"});
  ScheduledRequest request = fixture.Request("small", 42, 10);
  request.tried_targets = {"t0"};
  fixture.scheduler().RecordRequest(kStart, request);
  CHECK(ChosenTarget(fixture.scheduler().Place(kStart, request)) == "t1");
}

// Sets the software version of a target.
void SetVersion(Scheduler& scheduler, const std::string& target_id,
                const std::string& version) {
  TargetEntry entry = scheduler.targets().Find(target_id)->entry;
  entry.version = version;
  scheduler.targets().ApplyEntry(kStart, entry);
}

ScheduledRequest Continuation(ScheduledRequest request,
                              const std::string& version) {
  request.required_version = VersionId::FromName(version);
  request.was_admitted = true;
  return request;
}

RejectionReason ReasonOf(const Decision& decision) {
  REQUIRE(std::holds_alternative<Rejection>(decision));
  return std::get<Rejection>(decision).reason;
}

TEST_CASE("A stream continues only at targets of its version") {
  Fixture fixture({"a", "a", "b", "c", "a"});
  Scheduler& scheduler = fixture.scheduler();
  SetVersion(scheduler, "t0", "v1");
  SetVersion(scheduler, "t1", "v2");
  SetVersion(scheduler, "t2", "v3");
  SetVersion(scheduler, "t3", "v2");
  std::set<std::string> used;
  for (std::uint64_t prefix_id = 1; prefix_id <= 20; ++prefix_id) {
    const Decision decision = scheduler.Place(
        kStart, Continuation(fixture.Request("small", prefix_id, 10), "v2"));
    REQUIRE(std::holds_alternative<Assignment>(decision));
    const auto& assignment = std::get<Assignment>(decision);
    CHECK(assignment.version == VersionId::FromName("v2"));
    used.insert(assignment.target_id);
    scheduler.Finish(kStart, assignment, AttemptOutcome::kCompleted);
  }
  used.erase("t1");
  used.erase("t3");
  CHECK(used.empty());
}

TEST_CASE("A stream is rejected at once if its version is gone") {
  Fixture fixture({"a", "a", "a"});
  Scheduler& scheduler = fixture.scheduler();
  SetVersion(scheduler, "t0", "v1");
  SetVersion(scheduler, "t1", "v2");
  const ScheduledRequest request = fixture.Request("small", 42, 10);
  for (const char* version : {"v3", ""}) {
    INFO("version ", version);
    CHECK(ReasonOf(scheduler.Place(kStart, Continuation(request, version))) ==
          RejectionReason::kVersionGone);
  }
  TargetEntry draining = scheduler.targets().Find("t0")->entry;
  draining.is_draining = true;
  scheduler.targets().ApplyEntry(kStart, draining);
  const Decision decision =
      scheduler.Place(kStart, Continuation(request, "v1"));
  CHECK(ReasonOf(decision) == RejectionReason::kVersionGone);
  CHECK(std::get<Rejection>(decision).retry_after > Duration(0));
  CHECK(std::get<Rejection>(decision).retry_after <= milliseconds(500));
}

TEST_CASE("A stream does not continue at a target that may have restarted") {
  Fixture fixture({"a"});
  Scheduler& scheduler = fixture.scheduler();
  SetVersion(scheduler, "t0", "v1");
  scheduler.targets().RecordOutcome(kStart, *scheduler.targets().Find("t0"),
                                    AttemptOutcome::kConnectFailed);
  const ScheduledRequest request = fixture.Request("small", 42, 10);
  // Its version may still serve.
  CHECK(ReasonOf(scheduler.Place(kStart, Continuation(request, "v1"))) ==
        RejectionReason::kNoTarget);
  const Decision decision = scheduler.Place(kStart, request);
  REQUIRE(std::holds_alternative<Assignment>(decision));
  CHECK_FALSE(std::get<Assignment>(decision).version.is_known());
}

TEST_CASE("A stream continues at a target that a peer can't reach if need be") {
  Fixture fixture({"a", "a"});
  Scheduler& scheduler = fixture.scheduler();
  SetVersion(scheduler, "t0", "v1");
  SetVersion(scheduler, "t1", "v1");
  for (const char* suspect : {"t0", "t1"}) {
    const std::string other = std::string(suspect) == "t0" ? "t1" : "t0";
    scheduler.targets().Find(suspect)->may_be_cold = true;
    scheduler.targets().Find(other)->may_be_cold = false;
    for (std::uint64_t prefix_id = 1; prefix_id <= 10; ++prefix_id) {
      const Decision decision = scheduler.Place(
          kStart, Continuation(fixture.Request("small", prefix_id, 10), "v1"));
      CHECK(ChosenTarget(decision) == other);
      scheduler.Finish(kStart, std::get<Assignment>(decision),
                       AttemptOutcome::kCompleted);
    }
  }
  SetVersion(scheduler, "t0", "v2");
  CHECK(ChosenTarget(scheduler.Place(
            kStart, Continuation(fixture.Request("small", 42, 10), "v1"))) ==
        "t1");
}

TEST_CASE("A stream waits for a target of its version that pauses") {
  Fixture fixture({"a", "a"});
  Scheduler& scheduler = fixture.scheduler();
  SetVersion(scheduler, "t0", "v1");
  SetVersion(scheduler, "t1", "v2");
  const ScheduledRequest request = fixture.Request("small", 42, 10);
  scheduler.targets().Find("t1")->paused_until = kStart + seconds(1);
  CHECK(ReasonOf(scheduler.Place(kStart, Continuation(request, "v2"))) ==
        RejectionReason::kPaused);
  scheduler.targets().Find("t0")->paused_until = kStart + seconds(1);
  scheduler.targets().Find("t1")->paused_until = kStart;
  ScheduledRequest tried = Continuation(request, "v2");
  tried.tried_targets = {"t1"};
  CHECK(ReasonOf(scheduler.Place(kStart, tried)) == RejectionReason::kNoTarget);
}

TEST_CASE("A stream may wait longer for its version than one that begins") {
  Fixture fixture({"a", "a"});
  Scheduler& scheduler = fixture.scheduler();
  SetVersion(scheduler, "t0", "v1");
  SetVersion(scheduler, "t1", "v1");
  scheduler.targets().SetPeerLoad(
      kStart, {{TargetId::FromName("t0"), {100, 30'000, 0}},
               {TargetId::FromName("t1"), {100, 30'000, 0}}});
  const ScheduledRequest request = fixture.Request("small", 42, 100);
  CHECK(ReasonOf(scheduler.Place(kStart, request)) ==
        RejectionReason::kOverloaded);
  ScheduledRequest continuation = Continuation(request, "v1");
  CHECK(ChosenTarget(scheduler.Place(kStart, continuation)) != "");
  // The caller abandons the stream before the next event.
  continuation.waited_for_event = milliseconds(1800);
  CHECK(ReasonOf(scheduler.Place(kStart, continuation)) ==
        RejectionReason::kOverloaded);
  continuation.waited_for_event = Duration(0);
  continuation.remaining = milliseconds(300);
  CHECK(ReasonOf(scheduler.Place(kStart, continuation)) ==
        RejectionReason::kOverloaded);
}

TEST_CASE("A stream continues though its customer's share is used up") {
  Fixture fixture({"a"}, 10'000);
  Scheduler& scheduler = fixture.scheduler();
  SetVersion(scheduler, "t0", "v1");
  const ScheduledRequest request = fixture.Request("large", 42, 10);
  // The other customer's demand is not met at all.
  TimePoint now = kStart;
  Decision decision = scheduler.Place(now, request);
  for (int i = 0; i < 1000 && std::holds_alternative<Assignment>(decision);
       ++i) {
    scheduler.Finish(now, std::get<Assignment>(decision),
                     AttemptOutcome::kCompleted);
    now += milliseconds(10);
    scheduler.RecordRequest(now, request);
    scheduler.RecordRequest(now, fixture.Request("small", 42, 100'000));
    decision = scheduler.Place(now, request);
  }
  REQUIRE(ReasonOf(decision) == RejectionReason::kOverShare);
  CHECK(ChosenTarget(scheduler.Place(now, Continuation(request, "v1"))) ==
        "t0");
  // A caller that only claims to continue a stream keeps to the share.
  ScheduledRequest claimed = Continuation(request, "v1");
  claimed.was_admitted = false;
  CHECK(ReasonOf(scheduler.Place(now, claimed)) == RejectionReason::kOverShare);
}

TEST_CASE("A stream that continues keeps to the retry budget") {
  Fixture fixture({"a", "a"});
  Scheduler& scheduler = fixture.scheduler();
  SetVersion(scheduler, "t0", "v1");
  SetVersion(scheduler, "t1", "v1");
  ScheduledRequest retry = Continuation(fixture.Request("small", 42, 10), "v1");
  retry.tried_targets = {"t0"};
  Decision decision = scheduler.Place(kStart, retry);
  int placed = 0;
  for (; std::holds_alternative<Assignment>(decision) && placed < 1000;
       ++placed) {
    scheduler.Finish(kStart, std::get<Assignment>(decision),
                     AttemptOutcome::kCompleted);
    decision = scheduler.Place(kStart, retry);
  }
  // The slack of the budget in `WestOptions`.
  CHECK(placed <= 50);
  CHECK(ReasonOf(decision) == RejectionReason::kRetryBudget);
}

TEST_CASE("Requests find the few targets that have credit of a rate limit") {
  constexpr int kTargets = 40;
  Fixture fixture(std::vector<std::string>(kTargets, "a"));
  Scheduler& scheduler = fixture.scheduler();
  for (auto& [id, target] : scheduler.targets().targets()) {
    TargetTable::RecordRateLimit(kStart, target, 1.0);
  }
  const TimePoint now = kStart + seconds(1);
  int placed = 0;
  for (int i = 0; i < kTargets; ++i) {
    const Decision decision =
        scheduler.Place(now, fixture.Request("small", 42, 10));
    placed += std::holds_alternative<Assignment>(decision) ? 1 : 0;
  }
  CHECK(placed == kTargets);
}

TEST_CASE("A retry that the budget forbids uses no credit of a cold target") {
  Fixture fixture({"a", "a"});
  Scheduler& scheduler = fixture.scheduler();
  ScheduledRequest retry = fixture.Request("small", 42, 10);
  retry.tried_targets = {"t1"};
  Decision decision = scheduler.Place(kStart, retry);
  while (std::holds_alternative<Assignment>(decision)) {
    scheduler.Finish(kStart, std::get<Assignment>(decision),
                     AttemptOutcome::kCompleted);
    decision = scheduler.Place(kStart, retry);
  }
  TargetEntry cold = Fixture::Entry(0, "a");
  cold.cold_remaining = seconds(30);
  scheduler.targets().ApplyEntry(kStart, cold);
  TargetState& target = *scheduler.targets().Find("t0");
  target.cold_send_credit = 1.0;
  target.cold_credit_updated_at = kStart;
  REQUIRE(ReasonOf(scheduler.Place(kStart, retry)) ==
          RejectionReason::kRetryBudget);
  CHECK(target.cold_send_credit == 1.0);
}

TEST_CASE("A stream that continues keeps to a cold target's rate limit") {
  Fixture fixture({});
  Scheduler& scheduler = fixture.scheduler();
  TargetEntry cold = Fixture::Entry(0, "a");
  cold.version = "v1";
  cold.cold_remaining = seconds(30);
  scheduler.targets().ApplyEntry(kStart, cold);
  int sent = 0;
  for (int i = 0; i < 1000; ++i) {
    const TimePoint now = kStart + milliseconds(i);
    const Decision decision = scheduler.Place(
        now, Continuation(fixture.Request("small", 42, 10), "v1"));
    if (const auto* assignment = std::get_if<Assignment>(&decision)) {
      ++sent;
      scheduler.Finish(now, *assignment, AttemptOutcome::kCompleted);
    }
  }
  CHECK(sent > 0);
  CHECK(sent <= 20);
}

TEST_CASE("Scheduler rejects a request that crashed three targets") {
  Fixture fixture({"a", "b"});
  const ScheduledRequest request = fixture.Request("small", 42, 10);
  TimePoint now = kStart;
  for (std::uint64_t crash = 1; crash <= 3; ++crash) {
    now += milliseconds(200);
    fixture.scheduler().suspects().RecordCrash(now, crash, request.customer->id,
                                               request.traits);
    fixture.scheduler().suspects().ConfirmCrash(now, crash);
  }
  const Decision decision = fixture.scheduler().Place(now, request);
  REQUIRE(std::holds_alternative<Rejection>(decision));
  CHECK(std::get<Rejection>(decision).reason ==
        RejectionReason::kCrashesTargets);
}

// Outcomes of a simulation that applies open-loop load to engines which prefill
// one prompt at a time.
struct SimulationResult {
  int offered = 0;
  int on_time = 0;
  int late = 0;
  int rejected = 0;
  // Of requests that continue streams.
  int offered_to_continue = 0;
  int continued = 0;
  std::map<std::string, int> served_by_customer;
  std::map<std::string, int> offered_by_customer;
};

struct LoadSource {
  std::string customer;
  double requests_per_second = 0;
  // Set if the requests continue streams of this version.
  std::optional<VersionId> required_version = std::nullopt;
};

SimulationResult Simulate(const std::vector<LoadSource>& sources, int engines,
                          double duration_seconds, std::uint64_t seed,
                          const std::vector<std::string>& versions = {}) {
  INFO("seed ", seed);
  // An engine prefills 60 tokens per millisecond; the configured throughput is
  // lower.
  constexpr double kEngineSecondsPerToken = 1.0 / 60'000;
  Fixture fixture(
      std::vector<std::string>(static_cast<std::size_t>(engines), "a"),
      50'000.0 * engines);
  Scheduler& scheduler = fixture.scheduler();
  for (std::size_t i = 0; i < versions.size(); ++i) {
    SetVersion(scheduler, "t" + std::to_string(i), versions[i]);
  }
  std::mt19937_64 random(seed);
  struct Event {
    double at_seconds = 0;
    // Index of the load source that sends a request, or -1 if an assignment
    // ends.
    int source = -1;
    Assignment assignment;
    bool operator>(const Event& other) const {
      return at_seconds > other.at_seconds;
    }
  };
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
  std::vector<double> free_at_seconds(static_cast<std::size_t>(engines), 0.0);
  std::map<std::string, std::set<std::uint64_t>> cached_prefixes;
  SimulationResult result;
  for (std::size_t i = 0; i < sources.size(); ++i) {
    events.push({0.001 * static_cast<double>(i), static_cast<int>(i), {}});
  }
  while (!events.empty()) {
    Event event = events.top();
    events.pop();
    const TimePoint now =
        kStart + Duration(static_cast<std::int64_t>(event.at_seconds * 1e6));
    if (event.source < 0) {
      scheduler.RecordFirstEvent(now, event.assignment, ScheduledRequest());
      scheduler.Finish(now, event.assignment, AttemptOutcome::kCompleted);
      continue;
    }
    if (event.at_seconds > duration_seconds) {
      continue;
    }
    const LoadSource& source = sources[static_cast<std::size_t>(event.source)];
    std::exponential_distribution<double> gap(source.requests_per_second);
    events.push({event.at_seconds + gap(random), event.source, {}});
    const std::uint64_t prefix_id = 1 + random() % 30;
    ScheduledRequest request =
        fixture.Request(source.customer, prefix_id, 2000);
    request.required_version = source.required_version;
    request.was_admitted = source.required_version.has_value();
    scheduler.RecordRequest(now, request);
    ++result.offered;
    result.offered_to_continue += request.required_version ? 1 : 0;
    ++result.offered_by_customer[source.customer];
    const Decision decision = scheduler.Place(now, request);
    const auto* assignment = std::get_if<Assignment>(&decision);
    if (assignment == nullptr) {
      ++result.rejected;
      continue;
    }
    const auto engine =
        static_cast<std::size_t>(std::stoi(assignment->target_id.substr(1)));
    const double tokens =
        cached_prefixes[assignment->target_id].insert(prefix_id).second ? 6000
                                                                        : 2000;
    free_at_seconds[engine] =
        std::max(free_at_seconds[engine], event.at_seconds) +
        tokens * kEngineSecondsPerToken;
    const double first_event_seconds =
        free_at_seconds[engine] - event.at_seconds;
    // The latency goal of the fixture's route is 0.6 s.
    (first_event_seconds <= 0.6 ? result.on_time : result.late) += 1;
    ++result.served_by_customer[source.customer];
    result.continued += request.required_version ? 1 : 0;
    events.push({free_at_seconds[engine], -1, *assignment});
  }
  return result;
}

TEST_CASE("All requests are on time at half load") {
  const SimulationResult result = Simulate({{"small", 30}}, 4, 20, 1);
  CHECK(result.rejected == 0);
  CHECK(result.on_time >= 0.99 * result.offered);
}

TEST_CASE("Admitted requests are on time at twice the capacity") {
  const SimulationResult result =
      Simulate({{"small", 120}, {"large", 120}}, 4, 20, 2);
  CHECK(result.late <= 0.05 * (result.on_time + result.late));
  // The engines can prefill 120 such prompts per second.
  CHECK(result.on_time >= 0.75 * 120 * 20);
}

TEST_CASE("A flood of one customer does not take the share of a small one") {
  const SimulationResult result =
      Simulate({{"small", 15}, {"large", 400}, {"other", 60}}, 4, 20, 3);
  CHECK(result.served_by_customer.at("small") >=
        0.9 * result.offered_by_customer.at("small"));
  CHECK(result.served_by_customer.at("other") >=
        0.4 * result.served_by_customer.at("large"));
}

TEST_CASE("Streams continue at two targets while new ones load all targets") {
  for (const std::uint64_t seed : {4, 5, 6}) {
    for (const double new_per_second : {60.0, 180.0, 360.0}) {
      INFO("seed ", seed, ", new streams per second ", new_per_second);
      const SimulationResult result = Simulate(
          {{"large", new_per_second},
           {"small", 20},
           {"large", 40, VersionId::FromName("v1")}},
          8, 20, seed, {"v2", "v1", "v2", "v2", "v1", "v2", "v2", "v2"});
      const auto share = [](int served, int offered) {
        return static_cast<double>(served) / offered;
      };
      CHECK(share(result.continued, result.offered_to_continue) >=
            0.5 * share(result.on_time + result.late - result.continued,
                        result.offered - result.offered_to_continue));
    }
  }
}

}  // namespace
}  // namespace corianderpost
