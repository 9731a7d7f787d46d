#include "dataplane/upstream.h"

#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>

#include "platform/decode.h"
#include "router/listener.h"

namespace corianderpost {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

// Answers all requests.
class FakeTarget final : public CallerHandler {
 public:
  FakeTarget(asio::io_context& loop, const Clock& clock)
      : listener_(loop, "127.0.0.1:0", *this, clock) {}
  std::string address() const {
    return "127.0.0.1:" + std::to_string(listener_.port());
  }
  void OnRequest(const std::shared_ptr<CallerConnection>& caller,
                 ReceivedRequest request) override {
    static_cast<void>(request);
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
    FAIL("bad request ", status, ": ", reason);
  }

 private:
  CallerLimits limits_;
  Listener listener_;
};

// Pauses its connection when the body arrives, as for a slow caller.
class PausingListener final : public UpstreamListener {
 public:
  void OnSendStarted() override {}
  void OnHead(const HttpResponseHeader& head) override {
    static_cast<void>(head);
  }
  void OnBody(std::string_view data) override {
    static_cast<void>(data);
    connection->SetPaused(true);
  }
  void OnDone(bool is_framed) override {
    static_cast<void>(is_framed);
    ++completed;
  }
  void OnFailed(UpstreamFailure failure) override {
    static_cast<void>(failure);
  }
  std::shared_ptr<UpstreamConnection> connection;
  int completed = 0;
};

// The next response on a connection that was kept while paused was never read.
TEST_CASE("A connection that was paused at its last response is read again") {
  asio::io_context loop;
  const ManualClock clock;
  FakeTarget target(loop, clock);
  UpstreamPool pool(loop, clock);
  const platform::PlatformDialect dialect;
  PausingListener listener;
  for (int i = 1; i <= 2; ++i) {
    listener.connection = pool.Acquire(target.address(), true);
    listener.connection->Send("GET / HTTP/1.1\r\nHost: h\r\n\r\n",
                              std::make_shared<const std::string>(), false, "",
                              dialect, &listener);
    loop.run_for(milliseconds(100));
    loop.restart();
    CHECK(listener.completed == i);
    CHECK(pool.connect_count() == 1);
  }
}

}  // namespace
}  // namespace corianderpost
