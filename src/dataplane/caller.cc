#include "dataplane/caller.h"

#include <netinet/tcp.h>
#include <poll.h>

#include <algorithm>
#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include "dataplane/upstream.h"
#include "runtime/json_log.h"

namespace corianderpost {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using std::chrono::milliseconds;
using std::chrono::seconds;

// From its first streaming response on, a connection is closed if sent data
// stays unacknowledged for this long.
constexpr Duration kTcpUserTimeout = seconds(5);
// Time for which input is discarded after the last response.
constexpr Duration kLingerTimeout = milliseconds(1000);
// A connection that closes after its last response is given up if the caller
// accepts none of the output for this long.
constexpr Duration kWriteStallTimeout = seconds(5);
// Maximum size of one write.
constexpr std::size_t kWriteBytes = std::size_t{64} * 1024;
// Time to receive a body, in addition to the header timeout.
constexpr Duration kBodyTimeout = seconds(10);
constexpr std::size_t kReadBufferBytes = std::size_t{64} * 1024;
// Input of pipelined requests that is buffered during a response; above this,
// the connection is not read.
constexpr std::size_t kMaxPipelinedBytes = std::size_t{16} * 1024;
// Output that a caller may leave unread before the next request of its
// connection is handled. While the memory is short, none may be left.
constexpr std::size_t kMaxUnreadOutputBytes = std::size_t{16} * 1024;
// A caller that has accepted no output for this long may be evicted.
constexpr Duration kStalledOutputTime = seconds(1);
// Memory of a connection without messages: the object, its pending handlers and
// their allocation.
constexpr std::size_t kConnectionBytes = 2048;
// Lines of a header with its trailer fields. A header of 16 KB reaches this
// with lines of less than 16 bytes on average; normal clients send up to a
// hundred lines.
constexpr std::size_t kMaxHeaderLines = 1024;
// Memory of one parsed line beyond its bytes: the node of the parser's list and
// its allocation.
constexpr std::size_t kHeaderLineBytes = 96;
// Receive buffers while a body arrives, and afterwards. The kernel doubles the
// size that is requested.
constexpr int kBodyReceiveBytes = 128 * 1024;
constexpr int kIdleReceiveBytes = 32 * 1024;
// Callers retry at other routers, which may have memory left.
constexpr Duration kMemoryRetryAfter = milliseconds(100);
constexpr Duration kStoppingRetryAfter = milliseconds(1);

// Shared by all connections, since input is copied right after each read. Idle
// connections then need no buffer of their own.
std::array<char, kReadBufferBytes>& SharedReadBuffer() {
  static std::array<char, kReadBufferBytes> buffer;
  return buffer;
}

int StatusForParseError(const boost::system::error_code& ec) {
  if (ec == http::error::header_limit) {
    return 431;
  }
  return ec == http::error::body_limit ? 413 : 400;
}

// Returns the status for a request with this transfer coding, 0 if it is
// usable.
int StatusForCoding(TransferCoding coding) {
  switch (coding) {
    case TransferCoding::kNone:
    case TransferCoding::kChunked:
      return 0;
    case TransferCoding::kUnsupported:
      return 501;
    case TransferCoding::kAmbiguous:
      break;
  }
  return 400;
}

bool IsClosedByPeer(const boost::system::error_code& ec) {
  return ec == asio::error::eof || ec == asio::error::connection_reset ||
         ec == asio::error::broken_pipe;
}

}  // namespace

std::string_view ToString(CloseReason reason) {
  switch (reason) {
    case CloseReason::kCallerClosed:
      return "caller_closed";
    case CloseReason::kConnectionError:
      return "connection_error";
    case CloseReason::kInternalError:
      return "internal_error";
    case CloseReason::kResponseCut:
      return "response_cut";
    case CloseReason::kDeadline:
      return "deadline";
    case CloseReason::kIdleTimeout:
      return "idle_timeout";
    case CloseReason::kLingerTimeout:
      return "linger_timeout";
    case CloseReason::kConnectionLimit:
      return "connection_limit";
    case CloseReason::kMemory:
      return "memory";
    case CloseReason::kDraining:
      return "draining";
    case CloseReason::kExit:
      break;
  }
  return "exit";
}

std::string_view ToString(RequestStage stage) {
  switch (stage) {
    case RequestStage::kUnread:
      return "unread";
    case RequestStage::kReading:
      return "reading";
    case RequestStage::kResponding:
      return "responding";
    case RequestStage::kWriting:
      break;
  }
  return "writing";
}

CallerConnection::CallerConnection(asio::ip::tcp::socket socket,
                                   CallerHandler& handler, const Clock& clock)
    : socket_(std::move(socket)),
      handler_(handler),
      clock_(clock),
      idle_since_(clock.Now()),
      idle_timeout_(handler.Limits().idle_timeout),
      write_progress_at_(clock.Now()),
      connection_memory_(handler.Memory()),
      request_memory_(handler.Memory()),
      buffer_memory_(handler.Memory()) {}

CallerConnection::~CallerConnection() {
  if (MemoryBudget* memory = connection_memory_.budget(); memory != nullptr) {
    memory->Remove(this);
  }
}

void CallerConnection::Start() {
  connection_memory_.Set(kConnectionBytes);
  if (MemoryBudget* memory = connection_memory_.budget(); memory != nullptr) {
    memory->Add(this, {[this] { return EvictableBytes(); }, [this] { Evict(); },
                       [this] { return HeldFor(); }});
  }
  boost::system::error_code ignored;
  socket_.non_blocking(true, ignored);
  HandleInput();
}

void CallerConnection::AwaitRead() {
  if (is_read_pending_ || !socket_.is_open()) {
    return;
  }
  const MemoryBudget* memory = handler_.Memory();
  const bool is_short = memory != nullptr && memory->IsShort();
  if ((state_ == State::kResponding &&
       input_.size() >= (is_short ? 1 : kMaxPipelinedBytes)) ||
      (state_ == State::kIdle && HasUnreadOutput())) {
    boost::system::error_code ignored;
    unread_bytes_ = socket_.available(ignored);
    ChargeBuffers();
    return;
  }
  is_read_pending_ = true;
  socket_.async_wait(asio::ip::tcp::socket::wait_read,
                     [self = shared_from_this()](boost::system::error_code ec) {
                       self->is_read_pending_ = false;
                       if (ec) {
                         return;
                       }
                       self->HandleInput();
                     });
}

void CallerConnection::HandleInput() {
  try {
    ReadAvailable();
  } catch (const std::exception& ex) {
    internal::LogException("connection of a caller", ex);
    CloseAndNotify(CloseReason::kInternalError);
    return;
  }
  AwaitRead();
}

void CallerConnection::ReadAvailable() {
  if (!socket_.is_open()) {
    return;
  }
  boost::system::error_code ec;
  auto& buffer = SharedReadBuffer();
  const std::size_t max_bytes = ReadLimit();
  const std::size_t n = socket_.read_some(asio::buffer(buffer, max_bytes), ec);
  unread_bytes_ = 0;
  if (n == max_bytes) {
    // More may be left, and other connections are read before it.
    boost::system::error_code ignored;
    unread_bytes_ = socket_.available(ignored);
  }
  if (ec == asio::error::would_block) {
    return;
  }
  if (ec) {
    HandleSocketError(ec);
    return;
  }
  if (state_ == State::kLingering) {
    has_dropped_input_ = true;
    ChargeBuffers();
    return;
  }
  input_.append(buffer.data(), n);
  if (state_ != State::kResponding) {
    Feed();
  }
  ChargeBuffers();
}

std::size_t CallerConnection::ReadLimit() const {
  if (state_ == State::kLingering ||
      (state_ == State::kReading && parser_->is_header_done())) {
    return kReadBufferBytes;
  }
  return kMaxPipelinedBytes - std::min(input_.size(), kMaxPipelinedBytes - 1);
}

bool CallerConnection::HasUnreadOutput() const {
  const MemoryBudget* memory = handler_.Memory();
  const bool is_short = memory != nullptr && memory->IsShort();
  return buffered() > (is_short ? 0 : kMaxUnreadOutputBytes);
}

void CallerConnection::ResumeInput() {
  if (state_ != State::kIdle) {
    return;
  }
  try {
    Feed();
    ChargeBuffers();
  } catch (const std::exception& ex) {
    internal::LogException("connection of a caller", ex);
    CloseAndNotify(CloseReason::kInternalError);
    return;
  }
  AwaitRead();
}

Duration CallerConnection::HeldFor() const {
  return clock_.Now() -
         (state_ == State::kReading ? first_byte_at_ : write_progress_at_);
}

std::size_t CallerConnection::EvictableBytes() const {
  if (is_growing_ || state_ == State::kResponding) {
    return 0;
  }
  const bool is_stalled =
      buffered() > 0 && clock_.Now() - write_progress_at_ >= kStalledOutputTime;
  return state_ == State::kReading || is_stalled
             ? request_memory_.bytes() + buffer_memory_.bytes()
             : 0;
}

void CallerConnection::Evict() {
  const auto self = shared_from_this();
  internal::Log(
      internal::LogLevel::kWarning, "client evicted for lack of memory",
      {{"bytes", EvictableBytes()},
       {"held_ms", std::chrono::duration_cast<milliseconds>(HeldFor()).count()},
       {"stage", state_ == State::kReading ? "reading" : "writing"}});
  if (state_ == State::kReading) {
    Reject(503, "no memory for the request", kMemoryRetryAfter);
  } else {
    Close(CloseReason::kMemory);
  }
}

void CallerConnection::SetReceiveBuffer(int bytes) {
  boost::system::error_code ignored;
  socket_.set_option(asio::socket_base::receive_buffer_size(bytes), ignored);
  // The window is bound by the buffer that the connection began with.
  using WindowClamp =
      asio::detail::socket_option::integer<IPPROTO_TCP, TCP_WINDOW_CLAMP>;
  socket_.set_option(WindowClamp(bytes), ignored);
}

void CallerConnection::GrowReceiveBuffer() {
  const MemoryBudget* memory = handler_.Memory();
  if (memory == nullptr ||
      memory->used() + kBodyReceiveBytes <= memory->limit() / 4) {
    reserved_bytes_ = kBodyReceiveBytes;
    SetReceiveBuffer(kBodyReceiveBytes / 2);
  }
}

void CallerConnection::ShrinkReceiveBuffer() {
  if (reserved_bytes_ > 0) {
    reserved_bytes_ = 0;
    SetReceiveBuffer(kIdleReceiveBytes / 2);
  }
}

void CallerConnection::Feed() {
  if (input_.empty() || state_ == State::kResponding ||
      state_ == State::kLingering || !socket_.is_open() ||
      (state_ == State::kIdle && HasUnreadOutput())) {
    return;
  }
  if (state_ == State::kIdle) {
    state_ = State::kReading;
    first_byte_at_ = clock_.Now();
    header_bytes_ = 0;
    header_lines_ = 0;
    const CallerLimits& limits = handler_.Limits();
    header_timeout_ = limits.header_timeout;
    parser_.emplace();
    parser_->header_limit(static_cast<std::uint32_t>(limits.max_header_bytes));
    parser_->body_limit(limits.max_body_bytes);
    // The parser stops at the end of the header, so that nothing is taken for
    // the body before the header is checked.
    parser_->eager(false);
  }
  const bool had_header = parser_->is_header_done();
  const std::size_t unparsed_bytes = input_.size();
  const std::size_t unparsed_lines = had_header ? 0 : BufferedHeaderLines();
  if (header_lines_ + unparsed_lines > kMaxHeaderLines) {
    Reject(431, "too many header lines");
    return;
  }
  boost::system::error_code ec = Parse();
  if (!had_header) {
    header_bytes_ += unparsed_bytes - input_.size();
    header_lines_ += unparsed_lines;
    if (!parser_->is_header_done()) {
      header_lines_ -= BufferedHeaderLines();
    }
  }
  if (!ec && !had_header && parser_->is_header_done()) {
    const http::fields& header = parser_->get();
    if (const int status =
            StatusForCoding(TransferCodingOf(header, parser_->get().version()));
        status != 0) {
      Reject(status, "unusable transfer coding");
      return;
    }
    // The body may follow in the same input.
    parser_->eager(true);
    ec = Parse();
  }
  if (ec) {
    Reject(StatusForParseError(ec), ec.message());
    return;
  }
  if (!parser_->is_done() && parser_->is_header_done() &&
      input_.size() > handler_.Limits().max_header_bytes) {
    // Only the parts of a body that are not data remain unparsed: the line
    // before a chunk, and trailer fields.
    Reject(431, "chunk or trailer fields too large");
    return;
  }
  if (HasTooManyFields()) {
    Reject(431, "too many trailer fields");
    return;
  }
  is_growing_ = true;
  const bool has_memory = request_memory_.TrySet(RequestBytes(), HeldFor());
  is_growing_ = false;
  if (!has_memory) {
    Reject(503, "no memory for the request", kMemoryRetryAfter);
    return;
  }
  if (!had_header && parser_->is_header_done() && !parser_->is_done()) {
    GrowReceiveBuffer();
  }
  if (!had_header && parser_->is_header_done() && !parser_->is_done() &&
      parser_->get()[http::field::expect] == "100-continue") {
    Write("HTTP/1.1 100 Continue\r\n\r\n");
  }
  if (!parser_->is_done()) {
    return;
  }
  if (HasDisconnected()) {
    Close(CloseReason::kCallerClosed);
    return;
  }
  state_ = State::kResponding;
  ShrinkReceiveBuffer();
  request_id_.clear();
  wants_close_ = !parser_->get().keep_alive();
  ReceivedRequest request{parser_->release(), first_byte_at_,
                          std::move(request_memory_)};
  parser_.reset();
  handler_.OnRequest(shared_from_this(), std::move(request));
}

boost::system::error_code CallerConnection::Parse() {
  boost::system::error_code ec;
  if (input_.empty() || parser_->is_done()) {
    return ec;
  }
  const std::size_t consumed = parser_->put(asio::buffer(input_), ec);
  if (consumed == input_.size()) {
    // Releases the capacity: many idle connections, each with a buffer as large
    // as its last body, would use too much memory.
    std::string().swap(input_);
  } else {
    input_.erase(0, consumed);
  }
  return ec == http::error::need_more ? boost::system::error_code() : ec;
}

std::size_t CallerConnection::BufferedHeaderLines() const {
  constexpr std::string_view kLineEnd = "\r\n";
  constexpr std::string_view kHeaderEnd = "\r\n\r\n";
  std::string_view text = input_;
  if (text.starts_with(kLineEnd)) {
    return 0;
  }
  text = text.substr(0, text.find(kHeaderEnd));
  return static_cast<std::size_t>(std::count(text.begin(), text.end(), '\n'));
}

bool CallerConnection::HasTooManyFields() const {
  if (!parser_->is_done() || !parser_->chunked()) {
    return false;
  }
  const auto& fields = parser_->get();
  return std::distance(fields.begin(), fields.end()) >
         static_cast<std::ptrdiff_t>(kMaxHeaderLines);
}

bool CallerConnection::HasDisconnected() {
  boost::system::error_code ec;
  auto& buffer = SharedReadBuffer();
  const std::size_t max_bytes =
      kMaxPipelinedBytes - std::min(input_.size(), kMaxPipelinedBytes - 1);
  const std::size_t n = socket_.read_some(asio::buffer(buffer, max_bytes), ec);
  input_.append(buffer.data(), n);
  return ec && ec != asio::error::would_block;
}

std::size_t CallerConnection::RequestBytes() const {
  return header_bytes_ + header_lines_ * kHeaderLineBytes +
         // Without a length, the body's buffer doubles as it grows.
         (parser_->chunked() ? parser_->get().body().capacity()
                             : parser_->get().body().size()) +
         (parser_->is_done() ? 0 : input_.size());
}

void CallerConnection::ChargeBuffers() {
  buffer_memory_.Set(buffered() + std::max(unread_bytes_, reserved_bytes_) +
                     (state_ == State::kReading ? 0 : input_.size()));
}

void CallerConnection::Reject(int status, const std::string& reason,
                              Duration retry_after) {
  handler_.OnBadRequest(status, reason);
  has_unread_input_ = true;
  parser_.reset();
  std::string().swap(input_);
  request_memory_.Set(0);
  state_ = State::kResponding;
  ShrinkReceiveBuffer();
  LocalReply reply;
  reply.status = status;
  reply.reason = reason;
  reply.retry_after = retry_after;
  Write(FormatLocalReply(reply, true, false));
  FinishResponse(true);
}

void CallerConnection::Write(std::string text) {
  if (!socket_.is_open()) {
    return;
  }
  if (output_.empty()) {
    output_ = std::move(text);
  } else {
    output_.append(text);
  }
  ChargeBuffers();
  Flush();
}

void CallerConnection::Flush() {
  if (is_write_pending_ || !socket_.is_open()) {
    return;
  }
  if (output_.empty()) {
    if (closes_after_write_) {
      BeginLinger();
    }
    return;
  }
  is_write_pending_ = true;
  write_progress_at_ = clock_.Now();
  output_in_flight_ = std::move(output_);
  output_.clear();
  asio::async_write(
      socket_, asio::buffer(output_in_flight_),
      [self = shared_from_this()](const boost::system::error_code& ec,
                                  std::size_t) {
        self->write_progress_at_ = self->clock_.Now();
        return ec ? 0 : kWriteBytes;
      },
      [self = shared_from_this()](boost::system::error_code ec, std::size_t) {
        self->is_write_pending_ = false;
        std::string().swap(self->output_in_flight_);
        self->ChargeBuffers();
        if (ec) {
          self->HandleSocketError(ec);
          return;
        }
        self->Flush();
        if (self->output_.empty() && self->state_ == State::kResponding) {
          self->handler_.OnOutputFlushed(*self);
        }
        self->ResumeInput();
      });
}

void CallerConnection::FinishResponse(bool close_connection) {
  if (state_ != State::kResponding) {
    return;
  }
  if (close_connection) {
    closes_after_write_ = true;
    state_ = State::kLingering;
    linger_deadline_ = clock_.Now() + kLingerTimeout;
    if (!is_write_pending_ && output_.empty()) {
      BeginLinger();
    }
    return;
  }
  state_ = State::kIdle;
  idle_since_ = clock_.Now();
  idle_timeout_ = handler_.Limits().idle_timeout;
  wants_close_ = false;
  if (!input_.empty()) {
    // Deferred, since the handler that finished this response may still be on
    // the call stack.
    asio::post(socket_.get_executor(),
               [self = shared_from_this()] { self->ResumeInput(); });
  }
  AwaitRead();
}

bool CallerConnection::HasFurtherInput() const {
  boost::system::error_code ignored;
  return !input_.empty() || socket_.available(ignored) > 0;
}

bool CallerConnection::HasDroppedRequest() const {
  return !wants_close_ && !has_unread_input_ &&
         (has_dropped_input_ || HasFurtherInput());
}

void CallerConnection::ConfigureForStreaming() {
  ConfigureSocket(socket_, kTcpUserTimeout);
}

void CallerConnection::BeginLinger() {
  boost::system::error_code ignored;
  if (!has_unread_input_ && !HasFurtherInput()) {
    // No unread input, so closing the socket doesn't send a reset.
    Close(CloseReason::kLingerTimeout);
    return;
  }
  state_ = State::kLingering;
  linger_deadline_ = clock_.Now() + kLingerTimeout;
  socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  AwaitRead();
}

void CallerConnection::Abort(CloseReason reason) { Close(reason); }

void CallerConnection::RejectUnfinished(const std::string& reason) {
  if (state_ == State::kReading) {
    Reject(503, reason, kStoppingRetryAfter);
  }
}

void CallerConnection::CloseIfIdle(CloseReason reason) {
  // A late tick may run before a request that arrived in time is read.
  if (is_idle() && !HasFurtherInput()) {
    Close(reason);
  }
}

void CallerConnection::CloseIfLingering(CloseReason reason) {
  if (state_ == State::kLingering && buffered() == 0) {
    Close(reason);
    return;
  }
  // Without a read that is pending, the end of the connection is not noticed.
  if (!is_read_pending_ && socket_.is_open()) {
    pollfd descriptor{socket_.native_handle(), POLLRDHUP, 0};
    if (poll(&descriptor, 1, 0) > 0) {
      CloseAndNotify(CloseReason::kCallerClosed);
    }
  }
}

std::optional<Duration> CallerConnection::UnfinishedFor() const {
  return state_ == State::kReading ? std::optional(HeldFor()) : std::nullopt;
}

void CallerConnection::HandleSocketError(const boost::system::error_code& ec) {
  if (!socket_.is_open()) {
    return;
  }
  CloseAndNotify(IsClosedByPeer(ec) ? CloseReason::kCallerClosed
                                    : CloseReason::kConnectionError);
}

void CallerConnection::CloseAndNotify(CloseReason reason) {
  const bool was_responding = state_ == State::kResponding;
  Close(reason);
  if (was_responding) {
    handler_.OnCallerDisconnected(*this);
  }
}

void CallerConnection::ReportUnanswered(CloseReason reason) {
  UnansweredClose close;
  close.reason = reason;
  close.unwritten_bytes = buffered();
  switch (state_) {
    case State::kIdle:
    case State::kLingering: {
      if (close.unwritten_bytes > 0) {
        close.stage = RequestStage::kWriting;
        close.request_id = request_id_;
      } else if (state_ == State::kLingering ? !HasDroppedRequest()
                                             : !HasFurtherInput()) {
        return;
      }
      break;
    }
    case State::kReading:
      close.stage = RequestStage::kReading;
      if (parser_ && parser_->is_header_done()) {
        close.header = &parser_->get();
      }
      break;
    case State::kResponding:
      close.stage = RequestStage::kResponding;
      close.request_id = request_id_;
      break;
    case State::kClosed:
      return;
  }
  if (close.stage != RequestStage::kUnread) {
    close.age = clock_.Now() - first_byte_at_;
  }
  handler_.OnUnansweredClose(close);
}

void CallerConnection::Close(CloseReason reason) {
  if (socket_.is_open()) {
    ReportUnanswered(reason);
  }
  state_ = State::kClosed;
  boost::system::error_code ignored;
  socket_.close(ignored);
  // `output_in_flight_` is in use until its write has ended.
  parser_.reset();
  std::string().swap(input_);
  std::string().swap(output_);
  request_memory_.Set(0);
  unread_bytes_ = 0;
  reserved_bytes_ = 0;
  connection_memory_.Set(0);
  ChargeBuffers();
}

void CallerConnection::Tick(TimePoint now) {
  const CallerLimits& limits = handler_.Limits();
  if (socket_.is_open()) {
    boost::system::error_code ignored;
    unread_bytes_ = socket_.available(ignored);
    ChargeBuffers();
    if (state_ == State::kIdle || state_ == State::kResponding) {
      // The memory may no longer be short.
      AwaitRead();
    }
  }
  switch (state_) {
    case State::kIdle:
      idle_timeout_ = std::max(idle_timeout_, limits.idle_timeout);
      if (now - idle_since_ >= idle_timeout_) {
        CloseIfIdle(CloseReason::kIdleTimeout);
        if (buffered() > 0 && now - write_progress_at_ >= idle_timeout_) {
          Close(CloseReason::kIdleTimeout);
        }
      }
      break;
    case State::kReading: {
      header_timeout_ = std::max(header_timeout_, limits.header_timeout);
      const bool is_header_done = parser_ && parser_->is_header_done();
      if (now - first_byte_at_ >=
          header_timeout_ + (is_header_done ? kBodyTimeout : Duration(0))) {
        Reject(408, "the request took too long to arrive");
      }
      break;
    }
    case State::kLingering:
      if (now >= (buffered() > 0 ? write_progress_at_ + kWriteStallTimeout
                                 : linger_deadline_)) {
        Close(CloseReason::kLingerTimeout);
      }
      break;
    case State::kResponding:
    case State::kClosed:
      break;
  }
}

}  // namespace corianderpost
