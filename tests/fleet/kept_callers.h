// Callers of an `EngineFleet` that keep their connections.
#ifndef CORIANDERPOST_TESTS_FLEET_KEPT_CALLERS_H_
#define CORIANDERPOST_TESTS_FLEET_KEPT_CALLERS_H_

#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "fleet/engine_fleet.h"

namespace corianderpost::soak {

// One request on a kept connection and what became of it.
struct KeptCall {
  std::size_t router = 0;
  std::string request_id = {};
  std::string path = {};
  TimePoint sent_at = {};
  // Zero until the response's head has arrived.
  int status = 0;
  // The response has arrived completely.
  bool is_complete = false;
  // The router closed the connection before that.
  bool was_cut = false;
  // When the response was complete or the connection was closed.
  TimePoint ended_at = {};
};

// Each caller sends a request, waits for its response, pauses for a random time
// and sends the next one on the same connection, unless that has been idle for
// four fifths of the idle timeout or the router has closed it; a new connection
// goes to a random router. Without a maximum pause, the next request follows in
// the turn of the event loop in which the response ends. Not thread-safe.
class KeptCallers {
 public:
  // `paths` are the path prefixes of the requests.
  KeptCallers(EngineFleet& fleet, std::vector<std::string> customers,
              std::vector<std::string> paths, int callers, Duration max_pause,
              std::uint64_t seed);
  ~KeptCallers();
  // Sends the requests that are due.
  void operator()(TimePoint now);
  // Sends no further requests.
  void Stop() { is_stopped_ = true; }
  // Applies to connections from their next response on.
  void SetIdleTimeout(Duration timeout) { idle_timeout_ = timeout; }

  const std::vector<std::shared_ptr<const KeptCall>>& calls() const {
    return calls_;
  }
  // Number of calls that are neither complete nor cut.
  std::size_t OpenCount() const;
  // Number of connections that a router closed, unannounced, while the caller
  // could still have used them.
  int early_closes() const { return early_closes_; }

 private:
  struct Caller;
  void Connect(const std::shared_ptr<Caller>& caller);
  void Send(const std::shared_ptr<Caller>& caller);
  void Read(const std::shared_ptr<Caller>& caller);
  void HandleInput(const std::shared_ptr<Caller>& caller, std::size_t n);
  void HandleEnd(const std::shared_ptr<Caller>& caller);
  void ScheduleNext(const std::shared_ptr<Caller>& caller);

  EngineFleet& fleet_;
  const std::vector<std::string> customers_;
  const std::vector<std::string> paths_;
  const Duration max_pause_;
  std::mt19937_64 random_;
  bool is_stopped_ = false;
  Duration idle_timeout_ = CallerLimits().idle_timeout;
  std::vector<std::shared_ptr<Caller>> callers_;
  std::vector<std::shared_ptr<const KeptCall>> calls_;
  int early_closes_ = 0;
};

}  // namespace corianderpost::soak

#endif  // CORIANDERPOST_TESTS_FLEET_KEPT_CALLERS_H_
