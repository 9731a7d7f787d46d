// Detects requests that crash every target that runs them.
//
// A crash is attributed to all requests that were running on the target. A
// harmless request is rarely involved in three crashes. A suspect that
// completes is cleared: for some time, further crashes are not attributed to
// it, so that unrelated crashes do not quarantine a request that many callers
// send.
#ifndef CORIANDERPOST_DECISIONS_CRASH_SUSPECTS_H_
#define CORIANDERPOST_DECISIONS_CRASH_SUSPECTS_H_

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "corianderpost/clock.h"

namespace corianderpost {

// Hash of customer, path and body; a retry of a request has the same
// fingerprint.
using RequestFingerprint = std::uint64_t;

// Attributes one crash to one request; exchanged between routers. `crash_id`
// is derived from the target and its incarnation, so that several reports of
// the same crash count once.
struct CrashReport {
  RequestFingerprint fingerprint = 0;
  std::uint64_t crash_id = 0;
  friend auto operator<=>(const CrashReport&, const CrashReport&) = default;
};

// What became of the reports that `CrashSuspects` was given.
struct CrashReportCounts {
  std::uint64_t recorded = 0;
  // Ignored because the request had been cleared.
  std::uint64_t cleared = 0;
  // Suspects dropped because the table was full.
  std::uint64_t dropped = 0;
  // Reports left out of a peer report because of its size limit.
  std::uint64_t left_out = 0;
  friend bool operator==(const CrashReportCounts&,
                         const CrashReportCounts&) = default;
};

// Crash suspects known to this router. Not thread-safe.
class CrashSuspects {
 public:
  // Attributes a crash to a request. Returns true if the report was not known
  // and the request has not been cleared.
  bool RecordCrash(TimePoint now, const CrashReport& report);
  // Clears a suspect because a target completed the request. Does nothing if
  // the request was never a suspect.
  void Clear(TimePoint now, RequestFingerprint fingerprint);
  // Returns whether the request was involved in enough recent crashes to be
  // rejected.
  bool IsQuarantined(TimePoint now, RequestFingerprint fingerprint) const;
  // Returns the number of different crashes attributed to the request.
  int CrashCount(RequestFingerprint fingerprint) const;
  // Returns the reports recorded recently, to be sent to peers.
  std::vector<CrashReport> RecentReports(TimePoint now);
  // Returns the counts since the last call.
  CrashReportCounts TakeCounts() { return std::exchange(counts_, {}); }

 private:
  struct Suspect {
    // Time of the first report of each crash, by crash id.
    std::map<std::uint64_t, TimePoint> crashes;
    TimePoint last_crash_at;
  };
  std::map<RequestFingerprint, Suspect> suspects_;
  // Former suspects, with the time of their last completion.
  std::map<RequestFingerprint, TimePoint> cleared_;
  CrashReportCounts counts_;
};

}  // namespace corianderpost

#endif  // CORIANDERPOST_DECISIONS_CRASH_SUSPECTS_H_
