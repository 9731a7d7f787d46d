#include "soak/standins.h"

#include <algorithm>
#include <boost/asio/write.hpp>

#include "dataplane/event_splitter.h"
#include "dataplane/upstream.h"
#include "platform/standin_wire.h"

namespace corianderpost::soak {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;

// A watch looks for changes at this interval.
constexpr auto kWatchPollInterval = milliseconds(50);
// Interval of the writes of a response with a limited rate.
constexpr auto kTrickleInterval = milliseconds(20);
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
      clock_(clock),
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

struct Store::OpenRequest {
  std::shared_ptr<CallerConnection> caller;
  platform::StandinStoreRequest decoded;
  TimePoint began_at;
};

std::size_t Store::WatchCount(const std::string& prefix) const {
  return static_cast<std::size_t>(std::count_if(
      watches_.begin(), watches_.end(), [&prefix](const auto& it) {
        const auto watch = it.lock();
        return watch && watch->caller->is_open() &&
               watch->decoded.prefix == prefix;
      }));
}

Duration Store::YoungestWatchAge(const std::string& prefix) const {
  Duration youngest = Duration::max();
  for (const auto& it : watches_) {
    if (const auto watch = it.lock();
        watch && watch->caller->is_open() && watch->decoded.prefix == prefix) {
      youngest = std::min(youngest, clock_.Now() - watch->began_at);
    }
  }
  return youngest;
}

void Store::Restore(const Copy& copy) {
  items_ = copy.items;
  revision_ = copy.revision;
  ++era_;
}

void Store::Respond(const std::shared_ptr<OpenRequest>& request) {
  const bool is_watch = request->decoded.is_watch;
  if (is_watch && !is_down_ && request->decoded.after_revision > revision_) {
    Send(request, 410, "{}");
    return;
  }
  StoreBatch batch =
      items_.ChangesSince(is_watch ? request->decoded.after_revision : 0);
  batch.is_snapshot = !is_watch;
  std::erase_if(batch.items, [&request](const StoreItem& it) {
    return !it.key.starts_with(request->decoded.prefix);
  });
  if (is_watch && batch.items.empty() && !is_down_ &&
      clock_.Now() - request->began_at < request->decoded.wait &&
      request->caller->is_open()) {
    RunAfter(loop_, kWatchPollInterval, [this, request] { Respond(request); });
    return;
  }
  Send(request, is_down_ ? 503 : 200,
       deployment_.store_protocol().EncodeBatch(batch));
}

void Store::Send(const std::shared_ptr<OpenRequest>& request, int status,
                 const std::string& body) {
  std::string response =
      FormatTextReply({status, "application/json", body}, false);
  response.insert(response.find("\r\n") + 2, platform::FormatStandinEra(era_));
  if (bytes_per_second_ > 0) {
    Trickle(request->caller, std::move(response));
    return;
  }
  request->caller->Write(std::move(response));
  request->caller->FinishResponse(false);
}

void Store::Trickle(const std::shared_ptr<CallerConnection>& caller,
                    std::string rest) {
  const auto n = static_cast<std::size_t>(bytes_per_second_ * kTrickleInterval /
                                          std::chrono::seconds(1));
  caller->Write(rest.substr(0, n));
  if (rest.size() <= n || !caller->is_open()) {
    caller->FinishResponse(false);
    return;
  }
  rest.erase(0, n);
  RunAfter(loop_, kTrickleInterval,
           [this, caller, rest = std::move(rest)] { Trickle(caller, rest); });
}

void Store::OnRequest(const std::shared_ptr<CallerConnection>& caller,
                      ReceivedRequest request) {
  ++request_count_;
  auto open = std::make_shared<OpenRequest>();
  open->caller = caller;
  open->decoded =
      platform::ParseStandinStoreRequest(ToView(request.message.target()));
  open->began_at = clock_.Now();
  if (open->decoded.is_watch) {
    std::erase_if(watches_, [](const auto& it) { return it.expired(); });
    watches_.push_back(open);
  }
  Respond(open);
}

Target::Target(asio::io_context& loop, const std::string& address,
               const Deployment& deployment, const Clock& clock,
               ExecutionsById& executions)
    : loop_(loop),
      deployment_(deployment),
      clock_(clock),
      address_(address),
      executions_(executions),
      listener_(loop, address, *this, clock) {}

void Target::OnRequest(const std::shared_ptr<CallerConnection>& caller,
                       ReceivedRequest request) {
  const RequestMeta meta = deployment_.dialect().DecodeRequest(request.message);
  ExecutionCount& executions = executions_[meta.request_id];
  ++executions.count;
  executions.executions.push_back({address_, clock_.Now()});
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
