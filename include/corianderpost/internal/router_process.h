// A whole router: the core, its tasks, and the HTTP front towards callers.
#ifndef CORIANDERPOST_INTERNAL_ROUTER_PROCESS_H_
#define CORIANDERPOST_INTERNAL_ROUTER_PROCESS_H_

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "corianderpost/checked_yaml.h"
#include "corianderpost/internal/caller_exchange.h"
#include "corianderpost/internal/core_task.h"
#include "corianderpost/internal/metrics.h"
#include "corianderpost/internal/peer_socket.h"
#include "corianderpost/internal/platform_tasks.h"
#include "corianderpost/internal/rpc.h"

namespace corianderpost::internal {

struct RouterSettings {
  std::string vm;
  std::string zone;
  HostPort listen;
  HostPort peer_listen;
  int admin_port = 0;
  HostPort configuration;
  HostPort vm_list;
  std::string log_file;
  int caller_threads = 512;
  std::size_t max_body_bytes = 4'000'000;

  // Throws YamlError at the first fault.
  static RouterSettings FromYaml(const CheckedYaml& yaml);
};

class RouterProcess final : public ActionSink, public ExchangeHost {
 public:
  // Throws std::runtime_error if a port can't be had.
  explicit RouterProcess(const RouterSettings& settings);
  ~RouterProcess() override;

  // Serves callers until `Drain` has let all requests finish.
  void Run();
  // Becomes unready, finishes what is open, then ends `Run`. Thread-safe.
  void Drain();

 private:
  // ActionSink, on the core's thread.
  void Perform(const Action& action) override;
  void Do(const Dispatch& it);
  void Do(const Refuse& it) { Tell(it.request, it); }
  void Do(const Complete& it) { Tell(it.request, it); }
  void Do(const Replay& it);
  void Do(const ForgetAnswer& it);
  void Do(const CancelAttempt& it);
  void Do(const ForwardToHome& it);
  void Do(const SendToPeer& it);
  void Do(const PullBundle& it);
  void Do(const PullVmList& it);
  void Do(const ReadConfiguration& it);
  void Do(const PollLoad& it);

  // ExchangeHost, on callers' threads.
  void Post(Event event) override { core_->Post(std::move(event)); }
  void Store(RequestId request, StoredAnswer answer) override;
  void Count(const std::string& name, const std::string& labels) override;
  void Observe(const std::string& name, Duration value) override;

  void InstallHandlers();
  void ServeModel(const httplib::Request& req, httplib::Response& res);
  void ServePlain(const httplib::Request& req, httplib::Response& res);
  void ServeBundle(httplib::Response& res);
  void ServeVmList(httplib::Response& res);
  void ServeHealth(httplib::Response& res);
  void ServeExchange(ExchangeRequest request, const httplib::Request& req,
                     httplib::Response& res);
  struct Caller {
    std::shared_ptr<const Bundle> bundle;
    // Points into the bundle.
    const Customer* customer = nullptr;
  };
  // Finds the caller's customer; answers the request if there is none.
  std::optional<Caller> Authenticate(const httplib::Request& req,
                                     httplib::Response& res);
  std::string AnswerRpc(const std::string& method,
                        const std::string& parameters);
  // Returns false if the request is gone.
  bool Tell(RequestId request, ExchangeMessage message);
  std::optional<HostPort> AddressOf(VmId vm) const;
  void RefreshGauges();

  const RouterSettings settings_;
  SystemClock clock_;
  Metrics metrics_;
  httplib::Server server_;
  std::atomic<RequestId> next_request_{1};
  std::atomic<bool> is_draining_{false};

  std::mutex exchanges_mutex_;
  std::map<RequestId, std::shared_ptr<CallerExchange>> exchanges_;
  std::map<AttemptId, RequestId> request_of_attempt_;
  std::mutex answers_mutex_;
  std::map<RequestId, std::shared_ptr<const StoredAnswer>> answers_;

  std::unique_ptr<PeerSocket> peers_;
  std::unique_ptr<ConfigurationTask> configuration_;
  std::unique_ptr<PeerPullTask> pulls_;
  std::unique_ptr<VmListTask> vm_list_;
  std::unique_ptr<LoadTask> loads_;
  std::unique_ptr<CoreTask> core_;
  std::unique_ptr<RpcServer> rpc_;
  std::thread drainer_;
};

}  // namespace corianderpost::internal

#endif  // CORIANDERPOST_INTERNAL_ROUTER_PROCESS_H_
