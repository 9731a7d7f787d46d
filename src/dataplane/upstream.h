// Connections to targets, and the pool that keeps them between requests.
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

namespace corianderpost {

enum class UpstreamFailure {
  // Nothing was sent.
  kNotSent,
  // A kept connection broke before any byte of an answer; the target may have
  // closed it while it was idle.
  kStaleConnection,
  // The connection broke, or its bytes were no answer.
  kBroken,
};

// Receives one answer. Calls come from the event loop; none comes after
// OnDone, OnFailed or `UpstreamConnection::Cancel`.
class UpstreamListener {
 public:
  virtual ~UpstreamListener() = default;
  // Bytes of the request were handed to the network.
  virtual void OnSent() = 0;
  virtual void OnHead(const HttpResponseHeader& head) = 0;
  virtual void OnBody(std::string_view data) = 0;
  // The answer is whole. `is_framed` is false if only the connection's end
  // told so.
  virtual void OnDone(bool is_framed) = 0;
  virtual void OnFailed(UpstreamFailure failure) = 0;
};

class UpstreamPool;

// One connection to a target; carries one request at a time. Used from the
// event loop only.
class UpstreamConnection
    : public std::enable_shared_from_this<UpstreamConnection> {
 public:
  UpstreamConnection(boost::asio::io_context& loop, UpstreamPool& pool,
                     std::string address);

  // Sends a request and reports to `listener`, which must live until its last
  // call. `request_id` tells the answer apart from late ones.
  void Send(std::string head, std::shared_ptr<const std::string> body,
            bool is_head_request, std::string request_id,
            const Dialect& dialect, UpstreamListener* listener);
  // Gives the request up: closes the connection, so that the target stops.
  void Cancel();
  // Stops or resumes reading, for a caller that reads slowly.
  void SetPaused(bool is_paused);

  bool is_idle() const { return listener_ == nullptr && is_connected_; }
  bool is_open() const { return socket_.is_open(); }
  const std::string& address() const { return address_; }
  TimePoint idle_since() const { return idle_since_; }
  Duration keep_alive() const { return keep_alive_; }
  // Gives up a connect that takes too long.
  void CheckConnectTimeout(TimePoint now);
  void Close();

 private:
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::string_body>;

  void Connect();
  void Write();
  void AwaitRead();
  void ReadAvailable();
  // Feeds bytes to the parser. Returns false if the connection was closed.
  bool Feed();
  bool FeedOnce(bool& has_more);
  void FinishResponse();
  void HandleReadEnd(bool is_eof);
  void Fail(UpstreamFailure failure);
  void ResetParser();

  UpstreamPool& pool_;
  boost::asio::ip::tcp::socket socket_;
  const std::string address_;
  bool is_connected_ = false;
  bool is_read_pending_ = false;
  bool is_paused_ = false;
  bool is_reused_ = false;
  bool is_write_done_ = false;
  bool has_response_ = false;
  bool is_head_reported_ = false;
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

// Used from the event loop only.
class UpstreamPool {
 public:
  UpstreamPool(boost::asio::io_context& loop, const Clock& clock);

  // Returns a kept connection, or a new one. A request that must not run twice
  // takes only a connection that was used just now.
  std::shared_ptr<UpstreamConnection> Acquire(const std::string& address,
                                              bool is_safe_to_retry);
  // Closes idle connections whose time is up, and checks connects.
  void Tick();
  // Closes all idle connections.
  void CloseIdle();
  // Closes idle connections to one address.
  void CloseIdle(const std::string& address);

  boost::asio::io_context& loop() { return loop_; }
  const Clock& clock() const { return clock_; }
  std::size_t open_connections() const { return connections_.size(); }
  std::uint64_t connect_count() const { return connect_count_; }

 private:
  friend class UpstreamConnection;
  void Release(const std::shared_ptr<UpstreamConnection>& connection);

  boost::asio::io_context& loop_;
  const Clock& clock_;
  std::map<std::string, std::vector<std::shared_ptr<UpstreamConnection>>>
      idle_by_address_;
  std::vector<std::weak_ptr<UpstreamConnection>> connections_;
  std::uint64_t connect_count_ = 0;
};

// Returns the endpoint of "IP:port"; nothing if it can't be read.
std::optional<boost::asio::ip::tcp::endpoint> ParseEndpoint(
    std::string_view address);

// Sets what all of the router's TCP connections have: no delay, and an end
// when the other side stays silent on sent data.
void ConfigureSocket(boost::asio::ip::tcp::socket& socket,
                     Duration user_timeout);

}  // namespace corianderpost

#endif  // CORIANDERPOST_DATAPLANE_UPSTREAM_H_
