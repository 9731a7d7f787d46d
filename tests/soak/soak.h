// One run of the fault soak.
#ifndef CORIANDERPOST_TESTS_SOAK_SOAK_H_
#define CORIANDERPOST_TESTS_SOAK_SOAK_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "platform/platform_deployment.h"
#include "soak/call.h"
#include "soak/impairments.h"
#include "soak/kept_caller.h"
#include "soak/router_process.h"
#include "soak/standins.h"

namespace corianderpost::soak {

inline constexpr char kValidApiKey[] = "key-that-stays";
inline constexpr char kRevokedApiKey[] = "key-that-goes";
inline constexpr int kTargetCount = 4;

// One run with its stand-ins, router processes and callers. Not thread-safe.
class Soak {
 public:
  Soak(const LoopbackNetwork& network, const std::string& program,
       const std::string& folder, std::uint64_t seed, int routers,
       int calls_per_second);
  // Runs for `duration`, then until all open calls have finished. Returns a
  // description of each violation.
  std::vector<std::string> Run(Duration duration);
  std::string Summary() const;

 private:
  void PublishConfiguration(bool includes_revoked_key);
  void PublishTargets();
  // Returns the number of the target at `address`.
  std::optional<std::size_t> TargetIndex(const std::string& address) const;
  // Draws a request to `router`.
  Call MakeCall(std::size_t router);
  void SendCall();
  void StartKeptCallers();
  void FinishCall(Call call);
  void CheckExecutions(const Call& call);
  // Checks a call whose connection ended without a complete response.
  void CheckLoss(const Call& call);
  // Checks what is known at the end of the run.
  void CheckWholeRun();
  void CheckStream(const Call& call, const std::string& body);
  // Draw a fault or planned work and apply it.
  void InjectFault();
  void InjectPlannedWork();
  void Stop(std::size_t router);
  void Reload(std::size_t router);
  void ChangeConfiguration();
  void LetTargetLeave(Duration duration);
  void StartRouter(std::size_t router);
  // Starts exited routers again, as the platform does.
  void RestartExitedRouters(TimePoint now);
  // Calls `undo` after `delay`, or at the end of the fault period if that comes
  // first. Replaces an undo of the same fault of the same subject, whose time
  // holds if it is later.
  void ScheduleUndo(const std::string& fault, Duration delay,
                    std::function<void()> undo);
  void RunUndos(TimePoint now, bool runs_all);
  void RecordViolation(const Call& call, const std::string& what);
  TimePoint Now() const { return clock_.Now(); }

  const LoopbackNetwork network_;
  boost::asio::io_context loop_;
  SystemClock clock_;
  platform::PlatformDeployment deployment_;
  std::mt19937_64 random_;
  const int calls_per_second_;
  Store store_;
  ExecutionsById executions_;
  std::vector<std::unique_ptr<Target>> targets_;
  std::vector<std::unique_ptr<Proxy>> proxies_;
  std::vector<std::unique_ptr<RouterProcess>> routers_;
  std::vector<std::shared_ptr<KeptCaller>> kept_callers_;
  // By fault and subject.
  std::map<std::string, std::pair<TimePoint, std::function<void()>>>
      pending_undos_;
  std::vector<std::optional<TimePoint>> restarts_;
  // Signals that a router gets at times after its next start.
  std::vector<std::vector<std::pair<Duration, int>>> signals_after_start_;
  Impairments impairments_;
  int excused_losses_ = 0;
  int planned_losses_ = 0;
  std::vector<std::string> unplanned_losses_;
  int crossed_calls_ = 0;
  std::map<int, int> response_counts_;
  std::vector<Call> rejected_calls_;
  std::vector<std::string> violations_;
  std::map<std::string, int> fault_counts_;
  std::set<int> draining_targets_;
  std::uint64_t configuration_version_ = 0;
  std::uint64_t target_list_sequence_ = 0;
  std::uint64_t call_count_ = 0;
  int open_calls_ = 0;
  int served_calls_ = 0;
  TimePoint start_;
  std::optional<TimePoint> revoked_at_;
  TimePoint recovery_check_start_ = TimePoint::max();
  int recovery_calls_ = 0;
  int recovery_served_calls_ = 0;
};

}  // namespace corianderpost::soak

#endif  // CORIANDERPOST_TESTS_SOAK_SOAK_H_
