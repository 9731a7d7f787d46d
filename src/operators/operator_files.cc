#include "operators/operator_files.h"

#include <algorithm>
#include <filesystem>
#include <map>
#include <nlohmann/json.hpp>
#include <set>

namespace corianderpost {
namespace {

using Json = nlohmann::json;

constexpr int kMaxSlots = 4096;
constexpr int kMaxWaiting = 100'000;
constexpr std::int64_t kMaxWaitMs = 600'000;
constexpr std::size_t kDigestLength = 64;

// A name and where it was given, to point at both ends of a clash.
using Places = std::map<std::string, std::string>;

void RequireUnique(Places& places, const std::string& kind,
                   const CheckedYaml& name) {
  const auto [it, is_new] =
      places.try_emplace(name.AsString(), name.Location());
  if (!is_new) {
    name.Fail(kind + " '" + name.AsString() + "' is already given at " +
              it->second);
  }
}

template <typename IdType>
void RequireDistinctIds(const std::string& kind, const Places& places) {
  std::map<IdType, std::string> names;
  for (const auto& [name, where] : places) {
    const auto [it, is_new] = names.try_emplace(IdType::FromName(name), name);
    if (!is_new) {
      throw YamlError(where + ": " + kind + " '" + name +
                      "' has the same id as '" + it->second +
                      "'; rename one of them");
    }
  }
}

// Gathers the files' content into one bundle.
class Collector {
 public:
  void Add(const std::string& file) {
    const CheckedYaml root = CheckedYaml::FromFile(file);
    root.RequireOnlyKeys({"zones", "customers", "service"});
    if (const auto zones = root.Find("zones")) {
      AddZones(*zones);
    }
    if (const auto customers = root.Find("customers")) {
      AddCustomers(*customers);
    }
    if (const auto service = root.Find("service")) {
      AddService(*service);
    }
  }

  std::string Finish() const {
    for (const CheckedYaml& it : shared_with_) {
      const std::string name = it.AsString();
      if (customer_places_.contains(name)) {
        continue;
      }
      std::vector<std::string> known;
      for (const auto& [customer, where] : customer_places_) {
        known.push_back(customer);
      }
      const std::string nearest = ClosestMatch(name, known);
      it.Fail("unknown customer '" + name + "'" +
              (nearest.empty() ? "" : "; did you mean '" + nearest + "'?"));
    }
    if (zones_.empty() || services_.empty() || customers_.empty()) {
      throw YamlError(
          "the files must give at least one zone, customer and service");
    }
    RequireDistinctIds<CustomerId>("customer", customer_places_);
    RequireDistinctIds<ServiceId>("service", service_places_);
    const Json bundle = {
        {"zones", zones_}, {"customers", customers_}, {"services", services_}};
    std::string text = bundle.dump(1) + "\n";
    if (text.size() > kMaxBundleBytes) {
      throw YamlError("the bundle has " + std::to_string(text.size()) +
                      " bytes; the limit is " +
                      std::to_string(kMaxBundleBytes));
    }
    return text;
  }

 private:
  void AddZones(const CheckedYaml& zones) {
    for (const CheckedYaml& it : zones.Items()) {
      it.RequireOnlyKeys({"name", "region", "state"});
      RequireUnique(zone_places_, "zone", it.Get("name"));
      const auto state = it.Find("state");
      const bool taken_out = state && state->AsOneOf({"in", "out"}) == "out";
      zones_.push_back({{"name", it.Get("name").AsString()},
                        {"region", it.Get("region").AsString()},
                        {"taken_out", taken_out}});
    }
  }

  void AddCustomers(const CheckedYaml& customers) {
    for (const CheckedYaml& it : customers.Items()) {
      it.RequireOnlyKeys({"name", "weight", "key_digests"});
      RequireUnique(customer_places_, "customer", it.Get("name"));
      Json customer = {{"name", it.Get("name").AsString()}};
      if (const auto weight = it.Find("weight")) {
        customer["weight"] = weight->AsPositiveNumber();
      }
      for (const CheckedYaml& digest : it.Get("key_digests").Items()) {
        customer["key_digests"].push_back(Digest(digest));
      }
      customers_.push_back(customer);
    }
  }

  std::string Digest(const CheckedYaml& digest) {
    std::string text = digest.AsString();
    const bool is_hex = std::all_of(text.begin(), text.end(), [](char c) {
      return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
    });
    if (text.size() != kDigestLength || !is_hex) {
      digest.Fail("a SHA-256 digest of 64 lower-case hex digits is expected");
    }
    RequireUnique(digest_places_, "key digest", digest);
    return text;
  }

  void AddService(const CheckedYaml& service) {
    service.RequireOnlyKeys(
        {"name", "kind", "limits", "resumable", "calls", "shares"});
    RequireUnique(service_places_, "service", service.Get("name"));
    Json json = {{"name", service.Get("name").AsString()},
                 {"kind", service.Get("kind").AsOneOf({"model", "plain"})}};
    AddLimits(service.Get("limits"), json);
    if (const auto resumable = service.Find("resumable")) {
      json["resumable"] = resumable->AsBool();
    }
    if (const auto calls = service.Find("calls")) {
      for (const CheckedYaml& it : calls->Items()) {
        it.RequireOnlyKeys({"method", "path", "idempotent"});
        json["calls"].push_back(
            {{"method", it.Get("method").AsOneOf(
                            {"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"})},
             {"path_prefix", it.Get("path").AsString()},
             {"idempotent", it.Get("idempotent").AsBool()}});
      }
    }
    if (const auto shares = service.Find("shares")) {
      for (const CheckedYaml::Entry& it : shares->Entries()) {
        shared_with_.push_back(it.key);
        json["weights"][it.key.AsString()] = it.value.AsPositiveNumber();
      }
    }
    services_.push_back(json);
  }

  static void AddLimits(const CheckedYaml& limits, Json& json) {
    limits.RequireOnlyKeys(
        {"slots", "cold_slots", "max_wait_ms", "max_waiting"});
    json["slots"] = limits.Get("slots").AsInt(1, kMaxSlots);
    json["cold_slots"] =
        limits.Get("cold_slots").AsInt(1, json["slots"].get<int>());
    json["max_wait_ms"] = limits.Get("max_wait_ms").AsInt(1, kMaxWaitMs);
    json["max_waiting"] = limits.Get("max_waiting").AsInt(1, kMaxWaiting);
  }

  Json zones_ = Json::array();
  Json customers_ = Json::array();
  Json services_ = Json::array();
  Places zone_places_;
  Places customer_places_;
  Places service_places_;
  Places digest_places_;
  std::vector<CheckedYaml> shared_with_;
};

template <typename Item>
std::map<std::string, Item> ByName(const std::vector<Item>& items) {
  std::map<std::string, Item> by_name;
  for (const Item& it : items) {
    by_name.emplace(it.name, it);
  }
  return by_name;
}

// Reports added, removed and changed items of one kind.
template <typename Item, typename Describe>
void Compare(const std::string& kind, const std::vector<Item>& old_items,
             const std::vector<Item>& new_items, Describe describe,
             std::vector<std::string>& lines) {
  const auto before = ByName(old_items);
  const auto after = ByName(new_items);
  for (const auto& [name, item] : before) {
    if (!after.contains(name)) {
      lines.push_back(kind + " " + name + " is removed");
    }
  }
  for (const auto& [name, item] : after) {
    const auto it = before.find(name);
    if (it == before.end()) {
      lines.push_back(kind + " " + name + " is added");
    } else if (!(it->second == item)) {
      lines.push_back(kind + " " + name + " " + describe(it->second, item));
    }
  }
}

std::string DescribeZone(const AvailabilityZone& old_zone,
                         const AvailabilityZone& zone) {
  if (old_zone.taken_out != zone.taken_out) {
    return zone.taken_out ? "is taken out" : "is brought back";
  }
  return "moves to region " + zone.region;
}

std::string Shown(double number) {
  std::string text = std::to_string(number);
  text.erase(text.find_last_not_of('0') + 1);
  return text.back() == '.' ? text.substr(0, text.size() - 1) : text;
}

std::string DescribeCustomer(const Customer& old_customer,
                             const Customer& customer) {
  if (old_customer.weight != customer.weight) {
    return "changes weight from " + Shown(old_customer.weight) + " to " +
           Shown(customer.weight);
  }
  return "changes its keys";
}

std::string DescribeService(const Service& old_service,
                            const Service& service) {
  std::string text;
  const auto add = [&](const std::string& what, std::int64_t from,
                       std::int64_t to) {
    if (from != to) {
      text += (text.empty() ? "changes " : ", ") + what + " from " +
              std::to_string(from) + " to " + std::to_string(to);
    }
  };
  add("slots", old_service.slots, service.slots);
  add("cold slots", old_service.cold_slots, service.cold_slots);
  add("longest wait in ms", old_service.max_wait.count() / 1000,
      service.max_wait.count() / 1000);
  add("waiting requests of a customer", old_service.max_waiting,
      service.max_waiting);
  if (old_service.weights != service.weights) {
    text += text.empty() ? "changes its shares" : ", and its shares";
  }
  return text.empty() ? "changes its calls or kind" : text;
}

}  // namespace

std::vector<std::string> FindOperatorFiles(const std::string& directory) {
  namespace fs = std::filesystem;
  std::vector<std::string> files;
  std::error_code ec;
  for (fs::recursive_directory_iterator it(directory, ec), end;
       !ec && it != end; it.increment(ec)) {
    const std::string path = it->path().string();
    if (it->is_regular_file() && path.ends_with(kOperatorFileSuffix)) {
      files.push_back(path);
    }
  }
  if (ec) {
    throw YamlError(directory + ": " + ec.message());
  }
  if (files.empty()) {
    throw YamlError(directory + ": no file ends with " + kOperatorFileSuffix);
  }
  std::sort(files.begin(), files.end());
  return files;
}

std::string CollectBundle(const std::vector<std::string>& files) {
  Collector collector;
  for (const auto& it : files) {
    collector.Add(it);
  }
  return collector.Finish();
}

std::vector<std::string> DescribeChanges(const Bundle& old,
                                         const Bundle& next) {
  std::vector<std::string> lines;
  Compare("zone", old.zones(), next.zones(), DescribeZone, lines);
  Compare("customer", old.customers(), next.customers(), DescribeCustomer,
          lines);
  Compare("service", old.services(), next.services(), DescribeService, lines);
  return lines;
}

}  // namespace corianderpost
