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
  RoutesByPrefix* routes = nullptr;
  std::string_view host;
  for (const auto& it : parts_.routes) {
    // Most routes have the same host as the one before.
    if (routes == nullptr || it->host != host) {
      host = it->host;
      routes = &routes_by_host_[NormalizeHost(host)];
    }
    // Of routes with the same prefix, the first one is used.
    routes->emplace(it->prefix, it.get());
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
  // Prefixes end with a slash, so that few lengths are possible.
  for (std::size_t end = path.rfind('/'); end != std::string_view::npos;
       end = end == 0 ? std::string_view::npos : path.rfind('/', end - 1)) {
    const auto it = routes->second.find(path.substr(0, end + 1));
    if (it != routes->second.end()) {
      return it->second;
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
