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

// Callers' connections with a clock of the test's own. Requests are answered
// with `body` unless `answers` is false.
class Fixture : public CallerHandler {
 public:
  Fixture() : listener_(loop_, "127.0.0.1:0", *this, clock_) {}
  // A connection's socket must not outlive the event loop.
  ~Fixture() override { last_caller.reset(); }
  Fixture(const Fixture&) = delete;
  Fixture& operator=(const Fixture&) = delete;

  tcp::socket Connect() {
    tcp::socket socket(loop_);
    socket.connect({asio::ip::address_v4::loopback(), listener_.port()});
    socket.non_blocking(true);
    RunLoop();
    return socket;
  }
  // Returns the number of handlers that ran.
  std::size_t RunLoop() {
    const std::size_t handlers = loop_.run_for(milliseconds(20));
    loop_.restart();
    return handlers;
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
    const std::string id(request.message.target());
    requests += id;
    last_body = request.message.body();
    bodies += last_body + ",";
    last_caller = caller;
    caller->SetRequestId(id);
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
  MemoryBudget* Memory() override { return &memory; }
  void OnBadRequest(int status, const std::string& reason) override {
    static_cast<void>(status);
    static_cast<void>(reason);
    ++bad_requests;
  }
  void OnUnansweredClose(const UnansweredClose& close) override {
    unanswered += std::string(ToString(close.reason)) + " " +
                  std::string(ToString(close.stage)) + " " +
                  std::string(close.request_id) +
                  (close.header != nullptr ? "header" : "") + ";";
  }

  Listener& listener() { return listener_; }

  CallerLimits limits;
  MemoryBudget memory{std::size_t{64} << 20};
  std::string body = "ok";
  bool answers = true;
  bool closes = false;
  // Whether the last `ReadAll` saw the end of the connection.
  bool has_ended = false;
  // Paths of all requests.
  std::string requests;
  std::string last_body;
  // Bodies of all requests, each followed by a comma.
  std::string bodies;
  int bad_requests = 0;
  // Reason, stage and request id of each close, or "header" if only the header
  // was read.
  std::string unanswered;
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
  CHECK(fixture.unanswered == "caller_closed responding /1;");
}

TEST_CASE("A response that is cut is reported with its request's id") {
  Fixture fixture;
  fixture.answers = false;
  tcp::socket caller = fixture.Connect();
  Send(caller, Request("/1"));
  fixture.RunLoop();
  fixture.last_caller->Abort(CloseReason::kDeadline);
  CHECK(fixture.unanswered == "deadline responding /1;");
}

TEST_CASE("A request that is half read at the exit is reported") {
  Fixture fixture;
  tcp::socket caller = fixture.Connect();
  Send(caller, Request("/1", "Content-Length: 5\r\n") + "abc");
  fixture.RunLoop();
  fixture.listener().CloseForExit();
  CHECK(fixture.unanswered == "exit reading header;");
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

TEST_CASE("A request that a closing response leaves unanswered is reported") {
  Fixture fixture;
  fixture.closes = true;
  tcp::socket caller = fixture.Connect();
  Send(caller, Request("/1") + Request("/2"));
  fixture.RunLoop();
  fixture.TickAfter(seconds(2));
  CHECK(fixture.requests == "/1");
  CHECK(fixture.unanswered == "linger_timeout unread ;");
}

TEST_CASE("Input after a request that asks to close is not reported") {
  Fixture fixture;
  fixture.closes = true;
  tcp::socket caller = fixture.Connect();
  Send(caller, Request("/1", "Connection: close\r\n") + "more");
  fixture.RunLoop();
  fixture.TickAfter(seconds(2));
  CHECK(fixture.unanswered.empty());
}

TEST_CASE("A request that has not arrived before the exit is rejected") {
  Fixture fixture;
  tcp::socket caller = fixture.Connect();
  Send(caller, Request("/1", "Content-Length: 10\r\n") + "abc");
  fixture.RunLoop();
  CHECK(fixture.listener().HasOpenRequests());
  fixture.listener().RejectUnfinished("stopping");
  CHECK(fixture.ReadAll(caller).starts_with("HTTP/1.1 503"));
  CHECK(fixture.requests.empty());
}

TEST_CASE("Only a connection without a request counts as done") {
  Fixture fixture;
  tcp::socket caller = fixture.Connect();
  CHECK_FALSE(fixture.listener().HasOpenRequests());
  Send(caller, Request("/1"));
  CHECK(fixture.listener().HasOpenRequests());
  fixture.RunLoop();
  CHECK(fixture.requests == "/1");
  CHECK_FALSE(fixture.listener().HasOpenRequests());
}

TEST_CASE("A shorter idle timeout applies from the next response on") {
  Fixture fixture;
  fixture.limits.idle_timeout = seconds(10);
  tcp::socket caller = fixture.Connect();
  Send(caller, Request("/1"));
  fixture.ReadAll(caller);
  fixture.limits.idle_timeout = seconds(1);
  fixture.TickAfter(seconds(9));
  fixture.ReadAll(caller);
  REQUIRE_FALSE(fixture.has_ended);
  Send(caller, Request("/2"));
  CHECK(fixture.ReadAll(caller).starts_with("HTTP/1.1 200"));
  fixture.TickAfter(seconds(1));
  fixture.ReadAll(caller);
  CHECK(fixture.has_ended);
}

TEST_CASE("A longer idle timeout applies to idle connections") {
  Fixture fixture;
  fixture.limits.idle_timeout = seconds(1);
  tcp::socket caller = fixture.Connect();
  Send(caller, Request("/1"));
  fixture.ReadAll(caller);
  fixture.limits.idle_timeout = seconds(10);
  fixture.TickAfter(milliseconds(100));
  fixture.limits.idle_timeout = seconds(1);
  fixture.TickAfter(seconds(9));
  fixture.ReadAll(caller);
  CHECK_FALSE(fixture.has_ended);
}

TEST_CASE("A shorter header timeout spares a request that is being read") {
  Fixture fixture;
  fixture.limits.header_timeout = seconds(3);
  tcp::socket caller = fixture.Connect();
  Send(caller, "GET /1 HTTP/1.1\r\n");
  fixture.RunLoop();
  fixture.limits.header_timeout = milliseconds(500);
  fixture.TickAfter(seconds(2));
  Send(caller, "Host: h\r\n\r\n");
  CHECK(fixture.ReadAll(caller).starts_with("HTTP/1.1 200"));
  CHECK(fixture.bad_requests == 0);
}

TEST_CASE("A request that waits to be read keeps an idle connection open") {
  Fixture fixture;
  tcp::socket caller = fixture.Connect();
  Send(caller, Request("/1"));
  fixture.ReadAll(caller);
  Send(caller, Request("/2"));
  SUBCASE("at the idle timeout") {
    fixture.TickAfter(fixture.limits.idle_timeout);
  }
  SUBCASE("in a drain") { fixture.listener().CloseIdle(); }
  CHECK(fixture.ReadAll(caller).starts_with("HTTP/1.1 200"));
  CHECK(fixture.requests == "/1/2");
}

TEST_CASE("A pipelined request that exceeds the buffer is read completely") {
  Fixture fixture;
  fixture.answers = false;
  tcp::socket caller = fixture.Connect();
  const std::string large_body(300'000, 'x');
  Send(caller, Request("/1") + Request("/2", "Content-Length: 300000\r\n") +
                   large_body);
  fixture.RunLoop();
  fixture.answers = true;
  fixture.last_caller->Write(FormatTextReply({200, "text/plain", "ok"}, false));
  fixture.last_caller->FinishResponse(false);
  fixture.ReadAll(caller);
  REQUIRE(fixture.requests == "/1/2");
  CHECK(fixture.last_body.size() == large_body.size());
}

// Guards against request smuggling: the body of a request whose length the
// router can't determine ran as a request of its own.
TEST_CASE("The body of a request with an unusable transfer coding never runs") {
  struct Variant {
    std::string description;
    std::string headers;
    std::string status;
  };
  const Variant variants[] = {
      {"identity", "Transfer-Encoding: identity\r\n", "400"},
      {"gzip", "Transfer-Encoding: gzip\r\n", "400"},
      {"empty", "Transfer-Encoding:\r\n", "400"},
      {"quoted", "Transfer-Encoding: \"chunked\"\r\n", "400"},
      {"chunked first", "Transfer-Encoding: chunked, identity\r\n", "400"},
      {"chunked twice", "Transfer-Encoding: chunked, chunked\r\n", "400"},
      {"parameter", "Transfer-Encoding: chunked;q=1\r\n", "400"},
      {"two headers",
       "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n", "400"},
      {"length before", "Content-Length: 0\r\nTransfer-Encoding: identity\r\n",
       "400"},
      {"length after", "Transfer-Encoding: identity\r\nContent-Length: 0\r\n",
       "400"},
      {"gzip, chunked", "Transfer-Encoding: gzip, chunked\r\n", "501"}};
  for (const Variant& it : variants) {
    CAPTURE(it.description);
    Fixture fixture;
    tcp::socket caller = fixture.Connect();
    Send(caller, Request("/outer", it.headers) + Request("/inner"));
    const std::string response = fixture.ReadAll(caller);
    CHECK(response.substr(0, 12) == "HTTP/1.1 " + it.status);
    CHECK(fixture.requests == "");
    CHECK(fixture.has_ended);
    CHECK(fixture.bad_requests == 1);
  }
}

TEST_CASE("A chunked request is read with its body") {
  Fixture fixture;
  tcp::socket caller = fixture.Connect();
  SUBCASE("in lower case") {
    Send(caller, Request("/1", "transfer-encoding: chunked\r\n"));
  }
  SUBCASE("in upper case") {
    Send(caller, Request("/1", "TRANSFER-ENCODING:  CHUNKED \r\n"));
  }
  fixture.RunLoop();
  Send(caller, "3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n" + Request("/2"));
  fixture.ReadAll(caller);
  CHECK(fixture.requests == "/1/2");
  CHECK(fixture.bodies == "abcde,,");
}

// HTTP/1.0 has no transfer codings, so recipients may disagree on the length.
TEST_CASE("An HTTP/1.0 request with a transfer coding is refused") {
  Fixture fixture;
  tcp::socket caller = fixture.Connect();
  Send(caller,
       "POST /outer HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n"
       "0\r\n\r\n" +
           Request("/inner"));
  CHECK(fixture.ReadAll(caller).starts_with("HTTP/1.1 400"));
  CHECK(fixture.requests == "");
}

// The parser took the body of a request that is too large for header fields.
TEST_CASE("A request that announces a large body is refused at its head") {
  Fixture fixture;
  fixture.limits.max_body_bytes = 100;
  tcp::socket caller = fixture.Connect();
  Send(caller, Request("/1", "Content-Length: 101\r\n") + "x: y\r\n");
  CHECK(fixture.ReadAll(caller).starts_with("HTTP/1.1 413"));
  CHECK(fixture.requests == "");
}

// Guards against uploads that together exceed the router's memory (review case
// 2).
TEST_CASE("An upload without memory is refused and the next request is not") {
  Fixture fixture;
  fixture.answers = false;
  fixture.memory.SetLimit(400'000);
  const std::string body(200'000, 'x');
  const std::string head = "Content-Length: 200000\r\n";
  tcp::socket first = fixture.Connect();
  // An open connection takes memory of its own.
  const std::size_t idle = fixture.memory.used();
  CHECK(idle < 4096);
  Send(first, Request("/1", head) + body);
  while (fixture.requests.empty() && fixture.RunLoop() > 0) {
  }
  REQUIRE(fixture.requests == "/1");
  CHECK(fixture.memory.used() == idle);
  // What the handler keeps of the first request.
  MemoryCharge kept(&fixture.memory);
  REQUIRE(kept.TrySet(200'000));
  tcp::socket second = fixture.Connect();
  Send(second, Request("/2", head) + body);
  const std::string response = fixture.ReadAll(second);
  CHECK(response.starts_with("HTTP/1.1 503"));
  CHECK(response.find("Retry-After: ") != std::string::npos);
  CHECK(fixture.memory.used() == 200'000 + 2 * idle);
  fixture.answers = true;
  tcp::socket small = fixture.Connect();
  Send(small, Request("/3"));
  CHECK(fixture.ReadAll(small).starts_with("HTTP/1.1 200"));
  CHECK(fixture.requests == "/1/3");
}

// Guards against headers of legal size that take many times their bytes once
// parsed: 300 clients took 99 MiB with lines of four bytes.
TEST_CASE("A request with too many header lines is refused with 431") {
  Fixture fixture;
  const auto lines = [](std::size_t n) {
    std::string text;
    for (std::size_t i = 0; i < n; ++i) {
      text += "a:\r\n";
    }
    return text;
  };
  tcp::socket caller = fixture.Connect();
  SUBCASE("at once") { Send(caller, Request("/1", lines(1100))); }
  SUBCASE("in parts") {
    const std::string request = Request("/1", lines(1100));
    for (std::size_t i = 0; i < request.size(); i += 333) {
      Send(caller, request.substr(i, 333));
      fixture.RunLoop();
    }
  }
  SUBCASE("in trailer fields") {
    Send(caller, Request("/1", "Transfer-Encoding: chunked\r\n") + "0\r\n" +
                     lines(1100) + "\r\n");
  }
  CHECK(fixture.ReadAll(caller).starts_with("HTTP/1.1 431"));
  CHECK(fixture.requests.empty());
}

TEST_CASE("Headers inside the limits are served, and their lines charged") {
  Fixture fixture;
  std::string lines;
  while (lines.size() < 16'000) {
    lines += "X-Feature-" + std::to_string(lines.size()) + ": on\r\n";
  }
  tcp::socket caller = fixture.Connect();
  Send(caller, Request("/1", lines + "Content-Length: 1\r\n"));
  fixture.RunLoop();
  CHECK(fixture.memory.used() > 4 * lines.size());
  Send(caller, "x");
  CHECK(fixture.ReadAll(caller).starts_with("HTTP/1.1 200"));
}

// Guards against a caller that pipelines requests and reads no response: all
// responses were kept.
TEST_CASE("Requests wait while their caller leaves responses unread") {
  Fixture fixture;
  fixture.body = std::string(100'000, 'x');
  tcp::socket caller = fixture.Connect();
  caller.set_option(asio::socket_base::receive_buffer_size(256 * 1024));
  std::string requests;
  for (int i = 0; i < 300; ++i) {
    requests += Request("/1");
  }
  Send(caller, requests);
  for (int i = 0; i < 50; ++i) {
    fixture.RunLoop();
  }
  CHECK(fixture.memory.peak() < 500'000);
  const std::string responses = fixture.ReadAll(caller);
  CHECK(responses.size() > 300 * fixture.body.size());
}

// Guards against clients that stop short of the end of their requests until
// ordinary callers are refused.
TEST_CASE("An unfinished request is rejected in favor of an ordinary one") {
  Fixture fixture;
  fixture.memory.SetLimit(400'000);
  const std::string head = "Content-Length: 250000\r\n";
  tcp::socket stalled = fixture.Connect();
  Send(stalled, Request("/1", head) + std::string(249'999, 'x'));
  fixture.RunLoop();
  CHECK(fixture.memory.used() > 249'999);
  fixture.TickAfter(seconds(2));
  tcp::socket ordinary = fixture.Connect();
  Send(ordinary, Request("/2", head) + std::string(250'000, 'x'));
  CHECK(fixture.ReadAll(ordinary).starts_with("HTTP/1.1 200"));
  const std::string rejection = fixture.ReadAll(stalled);
  CHECK(rejection.starts_with("HTTP/1.1 503"));
  CHECK(rejection.find("Retry-After: ") != std::string::npos);
  CHECK(fixture.requests == "/2");
  CHECK(fixture.memory.evicted_count() == 1);
}

TEST_CASE("A chunked request without end is refused") {
  Fixture fixture;
  fixture.limits.max_header_bytes = 4096;
  const std::string part(1000, 'x');
  std::string begin;
  std::string repeated;
  SUBCASE("in its trailer fields") {
    begin = "0\r\n";
    repeated = "x: " + part + "\r\n";
  }
  SUBCASE("in a chunk extension") {
    begin = "1;";
    repeated = part;
  }
  tcp::socket caller = fixture.Connect();
  Send(caller, Request("/1", "Transfer-Encoding: chunked\r\n") + begin);
  for (int i = 0; i < 10; ++i) {
    Send(caller, repeated);
  }
  CHECK(fixture.ReadAll(caller).starts_with("HTTP/1.1 431"));
  CHECK(fixture.requests == "");
}

// Larger than the buffers of a loopback connection.
constexpr std::size_t kLargeBodyBytes = std::size_t{24} << 20;

TEST_CASE("A response to a slow caller is not cut when its connection closes") {
  Fixture fixture;
  fixture.body = std::string(kLargeBodyBytes, 'x');
  fixture.closes = true;
  tcp::socket caller = fixture.Connect();
  Send(caller, Request("/1"));
  fixture.RunLoop();
  std::string response;
  std::vector<char> buf(std::size_t{1} << 20);
  for (int i = 0; i < 10; ++i) {
    fixture.RunLoop();
    fixture.TickAfter(milliseconds(600));
    boost::system::error_code ec;
    const std::size_t n = caller.read_some(asio::buffer(buf), ec);
    response.append(buf.data(), n);
  }
  response += fixture.ReadAll(caller);
  CHECK(response.size() > kLargeBodyBytes);
  CHECK(fixture.unanswered == "");
}

TEST_CASE("A response that its caller does not read is given up") {
  Fixture fixture;
  fixture.body = std::string(kLargeBodyBytes, 'x');
  fixture.closes = true;
  tcp::socket caller = fixture.Connect();
  Send(caller, Request("/1"));
  for (int i = 0; i < 10; ++i) {
    // Until the buffers are full, however slowly the loop runs.
    while (fixture.RunLoop() > 0) {
    }
    fixture.TickAfter(milliseconds(600));
  }
  CHECK(fixture.unanswered == "linger_timeout writing /1;");
}

}  // namespace
}  // namespace corianderpost
