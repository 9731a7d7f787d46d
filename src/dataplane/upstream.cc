#include "dataplane/upstream.h"

#include <netinet/tcp.h>

#include <algorithm>
#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <charconv>

#include "runtime/json_log.h"

namespace corianderpost {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using std::chrono::milliseconds;
using std::chrono::seconds;

// A connect that takes this long goes to an unreachable machine: even regions
// are only 30 ms apart.
constexpr Duration kConnectTimeout = milliseconds(400);
// A connection is closed if sent data stays unacknowledged for this long.
constexpr Duration kTcpUserTimeout = seconds(3);
// Keep-alive time of targets that send none, and how long before its end a
// connection is no longer reused.
constexpr Duration kDefaultKeepAlive = seconds(4);
constexpr Duration kKeepAliveMargin = milliseconds(500);
// Maximum idle time of a connection for a request that is not safe to retry.
constexpr Duration kMaxIdleIfNotSafeToRetry = milliseconds(1500);
constexpr std::size_t kReadBufferBytes = std::size_t{64} * 1024;
// Memory of a connection without messages: the object, its pending handlers and
// their allocation.
constexpr std::size_t kConnectionBytes = 2048;
// Receive buffer of a connection; the kernel doubles it. Without a bound, the
// kernel lets it grow to several megabytes while reading is paused for a slow
// caller. This one lets a target 30 ms away send 4 MB/s.
constexpr int kReceiveBufferBytes = 128 * 1024;
// Maximum sizes of a response; that of the body also limits streams.
constexpr std::uint32_t kMaxResponseHeadBytes = 64 * 1024;
constexpr std::uint64_t kMaxResponseBodyBytes = 64ULL * 1024 * 1024;
// Maximum size of the parts of a body that are not data: the line before a
// chunk, and trailer fields.
constexpr std::size_t kMaxUnparsedBytes = std::size_t{64} * 1024;

// Shared by all connections, since input is copied or parsed right after each
// read. Idle connections then need no buffer of their own.
std::array<char, kReadBufferBytes>& SharedReadBuffer() {
  static std::array<char, kReadBufferBytes> buffer;
  return buffer;
}

// Returns whether the head has a header that delimits a body.
bool AnnouncesBody(const HttpResponseHeader& head) {
  return head.find(http::field::content_length) != head.end() ||
         head.find(http::field::transfer_encoding) != head.end();
}

// Returns whether a response with this head is followed by the final response,
// RFC 9110 section 15.2. Such a response has no body and must not announce one;
// 101 ends HTTP on its connection.
bool IsInterim(const HttpResponseHeader& head) {
  const unsigned status = head.result_int();
  return status >= 100 && status < 200 && status != 101 && !AnnouncesBody(head);
}

// Returns whether the peer has ended its output and the connection still takes
// input, so that it was not reset.
bool HasPeerEnded(asio::ip::tcp::socket& socket) {
  tcp_info info{};
  socklen_t size = sizeof(info);
  return getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info,
                    &size) == 0 &&
         info.tcpi_state == TCP_CLOSE_WAIT;
}

}  // namespace

std::optional<asio::ip::tcp::endpoint> ParseEndpoint(std::string_view address) {
  const std::size_t colon = address.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  boost::system::error_code ec;
  const std::string_view host = address.substr(0, colon);
  const auto ip = asio::ip::make_address_v4(std::string(host), ec);
  std::uint16_t port = 0;
  const std::string_view digits = address.substr(colon + 1);
  const auto [end, parse_ec] =
      std::from_chars(digits.data(), digits.data() + digits.size(), port);
  // The system's parser ends at a NUL.
  if (ec || host.find('\0') != std::string_view::npos ||
      parse_ec != std::errc() || end != digits.data() + digits.size()) {
    return std::nullopt;
  }
  return asio::ip::tcp::endpoint(ip, port);
}

std::optional<asio::ip::tcp::endpoint> ParseRemoteEndpoint(
    std::string_view address) {
  const auto endpoint = ParseEndpoint(address);
  if (!endpoint || endpoint->port() == 0) {
    return std::nullopt;
  }
  const asio::ip::address_v4 ip = endpoint->address().to_v4();
  return ip.is_unspecified() || ip.is_multicast() ||
                 ip == asio::ip::address_v4::broadcast()
             ? std::nullopt
             : endpoint;
}

void ConfigureSocket(asio::ip::tcp::socket& socket, Duration user_timeout) {
  // Errors are ignored: without these options the connection still works, but
  // is slower to send and to detect failures.
  boost::system::error_code ignored;
  socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  using UserTimeout =
      asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
  socket.set_option(
      UserTimeout(static_cast<int>(
          std::chrono::duration_cast<milliseconds>(user_timeout).count())),
      ignored);
}

UpstreamConnection::UpstreamConnection(asio::io_context& loop,
                                       UpstreamPool& pool, std::string address)
    : pool_(pool),
      socket_(loop),
      address_(std::move(address)),
      connection_memory_(pool.memory()) {}

void UpstreamConnection::ResetParser() {
  parser_.emplace();
  parser_->header_limit(kMaxResponseHeadBytes);
  parser_->body_limit(kMaxResponseBodyBytes);
  // The parser stops at the end of the head, so that nothing is taken for the
  // body before the head is checked.
  parser_->eager(false);
  if (is_head_request_) {
    parser_->skip(true);
  }
  is_head_reported_ = false;
  is_skipping_response_ = false;
}

void UpstreamConnection::Send(std::string head,
                              std::shared_ptr<const std::string> body,
                              bool is_head_request, std::string request_id,
                              const Dialect& dialect,
                              UpstreamListener* listener) {
  head_ = std::move(head);
  body_ = std::move(body);
  is_head_request_ = is_head_request;
  request_id_ = std::move(request_id);
  dialect_ = &dialect;
  listener_ = listener;
  is_write_done_ = false;
  has_write_failed_ = false;
  has_response_ = false;
  // A late response to a HEAD request announces a body that doesn't follow.
  must_close_ = is_head_request_;
  ResetParser();
  if (is_connected_) {
    is_reused_ = true;
    // The last request may have ended while it was paused.
    SetPaused(false);
    Write();
  } else {
    Connect();
  }
}

void UpstreamConnection::Connect() {
  const auto endpoint = ParseRemoteEndpoint(address_);
  boost::system::error_code ec;
  if (endpoint) {
    socket_.open(asio::ip::tcp::v4(), ec);
  }
  if (!endpoint || ec) {
    asio::post(socket_.get_executor(), [self = shared_from_this()] {
      self->Fail(UpstreamFailure::kNotSent);
    });
    return;
  }
  connection_memory_.Set(kConnectionBytes);
  ConfigureSocket(socket_, kTcpUserTimeout);
  socket_.set_option(
      asio::socket_base::receive_buffer_size(kReceiveBufferBytes), ec);
  connect_deadline_ = pool_.clock().Now() + kConnectTimeout;
  socket_.async_connect(
      *endpoint, [self = shared_from_this()](boost::system::error_code ec) {
        if (self->listener_ == nullptr) {
          self->Close();
          return;
        }
        if (ec) {
          self->Fail(UpstreamFailure::kNotSent);
          return;
        }
        self->is_connected_ = true;
        self->socket_.non_blocking(true, ec);
        self->Write();
        self->AwaitRead();
      });
}

void UpstreamConnection::CheckConnectTimeout(TimePoint now) {
  if (listener_ != nullptr && !is_connected_ && socket_.is_open() &&
      now >= connect_deadline_) {
    Fail(UpstreamFailure::kNotSent);
  }
}

void UpstreamConnection::Write() {
  listener_->OnSendStarted();
  const std::array<asio::const_buffer, 2> buffers{asio::buffer(head_),
                                                  asio::buffer(*body_)};
  asio::async_write(socket_, buffers,
                    [self = shared_from_this(), body = body_](
                        boost::system::error_code ec, std::size_t n) {
                      if (self->listener_ == nullptr && self->is_write_done_) {
                        return;
                      }
                      self->is_write_done_ = true;
                      if (ec && self->listener_ != nullptr) {
                        self->HandleWriteError(ec, n);
                      }
                    });
}

void UpstreamConnection::HandleWriteError(const boost::system::error_code& ec,
                                          std::size_t written) {
  must_close_ = true;
  if (written == 0) {
    Fail(UpstreamFailure::kNotSent);
    return;
  }
  // The target may have responded without reading the whole request. The
  // system reports EPIPE if the target had ended its output before it reset the
  // connection; the rest of the response is then read as usual.
  if (ec == asio::error::broken_pipe) {
    AwaitRead();
    return;
  }
  // The write has taken the error, so the next read that finds no input reports
  // an orderly end.
  has_write_failed_ = true;
  while (ReadInput()) {
  }
  if (listener_ != nullptr) {
    Fail(UpstreamFailure::kBroken);
  }
}

void UpstreamConnection::AwaitRead() {
  if (is_read_pending_ || is_paused_ || !socket_.is_open()) {
    return;
  }
  is_read_pending_ = true;
  socket_.async_wait(asio::ip::tcp::socket::wait_read,
                     [self = shared_from_this()](boost::system::error_code ec) {
                       self->is_read_pending_ = false;
                       if (ec) {
                         return;
                       }
                       self->ReadInput();
                       self->AwaitRead();
                     });
}

bool UpstreamConnection::ReadInput() {
  try {
    return ReadAvailable();
  } catch (const std::exception& ex) {
    internal::LogException("connection to " + address_, ex);
    Fail(UpstreamFailure::kBroken);
    return false;
  }
}

bool UpstreamConnection::ReadAvailable() {
  if (!socket_.is_open()) {
    return false;
  }
  boost::system::error_code ec;
  auto& buffer = SharedReadBuffer();
  const std::size_t n = socket_.read_some(asio::buffer(buffer), ec);
  if (ec == asio::error::would_block) {
    return false;
  }
  if (ec) {
    HandleReadEnd(ec == asio::error::eof && !has_write_failed_);
    return false;
  }
  if (listener_ == nullptr) {
    // Input without a request in progress can't be matched to a caller.
    Close();
    return false;
  }
  input_.append(buffer.data(), n);
  return Feed();
}

bool UpstreamConnection::Feed() {
  bool has_more = true;
  while (has_more) {
    if (!FeedOnce(has_more)) {
      return false;
    }
  }
  return true;
}

bool UpstreamConnection::FeedOnce(bool& has_more) {
  has_more = false;
  if (input_.empty() || listener_ == nullptr) {
    return true;
  }
  const bool had_head = parser_->is_header_done();
  boost::system::error_code ec;
  input_.erase(0, parser_->put(asio::buffer(input_), ec));
  if (ec && ec != http::error::need_more) {
    Fail(UpstreamFailure::kBroken);
    return false;
  }
  if (!had_head && parser_->is_header_done()) {
    const auto& head = parser_->get();
    const TransferCoding coding = TransferCodingOf(head, head.version());
    if (coding != TransferCoding::kNone && coding != TransferCoding::kChunked) {
      // The caller would get a body that is still encoded.
      Fail(UpstreamFailure::kBroken);
      return false;
    }
    // The body may follow in the same input.
    parser_->eager(true);
    has_more = !input_.empty();
    if (IsInterim(head)) {
      ResetParser();
      return true;
    }
    if (head.result_int() < 200 || head.result_int() > 599) {
      Fail(UpstreamFailure::kBroken);
      return false;
    }
    const ResponseMeta meta = dialect_->DecodeResponse(head);
    const bool may_be_late = is_reused_ && !request_id_.empty();
    if (meta.request_id.empty() ? may_be_late
                                : meta.request_id != request_id_) {
      // A late or repeated response to an earlier request.
      if (is_head_request_) {
        // Whether it has a body is not known, so neither is its end.
        Fail(UpstreamFailure::kBroken);
        return false;
      }
      is_skipping_response_ = true;
      must_close_ = true;
    } else {
      has_response_ = true;
      is_head_reported_ = true;
      keep_alive_ = meta.keep_alive.value_or(kDefaultKeepAlive);
      if (head.result_int() == 204 && AnnouncesBody(head)) {
        // A 204 has no body, but this one may send what it announces.
        must_close_ = true;
      }
      listener_->OnHead(head);
      if (listener_ == nullptr) {
        return false;
      }
    }
  }
  if (std::string& body = parser_->get().body(); !body.empty()) {
    const std::string data = std::move(body);
    body.clear();
    if (is_head_reported_) {
      listener_->OnBody(data);
      if (listener_ == nullptr) {
        return false;
      }
    }
  }
  if (parser_->is_done()) {
    if (is_skipping_response_) {
      ResetParser();
      has_more = !input_.empty();
      return true;
    }
    FinishResponse();
    return false;
  }
  if (parser_->is_header_done() && !has_more &&
      input_.size() > kMaxUnparsedBytes) {
    Fail(UpstreamFailure::kBroken);
    return false;
  }
  return true;
}

void UpstreamConnection::FinishResponse() {
  const bool is_reusable = parser_->get().keep_alive() && !must_close_ &&
                           is_write_done_ && input_.empty() &&
                           !parser_->need_eof();
  UpstreamListener* listener = std::exchange(listener_, nullptr);
  const bool is_framed = !parser_->need_eof();
  parser_.reset();
  body_.reset();
  if (is_reusable) {
    idle_since_ = pool_.clock().Now();
    pool_.Release(shared_from_this());
  } else {
    Close();
  }
  listener->OnDone(is_framed);
}

void UpstreamConnection::HandleReadEnd(bool is_eof) {
  if (listener_ == nullptr) {
    Close();
    return;
  }
  if (is_eof && !is_write_done_ && !HasPeerEnded(socket_)) {
    // The write that is in progress reports the error.
    return;
  }
  if (is_eof && parser_ && is_head_reported_) {
    boost::system::error_code ec;
    parser_->put_eof(ec);
    if (!ec && parser_->is_done()) {
      must_close_ = true;
      UpstreamListener* listener = std::exchange(listener_, nullptr);
      Close();
      listener->OnDone(false);
      return;
    }
  }
  Fail(is_reused_ && !has_response_ && input_.empty()
           ? UpstreamFailure::kStaleConnection
           : UpstreamFailure::kBroken);
}

void UpstreamConnection::Fail(UpstreamFailure failure) {
  UpstreamListener* listener = std::exchange(listener_, nullptr);
  Close();
  if (listener != nullptr) {
    listener->OnFailed(failure);
  }
}

void UpstreamConnection::Cancel() {
  listener_ = nullptr;
  is_write_done_ = true;
  Close();
}

void UpstreamConnection::SetPaused(bool is_paused) {
  is_paused_ = is_paused;
  if (!is_paused_ && is_connected_) {
    AwaitRead();
  }
}

bool UpstreamConnection::HasUnreadInput() {
  boost::system::error_code ec;
  char byte = 0;
  socket_.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, ec);
  return ec != asio::error::would_block;
}

void UpstreamConnection::Close() {
  boost::system::error_code ignored;
  socket_.close(ignored);
  connection_memory_.Set(0);
  is_connected_ = false;
}

UpstreamPool::UpstreamPool(asio::io_context& loop, const Clock& clock)
    : loop_(loop), clock_(clock) {}

std::shared_ptr<UpstreamConnection> UpstreamPool::Acquire(
    const std::string& address, bool is_safe_to_retry) {
  const TimePoint now = clock_.Now();
  auto& idle = idle_by_address_[address];
  while (!idle.empty()) {
    std::shared_ptr<UpstreamConnection> connection = std::move(idle.back());
    idle.pop_back();
    const Duration idle_time = now - connection->idle_since();
    const Duration max_idle_time =
        is_safe_to_retry ? connection->keep_alive() - kKeepAliveMargin
                         : std::min(connection->keep_alive() - kKeepAliveMargin,
                                    kMaxIdleIfNotSafeToRetry);
    if (!connection->is_open()) {
      continue;
    }
    if (connection->HasUnreadInput()) {
      connection->Close();
      continue;
    }
    if (idle_time < max_idle_time) {
      ++reuse_count_;
      return connection;
    }
    if (idle_time >= connection->keep_alive() - kKeepAliveMargin) {
      connection->Close();
      continue;
    }
    // This was the most recently used connection; the others have been idle for
    // longer.
    idle.push_back(std::move(connection));
    break;
  }
  auto connection = std::make_shared<UpstreamConnection>(loop_, *this, address);
  connections_.push_back(connection);
  ++connect_count_;
  return connection;
}

void UpstreamPool::Release(
    const std::shared_ptr<UpstreamConnection>& connection) {
  idle_by_address_[connection->address()].push_back(connection);
}

void UpstreamPool::Tick() {
  const TimePoint now = clock_.Now();
  for (auto it = idle_by_address_.begin(); it != idle_by_address_.end();) {
    std::erase_if(it->second, [now](const auto& connection) {
      if (connection->is_open() &&
          now - connection->idle_since() <
              connection->keep_alive() - kKeepAliveMargin) {
        return false;
      }
      connection->Close();
      return true;
    });
    it = it->second.empty() ? idle_by_address_.erase(it) : std::next(it);
  }
  std::vector<std::shared_ptr<UpstreamConnection>> open;
  std::erase_if(connections_, [&open](const auto& weak) {
    auto connection = weak.lock();
    if (!connection || !connection->is_open()) {
      return true;
    }
    open.push_back(std::move(connection));
    return false;
  });
  for (const auto& it : open) {
    it->CheckConnectTimeout(now);
  }
}

void UpstreamPool::ExcuseLag(Duration lag) {
  for (const auto& weak : connections_) {
    if (const auto connection = weak.lock()) {
      connection->ExcuseLag(lag);
    }
  }
}

void UpstreamPool::CloseIdle() {
  for (auto& [address, idle] : idle_by_address_) {
    for (const auto& it : idle) {
      it->Close();
    }
  }
  idle_by_address_.clear();
}

void UpstreamPool::CloseIdle(const std::string& address) {
  const auto it = idle_by_address_.find(address);
  if (it != idle_by_address_.end()) {
    for (const auto& connection : it->second) {
      connection->Close();
    }
    idle_by_address_.erase(it);
  }
}

}  // namespace corianderpost
