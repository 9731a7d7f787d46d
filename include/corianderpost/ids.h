// Compact identifiers for customers, services and VMs.
//
// An id is the 32-bit hash of a name, so that every process computes the same
// id without coordination and messages between routers stay small.
// corianderpost-collect rejects configurations in which two names have the same
// id.
#ifndef CORIANDERPOST_IDS_H_
#define CORIANDERPOST_IDS_H_

#include <xxhash.h>

#include <compare>
#include <cstdint>
#include <functional>
#include <string_view>

namespace corianderpost {

// A value type. Ids with different tags have different types.
template <typename Tag>
class Id {
 public:
  constexpr Id() = default;
  constexpr explicit Id(std::uint32_t value) : value_(value) {}
  // Returns the id of `name`.
  static Id FromName(std::string_view name) {
    return Id(static_cast<std::uint32_t>(XXH64(name.data(), name.size(), 0)));
  }
  constexpr std::uint32_t value() const { return value_; }
  friend constexpr auto operator<=>(const Id&, const Id&) = default;

 private:
  std::uint32_t value_ = 0;
};

using VmId = Id<struct VmTag>;
using CustomerId = Id<struct CustomerTag>;
using ServiceId = Id<struct ServiceTag>;
// A target has the id of the VM it runs on.
using TargetId = VmId;

// Identifies a pair of customer and service; capacity is shared fairly between
// accounts.
using AccountId = Id<struct AccountTag>;

// Returns the account of `customer` with `service`.
inline AccountId AccountOf(ServiceId service, CustomerId customer) {
  const std::uint64_t pair =
      (static_cast<std::uint64_t>(service.value()) << 32) | customer.value();
  return AccountId(static_cast<std::uint32_t>(XXH64(&pair, sizeof(pair), 0)));
}

// Unique within one router process.
using RequestId = std::uint64_t;
using AttemptId = std::uint64_t;

// Identifies one run of a router process on a VM; a restart changes it.
using Incarnation = std::uint64_t;

// Identifies a version of the targets' software by the 64-bit hash of its name.
// A value type. Versions have no order.
class VersionId {
 public:
  // The id of a target that states no version.
  constexpr VersionId() = default;
  constexpr explicit VersionId(std::uint64_t value) : value_(value) {}
  // Returns the id of the version `name`; unknown if `name` is empty.
  static VersionId FromName(std::string_view name) {
    return name.empty() ? VersionId()
                        : VersionId(XXH64(name.data(), name.size(), 0));
  }
  constexpr std::uint64_t value() const { return value_; }
  constexpr bool is_known() const { return value_ != 0; }
  // Returns whether both versions are known and the same. Two unknown versions
  // may differ.
  constexpr bool IsSame(VersionId other) const {
    return is_known() && value_ == other.value_;
  }
  // Compares the ids as values: two unknown ones are equal.
  friend constexpr auto operator<=>(const VersionId&,
                                    const VersionId&) = default;

 private:
  std::uint64_t value_ = 0;
};

// Returns the weight of `node` for `item` in rendezvous hashing: the node with
// the highest weight gets the item.
inline std::uint64_t RendezvousWeight(std::uint32_t node, std::uint32_t item) {
  const std::uint64_t pair = (static_cast<std::uint64_t>(node) << 32) | item;
  return XXH64(&pair, sizeof(pair), 0);
}

}  // namespace corianderpost

template <typename Tag>
struct std::hash<corianderpost::Id<Tag>> {
  std::size_t operator()(const corianderpost::Id<Tag>& id) const noexcept {
    return id.value();
  }
};

#endif  // CORIANDERPOST_IDS_H_
