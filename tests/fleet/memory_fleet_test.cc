// Plays engines that send without end on a small fleet whose routers have
// little memory.
#include <doctest/doctest.h>

#include <algorithm>
#include <set>

#include "fleet/engine_fleet.h"
#include "fleet/kept_callers.h"

namespace corianderpost::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kRouters = 2;
constexpr int kEngines = 3;
constexpr int kCallers = 24;
const std::vector<std::string> kCustomers = {"c0", "c1", "c2"};

// Plays kept callers while engine 0 answers each request with `response`, and
// checks that only these requests fail, and no router.
void PlayEndless(int network, const EndlessResponse& response,
                 const std::string& path) {
  const std::uint64_t seed = 1;
  INFO("seed ", seed);
  EngineFleet fleet(network, kRouters, kEngines, kCustomers);
  fleet.Start();
  fleet.engines()[0]->endless_response = response;
  KeptCallers callers(fleet, kCustomers, {path}, kCallers, milliseconds(200),
                      seed);
  std::size_t peak = 0;
  const auto on_step = [&](TimePoint now) {
    callers(now);
    for (const auto& it : fleet.routers()) {
      peak = std::max(peak, it->ResidentBytes());
    }
  };
  fleet.PlayFor(seconds(4), on_step);
  callers.Stop();
  fleet.PlayFor(seconds(5), on_step);
  CHECK(peak < RouterProcess::kMemoryBytes);
  for (const auto& it : fleet.routers()) {
    CHECK_FALSE(it->HasExited());
  }
  std::set<std::string> reached_faulty;
  for (const Arrival& it : fleet.engines()[0]->arrivals()) {
    reached_faulty.insert(it.request_id);
  }
  CHECK(reached_faulty.size() > 0);
  int unserved = 0;
  int unanswered = 0;
  for (const auto& it : callers.calls()) {
    const bool is_faulty = reached_faulty.contains(it->request_id);
    unserved += !is_faulty && it->status != 200 ? 1 : 0;
    unanswered += it->status == 0 ? 1 : 0;
  }
  CHECK(callers.calls().size() > kCallers);
  CHECK(unserved == 0);
  CHECK(unanswered == 0);
}

// Guards against a target that ends a router and all requests on it: the router
// kept whatever the target sent.
TEST_CASE("Responses without end end no router and no request of others") {
  const std::string part(std::size_t{64} * 1024, 'x');
  const std::string chunk = "10000\r\n" + part + "\r\n";
  SUBCASE("with a length") {
    PlayEndless(241, {"Content-Length: 100000000000\r\n\r\n", part}, "/once/");
  }
  SUBCASE("in chunks") {
    PlayEndless(242, {"Transfer-Encoding: chunked\r\n\r\n", chunk}, "/once/");
  }
  SUBCASE("to the end of the connection") {
    PlayEndless(243, {"\r\n", part}, "/once/");
  }
  SUBCASE("in trailer fields") {
    PlayEndless(244,
                {"Transfer-Encoding: chunked\r\n\r\n0\r\n",
                 "x: " + std::string(1000, 'y') + "\r\n"},
                "/once/");
  }
  SUBCASE("in a chunk extension") {
    PlayEndless(245, {"Transfer-Encoding: chunked\r\n\r\n1;", part}, "/once/");
  }
  SUBCASE("in the head") {
    PlayEndless(246, {"", "x: " + std::string(1000, 'y') + "\r\n"}, "/once/");
  }
}

}  // namespace
}  // namespace corianderpost::soak
