// Accepts connections on one address and keeps them until they close.
#ifndef CORIANDERPOST_ROUTER_LISTENER_H_
#define CORIANDERPOST_ROUTER_LISTENER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "dataplane/caller.h"

namespace corianderpost {

// Used from the event loop only.
class Listener {
 public:
  // Throws std::runtime_error if the address can't be bound.
  Listener(boost::asio::io_context& loop, const std::string& address,
           CallerHandler& handler, const Clock& clock);

  // Accepts no more than this many connections at a time; those that have been
  // idle longest are closed for new ones.
  void SetMaxConnections(std::size_t connections) {
    max_connections_ = connections;
  }
  // Enforces time limits and drops closed connections.
  void Tick(TimePoint now);
  void CloseIdle();
  std::size_t size() const { return connections_.size(); }
  // The port that is listened at; useful if the address left it open.
  std::uint16_t port() const;

 private:
  void AwaitAccept();
  void AcceptAvailable();
  void CloseLongestIdle();

  boost::asio::ip::tcp::acceptor acceptor_;
  CallerHandler& handler_;
  const Clock& clock_;
  std::size_t max_connections_ = 100'000;
  std::vector<std::shared_ptr<CallerConnection>> connections_;
};

}  // namespace corianderpost

#endif  // CORIANDERPOST_ROUTER_LISTENER_H_
