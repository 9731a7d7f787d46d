#include "corianderpost/internal/configuration_keeper.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "corianderpost/internal/timing.h"

namespace corianderpost::internal {
namespace {

const TimePoint kStart(seconds(100));

std::shared_ptr<const Bundle> BundleOf(std::uint64_t revision) {
  return *Bundle::Parse(R"({"zones":[],"customers":[],"services":[]})",
                        revision);
}

TEST_CASE("the revision in force equals the highest seen, in any order") {
  const bool holds = rc::check([](const std::vector<std::uint8_t>& seen) {
    ConfigurationKeeper keeper(true);
    std::uint64_t highest = 0;
    for (const std::uint8_t it : seen) {
      const std::uint64_t revision = it + 1U;
      keeper.Take(kStart, {BundleOf(revision), it % 2 == 0});
      highest = std::max(highest, revision);
      RC_ASSERT(keeper.revision() == highest);
    }
  });
  CHECK(holds);
}

TEST_CASE("without the rule a stale service takes the configuration back") {
  ConfigurationKeeper keeper(false);
  keeper.Take(kStart, {BundleOf(7), true});
  keeper.Take(kStart, {BundleOf(5), true});
  CHECK(keeper.revision() == 5);
}

TEST_CASE("a router that peers are ahead of has a short time of grace") {
  Membership membership(VmId(1), "zone");
  ConfigurationKeeper keeper(true);
  keeper.Take(kStart, {BundleOf(1), true});
  Heartbeat heartbeat;
  heartbeat.bundle_revision = 2;
  membership.NoteLife(VmId(2), 1);
  membership.TakeHeartbeat(kStart, VmId(2), heartbeat);
  CHECK(keeper.IsCurrent(kStart, membership));
  CHECK_FALSE(keeper.IsNewest(membership));
  CHECK_FALSE(
      keeper.IsCurrent(kStart + kAdoptGrace + milliseconds(1), membership));
  REQUIRE(keeper.NextPull(kStart, membership).has_value());
  CHECK_FALSE(keeper.NextPull(kStart, membership).has_value());
}

TEST_CASE("one read is open at a time and a failed one is tried again later") {
  Membership membership(VmId(1), "zone");
  ConfigurationKeeper keeper(true);
  CHECK(keeper.NextRead(kStart, membership).has_value());
  CHECK_FALSE(keeper.NextRead(kStart + seconds(9), membership).has_value());
  keeper.NoteReadFailed(kStart);
  CHECK_FALSE(keeper.NextRead(kStart, membership).has_value());
  CHECK(keeper.NextRead(kStart + kConfigurationRetry, membership).has_value());
}

}  // namespace
}  // namespace corianderpost::internal
