// Plays uncontrolled clients against one router process with little memory.
// Checks that the process lives, its memory and descriptors stay under a bound,
// and one ordinary request is answered afterwards.
#include <doctest/doctest.h>

#include <algorithm>
#include <boost/asio/ip/udp.hpp>
#include <functional>

#include "dataplane/upstream.h"
#include "fleet/crowd.h"
#include "fleet/engine_fleet.h"
#include "peers/peer_report.h"

namespace corianderpost::soak {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kCustomer[] = "c0";
constexpr int kClients = 90;
constexpr int kMemoryMb = 28;
constexpr int kMaxDescriptors = 400;
// The platform's, for files.
constexpr int kReservedDescriptors = 200;
constexpr std::size_t kMaxHeaderBytes = 16'384;
constexpr std::size_t kMaxBodyBytes = std::size_t{1} << 20;
constexpr Duration kPlayTime = milliseconds(2500);
constexpr Duration kPartOfSequence = milliseconds(1500);
// Time to answer an ordinary request afterwards, with tries after rejections.
constexpr Duration kRecoveryTime = seconds(8);

std::string Head(const std::string& method, const std::string& lines) {
  return method +
         " /once/x HTTP/1.1\r\nHost: fleet.example\r\n"
         "Corianderpost-Request-Id: crowd\r\nCorianderpost-Deadline-Ms: 4000"
         "\r\nAuthorization: Bearer c0\r\n" +
         lines;
}

std::string Repeat(const std::string& text, std::size_t bytes) {
  std::string repeated;
  while (repeated.size() + text.size() <= bytes) {
    repeated += text;
  }
  return repeated;
}

// Header lines of almost the permitted size, and a body without its last byte.
CrowdBehavior ManyLines(const std::string& line) {
  const std::string head = Head("POST", "Content-Length: 2\r\n");
  return {head + Repeat(line, kMaxHeaderBytes - head.size() - 200) + "\r\nx"};
}

CrowdBehavior OddLines() {
  return ManyLines("a:\t \t\r\nA:\r\n~!#: \x80\xff\r\nX-:,,,\r\na: ;=\r\n");
}

CrowdBehavior WholeBody() {
  return {Head("POST", "Content-Length: " + std::to_string(kMaxBodyBytes) +
                           "\r\n\r\n") +
          std::string(kMaxBodyBytes - 1, 'b')};
}

CrowdBehavior BodyInPieces() {
  constexpr std::size_t kPiece = 16'384;
  return {Head("POST", "Content-Length: " + std::to_string(kMaxBodyBytes) +
                           "\r\n\r\n") +
              std::string(kPiece - 1, 'b'),
          std::string(kPiece, 'b'), kMaxBodyBytes / kPiece - 1,
          milliseconds(10)};
}

CrowdBehavior OneByteChunks() {
  return {Head("POST", "Transfer-Encoding: chunked\r\n\r\n"),
          Repeat("1\r\nb\r\n", 60'000), 100};
}

CrowdBehavior UnreadResponses() {
  return {"", Repeat(Head("GET", "\r\n"), 60'000), 60, Duration(0), false};
}

CrowdBehavior UnreadWithoutHeaders() {
  return {"", Repeat("GET / HTTP/1.1\r\n\r\n", 60'000), 60, Duration(0), false};
}

CrowdBehavior OneBytePerSecond() {
  return {Head("POST", "Content-Length: 1000\r\nX-Slow: "), "a", 100,
          seconds(1)};
}

CrowdBehavior Resets() {
  CrowdBehavior behavior = WholeBody();
  behavior.reset_after = milliseconds(20);
  return behavior;
}

// A message of HTTP for an internal listener, with a body of `bytes` that lacks
// its last one.
CrowdBehavior InternalUpload(std::size_t bytes) {
  return {"POST /metrics HTTP/1.1\r\nHost: router\r\nContent-Length: " +
          std::to_string(bytes) + "\r\n" + Repeat("a:\r\n", 16'000) + "\r\n" +
          std::string(bytes - 1, 'b')};
}

CrowdBehavior InternalPipeline(const std::string& path) {
  return {"",
          Repeat("GET " + path + " HTTP/1.1\r\nHost: router\r\n\r\n", 60'000),
          60, Duration(0), false};
}

// Sends datagrams to the peer port: random bytes, and reports of many senders.
class DatagramSender {
 public:
  DatagramSender(asio::io_context& loop, const std::string& address)
      : socket_(loop, asio::ip::udp::v4()) {
    const auto tcp = ParseEndpoint(address).value();
    socket_.connect({tcp.address(), tcp.port()});
    socket_.non_blocking(true);
    for (int i = 0; i < 20; ++i) {
      report_.customer_rates[CustomerId(static_cast<std::uint32_t>(i))] = {};
    }
    report_.sender.zone = "a";
    report_.sender.region = "west";
    report_.incarnation = 1;
  }
  void Send() {
    constexpr std::uint64_t kSenders = 1000;
    ++report_.sequence;
    const std::uint64_t sender = report_.sequence % kSenders;
    report_.sender.vm = "127.9." + std::to_string(sender / 250) + "." +
                        std::to_string(1 + sender % 250);
    SendBytes(EncodeReport(report_));
    std::string bytes(30'000, '\x91');
    for (std::size_t i = report_.sequence % 7; i < bytes.size(); i += 7) {
      bytes[i] = static_cast<char>(random_());
    }
    SendBytes(bytes);
  }

 private:
  void SendBytes(const std::string& bytes) {
    boost::system::error_code ignored;
    socket_.send(asio::buffer(bytes), 0, ignored);
  }
  asio::ip::udp::socket socket_;
  PeerReport report_;
  std::mt19937_64 random_{1};
};

// One router with little memory and one engine.
class Fixture {
 public:
  explicit Fixture(int network) : fleet_(network, 1, 1, {kCustomer}) {
    router().SetResources(kMemoryMb, kMaxDescriptors);
    platform::StandinRules rules;
    rules.max_header_bytes = kMaxHeaderBytes;
    rules.max_body_bytes = kMaxBodyBytes;
    fleet_.PublishConfiguration(1, 0, rules);
    router().Start();
    // Time to start.
    fleet_.PlayFor(milliseconds(500));
    REQUIRE(IsAnswered());
    peak_bytes_ = 0;
  }
  RouterProcess& router() { return *fleet_.routers()[0]; }
  EngineFleet& fleet() { return fleet_; }

  void Play(const std::string& address, const CrowdBehavior& behavior,
            Duration duration) {
    const Crowd crowd(fleet_.loop(), address, kClients, behavior);
    PlayFor(duration);
    CHECK(crowd.connections() >= kClients);
  }
  void PlayFor(Duration duration, const std::function<void()>& on_step = {}) {
    fleet_.PlayFor(duration, [&](TimePoint) {
      peak_bytes_ = std::max(peak_bytes_,
                             router().ResidentBytes() + router().UnreadBytes());
      peak_descriptors_ = std::max(peak_descriptors_, router().Descriptors());
      if (on_step) {
        on_step();
      }
    });
  }
  void Check() {
    const bool is_answered = IsAnswered();
    CHECK_FALSE(router().HasExited());
    CHECK(peak_bytes_ < std::size_t{kMemoryMb} << 20);
    CHECK(peak_descriptors_ <= kMaxDescriptors - kReservedDescriptors);
    CHECK(is_answered);
    MESSAGE("peak ", peak_bytes_ >> 10, " KiB, ", peak_descriptors_,
            " descriptors");
  }

 private:
  bool IsAnswered() {
    const TimePoint end = fleet_.Now() + kRecoveryTime;
    while (fleet_.Now() < end && !router().HasExited()) {
      const auto call = fleet_.Send(0, kCustomer, {}, "/once/");
      const auto try_end = fleet_.Now() + seconds(2);
      while (call->tries.back().ended_at == TimePoint() &&
             fleet_.Now() < try_end) {
        PlayFor(milliseconds(50));
      }
      if (call->tries.back().status == 200) {
        return true;
      }
    }
    return false;
  }
  EngineFleet fleet_;
  std::size_t peak_bytes_ = 0;
  std::size_t peak_descriptors_ = 0;
};

void PlayAlone(int network, const CrowdBehavior& behavior) {
  Fixture fixture(network);
  fixture.Play(fixture.router().address(), behavior, kPlayTime);
  fixture.Check();
}

// The cases guard against a router that uncontrolled callers end: it kept
// parsed headers, unread input and unread responses beyond its memory.
TEST_CASE("Many short header lines do not exhaust a router's memory") {
  PlayAlone(221, ManyLines("a:\r\n"));
}

TEST_CASE("Odd header lines do not exhaust a router's memory") {
  PlayAlone(222, OddLines());
}

TEST_CASE("Unfinished bodies do not exhaust a router's memory") {
  SUBCASE("whole") { PlayAlone(223, WholeBody()); }
  SUBCASE("in pieces") { PlayAlone(224, BodyInPieces()); }
  SUBCASE("in chunks of one byte") { PlayAlone(225, OneByteChunks()); }
}

TEST_CASE("Pipelined requests do not exhaust a router's memory") {
  SUBCASE("with unread responses") { PlayAlone(226, UnreadResponses()); }
  SUBCASE("without the usual headers") {
    PlayAlone(227, UnreadWithoutHeaders());
  }
}

TEST_CASE("Slow clients do not exhaust a router's memory") {
  PlayAlone(228, OneBytePerSecond());
}

TEST_CASE("Clients that reset do not exhaust a router's memory") {
  PlayAlone(229, Resets());
}

TEST_CASE("Clients of internal listeners do not exhaust a router's memory") {
  Fixture fixture(230);
  std::string address;
  std::string path;
  SUBCASE("readiness") {
    address = fixture.router().readiness_address();
    path = "/ready";
  }
  SUBCASE("control") {
    address = fixture.router().control_address();
    path = "/metrics";
  }
  fixture.Play(address, InternalUpload(kMaxBodyBytes), kPartOfSequence);
  fixture.Play(address, InternalPipeline(path), kPartOfSequence);
  fixture.Check();
}

TEST_CASE("Datagrams at the peer port do not exhaust a router's memory") {
  Fixture fixture(231);
  DatagramSender sender(fixture.fleet().loop(),
                        fixture.router().peer_address());
  fixture.PlayFor(kPlayTime, [&] {
    for (int i = 0; i < 4; ++i) {
      sender.Send();
    }
  });
  fixture.Check();
}

TEST_CASE("All uncontrolled clients in turn do not exhaust a router's memory") {
  Fixture fixture(232);
  for (const CrowdBehavior& it :
       {ManyLines("a:\r\n"), OddLines(), WholeBody(), BodyInPieces(),
        OneByteChunks(), UnreadResponses(), UnreadWithoutHeaders(),
        OneBytePerSecond(), Resets()}) {
    fixture.Play(fixture.router().address(), it, kPartOfSequence);
  }
  fixture.Check();
}

}  // namespace
}  // namespace corianderpost::soak
