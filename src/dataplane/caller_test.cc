#include "dataplane/caller.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <string>
#include <vector>

#include "router/listener.h"

namespace corianderpost {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;
using std::chrono::seconds;

struct RecordedClose {
  CloseReason reason = CloseReason::kCallerClosed;
  RequestStage stage = RequestStage::kUnread;
  std::string request_id;
  bool has_header = false;
  friend bool operator==(const RecordedClose&, const RecordedClose&) = default;
};

// Callers' connections with a clock of the test's own. Requests are answered
// with `body` unless `answers` is false.
class Fixture : public CallerHandler {
 public:
  Fixture() : listener_(loop_, "127.0.0.1:0", *this, clock_) {}

  tcp::socket Connect() {
    tcp::socket socket(loop_);
    socket.connect({asio::ip::address_v4::loopback(), listener_.port()});
    socket.non_blocking(true);
    RunLoop();
    return socket;
  }
  void RunLoop() {
    loop_.run_for(milliseconds(20));
    loop_.restart();
  }
  // Lets the time pass without a turn of the event loop.
  void TickAfter(Duration duration) {
    clock_.Advance(duration);
    listener_.Tick(clock_.Now());
  }
  // Reads until nothing more arrives or the router has closed the connection.
  std::string ReadAll(tcp::socket& socket) {
    std::string text;
    std::array<char, 65536> buf{};
    for (int idle_turns = 0; idle_turns < 5;) {
      boost::system::error_code ec;
      const std::size_t n = socket.read_some(asio::buffer(buf), ec);
      text.append(buf.data(), n);
      if (ec && ec != asio::error::would_block) {
        has_ended = true;
        break;
      }
      idle_turns = n > 0 ? 0 : idle_turns + 1;
      RunLoop();
    }
    return text;
  }

  void OnRequest(const std::shared_ptr<CallerConnection>& caller,
                 ReceivedRequest request) override {
    requests.push_back(std::string(request.message.target()));
    bodies.push_back(request.message.body());
    last_caller = caller;
    caller->SetRequestId(requests.back());
    if (answers) {
      caller->Write(FormatTextReply({200, "text/plain", body}, closes));
      caller->FinishResponse(closes);
    }
  }
  void OnCallerDisconnected(CallerConnection& caller) override {
    static_cast<void>(caller);
  }
  void OnOutputFlushed(CallerConnection& caller) override {
    static_cast<void>(caller);
  }
  const CallerLimits& Limits() const override { return limits; }
  bool IsDraining() const override { return false; }
  void OnBadRequest(int status, const std::string& reason) override {
    static_cast<void>(reason);
    bad_statuses.push_back(status);
  }
  void OnUnansweredClose(const UnansweredClose& close) override {
    unanswered.push_back({close.reason, close.stage,
                          std::string(close.request_id),
                          close.header != nullptr});
  }

  Listener& listener() { return listener_; }

  CallerLimits limits;
  std::string body = "ok";
  bool answers = true;
  bool closes = false;
  // Whether the last `ReadAll` saw the end of the connection.
  bool has_ended = false;
  std::vector<std::string> requests;
  std::vector<std::string> bodies;
  std::vector<int> bad_statuses;
  std::vector<RecordedClose> unanswered;
  std::shared_ptr<CallerConnection> last_caller;

 private:
  asio::io_context loop_;
  ManualClock clock_;
  Listener listener_;
};

std::string Request(const std::string& target, const std::string& rest = "") {
  return "GET " + target + " HTTP/1.1\r\nHost: h\r\n" + rest + "\r\n";
}

void Send(tcp::socket& socket, const std::string& text) {
  socket.non_blocking(false);
  asio::write(socket, asio::buffer(text));
  socket.non_blocking(true);
}

TEST_CASE("A caller that leaves during a response is reported as such") {
  Fixture fixture;
  fixture.answers = false;
  {
    tcp::socket caller = fixture.Connect();
    Send(caller, Request("/1"));
    fixture.RunLoop();
  }
  fixture.RunLoop();
  CHECK(fixture.unanswered ==
        std::vector<RecordedClose>{
            {CloseReason::kCallerClosed, RequestStage::kResponding, "/1"}});
}

TEST_CASE("A response that is cut is reported with its request's id") {
  Fixture fixture;
  fixture.answers = false;
  tcp::socket caller = fixture.Connect();
  Send(caller, Request("/1"));
  fixture.RunLoop();
  fixture.last_caller->Abort(CloseReason::kDeadline);
  CHECK(fixture.unanswered ==
        std::vector<RecordedClose>{
            {CloseReason::kDeadline, RequestStage::kResponding, "/1"}});
}

TEST_CASE("A request that is half read at the exit is reported") {
  Fixture fixture;
  tcp::socket caller = fixture.Connect();
  Send(caller, Request("/1", "Content-Length: 5\r\n") + "abc");
  fixture.RunLoop();
  fixture.listener().CloseForExit();
  CHECK(fixture.unanswered ==
        std::vector<RecordedClose>{
            {CloseReason::kExit, RequestStage::kReading, "", true}});
}

TEST_CASE("The end of an idle connection is not reported") {
  Fixture fixture;
  tcp::socket caller = fixture.Connect();
  Send(caller, Request("/1"));
  fixture.ReadAll(caller);
  fixture.TickAfter(fixture.limits.idle_timeout);
  fixture.ReadAll(caller);
  CHECK(fixture.has_ended);
  CHECK(fixture.unanswered.empty());
}

}  // namespace
}  // namespace corianderpost
