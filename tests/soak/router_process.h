// Router processes on loopback addresses, for tests of a whole fleet.
#ifndef CORIANDERPOST_TESTS_SOAK_ROUTER_PROCESS_H_
#define CORIANDERPOST_TESTS_SOAK_ROUTER_PROCESS_H_

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

#include "corianderpost/clock.h"

namespace corianderpost::soak {

inline constexpr int kCallersPort = 19100;
inline constexpr int kReadinessPort = 19101;
inline constexpr int kControlPort = 19102;
inline constexpr int kPeerPort = 19103;
inline constexpr int kStorePort = 19104;
inline constexpr int kTargetPort = 19200;
inline constexpr int kProxyPort = 19300;
inline constexpr Duration kGracePeriod = std::chrono::seconds(4);

// The loopback addresses of one run. Runs with different networks do not
// collide and can run concurrently. The store, the targets and the proxies use
// host 1, router N uses host 10 + N.
struct LoopbackNetwork {
  // Third octet of the addresses.
  int number = 0;
  // Returns the address 127.0.<number>.<host>.
  std::string Ip(int host) const;
  std::string Address(int host, int port) const;
};

// How a process ended: with an exit code, or by a signal.
struct ProcessEnd {
  int exit_code = 0;
  // Zero if no signal ended the process.
  int signal = 0;
  // Whether SIGTERM was sent to the process before.
  bool was_requested = false;

  bool is_failure() const {
    return !was_requested || exit_code != 0 || signal != 0;
  }
  friend bool operator==(const ProcessEnd&, const ProcessEnd&) = default;
};
std::string ToString(const ProcessEnd& end);

// A router in a process of its own, signalled only by its process id. The
// destructor kills the process. Not thread-safe.
class RouterProcess {
 public:
  // Writes the settings file router-<index>.yaml to `folder`. `zone` is "a", in
  // the region "west", or "b", in the region "east".
  RouterProcess(const LoopbackNetwork& network, std::string program,
                const std::string& folder, int index, std::string zone = "a");
  ~RouterProcess() { Kill(); }
  RouterProcess(const RouterProcess&) = delete;
  RouterProcess& operator=(const RouterProcess&) = delete;

  // Memory of the VM that the settings state.
  static constexpr std::size_t kMemoryBytes = std::size_t{110} << 20;

  // Call before `Start`, as the following ones.
  void SetGracePeriod(std::chrono::seconds grace_period);
  // Sets the memory and the file descriptors that the settings state.
  void SetResources(int memory_mb, int max_descriptors);
  // Starts the process, which appends its log to router-<index>.jsonl. Throws
  // std::runtime_error if it cannot be started.
  void Start();
  void Signal(int signal);
  // Sends SIGTERM. The grace period counts from the first call.
  void Stop(TimePoint now);
  // Returns true, once per stop, if the process still runs after its grace
  // period. Always false if the process was paused at any time since its start,
  // as SIGSTOP delays the handling of SIGTERM.
  bool HasExceededGracePeriod(TimePoint now);
  void Kill();
  // Returns whether no process is running; reaps the process if it has exited.
  bool HasExited();
  // How the processes ended that `HasExited` has reaped, in order. Processes
  // ended by `Kill` are not among them.
  const std::vector<ProcessEnd>& ends() const { return ends_; }
  // Resident memory in bytes; zero if no process is running.
  std::size_t ResidentBytes() const;
  // Bytes that TCP sockets of the router's addresses have received and the
  // router has not read.
  std::size_t UnreadBytes() const;
  // Open file descriptors; zero if no process is running.
  std::size_t Descriptors() const;
  // Zero if no process is running.
  pid_t pid() const { return pid_; }
  std::string address() const { return network_.Address(host_, kCallersPort); }
  std::string readiness_address() const {
    return network_.Address(host_, kReadinessPort);
  }
  std::string control_address() const {
    return network_.Address(host_, kControlPort);
  }
  std::string peer_address() const {
    return network_.Address(host_, kPeerPort);
  }

 private:
  void WriteSettings() const;
  const LoopbackNetwork network_;
  const std::string program_;
  const std::string settings_path_;
  const std::string log_path_;
  const int host_;
  const std::string zone_;
  Duration grace_period_ = kGracePeriod;
  int memory_mb_ = kMemoryBytes >> 20;
  int max_descriptors_ = 4100;
  pid_t pid_ = 0;
  bool was_paused_ = false;
  bool was_stopped_ = false;
  std::optional<TimePoint> sigterm_sent_at_;
  std::vector<ProcessEnd> ends_;
};

}  // namespace corianderpost::soak

#endif  // CORIANDERPOST_TESTS_SOAK_ROUTER_PROCESS_H_
