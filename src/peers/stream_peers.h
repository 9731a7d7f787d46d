// The other routers, as those that exchange knowledge of streams reach them.
#ifndef CORIANDERPOST_PEERS_STREAM_PEERS_H_
#define CORIANDERPOST_PEERS_STREAM_PEERS_H_

#include <string>
#include <vector>

#include "corianderpost/clock.h"
#include "peers/peer_report.h"

namespace corianderpost {

class StreamPeers {
 public:
  virtual ~StreamPeers() = default;
  // Returns the live routers except this one.
  virtual std::vector<RouterInfo> LiveRouters(TimePoint now) const = 0;
  // Sends a datagram, which may be lost, to the router at IPv4 address `vm`.
  virtual void SendMessage(const std::string& vm, const std::string& bytes) = 0;
};

}  // namespace corianderpost

#endif  // CORIANDERPOST_PEERS_STREAM_PEERS_H_
