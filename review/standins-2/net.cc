#include "net.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdlib>
#include <stdexcept>
#include <thread>

namespace review {
namespace {

double Monotonic() {
  timespec ts{};
  clock_gettime(CLOCK_MONOTONIC, &ts);
  return static_cast<double>(ts.tv_sec) + static_cast<double>(ts.tv_nsec) / 1e9;
}

const double started_at = Monotonic();

sockaddr_in AddressOf(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

}  // namespace

double Now() { return Monotonic() - started_at; }

void SleepFor(double seconds) {
  if (seconds > 0) {
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
  }
}

std::string ToLower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

std::string Message::Header(const std::string& name) const {
  const auto it = headers.find(name);
  return it == headers.end() ? "" : it->second;
}

std::string Message::Method() const { return start.substr(0, start.find(' ')); }

std::string Message::Target() const {
  const std::size_t begin = start.find(' ') + 1;
  return start.substr(begin, start.find(' ', begin) - begin);
}

int Message::Status() const {
  return start.size() > 9 ? std::atoi(start.c_str() + 9) : 0;
}

Connection::~Connection() {
  if (fd_ >= 0) {
    close(fd_);
  }
}

std::unique_ptr<Connection> Connection::To(const std::string& ip, int port,
                                           double timeout) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0) {
    return nullptr;
  }
  auto connection = std::make_unique<Connection>(fd);
  connection->SetTimeout(timeout);
  const sockaddr_in address = AddressOf(ip, port);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    return nullptr;
  }
  connection->SetTimeout(30);
  int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return connection;
}

void Connection::SetTimeout(double seconds) {
  timeval tv{};
  tv.tv_sec = static_cast<time_t>(seconds);
  tv.tv_usec = static_cast<suseconds_t>(
      (seconds - static_cast<double>(tv.tv_sec)) * 1e6);
  setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &tv, sizeof(tv));
  setsockopt(fd_, SOL_SOCKET, SO_SNDTIMEO, &tv, sizeof(tv));
}

bool Connection::Write(const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t n =
        send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) {
      if (n < 0 && errno == EINTR) {
        continue;
      }
      return false;
    }
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

bool Connection::Fill() {
  char bytes[16384];
  while (true) {
    const ssize_t n = recv(fd_, bytes, sizeof(bytes), 0);
    if (n < 0 && errno == EINTR) {
      continue;
    }
    if (n <= 0) {
      return false;
    }
    buffer_.append(bytes, static_cast<std::size_t>(n));
    return true;
  }
}

bool Connection::ReadHead(Message& message) {
  std::size_t end = 0;
  while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
    if (!Fill()) {
      return false;
    }
  }
  const std::string head = buffer_.substr(0, end + 2);
  buffer_.erase(0, end + 4);
  message = Message();
  std::size_t pos = head.find("\r\n");
  message.start = head.substr(0, pos);
  pos += 2;
  while (pos < head.size()) {
    const std::size_t line_end = head.find("\r\n", pos);
    const std::string line = head.substr(pos, line_end - pos);
    pos = line_end + 2;
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) {
      continue;
    }
    std::size_t begin = colon + 1;
    while (begin < line.size() && line[begin] == ' ') {
      ++begin;
    }
    message.headers[ToLower(line.substr(0, colon))] = line.substr(begin);
  }
  body_read_ = 0;
  return true;
}

bool Connection::ReadRequest(Message& message) {
  if (!ReadHead(message)) {
    return false;
  }
  const auto size = static_cast<std::size_t>(
      std::atoll(message.Header("content-length").c_str()));
  while (buffer_.size() < size) {
    if (!Fill()) {
      return false;
    }
  }
  message.body = buffer_.substr(0, size);
  buffer_.erase(0, size);
  return true;
}

bool Connection::ReadResponseHead(Message& message) {
  do {
    if (!ReadHead(message)) {
      return false;
    }
  } while (message.Status() >= 100 && message.Status() < 200);
  return true;
}

bool Connection::ReadBodyPart(const Message& head, std::string& part,
                              bool& is_complete) {
  is_complete = false;
  part.clear();
  if (ToLower(head.Header("transfer-encoding")) == "chunked") {
    std::size_t end = 0;
    while ((end = buffer_.find("\r\n")) == std::string::npos) {
      if (!Fill()) {
        return false;
      }
    }
    const auto size =
        static_cast<std::size_t>(std::strtoull(buffer_.c_str(), nullptr, 16));
    while (buffer_.size() < end + 2 + size + 2) {
      if (!Fill()) {
        return false;
      }
    }
    part = buffer_.substr(end + 2, size);
    buffer_.erase(0, end + 2 + size + 2);
    is_complete = size == 0;
    return size > 0;
  }
  const auto size = static_cast<std::size_t>(
      std::atoll(head.Header("content-length").c_str()));
  if (body_read_ >= size) {
    is_complete = true;
    return false;
  }
  if (buffer_.empty() && !Fill()) {
    return false;
  }
  part = buffer_.substr(0, size - body_read_);
  buffer_.erase(0, part.size());
  body_read_ += part.size();
  return true;
}

bool Connection::ReadResponse(Message& message) {
  if (!ReadResponseHead(message)) {
    return false;
  }
  bool is_complete = false;
  std::string part;
  while (ReadBodyPart(message, part, is_complete)) {
    message.body += part;
  }
  return is_complete;
}

void Connection::Shutdown() { shutdown(fd_, SHUT_RDWR); }

void Connection::Reset() {
  const linger option{1, 0};
  setsockopt(fd_, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
  // Wakes a thread that reads; the close follows in the destructor.
  close(fd_);
  fd_ = -1;
}

bool Connection::HasPeerClosed() {
  pollfd descriptor{fd_, POLLIN | POLLRDHUP, 0};
  if (poll(&descriptor, 1, 0) <= 0) {
    return false;
  }
  return (descriptor.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

Server::Server(const std::string& ip, int port, Handler handler)
    : handler_(std::make_shared<Handler>(std::move(handler))) {
  fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;
  setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = AddressOf(ip, port);
  if (bind(fd_, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) !=
          0 ||
      listen(fd_, 512) != 0) {
    throw std::runtime_error("cannot listen at " + ip + ":" +
                             std::to_string(port));
  }
  std::thread([this] { Accept(); }).detach();
  ++open_;
}

Server::~Server() { Stop(); }

void Server::Accept() {
  while (!is_stopped_) {
    pollfd descriptor{fd_, POLLIN, 0};
    if (poll(&descriptor, 1, 20) <= 0) {
      continue;
    }
    const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) {
      continue;
    }
    int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    auto connection = std::make_shared<Connection>(fd);
    {
      const std::lock_guard lock(mutex_);
      std::erase_if(connections_, [](const auto& it) { return it.expired(); });
      connections_.push_back(connection);
    }
    ++open_;
    std::thread([this, connection]() mutable {
      Message request;
      while (!is_stopped_ && connection->ReadRequest(request) &&
             (*handler_)(*connection, request)) {
      }
      connection.reset();
      --open_;
    }).detach();
  }
  close(fd_);
  --open_;
}

void Server::Stop() {
  if (is_stopped_.exchange(true)) {
    return;
  }
  {
    const std::lock_guard lock(mutex_);
    for (const auto& weak : connections_) {
      if (const auto connection = weak.lock()) {
        connection->Shutdown();
      }
    }
  }
  while (open_ > 0) {
    SleepFor(0.002);
  }
}

}  // namespace review
