#include "router/listener.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <functional>

namespace corianderpost {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;

// Takes processor time for each request and answers it.
class BusyHandler : public CallerHandler {
 public:
  explicit BusyHandler(const Clock& clock) : clock_(clock) {}
  void OnRequest(const std::shared_ptr<CallerConnection>& caller,
                 ReceivedRequest request) override {
    static_cast<void>(request);
    const TimePoint end = clock_.Now() + milliseconds(2);
    while (clock_.Now() < end) {
    }
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
  const Clock& clock_;
  CallerLimits limits_;
};

// Issue 18: a burst of connections kept timers waiting for up to 5 s.
TEST_CASE("Timers run while many callers connect") {
  constexpr int kCallers = 300;
  constexpr auto kInterval = milliseconds(25);
  asio::io_context loop;
  SystemClock clock;
  BusyHandler handler(clock);
  Listener listener(loop, "127.0.0.1:0", handler, clock);
  std::vector<tcp::socket> callers;
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back(loop);
    callers.back().connect({asio::ip::address_v4::loopback(), listener.port()});
    asio::write(callers.back(),
                asio::buffer(std::string("GET / HTTP/1.1\r\nHost: h\r\n\r\n")));
  }
  asio::steady_timer timer(loop);
  TimePoint due;
  Duration max_lag{0};
  const std::function<void()> wait = [&] {
    due = clock.Now() + kInterval;
    timer.expires_after(kInterval);
    timer.async_wait([&](boost::system::error_code ec) {
      if (!ec) {
        max_lag = std::max(max_lag, clock.Now() - due);
        wait();
      }
    });
  };
  wait();
  const TimePoint end = clock.Now() + std::chrono::seconds(10);
  while (handler.requests < kCallers && clock.Now() < end) {
    loop.run_for(milliseconds(50));
    loop.restart();
  }
  loop.run_for(2 * kInterval);
  CHECK(handler.requests == kCallers);
  // A tick that is later counts as an overload of the router.
  CHECK(max_lag < milliseconds(150));
}

}  // namespace
}  // namespace corianderpost
