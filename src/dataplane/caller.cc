#include "dataplane/caller.h"

#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include "dataplane/upstream.h"

namespace corianderpost {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kUserTimeout = seconds(5);
// How long bytes are thrown away after the last answer.
constexpr Duration kLinger = milliseconds(1000);
// A body may take this long beyond the time for the head.
constexpr Duration kBodyTimeout = seconds(10);
constexpr std::size_t kReadSize = std::size_t{64} * 1024;
// Bytes of further requests that are held while one is answered.
constexpr std::size_t kMaxPipelined = std::size_t{64} * 1024;

std::array<char, kReadSize>& SharedBuffer() {
  static std::array<char, kReadSize> buffer;
  return buffer;
}

int StatusOf(const boost::system::error_code& ec) {
  if (ec == http::error::header_limit) {
    return 431;
  }
  return ec == http::error::body_limit ? 413 : 400;
}

}  // namespace

CallerConnection::CallerConnection(asio::ip::tcp::socket socket,
                                   CallerHandler& handler, const Clock& clock)
    : socket_(std::move(socket)),
      handler_(handler),
      clock_(clock),
      idle_since_(clock.Now()) {}

void CallerConnection::Start() {
  boost::system::error_code ignored;
  socket_.non_blocking(true, ignored);
  ReadAvailable();
  AwaitRead();
}

void CallerConnection::AwaitRead() {
  if (is_reading_ || !socket_.is_open() || in_.size() > kMaxPipelined) {
    return;
  }
  is_reading_ = true;
  socket_.async_wait(asio::ip::tcp::socket::wait_read,
                     [self = shared_from_this()](boost::system::error_code ec) {
                       self->is_reading_ = false;
                       if (!ec) {
                         self->ReadAvailable();
                         self->AwaitRead();
                       }
                     });
}

void CallerConnection::ReadAvailable() {
  if (!socket_.is_open()) {
    return;
  }
  boost::system::error_code ec;
  auto& buffer = SharedBuffer();
  const std::size_t n = socket_.read_some(asio::buffer(buffer), ec);
  if (ec == asio::error::would_block) {
    return;
  }
  if (ec) {
    const bool was_answering = state_ == State::kAnswering;
    Close();
    if (was_answering) {
      handler_.OnCallerGone(*this);
    }
    return;
  }
  if (state_ == State::kLingering) {
    return;
  }
  in_.append(buffer.data(), n);
  if (state_ != State::kAnswering) {
    Feed();
  }
}

void CallerConnection::Feed() {
  if (in_.empty() || state_ == State::kAnswering ||
      state_ == State::kLingering || !socket_.is_open()) {
    return;
  }
  if (state_ == State::kIdle) {
    state_ = State::kReading;
    began_at_ = clock_.Now();
    const CallerLimits& limits = handler_.Limits();
    parser_.emplace();
    parser_->header_limit(static_cast<std::uint32_t>(limits.max_header_bytes));
    parser_->body_limit(limits.max_body_bytes);
    parser_->eager(true);
  }
  boost::system::error_code ec;
  const bool had_header = parser_->is_header_done();
  const std::size_t used = parser_->put(asio::buffer(in_), ec);
  if (used == in_.size()) {
    // Bodies are large beside the number of connections: no spare capacity.
    std::string().swap(in_);
  } else {
    in_.erase(0, used);
  }
  if (ec && ec != http::error::need_more) {
    Reject(StatusOf(ec), ec.message());
    return;
  }
  if (!had_header && parser_->is_header_done() && !parser_->is_done() &&
      parser_->get()[http::field::expect] == "100-continue") {
    Write("HTTP/1.1 100 Continue\r\n\r\n");
  }
  if (!parser_->is_done()) {
    return;
  }
  if (HasLeft()) {
    Close();
    return;
  }
  state_ = State::kAnswering;
  wants_close_ = !parser_->get().keep_alive();
  ReceivedRequest request{parser_->release(), began_at_};
  parser_.reset();
  handler_.OnRequest(shared_from_this(), std::move(request));
}

bool CallerConnection::HasLeft() {
  boost::system::error_code ec;
  auto& buffer = SharedBuffer();
  const std::size_t n = socket_.read_some(asio::buffer(buffer), ec);
  in_.append(buffer.data(), n);
  return ec && ec != asio::error::would_block;
}

void CallerConnection::Reject(int status, const std::string& reason) {
  handler_.OnBadRequest(status, reason);
  has_unread_ = true;
  parser_.reset();
  in_.clear();
  state_ = State::kAnswering;
  OwnAnswer answer;
  answer.status = status;
  answer.reason = reason;
  Write(FormatOwnAnswer(answer, true, false));
  FinishAnswer(true);
}

void CallerConnection::Write(std::string text) {
  if (!socket_.is_open()) {
    return;
  }
  if (out_.empty()) {
    out_ = std::move(text);
  } else {
    out_.append(text);
  }
  Flush();
}

void CallerConnection::Flush() {
  if (is_writing_ || !socket_.is_open()) {
    return;
  }
  if (out_.empty()) {
    if (closes_after_write_) {
      BeginLinger();
    }
    return;
  }
  is_writing_ = true;
  writing_ = std::move(out_);
  out_.clear();
  asio::async_write(
      socket_, asio::buffer(writing_),
      [self = shared_from_this()](boost::system::error_code ec, std::size_t) {
        self->is_writing_ = false;
        self->writing_.clear();
        if (ec) {
          const bool was_answering = self->state_ == State::kAnswering;
          self->Close();
          if (was_answering) {
            self->handler_.OnCallerGone(*self);
          }
          return;
        }
        self->Flush();
        if (self->out_.empty() && self->state_ == State::kAnswering) {
          self->handler_.OnCallerDrained(*self);
        }
      });
}

void CallerConnection::FinishAnswer(bool closes) {
  if (state_ != State::kAnswering) {
    return;
  }
  if (closes) {
    closes_after_write_ = true;
    state_ = State::kLingering;
    linger_until_ = clock_.Now() + kLinger;
    if (!is_writing_ && out_.empty()) {
      BeginLinger();
    }
    return;
  }
  state_ = State::kIdle;
  idle_since_ = clock_.Now();
  wants_close_ = false;
  if (!in_.empty()) {
    // Not from within the caller's stack: the handler may still be at work.
    asio::post(socket_.get_executor(), [self = shared_from_this()] {
      if (self->state_ == State::kIdle) {
        self->Feed();
      }
    });
  }
  AwaitRead();
}

void CallerConnection::BeginStream() { ConfigureSocket(socket_, kUserTimeout); }

void CallerConnection::BeginLinger() {
  if (!has_unread_ && in_.empty()) {
    // Everything that the caller sent was read, so the close resets nothing.
    Close();
    return;
  }
  state_ = State::kLingering;
  linger_until_ = clock_.Now() + kLinger;
  boost::system::error_code ignored;
  socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  AwaitRead();
}

void CallerConnection::Cut() { Close(); }

void CallerConnection::CloseIfIdle() {
  if (is_idle()) {
    Close();
  }
}

void CallerConnection::Close() {
  state_ = State::kClosed;
  boost::system::error_code ignored;
  socket_.close(ignored);
}

void CallerConnection::Tick(TimePoint now) {
  const CallerLimits& limits = handler_.Limits();
  switch (state_) {
    case State::kIdle:
      if (now - idle_since_ >= limits.idle_timeout && is_idle()) {
        Close();
      }
      break;
    case State::kReading: {
      const bool has_head = parser_ && parser_->is_header_done();
      if (now - began_at_ >=
          limits.header_timeout + (has_head ? kBodyTimeout : Duration(0))) {
        Reject(408, "the request took too long to arrive");
      }
      break;
    }
    case State::kLingering:
      if (now >= linger_until_) {
        Close();
      }
      break;
    case State::kAnswering:
    case State::kClosed:
      break;
  }
}

}  // namespace corianderpost
