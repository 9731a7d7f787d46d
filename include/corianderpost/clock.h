// Time for the router fleet.
//
// Decision code receives `TimePoint` values with its events and reads no clock.
// Runtime code reads a `Clock`, which tests replace by `ManualClock` to pause
// and advance time.
#ifndef CORIANDERPOST_CLOCK_H_
#define CORIANDERPOST_CLOCK_H_

#include <time.h>

#include <atomic>
#include <chrono>
#include <cstdint>

namespace corianderpost {

// Length of time in microseconds.
using Duration = std::chrono::microseconds;

// Tag of the fleet's time points. Points of two processes are never compared:
// a message that needs a time carries one that its sender gets back unchanged.
struct MonotonicTime {
  using duration = Duration;
  using rep = Duration::rep;
  using period = Duration::period;
  using time_point = std::chrono::time_point<MonotonicTime, Duration>;
  // NOLINTNEXTLINE(readability-identifier-naming): named by the standard.
  static constexpr bool is_steady = true;
};

// Point on one process's own monotonic time line.
using TimePoint = MonotonicTime::time_point;

// Source of time. Implementations are safe to call from any thread.
class Clock {
 public:
  virtual ~Clock() = default;
  // Returns the current point on the monotonic time line.
  virtual TimePoint Now() const = 0;
  // Returns microseconds since the Unix epoch; may step backwards.
  virtual std::uint64_t WallMicros() const = 0;
};

// Clock of the operating system. Counts the time in which the machine was
// suspended, so that deadlines pass meanwhile. Thread-safe.
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

// Clock that moves only when told to. Thread-safe.
class ManualClock final : public Clock {
 public:
  TimePoint Now() const override { return TimePoint(Duration(micros_.load())); }
  std::uint64_t WallMicros() const override {
    return static_cast<std::uint64_t>(micros_.load());
  }
  // Moves time forward by `step`, which must not be negative.
  void Advance(Duration step) { micros_ += step.count(); }

 private:
  std::atomic<Duration::rep> micros_{0};
};

}  // namespace corianderpost

#endif  // CORIANDERPOST_CLOCK_H_
