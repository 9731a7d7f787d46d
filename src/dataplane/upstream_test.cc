#include "dataplane/upstream.h"

#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <optional>

#include "platform/decode.h"
#include "router/listener.h"

namespace corianderpost {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
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

// Records the events of one request.
class RecordingListener final : public UpstreamListener {
 public:
  void OnSendStarted() override {}
  void OnHead(const HttpResponseHeader& head) override {
    status = static_cast<int>(head.result_int());
  }
  void OnBody(std::string_view data) override { body.append(data); }
  void OnDone(bool is_framed) override {
    static_cast<void>(is_framed);
    is_complete = true;
  }
  void OnFailed(UpstreamFailure cause) override { failure = cause; }
  bool has_ended() const { return is_complete || failure.has_value(); }
  int status = 0;
  std::string body;
  bool is_complete = false;
  std::optional<UpstreamFailure> failure;
};

// A target whose connections the test reads, writes and closes itself.
class RawTarget {
 public:
  explicit RawTarget(asio::io_context& loop)
      : acceptor_(loop, {asio::ip::address_v4::loopback(), 0}), loop_(loop) {}
  std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }
  tcp::socket Accept() { return acceptor_.accept(); }
  // Runs the loop until `condition` holds or two seconds have passed.
  bool RunUntil(const std::function<bool()>& condition) {
    for (int i = 0; i < 400 && !condition(); ++i) {
      loop_.run_for(milliseconds(5));
      loop_.restart();
    }
    return condition();
  }

 private:
  tcp::acceptor acceptor_;
  asio::io_context& loop_;
};

void Reset(tcp::socket& socket) {
  socket.set_option(tcp::socket::linger(true, 0));
  socket.close();
}

// An upload that its target doesn't read, so that it can't be written wholly.
class UnreadUpload {
 public:
  UnreadUpload()
      : connection_(pool_.Acquire(target_.address(), false)),
        socket_(Start()) {}

  // Lets the target send `text`.
  void Respond(const std::string& text) {
    asio::write(socket_, asio::buffer(text));
  }
  bool RunUntil(const std::function<bool()>& condition) {
    return target_.RunUntil(condition);
  }
  tcp::socket& socket() { return socket_; }
  const RecordingListener& listener() const { return listener_; }

 private:
  tcp::socket Start() {
    auto body =
        std::make_shared<const std::string>(std::size_t{32} * 1024 * 1024, 'x');
    connection_->Send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                          std::to_string(body->size()) + "\r\n\r\n",
                      body, false, "", dialect_, &listener_);
    loop_.run_for(milliseconds(50));
    loop_.restart();
    return target_.Accept();
  }
  asio::io_context loop_;
  ManualClock clock_;
  RawTarget target_{loop_};
  UpstreamPool pool_{loop_, clock_};
  platform::PlatformDialect dialect_;
  RecordingListener listener_;
  std::shared_ptr<UpstreamConnection> connection_;
  tcp::socket socket_;
};

const std::string kUnframedHead = "HTTP/1.1 200 OK\r\n\r\n";

// Guards against the error of the reset being lost to the failed write.
TEST_CASE("A reset during an upload doesn't complete a response") {
  UnreadUpload upload;
  upload.Respond(kUnframedHead + "part");
  SUBCASE("that was read before") {
    REQUIRE(upload.RunUntil([&] { return upload.listener().body == "part"; }));
  }
  SUBCASE("that was not read before") {}
  Reset(upload.socket());
  CHECK(upload.RunUntil([&] { return upload.listener().has_ended(); }));
  CHECK_FALSE(upload.listener().is_complete);
  CHECK(upload.listener().failure == UpstreamFailure::kBroken);
}

TEST_CASE("A response that ends during an upload is complete") {
  UnreadUpload upload;
  upload.Respond(kUnframedHead + "whole");
  SUBCASE("if it was read before a reset") {
    REQUIRE(upload.RunUntil([&] { return upload.listener().body == "whole"; }));
    upload.socket().shutdown(tcp::socket::shutdown_send);
    Reset(upload.socket());
  }
  SUBCASE("if it was not read before a reset") {
    upload.Respond(std::string(100'000, 'y'));
    upload.socket().shutdown(tcp::socket::shutdown_send);
    Reset(upload.socket());
  }
  SUBCASE("if no reset follows") {
    upload.socket().shutdown(tcp::socket::shutdown_send);
  }
  CHECK(upload.RunUntil([&] { return upload.listener().has_ended(); }));
  CHECK(upload.listener().is_complete);
  CHECK(upload.listener().body.starts_with("whole"));
}

// Sends GET requests, or HEAD requests, on kept connections of one target.
class KeptConnection {
 public:
  // Sends a request. A request without an id accepts any response.
  void Send(const std::string& request_id, bool is_head_request = false) {
    listener = RecordingListener();
    connection_ = pool.Acquire(target_.address(), true);
    connection_->Send((is_head_request ? "HEAD" : "GET") +
                          std::string(" / HTTP/1.1\r\nHost: h\r\n\r\n"),
                      std::make_shared<const std::string>(), is_head_request,
                      request_id, dialect_, &listener);
  }
  // Lets the target accept the next connection.
  void Accept() {
    RunFor(milliseconds(20));
    socket_.emplace(target_.Accept());
  }
  void Respond(const std::string& text) {
    asio::write(*socket_, asio::buffer(text));
  }
  bool AwaitEnd() {
    return target_.RunUntil([this] { return listener.has_ended(); });
  }
  void RunFor(Duration duration) {
    loop_.run_for(duration);
    loop_.restart();
  }
  void SetPaused(bool is_paused) { connection_->SetPaused(is_paused); }

 private:
  asio::io_context loop_;
  ManualClock clock_;
  RawTarget target_{loop_};
  platform::PlatformDialect dialect_;
  std::shared_ptr<UpstreamConnection> connection_;
  std::optional<tcp::socket> socket_;

 public:
  UpstreamPool pool{loop_, clock_};
  RecordingListener listener;
};

std::string ResponseTo(const std::string& request_id, const std::string& body) {
  return "HTTP/1.1 200 OK\r\n" +
         (request_id.empty()
              ? std::string()
              : "Corianderpost-Request-Id: " + request_id + "\r\n") +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Guards against bytes that were not read before the next request was sent.
TEST_CASE("Bytes after a response don't answer the next request") {
  KeptConnection kept;
  kept.Send("");
  kept.Accept();
  SUBCASE("that arrive while the connection is idle") {
    kept.Respond(ResponseTo("", "first"));
    REQUIRE(kept.AwaitEnd());
    kept.Respond(ResponseTo("", "extra"));
  }
  SUBCASE("that arrive while the connection is paused") {
    kept.SetPaused(true);
    kept.Respond(ResponseTo("", "first"));
    REQUIRE(kept.AwaitEnd());
    kept.Respond(ResponseTo("", "extra"));
    kept.RunFor(milliseconds(20));
  }
  kept.Send("");
  kept.RunFor(milliseconds(20));
  CHECK(kept.listener.body.empty());
  REQUIRE(kept.pool.connect_count() == 2);
  kept.Accept();
  kept.Respond(ResponseTo("", "second"));
  REQUIRE(kept.AwaitEnd());
  CHECK(kept.listener.body == "second");
}

// Guards against the body of a late response that is read as a response.
TEST_CASE("A late response with a body doesn't answer a HEAD request") {
  KeptConnection kept;
  kept.Send("r1");
  kept.Accept();
  kept.Respond(ResponseTo("r1", "first"));
  REQUIRE(kept.AwaitEnd());
  kept.Send("r2", true);
  kept.Respond(ResponseTo("r1", ResponseTo("r2", "")));
  REQUIRE(kept.AwaitEnd());
  CHECK(kept.listener.failure == UpstreamFailure::kBroken);
}

// Guards against a late response whose announced length covers the next one.
TEST_CASE("A connection that carried a HEAD request is not used again") {
  KeptConnection kept;
  kept.Send("r1", true);
  kept.Accept();
  kept.Respond(
      "HTTP/1.1 200 OK\r\nCorianderpost-Request-Id: r1\r\n"
      "Content-Length: 5\r\n\r\n");
  REQUIRE(kept.AwaitEnd());
  CHECK(kept.listener.is_complete);
  kept.Send("r2");
  CHECK(kept.pool.connect_count() == 2);
}

// Guards against a body that arrives after the next request was sent.
TEST_CASE("A connection is not used again after a 204 that announces a body") {
  for (const std::string framing :
       {"Content-Length: 5\r\n", "Transfer-Encoding: chunked\r\n"}) {
    INFO(framing);
    KeptConnection kept;
    kept.Send("r1");
    kept.Accept();
    kept.Respond("HTTP/1.1 204 No Content\r\nCorianderpost-Request-Id: r1\r\n" +
                 framing + "\r\n");
    REQUIRE(kept.AwaitEnd());
    CHECK(kept.listener.is_complete);
    kept.Send("r2");
    CHECK(kept.pool.connect_count() == 2);
  }
}

}  // namespace
}  // namespace corianderpost
