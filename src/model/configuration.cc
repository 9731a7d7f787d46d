#include "model/configuration.h"

#include <algorithm>
#include <cctype>

namespace corianderpost {

std::string NormalizeHost(std::string_view host) {
  std::string lower(host.substr(0, host.find(':')));
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return lower;
}

std::shared_ptr<const Configuration> Configuration::Create(
    ConfigurationParts parts) {
  return std::shared_ptr<const Configuration>(
      new Configuration(std::move(parts)));
}

Configuration::Configuration(ConfigurationParts parts)
    : parts_(std::move(parts)) {
  for (const Route& it : parts_.routes) {
    routes_by_host_[NormalizeHost(it.host)].push_back(&it);
  }
  for (auto& [host, routes] : routes_by_host_) {
    std::stable_sort(routes.begin(), routes.end(),
                     [](const Route* a, const Route* b) {
                       return a->prefix.size() > b->prefix.size();
                     });
  }
  for (const CustomerProfile& it : parts_.customers) {
    for (const std::string& key : it.api_keys) {
      customers_by_key_.emplace(key, &it);
    }
  }
  for (const ServiceProfile& it : parts_.services) {
    services_by_name_.emplace(it.name, &it);
  }
}

const Route* Configuration::FindRoute(std::string_view host,
                                      std::string_view path) const {
  const auto routes = routes_by_host_.find(NormalizeHost(host));
  if (routes == routes_by_host_.end()) {
    return nullptr;
  }
  for (const Route* it : routes->second) {
    if (path.starts_with(it->prefix)) {
      return it;
    }
  }
  return nullptr;
}

const CustomerProfile* Configuration::FindCustomerByKey(
    std::string_view key) const {
  const auto it = customers_by_key_.find(key);
  return it == customers_by_key_.end() ? nullptr : it->second;
}

const ServiceProfile* Configuration::FindService(std::string_view name) const {
  const auto it = services_by_name_.find(name);
  return it == services_by_name_.end() ? nullptr : it->second;
}

}  // namespace corianderpost
