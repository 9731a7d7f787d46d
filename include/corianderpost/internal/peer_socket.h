// Datagrams between routers.
#ifndef CORIANDERPOST_INTERNAL_PEER_SOCKET_H_
#define CORIANDERPOST_INTERNAL_PEER_SOCKET_H_

#include <functional>
#include <string>
#include <thread>

#include "corianderpost/internal/http_util.h"
#include "corianderpost/peer_message.h"

namespace corianderpost::internal {

// Sends and receives envelopes, one a datagram. Loss is the peers' protocol's
// to repair. `Send` is thread-safe.
class PeerSocket {
 public:
  using Receiver = std::function<void(const PeerEnvelope&)>;

  // Throws std::runtime_error if the address can't be bound.
  PeerSocket(const HostPort& address, Receiver receiver);
  ~PeerSocket();
  PeerSocket(const PeerSocket&) = delete;
  PeerSocket& operator=(const PeerSocket&) = delete;

  // Returns the bytes sent; 0 if the address is malformed or the system
  // refuses.
  std::size_t Send(const std::string& address, const PeerEnvelope& envelope);

 private:
  void Receive();

  const Receiver receiver_;
  int socket_ = -1;
  std::thread thread_;
};

}  // namespace corianderpost::internal

#endif  // CORIANDERPOST_INTERNAL_PEER_SOCKET_H_
