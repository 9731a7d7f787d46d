// Clients that send requests of legal size whose prompts have very many parts.
// The platform ends a process that exceeds its memory, and starts it again.
#include <atomic>
#include <random>

#include "scenarios.h"

namespace review {
namespace {

constexpr double kMaxSeconds = 80;
constexpr int kPartsPerPrompt = 3900;
constexpr double kRequestsPerSecond = 40;
constexpr int kClientsPerRouter = 500;
constexpr int kEngines = 18;
constexpr int kEvents = 44;
constexpr double kEventSeconds = 0.25;
constexpr int kEndsThatBreakTheRule = 3;

// "ID:TOKENS,..." with short ids: at most 15.6 KB.
std::string Prompt(int parts, std::mt19937& random) {
  static const char kDigits[] = "0123456789abcdef";
  std::string prompt;
  for (int i = 0; i < parts; ++i) {
    prompt += i == 0 ? "" : ",";
    prompt += kDigits[random() % 16];
    prompt += ":1";
  }
  return prompt;
}

struct Counts {
  std::atomic<int> sent{0};
  std::atomic<int> served{0};
  std::atomic<int> refused{0};
  std::atomic<int> lost{0};
};

// Sends requests at an even rate on kept connections.
void Send(const Router& router, const std::string& name, bool is_stream,
          int parts, double per_second, const std::atomic<bool>& ends,
          Record& record, Counts& counts) {
  std::mt19937 random(std::hash<std::string>()(name));
  std::unique_ptr<Connection> connection;
  int number = 0;
  std::uniform_real_distribution<double> phase(0, 1.0 / per_second);
  for (double next = Now() + phase(random); !ends; next += 1.0 / per_second) {
    while (!ends && Now() < next) {
      SleepFor(std::min(next - Now(), 0.1));
    }
    if (ends) {
      break;
    }
    if (!connection) {
      connection = Connection::To(router.ip(), kFrontPort);
      if (!connection) {
        next = Now();
        continue;
      }
    }
    Request request;
    request.id = name + "-" + std::to_string(++number);
    if (is_stream) {
      request.path = "/lohu930/2f";
      request.deadline_ms = 12000;
      request.headers =
          "Corianderpost-Model: m\r\nCorianderpost-Token-Count: " +
          std::to_string(parts) + "," + std::to_string(6 * kEvents) +
          "\r\nCorianderpost-Prompt-Prefix: " + Prompt(parts, random) + "\r\n";
    } else {
      request.path = "/puxa403/2f";
      request.body = std::string(600, 'x');
    }
    ++counts.sent;
    record.Detail("sent " + request.id);
    connection->SetTimeout(13);
    Message response;
    if (!connection->Write(Format(request)) ||
        !connection->ReadResponse(response)) {
      ++counts.lost;
      record.Detail("answered " + request.id + " " +
                    std::to_string(response.Status()) + ", broken off");
      connection.reset();
      continue;
    }
    ++(response.Status() == 200 ? counts.served : counts.refused);
    record.Detail("answered " + request.id + " " +
                  std::to_string(response.Status()) + ", complete");
    if (ToLower(response.Header("connection")) == "close") {
      connection.reset();
    }
  }
}

std::string ToString(const Counts& counts) {
  return std::to_string(counts.sent) + " sent, " +
         std::to_string(counts.served) + " served, " +
         std::to_string(counts.refused) + " refused or failed, " +
         std::to_string(counts.lost) + " without an answer";
}

}  // namespace

Outcome PlayParts(Record& record) {
  Deployment deployment({10, 11}, {"colombo", "negombo"});
  const auto run_stream = [&](Connection& connection, const Message& request) {
    record.Detail("ran " + request.Header("corianderpost-request-id"));
    SleepFor(0.03);
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
  const auto run_award = [&](Connection& connection, const Message& request) {
    record.Detail("ran " + request.Header("corianderpost-request-id"));
    SleepFor(0.015);
    const std::string body(800, 'a');
    return connection.Write(ResponseHead(
        request, 200,
        "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body));
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
  deployment.Configure(
      {{"parent-chat", "/lohu930/", "streaming", "huvo11a", 12000, 1500, 400, 2,
        true},
       {"badge-award", "/puxa403/", "non_idempotent", "wuno96b"}},
      "huvo11a");
  if (!deployment.StartRouters()) {
    return Outcome::kCouldNotRun;
  }
  const int parts = HasTrouble() ? kPartsPerPrompt : 3;
  record.Line("each router gets " +
              std::to_string(static_cast<int>(kRequestsPerSecond)) +
              " requests a second whose prompts have " + std::to_string(parts) +
              " parts, and 5 badge-awards a second");
  std::atomic<bool> ends{false};
  Counts odd;
  Counts ordinary;
  std::vector<std::thread> clients;
  for (const auto& router : deployment.routers()) {
    for (int i = 0; i < kClientsPerRouter; ++i) {
      clients.emplace_back(Send, std::cref(*router),
                           router->name() + "-chat" + std::to_string(i), true,
                           parts, kRequestsPerSecond / kClientsPerRouter,
                           std::cref(ends), std::ref(record), std::ref(odd));
    }
    clients.emplace_back(Send, std::cref(*router), router->name() + "-award",
                         false, 0, 5, std::cref(ends), std::ref(record),
                         std::ref(ordinary));
  }
  std::vector<int> ended(deployment.routers().size());
  std::vector<double> peak_mb(ended.size());
  double next_line = Now();
  bool is_broken = false;
  for (const double until = Now() + kMaxSeconds; Now() < until && !is_broken;
       SleepFor(0.05)) {
    is_broken = true;
    for (std::size_t i = 0; i < ended.size(); ++i) {
      Router& router = *deployment.routers()[i];
      const double mb = router.ResidentMb();
      peak_mb[i] = std::max(peak_mb[i], mb);
      if (Now() >= next_line) {
        record.Line(router.name() + " has " +
                    std::to_string(static_cast<int>(mb)) + " MB");
      }
      if (mb > kMemoryMb || !router.IsRunning()) {
        record.Line(router.name() + " has " +
                    std::to_string(static_cast<int>(mb)) + " MB of " +
                    std::to_string(kMemoryMb) +
                    " MB: the platform ends it and starts it again");
        ++ended[i];
        router.Kill();
        SleepFor(0.5);
        router.Start();
      }
      is_broken = is_broken && ended[i] >= kEndsThatBreakTheRule;
    }
    if (Now() >= next_line) {
      next_line = Now() + 5;
    }
  }
  ends = true;
  for (std::thread& it : clients) {
    it.join();
  }
  record.Line("parent-chats: " + ToString(odd));
  record.Line("badge-awards: " + ToString(ordinary));
  for (std::size_t i = 0; i < ended.size(); ++i) {
    record.Line(deployment.routers()[i]->name() + " ended " +
                std::to_string(ended[i]) + " times; most memory " +
                std::to_string(static_cast<int>(peak_mb[i])) + " MB");
  }
  return is_broken ? Outcome::kBroken : Outcome::kHeld;
}

}  // namespace review
