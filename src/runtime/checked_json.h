// Parsing of JSON and MessagePack from other processes, with bounds on nesting
// and on numbers. Nothing here throws because of its input. Thread-safe.
#ifndef CORIANDERPOST_RUNTIME_CHECKED_JSON_H_
#define CORIANDERPOST_RUNTIME_CHECKED_JSON_H_

#include <cstddef>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>

namespace corianderpost {

// Texts with more arrays and objects inside each other are refused: parsing
// takes memory, and in MessagePack stack, for each level.
inline constexpr std::size_t kMaxJsonDepth = 64;
// Doubles represent all integers up to this one exactly.
inline constexpr std::int64_t kMaxExactInteger = std::int64_t{1} << 53;

// Returns a discarded value if `text` is not valid JSON or nested too deeply.
nlohmann::json ParseJson(std::string_view text);
// The same for MessagePack.
nlohmann::json ParseMessagePack(std::string_view bytes);

// Returns absent if `json` is not a whole number from `min` to `max`.
std::optional<std::int64_t> ToInteger(
    const nlohmann::json& json, std::int64_t min = 0,
    std::int64_t max = std::numeric_limits<std::int64_t>::max());
// Returns absent if `json` is not a number from `min` to `max`.
std::optional<double> ToNumber(const nlohmann::json& json, double min,
                               double max);

}  // namespace corianderpost

#endif  // CORIANDERPOST_RUNTIME_CHECKED_JSON_H_
