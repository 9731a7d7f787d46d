// Shared set-up of HTTP servers and clients, and of ending a program.
#ifndef CORIANDERPOST_INTERNAL_HTTP_UTIL_H_
#define CORIANDERPOST_INTERNAL_HTTP_UTIL_H_

#include <httplib.h>

#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "corianderpost/clock.h"

namespace corianderpost::internal {

// An address "IP:port".
struct HostPort {
  std::string host;
  int port = 0;
  friend bool operator==(const HostPort&, const HostPort&) = default;
};

// Throws std::invalid_argument unless `text` is "IPv4:port".
HostPort ParseHostPort(const std::string& text);

// Sets limits and `threads` workers. The port is not shared with others.
void ConfigureServer(httplib::Server& server, std::size_t threads,
                     std::size_t max_body_bytes);

// Binds and serves until `server.stop()`. Throws std::runtime_error if the
// address can't be bound.
void Serve(httplib::Server& server, const HostPort& address);

// Returns a client for one address. A connection carries many requests.
std::unique_ptr<httplib::Client> MakeClient(const HostPort& address,
                                            Duration connect_timeout,
                                            Duration read_timeout);

// Blocks SIGTERM and SIGINT in the calling thread and those it starts later,
// ignores SIGPIPE, and calls `on_stop` once when such a signal comes. Must be
// created before other threads. The destructor ends the wait.
class StopSignal {
 public:
  StopSignal();
  ~StopSignal();
  StopSignal(const StopSignal&) = delete;
  StopSignal& operator=(const StopSignal&) = delete;
  void OnStop(std::function<void()> on_stop);

 private:
  std::thread waiter_;
};

}  // namespace corianderpost::internal

#endif  // CORIANDERPOST_INTERNAL_HTTP_UTIL_H_
