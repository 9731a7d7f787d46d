#include "router/listener.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <functional>

namespace corianderpost {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;

// Counts and answers requests.
class CountingHandler : public CallerHandler {
 public:
  void OnRequest(const std::shared_ptr<CallerConnection>& caller,
                 ReceivedRequest request) override {
    static_cast<void>(request);
    ++requests;
    caller->Write(FormatTextReply({200, "text/plain", "ok"}, false));
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
    static_cast<void>(status);
    static_cast<void>(reason);
  }
  int requests = 0;

 private:
  CallerLimits limits_;
};

// Issue 18: a burst of connections kept timers waiting for up to 5 s.
TEST_CASE("Timers run while many callers connect") {
  constexpr int kCallers = 300;
  // A tick that is 150 ms late counts as an overload of the router, and a
  // request may take 2 ms of processor time.
  constexpr int kMaxRequestsPerTurn = 150 / 2;
  asio::io_context loop;
  SystemClock clock;
  CountingHandler handler;
  Listener listener(loop, "127.0.0.1:0", handler, clock);
  std::vector<tcp::socket> callers;
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back(loop);
    callers.back().connect({asio::ip::address_v4::loopback(), listener.port()});
    asio::write(callers.back(),
                asio::buffer(std::string("GET / HTTP/1.1\r\nHost: h\r\n\r\n")));
  }
  // Runs once in each turn of the loop, as an expired timer does.
  int requests_before = 0;
  int max_requests_per_turn = 0;
  const std::function<void()> end_turn = [&] {
    max_requests_per_turn =
        std::max(max_requests_per_turn, handler.requests - requests_before);
    requests_before = handler.requests;
    if (handler.requests < kCallers) {
      asio::post(loop, end_turn);
    }
  };
  asio::post(loop, end_turn);
  const TimePoint end = clock.Now() + std::chrono::seconds(10);
  while (handler.requests < kCallers && clock.Now() < end) {
    loop.run_for(milliseconds(50));
    loop.restart();
  }
  CHECK(handler.requests == kCallers);
  CHECK(max_requests_per_turn <= kMaxRequestsPerTurn);
  CHECK(listener.TakeMaxAcceptsPerTurn() <= kMaxRequestsPerTurn);
}

TEST_CASE("Connections that wait to be accepted can be handled at once") {
  constexpr int kCallers = 100;
  asio::io_context loop;
  SystemClock clock;
  CountingHandler handler;
  Listener listener(loop, "127.0.0.1:0", handler, clock);
  std::vector<tcp::socket> callers;
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back(loop);
    callers.back().connect({asio::ip::address_v4::loopback(), listener.port()});
    asio::write(callers.back(),
                asio::buffer(std::string("GET / HTTP/1.1\r\nHost: h\r\n\r\n")));
  }
  listener.AcceptAll();
  CHECK(handler.requests == kCallers);
}

}  // namespace
}  // namespace corianderpost
