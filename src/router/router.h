// One router process: sockets, timers and what they drive.
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
  // `settings_path` is read again when it changes. Throws std::runtime_error if
  // an address can't be bound.
  Router(const RouterSettings& settings, std::string settings_path,
         const Deployment& deployment);
  ~Router();

  // Serves until SIGTERM or SIGINT has come and open requests have ended.
  void Run();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace corianderpost

#endif  // CORIANDERPOST_ROUTER_ROUTER_H_
