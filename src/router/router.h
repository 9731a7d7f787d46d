// One router process: its sockets, timers and event loop.
#ifndef CORIANDERPOST_ROUTER_ROUTER_H_
#define CORIANDERPOST_ROUTER_ROUTER_H_

#include <memory>
#include <string>

#include "router/deployment.h"
#include "router/settings.h"

namespace corianderpost {

// Runs on the thread that calls `Run`; not thread-safe.
class Router {
 public:
  // `settings` were read from `settings_text`, the content of the file at
  // `settings_path`, which is checked for changes every second and on SIGHUP.
  // Throws std::runtime_error if an address can't be bound;
  // AddressUnavailableError if that may pass. `deployment` must outlive the
  // router.
  Router(const RouterSettings& settings, std::string settings_path,
         std::string settings_text, const Deployment& deployment);
  ~Router();

  // Runs until the router has drained after SIGTERM or SIGINT: open requests
  // have ended, or were aborted just before the end of the grace period.
  // Unblocks the signals when it handles them.
  void Run();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace corianderpost

#endif  // CORIANDERPOST_ROUTER_ROUTER_H_
