#include "runtime/checked_json.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace corianderpost {
namespace {

using Json = nlohmann::json;

// Whether the brackets outside of strings are nested within the bound.
bool IsJsonDepthBounded(std::string_view text) {
  std::size_t depth = 0;
  bool is_in_string = false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (is_in_string) {
      if (c == '\\') {
        ++i;
      } else if (c == '"') {
        is_in_string = false;
      }
      continue;
    }
    if (c == '"') {
      is_in_string = true;
    } else if (c == '[' || c == '{') {
      if (++depth > kMaxJsonDepth) {
        return false;
      }
    } else if ((c == ']' || c == '}') && depth > 0) {
      --depth;
    }
  }
  return true;
}

// The size of a MessagePack value without its elements, and their number.
struct MessagePackHead {
  std::uint64_t size = 1;
  std::uint64_t elements = 0;
};

// Reads an unsigned big-endian number. Bytes after the end count as zero; the
// parser reports them as missing.
std::uint64_t ReadBigEndian(std::string_view bytes, std::size_t n) {
  std::uint64_t value = 0;
  for (std::size_t i = 0; i < n; ++i) {
    value = (value << 8) |
            (i < bytes.size() ? static_cast<unsigned char>(bytes[i]) : 0U);
  }
  return value;
}

// `bytes` must not be empty.
MessagePackHead ReadHead(std::string_view bytes) {
  const auto tag = static_cast<unsigned char>(bytes.front());
  const std::string_view rest = bytes.substr(1);
  const auto with_length = [rest](std::size_t length_size,
                                  std::uint64_t extra) {
    return MessagePackHead{
        1 + length_size + extra + ReadBigEndian(rest, length_size), 0};
  };
  if (tag >= 0x80 && tag <= 0x8f) {
    return {1, 2 * static_cast<std::uint64_t>(tag & 0x0f)};
  }
  if (tag >= 0x90 && tag <= 0x9f) {
    return {1, static_cast<std::uint64_t>(tag & 0x0f)};
  }
  if (tag >= 0xa0 && tag <= 0xbf) {
    return {1 + static_cast<std::uint64_t>(tag & 0x1f), 0};
  }
  switch (tag) {
    case 0xc4:  // bin 8
    case 0xd9:  // str 8
      return with_length(1, 0);
    case 0xc5:  // bin 16
    case 0xda:  // str 16
      return with_length(2, 0);
    case 0xc6:  // bin 32
    case 0xdb:  // str 32
      return with_length(4, 0);
    case 0xc7:  // ext 8
      return with_length(1, 1);
    case 0xc8:  // ext 16
      return with_length(2, 1);
    case 0xc9:  // ext 32
      return with_length(4, 1);
    case 0xcc:  // uint 8
    case 0xd0:  // int 8
      return {2, 0};
    case 0xcd:  // uint 16
    case 0xd1:  // int 16
      return {3, 0};
    case 0xca:  // float 32
    case 0xce:  // uint 32
    case 0xd2:  // int 32
      return {5, 0};
    case 0xcb:  // float 64
    case 0xcf:  // uint 64
    case 0xd3:  // int 64
      return {9, 0};
    case 0xd4:  // fixext 1
    case 0xd5:
    case 0xd6:
    case 0xd7:
    case 0xd8:  // fixext 16
      return {2 + (std::uint64_t{1} << (tag - 0xd4U)), 0};
    case 0xdc:  // array 16
      return {3, ReadBigEndian(rest, 2)};
    case 0xdd:  // array 32
      return {5, ReadBigEndian(rest, 4)};
    case 0xde:  // map 16
      return {3, 2 * ReadBigEndian(rest, 2)};
    case 0xdf:  // map 32
      return {5, 2 * ReadBigEndian(rest, 4)};
    default:
      return {1, 0};
  }
}

// Whether arrays and maps are nested within the bound.
bool IsMessagePackDepthBounded(std::string_view bytes) {
  // Elements that are still to be read, by level.
  std::array<std::uint64_t, kMaxJsonDepth + 1> remaining{1};
  std::size_t depth = 0;
  while (!bytes.empty()) {
    while (remaining[depth] == 0) {
      if (depth == 0) {
        return true;
      }
      --depth;
    }
    --remaining[depth];
    const MessagePackHead head = ReadHead(bytes);
    bytes.remove_prefix(std::min<std::uint64_t>(head.size, bytes.size()));
    if (head.elements > 0) {
      if (depth == kMaxJsonDepth) {
        return false;
      }
      remaining[++depth] = head.elements;
    }
  }
  return true;
}

}  // namespace

Json ParseJson(std::string_view text) {
  return IsJsonDepthBounded(text) ? Json::parse(text, nullptr, false)
                                  : Json(Json::value_t::discarded);
}

Json ParseMessagePack(std::string_view bytes) {
  return IsMessagePackDepthBounded(bytes)
             ? Json::from_msgpack(bytes.begin(), bytes.end(), true, false)
             : Json(Json::value_t::discarded);
}

std::optional<std::int64_t> ToInteger(const Json& json, std::int64_t min,
                                      std::int64_t max) {
  std::int64_t value = 0;
  if (json.is_number_unsigned()) {
    const auto number = json.get<std::uint64_t>();
    if (number >
        static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max())) {
      return std::nullopt;
    }
    value = static_cast<std::int64_t>(number);
  } else if (json.is_number_integer()) {
    value = json.get<std::int64_t>();
  } else {
    constexpr auto kLimit = static_cast<double>(kMaxExactInteger);
    const auto number = ToNumber(json, -kLimit, kLimit);
    if (!number || std::trunc(*number) != *number) {
      return std::nullopt;
    }
    value = static_cast<std::int64_t>(*number);
  }
  return value < min || value > max ? std::nullopt : std::optional(value);
}

std::optional<double> ToNumber(const Json& json, double min, double max) {
  if (!json.is_number()) {
    return std::nullopt;
  }
  const auto value = json.get<double>();
  // False also for a value that is not a number.
  return value >= min && value <= max ? std::optional(value) : std::nullopt;
}

}  // namespace corianderpost
