// What a request is expected to cost an engine, and what it has cost so far.
//
// A unit is a weighted token as in fair_share.h. The output that a request was
// charged for is settled with what its stream has generated when an attempt
// ends, however it ends. Outputs are learned in events and multiplied by the
// learned number of tokens per event. Until that number is known, requests cost
// their declared maximum and nothing is settled.
#ifndef CORIANDERPOST_DECISIONS_REQUEST_COST_H_
#define CORIANDERPOST_DECISIONS_REQUEST_COST_H_

#include <map>
#include <vector>

#include "corianderpost/clock.h"
#include "corianderpost/ids.h"
#include "decisions/event_size.h"
#include "decisions/output_estimate.h"

namespace corianderpost {

struct ScheduledRequest;

struct RequestCost {
  // Prompt tokens that the request shares with no other.
  double prompt_tokens = 0;
  double output_tokens = 0;
  double units() const { return prompt_tokens + 2.0 * output_tokens; }
  friend bool operator==(const RequestCost&, const RequestCost&) = default;
};

// The output of one attempt. In tokens, also the traits.
struct AttemptOutput {
  OutputTraits traits;
  ServiceId service;
  double expected_tokens = 0;
  // Output that the customer's share was charged for.
  double charged_tokens = 0;
  // Whether the charge is settled when the attempt ends.
  bool is_settled = false;
  // Whether the attempt generates the whole output of the request.
  bool is_whole = false;
  int events = 0;
  double generated_tokens = 0;
  // Expected remaining output; zero once the attempt has ended.
  double tokens_left = 0;
  friend bool operator==(const AttemptOutput&, const AttemptOutput&) = default;
};

// Learns the costs of requests from the streams that this router forwards. Not
// thread-safe.
class RequestCosts {
 public:
  static RequestCost DeclaredCost(const ScheduledRequest& request);
  // Returns the expected cost if `is_adaptive` and it can be known, otherwise
  // the declared one. Only streams have an output that can be observed.
  RequestCost Cost(const ScheduledRequest& request, bool is_adaptive) const;

  // Returns the state of an attempt that begins now. The first attempt of a
  // request was charged for its cost, each further one is charged for
  // `charged_tokens` of output.
  AttemptOutput BeginAttempt(const ScheduledRequest& request,
                             bool is_adaptive) const;
  // Records an event with output. Returns by how many tokens the output
  // exceeds the expected one since the last event.
  double RecordEvent(AttemptOutput& output) const;
  // Records the end of an attempt that `has_completed` or was interrupted.
  // Returns the units by which the charge is to be corrected; negative if the
  // output was shorter than expected.
  double RecordEnd(TimePoint now, const AttemptOutput& output,
                   bool has_completed);

  // Returns what this router knows of the sizes of events, for its peers.
  std::vector<SharedEventSize> EventSizes(TimePoint now) const;
  // Takes over what a peer has reported.
  void MergeEventSize(TimePoint now, const SharedEventSize& event_size);
  // Returns the learned tokens per event of a service; 1 until it is known.
  double TokensPerEvent(ServiceId service) const;

 private:
  bool IsEventSizeKnown(ServiceId service) const;
  // Returns the traits with outputs in events instead of tokens.
  OutputTraits InEvents(OutputTraits traits, ServiceId service) const;

  OutputEstimates estimates_;
  std::map<ServiceId, EventSize> event_sizes_;
};

}  // namespace corianderpost

#endif  // CORIANDERPOST_DECISIONS_REQUEST_COST_H_
