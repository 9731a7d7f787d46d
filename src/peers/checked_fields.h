// Reads fields of messages from peers, which may be of another version of the
// router or damaged. Thread-safe.
#ifndef CORIANDERPOST_PEERS_CHECKED_FIELDS_H_
#define CORIANDERPOST_PEERS_CHECKED_FIELDS_H_

#include <algorithm>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>

#include "corianderpost/clock.h"
#include "runtime/checked_json.h"

namespace corianderpost {

// Longer times are clamped to this, so that sums with time points can't
// overflow.
inline constexpr Duration kMaxPeerDuration = std::chrono::hours(24 * 3650);
// Larger quantities are refused.
inline constexpr double kMaxPeerNumber = 1e15;
inline constexpr std::size_t kMaxPeerNameBytes = 256;

// A field has another type than its place requires, or is out of range.
class FieldError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Returns a whole number from `min` to `max`. Throws FieldError otherwise.
inline std::int64_t IntegerField(
    const nlohmann::json& json,
    std::int64_t min = std::numeric_limits<std::int64_t>::min(),
    std::int64_t max = std::numeric_limits<std::int64_t>::max()) {
  if (const auto value = ToInteger(json, min, max)) {
    return *value;
  }
  throw FieldError("a field is not a whole number in its range");
}

// Returns an unsigned number of the type's range. Throws FieldError otherwise.
template <typename Unsigned = std::uint64_t>
Unsigned UnsignedField(const nlohmann::json& json) {
  if (!json.is_number_unsigned() ||
      json.get<std::uint64_t>() > std::numeric_limits<Unsigned>::max()) {
    throw FieldError("a field is not an unsigned number in its range");
  }
  return static_cast<Unsigned>(json.get<std::uint64_t>());
}

// Returns a finite number. Throws FieldError otherwise.
inline double NumberField(const nlohmann::json& json) {
  if (const auto value = ToNumber(json, -kMaxPeerNumber, kMaxPeerNumber)) {
    return *value;
  }
  throw FieldError("a field is not a number in its range");
}

// Returns a time in milliseconds; a negative one becomes zero. Throws
// FieldError if it is not a whole number.
inline Duration MillisecondsField(const nlohmann::json& json) {
  const std::int64_t ms = IntegerField(json);
  const auto max_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(kMaxPeerDuration);
  return std::chrono::milliseconds(
      std::clamp<std::int64_t>(ms, 0, max_ms.count()));
}

// Returns a name. Throws FieldError if it is too long, and the JSON library's
// exception if it is not a string.
inline std::string NameField(const nlohmann::json& json) {
  std::string name = json.get<std::string>();
  if (name.size() > kMaxPeerNameBytes) {
    throw FieldError("a name is too long");
  }
  return name;
}

}  // namespace corianderpost

#endif  // CORIANDERPOST_PEERS_CHECKED_FIELDS_H_
