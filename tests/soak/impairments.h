// What was done to the routers and targets of a soak, and which lost requests
// the rules excuse for it.
#ifndef CORIANDERPOST_TESTS_SOAK_IMPAIRMENTS_H_
#define CORIANDERPOST_TESTS_SOAK_IMPAIRMENTS_H_

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "corianderpost/clock.h"

namespace corianderpost::soak {

// A subject of an impairment. `index` is the number of the router or target.
struct Subject {
  // kRouter: unplanned faults of a router. kTarget: faults of the connections
  // to a target. kStopped: from a router's SIGTERM to its next start.
  // kReload: SIGHUP. kLeaving: a target is listed as draining.
  enum class Kind {
    kRouter,
    kTarget,
    kStore,
    kStopped,
    kReload,
    kConfiguration,
    kLeaving
  };
  Kind kind = Kind::kRouter;
  std::size_t index = 0;

  friend auto operator<=>(const Subject&, const Subject&) = default;
};

// The periods in which subjects were impaired. Not thread-safe.
class Impairments {
 public:
  // Begins a period unless one is open.
  void Begin(const Subject& subject, TimePoint now);
  // Ends the open period, if any.
  void End(const Subject& subject, TimePoint now);
  // Records a period without length.
  void Note(const Subject& subject, TimePoint now);
  // Whether any period has a moment in [from, to].
  bool Overlaps(const Subject& subject, TimePoint from, TimePoint to) const;
  // The begin of the period that includes `at`, if any.
  std::optional<TimePoint> BeginOf(const Subject& subject, TimePoint at) const;

 private:
  struct Period {
    TimePoint begin;
    TimePoint end = TimePoint::max();
  };
  std::map<Subject, std::vector<Period>> periods_;
};

// A request that a router read and whose connection ended without a complete
// response.
struct LostRequest {
  std::size_t router = 0;
  TimePoint sent_at;
  TimePoint ended_at;
  // The target that began to execute it last, if any.
  std::optional<std::size_t> target;
};

// kCrossed: the close crossed the request, which no target got.
// kExcused: beside an unplanned fault.
// kPlanned: in planned work, which the rules allow for no request.
// kUnplanned: at a sound router and target, which the rules allow for three.
enum class Loss { kCrossed, kExcused, kPlanned, kUnplanned };

// Returns what the rules say of `request`, which was sent in a fleet with
// `targets` targets. Thread-safe if `impairments` does not change.
Loss JudgeLoss(const LostRequest& request, std::size_t targets,
               const Impairments& impairments);

// Returns whether `router` passed on a request to `target` at `at` although the
// target had been leaving for too long. Unplanned faults of the two or of the
// store excuse it; planned stops do not. Thread-safe if `impairments` does not
// change.
bool IsLateAtLeavingTarget(std::size_t router, std::size_t target, TimePoint at,
                           const Impairments& impairments);

}  // namespace corianderpost::soak

#endif  // CORIANDERPOST_TESTS_SOAK_IMPAIRMENTS_H_
