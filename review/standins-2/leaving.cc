// A replica leaves: its answers say so, and its entry is deleted. One of its
// pings from before was not answered by the store, which executes it late, so
// that the entry is back for a while.
#include <atomic>
#include <random>

#include "scenarios.h"

namespace review {
namespace {

// The ping is sent just before the replica leaves. The pages name 1 to 6 s.
constexpr double kPingIsLateBy = 4.0;
// The store removes an entry after three ping intervals of silence.
constexpr double kEntryLasts = 3 * kHeartbeatSeconds;
// The replica goes on serving for `drainMs` and "at times many seconds".
constexpr double kServesFor = 7.0;
// Of each client.
constexpr double kRequestsPerSecond = 8;
constexpr int kClientsPerRouter = 10;

}  // namespace

Outcome PlayLeaving(Record& record) {
  Deployment deployment({10, 11}, {"colombo", "kandy"});
  std::atomic<bool> is_leaving{false};
  std::atomic<double> left_at{0};
  std::mutex mutex;
  // By router, when the first answer with `Server-Leaving` was sent to it.
  // Times at which requests arrived at the leaving replica.
  std::vector<std::pair<double, std::string>> arrivals;
  const auto run = [](Connection& connection, const Message& request,
                      const std::string& headers) {
    SleepFor(0.015);
    const std::string body =
        "ran " + request.Header("corianderpost-request-id");
    return connection.Write(ResponseHead(
        request, 200,
        headers + "Content-Length: " + std::to_string(body.size()) +
            "\r\n\r\n" + body));
  };
  Replica& leaving = deployment.AddReplica(
      "i-leaves", "wuno96b", "colombo", 6,
      [&](Connection& connection, const Message& request) {
        {
          const std::lock_guard lock(mutex);
          arrivals.emplace_back(Now(),
                                request.Header("corianderpost-request-id"));
        }
        return run(connection, request,
                   is_leaving ? "Server-Leaving: 1\r\n" : "");
      });
  for (const char* zone : {"colombo", "kandy"}) {
    deployment.AddReplica(std::string("i-stays-") + zone, "wuno96b", zone, 6,
                          [&](Connection& connection, const Message& request) {
                            return run(connection, request, "");
                          });
  }
  deployment.Configure(
      {{"badge-award", "/puxa403/", "non_idempotent", "wuno96b"}}, "");
  if (!deployment.StartRouters()) {
    return Outcome::kCouldNotRun;
  }
  struct Sent {
    double at = 0;
    int status = 0;
    bool told_leaving = false;
  };
  std::map<std::string, Sent> sent;
  std::atomic<bool> ends{false};
  std::vector<std::thread> clients;
  for (int i = 0; i < 2 * kClientsPerRouter; ++i) {
    Router* const router = deployment.routers()[i % 2].get();
    clients.emplace_back([&, router, i] {
      std::unique_ptr<Connection> connection;
      int number = 0;
      std::mt19937 random(static_cast<unsigned>(i));
      std::exponential_distribution<double> pause(kRequestsPerSecond);
      for (double next = Now(); !ends; next += pause(random)) {
        SleepFor(next - Now());
        if (!connection) {
          connection = Connection::To(router->ip(), kFrontPort);
        }
        if (!connection) {
          continue;
        }
        Request request;
        request.path = "/puxa403/2f";
        request.id = router->name() + "-c" + std::to_string(i) + "-" +
                     std::to_string(++number);
        request.body = std::string(600, 'x');
        Sent result;
        result.at = Now();
        Message response;
        if (connection->Write(Format(request)) &&
            connection->ReadResponse(response)) {
          result.status = response.Status();
          result.told_leaving = !response.Header("server-leaving").empty();
          if (ToLower(response.Header("connection")) == "close") {
            connection.reset();
          }
        } else {
          connection.reset();
        }
        const std::lock_guard lock(mutex);
        sent[request.id] = result;
      }
    });
  }
  SleepFor(4);
  const ReplicaEntry last_ping = leaving.entry();
  is_leaving = true;
  left_at = Now();
  record.Line("i-leaves leaves: its answers say Server-Leaving");
  // The routers pass on an answer of the leaving replica.
  SleepFor(0.3);
  leaving.Deregister();
  record.Line("i-leaves has deleted its entry and goes on serving");
  std::thread store_effects([&] {
    if (!HasTrouble()) {
      return;
    }
    SleepFor(left_at + kPingIsLateBy - Now());
    deployment.store().Put(EntryKey(last_ping.id), EntryJson(last_ping));
    record.Line("the store executes the last ping of i-leaves from before");
    SleepFor(kEntryLasts);
    deployment.store().Delete(EntryKey(last_ping.id));
    record.Line("the store removes the entry after three ping intervals");
  });
  SleepFor(left_at + kServesFor - Now());
  leaving.End();
  record.Line("i-leaves exits");
  store_effects.join();
  SleepFor(1);
  ends = true;
  for (std::thread& it : clients) {
    it.join();
  }
  int late = 0;
  int lost = 0;
  for (const auto& router : deployment.routers()) {
    double told_at = 0;
    for (const auto& [id, it] : sent) {
      if (id.starts_with(router->name()) && it.told_leaving &&
          (told_at == 0 || it.at < told_at)) {
        told_at = it.at;
      }
    }
    if (told_at == 0) {
      record.Line(router->name() + " passed on no answer with Server-Leaving");
      continue;
    }
    record.Line(router->name() +
                " passed on an answer with Server-Leaving for the request of " +
                std::to_string(told_at));
    for (const auto& [at, id] : arrivals) {
      const auto it = sent.find(id);
      // A request takes at most 0.1 s, so the answer was passed on by then.
      if (it == sent.end() || !id.starts_with(router->name()) ||
          it->second.at <= told_at + 0.1 + kDrainSeconds) {
        continue;
      }
      ++late;
      lost += it->second.status == 200 ? 0 : 1;
      if (late <= 10 || it->second.status != 200) {
        record.Line("  " + id + " was sent " +
                    std::to_string(it->second.at - told_at) +
                    " s later and reached i-leaves; its client got " +
                    std::to_string(it->second.status));
      }
    }
  }
  record.Line(std::to_string(late) + " requests reached i-leaves too late; " +
              std::to_string(lost) + " of them have no good answer");
  return late > 0 ? Outcome::kBroken : Outcome::kHeld;
}

}  // namespace review
