// The operators' configuration: routes, services, customers and limits.
//
// A `Configuration` is immutable once built and is shared as
// `std::shared_ptr<const Configuration>`, so a request uses the same version
// from start to end.
#ifndef CORIANDERPOST_MODEL_CONFIGURATION_H_
#define CORIANDERPOST_MODEL_CONFIGURATION_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "corianderpost/clock.h"
#include "corianderpost/ids.h"

namespace corianderpost {

enum class RequestKind { kIdempotent, kNonIdempotent, kStreaming };

// The part of a route's requests that goes to one service. Weights are relative
// to the sum over the route.
struct TrafficShare {
  std::string service;
  double weight = 1.0;
  friend bool operator==(const TrafficShare&, const TrafficShare&) = default;
};

struct Route {
  std::string name;
  std::string host;
  // Path prefix; begins and ends with a slash.
  std::string prefix;
  RequestKind kind = RequestKind::kIdempotent;
  // Maximum duration of a request; zero means no limit.
  Duration timeout{0};
  // Latency goal of the response, or of the first event of a stream; zero if
  // none.
  Duration latency_goal{0};
  // Goal for the time between two events of a stream; zero if none.
  Duration gap_goal{0};
  // Part of the configuration format; the router does not use it.
  int priority = 0;
  std::vector<TrafficShare> split;
  // Maximum number of targets that one request of a caller is sent to.
  int max_attempts = 1;
  // Requests need no API key.
  bool is_public = false;
  // An interrupted stream can be continued at another target after its last
  // event.
  bool is_resumable = false;
  // Regions whose targets may serve the route; all if empty.
  std::vector<std::string> allowed_regions;
  friend bool operator==(const Route&, const Route&) = default;

  // Returns whether a request may be executed more than once.
  bool IsSafeToRetry() const {
    return kind == RequestKind::kIdempotent ||
           (kind == RequestKind::kStreaming && is_resumable);
  }
};

// Configured capacity of a model engine.
struct EngineProfile {
  // Requests processed at the same time.
  int slots = 1;
  // Capacity of the KV cache in tokens; zero if unknown.
  std::int64_t kv_capacity_tokens = 0;
  friend bool operator==(const EngineProfile&, const EngineProfile&) = default;
};

struct ServiceProfile {
  std::string name;
  std::string health_path;
  // Maximum number of connections that one target accepts from all clients. The
  // router does not use it.
  int max_connections = 0;
  // Time after its start during which a target is cold. The router uses
  // `TargetEntry::cold_remaining` instead.
  Duration cold_start{0};
  // Maximum requests per second to a cold target; zero means no limit.
  double cold_per_second = 0;
  // Set if the service's targets are model engines.
  std::optional<EngineProfile> engine;
  friend bool operator==(const ServiceProfile&,
                         const ServiceProfile&) = default;
};

struct CustomerProfile {
  CustomerId id;
  std::string name;
  std::vector<std::string> api_keys;
  // Part of the configuration format; the router does not use it.
  std::optional<int> priority;
  // Regions whose targets may serve the customer; all if empty.
  std::vector<std::string> allowed_regions;
  friend bool operator==(const CustomerProfile&,
                         const CustomerProfile&) = default;
};

// Limits on what callers may send.
struct CallerLimits {
  std::size_t max_header_bytes = std::size_t{16} * 1024;
  std::size_t max_body_bytes = std::size_t{4} * 1024 * 1024;
  // Time for a request's header to arrive, counted from its first byte.
  Duration header_timeout = std::chrono::seconds(3);
  // Time after which a connection without a request is closed.
  Duration idle_timeout = std::chrono::seconds(15);
  friend bool operator==(const CallerLimits&, const CallerLimits&) = default;
};

// Contents of one version of the configuration.
struct ConfigurationParts {
  std::uint64_t version = 0;
  // Shared with other versions that have the same route.
  std::vector<std::shared_ptr<const Route>> routes;
  // For each route, a hash of the text that it was decoded from, so that the
  // next version decodes only routes whose text has changed. May be empty.
  std::vector<std::uint64_t> route_text_hashes = {};
  std::vector<ServiceProfile> services;
  std::vector<CustomerProfile> customers;
  // True if requests need an API key, except on public routes.
  bool requires_api_key = false;
  CallerLimits limits;
  // Throughput of all engines together, in weighted tokens per second (see
  // decisions/fair_share.h); zero if unknown.
  double engine_tokens_per_second = 0;

  void AddRoute(Route route) {
    routes.push_back(std::make_shared<const Route>(std::move(route)));
  }
};

// Indexed configuration. Immutable; safe to read from any thread. Returned
// pointers and references are valid for the lifetime of the object.
class Configuration {
 public:
  // Builds the indexes. Never fails; validation is left to the decoder.
  static std::shared_ptr<const Configuration> Create(ConfigurationParts parts);

  std::uint64_t version() const { return parts_.version; }
  const std::vector<std::shared_ptr<const Route>>& routes() const {
    return parts_.routes;
  }
  const std::vector<std::uint64_t>& route_text_hashes() const {
    return parts_.route_text_hashes;
  }
  const std::vector<ServiceProfile>& services() const {
    return parts_.services;
  }
  const std::vector<CustomerProfile>& customers() const {
    return parts_.customers;
  }
  bool requires_api_key() const { return parts_.requires_api_key; }
  const CallerLimits& limits() const { return parts_.limits; }
  double engine_tokens_per_second() const {
    return parts_.engine_tokens_per_second;
  }

  // Returns the route of `host` with the longest matching prefix of `path`, or
  // null if none matches. The port and the case of `host` are ignored; `path`
  // must not contain a query.
  const Route* FindRoute(std::string_view host, std::string_view path) const;
  // Returns the customer with this API key, or null if there is none.
  const CustomerProfile* FindCustomerByKey(std::string_view key) const;
  // Returns the service of this name, or null if there is none.
  const ServiceProfile* FindService(std::string_view name) const;

 private:
  explicit Configuration(ConfigurationParts parts);
  // Keys are the routes' prefixes.
  using RoutesByPrefix = std::unordered_map<std::string_view, const Route*>;

  ConfigurationParts parts_;
  std::map<std::string, RoutesByPrefix, std::less<>> routes_by_host_;
  std::map<std::string, const CustomerProfile*, std::less<>> customers_by_key_;
  std::map<std::string, const ServiceProfile*, std::less<>> services_by_name_;
};

// Returns `host` in lower case and without its port.
std::string NormalizeHost(std::string_view host);

}  // namespace corianderpost

#endif  // CORIANDERPOST_MODEL_CONFIGURATION_H_
