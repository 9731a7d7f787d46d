// Requests that crash each replica that begins to write an answer on them.
#include <atomic>
#include <random>

#include "scenarios.h"

namespace review {
namespace {

constexpr double kContactSeconds = 4;
constexpr double kDownSeconds = 4;
constexpr int kEngines = 18;
constexpr int kSoundClients = 60;
constexpr double kSoundPerSecond = 60;
constexpr int kCrashingClients = 18;
// A twentieth of the term-reports of the site.
constexpr double kCrashingPerSecond = 9;
constexpr double kCalmSeconds = 8;
constexpr double kTroubleSeconds = 30;
constexpr std::size_t kNamedAfterCrashes = 5;
constexpr int kMaxLateArrivals = 3;
constexpr int kMinCounted = 20;
constexpr int kEvents = 6;
constexpr char kFirstPart[] = "5c1e07a2:400";
constexpr char kCrashingPart[] = "dead0001";

// What crashes replicas.
struct Crashing {
  // Parts of the prompt before the one that crashes replicas.
  int parts_before = 0;
  // A replica crashes after the first event of its answer, else before it.
  bool writes_event = false;
};

struct Arrival {
  double at = 0;
  std::string id;
};

// A sound request. It begins when its client gets the first event.
struct Sound {
  double sent_at = 0;
  bool has_begun = false;
  bool is_complete = false;
};

// The shared first part, and one part for each turn of a conversation.
std::string Conversation(int turns, std::mt19937& random) {
  std::string prompt = kFirstPart;
  for (int i = 0; i < turns; ++i) {
    char part[32];
    std::snprintf(part, sizeof(part), ",%08x:20",
                  static_cast<unsigned>(random()));
    prompt += part;
  }
  return prompt;
}

// Returns the share that begins of the requests sent between the times.
double ShareThatBegins(Record& record, const std::vector<Sound>& sound,
                       double from, double to, const std::string& name,
                       int& count) {
  count = 0;
  int begun = 0;
  int complete = 0;
  for (const Sound& it : sound) {
    if (it.sent_at >= from && it.sent_at < to) {
      ++count;
      begun += it.has_begun ? 1 : 0;
      complete += it.is_complete ? 1 : 0;
    }
  }
  record.Line("of " + std::to_string(count) + " sound requests " + name + " " +
              std::to_string(begun) + " began, " + std::to_string(complete) +
              " were answered completely");
  return count == 0 ? 0 : static_cast<double>(begun) / count;
}

Outcome PlayCrashing(Record& record, const Crashing& crashing) {
  Deployment deployment({10, 11, 12}, {"colombo", "kandy", "negombo"});
  std::mutex mutex;
  std::vector<Arrival> arrivals;
  std::vector<double> crashes;
  std::vector<Sound> sound;
  int crashing_sent = 0;
  std::vector<Replica*> engines;
  std::vector<std::atomic<bool>> has_crashed(kEngines);
  const char* const zones[] = {"colombo", "kandy", "negombo"};
  for (int i = 0; i < kEngines; ++i) {
    engines.push_back(&deployment.AddReplica(
        "i-engine" + std::to_string(i), "huvo11a", zones[i % 3], 128,
        [&, i](Connection& connection, const Message& request) {
          const bool is_crashing =
              request.Header("corianderpost-prompt-prefix")
                  .find(kCrashingPart) != std::string::npos;
          record.Detail("ran " + request.Header("corianderpost-request-id") +
                        " at i-engine" + std::to_string(i));
          if (is_crashing) {
            const std::lock_guard lock(mutex);
            arrivals.push_back(
                {Now(), request.Header("corianderpost-request-id")});
          }
          SleepFor(0.04);
          const bool crashes_it = is_crashing && HasTrouble();
          const std::string head =
              ResponseHead(request, 200,
                           "Content-Type: text/event-stream\r\n"
                           "Transfer-Encoding: chunked\r\n\r\n");
          if (crashes_it) {
            if (crashing.writes_event) {
              connection.Write(head +
                               Chunk("id: 1\ndata: words of the answer\n\n"));
              SleepFor(0.005);
            }
            const std::lock_guard lock(mutex);
            if (!has_crashed[static_cast<std::size_t>(i)].exchange(true)) {
              crashes.push_back(Now());
            }
            return false;
          }
          if (!connection.Write(head)) {
            return false;
          }
          for (int n = 1; n <= kEvents; ++n) {
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
  std::thread crasher([&] {
    // A crash ends the process: its connections and its port are closed, and it
    // is back after some seconds.
    std::map<int, double> back_at;
    while (!ends) {
      for (int i = 0; i < kEngines; ++i) {
        std::atomic<bool>& has_ended = has_crashed[static_cast<std::size_t>(i)];
        Replica& engine = *engines[static_cast<std::size_t>(i)];
        if (has_ended && !back_at.contains(i)) {
          engine.End();
          back_at[i] = Now() + kDownSeconds;
        } else if (back_at.contains(i) && Now() >= back_at[i]) {
          back_at.erase(i);
          has_ended = false;
          engine.StartAgain("v1", 0.1);
        }
      }
      SleepFor(0.002);
    }
  });
  const auto client = [&](int index, bool is_crashing, double per_second) {
    std::mt19937 random(static_cast<unsigned>(index) * 31 + 7);
    std::exponential_distribution<double> pause(per_second);
    Router& router = *deployment.routers()[static_cast<std::size_t>(index) % 3];
    int number = 0;
    for (double next = Now() + pause(random); !ends; next += pause(random)) {
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
      request.body = "request " + request.id;
      request.deadline_ms = 4000;
      std::string prompt;
      if (is_crashing) {
        prompt = Conversation(crashing.parts_before - 1, random) + "," +
                 kCrashingPart + ":50";
      } else {
        prompt = Conversation(2, random);
      }
      char own_part[32];
      std::snprintf(own_part, sizeof(own_part), ",%08x:100",
                    static_cast<unsigned>(random()));
      request.headers =
          "Corianderpost-Model: m\r\nCorianderpost-Token-Count: 2000,36\r\n"
          "Corianderpost-Prompt-Prefix: " +
          prompt + own_part + "\r\n";
      Sound result;
      result.sent_at = Now();
      int status = 0;
      record.Detail("sent " + request.id);
      if (const auto connection = Connection::To(router.ip(), kFrontPort)) {
        connection->SetTimeout(5);
        Message head;
        if (connection->Write(Format(request)) &&
            connection->ReadResponseHead(head)) {
          status = head.Status();
          std::string part;
          while (connection->ReadBodyPart(head, part, result.is_complete)) {
            result.has_begun = status == 200;
          }
        }
      }
      record.Detail("answered " + request.id + " " + std::to_string(status) +
                    (result.is_complete ? ", complete" : ", broken off"));
      result.is_complete = result.is_complete && status == 200;
      const std::lock_guard lock(mutex);
      if (is_crashing) {
        ++crashing_sent;
      } else {
        sound.push_back(result);
      }
    }
  };
  const double began_at = Now();
  std::vector<std::thread> clients;
  for (int i = 0; i < kSoundClients; ++i) {
    clients.emplace_back(client, i, false, kSoundPerSecond / kSoundClients);
  }
  for (int i = 0; i < kCrashingClients; ++i) {
    clients.emplace_back(client, kSoundClients + i, true,
                         kCrashingPerSecond / kCrashingClients);
  }
  SleepFor(kCalmSeconds);
  has_trouble = true;
  const double trouble_at = Now();
  record.Line("clients now also send the requests that crash replicas");
  SleepFor(kTroubleSeconds);
  const double ended_at = Now();
  ends = true;
  for (std::thread& it : clients) {
    it.join();
  }
  crasher.join();
  const std::lock_guard lock(mutex);
  record.Line(std::to_string(crashing_sent) + " such requests were sent, " +
              std::to_string(arrivals.size()) + " reached replicas, " +
              std::to_string(crashes.size()) + " crashes");
  int calm_count = 0;
  const double calm_share = ShareThatBegins(record, sound, began_at, trouble_at,
                                            "in calm", calm_count);
  if (crashes.empty()) {
    int count = 0;
    ShareThatBegins(record, sound, trouble_at, ended_at, "beside the others",
                    count);
    return Outcome::kHeld;
  }
  // "The fifth crash (the last, if there are fewer)."
  const double named_at =
      crashes[std::min(crashes.size(), kNamedAfterCrashes) - 1];
  int late_count = 0;
  const double late_share =
      ShareThatBegins(record, sound, named_at + 2 * kContactSeconds, ended_at,
                      "from 2 x contactMs after the fifth crash", late_count);
  const bool is_lost = calm_count >= kMinCounted && late_count >= kMinCounted &&
                       late_share < 0.5 * calm_share;
  int late = 0;
  if (crashes.size() >= kNamedAfterCrashes) {
    for (const Arrival& it : arrivals) {
      // Routers send at once, and a request is under way for less than 0.05 s.
      if (it.at > named_at + kContactSeconds + 0.05) {
        ++late;
        if (late <= 10) {
          record.Line("  " + it.id + " reached a replica " +
                      std::to_string(it.at - named_at) +
                      " s after the fifth crash");
        }
      }
    }
  }
  record.Line(std::to_string(late) +
              " such requests reached replicas later than contactMs after the "
              "fifth crash");
  record.Line(std::string("LOST ") + (is_lost ? "broken" : "held") +
              ", BUDGET " + (late > kMaxLateArrivals ? "broken" : "held"));
  return is_lost ? Outcome::kBroken : Outcome::kHeld;
}

}  // namespace

Outcome PlayCrashAfterEvent(Record& record) {
  const char* const variant = std::getenv("VARIANT");
  const bool writes_event =
      variant == nullptr || std::string(variant) != "before-event";
  return PlayCrashing(record,
                      {.parts_before = 3, .writes_event = writes_event});
}

Outcome PlayDeepPart(Record& record) {
  const char* const variant = std::getenv("VARIANT");
  const bool is_deep =
      variant == nullptr || std::string(variant) != "first-parts";
  return PlayCrashing(
      record, {.parts_before = is_deep ? 70 : 3, .writes_event = false});
}

}  // namespace review
