#include "soak/kept_caller.h"

#include <boost/asio/write.hpp>
#include <utility>

#include "dataplane/upstream.h"

namespace corianderpost::soak {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr Duration kReconnectDelay = std::chrono::milliseconds(50);

}  // namespace

KeptCaller::KeptCaller(asio::io_context& loop, const Clock& clock,
                       std::string address, Duration call_timeout,
                       Callbacks callbacks)
    : loop_(loop),
      clock_(clock),
      address_(std::move(address)),
      call_timeout_(call_timeout),
      callbacks_(std::move(callbacks)),
      socket_(loop),
      next_at_(clock.Now()) {}

void KeptCaller::Tick(TimePoint now) {
  if (has_call_) {
    if (now - call_.sent_at > call_timeout_) {
      Disconnect(CallEnd::kTimedOut);
    }
    return;
  }
  if (is_stopped_ || is_connecting_ || now < next_at_) {
    return;
  }
  if (is_connected_) {
    Send(now);
  } else {
    Connect();
  }
}

void KeptCaller::Connect() {
  is_connecting_ = true;
  socket_ = tcp::socket(loop_);
  socket_.async_connect(
      *ParseEndpoint(address_),
      [self = shared_from_this()](boost::system::error_code ec) {
        self->is_connecting_ = false;
        self->is_connected_ = !ec;
        if (ec) {
          self->Disconnect(CallEnd::kNotConnected);
        } else {
          self->Read();
        }
      });
}

void KeptCaller::Send(TimePoint now) {
  call_ = callbacks_.make_call();
  call_.sent_at = now;
  has_call_ = true;
  // An error shows when reading.
  asio::async_write(
      socket_, asio::buffer(call_.request),
      [self = shared_from_this()](boost::system::error_code, std::size_t) {});
}

void KeptCaller::Read() {
  socket_.async_read_some(
      asio::buffer(buffer_),
      [self = shared_from_this()](boost::system::error_code ec, std::size_t n) {
        if (ec == asio::error::operation_aborted) {
          return;
        }
        self->HandleInput(n);
        if (ec) {
          self->Disconnect(ec == asio::error::eof ? CallEnd::kClosed
                                                  : CallEnd::kReset);
        } else {
          self->Read();
        }
      });
}

void KeptCaller::HandleInput(std::size_t n) {
  if (n == 0) {
    return;
  }
  const std::string input(buffer_.data(), n);
  if (!has_call_) {
    callbacks_.on_stray_bytes(input);
    return;
  }
  call_.response += input;
  const ResponseFrame frame = ParseResponseFrame(call_.response, false);
  if (!frame.is_complete) {
    return;
  }
  if (frame.size < call_.response.size()) {
    callbacks_.on_stray_bytes(call_.response.substr(frame.size));
    call_.response.resize(frame.size);
  }
  FinishCall(CallEnd::kAnswered);
}

void KeptCaller::Disconnect(CallEnd end) {
  is_connected_ = false;
  boost::system::error_code ignored;
  socket_.close(ignored);
  if (has_call_) {
    FinishCall(end);
  }
  next_at_ = clock_.Now() + kReconnectDelay;
}

void KeptCaller::FinishCall(CallEnd end) {
  has_call_ = false;
  call_.end = end;
  call_.ended_at = clock_.Now();
  next_at_ = call_.ended_at + callbacks_.draw_pause();
  callbacks_.on_finished(std::move(call_));
  call_ = {};
}

}  // namespace corianderpost::soak
