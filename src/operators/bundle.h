// The fleet's configuration bundle and the platform's list of VMs.
//
// A `Bundle` holds the zones, customers and services that corianderpost-collect
// gathers from the operators' files. A `VmList` holds the platform's live and
// leaving VMs. Both are immutable after parsing and are shared as
// `std::shared_ptr<const ...>`; they are safe to read from any thread.
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

// Largest value in bytes that the users' configuration service can store.
inline constexpr std::size_t kMaxBundleBytes = 1'000'000;

struct AvailabilityZone {
  std::string name;
  std::string region;
  // True while operators keep the zone out of rotation: its targets get no new
  // requests.
  bool is_evacuated = false;
  friend bool operator==(const AvailabilityZone&,
                         const AvailabilityZone&) = default;
};

struct Customer {
  CustomerId id;
  std::string name;
  // Weight of the customer's fair share relative to other customers; positive.
  double weight = 1.0;
  // Lower-case hexadecimal SHA-256 digests of the customer's API keys.
  std::vector<std::string> key_digests;
  friend bool operator==(const Customer&, const Customer&) = default;
};

enum class ServiceKind { kModel, kPlain };

// States whether the calls of a plain service with this method and path prefix
// are idempotent.
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
  // Requests that a warm target runs concurrently.
  int slots = 1;
  // Requests that a target runs concurrently during its cold start; at most
  // `slots`.
  int cold_slots = 1;
  // A request that has waited longer than this is rejected.
  Duration max_wait{0};
  // Largest number of waiting requests of one customer at one router; further
  // requests are rejected.
  int max_waiting = 0;
  // True if the service's targets can resume a stream after a given event.
  bool is_resumable = false;
  std::vector<CallRule> call_rules;
  // Overrides of customers' weights for this service.
  std::map<CustomerId, double> weights;
  friend bool operator==(const Service&, const Service&) = default;

  // Returns whether a call may run more than once. Calls of model services may.
  // Calls of plain services follow the matching rule with the longest path
  // prefix; without one, GET, HEAD and OPTIONS are idempotent.
  bool IsIdempotent(std::string_view method, std::string_view path) const;
};

// Configuration of the whole fleet. Immutable; safe to read from any thread.
class Bundle {
 public:
  // Parses the JSON that `CollectBundle` returns. Returns InvalidArgument with
  // the reason if it is malformed, inconsistent or longer than
  // `kMaxBundleBytes`.
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

  // Returns the customer whose API key has this digest, or null. Compares in
  // constant time, so that timing does not reveal how much of a digest matches.
  const Customer* FindCustomerByDigest(std::string_view digest) const;

  // Returns the service's weight for the customer, else the customer's own
  // weight; 1 if the customer is unknown.
  double WeightOf(ServiceId service, CustomerId customer) const;

  // Returns false if the zone is unknown or evacuated.
  bool IsZoneInRotation(std::string_view zone) const;
  // Returns the zone's region, or an empty string if the zone is unknown.
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

// One entry of the VM list.
struct Vm {
  VmId id;
  std::string name;
  VmRole role = VmRole::kTarget;
  std::string zone;
  // Service that a target runs; unused for routers.
  ServiceId service;
  // HTTP address, "IP:port".
  std::string address;
  // Datagram address at which a router's peers reach it, "IP:port".
  std::string peer_address;
  bool is_leaving = false;
  friend bool operator==(const Vm&, const Vm&) = default;
};

// The platform's VMs at one revision. Immutable; safe to read from any thread.
class VmList {
 public:
  // Parses the platform's JSON. Returns InvalidArgument with the reason if it
  // is malformed or lists a VM twice.
  static absl::StatusOr<std::shared_ptr<const VmList>> Parse(
      std::string_view text);
  // Creates a list of `vms`, whose ids must be distinct.
  static std::shared_ptr<const VmList> Create(std::uint64_t revision,
                                              std::vector<Vm> vms);

  std::uint64_t revision() const { return revision_; }
  // The text that `Parse` was given; empty for a list made by `Create`.
  const std::string& text() const { return text_; }
  const std::vector<Vm>& vms() const { return vms_; }
  // Returns null if the list has no such VM.
  const Vm* Find(VmId id) const;
  // Returns the ids of all routers, including leaving ones, in ascending order.
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
