#include "router/listener.h"

#include <algorithm>
#include <stdexcept>

#include "dataplane/upstream.h"
#include "runtime/json_log.h"

namespace corianderpost {
namespace {

namespace asio = boost::asio;

constexpr int kBacklog = 1024;
// Up to 1/16 of the maximum number of connections, plus one, are closed at a
// time, since finding the longest idle ones scans all connections.
constexpr std::size_t kCloseDivisor = 16;

}  // namespace

Listener::Listener(asio::io_context& loop, const std::string& address,
                   CallerHandler& handler, const Clock& clock)
    : acceptor_(loop), handler_(handler), clock_(clock) {
  const auto endpoint = ParseEndpoint(address);
  if (!endpoint) {
    throw std::runtime_error("invalid listen address (expected IPv4:port): " +
                             address);
  }
  boost::system::error_code ec;
  acceptor_.open(asio::ip::tcp::v4(), ec);
  if (!ec) {
    acceptor_.set_option(asio::socket_base::reuse_address(true), ec);
  }
  if (!ec) {
    acceptor_.bind(*endpoint, ec);
  }
  if (!ec) {
    acceptor_.listen(kBacklog, ec);
  }
  if (!ec) {
    acceptor_.non_blocking(true, ec);
  }
  if (ec) {
    throw std::runtime_error("cannot listen at " + address + ": " +
                             ec.message());
  }
  AwaitAccept();
}

void Listener::AwaitAccept() {
  acceptor_.async_wait(asio::ip::tcp::acceptor::wait_read,
                       [this](boost::system::error_code ec) {
                         if (!ec) {
                           AcceptAvailable();
                           AwaitAccept();
                         }
                       });
}

void Listener::AcceptAvailable() {
  std::size_t accepted = 0;
  while (true) {
    boost::system::error_code ec;
    asio::ip::tcp::socket socket(acceptor_.get_executor());
    acceptor_.accept(socket, ec);
    if (ec) {
      if (ec != asio::error::would_block &&
          ec != asio::error::connection_aborted) {
        internal::Log(
            internal::LogLevel::kError, "accept failed",
            {{"reason", ec.message()}, {"connections", connections_.size()}});
        // Frees descriptors, in case they have run out.
        CloseLongestIdle();
      }
      max_accepts_per_turn_ = std::max(max_accepts_per_turn_, accepted);
      return;
    }
    if (connections_.size() >= max_connections_) {
      CloseLongestIdle();
    }
    auto connection =
        std::make_shared<CallerConnection>(std::move(socket), handler_, clock_);
    connections_.push_back(connection);
    connection->Start();
    ++accepted;
  }
}

void Listener::CloseLongestIdle() {
  std::vector<CallerConnection*> idle;
  for (const auto& it : connections_) {
    if (it->is_idle()) {
      idle.push_back(it.get());
    }
  }
  const std::size_t n =
      std::min(idle.size(), max_connections_ / kCloseDivisor + 1);
  std::partial_sort(idle.begin(), idle.begin() + static_cast<std::ptrdiff_t>(n),
                    idle.end(),
                    [](const CallerConnection* a, const CallerConnection* b) {
                      return a->idle_since() < b->idle_since();
                    });
  for (std::size_t i = 0; i < n; ++i) {
    idle[i]->CloseIfIdle();
  }
  std::erase_if(connections_, [](const auto& it) { return !it->is_open(); });
  internal::Log(internal::LogLevel::kWarning,
                "connection limit reached or accept failed; closed the longest "
                "idle connections, if any",
                {{"closed", n}, {"left", connections_.size()}});
}

void Listener::Tick(TimePoint now) {
  std::erase_if(connections_, [now](const auto& it) {
    it->Tick(now);
    return !it->is_open();
  });
}

std::uint16_t Listener::port() const {
  return acceptor_.local_endpoint().port();
}

void Listener::CloseIdle() {
  for (const auto& it : connections_) {
    it->CloseIfIdle();
  }
}

}  // namespace corianderpost
