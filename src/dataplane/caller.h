// Server side of one caller's HTTP/1.1 connection. Requests on a connection are
// handled one at a time, in order.
#ifndef CORIANDERPOST_DATAPLANE_CALLER_H_
#define CORIANDERPOST_DATAPLANE_CALLER_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "corianderpost/clock.h"
#include "dataplane/http_text.h"
#include "decisions/memory_budget.h"
#include "model/configuration.h"

namespace corianderpost {

class CallerConnection;

// A complete request and the time at which its first byte was read.
struct ReceivedRequest {
  HttpRequest message;
  TimePoint first_byte_at;
  // The memory that the request takes.
  MemoryCharge memory;
};

// Why a connection ended with a request unanswered. Only `kCallerClosed` is the
// caller's doing.
enum class CloseReason {
  kCallerClosed,
  // A read or write failed for another reason, for example since sent data
  // stayed unacknowledged.
  kConnectionError,
  // Handling the connection's input threw an exception.
  kInternalError,
  // A response that had begun could not be continued.
  kResponseCut,
  kDeadline,
  kIdleTimeout,
  // The response was not written in time.
  kLingerTimeout,
  kConnectionLimit,
  // The memory is short, and the caller held much of it.
  kMemory,
  kDraining,
  // The process exits.
  kExit,
};
std::string_view ToString(CloseReason reason);

// How far a request was handled when its connection ended.
enum class RequestStage {
  // Bytes are waiting in the socket.
  kUnread,
  // Some of the request was read.
  kReading,
  kResponding,
  // The response is complete, but not written to the socket.
  kWriting,
};
std::string_view ToString(RequestStage stage);

// The end of a connection whose request is unanswered.
struct UnansweredClose {
  CloseReason reason = CloseReason::kCallerClosed;
  RequestStage stage = RequestStage::kUnread;
  // Id of the request whose response is unfinished; else empty.
  std::string_view request_id;
  // Header of a request that was read in part; null before it is complete.
  const boost::beast::http::fields* header = nullptr;
  // Response bytes that were not written to the socket.
  std::size_t unwritten_bytes = 0;
  // Time since the request's first byte was read; zero if none was.
  Duration age{0};
};

// Receives the events of caller connections. All calls are made on the event
// loop thread.
class CallerHandler {
 public:
  virtual ~CallerHandler() = default;
  // A complete request has arrived. The handler writes the response to
  // `caller`, during the call or later.
  virtual void OnRequest(const std::shared_ptr<CallerConnection>& caller,
                         ReceivedRequest request) = 0;
  // The caller disconnected before its response was finished.
  virtual void OnCallerDisconnected(CallerConnection& caller) = 0;
  // All buffered output has been written to the socket.
  virtual void OnOutputFlushed(CallerConnection& caller) = 0;
  // Returns the size and time limits that apply to the connections.
  virtual const CallerLimits& Limits() const = 0;
  // Returns true while the router shuts down and responses close their
  // connections.
  virtual bool IsDraining() const = 0;
  // Returns the budget that requests and responses are charged to; null if
  // there is no limit.
  virtual MemoryBudget* Memory() { return nullptr; }
  // A request was rejected with `status` because it was malformed, too large or
  // too slow, or because the memory is short. `reason` is for logs.
  virtual void OnBadRequest(int status, const std::string& reason) = 0;
  // A connection ends with a request unanswered. The views in `close` are valid
  // during the call.
  virtual void OnUnansweredClose(const UnansweredClose& close) {
    static_cast<void>(close);
  }
};

// One caller's connection. Requests that a caller pipelines are buffered until
// the response in progress is finished. Not thread-safe: use on the event loop
// thread only. Must be owned by a shared_ptr.
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
 public:
  CallerConnection(boost::asio::ip::tcp::socket socket, CallerHandler& handler,
                   const Clock& clock);
  ~CallerConnection();
  CallerConnection(const CallerConnection&) = delete;
  CallerConnection& operator=(const CallerConnection&) = delete;

  // Starts to read requests.
  void Start();
  // Sets the socket options for a long response of many small writes.
  void ConfigureForStreaming();
  // Sends `text` after all earlier output. Does nothing if the connection is
  // closed.
  void Write(std::string text);
  // Ends the response in progress. If `close_connection`, the connection closes
  // once the output is written; otherwise the next request is read.
  void FinishResponse(bool close_connection);
  // Closes the connection in the middle of a response, so that the caller
  // detects that the response is truncated.
  void Abort(CloseReason reason = CloseReason::kResponseCut);
  // Closes the connection if it has no request in progress, no unread input and
  // no buffered output.
  void CloseIfIdle(CloseReason reason);
  // Closes the connection if its last response is written and further input is
  // discarded, or if the caller has closed it while no input is read.
  void CloseIfLingering(CloseReason reason);
  // Time since the first byte of a request that has not arrived completely;
  // nullopt if there is none.
  std::optional<Duration> UnfinishedFor() const;
  // Closes the connection whatever its state, in favor of others.
  void CloseForLimit() { CloseAndNotify(CloseReason::kConnectionLimit); }
  // Rejects, as not executed, a request that has not arrived completely.
  void RejectUnfinished(const std::string& reason);
  // Closes the connection whatever its state, since the process exits.
  void CloseForExit() { Close(CloseReason::kExit); }
  // Names the request in progress in `UnansweredClose`.
  void SetRequestId(std::string id) { request_id_ = std::move(id); }
  // Applies the read, idle and linger timeouts. Timeouts that get shorter apply
  // to an idle connection from its next response on, and to no request that is
  // being read: the caller may not know them yet.
  void Tick(TimePoint now);

  bool is_open() const { return socket_.is_open(); }
  bool is_idle() const {
    return state_ == State::kIdle && input_.empty() && buffered() == 0;
  }
  // End of the last response, or the time of the accept.
  TimePoint idle_since() const { return idle_since_; }
  // True if the request in progress requires the connection to close after its
  // response.
  bool wants_close() const { return wants_close_; }
  // Whether input that belongs to no request in progress has arrived, such as a
  // pipelined request.
  bool HasFurtherInput() const;
  // Whether a request is arriving or waits to be read, is in progress, or has a
  // response that the caller may not have received yet.
  bool HasOpenRequest() const {
    return state_ == State::kIdle ? !is_idle() || HasFurtherInput()
                                  : state_ != State::kClosed;
  }
  // Bytes of output that are not yet written to the socket.
  std::size_t buffered() const {
    return output_.size() + output_in_flight_.size();
  }

 private:
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;
  enum class State {
    kIdle,
    kReading,
    kResponding,
    // The last response is written or being written. Further input is
    // discarded: closing a socket with unread input sends a reset, which could
    // destroy the response before the caller has read it.
    kLingering,
    kClosed,
  };

  void AwaitRead();
  // Reads what has arrived, and awaits more. An exception ends the connection.
  void HandleInput();
  void ReadAvailable();
  // Largest number of bytes to read at once in this state.
  std::size_t ReadLimit() const;
  // Whether the caller has left so much output unread that no further request
  // of its connection is handled or read.
  bool HasUnreadOutput() const;
  // Handles input that waited for the output to be read, and awaits more.
  void ResumeInput();
  // Memory that is freed if the connection is evicted; zero if the caller has
  // completed its message and reads its response, or a response is in progress.
  std::size_t EvictableBytes() const;
  // Time since the caller last completed a message or accepted output.
  Duration HeldFor() const;
  // Frees the memory of the connection in favor of others. A request that is
  // being read is rejected, as not executed.
  void Evict();
  // Lets the receive buffer hold more while a body arrives, unless a quarter of
  // the memory is in use, and charges what it may hold.
  void GrowReceiveBuffer();
  void ShrinkReceiveBuffer();
  void SetReceiveBuffer(int bytes);
  // Parses the buffered input and dispatches a request that is complete.
  void Feed();
  // Gives the buffered input to the parser. Returns the error of a malformed
  // request; input that is incomplete is none.
  boost::system::error_code Parse();
  // Lines of the header that is being read that are in the buffered input.
  std::size_t BufferedHeaderLines() const;
  // Whether the request has too many header lines and trailer fields.
  bool HasTooManyFields() const;
  // Reads once more and returns whether the caller has closed its side of the
  // connection after it sent its request. Such a request is not executed, since
  // nobody waits for its response.
  bool HasDisconnected();
  // Answers a request that can't be parsed or was too slow, or for which there
  // is no memory, and closes the connection. No Retry-After header if
  // `retry_after` is zero.
  void Reject(int status, const std::string& reason,
              Duration retry_after = Duration(0));
  // Charges what the connection holds apart from the request that is being
  // read.
  void ChargeBuffers();
  // Size of the request that is being read, as far as it has arrived.
  std::size_t RequestBytes() const;
  // Writes the buffered output unless a write is in progress.
  void Flush();
  void BeginLinger();
  void Close(CloseReason reason);
  // Calls the handler if a request is unanswered.
  void ReportUnanswered(CloseReason reason);
  // Whether input after a response that closes the connection was, or would be,
  // discarded, though neither that response nor its request explains it.
  bool HasDroppedRequest() const;
  // Closes the connection after a failed read or write.
  void HandleSocketError(const boost::system::error_code& ec);
  // Closes the connection, and tells the handler if a response is in progress.
  void CloseAndNotify(CloseReason reason);

  boost::asio::ip::tcp::socket socket_;
  CallerHandler& handler_;
  const Clock& clock_;
  State state_ = State::kIdle;
  bool is_read_pending_ = false;
  bool is_write_pending_ = false;
  bool wants_close_ = false;
  bool closes_after_write_ = false;
  // A response was sent before its request was read completely.
  bool has_unread_input_ = false;
  bool has_dropped_input_ = false;
  TimePoint first_byte_at_;
  Duration header_timeout_{0};
  TimePoint idle_since_;
  // Longest idle timeout in force since `idle_since_`.
  Duration idle_timeout_;
  // When output was last accepted by the socket.
  TimePoint write_progress_at_;
  TimePoint linger_deadline_;
  std::string request_id_;
  // Of the request that is being read.
  std::size_t header_bytes_ = 0;
  std::size_t header_lines_ = 0;
  // Bytes in the socket when they were last counted, zero after each read.
  std::size_t unread_bytes_ = 0;
  // What the receive buffer may hold of a body that is arriving.
  std::size_t reserved_bytes_ = 0;
  // Memory for the request in progress is being sought.
  bool is_growing_ = false;
  // The connection itself, without messages.
  MemoryCharge connection_memory_;
  MemoryCharge request_memory_;
  MemoryCharge buffer_memory_;
  std::string input_;
  std::string output_;
  // Output of the write in progress.
  std::string output_in_flight_;
  std::optional<Parser> parser_;
};

}  // namespace corianderpost

#endif  // CORIANDERPOST_DATAPLANE_CALLER_H_
