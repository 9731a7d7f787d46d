// Planned work on routers (stops with restarts, reloads, new versions of the
// configuration) beside callers that keep their connections.
#include <doctest/doctest.h>
#include <signal.h>

#include <array>
#include <boost/asio/write.hpp>
#include <cstdlib>
#include <set>

#include "dataplane/upstream.h"
#include "fleet/engine_fleet.h"
#include "fleet/kept_callers.h"

namespace corianderpost::soak {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kGrace{8};
// A request that is cut sooner after it was sent may have crossed the close.
constexpr Duration kLossSlack = milliseconds(200);
// Requests of `KeptCallers` are due after four seconds.
constexpr Duration kNearDeadline = milliseconds(3900);
// Until a new process has run any instruction of the router, signals have their
// default action.
constexpr Duration kFirstInstructionTime = milliseconds(100);
const std::vector<std::string> kCustomers = {"c0", "c1", "c2"};
const std::vector<std::string> kPaths = {"/once/", "/read/", "/stream/"};

std::set<std::string> ArrivedIds(EngineFleet& fleet) {
  std::set<std::string> ids;
  for (const auto& engine : fleet.engines()) {
    for (const Arrival& it : engine->arrivals()) {
      ids.insert(it.request_id);
    }
  }
  return ids;
}

// A connection on which the test writes what and when it wants.
class Connection {
 public:
  Connection(EngineFleet& fleet, std::size_t router) : socket_(fleet.loop()) {
    socket_.connect(*ParseEndpoint(fleet.routers()[router]->address()));
    Read();
  }
  void Write(const std::string& text) {
    asio::write(socket_, asio::buffer(text));
  }
  const std::string& input() const { return input_; }
  bool has_ended() const { return has_ended_; }
  // Number of complete chunked responses.
  int CompleteStreams() const {
    int n = 0;
    for (std::size_t pos = input_.find("\r\n0\r\n\r\n");
         pos != std::string::npos;
         pos = input_.find("\r\n0\r\n\r\n", pos + 1)) {
      ++n;
    }
    return n;
  }

 private:
  void Read() {
    socket_.async_read_some(
        asio::buffer(buffer_),
        [this](boost::system::error_code ec, std::size_t n) {
          if (ec == asio::error::operation_aborted) {
            return;
          }
          input_.append(buffer_.data(), n);
          has_ended_ = bool(ec);
          if (!ec) {
            Read();
          }
        });
  }
  tcp::socket socket_;
  std::array<char, 4096> buffer_{};
  std::string input_;
  bool has_ended_ = false;
};

std::string StreamRequest(const std::string& id) {
  platform::StandinRequest request = {
      "GET", "/stream/" + id,     "fleet.example", id, "c0", seconds(4), 500,
      20,    {{1, 300}, {2, 200}}};
  request.keeps_connection = true;
  return platform::FormatStandinRequest(request);
}

TEST_CASE("A stopping router answers a request that follows a stream") {
  EngineFleet fleet(191, 2, 2, kCustomers);
  for (const auto& it : fleet.routers()) {
    it->SetGracePeriod(kGrace);
  }
  fleet.Start();
  fleet.SetStreamShape({10, milliseconds(100)});
  Connection connection(fleet, 0);
  connection.Write(StreamRequest("first"));
  fleet.PlayFor(milliseconds(400));
  fleet.routers()[0]->Stop(fleet.Now());
  fleet.PlayFor(milliseconds(200));
  connection.Write(StreamRequest("second"));
  fleet.PlayFor(milliseconds(2500));
  CHECK(connection.CompleteStreams() == 2);
  CHECK(ArrivedIds(fleet).contains("second"));
}

// The head of a request with a body, which needs `body_bytes` more.
std::string UploadHead(const std::string& id, int body_bytes) {
  platform::StandinRequest request = {
      "POST", "/once/" + id, "fleet.example", id, "c0", seconds(4), 500, 20,
      {}};
  request.keeps_connection = true;
  std::string text = platform::FormatStandinRequest(request);
  text.insert(text.size() - 2,
              "Content-Length: " + std::to_string(body_bytes) + "\r\n");
  return text;
}

TEST_CASE("A stopping router waits for a request that is still arriving") {
  constexpr int kBodyBytes = 3000;
  EngineFleet fleet(193, 2, 2, kCustomers);
  for (const auto& it : fleet.routers()) {
    it->SetGracePeriod(kGrace);
  }
  fleet.Start();
  Connection connection(fleet, 0);
  const TimePoint stopped_at = fleet.Now();
  fleet.routers()[0]->Stop(stopped_at);
  fleet.PlayFor(milliseconds(2300));
  connection.Write(UploadHead("slow", kBodyBytes));
  for (int i = 0; i < 3; ++i) {
    fleet.PlayFor(milliseconds(400));
    REQUIRE_FALSE(connection.has_ended());
    connection.Write(std::string(kBodyBytes / 3, 'x'));
  }
  while (!fleet.routers()[0]->HasExited() &&
         fleet.Now() < stopped_at + kGrace) {
    fleet.PlayFor(milliseconds(50));
  }
  CHECK(connection.input().starts_with("HTTP/1.1 200"));
  CHECK(fleet.routers()[0]->HasExited());
}

// Stops and restarts routers, sends SIGHUP and publishes versions at random.
class PlannedWork {
 public:
  PlannedWork(EngineFleet& fleet, std::uint64_t seed)
      : fleet_(fleet),
        random_(seed),
        stops_(fleet.routers().size()),
        started_at_(fleet.routers().size()),
        is_stopping_(fleet.routers().size()) {}

  void operator()(TimePoint now) {
    for (std::size_t i = 0; i < stops_.size(); ++i) {
      RouterProcess& router = *fleet_.routers()[i];
      if (!is_stopping_[i]) {
        continue;
      }
      if (router.HasExited()) {
        late_exits_ += now > stops_[i].back() + kGrace ? 1 : 0;
        is_stopping_[i] = false;
        router.Start();
        started_at_[i] = now;
      }
    }
    if (now < next_at_) {
      return;
    }
    next_at_ = now + milliseconds(100 + random_() % 500);
    const std::size_t router = random_() % stops_.size();
    switch (random_() % 4) {
      case 0:
      case 1:
        if (std::count(is_stopping_.begin(), is_stopping_.end(), true) < 2 &&
            !is_stopping_[router]) {
          is_stopping_[router] = true;
          stops_[router].push_back(now);
          fleet_.routers()[router]->Stop(now);
        }
        break;
      case 2:
        if (now >= started_at_[router] + kFirstInstructionTime) {
          fleet_.routers()[router]->Signal(SIGHUP);
        }
        break;
      default:
        fleet_.PublishConfiguration(++version_, static_cast<int>(random_() % 3),
                                    {});
        break;
    }
  }

  // Whether the call was cut in the last sixth of the grace of a stop, and sent
  // soon enough for a target to still work on it then.
  bool IsCutInLastSixth(const KeptCall& call) const {
    for (const TimePoint it : stops_[call.router]) {
      if (call.sent_at <= it + seconds(3) &&
          call.ended_at >= it + Duration(kGrace) * 5 / 6 &&
          call.ended_at <= it + kGrace + seconds(1)) {
        return true;
      }
    }
    return false;
  }
  std::size_t StopCount() const {
    std::size_t n = 0;
    for (const auto& it : stops_) {
      n += it.size();
    }
    return n;
  }
  int late_exits() const { return late_exits_; }

 private:
  EngineFleet& fleet_;
  std::mt19937_64 random_;
  // By router.
  std::vector<std::vector<TimePoint>> stops_;
  std::vector<TimePoint> started_at_;
  std::vector<bool> is_stopping_;
  TimePoint next_at_;
  std::uint64_t version_ = 1;
  int late_exits_ = 0;
};

TEST_CASE("Planned work loses no request on a kept connection") {
  const char* given_seed = std::getenv("CORIANDERPOST_TEST_SEED");
  const std::uint64_t seed =
      given_seed == nullptr ? 1 : std::strtoull(given_seed, nullptr, 10);
  MESSAGE("seed ", seed);
  EngineFleet fleet(192, 6, 6, kCustomers);
  for (const auto& it : fleet.routers()) {
    it->SetGracePeriod(kGrace);
  }
  fleet.Start();
  fleet.SetStreamShape({9, milliseconds(30)});
  fleet.engines()[0]->stream = {47, milliseconds(60)};
  KeptCallers callers(fleet, kCustomers, kPaths, 150, Duration(0), seed);
  PlannedWork work(fleet, seed);
  fleet.Throttle(0.25);
  fleet.PlayFor(seconds(20), [&](TimePoint now) {
    work(now);
    callers(now);
  });
  fleet.Throttle(1);
  callers.Stop();
  fleet.PlayFor(seconds(5), [&](TimePoint now) { static_cast<void>(now); });
  const std::set<std::string> arrived = ArrivedIds(fleet);
  int complete = 0;
  int served = 0;
  int crossed = 0;
  int lost = 0;
  for (const auto& it : callers.calls()) {
    const Duration took = it->ended_at - it->sent_at;
    complete += it->is_complete ? 1 : 0;
    served += it->is_complete && it->status == 200 ? 1 : 0;
    if (!it->was_cut || took >= kNearDeadline || work.IsCutInLastSixth(*it)) {
      continue;
    }
    const bool was_passed_on = arrived.contains(it->request_id);
    if (!was_passed_on && took <= kLossSlack) {
      ++crossed;
      continue;
    }
    ++lost;
    MESSAGE("lost: ", it->request_id, " at router ", it->router, ", path ",
            it->path, ", status ", it->status, ", passed on ", was_passed_on,
            ", after ", took.count() / 1000, " ms");
  }
  MESSAGE("calls ", callers.calls().size(), ", complete ", complete,
          ", served ", served, ", crossed ", crossed, ", stops ",
          work.StopCount());
  CHECK(lost == 0);
  CHECK(served > 300);
  CHECK(work.StopCount() > 4);
  CHECK(work.late_exits() == 0);
  for (const auto& router : fleet.routers()) {
    for (const ProcessEnd& end : router->ends()) {
      CHECK_MESSAGE(!end.is_failure(), ToString(end));
    }
  }
}

}  // namespace
}  // namespace corianderpost::soak
