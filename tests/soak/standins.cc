#include "soak/standins.h"

#include <boost/asio/write.hpp>
#include <charconv>

#include "dataplane/event_splitter.h"
#include "dataplane/upstream.h"
#include "platform/standin_wire.h"

namespace corianderpost::soak {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;

// A watch request waits kMaxWatchPolls * kWatchPollInterval for a change.
constexpr auto kWatchPollInterval = milliseconds(50);
constexpr int kMaxWatchPolls = 20;
constexpr auto kEventInterval = milliseconds(15);
constexpr auto kExecutionTime = milliseconds(5);
constexpr auto kProxyDelay = milliseconds(120);

// Calls `callback` from the event loop after `delay`.
template <typename Callback>
void RunAfter(asio::io_context& loop, milliseconds delay, Callback callback) {
  auto timer = std::make_shared<asio::steady_timer>(loop, delay);
  timer->async_wait([timer, callback](boost::system::error_code ec) {
    if (!ec) {
      callback();
    }
  });
}

}  // namespace

Store::Store(asio::io_context& loop, const std::string& address,
             const Deployment& deployment, const Clock& clock)
    : loop_(loop),
      deployment_(deployment),
      listener_(loop, address, *this, clock) {
  items_.ApplySnapshot({{}, revision_, false, true});
}

void Store::Put(const std::string& key, const std::string& value) {
  ++revision_;
  items_.ApplyChanges(
      {{{key, value, revision_, false}}, revision_, false, false});
}

void Store::Remove(const std::string& key) {
  ++revision_;
  items_.ApplyChanges({{{key, "", revision_, true}}, revision_, false, false});
}

void Store::Respond(const std::shared_ptr<CallerConnection>& caller,
                    const std::string& prefix, std::uint64_t after,
                    bool is_watch, int remaining_polls) {
  StoreBatch batch = items_.ChangesSince(is_watch ? after : 0);
  batch.is_snapshot = !is_watch;
  std::erase_if(batch.items, [&prefix](const StoreItem& it) {
    return !it.key.starts_with(prefix);
  });
  if (is_watch && batch.items.empty() && remaining_polls > 0 && !is_down_) {
    RunAfter(loop_, kWatchPollInterval,
             [this, caller, prefix, after, remaining_polls] {
               Respond(caller, prefix, after, true, remaining_polls - 1);
             });
    return;
  }
  const TextReply response{is_down_ ? 503 : 200, "application/json",
                           deployment_.store_protocol().EncodeBatch(batch)};
  caller->Write(FormatTextReply(response, false));
  caller->FinishResponse(false);
}

void Store::OnRequest(const std::shared_ptr<CallerConnection>& caller,
                      ReceivedRequest request) {
  const std::string_view request_target = ToView(request.message.target());
  std::uint64_t after = 0;
  const bool is_watch = request_target.find("watch") != std::string_view::npos;
  if (const std::size_t offset = request_target.find("after=");
      is_watch && offset != std::string_view::npos) {
    std::from_chars(request_target.data() + offset + 6,
                    request_target.data() + request_target.size(), after);
  }
  const std::string prefix =
      request_target.find("prefix=" + deployment_.operator_prefix()) !=
              std::string_view::npos
          ? deployment_.operator_prefix()
          : deployment_.target_prefix();
  Respond(caller, prefix, after, is_watch, kMaxWatchPolls);
}

Target::Target(asio::io_context& loop, const std::string& address,
               const Deployment& deployment, const Clock& clock,
               ExecutionsById& executions)
    : loop_(loop),
      deployment_(deployment),
      executions_(executions),
      listener_(loop, address, *this, clock) {}

void Target::OnRequest(const std::shared_ptr<CallerConnection>& caller,
                       ReceivedRequest request) {
  const RequestMeta meta = deployment_.dialect().DecodeRequest(request.message);
  ++executions_[meta.request_id].count;
  const std::string head =
      "HTTP/1.1 200 OK\r\n" + platform::FormatStandinSignature(meta.request_id);
  if (ToView(request.message.target()).starts_with("/stream/")) {
    const int last_event =
        static_cast<int>(ParseEventNumber(meta.last_event_id).value_or(0));
    caller->Write(head +
                  "Content-Type: text/event-stream\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n");
    SendEventsFrom(caller, last_event + 1);
    return;
  }
  const std::string body = "ran:" + meta.request_id;
  RunAfter(loop_, kExecutionTime, [caller, head, body] {
    caller->Write(head + "Content-Length: " + std::to_string(body.size()) +
                  "\r\n\r\n" + body);
    caller->FinishResponse(false);
  });
}

void Target::SendEventsFrom(const std::shared_ptr<CallerConnection>& caller,
                            int number) {
  if (!caller->is_open()) {
    return;
  }
  if (number > kEventsPerStream) {
    caller->Write(std::string(kLastChunk));
    caller->FinishResponse(false);
    return;
  }
  caller->Write(FormatChunk("id: " + std::to_string(number) + "\ndata: x\n\n"));
  RunAfter(loop_, kEventInterval,
           [this, caller, number] { SendEventsFrom(caller, number + 1); });
}

struct Proxy::ProxiedConnection {
  explicit ProxiedConnection(tcp::socket accepted, asio::io_context& loop)
      : router_socket(std::move(accepted)), target_socket(loop) {}
  tcp::socket router_socket;
  tcp::socket target_socket;
  std::array<char, 16384> to_target_buffer{};
  std::array<char, 16384> to_router_buffer{};
  // Set when bytes were dropped. All later bytes in that direction are dropped
  // too, as TCP never delivers data after a gap.
  bool is_dropping_to_target = false;
  bool is_dropping_to_router = false;
};

Proxy::Proxy(asio::io_context& loop, const std::string& address,
             std::string target_address)
    : loop_(loop),
      acceptor_(loop, *ParseEndpoint(address)),
      target_address_(std::move(target_address)) {
  Accept();
}

void Proxy::SetFault(ProxyFault fault) {
  fault_ = fault;
  if (fault != ProxyFault::kReset) {
    return;
  }
  for (const auto& weak_connection : connections_) {
    if (const auto connection = weak_connection.lock()) {
      boost::system::error_code ec;
      connection->router_socket.set_option(tcp::socket::linger(true, 0), ec);
      connection->router_socket.close(ec);
      connection->target_socket.close(ec);
    }
  }
  connections_.clear();
}

void Proxy::Accept() {
  acceptor_.async_accept(
      [this](boost::system::error_code ec, tcp::socket socket) {
        if (ec) {
          return;
        }
        auto connection =
            std::make_shared<ProxiedConnection>(std::move(socket), loop_);
        connection->target_socket.async_connect(
            *ParseEndpoint(target_address_),
            [this, connection](boost::system::error_code ec2) {
              if (!ec2) {
                connections_.push_back(connection);
                Forward(connection, true);
                Forward(connection, false);
              }
            });
        Accept();
      });
}

void Proxy::Forward(const std::shared_ptr<ProxiedConnection>& connection,
                    bool to_target) {
  tcp::socket& from =
      to_target ? connection->router_socket : connection->target_socket;
  auto& buffer =
      to_target ? connection->to_target_buffer : connection->to_router_buffer;
  from.async_read_some(
      asio::buffer(buffer), [this, connection, to_target, &buffer](
                                boost::system::error_code ec, std::size_t n) {
        tcp::socket& to =
            to_target ? connection->target_socket : connection->router_socket;
        bool& is_dropping = to_target ? connection->is_dropping_to_target
                                      : connection->is_dropping_to_router;
        is_dropping = is_dropping || fault_ == ProxyFault::kSilence ||
                      (fault_ == ProxyFault::kCutOneWay && !to_target);
        if (ec) {
          boost::system::error_code ignored;
          to.shutdown(tcp::socket::shutdown_send, ignored);
          return;
        }
        if (is_dropping) {
          Forward(connection, to_target);
          return;
        }
        const auto write = [this, connection, to_target, &to, &buffer, n] {
          asio::async_write(to, asio::buffer(buffer, n),
                            [this, connection, to_target](
                                boost::system::error_code ec2, std::size_t) {
                              if (!ec2) {
                                Forward(connection, to_target);
                              }
                            });
        };
        if (fault_ == ProxyFault::kDelay) {
          RunAfter(loop_, kProxyDelay, write);
        } else {
          write();
        }
      });
}

}  // namespace corianderpost::soak
