// Detects what the requests that crash targets have in common.
//
// A request has traits: its fingerprint, and each shared part of its prompt. A
// target that ends is evidence against the traits of all requests that it had
// not begun to answer, because a request that crashes its target does so when
// the answer begins. The evidence against a trait is refuted if a target begins
// to answer a request with that trait after the crash. A trait with enough
// evidence that is neither refuted nor explained by another trait is blamed,
// and requests with it are rejected. Routers exchange their evidence, so all of
// them come to the same conclusions.
#ifndef CORIANDERPOST_DECISIONS_CRASH_SUSPECTS_H_
#define CORIANDERPOST_DECISIONS_CRASH_SUSPECTS_H_

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "corianderpost/clock.h"
#include "corianderpost/ids.h"
#include "model/request.h"

namespace corianderpost {

// Hash of customer, path and body; a retry of a request has the same
// fingerprint.
using RequestFingerprint = std::uint64_t;

// Something that several requests may have in common.
struct RequestTrait {
  enum class Kind {
    // `value` is a fingerprint.
    kRequest = 0,
    // `value` is the id of a part of the prompt.
    kPromptPart = 1,
  };
  Kind kind = Kind::kRequest;
  std::uint64_t value = 0;
  friend auto operator<=>(const RequestTrait&, const RequestTrait&) = default;
};

// Returns "request:HEX" or "part:HEX".
std::string ToString(const RequestTrait& trait);

// Returns the traits of a request: its fingerprint and the parts of its prompt
// except the last, which no other request has. Parts beyond the first 64 are
// left out.
std::vector<RequestTrait> TraitsOf(RequestFingerprint fingerprint,
                                   const std::vector<PromptPart>& prompt);

// Returns the id of the crash of one incarnation of a target. Routers that see
// the same crash get the same id.
std::uint64_t CrashIdOf(std::string_view target_id, std::int64_t incarnation);

// One crash as evidence against a trait.
struct CrashEvidence {
  std::uint64_t crash_id = 0;
  // Time since the crash.
  Duration age{0};
  // The customer of the requests with the trait; absent if they have several.
  std::optional<CustomerId> customer;
  // The target has ended: it is more than a broken connection.
  bool is_confirmed = false;
  bool is_refuted = false;
  friend bool operator==(const CrashEvidence&, const CrashEvidence&) = default;
};

// A router's evidence against one trait, as sent to peers.
struct SuspectReport {
  RequestTrait trait;
  // Time until the evidence is forgotten.
  Duration time_to_live{0};
  // Requests with the trait were answered before the crashes.
  bool was_answered = false;
  std::vector<CrashEvidence> crashes;
  friend bool operator==(const SuspectReport&, const SuspectReport&) = default;
};

// A trait whose requests are rejected.
struct BlamedTrait {
  RequestTrait trait;
  // Traits that were present in nearly the same crashes, so that the evidence
  // does not tell them apart. Only requests that have all of them are rejected.
  std::vector<RequestTrait> companions;
  // Set if all evidence comes from requests of one customer. Then only that
  // customer's requests are rejected: they may crash targets for a reason of
  // their own, and other customers may use the same prompt parts.
  std::optional<CustomerId> customer;
  // The crashes that are not refuted.
  std::vector<std::uint64_t> crash_ids;
  friend bool operator==(const BlamedTrait&, const BlamedTrait&) = default;
};

// What became of the evidence, for the metrics.
struct CrashReportCounts {
  std::uint64_t recorded = 0;
  std::uint64_t refuted = 0;
  // Suspects dropped because the table was full.
  std::uint64_t dropped = 0;
  // Suspects whose evidence had to wait for a later peer report.
  std::uint64_t left_out = 0;
  friend bool operator==(const CrashReportCounts&,
                         const CrashReportCounts&) = default;
};

// Crash suspects known to this router. Not thread-safe.
class CrashSuspects {
 public:
  // Records that the connection to a target broke before the target began to
  // answer a request with these traits.
  void RecordCrash(TimePoint now, std::uint64_t crash_id, CustomerId customer,
                   const std::vector<RequestTrait>& traits);
  // Records that the target has ended.
  void ConfirmCrash(TimePoint now, std::uint64_t crash_id);
  // Records that a target began to answer a request with these traits.
  void RecordAnswer(TimePoint now, const std::vector<RequestTrait>& traits);
  // Adds the evidence of a peer.
  void Merge(TimePoint now, const SuspectReport& report);

  // Returns the blamed trait because of which a request must be rejected, or
  // null if there is none. The pointer is valid until the next call of a method
  // that is not const.
  const BlamedTrait* FindCause(TimePoint now,
                               const std::vector<RequestTrait>& traits,
                               CustomerId customer);
  // Returns whether it is time to send a request with the blamed trait as a
  // probe, which shows whether such requests still crash targets. If so, the
  // next probe has to wait again. To be called at one router of the fleet only.
  bool TryProbe(TimePoint now, const RequestTrait& trait);
  // Returns all blamed traits, in order.
  const std::vector<BlamedTrait>& Blamed();
  // Returns the evidence to be sent to peers: what changed since the last
  // reports and, once a second or if `is_complete`, all evidence against blamed
  // traits.
  std::vector<SuspectReport> ReportsFor(TimePoint now, bool is_complete);
  // Deletes evidence that is too old.
  void Expire(TimePoint now);
  // Returns the counts since the last call.
  CrashReportCounts TakeCounts() { return std::exchange(counts_, {}); }

 private:
  struct Crash {
    TimePoint at;
    std::optional<CustomerId> customer;
    bool is_confirmed = false;
    bool is_refuted = false;
  };
  struct Suspect {
    // By crash id.
    std::map<std::uint64_t, Crash> crashes;
    TimePoint expires_at;
    TimePoint last_crash_at;
    TimePoint last_probe_at;
    bool was_answered = false;
    // Number of reports that shall still include the suspect.
    int pending_reports = 0;
  };

  struct KnownCrash {
    // When this router first learned of it.
    TimePoint at;
    bool is_confirmed = false;
  };

  KnownCrash& FindOrCreateCrash(std::uint64_t crash_id, TimePoint at);
  Suspect& FindOrCreate(TimePoint now, const RequestTrait& trait);
  // Adds a crash or updates a known one. Returns true if something changed.
  bool AddCrash(const RequestTrait& trait, Suspect& suspect,
                std::uint64_t crash_id, const Crash& crash);
  void DropOldestSuspect();
  // Recomputes which traits are blamed.
  void UpdateBlame();
  std::map<RequestTrait, Suspect> suspects_;
  // Time of the last answer to a request with a prompt part, so that evidence
  // which arrives late can be refuted.
  std::unordered_map<std::uint64_t, TimePoint> part_answered_at_;
  // By crash id. A confirmation may arrive before the evidence.
  std::map<std::uint64_t, KnownCrash> known_crashes_;
  std::vector<BlamedTrait> blamed_;
  bool is_blame_outdated_ = false;
  TimePoint next_complete_report_at_;
  CrashReportCounts counts_;
};

}  // namespace corianderpost

#endif  // CORIANDERPOST_DECISIONS_CRASH_SUSPECTS_H_
