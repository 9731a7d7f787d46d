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
constexpr int kMaxWaitingRequests = 100'000;
constexpr std::int64_t kMaxWaitMs = 600'000;
constexpr std::size_t kDigestHexDigits = 64;

// Maps each name to the location of its definition, so that the error for a
// duplicate can name both locations.
using LocationsByName = std::map<std::string, std::string>;

// Throws if `name` is already in `locations`, else adds it. `kind` is used in
// the error.
void RequireUnique(LocationsByName& locations, const std::string& kind,
                   const CheckedYaml& name) {
  const auto [it, is_new] =
      locations.try_emplace(name.AsString(), name.Location());
  if (!is_new) {
    name.Fail(kind + " '" + name.AsString() + "' is already defined at " +
              it->second);
  }
}

// Ids are hashes of names, so two names may share an id.
template <typename IdType>
void RequireDistinctIds(const std::string& kind,
                        const LocationsByName& locations) {
  std::map<IdType, std::string> names_by_id;
  for (const auto& [name, location] : locations) {
    const auto [it, is_new] =
        names_by_id.try_emplace(IdType::FromName(name), name);
    if (!is_new) {
      throw YamlError(location + ": " + kind + " '" + name +
                      "' has the same id as '" + it->second +
                      "'; rename one of them");
    }
  }
}

// Collects the contents of operators' files into one bundle.
class BundleCollector {
 public:
  void AddFile(const std::string& file) {
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

  // Returns the bundle's JSON after the checks that need all files.
  std::string ToJson() const {
    for (const CheckedYaml& it : share_customer_names_) {
      const std::string name = it.AsString();
      if (customer_locations_.contains(name)) {
        continue;
      }
      std::vector<std::string> known_names;
      for (const auto& [customer, location] : customer_locations_) {
        known_names.push_back(customer);
      }
      const std::string suggestion = ClosestMatch(name, known_names);
      it.Fail(
          "unknown customer '" + name + "'" +
          (suggestion.empty() ? "" : "; did you mean '" + suggestion + "'?"));
    }
    if (zones_.empty() || services_.empty() || customers_.empty()) {
      throw YamlError(
          "the files must define at least one zone, one customer and one "
          "service");
    }
    RequireDistinctIds<CustomerId>("customer", customer_locations_);
    RequireDistinctIds<ServiceId>("service", service_locations_);
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
      RequireUnique(zone_locations_, "zone", it.Get("name"));
      const auto state = it.Find("state");
      const bool is_evacuated = state && state->AsOneOf({"in", "out"}) == "out";
      zones_.push_back({{"name", it.Get("name").AsString()},
                        {"region", it.Get("region").AsString()},
                        {"taken_out", is_evacuated}});
    }
  }

  void AddCustomers(const CheckedYaml& customers) {
    for (const CheckedYaml& it : customers.Items()) {
      it.RequireOnlyKeys({"name", "weight", "key_digests"});
      RequireUnique(customer_locations_, "customer", it.Get("name"));
      Json customer = {{"name", it.Get("name").AsString()}};
      if (const auto weight = it.Find("weight")) {
        customer["weight"] = weight->AsPositiveNumber();
      }
      for (const CheckedYaml& digest : it.Get("key_digests").Items()) {
        customer["key_digests"].push_back(ParseDigest(digest));
      }
      customers_.push_back(customer);
    }
  }

  std::string ParseDigest(const CheckedYaml& digest) {
    std::string text = digest.AsString();
    const bool is_hex = std::all_of(text.begin(), text.end(), [](char c) {
      return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
    });
    if (text.size() != kDigestHexDigits || !is_hex) {
      digest.Fail(
          "a SHA-256 digest of 64 lower-case hex digits is expected here");
    }
    RequireUnique(digest_locations_, "key digest", digest);
    return text;
  }

  void AddService(const CheckedYaml& service) {
    service.RequireOnlyKeys(
        {"name", "kind", "limits", "resumable", "calls", "shares"});
    RequireUnique(service_locations_, "service", service.Get("name"));
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
        share_customer_names_.push_back(it.key);
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
    json["max_waiting"] =
        limits.Get("max_waiting").AsInt(1, kMaxWaitingRequests);
  }

  Json zones_ = Json::array();
  Json customers_ = Json::array();
  Json services_ = Json::array();
  LocationsByName zone_locations_;
  LocationsByName customer_locations_;
  LocationsByName service_locations_;
  LocationsByName digest_locations_;
  // Customer names in the `shares` of services; `ToJson` checks that they
  // exist, since a later file may define them.
  std::vector<CheckedYaml> share_customer_names_;
};

template <typename Item>
std::map<std::string, Item> IndexByName(const std::vector<Item>& items) {
  std::map<std::string, Item> by_name;
  for (const Item& it : items) {
    by_name.emplace(it.name, it);
  }
  return by_name;
}

// Appends a line to `lines` for each added, removed or changed item. `kind`
// begins each line; `describe` returns the rest of the line for a changed item.
template <typename Item, typename Describe>
void AppendChanges(const std::string& kind, const std::vector<Item>& old_items,
                   const std::vector<Item>& new_items, Describe describe,
                   std::vector<std::string>& lines) {
  const auto before = IndexByName(old_items);
  const auto after = IndexByName(new_items);
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
  if (old_zone.is_evacuated != zone.is_evacuated) {
    return zone.is_evacuated ? "is evacuated" : "returns to rotation";
  }
  return "moves to region " + zone.region;
}

// Returns the number without trailing zeros.
std::string FormatNumber(double number) {
  std::string text = std::to_string(number);
  text.erase(text.find_last_not_of('0') + 1);
  return text.back() == '.' ? text.substr(0, text.size() - 1) : text;
}

std::string DescribeCustomer(const Customer& old_customer,
                             const Customer& customer) {
  if (old_customer.weight != customer.weight) {
    return "changes weight from " + FormatNumber(old_customer.weight) + " to " +
           FormatNumber(customer.weight);
  }
  return "changes its key digests";
}

std::string DescribeService(const Service& old_service,
                            const Service& service) {
  std::string text;
  const auto add_change = [&](const std::string& limit, std::int64_t from,
                              std::int64_t to) {
    if (from != to) {
      text += (text.empty() ? "changes " : ", ") + limit + " from " +
              std::to_string(from) + " to " + std::to_string(to);
    }
  };
  add_change("slots", old_service.slots, service.slots);
  add_change("cold_slots", old_service.cold_slots, service.cold_slots);
  add_change("max_wait_ms", old_service.max_wait.count() / 1000,
             service.max_wait.count() / 1000);
  add_change("max_waiting", old_service.max_waiting, service.max_waiting);
  if (old_service.weights != service.weights) {
    text += text.empty() ? "changes its shares" : ", and changes its shares";
  }
  return text.empty() ? "changes kind, calls or resumable" : text;
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
    throw YamlError(directory + ": contains no file with the suffix " +
                    kOperatorFileSuffix);
  }
  std::sort(files.begin(), files.end());
  return files;
}

std::string CollectBundle(const std::vector<std::string>& files) {
  BundleCollector collector;
  for (const auto& it : files) {
    collector.AddFile(it);
  }
  return collector.ToJson();
}

std::vector<std::string> DescribeChanges(const Bundle& old,
                                         const Bundle& next) {
  std::vector<std::string> lines;
  AppendChanges("zone", old.zones(), next.zones(), DescribeZone, lines);
  AppendChanges("customer", old.customers(), next.customers(), DescribeCustomer,
                lines);
  AppendChanges("service", old.services(), next.services(), DescribeService,
                lines);
  return lines;
}

}  // namespace corianderpost
