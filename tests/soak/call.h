// Requests of the soak's callers and what became of them.
#ifndef CORIANDERPOST_TESTS_SOAK_CALL_H_
#define CORIANDERPOST_TESTS_SOAK_CALL_H_

#include <cstddef>
#include <string>

#include "corianderpost/clock.h"

namespace corianderpost::soak {

// Route kinds of the stand-in configuration.
enum class CallKind { kNonIdempotent, kIdempotent, kStreaming };

// How a call ended. On a connection that is kept, a complete response ends the
// call, on others the end of the connection.
enum class CallEnd { kNotConnected, kAnswered, kClosed, kReset, kTimedOut };

// A caller's request and the bytes of its response.
struct Call {
  std::string id;
  CallKind kind = CallKind::kNonIdempotent;
  std::string api_key;
  std::size_t router = 0;
  std::string request;
  TimePoint sent_at;
  TimePoint ended_at;
  CallEnd end = CallEnd::kNotConnected;
  std::string response;
  bool was_served = false;
  bool was_rejected = false;
};

// What the framing of a response tells.
struct ResponseFrame {
  bool is_complete = false;
  // Number of bytes that belong to the response so far.
  std::size_t size = 0;

  friend bool operator==(const ResponseFrame&, const ResponseFrame&) = default;
};

// Reads the framing of the response at the begin of `bytes`. `is_at_end` states
// that the router has closed the connection, without a reset, after these
// bytes. Thread-safe.
ResponseFrame ParseResponseFrame(const std::string& bytes, bool is_at_end);

}  // namespace corianderpost::soak

#endif  // CORIANDERPOST_TESTS_SOAK_CALL_H_
