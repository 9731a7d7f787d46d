// A replica leaves without notice just after the routers' connections to the
// store have gone silent: which requests still reach it?
//
// usage: main ROOT FOLDER   (TROUBLE=0 in the environment: no silence)
#include "standins.h"

namespace review {
namespace {

// Bounds of the site file.
constexpr double kContactS = 4.0;
constexpr double kDrainS = 3.0;
constexpr double kBeginAt = 6.0;
constexpr double kSilenceAt = 9.0;
constexpr double kRemovalDelayS = 0.2;
// How much longer than `kDrainS` the replica serves after its removal.
constexpr double kLongerS = 1.0;
constexpr double kEndAt = 16.0;
constexpr double kGapS = 0.04;
constexpr int kWorkMs = 100;
// Allows for the scheduling of the stand-ins' threads.
constexpr double kSlackS = 0.05;
constexpr char kLeaving[] = "i-1";

struct Run {
  std::string request_id;
  std::string replica;
  double at = 0;
};

struct Sent {
  std::string router;
  double at = 0;
  int status = 0;
};

[[noreturn]] void Main(const std::string& root, const std::string& folder) {
  const bool has_trouble = HasTrouble();
  Record record(folder + "/record.txt");
  const Network network = Network::Pick();
  Store store(network.Ip(1), kStorePort);
  Proxy proxy(network.Ip(2), kStorePort, network.Ip(1), kStorePort);
  store.Put(
      "op/config",
      R"({"version":7,"routes":[{"name":"award","host":"desk.example","prefix":"/award/","kind":"non_idempotent","timeoutMs":1000,"latencyTargetMs":400,"priority":2,"service":"ledger","maxAttempts":1,"public":true,"sticky":false,"streamResume":false,"allowedRegions":[]}],"services":[{"name":"ledger","healthPath":"/health","maxConns":96,"protocol":"h1","tls":false,"coldStartS":0.0,"coldPerS":0.0}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})");
  std::mutex mutex;
  std::vector<Run> runs;
  const auto handler = [&](Target& target, const TargetRequest& request, int fd,
                           double at) {
    {
      const std::lock_guard lock(mutex);
      runs.push_back({request.request_id, target.id(), at});
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(kWorkMs));
    return WriteAll(fd, FormatResponse(200, Target::Signature(request), "ok"));
  };
  std::vector<std::unique_ptr<Target>> targets;
  for (int i = 0; i < kRouters; ++i) {
    targets.push_back(std::make_unique<Target>(
        store, "i-" + std::to_string(i + 1),
        Target::Options{"ledger", Fleet::Zone(i), network.Ip(31 + i),
                        kTargetPort},
        handler));
  }
  Fleet fleet(root, network, network.Ip(2) + ":" + std::to_string(kStorePort));
  if (!fleet.AwaitReady(kBeginAt)) {
    record.Line("a router is not ready");
    fleet.End(2);
  }
  record.Line("all routers are ready");
  std::map<std::string, Sent> sent;
  std::vector<std::thread> calls;
  std::thread callers([&] {
    int n = 0;
    for (double at = kBeginAt; at < kEndAt; at += kGapS / kRouters) {
      SleepUntil(at);
      const std::string ip = fleet.router(n++ % kRouters).ip();
      calls.emplace_back([&, ip] {
        const std::string id = NewRequestId();
        const CallResult result = Call(
            ip,
            RequestText("POST", "/award/1", "desk.example", id, 2000, "", "b"),
            3);
        const std::lock_guard lock(mutex);
        sent[id] = {ip, result.sent_at, result.status};
      });
    }
  });
  SleepUntil(kSilenceAt);
  // The routers pause between two watches of the list of targets; this is most
  // of the time.
  while (store.WaitingTargetWatches() > 0) {
    if (Now() > kSilenceAt + 2) {
      record.Line("the routers' watches never pause together");
      fleet.End(2);
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  const double silence_at = Now();
  if (has_trouble) {
    record.Line("all " + std::to_string(proxy.Silence()) +
                " open connections between routers and store go silent");
  }
  SleepUntil(silence_at + kRemovalDelayS);
  targets[0]->RemoveEntry();
  const double removed_at = Now();
  record.Line("the store acknowledges the removal of i-1, which serves on");
  SleepUntil(removed_at + kDrainS + kLongerS);
  targets[0]->Exit();
  record.Line("i-1 ends");
  callers.join();
  for (std::thread& it : calls) {
    it.join();
  }
  const std::lock_guard lock(mutex);
  // A request counts if its router was in touch when it was sent, and the
  // bound had passed.
  const double counted_from =
      std::max(removed_at + kDrainS,
               has_trouble ? silence_at + kContactS : 0.0) +
      kSlackS;
  int late = 0;
  int lost = 0;
  int served = 0;
  for (const Run& it : runs) {
    const Sent& request = sent[it.request_id];
    const bool is_late = it.replica == kLeaving && request.at > counted_from;
    const bool is_lost = is_late && request.status != 200;
    late += is_late ? 1 : 0;
    lost += is_lost ? 1 : 0;
    char line[200];
    snprintf(line, sizeof(line),
             "run %s at %s at %.3f, sent to %s at %.3f, answered %d%s%s",
             it.request_id.c_str(), it.replica.c_str(), it.at,
             request.router.c_str(), request.at, request.status,
             is_late ? "  <- later than drainMs, router in touch" : "",
             is_lost ? ", lost" : "");
    record.Line(line);
  }
  for (const auto& [id, it] : sent) {
    served += it.status == 200 ? 1 : 0;
  }
  char line[200];
  snprintf(line, sizeof(line),
           "sent %zu, served %d; removed at %.3f, counted from %.3f: %d "
           "requests reached i-1 later than drainMs, %d of them were lost",
           sent.size(), served, removed_at, counted_from, late, lost);
  record.Line(line);
  if (served < static_cast<int>(sent.size()) / 2) {
    fleet.End(2);
  }
  fleet.End(late > 0 ? 1 : 0);
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc != 3) {
    return 2;
  }
  review::Main(argv[1], argv[2]);
}
