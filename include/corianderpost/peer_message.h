// Messages between routers.
//
// Messages may be lost, repeated, reordered or late. Each one states a fact or
// the sender's whole current state of one matter, so that the next one repairs
// whatever the last one missed. `EncodeEnvelope` writes CBOR.
#ifndef CORIANDERPOST_PEER_MESSAGE_H_
#define CORIANDERPOST_PEER_MESSAGE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "absl/status/statusor.h"
#include "corianderpost/ids.h"

namespace corianderpost {

// Says that the sender lives, and which configuration and list it holds.
struct Heartbeat {
  bool draining = false;
  // True while the sender hears a majority and may give work to targets.
  bool serving = false;
  std::uint64_t bundle_revision = 0;
  std::uint64_t list_revision = 0;
  // Milliseconds since anyone the sender knows of read the configuration.
  std::uint32_t configuration_age_ms = 0;
  // Sender's local time in microseconds, and the receiver's as the sender last
  // heard it; 0 if it heard none. A late message so shows its age.
  std::int64_t sent_at_us = 0;
  std::int64_t echo_us = 0;
  friend bool operator==(const Heartbeat&, const Heartbeat&) = default;
};

// Units of service that one incarnation of a router gave to an account.
struct ServedEntry {
  VmId router;
  Incarnation incarnation = 0;
  AccountId account;
  std::uint64_t units = 0;
  friend bool operator==(const ServedEntry&, const ServedEntry&) = default;
};

// Units added to an account's total so that idle time earns no credit.
struct LiftEntry {
  AccountId account;
  std::uint64_t units = 0;
  friend bool operator==(const LiftEntry&, const LiftEntry&) = default;
};

// Service counters that changed since the last exchange.
struct CounterUpdate {
  std::vector<ServedEntry> served;
  std::vector<LiftEntry> lifts;
  // Accounts with waiting requests at the sender.
  std::vector<AccountId> backlogged;
  friend bool operator==(const CounterUpdate&, const CounterUpdate&) = default;
};

struct DemandEntry {
  CustomerId customer;
  std::uint32_t waiting = 0;
  // In large fleets, what the account received as far as the sender knows;
  // otherwise 0.
  std::uint64_t total = 0;
  friend bool operator==(const DemandEntry&, const DemandEntry&) = default;
};

// Everything that waits for one service at the sender, and the receiver's
// grants that the sender still uses. Replaces the sender's earlier demand.
struct Demand {
  ServiceId service;
  std::uint64_t sequence = 0;
  // Sender's local time in microseconds; comes back in grants.
  std::int64_t sent_at_us = 0;
  std::vector<DemandEntry> entries;
  std::vector<std::uint64_t> held_grants;
  friend bool operator==(const Demand&, const Demand&) = default;
};

// Lets the receiver start one request of the customer on the target.
struct Grant {
  std::uint64_t id = 0;
  TargetId target;
  ServiceId service;
  CustomerId customer;
  // The time in the demand that this answers, on the receiver's clock.
  std::int64_t demand_sent_at_us = 0;
  friend bool operator==(const Grant&, const Grant&) = default;
};

enum class ReleaseReason { kUnused, kFinished, kTargetFailed };

// Gives a grant back.
struct Release {
  std::uint64_t grant = 0;
  ReleaseReason reason = ReleaseReason::kFinished;
  friend bool operator==(const Release&, const Release&) = default;
};

// Asks for the sole right to give work to targets that may be cold.
struct LeaseRequest {
  std::uint64_t list_revision = 0;
  // Sender's local time in microseconds; comes back in votes.
  std::int64_t asked_at_us = 0;
  std::vector<TargetId> targets;
  friend bool operator==(const LeaseRequest&, const LeaseRequest&) = default;
};

// Promises not to vote for another router for the lease's length.
struct LeaseVote {
  std::int64_t asked_at_us = 0;
  std::vector<TargetId> targets;
  friend bool operator==(const LeaseVote&, const LeaseVote&) = default;
};

struct SuspectEntry {
  std::uint64_t fingerprint = 0;
  std::uint32_t crashes = 0;
  friend bool operator==(const SuspectEntry&, const SuspectEntry&) = default;
};

// Requests that were running on targets when they died.
struct SuspectUpdate {
  std::vector<SuspectEntry> entries;
  friend bool operator==(const SuspectUpdate&, const SuspectUpdate&) = default;
};

struct AccountTotal {
  AccountId account;
  std::uint64_t units = 0;
  friend bool operator==(const AccountTotal&, const AccountTotal&) = default;
};

// In large fleets, an account's home answers a counter update with what the
// accounts received over the whole fleet.
struct AccountTotals {
  std::vector<AccountTotal> totals;
  friend bool operator==(const AccountTotals&, const AccountTotals&) = default;
};

using PeerMessage =
    std::variant<Heartbeat, CounterUpdate, Demand, Grant, Release, LeaseRequest,
                 LeaseVote, SuspectUpdate, AccountTotals>;

struct PeerEnvelope {
  VmId from;
  Incarnation from_incarnation = 0;
  VmId to;
  // Incarnation of the receiver that the sender means; 0 if it knows none.
  Incarnation to_incarnation = 0;
  PeerMessage message;
  friend bool operator==(const PeerEnvelope&, const PeerEnvelope&) = default;
};

// Returns the message kind's name for metrics, such as "grant".
std::string_view KindName(const PeerMessage& message);

// Returns the CBOR encoding. Thread-safe.
std::string EncodeEnvelope(const PeerEnvelope& envelope);

// Returns InvalidArgument for bytes that are no envelope. Thread-safe.
absl::StatusOr<PeerEnvelope> DecodeEnvelope(std::string_view bytes);

}  // namespace corianderpost

#endif  // CORIANDERPOST_PEER_MESSAGE_H_
