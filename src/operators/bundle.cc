#include "operators/bundle.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "absl/status/status.h"

namespace corianderpost {
namespace {

using Json = nlohmann::json;

AvailabilityZone ZoneFromJson(const Json& json) {
  return {json.at("name"), json.at("region"), json.value("taken_out", false)};
}

Customer CustomerFromJson(const Json& json) {
  Customer customer;
  customer.name = json.at("name");
  customer.id = CustomerId::FromName(customer.name);
  customer.weight = json.value("weight", 1.0);
  customer.key_digests = json.value("key_digests", std::vector<std::string>());
  return customer;
}

CallRule CallRuleFromJson(const Json& json) {
  return {json.at("method"), json.at("path_prefix"), json.at("idempotent")};
}

Service ServiceFromJson(const Json& json) {
  Service service;
  service.name = json.at("name");
  service.id = ServiceId::FromName(service.name);
  service.kind =
      json.at("kind") == "model" ? ServiceKind::kModel : ServiceKind::kPlain;
  service.slots = json.at("slots");
  service.cold_slots = json.at("cold_slots");
  service.max_wait = std::chrono::milliseconds(json.at("max_wait_ms"));
  service.max_waiting = json.at("max_waiting");
  service.is_resumable = json.value("resumable", false);
  for (const Json& it : json.value("calls", Json::array())) {
    service.call_rules.push_back(CallRuleFromJson(it));
  }
  const Json weights = json.value("weights", Json::object());
  for (const auto& [name, weight] : weights.items()) {
    service.weights[CustomerId::FromName(name)] = weight;
  }
  return service;
}

bool IsSafeMethod(std::string_view method) {
  return method == "GET" || method == "HEAD" || method == "OPTIONS";
}

// Compares without stopping at the first difference, so that the time taken
// depends on the lengths only.
bool EqualInConstantTime(std::string_view a, std::string_view b) {
  if (a.size() != b.size()) {
    return false;
  }
  unsigned char difference = 0;
  for (std::size_t i = 0; i < a.size(); ++i) {
    difference |= static_cast<unsigned char>(a[i] ^ b[i]);
  }
  return difference == 0;
}

template <typename Items, typename Predicate>
auto* FindWhere(const Items& items, Predicate predicate) {
  const auto it = std::find_if(items.begin(), items.end(), predicate);
  return it == items.end() ? nullptr : &*it;
}

absl::Status CheckLimits(const Service& service) {
  const bool is_valid = service.slots > 0 && service.cold_slots > 0 &&
                        service.cold_slots <= service.slots &&
                        service.max_wait.count() > 0 && service.max_waiting > 0;
  return is_valid ? absl::OkStatus()
                  : absl::InvalidArgumentError(
                        "service '" + service.name +
                        "' has limits out of range: slots, cold_slots, "
                        "max_wait_ms and max_waiting must be positive and "
                        "cold_slots at most slots");
}

Vm VmFromJson(const Json& json) {
  Vm vm;
  vm.name = json.at("name");
  vm.id = VmId::FromName(vm.name);
  vm.role = json.at("role") == "router" ? VmRole::kRouter : VmRole::kTarget;
  vm.zone = json.at("zone");
  vm.address = json.at("address");
  vm.peer_address = json.value("peer_address", "");
  vm.service = ServiceId::FromName(json.value("service", ""));
  vm.is_leaving = json.value("state", "live") == "leaving";
  return vm;
}

}  // namespace

bool Service::IsIdempotent(std::string_view method,
                           std::string_view path) const {
  if (kind == ServiceKind::kModel) {
    return true;
  }
  const CallRule* longest = nullptr;
  for (const CallRule& it : call_rules) {
    const bool is_match =
        it.method == method && path.starts_with(it.path_prefix);
    if (is_match && (longest == nullptr ||
                     it.path_prefix.size() > longest->path_prefix.size())) {
      longest = &it;
    }
  }
  return longest == nullptr ? IsSafeMethod(method) : longest->is_idempotent;
}

absl::StatusOr<std::shared_ptr<const Bundle>> Bundle::Parse(
    std::string_view text, std::uint64_t revision) {
  if (text.size() > kMaxBundleBytes) {
    return absl::InvalidArgumentError("bundle of " +
                                      std::to_string(text.size()) +
                                      " bytes exceeds the size limit");
  }
  std::shared_ptr<Bundle> bundle(new Bundle);
  bundle->revision_ = revision;
  bundle->text_ = text;
  try {
    const Json json = Json::parse(text);
    for (const Json& it : json.at("zones")) {
      bundle->zones_.push_back(ZoneFromJson(it));
    }
    for (const Json& it : json.at("customers")) {
      bundle->customers_.push_back(CustomerFromJson(it));
    }
    for (const Json& it : json.at("services")) {
      bundle->services_.push_back(ServiceFromJson(it));
    }
  } catch (const Json::exception& ex) {
    return absl::InvalidArgumentError(std::string("malformed bundle: ") +
                                      ex.what());
  }
  for (const Service& it : bundle->services_) {
    if (auto status = CheckLimits(it); !status.ok()) {
      return status;
    }
  }
  for (const Customer& it : bundle->customers_) {
    if (!(it.weight > 0)) {
      return absl::InvalidArgumentError("customer '" + it.name +
                                        "' needs a positive weight");
    }
  }
  // Sorted for the binary search in FindCustomer.
  std::sort(bundle->customers_.begin(), bundle->customers_.end(),
            [](const auto& a, const auto& b) { return a.id < b.id; });
  return std::shared_ptr<const Bundle>(std::move(bundle));
}

const AvailabilityZone* Bundle::FindZone(std::string_view name) const {
  return FindWhere(zones_, [&](const auto& it) { return it.name == name; });
}

const Customer* Bundle::FindCustomer(CustomerId id) const {
  const auto it =
      std::lower_bound(customers_.begin(), customers_.end(), id,
                       [](const Customer& customer, CustomerId wanted) {
                         return customer.id < wanted;
                       });
  return it == customers_.end() || it->id != id ? nullptr : &*it;
}

const Service* Bundle::FindService(ServiceId id) const {
  return FindWhere(services_, [&](const auto& it) { return it.id == id; });
}

const Service* Bundle::FindService(std::string_view name) const {
  return FindService(ServiceId::FromName(name));
}

const Customer* Bundle::FindCustomerByDigest(std::string_view digest) const {
  const Customer* found = nullptr;
  for (const Customer& customer : customers_) {
    for (const std::string& it : customer.key_digests) {
      if (EqualInConstantTime(it, digest)) {
        found = &customer;
      }
    }
  }
  return found;
}

double Bundle::WeightOf(ServiceId service, CustomerId customer) const {
  if (const Service* found = FindService(service)) {
    const auto it = found->weights.find(customer);
    if (it != found->weights.end()) {
      return it->second;
    }
  }
  const Customer* found = FindCustomer(customer);
  return found == nullptr ? 1.0 : found->weight;
}

bool Bundle::IsZoneInRotation(std::string_view zone) const {
  const AvailabilityZone* found = FindZone(zone);
  return found != nullptr && !found->is_evacuated;
}

std::string Bundle::RegionOf(std::string_view zone) const {
  const AvailabilityZone* found = FindZone(zone);
  return found == nullptr ? std::string() : found->region;
}

absl::StatusOr<std::shared_ptr<const VmList>> VmList::Parse(
    std::string_view text) {
  std::uint64_t revision = 0;
  std::vector<Vm> vms;
  std::set<VmId> seen;
  try {
    const Json json = Json::parse(text);
    revision = json.at("revision");
    for (const Json& it : json.at("vms")) {
      vms.push_back(VmFromJson(it));
      if (!seen.insert(vms.back().id).second) {
        return absl::InvalidArgumentError("VM '" + vms.back().name +
                                          "' is listed twice");
      }
    }
  } catch (const Json::exception& ex) {
    return absl::InvalidArgumentError(std::string("malformed VM list: ") +
                                      ex.what());
  }
  auto list = Build(revision, std::move(vms));
  list->text_ = text;
  return std::shared_ptr<const VmList>(std::move(list));
}

std::shared_ptr<const VmList> VmList::Create(std::uint64_t revision,
                                             std::vector<Vm> vms) {
  return Build(revision, std::move(vms));
}

std::shared_ptr<VmList> VmList::Build(std::uint64_t revision,
                                      std::vector<Vm> vms) {
  std::shared_ptr<VmList> list(new VmList);
  list->revision_ = revision;
  list->vms_ = std::move(vms);
  for (std::size_t i = 0; i < list->vms_.size(); ++i) {
    const Vm& vm = list->vms_[i];
    list->index_by_id_[vm.id] = i;
    if (vm.role == VmRole::kRouter) {
      list->routers_.push_back(vm.id);
    }
  }
  std::sort(list->routers_.begin(), list->routers_.end());
  return list;
}

const Vm* VmList::Find(VmId id) const {
  const auto it = index_by_id_.find(id);
  return it == index_by_id_.end() ? nullptr : &vms_[it->second];
}

}  // namespace corianderpost
