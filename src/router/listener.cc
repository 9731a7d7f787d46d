#include "router/listener.h"

#include <algorithm>
#include <stdexcept>

#include "dataplane/upstream.h"
#include "runtime/bind_retry.h"
#include "runtime/json_log.h"

namespace corianderpost {
namespace {

namespace asio = boost::asio;

constexpr std::size_t kBacklog = 1024;
// Connections accepted in one turn of the event loop. The request of a new
// connection is handled in the same turn, so without a bound a burst of
// connections delays timers, peer reports and responses of targets.
constexpr std::size_t kMaxAcceptsPerTurn = 8;
// Pause after a failed accept, for example without free descriptors.
constexpr Duration kAcceptRetryDelay = std::chrono::milliseconds(50);
// Shortest time between two searches for idle connections to close.
constexpr Duration kCloseIdleInterval = std::chrono::milliseconds(100);
// Up to 1/16 of the maximum number of connections, plus one, are closed at a
// time, since finding the longest idle ones scans all connections.
constexpr std::size_t kCloseDivisor = 16;

// A request that has been arriving for less is not closed for a new connection.
constexpr Duration kMinUnfinishedTime = std::chrono::seconds(1);
// Receive buffer of a connection, in bytes as requested of the kernel, which
// doubles it. Holds a few requests. A connection gets a larger one while it
// sends a body, see CallerConnection.
constexpr int kReceiveBufferBytes = 16 * 1024;

}  // namespace

Listener::Listener(asio::io_context& loop, const std::string& address,
                   CallerHandler& handler, const Clock& clock)
    : acceptor_(loop),
      accept_retry_timer_(loop),
      handler_(handler),
      clock_(clock) {
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
    // Inherited by connections, also while they wait to be accepted.
    acceptor_.set_option(
        asio::socket_base::receive_buffer_size(kReceiveBufferBytes), ec);
  }
  if (!ec) {
    acceptor_.bind(*endpoint, ec);
  }
  if (!ec) {
    acceptor_.listen(static_cast<int>(kBacklog), ec);
  }
  if (!ec) {
    acceptor_.non_blocking(true, ec);
  }
  if (ec) {
    internal::ThrowBindError("cannot listen at " + address, ec);
  }
  AwaitAccept();
}

void Listener::AwaitAccept() {
  acceptor_.async_wait(asio::ip::tcp::acceptor::wait_read,
                       [this](boost::system::error_code ec) {
                         if (ec) {
                           return;
                         }
                         bool is_accepting = false;
                         try {
                           is_accepting = AcceptAvailable();
                         } catch (const std::exception& ex) {
                           internal::LogException("new connection", ex);
                         }
                         if (is_accepting) {
                           AwaitAccept();
                         } else {
                           AwaitAcceptAfterDelay();
                         }
                       });
}

void Listener::AwaitAcceptAfterDelay() {
  accept_retry_timer_.expires_after(kAcceptRetryDelay);
  accept_retry_timer_.async_wait([this](boost::system::error_code ec) {
    if (!ec) {
      AwaitAccept();
    }
  });
}

bool Listener::AcceptAvailable() {
  std::size_t accepted = 0;
  bool has_failed = false;
  while (accepted < kMaxAcceptsPerTurn) {
    boost::system::error_code ec;
    asio::ip::tcp::socket socket(acceptor_.get_executor());
    acceptor_.accept(socket, ec);
    if (ec) {
      has_failed = ec != asio::error::would_block &&
                   ec != asio::error::connection_aborted;
      if (has_failed) {
        internal::Log(
            internal::LogLevel::kError, "accept failed",
            {{"reason", ec.message()}, {"connections", connections_.size()}});
        // Frees descriptors, in case they have run out.
        CloseLongestIdle();
      }
      break;
    }
    ++accepted;
    if (connections_.size() >= max_connections_) {
      CloseLongestIdle();
      CloseLingering();
      if (connections_.size() >= max_connections_ + max_connections_ / 4) {
        CloseLongestUnfinished();
      }
    }
    auto connection =
        std::make_shared<CallerConnection>(std::move(socket), handler_, clock_);
    connections_.push_back(connection);
    connection->Start();
  }
  max_accepts_per_turn_ = std::max(max_accepts_per_turn_, accepted);
  const bool is_backlogged = has_failed || accepted == kMaxAcceptsPerTurn;
  if (is_backlogged && !is_backlogged_) {
    backlogged_since_ = clock_.Now();
  }
  is_backlogged_ = is_backlogged;
  return !has_failed;
}

void Listener::CloseLongestIdle() {
  const TimePoint now = clock_.Now();
  if (now < next_close_idle_at_) {
    return;
  }
  next_close_idle_at_ = now + kCloseIdleInterval;
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
    idle[i]->CloseIfIdle(CloseReason::kConnectionLimit);
  }
  std::erase_if(connections_, [](const auto& it) { return !it->is_open(); });
  internal::Log(internal::LogLevel::kWarning,
                "connection limit reached or accept failed; closed the longest "
                "idle connections, if any",
                {{"closed", n}, {"left", connections_.size()}});
}

void Listener::CloseLingering() {
  std::erase_if(connections_, [](const auto& it) {
    it->CloseIfLingering(CloseReason::kConnectionLimit);
    return !it->is_open();
  });
}

void Listener::CloseLongestUnfinished() {
  const auto longest =
      std::max_element(connections_.begin(), connections_.end(),
                       [](const auto& a, const auto& b) {
                         return a->UnfinishedFor().value_or(Duration(0)) <
                                b->UnfinishedFor().value_or(Duration(0));
                       });
  if (longest != connections_.end() &&
      (*longest)->UnfinishedFor() >= kMinUnfinishedTime) {
    (*longest)->CloseForLimit();
    connections_.erase(longest);
  }
}

void Listener::Tick(TimePoint now) {
  std::erase_if(connections_, [now](const auto& it) {
    it->Tick(now);
    return !it->is_open();
  });
  if (MemoryBudget* memory = handler_.Memory(); memory != nullptr) {
    memory->MakeRoom();
  }
}

std::uint16_t Listener::port() const {
  return acceptor_.local_endpoint().port();
}

bool Listener::HasOpenRequests() const {
  return std::any_of(connections_.begin(), connections_.end(),
                     [](const auto& it) { return it->HasOpenRequest(); });
}

void Listener::AcceptAll() {
  // Bounded, since callers may connect all the time.
  for (std::size_t n = 0; n < kBacklog; n += kMaxAcceptsPerTurn) {
    const std::size_t size = connections_.size();
    AcceptAvailable();
    if (connections_.size() <= size) {
      break;
    }
  }
}

void Listener::RejectUnfinished(const std::string& reason) {
  for (const auto& it : connections_) {
    it->RejectUnfinished(reason);
  }
}

void Listener::CloseIdle() {
  for (const auto& it : connections_) {
    it->CloseIfIdle(CloseReason::kDraining);
  }
}

void Listener::CloseForExit() {
  std::size_t dropped = 0;
  for (boost::system::error_code ec; !ec && dropped < kBacklog;) {
    asio::ip::tcp::socket socket(acceptor_.get_executor());
    acceptor_.accept(socket, ec);
    dropped += ec ? 0 : 1;
  }
  if (dropped > 0) {
    internal::Log(internal::LogLevel::kWarning,
                  "connections closed before they were handled",
                  {{"connections", dropped}});
  }
  for (const auto& it : connections_) {
    it->CloseForExit();
  }
}

}  // namespace corianderpost
