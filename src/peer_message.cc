#include "corianderpost/peer_message.h"

#include <nlohmann/json.hpp>

#include "absl/status/status.h"

namespace corianderpost {
namespace {

using Json = nlohmann::json;

// Every message is an array of its fields in order of declaration, behind the
// index of its kind.
template <typename Tag>
Json ToJson(Id<Tag> id) {
  return id.value();
}

template <typename T>
T IdFrom(const Json& json) {
  return T(json.get<std::uint32_t>());
}

template <typename T>
Json IdsToJson(const std::vector<T>& ids) {
  Json array = Json::array();
  for (const T it : ids) {
    array.push_back(it.value());
  }
  return array;
}

template <typename T>
std::vector<T> IdsFrom(const Json& array) {
  std::vector<T> ids;
  for (const Json& it : array) {
    ids.push_back(IdFrom<T>(it));
  }
  return ids;
}

Json Body(const Heartbeat& it) {
  return Json::array({it.draining, it.serving, it.bundle_revision,
                      it.list_revision, it.configuration_age_ms, it.sent_at_us,
                      it.echo_us});
}

Json Body(const CounterUpdate& it) {
  Json served = Json::array();
  for (const auto& entry : it.served) {
    served.push_back(entry.router.value());
    served.push_back(entry.incarnation);
    served.push_back(entry.account.value());
    served.push_back(entry.units);
  }
  Json lifts = Json::array();
  for (const auto& entry : it.lifts) {
    lifts.push_back(entry.account.value());
    lifts.push_back(entry.units);
  }
  return Json::array({served, lifts, IdsToJson(it.backlogged)});
}

Json Body(const Demand& it) {
  Json entries = Json::array();
  for (const auto& entry : it.entries) {
    entries.push_back(entry.customer.value());
    entries.push_back(entry.waiting);
    entries.push_back(entry.total);
  }
  return Json::array({ToJson(it.service), it.sequence, it.sent_at_us, entries,
                      it.held_grants});
}

Json Body(const Grant& it) {
  return Json::array({it.id, ToJson(it.target), ToJson(it.service),
                      ToJson(it.customer), it.demand_sent_at_us});
}

Json Body(const Release& it) {
  return Json::array({it.grant, static_cast<int>(it.reason)});
}

Json Body(const LeaseRequest& it) {
  return Json::array({it.list_revision, it.asked_at_us, IdsToJson(it.targets)});
}

Json Body(const LeaseVote& it) {
  return Json::array({it.asked_at_us, IdsToJson(it.targets)});
}

Json Body(const SuspectUpdate& it) {
  Json entries = Json::array();
  for (const auto& entry : it.entries) {
    entries.push_back(entry.fingerprint);
    entries.push_back(entry.crashes);
  }
  return Json::array({entries});
}

Json Body(const AccountTotals& it) {
  Json totals = Json::array();
  for (const auto& entry : it.totals) {
    totals.push_back(entry.account.value());
    totals.push_back(entry.units);
  }
  return Json::array({totals});
}

void Parse(const Json& body, Heartbeat& it) {
  it = {body.at(0), body.at(1), body.at(2), body.at(3),
        body.at(4), body.at(5), body.at(6)};
}

void Parse(const Json& body, CounterUpdate& it) {
  const Json& served = body.at(0);
  for (std::size_t i = 0; i < served.size(); i += 4) {
    it.served.push_back({IdFrom<VmId>(served.at(i)), served.at(i + 1),
                         IdFrom<AccountId>(served.at(i + 2)),
                         served.at(i + 3)});
  }
  const Json& lifts = body.at(1);
  for (std::size_t i = 0; i < lifts.size(); i += 2) {
    it.lifts.push_back({IdFrom<AccountId>(lifts.at(i)), lifts.at(i + 1)});
  }
  it.backlogged = IdsFrom<AccountId>(body.at(2));
}

void Parse(const Json& body, Demand& it) {
  it.service = IdFrom<ServiceId>(body.at(0));
  it.sequence = body.at(1);
  it.sent_at_us = body.at(2);
  const Json& entries = body.at(3);
  for (std::size_t i = 0; i < entries.size(); i += 3) {
    it.entries.push_back({IdFrom<CustomerId>(entries.at(i)), entries.at(i + 1),
                          entries.at(i + 2)});
  }
  it.held_grants = body.at(4).get<std::vector<std::uint64_t>>();
}

void Parse(const Json& body, Grant& it) {
  it = {body.at(0), IdFrom<TargetId>(body.at(1)), IdFrom<ServiceId>(body.at(2)),
        IdFrom<CustomerId>(body.at(3)), body.at(4)};
}

void Parse(const Json& body, Release& it) {
  const int reason = body.at(1);
  if (reason < 0 || reason > static_cast<int>(ReleaseReason::kTargetFailed)) {
    throw std::out_of_range("unknown release reason");
  }
  it = {body.at(0), static_cast<ReleaseReason>(reason)};
}

void Parse(const Json& body, LeaseRequest& it) {
  it = {body.at(0), body.at(1), IdsFrom<TargetId>(body.at(2))};
}

void Parse(const Json& body, LeaseVote& it) {
  it = {body.at(0), IdsFrom<TargetId>(body.at(1))};
}

void Parse(const Json& body, SuspectUpdate& it) {
  const Json& entries = body.at(0);
  for (std::size_t i = 0; i < entries.size(); i += 2) {
    it.entries.push_back({entries.at(i), entries.at(i + 1)});
  }
}

void Parse(const Json& body, AccountTotals& it) {
  const Json& totals = body.at(0);
  for (std::size_t i = 0; i < totals.size(); i += 2) {
    it.totals.push_back({IdFrom<AccountId>(totals.at(i)), totals.at(i + 1)});
  }
}

// Parses the message of kind `index`, trying the kinds from `Index` on.
template <std::size_t Index = 0>
PeerMessage ParseKind(std::size_t index, const Json& body) {
  if constexpr (Index >= std::variant_size_v<PeerMessage>) {
    throw std::out_of_range("unknown message kind");
  } else {
    if (index != Index) {
      return ParseKind<Index + 1>(index, body);
    }
    std::variant_alternative_t<Index, PeerMessage> message;
    Parse(body, message);
    return message;
  }
}

}  // namespace

std::string_view KindName(const PeerMessage& message) {
  static constexpr std::string_view kNames[] = {
      "heartbeat",     "counters",   "demand",   "grant", "release",
      "lease-request", "lease-vote", "suspects", "totals"};
  static_assert(std::size(kNames) == std::variant_size_v<PeerMessage>);
  return kNames[message.index()];
}

std::string EncodeEnvelope(const PeerEnvelope& envelope) {
  const Json body =
      std::visit([](const auto& it) { return Body(it); }, envelope.message);
  const Json whole = Json::array(
      {envelope.from.value(), envelope.from_incarnation, envelope.to.value(),
       envelope.to_incarnation, envelope.message.index(), body});
  std::string bytes;
  Json::to_cbor(whole, bytes);
  return bytes;
}

absl::StatusOr<PeerEnvelope> DecodeEnvelope(std::string_view bytes) {
  try {
    const Json whole = Json::from_cbor(bytes);
    PeerEnvelope envelope;
    envelope.from = IdFrom<VmId>(whole.at(0));
    envelope.from_incarnation = whole.at(1);
    envelope.to = IdFrom<VmId>(whole.at(2));
    envelope.to_incarnation = whole.at(3);
    envelope.message = ParseKind(whole.at(4), whole.at(5));
    return envelope;
  } catch (const std::exception& ex) {
    return absl::InvalidArgumentError(std::string("no peer message: ") +
                                      ex.what());
  }
}

}  // namespace corianderpost
