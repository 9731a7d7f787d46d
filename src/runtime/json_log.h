// Structured logging through log4cplus: one JSON object per line.
#ifndef CORIANDERPOST_RUNTIME_JSON_LOG_H_
#define CORIANDERPOST_RUNTIME_JSON_LOG_H_

#include <cstdint>
#include <exception>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "corianderpost/clock.h"

namespace corianderpost::internal {

struct LogField {
  std::string name;
  nlohmann::json value;
};

enum class LogLevel { kDebug, kInfo, kWarning, kError };

// Starts logging to standard output, from `min_level` up. Lines that can't be
// written without blocking, or that exceed the rate limit, are dropped and
// counted. Call once.
void OpenLog(LogLevel min_level);
// Writes a line with `message` and `fields`. Does nothing before `OpenLog`.
// Thread-safe.
void Log(LogLevel level, const std::string& message,
         const std::vector<LogField>& fields = {});

// Writes an error line on an exception that was caught where it ends `context`
// only, and counts it. Thread-safe.
void LogException(const std::string& context, const std::exception& ex);
// Returns the number of calls of `LogException` so far.
std::uint64_t LoggedExceptions();

// Returns whether a line of this level would be written now, so that callers
// can avoid the cost of building a line that would be dropped. Counts the line
// as dropped if the rate limit forbids it.
bool ShouldLog(LogLevel level);
// Returns the number of lines dropped so far.
std::uint64_t DroppedLogLines();

// A request's position in a distributed trace (W3C Trace Context).
struct TraceContext {
  // 32 hexadecimal digits.
  std::string trace_id;
  // 16 hexadecimal digits, or empty in the first span of a trace.
  std::string parent_span_id;

  // Continues the trace of a `traceparent` header, or starts a new one if the
  // header is malformed.
  static TraceContext FromHeader(const std::string& traceparent);
  // Returns the `traceparent` header for outgoing requests of span `span_id`.
  std::string ToHeader(const std::string& span_id) const;
};

// One span of a trace. Logs its fields and duration when it is destroyed. Not
// thread-safe.
class Span {
 public:
  Span(std::string name, const TraceContext& context);
  ~Span();
  Span(const Span&) = delete;
  Span& operator=(const Span&) = delete;

  // Adds a field to the log line.
  void Add(const std::string& name, nlohmann::json value);
  const std::string& id() const { return id_; }
  // Returns the context for child spans.
  TraceContext ChildContext() const { return {context_.trace_id, id_}; }

 private:
  const std::string name_;
  const TraceContext context_;
  const std::string id_;
  const TimePoint started_at_;
  std::vector<LogField> fields_;
};

}  // namespace corianderpost::internal

#endif  // CORIANDERPOST_RUNTIME_JSON_LOG_H_
