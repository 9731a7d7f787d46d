// Time types and clocks.
//
// Decision code does not read a clock: it gets a `TimePoint` with each event.
// Other code reads a `Clock`; tests can use `ManualClock` to control the time.
#ifndef CORIANDERPOST_CLOCK_H_
#define CORIANDERPOST_CLOCK_H_

#include <time.h>

#include <atomic>
#include <chrono>
#include <cstdint>

namespace corianderpost {

// Length of time in microseconds.
using Duration = std::chrono::microseconds;

// Clock type of `TimePoint`. Time points of different processes can't be
// compared. If a message carries a time, the receiver only echoes it to the
// sender.
struct MonotonicTime {
  using duration = Duration;
  using rep = Duration::rep;
  using period = Duration::period;
  using time_point = std::chrono::time_point<MonotonicTime, Duration>;
  // NOLINTNEXTLINE(readability-identifier-naming): named by the standard.
  static constexpr bool is_steady = true;
};

// Point in the monotonic time of one process.
using TimePoint = MonotonicTime::time_point;

// Source of time. Implementations are safe to call from any thread.
class Clock {
 public:
  virtual ~Clock() = default;
  // Returns the current monotonic time.
  virtual TimePoint Now() const = 0;
  // Returns microseconds since the Unix epoch; may step backwards.
  virtual std::uint64_t WallMicros() const = 0;
};

// Clock of the operating system. Includes the time during which the VM is
// suspended, so that deadlines also expire during a suspension. Thread-safe.
class SystemClock final : public Clock {
 public:
  TimePoint Now() const override {
    timespec ts{};
    clock_gettime(CLOCK_BOOTTIME, &ts);
    return TimePoint(std::chrono::seconds(ts.tv_sec) +
                     Duration(ts.tv_nsec / 1000));
  }
  std::uint64_t WallMicros() const override {
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<Duration>(
            std::chrono::system_clock::now().time_since_epoch())
            .count());
  }
};

// Clock that advances only by calls of `Advance`. Thread-safe.
class ManualClock final : public Clock {
 public:
  TimePoint Now() const override { return TimePoint(Duration(micros_.load())); }
  std::uint64_t WallMicros() const override {
    return static_cast<std::uint64_t>(micros_.load());
  }
  // Advances the time by `step`, which must not be negative.
  void Advance(Duration step) { micros_ += step.count(); }

 private:
  std::atomic<Duration::rep> micros_{0};
};

}  // namespace corianderpost

#endif  // CORIANDERPOST_CLOCK_H_
