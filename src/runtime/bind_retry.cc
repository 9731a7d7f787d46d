#include "runtime/bind_retry.h"

#include "runtime/json_log.h"

namespace corianderpost::internal {
namespace {

constexpr Duration kPause = std::chrono::milliseconds(50);

std::int64_t ToMillis(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

}  // namespace

void ThrowBindError(const std::string& what,
                    const boost::system::error_code& ec) {
  const std::string reason = what + ": " + ec.message();
  if (ec == boost::system::errc::address_in_use ||
      ec == boost::system::errc::address_not_available) {
    throw AddressUnavailableError(reason);
  }
  throw std::runtime_error(reason);
}

bool RetryBinding(const Clock& clock, const std::function<void()>& attempt,
                  const std::function<bool(Duration)>& pause) {
  const TimePoint began_at = clock.Now();
  bool has_failed = false;
  while (true) {
    try {
      attempt();
      break;
    } catch (const AddressUnavailableError& ex) {
      if (clock.Now() - began_at >= kMaxBindWait) {
        throw;
      }
      if (!has_failed) {
        Log(LogLevel::kWarning, "address is unavailable; trying again",
            {{"reason", ex.what()}, {"for_ms", ToMillis(kMaxBindWait)}});
      }
      has_failed = true;
    }
    if (!pause(kPause)) {
      return false;
    }
  }
  if (has_failed) {
    Log(LogLevel::kInfo, "address is available",
        {{"waited_ms", ToMillis(clock.Now() - began_at)}});
  }
  return true;
}

}  // namespace corianderpost::internal
