#include "corianderpost/internal/peer_socket.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>
#include <vector>

#include "corianderpost/internal/json_log.h"

namespace corianderpost::internal {
namespace {

constexpr std::size_t kMaxDatagramBytes = 65'507;

sockaddr_in ToSocketAddress(const HostPort& address) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(static_cast<std::uint16_t>(address.port));
  inet_pton(AF_INET, address.host.c_str(), &result.sin_addr);
  return result;
}

}  // namespace

PeerSocket::PeerSocket(const HostPort& address, Receiver receiver)
    : receiver_(std::move(receiver)) {
  socket_ = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  const sockaddr_in bound = ToSocketAddress(address);
  if (socket_ < 0 || bind(socket_, reinterpret_cast<const sockaddr*>(&bound),
                          sizeof(bound)) != 0) {
    if (socket_ >= 0) {
      close(socket_);
    }
    throw std::runtime_error("cannot listen for peers on " + address.host +
                             ":" + std::to_string(address.port) +
                             ": the port may be in use");
  }
  thread_ = std::thread([this] { Receive(); });
}

PeerSocket::~PeerSocket() {
  shutdown(socket_, SHUT_RDWR);
  thread_.join();
  close(socket_);
}

void PeerSocket::Receive() {
  std::vector<char> buf(kMaxDatagramBytes);
  while (true) {
    const ssize_t n = recv(socket_, buf.data(), buf.size(), 0);
    if (n <= 0) {
      return;
    }
    const auto envelope =
        DecodeEnvelope(std::string_view(buf.data(), static_cast<size_t>(n)));
    if (!envelope.ok()) {
      Log(LogLevel::kWarning, "malformed datagram from a peer",
          {{"reason", std::string(envelope.status().message())}});
      continue;
    }
    receiver_(*envelope);
  }
}

std::size_t PeerSocket::Send(const std::string& address,
                             const PeerEnvelope& envelope) {
  const std::string bytes = EncodeEnvelope(envelope);
  try {
    const sockaddr_in to = ToSocketAddress(ParseHostPort(address));
    const ssize_t n =
        sendto(socket_, bytes.data(), bytes.size(), MSG_DONTWAIT,
               reinterpret_cast<const sockaddr*>(&to), sizeof(to));
    return n < 0 ? 0 : static_cast<std::size_t>(n);
  } catch (const std::invalid_argument&) {
    return 0;
  }
}

}  // namespace corianderpost::internal
