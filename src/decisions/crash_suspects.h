// Finds requests that crash every target that runs them.
//
// A crash is blamed on all requests that ran on the target. Innocent requests
// rarely share three crashes; a suspect that completes is innocent from then
// on, also when it is a common request that many callers send.
#ifndef CORIANDERPOST_DECISIONS_CRASH_SUSPECTS_H_
#define CORIANDERPOST_DECISIONS_CRASH_SUSPECTS_H_

#include <cstdint>
#include <map>
#include <vector>

#include "corianderpost/clock.h"

namespace corianderpost {

// Hash of caller, path and body; equal for a repeated request.
using RequestFingerprint = std::uint64_t;

// What one router tells its peers of a suspect. `crash_id` names one crash of
// one target's life, so that several reports of it count once.
struct CrashReport {
  RequestFingerprint fingerprint = 0;
  std::uint64_t crash_id = 0;
  friend auto operator<=>(const CrashReport&, const CrashReport&) = default;
};

// Not thread-safe.
class CrashSuspects {
 public:
  // Blames a request for a crash. Returns true if the report is new.
  bool RecordCrash(TimePoint now, const CrashReport& report);
  // A target completed the request.
  void Clear(TimePoint now, RequestFingerprint fingerprint);
  // Returns whether the request crashed as many targets as are borne.
  bool IsQuarantined(TimePoint now, RequestFingerprint fingerprint) const;
  // Crashes that the request was part of.
  int CrashCount(RequestFingerprint fingerprint) const;
  // The newest reports, to tell peers.
  std::vector<CrashReport> RecentReports(TimePoint now) const;

 private:
  struct Suspect {
    std::map<std::uint64_t, TimePoint> crashes;
    TimePoint last_crash_at;
  };
  std::map<RequestFingerprint, Suspect> suspects_;
  // Former suspects that completed, and when.
  std::map<RequestFingerprint, TimePoint> cleared_;
};

}  // namespace corianderpost

#endif  // CORIANDERPOST_DECISIONS_CRASH_SUSPECTS_H_
