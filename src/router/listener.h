// Accepts connections on one address and owns them until they close.
#ifndef CORIANDERPOST_ROUTER_LISTENER_H_
#define CORIANDERPOST_ROUTER_LISTENER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "dataplane/caller.h"

namespace corianderpost {

// Used from the event loop only.
class Listener {
 public:
  // Listens on `address`, which is "IPv4:port". Throws std::runtime_error if it
  // is invalid or can't be bound; AddressUnavailableError if that may pass.
  // `handler` and `clock` must outlive the listener.
  Listener(boost::asio::io_context& loop, const std::string& address,
           CallerHandler& handler, const Clock& clock);

  // Sets a soft limit on open connections. At the limit, each new connection
  // causes the connections that have been idle longest to be closed, and those
  // whose last response is written and whose further input is discarded. From a
  // quarter above the limit on, so is the one whose request has been arriving
  // for longest. The new connection is accepted even if there are none.
  void SetMaxConnections(std::size_t connections) {
    max_connections_ = connections;
  }
  // Enforces the connections' time limits and releases closed connections.
  void Tick(TimePoint now);
  // Closes all idle connections.
  void CloseIdle();
  // Whether some connection has a request that is not answered, or whose answer
  // may not have reached the caller.
  bool HasOpenRequests() const;
  // Accepts all connections that wait for it, and handles what they have sent.
  void AcceptAll();
  // Rejects, as not executed, requests that have not arrived completely.
  void RejectUnfinished(const std::string& reason);
  // Closes all connections, since the process exits.
  void CloseForExit();
  std::size_t size() const { return connections_.size(); }
  // Returns for how long connections have been waiting to be accepted; zero if
  // none is waiting.
  Duration AcceptDelay(TimePoint now) const {
    return is_backlogged_ ? now - backlogged_since_ : Duration(0);
  }
  // Returns the largest number of connections accepted in one turn of the event
  // loop since the last call.
  std::size_t TakeMaxAcceptsPerTurn() {
    return std::exchange(max_accepts_per_turn_, 0);
  }
  // The local port; chosen by the system if the address has port 0.
  std::uint16_t port() const;

 private:
  void AwaitAccept();
  void AwaitAcceptAfterDelay();
  // Accepts waiting connections, up to a bound. Returns false if an accept
  // failed, so that the next one should wait.
  bool AcceptAvailable();
  // Closes the longest idle connections, unless that was done just before.
  void CloseLongestIdle();
  // Closes the connection whose request has been arriving for longest.
  void CloseLongestUnfinished();
  // Closes all connections whose last response is written.
  void CloseLingering();

  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer accept_retry_timer_;
  CallerHandler& handler_;
  const Clock& clock_;
  std::size_t max_connections_ = 100'000;
  std::size_t max_accepts_per_turn_ = 0;
  TimePoint next_close_idle_at_;
  // The last turn ended before all waiting connections were accepted.
  bool is_backlogged_ = false;
  TimePoint backlogged_since_;
  std::vector<std::shared_ptr<CallerConnection>> connections_;
};

}  // namespace corianderpost

#endif  // CORIANDERPOST_ROUTER_LISTENER_H_
