// A back end as the platform's list describes it.
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
  bool is_draining = false;
  int slots = 1;
  // How much longer the target stays cold, at the time of the entry.
  Duration cold_remaining{0};
  // Unix time of the target's start in milliseconds; tells its lives apart.
  std::int64_t incarnation = 0;
  friend bool operator==(const TargetEntry&, const TargetEntry&) = default;
};

}  // namespace corianderpost

#endif  // CORIANDERPOST_MODEL_TARGET_H_
