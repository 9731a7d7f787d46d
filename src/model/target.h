// A back end as described by the target list.
#ifndef CORIANDERPOST_MODEL_TARGET_H_
#define CORIANDERPOST_MODEL_TARGET_H_

#include <cstdint>
#include <string>

#include "corianderpost/clock.h"

namespace corianderpost {

// One entry of the target list. A value type.
struct TargetEntry {
  std::string id;
  std::string service;
  // "IP:port".
  std::string address;
  std::string zone;
  // Version of the target's software; empty if the entry states none.
  std::string version;
  bool is_draining = false;
  // Requests processed at the same time. For model engines the scheduler uses
  // `EngineProfile::slots` instead.
  int slots = 1;
  // Remaining time of the cold start when the entry was written.
  Duration cold_remaining{0};
  // Start time of the target in Unix milliseconds; changes with every restart.
  std::int64_t incarnation = 0;
  friend bool operator==(const TargetEntry&, const TargetEntry&) = default;
};

}  // namespace corianderpost

#endif  // CORIANDERPOST_MODEL_TARGET_H_
