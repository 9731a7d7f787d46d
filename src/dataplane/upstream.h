// Connections to targets, and the pool that reuses them. The router's own
// requests to the store and to peers use them too (see fetch.h).
#ifndef CORIANDERPOST_DATAPLANE_UPSTREAM_H_
#define CORIANDERPOST_DATAPLANE_UPSTREAM_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "corianderpost/clock.h"
#include "dataplane/http_text.h"
#include "decisions/memory_budget.h"

namespace corianderpost {

enum class UpstreamFailure {
  // The connection failed before any byte of the request was sent.
  kNotSent,
  // A reused connection broke before any byte of the response; the target may
  // have closed it while it was idle.
  kStaleConnection,
  // The connection broke, or the response was malformed.
  kBroken,
};

// Receives the events of one request. All calls are made on the event loop
// thread. `OnDone` or `OnFailed` is the last call; there is none after
// `UpstreamConnection::Cancel`.
class UpstreamListener {
 public:
  virtual ~UpstreamListener() = default;
  // The connection is established and the request is about to be written.
  virtual void OnSendStarted() = 0;
  // The response head has arrived. Interim (1xx) responses are skipped; a
  // status that is neither one of those nor from 200 to 599 fails the request.
  virtual void OnHead(const HttpResponseHeader& head) = 0;
  // `data` is the next part of the body, without transfer coding.
  virtual void OnBody(std::string_view data) = 0;
  // The response is complete. `is_framed` is false if the end of the connection
  // delimited the body, so that a truncated body can't be detected. A reset
  // doesn't delimit a body unless the target had ended its output before.
  virtual void OnDone(bool is_framed) = 0;
  virtual void OnFailed(UpstreamFailure failure) = 0;
};

class UpstreamPool;

// One connection to a target, the store or a peer; carries one request at a
// time. Not thread-safe: use on the event loop thread only. Must be owned by a
// shared_ptr.
class UpstreamConnection
    : public std::enable_shared_from_this<UpstreamConnection> {
 public:
  UpstreamConnection(boost::asio::io_context& loop, UpstreamPool& pool,
                     std::string address);

  // Sends a request, connecting first if necessary. `listener` must outlive its
  // last call. A response that carries another id than `request_id` is a late
  // response to an earlier request and is skipped; on a connection that has
  // carried an earlier request, so is one without an id.
  void Send(std::string head, std::shared_ptr<const std::string> body,
            bool is_head_request, std::string request_id,
            const Dialect& dialect, UpstreamListener* listener);
  // Cancels the request. Closes the connection, so that the target stops too.
  void Cancel();
  // Pauses or resumes reading, as backpressure for a slow caller.
  void SetPaused(bool is_paused);

  bool is_idle() const { return listener_ == nullptr && is_connected_; }
  bool is_open() const { return socket_.is_open(); }
  // Whether input, or the end of the connection, has arrived and was not read
  // yet. The connection must be idle: what arrives then belongs to no request.
  bool HasUnreadInput();
  const std::string& address() const { return address_; }
  // End of the last response.
  TimePoint idle_since() const { return idle_since_; }
  // Idle time after which the target closes the connection.
  Duration keep_alive() const { return keep_alive_; }
  // Extends the time to connect by the lag of the event loop, which may not
  // have seen the connection yet.
  void ExcuseLag(Duration lag) { connect_deadline_ += lag; }
  // Fails the request if connecting takes too long.
  void CheckConnectTimeout(TimePoint now);
  void Close();

 private:
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::string_body>;

  void Connect();
  void Write();
  // Ends the request, or lets the rest of its response be read. `written` is
  // the number of bytes of the request that were written.
  void HandleWriteError(const boost::system::error_code& ec,
                        std::size_t written);
  void AwaitRead();
  // Reads and parses input. Returns whether there was some and the request goes
  // on.
  bool ReadAvailable();
  // The same; an exception fails the request.
  bool ReadInput();
  // Parses the buffered input. Returns false if the request has ended.
  bool Feed();
  // Parses at most one response. Sets `has_more` if input is left for the next.
  // Returns false if the request has ended.
  bool FeedOnce(bool& has_more);
  void FinishResponse();
  void HandleReadEnd(bool is_eof);
  void Fail(UpstreamFailure failure);
  void ResetParser();

  UpstreamPool& pool_;
  boost::asio::ip::tcp::socket socket_;
  const std::string address_;
  // The connection itself, without messages.
  MemoryCharge connection_memory_;
  bool is_connected_ = false;
  bool is_read_pending_ = false;
  bool is_paused_ = false;
  // The connection has carried an earlier request.
  bool is_reused_ = false;
  bool is_write_done_ = false;
  // The write of the request ended with an error that says that the connection
  // was not ended in an orderly way.
  bool has_write_failed_ = false;
  // The head of the response to the current request has been received.
  bool has_response_ = false;
  bool is_head_reported_ = false;
  // The response being parsed belongs to an earlier request.
  bool is_skipping_response_ = false;
  bool is_head_request_ = false;
  bool must_close_ = false;
  TimePoint connect_deadline_;
  TimePoint idle_since_;
  Duration keep_alive_{0};
  std::string head_;
  std::shared_ptr<const std::string> body_;
  std::string request_id_;
  std::string input_;
  const Dialect* dialect_ = nullptr;
  UpstreamListener* listener_ = nullptr;
  std::optional<Parser> parser_;
};

// Pool of connections, by address. Not thread-safe: use on the event loop
// thread only.
class UpstreamPool {
 public:
  UpstreamPool(boost::asio::io_context& loop, const Clock& clock);

  // Returns an idle connection to `address` ("IP:port"), or a new one that is
  // not connected yet. Closes idle ones on which something has arrived. A
  // request that is not safe to retry reuses only recently used connections,
  // since it would be lost if the connection is stale.
  std::shared_ptr<UpstreamConnection> Acquire(const std::string& address,
                                              bool is_safe_to_retry);
  // Closes idle connections before their keep-alive time ends, and applies the
  // connect timeout.
  void Tick();
  // Call before `Tick` if the event loop ran `lag` late.
  void ExcuseLag(Duration lag);
  // Closes all idle connections.
  void CloseIdle();
  // Closes all idle connections to `address`.
  void CloseIdle(const std::string& address);

  boost::asio::io_context& loop() { return loop_; }
  const Clock& clock() const { return clock_; }
  // The budget that responses are charged to; null if there is no limit. It
  // must outlive the pool's connections and their listeners.
  MemoryBudget* memory() const { return memory_; }
  void SetMemoryBudget(MemoryBudget* budget) { memory_ = budget; }
  // Number of connections, including those closed since the last `Tick`.
  std::size_t open_connections() const { return connections_.size(); }
  // Number of connections created so far.
  std::uint64_t connect_count() const { return connect_count_; }
  // Number of times that an idle connection was used again.
  std::uint64_t reuse_count() const { return reuse_count_; }

 private:
  friend class UpstreamConnection;
  // Adds an idle connection for reuse.
  void Release(const std::shared_ptr<UpstreamConnection>& connection);

  boost::asio::io_context& loop_;
  const Clock& clock_;
  std::map<std::string, std::vector<std::shared_ptr<UpstreamConnection>>>
      idle_by_address_;
  std::vector<std::weak_ptr<UpstreamConnection>> connections_;
  std::uint64_t connect_count_ = 0;
  std::uint64_t reuse_count_ = 0;
  MemoryBudget* memory_ = nullptr;
};

// Parses an address of the form "IPv4:port"; nullopt if it is malformed.
std::optional<boost::asio::ip::tcp::endpoint> ParseEndpoint(
    std::string_view address);
// The same for an address to connect to: port 0 and addresses that are no
// single host's are refused too.
std::optional<boost::asio::ip::tcp::endpoint> ParseRemoteEndpoint(
    std::string_view address);

// Sets TCP_NODELAY, and closes the connection when sent data stays
// unacknowledged for `user_timeout` (TCP_USER_TIMEOUT). Errors are ignored.
void ConfigureSocket(boost::asio::ip::tcp::socket& socket,
                     Duration user_timeout);

}  // namespace corianderpost

#endif  // CORIANDERPOST_DATAPLANE_UPSTREAM_H_
