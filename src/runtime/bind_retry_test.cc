#include "runtime/bind_retry.h"

#include <doctest/doctest.h>

#include <stdexcept>

namespace corianderpost::internal {
namespace {

TEST_CASE("An address that becomes available ends the wait") {
  ManualClock clock;
  int attempts = 0;
  CHECK(RetryBinding(
      clock,
      [&] {
        if (++attempts < 4) {
          throw AddressUnavailableError("in use");
        }
      },
      [&](Duration pause) {
        clock.Advance(pause);
        return true;
      }));
  CHECK(attempts == 4);
}

TEST_CASE("An address that stays unavailable is reported in a bounded time") {
  ManualClock clock;
  CHECK_THROWS_AS(RetryBinding(
                      clock, [] { throw AddressUnavailableError("in use"); },
                      [&](Duration pause) {
                        clock.Advance(pause);
                        return true;
                      }),
                  AddressUnavailableError);
  CHECK(clock.Now() - TimePoint() >= kMaxBindWait);
  CHECK(clock.Now() - TimePoint() < kMaxBindWait + std::chrono::seconds(1));
}

TEST_CASE("Other failures to bind are not tried again") {
  ManualClock clock;
  int attempts = 0;
  const auto attempt = [&] {
    ++attempts;
    ThrowBindError("cannot listen",
                   boost::system::errc::make_error_code(
                       boost::system::errc::permission_denied));
  };
  CHECK_THROWS_AS(RetryBinding(clock, attempt, [](Duration) { return true; }),
                  std::runtime_error);
  CHECK(attempts == 1);
}

TEST_CASE("A stop ends the wait for an address") {
  ManualClock clock;
  CHECK_FALSE(RetryBinding(
      clock, [] { throw AddressUnavailableError("in use"); },
      [](Duration) { return false; }));
}

}  // namespace
}  // namespace corianderpost::internal
