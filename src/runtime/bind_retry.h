// Attempts to bind addresses that are unavailable for a short time.
#ifndef CORIANDERPOST_RUNTIME_BIND_RETRY_H_
#define CORIANDERPOST_RUNTIME_BIND_RETRY_H_

#include <boost/system/error_code.hpp>
#include <functional>
#include <stdexcept>
#include <string>

#include "corianderpost/clock.h"

namespace corianderpost::internal {

// How long `RetryBinding` tries.
inline constexpr Duration kMaxBindWait = std::chrono::seconds(10);

// Another socket holds the address, or the VM does not have it yet.
class AddressUnavailableError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Throws AddressUnavailableError if a later attempt to bind may succeed after
// `ec`, else std::runtime_error. `what` says what failed, with the address.
[[noreturn]] void ThrowBindError(const std::string& what,
                                 const boost::system::error_code& ec);

// Calls `attempt` until it throws no AddressUnavailableError. Calls `pause`
// with the time to wait in between, which returns false if the program should
// end; then `RetryBinding` returns false, else true. After `kMaxBindWait`, the
// exception of the last attempt is passed on, like all others at once. Not
// thread-safe.
bool RetryBinding(const Clock& clock, const std::function<void()>& attempt,
                  const std::function<bool(Duration)>& pause);

}  // namespace corianderpost::internal

#endif  // CORIANDERPOST_RUNTIME_BIND_RETRY_H_
