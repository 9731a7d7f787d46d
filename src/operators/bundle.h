// The configuration that the fleet runs under, and the platform's VM list.
//
// A `Bundle` is what the collecting step writes and the users publish. A
// `VmList` is what the platform says of live and leaving VMs. Both are
// immutable once parsed and are shared as `std::shared_ptr<const ...>`.
#ifndef CORIANDERPOST_OPERATORS_BUNDLE_H_
#define CORIANDERPOST_OPERATORS_BUNDLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "corianderpost/clock.h"
#include "corianderpost/ids.h"

namespace corianderpost {

// Largest value that the users' configuration service holds, in bytes.
inline constexpr std::size_t kMaxBundleBytes = 1'000'000;

struct AvailabilityZone {
  std::string name;
  std::string region;
  // True while operators have taken the zone out; it gets no new work.
  bool is_evacuated = false;
  friend bool operator==(const AvailabilityZone&,
                         const AvailabilityZone&) = default;
};

struct Customer {
  CustomerId id;
  std::string name;
  // Share relative to other customers; positive.
  double weight = 1.0;
  // Lower-case hexadecimal SHA-256 digests of the customer's API keys.
  std::vector<std::string> key_digests;
  friend bool operator==(const Customer&, const Customer&) = default;
};

enum class ServiceKind { kModel, kPlain };

// Tells which calls of a plain service may be repeated.
struct CallRule {
  std::string method;
  std::string path_prefix;
  bool is_idempotent = false;
  friend bool operator==(const CallRule&, const CallRule&) = default;
};

struct Service {
  ServiceId id;
  std::string name;
  ServiceKind kind = ServiceKind::kPlain;
  // Requests that a warm target runs at once.
  int slots = 1;
  // Requests that a target in cold start bears at once.
  int cold_slots = 1;
  // A request that waits longer than this is refused.
  Duration max_wait{0};
  // Waiting requests of one customer at one router; more are refused.
  int max_waiting = 0;
  // True if its targets continue a stream from a given unit.
  bool is_resumable = false;
  std::vector<CallRule> call_rules;
  // Weights that differ from the customer's own, for this service alone.
  std::map<CustomerId, double> weights;
  friend bool operator==(const Service&, const Service&) = default;

  // Returns whether a call may run more than once. Model calls may; calls of
  // plain services follow the longest matching rule, else the HTTP method.
  bool IsIdempotent(std::string_view method, std::string_view path) const;
};

class Bundle {
 public:
  // Parses the collecting step's JSON. Returns InvalidArgument with the reason
  // for malformed or inconsistent content.
  static absl::StatusOr<std::shared_ptr<const Bundle>> Parse(
      std::string_view text, std::uint64_t revision);

  std::uint64_t revision() const { return revision_; }
  // The text that `Parse` was given.
  const std::string& text() const { return text_; }
  const std::vector<AvailabilityZone>& zones() const { return zones_; }
  const std::vector<Customer>& customers() const { return customers_; }
  const std::vector<Service>& services() const { return services_; }

  // Lookups return null if there is no such item.
  const AvailabilityZone* FindZone(std::string_view name) const;
  const Customer* FindCustomer(CustomerId id) const;
  const Service* FindService(ServiceId id) const;
  const Service* FindService(std::string_view name) const;

  // Returns the customer whose key has this digest, or null. The time taken
  // does not depend on how much of the digest matches.
  const Customer* FindCustomerByDigest(std::string_view digest) const;

  // Returns the customer's weight for the service; 1 if it is unknown.
  double WeightOf(ServiceId service, CustomerId customer) const;

  // True unless the zone is unknown or has been taken out.
  bool IsZoneInRotation(std::string_view zone) const;
  // Returns the zone's region, or an empty string.
  std::string RegionOf(std::string_view zone) const;

 private:
  Bundle() = default;
  std::uint64_t revision_ = 0;
  std::string text_;
  std::vector<AvailabilityZone> zones_;
  std::vector<Customer> customers_;
  std::vector<Service> services_;
};

enum class VmRole { kRouter, kTarget };

struct Vm {
  VmId id;
  std::string name;
  VmRole role = VmRole::kTarget;
  std::string zone;
  // Service that a target runs; unused for routers.
  ServiceId service;
  // HTTP address, "IP:port".
  std::string address;
  // Datagram address of a router for its peers, "IP:port".
  std::string peer_address;
  bool is_leaving = false;
  friend bool operator==(const Vm&, const Vm&) = default;
};

class VmList {
 public:
  // Parses the platform's JSON. Returns InvalidArgument with the reason.
  static absl::StatusOr<std::shared_ptr<const VmList>> Parse(
      std::string_view text);
  // Builds a list from parts; `vms` must not repeat an id.
  static std::shared_ptr<const VmList> Create(std::uint64_t revision,
                                              std::vector<Vm> vms);

  std::uint64_t revision() const { return revision_; }
  // The text that `Parse` was given; empty for a list made by `Create`.
  const std::string& text() const { return text_; }
  const std::vector<Vm>& vms() const { return vms_; }
  // Returns null if the list has no such VM.
  const Vm* Find(VmId id) const;
  // Ids of all routers, leaving ones too, in ascending order.
  const std::vector<VmId>& routers() const { return routers_; }

 private:
  VmList() = default;
  static std::shared_ptr<VmList> Build(std::uint64_t revision,
                                       std::vector<Vm> vms);
  std::uint64_t revision_ = 0;
  std::string text_;
  std::vector<Vm> vms_;
  std::vector<VmId> routers_;
  std::map<VmId, std::size_t> index_by_id_;
};

}  // namespace corianderpost

#endif  // CORIANDERPOST_OPERATORS_BUNDLE_H_
