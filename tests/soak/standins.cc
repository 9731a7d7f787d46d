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

constexpr auto kWatchPoll = milliseconds(50);
constexpr int kWatchPolls = 20;
constexpr auto kEventGap = milliseconds(15);
constexpr auto kWork = milliseconds(5);
constexpr auto kProxyDelay = milliseconds(120);

template <typename Callback>
void After(asio::io_context& loop, milliseconds wait, Callback callback) {
  auto timer = std::make_shared<asio::steady_timer>(loop, wait);
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

void Store::Answer(const std::shared_ptr<CallerConnection>& caller,
                   const std::string& prefix, std::uint64_t after,
                   bool is_watch, int polls_left) {
  StoreBatch batch = items_.ChangesSince(is_watch ? after : 0);
  batch.is_snapshot = !is_watch;
  std::erase_if(batch.items, [&prefix](const StoreItem& it) {
    return !it.key.starts_with(prefix);
  });
  if (is_watch && batch.items.empty() && polls_left > 0 && !is_down_) {
    After(loop_, kWatchPoll, [this, caller, prefix, after, polls_left] {
      Answer(caller, prefix, after, true, polls_left - 1);
    });
    return;
  }
  const TextReply answer{is_down_ ? 503 : 200, "application/json",
                         deployment_.store_protocol().EncodeBatch(batch)};
  caller->Write(FormatTextReply(answer, false));
  caller->FinishResponse(false);
}

void Store::OnRequest(const std::shared_ptr<CallerConnection>& caller,
                      ReceivedRequest request) {
  const std::string_view target = ToView(request.message.target());
  std::uint64_t after = 0;
  const bool is_watch = target.find("watch") != std::string_view::npos;
  if (const std::size_t at = target.find("after=");
      is_watch && at != std::string_view::npos) {
    std::from_chars(target.data() + at + 6, target.data() + target.size(),
                    after);
  }
  const std::string prefix =
      target.find("prefix=" + deployment_.operator_prefix()) !=
              std::string_view::npos
          ? deployment_.operator_prefix()
          : deployment_.target_prefix();
  Answer(caller, prefix, after, is_watch, kWatchPolls);
}

Target::Target(asio::io_context& loop, const std::string& address,
               const Deployment& deployment, const Clock& clock, RunsById& runs)
    : loop_(loop),
      deployment_(deployment),
      runs_(runs),
      listener_(loop, address, *this, clock) {}

void Target::OnRequest(const std::shared_ptr<CallerConnection>& caller,
                       ReceivedRequest request) {
  const RequestMeta meta = deployment_.dialect().DecodeRequest(request.message);
  ++runs_[meta.request_id].count;
  const std::string head =
      "HTTP/1.1 200 OK\r\n" + platform::FormatStandinSignature(meta.request_id);
  if (ToView(request.message.target()).starts_with("/stream/")) {
    const int from =
        static_cast<int>(ParseEventNumber(meta.last_event_id).value_or(0));
    caller->Write(head +
                  "Content-Type: text/event-stream\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n");
    NextEvent(caller, from + 1);
    return;
  }
  const std::string body = "ran:" + meta.request_id;
  After(loop_, kWork, [caller, head, body] {
    caller->Write(head + "Content-Length: " + std::to_string(body.size()) +
                  "\r\n\r\n" + body);
    caller->FinishResponse(false);
  });
}

void Target::NextEvent(const std::shared_ptr<CallerConnection>& caller,
                       int number) {
  if (!caller->is_open()) {
    return;
  }
  if (number > kEvents) {
    caller->Write(std::string(kLastChunk));
    caller->FinishResponse(false);
    return;
  }
  caller->Write(FormatChunk("id: " + std::to_string(number) + "\ndata: x\n\n"));
  After(loop_, kEventGap,
        [this, caller, number] { NextEvent(caller, number + 1); });
}

struct Proxy::Link {
  explicit Link(tcp::socket router_side, asio::io_context& loop)
      : router(std::move(router_side)), target(loop) {}
  tcp::socket router;
  tcp::socket target;
  std::array<char, 16384> up{};
  std::array<char, 16384> down{};
  // Bytes were lost: the connection stays silent in that direction for good.
  bool is_up_silent = false;
  bool is_down_silent = false;
};

Proxy::Proxy(asio::io_context& loop, const std::string& address,
             std::string target)
    : loop_(loop),
      acceptor_(loop, *ParseEndpoint(address)),
      target_(std::move(target)) {
  Accept();
}

void Proxy::SetFault(ProxyFault fault) {
  fault_ = fault;
  if (fault != ProxyFault::kReset) {
    return;
  }
  for (const auto& weak : links_) {
    if (const auto link = weak.lock()) {
      boost::system::error_code ec;
      link->router.set_option(tcp::socket::linger(true, 0), ec);
      link->router.close(ec);
      link->target.close(ec);
    }
  }
  links_.clear();
}

void Proxy::Accept() {
  acceptor_.async_accept([this](boost::system::error_code ec, tcp::socket s) {
    if (ec) {
      return;
    }
    auto link = std::make_shared<Link>(std::move(s), loop_);
    link->target.async_connect(*ParseEndpoint(target_),
                               [this, link](boost::system::error_code ec2) {
                                 if (!ec2) {
                                   links_.push_back(link);
                                   Pump(link, true);
                                   Pump(link, false);
                                 }
                               });
    Accept();
  });
}

void Proxy::Pump(const std::shared_ptr<Link>& link, bool to_target) {
  tcp::socket& from = to_target ? link->router : link->target;
  auto& buffer = to_target ? link->up : link->down;
  from.async_read_some(
      asio::buffer(buffer), [this, link, to_target, &buffer](
                                boost::system::error_code ec, std::size_t n) {
        tcp::socket& to = to_target ? link->target : link->router;
        bool& is_lost = to_target ? link->is_up_silent : link->is_down_silent;
        is_lost = is_lost || fault_ == ProxyFault::kSilence ||
                  (fault_ == ProxyFault::kCutOneWay && !to_target);
        if (ec) {
          boost::system::error_code ignored;
          to.shutdown(tcp::socket::shutdown_send, ignored);
          return;
        }
        if (is_lost) {
          Pump(link, to_target);
          return;
        }
        const auto pass = [this, link, to_target, &to, &buffer, n] {
          asio::async_write(to, asio::buffer(buffer, n),
                            [this, link, to_target](
                                boost::system::error_code ec2, std::size_t) {
                              if (!ec2) {
                                Pump(link, to_target);
                              }
                            });
        };
        if (fault_ == ProxyFault::kDelay) {
          After(loop_, kProxyDelay, pass);
        } else {
          pass();
        }
      });
}

}  // namespace corianderpost::soak
