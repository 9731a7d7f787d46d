#include "corianderpost/internal/key_registry.h"

#include <doctest/doctest.h>

#include "corianderpost/internal/timing.h"

namespace corianderpost::internal {
namespace {

const VmId kSelf(7);
const CustomerId kClub(1);
constexpr Incarnation kLife = 42;
constexpr std::uint64_t kFingerprint = 99;
const TimePoint kStart(std::chrono::seconds(1));

TEST_CASE("a key's text names its home, life and number") {
  const IssuedKey key{kSelf, kLife, 5};
  const auto parsed = IssuedKey::Parse(key.ToString());
  REQUIRE(parsed.has_value());
  CHECK(*parsed == key);
}

TEST_CASE("text that no router issued is no key") {
  for (const char* text : {"", "cp-", "7d0b5f1e-0000-4000-8000-000000000000",
                           "cp-00000007-000000000000002a-000000000000000G",
                           "cp-00000007-000000000000002A-0000000000000005"}) {
    CAPTURE(text);
    CHECK_FALSE(IssuedKey::Parse(text).has_value());
  }
}

TEST_CASE("a key runs once, and its answer is given again") {
  KeyRegistry keys(kSelf, kLife);
  const IssuedKey key = keys.Issue(kStart, kClub);
  CHECK(keys.Take(kStart, key, kClub, kFingerprint, 1).result ==
        ClaimResult::kRun);
  CHECK(keys.Take(kStart, key, kClub, kFingerprint, 2).result ==
        ClaimResult::kInProgress);
  keys.EndAnswered(1);
  const Claim again = keys.Take(kStart, key, kClub, kFingerprint, 3);
  CHECK(again.result == ClaimResult::kAnswered);
  CHECK(again.answered_by == 1);
}

TEST_CASE("a key whose run was refused as not-run may run again") {
  KeyRegistry keys(kSelf, kLife);
  const IssuedKey key = keys.Issue(kStart, kClub);
  keys.Take(kStart, key, kClub, kFingerprint, 1);
  keys.EndNotRun(1);
  CHECK(keys.Take(kStart, key, kClub, kFingerprint, 2).result ==
        ClaimResult::kRun);
}

TEST_CASE("a key whose outcome is unknown never runs again") {
  KeyRegistry keys(kSelf, kLife);
  const IssuedKey key = keys.Issue(kStart, kClub);
  keys.Take(kStart, key, kClub, kFingerprint, 1);
  keys.EndUnknown(1);
  CHECK(keys.Take(kStart, key, kClub, kFingerprint, 2).result ==
        ClaimResult::kOutcomeUnknown);
}

TEST_CASE("a key serves its own customer and request only") {
  KeyRegistry keys(kSelf, kLife);
  const IssuedKey key = keys.Issue(kStart, kClub);
  CHECK(keys.Take(kStart, key, CustomerId(2), kFingerprint, 1).result ==
        ClaimResult::kNotIssued);
  keys.Take(kStart, key, kClub, kFingerprint, 2);
  CHECK(keys.Take(kStart, key, kClub, kFingerprint + 1, 3).result ==
        ClaimResult::kMismatch);
}

TEST_CASE("an expired key is unknown and its answer is forgotten") {
  KeyRegistry keys(kSelf, kLife);
  const IssuedKey key = keys.Issue(kStart, kClub);
  keys.Take(kStart, key, kClub, kFingerprint, 1);
  keys.EndAnswered(1);
  const TimePoint late = kStart + kKeyLifetime;
  CHECK(keys.Take(late, key, kClub, kFingerprint, 2).result ==
        ClaimResult::kNotIssued);
  CHECK(keys.Expire(late) == std::vector<RequestId>{1});
  CHECK(keys.size() == 0);
}

}  // namespace
}  // namespace corianderpost::internal
