// Operators' views as JSON.
#ifndef CORIANDERPOST_INTERNAL_STATUS_JSON_H_
#define CORIANDERPOST_INTERNAL_STATUS_JSON_H_

#include <nlohmann/json.hpp>
#include <vector>

#include "corianderpost/router_core.h"

namespace corianderpost::internal {

nlohmann::json StatusToJson(const RouterStatus& status);
// Decisions carry their age at `now` in milliseconds.
nlohmann::json DecisionsToJson(TimePoint now,
                               const std::vector<Decision>& decisions);

}  // namespace corianderpost::internal

#endif  // CORIANDERPOST_INTERNAL_STATUS_JSON_H_
