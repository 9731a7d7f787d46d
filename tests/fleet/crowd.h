// Many uncontrolled clients of one router address.
#ifndef CORIANDERPOST_TESTS_FLEET_CROWD_H_
#define CORIANDERPOST_TESTS_FLEET_CROWD_H_

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
#include <vector>

#include "corianderpost/clock.h"

namespace corianderpost::soak {

// What each client of a crowd does. It connects again when its connection has
// ended.
struct CrowdBehavior {
  // Sent at once, then `piece` is sent `pieces` times, `pause` apart.
  std::string begin;
  std::string piece = {};
  int pieces = 0;
  Duration pause{0};
  // Whether responses are read.
  bool reads = true;
  // Resets the connection this long after all is sent, else it stays open.
  Duration reset_after{0};
};

// Runs in the event loop of the test. Not thread-safe.
class Crowd {
 public:
  // Starts `clients` clients of `address`, which is "IPv4:port".
  Crowd(boost::asio::io_context& loop, const std::string& address, int clients,
        const CrowdBehavior& behavior);
  // Closes all connections.
  ~Crowd();
  Crowd(const Crowd&) = delete;
  Crowd& operator=(const Crowd&) = delete;

  // Number of connections that were established.
  int connections() const;

 private:
  class Client;
  std::vector<std::shared_ptr<Client>> clients_;
};

}  // namespace corianderpost::soak

#endif  // CORIANDERPOST_TESTS_FLEET_CROWD_H_
