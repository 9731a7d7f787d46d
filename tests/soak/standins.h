// The outside of the fleet in the soak: store, targets and a fault proxy.
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

// Runs of one request, as targets saw them.
struct ExecutionCount {
  int count = 0;
};
using ExecutionsById = std::map<std::string, ExecutionCount>;

// A handler with the limits that stand-ins need.
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

// The platform's store, which answers lists and watches.
class Store final : public StandinHandler {
 public:
  Store(boost::asio::io_context& loop, const std::string& address,
        const Deployment& deployment, const Clock& clock);
  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  // While down, calls get 503.
  void SetDown(bool is_down) { is_down_ = is_down; }
  void OnRequest(const std::shared_ptr<CallerConnection>& caller,
                 ReceivedRequest request) override;
  void Tick(TimePoint now) { listener_.Tick(now); }

 private:
  void Respond(const std::shared_ptr<CallerConnection>& caller,
               const std::string& prefix, std::uint64_t after, bool is_watch,
               int remaining_polls);
  boost::asio::io_context& loop_;
  const Deployment& deployment_;
  StoreReplica items_;
  std::uint64_t revision_ = 1;
  bool is_down_ = false;
  Listener listener_;
};

// A target that runs what it gets and remembers it.
class Target final : public StandinHandler {
 public:
  Target(boost::asio::io_context& loop, const std::string& address,
         const Deployment& deployment, const Clock& clock,
         ExecutionsById& executions);
  void OnRequest(const std::shared_ptr<CallerConnection>& caller,
                 ReceivedRequest request) override;
  void Tick(TimePoint now) { listener_.Tick(now); }
  // Events of each stream.
  static constexpr int kEventsPerStream = 8;

 private:
  void SendEventsFrom(const std::shared_ptr<CallerConnection>& caller,
                      int number);
  boost::asio::io_context& loop_;
  const Deployment& deployment_;
  ExecutionsById& executions_;
  Listener listener_;
};

enum class ProxyFault { kNone, kDelay, kReset, kCutOneWay, kSilence };

// Passes connections on to a target, with faults.
class Proxy {
 public:
  Proxy(boost::asio::io_context& loop, const std::string& address,
        std::string target_address);
  // `kReset` resets the open connections once; the others last until changed.
  void SetFault(ProxyFault fault);

 private:
  struct ProxiedConnection;
  void Accept();
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
