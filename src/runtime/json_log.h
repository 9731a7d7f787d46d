// Structured logs: one JSON object a line, through log4cplus.
#ifndef CORIANDERPOST_RUNTIME_JSON_LOG_H_
#define CORIANDERPOST_RUNTIME_JSON_LOG_H_

#include <cstdint>
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

// Opens the log on standard output. Lines that can't be written at once, or
// that exceed the bound on their rate, are dropped and counted. Call once.
void OpenLog(LogLevel min_level);
// Writes a line. Thread-safe; does nothing before `OpenLog`.
void Log(LogLevel level, const std::string& message,
         const std::vector<LogField>& fields = {});

// Whether a line of this level would be written now. Cheap; spares callers the
// cost of lines that the bound drops. Counts the line as dropped if not.
bool ShouldLog(LogLevel level);
// Lines dropped so far.
std::uint64_t DroppedLogLines();

// Where a request is in a trace, as the `traceparent` header says.
struct TraceContext {
  std::string trace_id;
  std::string parent_span_id;

  // Continues the caller's trace, or begins one if the header is malformed.
  static TraceContext FromHeader(const std::string& traceparent);
  // Returns the header to send on, with `span` as the parent.
  std::string ToHeader(const std::string& span_id) const;
};

// One hop of a request. Logs itself when it ends. Not thread-safe.
class Span {
 public:
  Span(std::string name, const TraceContext& context);
  ~Span();
  Span(const Span&) = delete;
  Span& operator=(const Span&) = delete;

  void Add(const std::string& name, nlohmann::json value);
  const std::string& id() const { return id_; }
  // The context for hops below this one.
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
