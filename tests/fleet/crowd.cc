#include "fleet/crowd.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include "dataplane/upstream.h"

namespace corianderpost::soak {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr Duration kReconnectDelay = std::chrono::milliseconds(100);

}  // namespace

class Crowd::Client : public std::enable_shared_from_this<Client> {
 public:
  Client(asio::io_context& loop, const tcp::endpoint& endpoint,
         CrowdBehavior behavior)
      : endpoint_(endpoint),
        behavior_(std::move(behavior)),
        socket_(loop),
        timer_(loop) {}

  void Connect() {
    pieces_left_ = behavior_.pieces;
    socket_ = tcp::socket(socket_.get_executor());
    socket_.async_connect(endpoint_,
                          [self = shared_from_this()](error_code ec) {
                            if (ec) {
                              self->ReconnectLater();
                              return;
                            }
                            ++self->connections;
                            self->Send(self->behavior_.begin);
                            if (self->behavior_.reads) {
                              self->Read();
                            }
                          });
  }
  void Stop() {
    is_stopped_ = true;
    timer_.cancel();
    error_code ignored;
    socket_.close(ignored);
  }
  int connections = 0;

 private:
  void Send(const std::string& text) {
    asio::async_write(socket_, asio::buffer(text),
                      [self = shared_from_this()](error_code ec, std::size_t) {
                        // A read may have closed the socket after the write.
                        if (ec || !self->socket_.is_open()) {
                          self->ReconnectLater();
                        } else {
                          self->SendNext();
                        }
                      });
  }
  void SendNext() {
    if (pieces_left_ > 0) {
      --pieces_left_;
      if (behavior_.pause > Duration(0)) {
        RunAfter(behavior_.pause, [this] { Send(behavior_.piece); });
      } else {
        Send(behavior_.piece);
      }
    } else if (behavior_.reset_after > Duration(0)) {
      RunAfter(behavior_.reset_after, [this] {
        error_code ignored;
        socket_.set_option(asio::socket_base::linger(true, 0), ignored);
        ReconnectLater();
      });
    }
  }
  void Read() {
    socket_.async_read_some(
        asio::buffer(buffer_),
        [self = shared_from_this()](error_code ec, std::size_t) {
          if (ec) {
            self->ReconnectLater();
          } else {
            self->Read();
          }
        });
  }
  void ReconnectLater() {
    // A read and a write that fail together reconnect once.
    if (is_stopped_ || !socket_.is_open()) {
      return;
    }
    error_code ignored;
    socket_.close(ignored);
    RunAfter(kReconnectDelay, [this] { Connect(); });
  }
  template <typename Callback>
  void RunAfter(Duration delay, Callback callback) {
    timer_.expires_after(delay);
    timer_.async_wait([self = shared_from_this(), callback](error_code ec) {
      if (!ec && !self->is_stopped_) {
        callback();
      }
    });
  }

  const tcp::endpoint endpoint_;
  const CrowdBehavior behavior_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  std::array<char, 4096> buffer_{};
  int pieces_left_ = 0;
  bool is_stopped_ = false;
};

Crowd::Crowd(asio::io_context& loop, const std::string& address, int clients,
             const CrowdBehavior& behavior) {
  for (int i = 0; i < clients; ++i) {
    clients_.push_back(std::make_shared<Client>(
        loop, ParseEndpoint(address).value(), behavior));
    clients_.back()->Connect();
  }
}

Crowd::~Crowd() {
  for (const auto& it : clients_) {
    it->Stop();
  }
}

int Crowd::connections() const {
  int sum = 0;
  for (const auto& it : clients_) {
    sum += it->connections;
  }
  return sum;
}

}  // namespace corianderpost::soak
