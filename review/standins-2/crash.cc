// Requests that crash each replica that begins to write an answer on them.
#include <atomic>
#include <random>

#include "scenarios.h"

namespace review {
namespace {

constexpr double kContactSeconds = 4;
constexpr double kDownSeconds = 2;
constexpr int kEngines = 9;
constexpr double kSoundPerSecond = 30;
constexpr double kCrashingPerSecond = 3;
constexpr double kCalmSeconds = 6;
constexpr double kTroubleSeconds = 40;
constexpr int kMaxLateArrivals = 3;
constexpr char kCrashingPart[] = "dead0001";
constexpr char kCrashingBody[] = "the body that crashes replicas";

// What crashes replicas.
struct Crashing {
  // The crash that `contactMs` counts from.
  std::size_t named_after_crashes = 0;
  // Parts of the prompt before the one that crashes replicas.
  int parts_before = 0;
  // The same request comes again; else no two are alike.
  bool is_same_request = false;
  // A replica crashes after the first event of its answer, else before it.
  bool writes_event = false;
};

// A conversation: a part for each of its turns, which follow a shared one.
std::string Conversation(int turns, std::mt19937& random) {
  std::string prompt = "5c1e07a2:400";
  for (int i = 0; i < turns; ++i) {
    char part[32];
    std::snprintf(part, sizeof(part), ",%08x:20",
                  static_cast<unsigned>(random()));
    prompt += part;
  }
  return prompt;
}

std::string OwnPart(std::mt19937& random) {
  char part[32];
  std::snprintf(part, sizeof(part), ",%08x:100",
                static_cast<unsigned>(random()));
  return part;
}

Outcome PlayCrashing(Record& record, const Crashing& crashing) {
  Deployment deployment({10, 11, 12}, {"colombo", "kandy", "negombo"});
  std::mutex mutex;
  struct Arrival {
    double at = 0;
    std::string id;
  };
  std::vector<Arrival> arrivals;
  std::vector<double> crashes;
  std::vector<Replica*> engines;
  std::vector<std::atomic<bool>> has_crashed(kEngines);
  const char* const zones[] = {"colombo", "kandy", "negombo"};
  for (int i = 0; i < kEngines; ++i) {
    engines.push_back(&deployment.AddReplica(
        "i-engine" + std::to_string(i), "huvo11a", zones[i % 3], 128,
        [&, i](Connection& connection, const Message& request) {
          const bool is_crashing =
              crashing.is_same_request
                  ? request.body == kCrashingBody
                  : request.Header("corianderpost-prompt-prefix")
                            .find(kCrashingPart) != std::string::npos;
          const bool crashes_it = is_crashing && HasTrouble();
          if (is_crashing) {
            const std::lock_guard lock(mutex);
            arrivals.push_back(
                {Now(), request.Header("corianderpost-request-id")});
          }
          SleepFor(0.04);
          if (crashes_it && crashing.writes_event) {
            connection.Write(ResponseHead(request, 200,
                                          "Content-Type: text/event-stream\r\n"
                                          "Transfer-Encoding: chunked\r\n"
                                          "\r\n") +
                             Chunk("id: 1\ndata: words of the answer\n\n"));
            SleepFor(0.005);
          }
          if (crashes_it) {
            const std::lock_guard lock(mutex);
            if (!has_crashed[static_cast<std::size_t>(i)].exchange(true)) {
              crashes.push_back(Now());
            }
            return false;
          }
          if (!connection.Write(
                  ResponseHead(request, 200,
                               "Content-Type: text/event-stream\r\n"
                               "Transfer-Encoding: chunked\r\n\r\n"))) {
            return false;
          }
          for (int n = 1; n <= 6; ++n) {
            if (!connection.Write(Chunk("id: " + std::to_string(n) +
                                        "\ndata: words of the answer\n\n"))) {
              return false;
            }
            SleepFor(0.03);
          }
          return connection.Write("0\r\n\r\n");
        }));
  }
  deployment.Configure({{"term-report", "/lohu930/", "streaming", "huvo11a",
                         4000, 600, 400, 2, true}},
                       "huvo11a");
  if (!deployment.StartRouters()) {
    return Outcome::kCouldNotRun;
  }
  std::atomic<bool> ends{false};
  std::atomic<bool> has_trouble{false};
  std::map<std::string, double> sent;
  std::atomic<int> sound_sent{0};
  std::atomic<int> sound_served{0};
  std::thread crasher([&] {
    // A crash ends the process: all its connections are reset, and it is back
    // after some seconds.
    std::map<int, double> back_at;
    while (!ends) {
      for (int i = 0; i < kEngines; ++i) {
        if (has_crashed[static_cast<std::size_t>(i)] && !back_at.contains(i)) {
          engines[static_cast<std::size_t>(i)]->End();
          back_at[i] = Now() + kDownSeconds;
        } else if (back_at.contains(i) && Now() >= back_at[i]) {
          back_at.erase(i);
          has_crashed[static_cast<std::size_t>(i)] = false;
          engines[static_cast<std::size_t>(i)]->StartAgain("v1", 0.1);
        }
      }
      SleepFor(0.002);
    }
  });
  std::vector<std::thread> clients;
  const auto client = [&](int index, bool is_crashing, double per_second) {
    std::mt19937 random(static_cast<unsigned>(index) * 31 + 7);
    std::exponential_distribution<double> pause(per_second);
    Router& router = *deployment.routers()[static_cast<std::size_t>(index) % 3];
    int number = 0;
    for (double next = Now(); !ends; next += pause(random)) {
      while (!ends && Now() < next) {
        SleepFor(std::min(next - Now(), 0.1));
      }
      if (ends || (is_crashing && !has_trouble)) {
        continue;
      }
      Request request;
      request.path = "/lohu930/2f";
      request.id = std::string(is_crashing ? "crash" : "sound") +
                   std::to_string(index) + "-" + std::to_string(++number);
      request.deadline_ms = 4000;
      std::string prompt;
      if (!is_crashing) {
        prompt = Conversation(2, random) + OwnPart(random);
        request.body = "a sound request of client " + std::to_string(index);
      } else if (crashing.is_same_request) {
        prompt = "5c1e07a2:400,91bd3f06:410,e4402b7d:250";
        request.body = kCrashingBody;
      } else {
        prompt = Conversation(crashing.parts_before - 1, random) + "," +
                 kCrashingPart + ":50" + OwnPart(random);
        request.body = "request " + request.id;
      }
      request.headers =
          "Corianderpost-Model: m\r\nCorianderpost-Token-Count: 2000,36\r\n"
          "Corianderpost-Prompt-Prefix: " +
          prompt + "\r\n";
      const double at = Now();
      if (is_crashing) {
        const std::lock_guard lock(mutex);
        sent[request.id] = at;
      }
      Message response;
      const auto connection = Connection::To(router.ip(), kFrontPort);
      const bool is_served = connection && connection->Write(Format(request)) &&
                             connection->ReadResponse(response) &&
                             response.Status() == 200;
      if (!is_crashing) {
        ++sound_sent;
        sound_served += is_served ? 1 : 0;
      }
    }
  };
  for (int i = 0; i < 30; ++i) {
    clients.emplace_back(client, i, false, kSoundPerSecond / 30);
  }
  for (int i = 30; i < 36; ++i) {
    clients.emplace_back(client, i, true, kCrashingPerSecond / 6);
  }
  SleepFor(kCalmSeconds);
  has_trouble = true;
  record.Line("clients now also send the requests that crash replicas");
  SleepFor(kTroubleSeconds);
  ends = true;
  for (std::thread& it : clients) {
    it.join();
  }
  crasher.join();
  const std::lock_guard lock(mutex);
  record.Line(std::to_string(sent.size()) + " such requests were sent, " +
              std::to_string(arrivals.size()) + " reached replicas, " +
              std::to_string(crashes.size()) + " crashes");
  record.Line(std::to_string(sound_sent) + " sound requests were sent, " +
              std::to_string(sound_served) + " answered completely");
  if (crashes.size() < crashing.named_after_crashes) {
    return Outcome::kHeld;
  }
  const double named_at = crashes[crashing.named_after_crashes - 1];
  int late = 0;
  for (const Arrival& it : arrivals) {
    // Routers send at once, and a request is under way for less than 0.05 s.
    if (it.at <= named_at + kContactSeconds + 0.05) {
      continue;
    }
    ++late;
    if (late <= 20) {
      record.Line("  " + it.id + " reached a replica " +
                  std::to_string(it.at - named_at) + " s after crash " +
                  std::to_string(crashing.named_after_crashes));
    }
  }
  record.Line(std::to_string(late) +
              " such requests reached replicas later than contactMs after "
              "crash " +
              std::to_string(crashing.named_after_crashes));
  return late > kMaxLateArrivals ? Outcome::kBroken : Outcome::kHeld;
}

}  // namespace

Outcome PlayCrashAfterEvent(Record& record) {
  const char* const variant = std::getenv("VARIANT");
  const bool writes_event =
      variant == nullptr || std::string(variant) != "before-event";
  return PlayCrashing(record, {.named_after_crashes = 3,
                               .parts_before = 0,
                               .is_same_request = true,
                               .writes_event = writes_event});
}

Outcome PlayDeepPart(Record& record) {
  const char* const variant = std::getenv("VARIANT");
  const bool is_deep =
      variant == nullptr || std::string(variant) != "first-parts";
  return PlayCrashing(record, {.named_after_crashes = 5,
                               .parts_before = is_deep ? 70 : 3,
                               .is_same_request = false,
                               .writes_event = false});
}

}  // namespace review
