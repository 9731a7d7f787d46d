#include "runtime/json_log.h"

#include <limits.h>
#include <log4cplus/appender.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <log4cplus/spi/loggingevent.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <mutex>
#include <random>

namespace corianderpost::internal {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kTraceIdDigits = 32;
constexpr std::size_t kSpanIdDigits = 16;
// A `traceparent` header is "VERSION-TRACE_ID-PARENT_ID-FLAGS"; version and
// flags have two digits each.
constexpr std::size_t kTraceparentLength = 55;

// Rate limit for lines. A router serves about 100 requests per second.
constexpr double kLinesPerSecond = 250;
constexpr double kMaxLineBurst = 500;

std::atomic<bool> is_log_open{false};
std::atomic<std::uint64_t> dropped_lines{0};
std::atomic<std::uint64_t> logged_exceptions{0};

log4cplus::Logger Logger() {
  return log4cplus::Logger::getInstance("corianderpost");
}

log4cplus::LogLevel ToLog4cplusLevel(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return log4cplus::DEBUG_LOG_LEVEL;
    case LogLevel::kInfo:
      return log4cplus::INFO_LOG_LEVEL;
    case LogLevel::kWarning:
      return log4cplus::WARN_LOG_LEVEL;
    case LogLevel::kError:
      break;
  }
  return log4cplus::ERROR_LOG_LEVEL;
}

// Inserts time and level into the event's message, which is a JSON object.
class JsonLayout final : public log4cplus::Layout {
 public:
  void formatAndAppend(
      log4cplus::tostream& out,
      const log4cplus::spi::InternalLoggingEvent& event) override {
    const auto timestamp = event.getTimestamp().time_since_epoch();
    out << "{\"time_us\":"
        << std::chrono::duration_cast<std::chrono::microseconds>(timestamp)
               .count()
        << ",\"level\":\""
        << log4cplus::getLogLevelManager().toString(event.getLogLevel())
        << "\"," << event.getMessage().substr(1) << "\n";
  }
};

// Writes lines to standard output. Drops a line if standard output is not
// writable, so that a slow reader does not block the event loop.
class StandardOutputAppender final : public log4cplus::Appender {
 public:
  ~StandardOutputAppender() override { destructorImpl(); }
  void close() override { closed = true; }

 protected:
  void append(const log4cplus::spi::InternalLoggingEvent& event) override {
    // A line that was begun is ended before the next one.
    if (!WriteRest()) {
      ++dropped_lines;
      return;
    }
    rest_ = formatEvent(event);
    const std::size_t size = rest_.size();
    if (!WriteRest() && rest_.size() == size) {
      rest_.clear();
      ++dropped_lines;
    }
  }

 private:
  // Writes what is left of a line, as far as that does not block. Returns
  // whether nothing is left.
  bool WriteRest() {
    while (!rest_.empty()) {
      pollfd writable{STDOUT_FILENO, POLLOUT, 0};
      if (poll(&writable, 1, 0) <= 0 || (writable.revents & POLLOUT) == 0) {
        return false;
      }
      // A writable pipe accepts PIPE_BUF bytes without blocking.
      const ssize_t n = write(STDOUT_FILENO, rest_.data(),
                              std::min<std::size_t>(rest_.size(), PIPE_BUF));
      if (n <= 0) {
        return false;
      }
      rest_.erase(0, static_cast<std::size_t>(n));
    }
    return true;
  }

  // Rest of a line whose begin was written.
  log4cplus::tstring rest_;
};

// Token bucket that limits the rate of lines, so that a burst of failures does
// not take processor time from requests. Thread-safe.
class LogRateLimiter {
 public:
  // Returns whether a token is available, and takes it if `consume` is true.
  bool TryAcquire(bool consume) {
    const std::lock_guard lock(mutex_);
    const auto now = std::chrono::steady_clock::now();
    const double elapsed =
        std::chrono::duration<double>(now - refilled_at_).count();
    refilled_at_ = now;
    tokens_ = std::min(kMaxLineBurst, tokens_ + elapsed * kLinesPerSecond);
    if (tokens_ < 1.0) {
      return false;
    }
    tokens_ -= consume ? 1.0 : 0.0;
    return true;
  }

 private:
  std::mutex mutex_;
  std::chrono::steady_clock::time_point refilled_at_ =
      std::chrono::steady_clock::now();
  double tokens_ = kMaxLineBurst;
};

LogRateLimiter& RateLimiter() {
  static LogRateLimiter limiter;
  return limiter;
}

std::string RandomHex(std::size_t digits) {
  static constexpr char kHex[] = "0123456789abcdef";
  thread_local std::mt19937_64 random{std::random_device{}()};
  std::string text;
  for (std::size_t i = 0; i < digits; ++i) {
    text += kHex[random() % 16];
  }
  return text;
}

bool IsHex(const std::string& text) {
  return text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

}  // namespace

void OpenLog(LogLevel min_level) {
  log4cplus::initialize();
  log4cplus::SharedAppenderPtr appender(new StandardOutputAppender());
  appender->setLayout(std::make_unique<JsonLayout>());
  Logger().addAppender(appender);
  Logger().setLogLevel(ToLog4cplusLevel(min_level));
  is_log_open = true;
}

std::uint64_t DroppedLogLines() { return dropped_lines; }

void LogException(const std::string& context, const std::exception& ex) {
  ++logged_exceptions;
  Log(LogLevel::kError, "exception caught",
      {{"context", context}, {"reason", ex.what()}});
}

std::uint64_t LoggedExceptions() { return logged_exceptions; }

bool ShouldLog(LogLevel level) {
  if (!is_log_open || !Logger().isEnabledFor(ToLog4cplusLevel(level))) {
    return false;
  }
  if (!RateLimiter().TryAcquire(false)) {
    ++dropped_lines;
    return false;
  }
  return true;
}

void Log(LogLevel level, const std::string& message,
         const std::vector<LogField>& fields) {
  if (!is_log_open || !Logger().isEnabledFor(ToLog4cplusLevel(level))) {
    return;
  }
  if (!RateLimiter().TryAcquire(true)) {
    ++dropped_lines;
    return;
  }
  Json line = {{"message", message}};
  for (const LogField& it : fields) {
    line[it.name] = it.value;
  }
  Logger().log(ToLog4cplusLevel(level),
               line.dump(-1, ' ', false, Json::error_handler_t::replace));
}

TraceContext TraceContext::FromHeader(const std::string& traceparent) {
  if (traceparent.size() == kTraceparentLength && traceparent[2] == '-') {
    TraceContext context{traceparent.substr(3, kTraceIdDigits),
                         traceparent.substr(4 + kTraceIdDigits, kSpanIdDigits)};
    if (IsHex(context.trace_id) && IsHex(context.parent_span_id)) {
      return context;
    }
  }
  return {RandomHex(kTraceIdDigits), ""};
}

std::string TraceContext::ToHeader(const std::string& span_id) const {
  // Version 00; flags 01: the trace is sampled.
  return "00-" + trace_id + "-" + span_id + "-01";
}

Span::Span(std::string name, const TraceContext& context)
    : name_(std::move(name)),
      context_(context),
      id_(RandomHex(kSpanIdDigits)),
      started_at_(SystemClock().Now()) {}

Span::~Span() {
  fields_.push_back({"trace", context_.trace_id});
  fields_.push_back({"span", id_});
  fields_.push_back({"parent", context_.parent_span_id});
  fields_.push_back(
      {"duration_us", (SystemClock().Now() - started_at_).count()});
  Log(LogLevel::kInfo, "span " + name_, fields_);
}

void Span::Add(const std::string& name, Json value) {
  fields_.push_back({name, std::move(value)});
}

}  // namespace corianderpost::internal
