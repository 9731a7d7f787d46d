// Idempotency keys, each tied to the one router incarnation that may run it.
//
// A router issues a key before the work. Every other router hands a request
// with that key to the issuer, and only the issuer's memory decides whether it
// runs. If the issuer is gone the answer is "unknown": no other router can run
// the key, whatever it believes about the fleet.
#ifndef CORIANDERPOST_INTERNAL_KEY_REGISTRY_H_
#define CORIANDERPOST_INTERNAL_KEY_REGISTRY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "corianderpost/clock.h"
#include "corianderpost/ids.h"

namespace corianderpost::internal {

// The parts of a key: issuer, its incarnation and a number.
struct IssuedKey {
  VmId home;
  Incarnation incarnation = 0;
  std::uint64_t number = 0;

  // Returns the form that callers see.
  std::string ToString() const;
  // Returns nothing for text that no router issues.
  static std::optional<IssuedKey> Parse(std::string_view text);
  friend bool operator==(const IssuedKey&, const IssuedKey&) = default;
};

enum class ClaimResult {
  // The caller of `Claim` must run the request now.
  kRun,
  // An earlier request with the key has not ended.
  kInProgress,
  // An earlier request has ended with a whole answer.
  kAnswered,
  // An earlier request may have run; its answer is lost.
  kOutcomeUnknown,
  // The key has expired or was never issued to this customer.
  kNotIssued,
  // The key was used for another request.
  kMismatch,
};

struct Claim {
  ClaimResult result = ClaimResult::kNotIssued;
  // With kAnswered, the request that holds the answer.
  RequestId answered_by = 0;
};

// Keys that this router incarnation issued. Belongs to one core; not
// thread-safe.
class KeyRegistry {
 public:
  KeyRegistry(VmId self, Incarnation incarnation)
      : self_(self), incarnation_(incarnation) {}

  // Issues keys of another life from now on; earlier ones become unknown.
  void SetIncarnation(Incarnation incarnation) { incarnation_ = incarnation; }

  IssuedKey Issue(TimePoint now, CustomerId customer);
  // Takes the key for the request. `key` must name this incarnation.
  Claim Take(TimePoint now, const IssuedKey& key, CustomerId customer,
             std::uint64_t fingerprint, RequestId request);
  // Notes the end of the request that `Take` let run.
  void EndNotRun(RequestId request);
  void EndAnswered(RequestId request);
  void EndUnknown(RequestId request);

  // Drops keys past their life; returns requests whose answers can go too.
  std::vector<RequestId> Expire(TimePoint now);

  std::size_t size() const { return entries_.size(); }

 private:
  enum class State { kIssued, kRunning, kAnswered, kUnknown };
  struct Entry {
    CustomerId customer;
    TimePoint expires_at;
    State state = State::kIssued;
    std::uint64_t fingerprint = 0;
    RequestId request = 0;
  };
  void End(RequestId request, State state);

  const VmId self_;
  Incarnation incarnation_;
  std::uint64_t next_ = 1;
  std::map<std::uint64_t, Entry> entries_;
  std::map<RequestId, std::uint64_t> number_of_request_;
};

}  // namespace corianderpost::internal

#endif  // CORIANDERPOST_INTERNAL_KEY_REGISTRY_H_
