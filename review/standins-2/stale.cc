// Clients keep many large requests in progress while the operator takes a key
// away.
#include <atomic>
#include <random>

#include "scenarios.h"

namespace review {
namespace {

// Of each router. The largest term-report of the site has 110,000 bytes.
constexpr int kClients = 480;
constexpr std::size_t kBodyBytes = 100'000;
constexpr int kEngines = 18;
constexpr int kEvents = 22;
constexpr double kEventSeconds = 0.5;
constexpr int kAddedRoutes = 3000;
constexpr double kFillSeconds = 14;
constexpr double kConfigApplySeconds = 3;
constexpr double kWatchedSeconds = 12;

}  // namespace

Outcome PlayStale(Record& record) {
  Deployment deployment({10, 11, 12}, {"colombo", "kandy", "negombo"});
  const auto run_stream = [&](Connection& connection, const Message& request) {
    record.Detail("ran " + request.Header("corianderpost-request-id"));
    if (!connection.Write(ResponseHead(request, 200,
                                       "Content-Type: text/event-stream\r\n"
                                       "Transfer-Encoding: chunked\r\n\r\n"))) {
      return false;
    }
    for (int i = 1; i <= kEvents; ++i) {
      if (!connection.Write(Chunk("id: " + std::to_string(i) +
                                  "\ndata: words of the answer\n\n"))) {
        return false;
      }
      SleepFor(kEventSeconds);
    }
    return connection.Write("0\r\n\r\n");
  };
  std::mutex mutex;
  // When requests with the key that is taken away ran.
  std::map<std::string, double> ran_at;
  const auto run_award = [&](Connection& connection, const Message& request) {
    {
      const std::lock_guard lock(mutex);
      ran_at[request.Header("corianderpost-request-id")] = Now();
    }
    record.Detail("ran " + request.Header("corianderpost-request-id"));
    SleepFor(0.015);
    return connection.Write(
        ResponseHead(request, 200, "Content-Length: 5\r\n\r\naward"));
  };
  const char* const zones[] = {"colombo", "kandy", "negombo"};
  for (int i = 0; i < kEngines; ++i) {
    deployment.AddReplica("i-engine" + std::to_string(i), "huvo11a",
                          zones[i % 3], 128, run_stream);
  }
  for (int i = 0; i < 3; ++i) {
    deployment.AddReplica("i-ledger" + std::to_string(i), "wuno96b",
                          zones[i % 3], 6, run_award);
  }
  std::vector<Route> routes = {
      {"parent-chat", "/lohu930/", "streaming", "huvo11a", 12000, 1500, 400, 2,
       true},
      {"badge-award", "/puxa403/", "non_idempotent", "wuno96b"}};
  for (int i = 0; i < kAddedRoutes; ++i) {
    const std::string name = "added" + std::to_string(i);
    routes.push_back({name, "/" + name + "/", "idempotent", "wuno96b"});
  }
  record.Line("the configuration has " +
              std::to_string(ConfigurationJson(1, routes, "huvo11a").size()) +
              " bytes");
  deployment.Configure(routes, "huvo11a");
  if (!deployment.StartRouters()) {
    return Outcome::kCouldNotRun;
  }
  std::atomic<bool> ends{false};
  std::atomic<int> open{0};
  std::vector<std::thread> clients;
  for (int i = 0; i < 3 * kClients; ++i) {
    clients.emplace_back([&, i] {
      std::mt19937 random(static_cast<unsigned>(i));
      SleepFor(0.001 * static_cast<double>(random() % 9000));
      std::unique_ptr<Connection> connection;
      int number = 0;
      while (!ends) {
        if (!connection) {
          connection = Connection::To(
              deployment.routers()[static_cast<std::size_t>(i) % 3]->ip(),
              kFrontPort);
          if (!connection) {
            SleepFor(0.5);
            continue;
          }
        }
        connection->SetTimeout(13);
        Request request;
        request.path = "/lohu930/2f";
        request.id =
            "chat" + std::to_string(i) + "-" + std::to_string(++number);
        request.deadline_ms = 12000;
        request.body = std::string(HasTrouble() ? kBodyBytes : 600, 'x');
        request.headers =
            "Corianderpost-Model: m\r\nCorianderpost-Token-Count: 300,132\r\n"
            "Corianderpost-Prompt-Prefix: 5c1e07a2:100,91bd3f06:100,e4402b7d:"
            "100\r\n";
        ++open;
        record.Detail("sent " + request.id);
        Message response;
        const bool is_answered = connection->Write(Format(request)) &&
                                 connection->ReadResponse(response);
        --open;
        record.Detail("answered " + request.id + " " +
                      std::to_string(response.Status()) +
                      (is_answered ? ", complete" : ", broken off"));
        if (!is_answered || ToLower(response.Header("connection")) == "close") {
          connection.reset();
        }
        if (response.Status() != 200) {
          SleepFor(0.3);
        }
      }
    });
  }
  struct Sent {
    double at = 0;
    int status = 0;
  };
  std::map<std::string, Sent> sent;
  for (int router = 0; router < 3; ++router) {
    clients.emplace_back([&, router] {
      std::unique_ptr<Connection> connection;
      for (int number = 1; !ends; ++number) {
        SleepFor(0.2);
        if (!connection) {
          connection = Connection::To(
              deployment.routers()[static_cast<std::size_t>(router)]->ip(),
              kFrontPort);
          if (!connection) {
            continue;
          }
        }
        connection->SetTimeout(3);
        Request request;
        request.path = "/puxa403/2f";
        request.id =
            "award" + std::to_string(router) + "-" + std::to_string(number);
        request.key = kOtherKey;
        request.body = std::string(600, 'x');
        const double at = Now();
        record.Detail("sent " + request.id);
        Message response;
        if (!connection->Write(Format(request)) ||
            !connection->ReadResponse(response) ||
            ToLower(response.Header("connection")) == "close") {
          connection.reset();
        }
        record.Detail("answered " + request.id + " " +
                      std::to_string(response.Status()));
        const std::lock_guard lock(mutex);
        sent[request.id] = {at, response.Status()};
      }
    });
  }
  SleepFor(kFillSeconds);
  record.Line(std::to_string(open) +
              " requests are in progress at three routers");
  deployment.TakeKeyAway(routes, "huvo11a");
  const double acked_at = Now();
  record.Line(
      "the store has acknowledged a configuration without the key of "
      "the badge-awards");
  SleepFor(kWatchedSeconds);
  ends = true;
  for (std::thread& it : clients) {
    it.join();
  }
  int late = 0;
  for (const auto& [id, it] : sent) {
    if (it.at > acked_at + kConfigApplySeconds && ran_at.contains(id)) {
      ++late;
      if (late <= 10) {
        record.Line("  " + id + " was sent " +
                    std::to_string(it.at - acked_at) +
                    " s after the acknowledgement and ran; its client got " +
                    std::to_string(it.status));
      }
    }
  }
  std::map<std::string, int> counts;
  for (const auto& [id, it] : sent) {
    ++counts[id.substr(0, 6) +
             (it.at > acked_at + kConfigApplySeconds ? " after, status "
                                                     : " before, status ") +
             std::to_string(it.status)];
  }
  for (const auto& [name, n] : counts) {
    record.Line(name + ": " + std::to_string(n));
  }
  record.Line(std::to_string(late) +
              " requests ran with the dropped key later than configApplyMs");
  return late > 0 ? Outcome::kBroken : Outcome::kHeld;
}

}  // namespace review
