// A caller's connection: requests in, answers out, one at a time.
#ifndef CORIANDERPOST_DATAPLANE_CALLER_H_
#define CORIANDERPOST_DATAPLANE_CALLER_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "corianderpost/clock.h"
#include "dataplane/http_text.h"
#include "model/configuration.h"

namespace corianderpost {

class CallerConnection;

// A whole request and when its first byte was read.
struct ReceivedRequest {
  HttpRequest message;
  TimePoint first_byte_at;
};

// Takes what callers send. Calls come from the event loop.
class CallerHandler {
 public:
  virtual ~CallerHandler() = default;
  // A whole request arrived. The handler answers through the connection.
  virtual void OnRequest(const std::shared_ptr<CallerConnection>& caller,
                         ReceivedRequest request) = 0;
  // The caller left while its request was in progress.
  virtual void OnCallerDisconnected(CallerConnection& caller) = 0;
  // All output that was waiting has been written.
  virtual void OnOutputFlushed(CallerConnection& caller) = 0;
  // Limits for the next request.
  virtual const CallerLimits& Limits() const = 0;
  // True once the process ends soon, so that answers close connections.
  virtual bool IsDraining() const = 0;
  // A request could not be read; for logs.
  virtual void OnBadRequest(int status, const std::string& reason) = 0;
};

// Used from the event loop only.
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
 public:
  CallerConnection(boost::asio::ip::tcp::socket socket, CallerHandler& handler,
                   const Clock& clock);

  void Start();
  // Sets the connection up for small pieces over a long time.
  void ConfigureForStreaming();
  // Appends to the output.
  void Write(std::string text);
  // Ends the answer in progress. The next request is read unless the answer
  // said that the connection closes.
  void FinishResponse(bool close_connection);
  // Closes the connection without an end of the answer, so that it can't be
  // taken for whole.
  void Abort();
  // Closes an idle connection whose last answer is written.
  void CloseIfIdle();
  // Enforces the limits on time.
  void Tick(TimePoint now);

  bool is_open() const { return socket_.is_open(); }
  bool is_idle() const {
    return state_ == State::kIdle && input_.empty() && buffered() == 0;
  }
  TimePoint idle_since() const { return idle_since_; }
  // The caller asked for, or the protocol implies, a close after this answer.
  bool wants_close() const { return wants_close_; }
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
    // The last answer is out; bytes that still come are thrown away, so that
    // they don't reset the connection before the caller has read it.
    kLingering,
    kClosed,
  };

  void AwaitRead();
  void ReadAvailable();
  void Feed();
  // Returns whether the caller has closed the connection behind its request.
  bool HasDisconnected();
  void Reject(int status, const std::string& reason);
  void Flush();
  void BeginLinger();
  void Close();

  boost::asio::ip::tcp::socket socket_;
  CallerHandler& handler_;
  const Clock& clock_;
  State state_ = State::kIdle;
  bool is_read_pending_ = false;
  bool is_write_pending_ = false;
  bool wants_close_ = false;
  bool closes_after_write_ = false;
  // A request was answered before all of it was read.
  bool has_unread_input_ = false;
  TimePoint first_byte_at_;
  TimePoint idle_since_;
  TimePoint linger_deadline_;
  std::string input_;
  std::string output_;
  std::string output_in_flight_;
  std::optional<Parser> parser_;
};

}  // namespace corianderpost

#endif  // CORIANDERPOST_DATAPLANE_CALLER_H_
