#include "decisions/adaptive_placement.h"

#include <doctest/doctest.h>

namespace corianderpost {
namespace {

constexpr EngineProfile kEngine{96, 206'600};

void Record(AdaptivePlacement& placement, double declared_tokens) {
  for (int i = 0; i < 500; ++i) {
    placement.RecordRequest("s", kEngine, declared_tokens);
  }
}

TEST_CASE("Memory is scarce where a full batch exceeds the KV cache") {
  AdaptivePlacement placement;
  Record(placement, 1500);
  CHECK_FALSE(placement.IsActive("s"));
  Record(placement, 2100);
  CHECK(placement.IsMemoryScarce("s"));
  CHECK(placement.IsActive("s"));
  CHECK_FALSE(placement.IsActive("other"));
}

TEST_CASE("A batch near the limit does not switch the decisions repeatedly") {
  AdaptivePlacement placement;
  Record(placement, 2100);
  Record(placement, 1700);
  CHECK(placement.IsMemoryScarce("s"));
  Record(placement, 1400);
  CHECK_FALSE(placement.IsMemoryScarce("s"));
}

TEST_CASE("A few large requests do not make memory scarce") {
  AdaptivePlacement placement;
  for (int i = 0; i < 10; ++i) {
    placement.RecordRequest("s", kEngine, 9000);
  }
  CHECK_FALSE(placement.IsActive("s"));
}

TEST_CASE("Uneven speeds activate the decisions, with hysteresis") {
  AdaptivePlacement placement;
  placement.SetSpeedRatio("s", 1.4);
  CHECK_FALSE(placement.IsActive("s"));
  placement.SetSpeedRatio("s", 1.6);
  CHECK(placement.IsActive("s"));
  placement.SetSpeedRatio("s", 1.4);
  CHECK(placement.HasUnevenSpeeds("s"));
  placement.SetSpeedRatio("s", 1.2);
  CHECK_FALSE(placement.IsActive("s"));
}

TEST_CASE("The mode overrides what was measured") {
  AdaptivePlacement placement(AdaptiveMode::kOn);
  CHECK(placement.IsActive("s"));
  placement.SetSpeedRatio("s", 3.0);
  placement.SetMode(AdaptiveMode::kOff);
  CHECK_FALSE(placement.IsActive("s"));
}

}  // namespace
}  // namespace corianderpost
