// Requests that were running on targets when these died.
//
// A request that crashes its target comes back, at any router. Each crash makes
// the requests aboard suspects; a suspect that completes is cleared, one that
// was aboard `kQuarantineCrashes` crashes is refused. When a known suspect was
// aboard, the others are not blamed.
#ifndef CORIANDERPOST_INTERNAL_CRASH_SUSPECTS_H_
#define CORIANDERPOST_INTERNAL_CRASH_SUSPECTS_H_

#include <cstdint>
#include <map>
#include <vector>

#include "corianderpost/clock.h"
#include "corianderpost/peer_message.h"

namespace corianderpost::internal {

// Belongs to one core; not thread-safe.
class CrashSuspects {
 public:
  // Notes that a target died with these requests of this router aboard.
  void NoteCrash(TimePoint now, const std::vector<std::uint64_t>& aboard);
  // Notes that the request completed.
  void Clear(std::uint64_t fingerprint);
  void Merge(TimePoint now, const SuspectUpdate& update);

  bool IsSuspect(TimePoint now, std::uint64_t fingerprint) const;
  bool IsQuarantined(TimePoint now, std::uint64_t fingerprint) const;

  // Returns what changed lately, for all peers. Each change is returned a few
  // times, as messages may be lost.
  SuspectUpdate TakeChanges();
  // Returns everything, for a peer that restarted.
  SuspectUpdate Everything() const;
  void Expire(TimePoint now);

 private:
  struct Suspect {
    std::uint32_t crashes = 0;
    TimePoint until;
  };
  std::uint32_t CrashesOf(TimePoint now, std::uint64_t fingerprint) const;

  std::map<std::uint64_t, Suspect> suspects_;
  // Changes and how often they are still to be returned.
  std::map<std::uint64_t, int> changed_;
};

}  // namespace corianderpost::internal

#endif  // CORIANDERPOST_INTERNAL_CRASH_SUSPECTS_H_
