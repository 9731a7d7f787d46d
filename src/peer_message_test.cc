#include "corianderpost/peer_message.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace corianderpost {
namespace {

std::vector<PeerMessage> OneOfEach(std::uint32_t a, std::uint64_t b) {
  return {Heartbeat{true, false, b, b / 2, a, 77, 88},
          CounterUpdate{{{VmId(a), b, AccountId(a), b}},
                        {{AccountId(a), b}},
                        {AccountId(a), AccountId(1)}},
          Demand{ServiceId(a), b, 12, {{CustomerId(a), 3, b}}, {b, 1, 2}},
          Grant{b, VmId(a), ServiceId(a), CustomerId(a), -5},
          Release{b, ReleaseReason::kTargetFailed},
          LeaseRequest{b, 9, {VmId(a)}},
          LeaseVote{9, {VmId(a), VmId(2)}},
          SuspectUpdate{{{b, a}}},
          AccountTotals{{{AccountId(a), b}}}};
}

TEST_CASE("every kind of message survives encoding") {
  const bool holds = rc::check([](std::uint32_t a, std::uint64_t b) {
    for (const PeerMessage& message : OneOfEach(a, b)) {
      const PeerEnvelope sent{VmId(a), b, VmId(2), 3, message};
      const auto received = DecodeEnvelope(EncodeEnvelope(sent));
      RC_ASSERT(received.ok());
      RC_ASSERT(*received == sent);
    }
  });
  CHECK(holds);
}

TEST_CASE("bytes that are no message are an error, never a crash") {
  const bool holds = rc::check([](const std::string& bytes) {
    static_cast<void>(DecodeEnvelope(bytes));
  });
  CHECK(holds);
  CHECK_FALSE(DecodeEnvelope("").ok());
  CHECK_FALSE(DecodeEnvelope("hello").ok());
}

TEST_CASE("a damaged message is an error, never a crash") {
  const bool holds = rc::check([](std::uint64_t b, std::uint16_t at) {
    for (const PeerMessage& message : OneOfEach(1, b)) {
      std::string bytes = EncodeEnvelope({VmId(1), b, VmId(2), 3, message});
      bytes[at % bytes.size()] = static_cast<char>(b);
      static_cast<void>(DecodeEnvelope(bytes));
      static_cast<void>(DecodeEnvelope(bytes.substr(0, at % bytes.size())));
    }
  });
  CHECK(holds);
}

}  // namespace
}  // namespace corianderpost
