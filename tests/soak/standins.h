// Stand-ins for what surrounds the routers in the fault soak: the store, the
// targets, and proxies that inject faults into connections to targets.
//
// All classes are used from one event loop; none is thread-safe.
#ifndef CORIANDERPOST_TESTS_SOAK_STANDINS_H_
#define CORIANDERPOST_TESTS_SOAK_STANDINS_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "corianderpost/clock.h"
#include "peers/store_replica.h"
#include "router/deployment.h"
#include "router/listener.h"

namespace corianderpost::soak {

// A target's begin of the execution of a request.
struct Execution {
  std::string target_address;
  TimePoint began_at;
};

// Number of times that targets executed a request.
struct ExecutionCount {
  int count = 0;
  // In order.
  std::vector<Execution> executions;
};
// By request id, over all targets.
using ExecutionsById = std::map<std::string, ExecutionCount>;

// Base of the HTTP servers among the stand-ins: uses the default limits and
// counts malformed requests.
class StandinHandler : public CallerHandler {
 public:
  void OnCallerDisconnected(CallerConnection& caller) override {
    static_cast<void>(caller);
  }
  void OnOutputFlushed(CallerConnection& caller) override {
    static_cast<void>(caller);
  }
  const CallerLimits& Limits() const override { return limits_; }
  bool IsDraining() const override { return false; }
  void OnBadRequest(int status, const std::string& reason) override {
    static_cast<void>(status);
    static_cast<void>(reason);
    ++bad_requests_;
  }
  int bad_requests() const { return bad_requests_; }

 private:
  CallerLimits limits_;
  int bad_requests_ = 0;
};

// The platform's store. Supports list requests and watch requests.
class Store final : public StandinHandler {
 public:
  Store(boost::asio::io_context& loop, const std::string& address,
        const Deployment& deployment, const Clock& clock);
  // Sets or removes a key, with a new revision.
  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  // While the store is down, requests get 503.
  void SetDown(bool is_down) { is_down_ = is_down; }
  // A copy of the store's contents, and a return to it in a new era.
  struct Copy {
    StoreReplica items;
    std::uint64_t revision = 0;
  };
  Copy MakeCopy() const { return {items_, revision_}; }
  void Restore(const Copy& copy);
  // Number of requests so far.
  std::size_t request_count() const { return request_count_; }
  // Limits the rate of each response; zero means no limit.
  void SetBytesPerSecond(int bytes) { bytes_per_second_ = bytes; }
  // Returns the number of watches of a prefix that wait for a change, and the
  // time since the last one of them began.
  std::size_t WatchCount(const std::string& prefix) const;
  Duration YoungestWatchAge(const std::string& prefix) const;
  void OnRequest(const std::shared_ptr<CallerConnection>& caller,
                 ReceivedRequest request) override;
  void Tick(TimePoint now) { listener_.Tick(now); }

 private:
  struct OpenRequest;
  // Responds to a list request with all items under its prefix, and to a watch
  // with those changed, as soon as there are any or its time is over.
  void Respond(const std::shared_ptr<OpenRequest>& request);
  void Send(const std::shared_ptr<OpenRequest>& request, int status,
            const std::string& body);
  // Writes the rest of a response at the limited rate.
  void Trickle(const std::shared_ptr<CallerConnection>& caller,
               std::string rest);
  boost::asio::io_context& loop_;
  const Deployment& deployment_;
  const Clock& clock_;
  StoreReplica items_;
  std::uint64_t revision_ = 1;
  std::uint64_t era_ = 1;
  std::size_t request_count_ = 0;
  bool is_down_ = false;
  int bytes_per_second_ = 0;
  std::vector<std::weak_ptr<OpenRequest>> watches_;
  Listener listener_;
};

// A target that executes every request and counts its executions. Requests to
// /stream/ get `kEventsPerStream` numbered events, from the one after the
// request's Last-Event-Id; others get the body "ran:" and their request id.
class Target final : public StandinHandler {
 public:
  Target(boost::asio::io_context& loop, const std::string& address,
         const Deployment& deployment, const Clock& clock,
         ExecutionsById& executions);
  void OnRequest(const std::shared_ptr<CallerConnection>& caller,
                 ReceivedRequest request) override;
  void Tick(TimePoint now) { listener_.Tick(now); }
  // Number of the last event of each stream.
  static constexpr int kEventsPerStream = 8;

 private:
  // Sends event `number` and schedules the following ones; ends the stream
  // after the last one or when the caller has disconnected.
  void SendEventsFrom(const std::shared_ptr<CallerConnection>& caller,
                      int number);
  boost::asio::io_context& loop_;
  const Deployment& deployment_;
  const Clock& clock_;
  const std::string address_;
  ExecutionsById& executions_;
  Listener listener_;
};

// kDelay: forwards data after a delay, in both directions.
// kReset: resets the open connections.
// kCutOneWay: drops data from the target to the router.
// kSilence: drops data in both directions.
enum class ProxyFault { kNone, kDelay, kReset, kCutOneWay, kSilence };

// A TCP proxy in front of one target that injects faults. Resets and dropped
// data affect a connection for good, even after the fault has been removed.
class Proxy {
 public:
  Proxy(boost::asio::io_context& loop, const std::string& address,
        std::string target_address);
  // `kReset` acts once, on the connections that are open now. The other faults
  // last until the next call.
  void SetFault(ProxyFault fault);

 private:
  struct ProxiedConnection;
  void Accept();
  // Reads from one side and writes to the other until the connection ends.
  void Forward(const std::shared_ptr<ProxiedConnection>& connection,
               bool to_target);
  boost::asio::io_context& loop_;
  boost::asio::ip::tcp::acceptor acceptor_;
  const std::string target_address_;
  ProxyFault fault_ = ProxyFault::kNone;
  std::vector<std::weak_ptr<ProxiedConnection>> connections_;
};

}  // namespace corianderpost::soak

#endif  // CORIANDERPOST_TESTS_SOAK_STANDINS_H_
