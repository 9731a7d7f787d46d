// A caller that keeps its connection.
#ifndef CORIANDERPOST_TESTS_SOAK_KEPT_CALLER_H_
#define CORIANDERPOST_TESTS_SOAK_KEPT_CALLER_H_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>

#include "soak/call.h"

namespace corianderpost::soak {

// Sends requests in series on one connection to one router until the router
// closes it, whatever the responses and the router's readiness say, and then
// connects to the router again. Must be owned by a shared pointer and used from
// the event loop's thread; not thread-safe.
class KeptCaller : public std::enable_shared_from_this<KeptCaller> {
 public:
  struct Callbacks {
    // Returns the next call, with `request` set.
    std::function<Call()> make_call;
    // Called once for each call that was made.
    std::function<void(Call)> on_finished;
    // Called with bytes that belong to no request.
    std::function<void(const std::string&)> on_stray_bytes;
    // Returns the time between a response and the next request.
    std::function<Duration()> draw_pause;
  };

  KeptCaller(boost::asio::io_context& loop, const Clock& clock,
             std::string address, Duration call_timeout, Callbacks callbacks);
  // Sends the next request if it is due, and ends a call that has timed out.
  void Tick(TimePoint now);
  // Sends no further requests. The call in progress goes on.
  void Stop() { is_stopped_ = true; }

 private:
  void Connect();
  void Send(TimePoint now);
  void Read();
  void HandleInput(std::size_t n);
  // Ends the connection and the call in progress.
  void Disconnect(CallEnd end);
  void FinishCall(CallEnd end);

  boost::asio::io_context& loop_;
  const Clock& clock_;
  const std::string address_;
  const Duration call_timeout_;
  const Callbacks callbacks_;
  boost::asio::ip::tcp::socket socket_;
  std::array<char, 8192> buffer_{};
  Call call_;
  bool is_connecting_ = false;
  bool is_connected_ = false;
  bool has_call_ = false;
  bool is_stopped_ = false;
  TimePoint next_at_;
};

}  // namespace corianderpost::soak

#endif  // CORIANDERPOST_TESTS_SOAK_KEPT_CALLER_H_
