// Invariants that every build checks.
//
// A violation never ends the process. It is counted and handed to a sink: the
// router logs it, the soak run fails on it.
#ifndef CORIANDERPOST_INVARIANT_H_
#define CORIANDERPOST_INVARIANT_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace corianderpost {

struct InvariantViolation {
  std::string name;
  std::string detail;
};

// Counts violations and reports them. Not thread-safe: belongs to one core.
class InvariantMonitor {
 public:
  using Sink = std::function<void(const InvariantViolation&)>;

  explicit InvariantMonitor(Sink sink = nullptr) : sink_(std::move(sink)) {}

  // Reports a violation of `name` unless `holds`.
  void Check(bool holds, std::string_view name, std::string_view detail = "") {
    ++checks_;
    if (holds) {
      return;
    }
    ++violations_;
    if (sink_) {
      sink_({std::string(name), std::string(detail)});
    }
  }

  std::uint64_t checks() const { return checks_; }
  std::uint64_t violations() const { return violations_; }

 private:
  Sink sink_;
  std::uint64_t checks_ = 0;
  std::uint64_t violations_ = 0;
};

}  // namespace corianderpost

#endif  // CORIANDERPOST_INVARIANT_H_
