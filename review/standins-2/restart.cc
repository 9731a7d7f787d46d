// A replica is started again with another software version, under its id and
// address. Its first ping follows within the ping interval. A stream that it
// began in between breaks off.
#include <atomic>

#include "scenarios.h"

namespace review {
namespace {

constexpr int kEvents = 8;
constexpr double kEventSeconds = 0.06;
constexpr int kRounds = 10;
constexpr double kSettlingSeconds = 3;
constexpr double kDownSeconds = 0.6;
// It registers itself at once.
constexpr double kFirstPingAfter = 0;
constexpr double kStreamBegins = 0.1;
constexpr int kStreamsAtOnce = 2;
constexpr int kMaxJoined = 2;

}  // namespace

Outcome PlayRestart(Record& record) {
  Deployment deployment({10, 11}, {"colombo", "kandy"});
  std::mutex mutex;
  // By request: the replicas and versions that ran it.
  std::map<std::string, std::vector<std::string>> runs;
  struct State {
    std::string version = "v1";
    // Breaks off streams after this event; 0 for none.
    std::atomic<int> breaks_after{0};
  };
  State first;
  State second;
  const auto handler = [&](const std::string& id, State& state) {
    return [&, id](Connection& connection, const Message& request) {
      const std::string request_id = request.Header("corianderpost-request-id");
      const std::string version = state.version;
      const int from = std::atoi(request.Header("last-event-id").c_str()) + 1;
      {
        const std::lock_guard lock(mutex);
        runs[request_id].push_back(id + " " + version + " from event " +
                                   std::to_string(from));
      }
      SleepFor(0.03);
      if (!connection.Write(
              ResponseHead(request, 200,
                           "Content-Type: text/event-stream\r\n"
                           "Transfer-Encoding: chunked\r\n\r\n"))) {
        return false;
      }
      for (int i = from; i <= kEvents; ++i) {
        if (!connection.Write(Chunk("id: " + std::to_string(i) +
                                    "\ndata: " + version + "\n\n"))) {
          return false;
        }
        SleepFor(kEventSeconds);
        if (i == state.breaks_after) {
          connection.Reset();
          return false;
        }
      }
      return connection.Write("0\r\n\r\n");
    };
  };
  Replica& restarted = deployment.AddReplica("i-first", "huvo11a", "colombo",
                                             128, handler("i-first", first));
  deployment.AddReplica("i-second", "huvo11a", "kandy", 128,
                        handler("i-second", second));
  deployment.Configure({{"term-report", "/lohu930/", "streaming", "huvo11a",
                         4000, 600, 400, 2, true}},
                       "huvo11a");
  if (!deployment.StartRouters()) {
    return Outcome::kCouldNotRun;
  }
  Router& router = *deployment.routers()[0];
  std::atomic<int> number{0};
  std::atomic<int> joined{0};
  // Returns the versions of the events that the client gets, in order.
  const auto stream = [&](const std::string& name) {
    Request request;
    request.path = "/lohu930/2f";
    request.id = name + "-" + std::to_string(++number);
    request.deadline_ms = 4000;
    request.headers =
        "Corianderpost-Model: m\r\nCorianderpost-Token-Count: 1460,48\r\n"
        "Corianderpost-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410,e4402b7d:250"
        "\r\n";
    std::vector<std::string> versions;
    bool is_complete = false;
    int status = 0;
    if (const auto connection = Connection::To(router.ip(), kFrontPort)) {
      Message head;
      std::string text;
      std::string part;
      if (connection->Write(Format(request)) &&
          connection->ReadResponseHead(head)) {
        status = head.Status();
        while (connection->ReadBodyPart(head, part, is_complete)) {
          text += part;
        }
      }
      for (std::size_t pos = text.find("data: "); pos != std::string::npos;
           pos = text.find("data: ", pos + 1)) {
        versions.push_back(text.substr(pos + 6, 2));
      }
    }
    std::string line = request.id + ": " + std::to_string(status) + ", events";
    for (const std::string& it : versions) {
      line += " " + it;
    }
    line += is_complete ? ", complete" : ", broken off";
    {
      const std::lock_guard lock(mutex);
      for (const std::string& it : runs[request.id]) {
        line += "; ran at " + it;
      }
    }
    record.Line(line);
    return versions;
  };
  for (int round = 1; round <= kRounds && joined <= kMaxJoined; ++round) {
    SleepFor(round == 1 ? 7 : kSettlingSeconds);
    // Shows which replica serves these prompts.
    stream("calm");
    const std::string version = HasTrouble() ? "v2" : "v1";
    restarted.End();
    record.Line("i-first ends");
    SleepFor(kDownSeconds);
    first.version = version;
    first.breaks_after = 3;
    restarted.StartAgain(version, kFirstPingAfter);
    record.Line("i-first is back as " + version);
    SleepFor(kStreamBegins);
    std::vector<std::thread> clients;
    for (int i = 0; i < kStreamsAtOnce; ++i) {
      clients.emplace_back([&] {
        const std::vector<std::string> versions = stream("stream");
        for (const std::string& it : versions) {
          if (it != versions.front()) {
            ++joined;
            break;
          }
        }
      });
    }
    for (std::thread& it : clients) {
      it.join();
    }
    // The former version comes back.
    first.breaks_after = 0;
    SleepFor(kSettlingSeconds);
    restarted.End();
    SleepFor(kDownSeconds);
    first.version = "v1";
    restarted.StartAgain("v1", kFirstPingAfter);
  }
  record.Line(std::to_string(joined) +
              " streams have events of two software versions");
  return joined > kMaxJoined ? Outcome::kBroken : Outcome::kHeld;
}

}  // namespace review
