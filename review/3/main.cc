// A body that holds the text of another request, sent with a transfer coding
// that does not end in "chunked".
//
// usage: main ROOT FOLDER   (TROUBLE=0 in the environment: the same body with a
// length)
#include <sys/socket.h>
#include <unistd.h>

#include <cstdlib>

#include "standins.h"

namespace review {
namespace {

constexpr double kBeginAt = 6.0;
constexpr int kRequests = 5;

[[noreturn]] void Main(const std::string& root, const std::string& folder) {
  const bool has_trouble = HasTrouble();
  Record record(folder + "/record.txt");
  const Network network = Network::Pick();
  Store store(network.Ip(1), kStorePort);
  store.Put(
      "op/config",
      R"({"version":7,"routes":[{"name":"award","host":"desk.example","prefix":"/award/","kind":"non_idempotent","timeoutMs":2000,"latencyTargetMs":200,"priority":2,"service":"ledger","maxAttempts":1,"public":false,"sticky":false,"streamResume":false,"allowedRegions":[]}],"services":[{"name":"ledger","healthPath":"/health","maxConns":96,"protocol":"h1","tls":false,"coldStartS":0.0,"coldPerS":0.0}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"club-1","apiKeys":["key-1"],"priority":1,"allowedRegions":[]}]})");
  struct Run {
    std::string request_id;
    std::string path;
    std::string body;
  };
  std::mutex mutex;
  std::vector<Run> runs;
  const auto handler = [&](Target&, const TargetRequest& request, int fd,
                           double) {
    {
      const std::lock_guard lock(mutex);
      runs.push_back({request.request_id, request.path, request.body});
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(15));
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
  Fleet fleet(root, network, network.Ip(1) + ":" + std::to_string(kStorePort));
  if (!fleet.AwaitReady(kBeginAt)) {
    record.Line("a router is not ready");
    fleet.End(2);
  }
  record.Line("all routers are ready");
  std::map<std::string, std::string> body_by_id;
  for (int i = 0; i < kRequests; ++i) {
    const std::string id = NewRequestId();
    const std::string inner = RequestText(
        "POST", "/award/smuggled", "desk.example", "smuggled-" + id, 1500,
        "Authorization: Bearer key-1\r\nContent-Length: 0\r\n", "");
    body_by_id[id] = inner;
    const std::string coding =
        has_trouble
            ? "Transfer-Encoding: identity\r\n"
            : "Content-Length: " + std::to_string(inner.size()) + "\r\n";
    const int fd = ConnectTo(fleet.router(i % kRouters).ip(), kFrontPort);
    const timeval timeout{1, 0};
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    WriteAll(fd, RequestText("POST", "/award/child-" + std::to_string(i),
                             "desk.example", id, 1500,
                             "Authorization: Bearer key-1\r\n" + coding, "") +
                     inner);
    std::string buffer;
    Message response;
    std::string answers;
    while (ReadMessage(fd, buffer, response)) {
      answers += " " + std::to_string(response.Status()) + " (id " +
                 response.Header("corianderpost-request-id") + ")";
    }
    close(fd);
    record.Line(
        "request " + id + " with " + std::to_string(inner.size()) +
        " bytes of body, answers:" + (answers.empty() ? " none" : answers));
  }
  const std::lock_guard lock(mutex);
  int smuggled = 0;
  int changed = 0;
  for (const Run& it : runs) {
    const auto sent = body_by_id.find(it.request_id);
    const bool is_smuggled = sent == body_by_id.end();
    const bool is_changed = !is_smuggled && sent->second != it.body;
    smuggled += is_smuggled ? 1 : 0;
    changed += is_changed ? 1 : 0;
    record.Line("run " + it.request_id + " " + it.path + ", body of " +
                std::to_string(it.body.size()) + " bytes" +
                (is_smuggled ? "  <- smuggled" : "") +
                (is_changed ? "  <- another body" : ""));
  }
  record.Line("sent " + std::to_string(kRequests) + " requests; " +
              std::to_string(runs.size()) + " ran, " +
              std::to_string(smuggled) + " of them smuggled, " +
              std::to_string(changed) + " with another body");
  if (!has_trouble && runs.size() != kRequests) {
    fleet.End(2);
  }
  fleet.End(smuggled + changed > 0 ? 1 : 0);
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc != 3) {
    return 2;
  }
  review::Main(argv[1], argv[2]);
}
