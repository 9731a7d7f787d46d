#include "router/target_survey.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "platform/platform_deployment.h"
#include "platform/standin_wire.h"
#include "router/listener.h"

namespace corianderpost {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::seconds;

const CustomerId kCustomer = CustomerId::FromName("club");
const ServiceId kService = ServiceId::FromName("chat");
constexpr std::int64_t kIncarnation = 1780820869100;
constexpr PromptPart kPart = {0xabc, 100};
constexpr Duration kStep = milliseconds(25);

// Answers the questions of a survey.
class FakeTarget final : public CallerHandler {
 public:
  FakeTarget(asio::io_context& loop, const Clock& clock)
      : listener_(loop, "127.0.0.1:0", *this, clock) {}
  std::string address() const {
    return "127.0.0.1:" + std::to_string(listener_.port());
  }
  std::size_t CountRequests(const std::string& path) const {
    return static_cast<std::size_t>(
        std::count(requests.begin(), requests.end(), path));
  }

  // Paths of the requests.
  std::vector<std::string> requests;
  bool is_silent = false;
  TextReply runs = {200, "application/json",
                    platform::FormatStandinRuns(
                        kIncarnation, {{"runs", 3}, {"has not begun", 0}})};
  TextReply held_parts = {
      200, "application/json",
      platform::FormatStandinHeldParts({{kPart.id, kPart.tokens + 1}})};

  void OnRequest(const std::shared_ptr<CallerConnection>& caller,
                 ReceivedRequest request) override {
    requests.emplace_back(ToView(request.message.target()));
    if (is_silent) {
      return;
    }
    const bool asks_for_parts =
        requests.back() == platform::StandinHeldPartsPath();
    caller->Write(FormatTextReply(asks_for_parts ? held_parts : runs, false));
    caller->FinishResponse(false);
  }
  void OnCallerDisconnected(CallerConnection& caller) override {
    static_cast<void>(caller);
  }
  void OnOutputFlushed(CallerConnection& caller) override {
    static_cast<void>(caller);
  }
  const CallerLimits& Limits() const override { return limits_; }
  bool IsDraining() const override { return false; }
  void OnBadRequest(int status, const std::string& reason) override {
    FAIL("bad request ", status, ": ", reason);
  }

 private:
  CallerLimits limits_;
  Listener listener_;
};

// Peers that are listed, but get no messages.
class SilentPeers final : public StreamPeers {
 public:
  std::vector<RouterInfo> LiveRouters(TimePoint now) const override {
    static_cast<void>(now);
    return peers;
  }
  void SendMessage(const std::string& vm, const std::string& bytes) override {
    static_cast<void>(vm);
    static_cast<void>(bytes);
  }
  std::vector<RouterInfo> peers;
};

// A router that has started, and its targets.
class Fixture {
 public:
  Fixture()
      : pool_(loop_, clock_),
        fetcher_(pool_, deployment_.dialect()),
        directory_({"10.0.0.1", "a", "west", 250, Duration(0)}, clock_, peers,
                   metrics_, [] {}),
        survey_(fetcher_, deployment_, directory_, metrics_) {
    clock_.Advance(seconds(1000));
    SetRoute([](Route&) {});
  }

  // Adds a target of the service "chat" that is listed from now on.
  FakeTarget& AddTarget(const std::string& id, const std::string& version) {
    targets_.push_back(std::make_unique<FakeTarget>(loop_, clock_));
    TargetEntry entry;
    entry.id = id;
    entry.service = "chat";
    entry.zone = "a";
    entry.version = version;
    entry.address = targets_.back()->address();
    entry.incarnation = kIncarnation;
    List(entry);
    return *targets_.back();
  }
  void List(const TargetEntry& entry) {
    table_.ApplyEntry(clock_.Now(), entry);
  }
  // Configures one route that may be changed.
  void SetRoute(const std::function<void(Route&)>& change) {
    Route route;
    route.name = "r";
    route.host = "h";
    route.prefix = "/";
    route.kind = RequestKind::kStreaming;
    route.is_resumable = true;
    route.split = {{"other", 1.0}, {"chat", 1.0}};
    change(route);
    ConfigurationParts parts;
    parts.AddRoute(route);
    configuration_ = Configuration::Create(parts);
  }
  void Advance(Duration duration, bool surveys = true) {
    for (Duration elapsed{0}; elapsed < duration; elapsed += kStep) {
      clock_.Advance(kStep);
      const TimePoint now = clock_.Now();
      directory_.NoticeDelay(now);
      for (const auto& [id, target] : table_.targets()) {
        directory_.RecordTarget(now, target.entry);
      }
      directory_.ConfirmList(now, now);
      directory_.Tick(now);
      fetcher_.Tick(now);
      if (surveys) {
        survey_.Tick(now, *configuration_, table_);
      }
      loop_.run_for(milliseconds(1));
      loop_.restart();
    }
  }
  // Returns the origin of the stream that request `id` began with a prompt that
  // ends with `kPart`.
  StreamOrigin FindOrigin(const std::string& id) {
    StreamOrigin origin;
    StreamQuery query = StreamQuery::Of(kCustomer, id, {{1, 4000}, kPart});
    query.service = kService;
    query.max_age = seconds(30);
    directory_.FindOrigin(query, [&](const StreamOrigin& it) { origin = it; });
    Advance(seconds(1), false);
    return origin;
  }
  // Checks that this many questions ended with the verdict.
  void CheckVerdicts(const std::string& verdict, int count) const {
    const std::string line =
        "corianderpost_target_surveys_total{verdict=\"" + verdict + "\"} ";
    INFO(line, count);
    CHECK(metrics_.ToText().find(line + std::to_string(count) + "\n") !=
          std::string::npos);
  }
  bool IsAsker(const std::string& id) {
    return directory_.IsAsker(clock_.Now(), id);
  }
  std::string runs_path() const { return deployment_.target_runs_path(); }
  std::string held_path() const { return deployment_.held_parts_path(); }
  TargetEntry EntryOf(const std::string& id) { return table_.Find(id)->entry; }

  SilentPeers peers;

 private:
  asio::io_context loop_;
  ManualClock clock_;
  internal::Metrics metrics_;
  platform::PlatformDeployment deployment_;
  UpstreamPool pool_;
  Fetcher fetcher_;
  FleetStreamDirectory directory_;
  TargetTable table_;
  TargetSurvey survey_;
  std::shared_ptr<const Configuration> configuration_;
  std::vector<std::unique_ptr<FakeTarget>> targets_;
};

TEST_CASE("A target is asked for its runs and then for the parts it holds") {
  Fixture fixture;
  const FakeTarget& target = fixture.AddTarget("t1", "1.0");
  fixture.Advance(seconds(1));
  CHECK(target.requests ==
        std::vector<std::string>{fixture.runs_path(), fixture.held_path()});
  fixture.CheckVerdicts("answered", 1);
}

TEST_CASE("What a target reports names the version of its streams") {
  Fixture fixture;
  fixture.AddTarget("t1", "1.0");
  fixture.AddTarget("t2", "1.1").runs.body =
      platform::FormatStandinRuns(kIncarnation, {});
  fixture.Advance(seconds(1));
  StreamOrigin origin = fixture.FindOrigin("runs");
  CHECK(origin.evidence == OriginEvidence::kTargetRun);
  CHECK(origin.version == VersionId::FromName("1.0"));
  // Both versions hold the part.
  CHECK(fixture.FindOrigin("has ended").evidence == OriginEvidence::kConflict);
}

TEST_CASE("The parts that a target holds name the version of ended streams") {
  Fixture fixture;
  fixture.AddTarget("t1", "1.0").held_parts.body =
      platform::FormatStandinHeldParts({});
  fixture.AddTarget("t2", "1.1");
  fixture.Advance(seconds(1));
  for (const char* id : {"has ended", "has not begun"}) {
    const StreamOrigin origin = fixture.FindOrigin(id);
    CHECK(origin.evidence == OriginEvidence::kHeldPart);
    CHECK(origin.version == VersionId::FromName("1.1"));
  }
}

TEST_CASE("A target that answered is not asked again") {
  Fixture fixture;
  const FakeTarget& a = fixture.AddTarget("t1", "1.0");
  const FakeTarget& b = fixture.AddTarget("t2", "1.1");
  fixture.Advance(seconds(7));
  CHECK(a.requests.size() == 2);
  CHECK(b.requests.size() == 2);
}

TEST_CASE("A target that does not answer is asked four times") {
  Fixture fixture;
  FakeTarget& target = fixture.AddTarget("t1", "1.0");
  target.is_silent = true;
  fixture.Advance(seconds(7));
  CHECK(target.requests == std::vector<std::string>(4, fixture.runs_path()));
  fixture.CheckVerdicts("no_answer", 4);
}

TEST_CASE("A target has one open question at a time") {
  Fixture fixture;
  FakeTarget& target = fixture.AddTarget("t1", "1.0");
  target.is_silent = true;
  fixture.Advance(milliseconds(450));
  CHECK(target.requests.size() == 1);
}

TEST_CASE("A target that answers late in the survey is believed") {
  Fixture fixture;
  FakeTarget& target = fixture.AddTarget("t1", "1.0");
  fixture.AddTarget("t2", "1.1").held_parts.body =
      platform::FormatStandinHeldParts({});
  target.is_silent = true;
  fixture.Advance(milliseconds(1000));
  target.is_silent = false;
  fixture.Advance(seconds(1));
  CHECK(fixture.FindOrigin("has ended").version == VersionId::FromName("1.0"));
  fixture.CheckVerdicts("answered", 2);
}

TEST_CASE("A target that refuses to list its parts is asked four times") {
  Fixture fixture;
  FakeTarget& target = fixture.AddTarget("t1", "1.0");
  target.held_parts.status = 429;
  fixture.Advance(seconds(7));
  CHECK(target.CountRequests(fixture.runs_path()) == 4);
  CHECK(target.CountRequests(fixture.held_path()) == 4);
  fixture.CheckVerdicts("no_held_parts", 4);
  CHECK(fixture.FindOrigin("runs").evidence == OriginEvidence::kTargetRun);
}

TEST_CASE("Malformed answers of a target name no version") {
  for (const char* body : {"", "[]", "null", "{\"held\":{}}"}) {
    INFO("body ", body);
    Fixture fixture;
    FakeTarget& a = fixture.AddTarget("t1", "1.0");
    FakeTarget& b = fixture.AddTarget("t2", "1.1");
    a.runs.body = body;
    b.held_parts.body = body;
    fixture.Advance(seconds(7));
    CHECK(a.CountRequests(fixture.runs_path()) == 4);
    CHECK(a.CountRequests(fixture.held_path()) == 0);
    CHECK(b.CountRequests(fixture.held_path()) == 4);
    fixture.CheckVerdicts("malformed", 4);
    fixture.CheckVerdicts("malformed_held_parts", 4);
    CHECK(fixture.FindOrigin("has ended").evidence == OriginEvidence::kNone);
  }
}

TEST_CASE("A target that is listed late is asked") {
  Fixture fixture;
  const FakeTarget& early = fixture.AddTarget("t1", "1.0");
  fixture.Advance(milliseconds(4500));
  const FakeTarget& late = fixture.AddTarget("t2", "1.1");
  fixture.Advance(milliseconds(500));
  CHECK(late.requests.size() == 2);
  CHECK(early.requests.size() == 2);
}

TEST_CASE("A target that is listed after the survey is not asked") {
  Fixture fixture;
  fixture.AddTarget("t1", "1.0");
  fixture.Advance(milliseconds(5100));
  const FakeTarget& late = fixture.AddTarget("t2", "1.1");
  fixture.Advance(seconds(1));
  CHECK(late.requests.empty());
}

TEST_CASE("Nothing is taken from a target that started after its entry") {
  Fixture fixture;
  FakeTarget& target = fixture.AddTarget("t1", "1.0");
  fixture.AddTarget("t2", "1.1").is_silent = true;
  target.runs.body =
      platform::FormatStandinRuns(kIncarnation + 1, {{"runs", 3}});
  fixture.Advance(seconds(7));
  CHECK(target.CountRequests(fixture.runs_path()) == 4);
  CHECK(target.CountRequests(fixture.held_path()) == 0);
  fixture.CheckVerdicts("restarted", 4);
  CHECK(fixture.FindOrigin("runs").evidence == OriginEvidence::kNone);
}

TEST_CASE("A target is asked again once its entry names its new start") {
  Fixture fixture;
  FakeTarget& target = fixture.AddTarget("t1", "1.0");
  fixture.AddTarget("t2", "1.1").held_parts.body =
      platform::FormatStandinHeldParts({});
  target.runs.body = platform::FormatStandinRuns(kIncarnation + 1, {});
  fixture.Advance(seconds(2));
  REQUIRE(target.CountRequests(fixture.held_path()) == 0);
  TargetEntry entry = fixture.EntryOf("t1");
  entry.incarnation = kIncarnation + 1;
  entry.version = "1.2";
  fixture.List(entry);
  fixture.Advance(seconds(2));
  CHECK(target.CountRequests(fixture.held_path()) == 1);
  CHECK(fixture.FindOrigin("has ended").version == VersionId::FromName("1.2"));
}

TEST_CASE("An answer to a question of before a restart ends no later one") {
  Fixture fixture;
  FakeTarget& target = fixture.AddTarget("t1", "1.0");
  target.is_silent = true;
  fixture.Advance(milliseconds(300));
  REQUIRE(target.requests.size() == 1);
  TargetEntry entry = fixture.EntryOf("t1");
  entry.incarnation = kIncarnation + 1;
  fixture.List(entry);
  fixture.Advance(milliseconds(225));
  REQUIRE(target.requests.size() == 2);
  // The first question times out while the second one is open.
  fixture.Advance(milliseconds(250));
  CHECK(target.requests.size() == 2);
}

TEST_CASE("Nobody is asked while a router knows the past of one version") {
  Fixture fixture;
  const FakeTarget& target = fixture.AddTarget("t1", "1.0");
  fixture.Advance(seconds(10), false);
  fixture.Advance(seconds(7));
  CHECK(target.requests.empty());
}

TEST_CASE("Targets of streams that callers can't resume are not asked") {
  for (int i = 0; i < 3; ++i) {
    INFO("case ", i);
    Fixture fixture;
    const FakeTarget& target = fixture.AddTarget("t1", "1.0");
    fixture.SetRoute([i](Route& route) {
      if (i == 0) {
        route.is_resumable = false;
      } else if (i == 1) {
        route.kind = RequestKind::kIdempotent;
      } else {
        route.split = {{"other", 1.0}};
      }
    });
    fixture.Advance(seconds(7));
    CHECK(target.requests.empty());
  }
}

TEST_CASE("A router asks only the targets that it is selected for") {
  Fixture fixture;
  for (int i = 2; i <= 6; ++i) {
    fixture.peers.peers.push_back(
        {"10.0.0." + std::to_string(i), "a", "west", 250, Duration(0)});
  }
  std::vector<std::pair<std::string, const FakeTarget*>> targets;
  for (int i = 0; i < 12; ++i) {
    const std::string id = "t" + std::to_string(i);
    targets.emplace_back(id, &fixture.AddTarget(id, "1.0"));
  }
  fixture.Advance(seconds(1));
  std::size_t asked = 0;
  for (const auto& it : targets) {
    INFO("target ", it.first);
    const bool is_asked = !it.second->requests.empty();
    CHECK(is_asked == fixture.IsAsker(it.first));
    asked += is_asked ? 1 : 0;
  }
  CHECK(asked > 0);
  CHECK(asked < targets.size());
}

}  // namespace
}  // namespace corianderpost
