// What operators put into force: routes, services, customers and limits.
//
// A `Configuration` is immutable once built and is shared as
// `std::shared_ptr<const Configuration>`, so a request keeps the version that
// it started under.
#ifndef CORIANDERPOST_MODEL_CONFIGURATION_H_
#define CORIANDERPOST_MODEL_CONFIGURATION_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "corianderpost/clock.h"
#include "corianderpost/ids.h"

namespace corianderpost {

enum class RequestKind { kIdempotent, kNonIdempotent, kStreaming };

// A share of a route's requests that goes to one service.
struct TrafficShare {
  std::string service;
  double weight = 1.0;
  friend bool operator==(const TrafficShare&, const TrafficShare&) = default;
};

struct Route {
  std::string name;
  std::string host;
  // Begins and ends with a slash.
  std::string prefix;
  RequestKind kind = RequestKind::kIdempotent;
  // Longest time that a caller is kept waiting; zero means no limit.
  Duration timeout{0};
  // Time within which an answer, or a stream's first event, is on time.
  Duration latency_goal{0};
  // Longest pause between two events of a stream that is on time.
  Duration gap_goal{0};
  int priority = 0;
  std::vector<TrafficShare> split;
  // Targets that one client attempt may be sent to.
  int max_attempts = 1;
  // Needs no API key.
  bool is_public = false;
  // A stream may go on at another target after its last event.
  bool is_resumable = false;
  // Regions whose targets may serve the route; empty means all.
  std::vector<std::string> allowed_regions;
  friend bool operator==(const Route&, const Route&) = default;

  // Returns whether a request may run more than once.
  bool IsSafeToRetry() const {
    return kind == RequestKind::kIdempotent ||
           (kind == RequestKind::kStreaming && is_resumable);
  }
};

// A model engine's declared size.
struct EngineProfile {
  int slots = 1;
  std::int64_t kv_capacity_tokens = 0;
  friend bool operator==(const EngineProfile&, const EngineProfile&) = default;
};

struct ServiceProfile {
  std::string name;
  std::string health_path;
  // Connections that one target accepts from all callers together.
  int max_connections = 0;
  // How long a target that has just started is cold.
  Duration cold_start{0};
  // Requests a second that a cold target bears; zero means no limit.
  double cold_per_second = 0;
  std::optional<EngineProfile> engine;
  friend bool operator==(const ServiceProfile&,
                         const ServiceProfile&) = default;
};

struct CustomerProfile {
  CustomerId id;
  std::string name;
  std::vector<std::string> api_keys;
  std::optional<int> priority;
  std::vector<std::string> allowed_regions;
  friend bool operator==(const CustomerProfile&,
                         const CustomerProfile&) = default;
};

// Bounds on what callers may send.
struct CallerLimits {
  std::size_t max_header_bytes = std::size_t{16} * 1024;
  std::size_t max_body_bytes = std::size_t{4} * 1024 * 1024;
  Duration header_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(15);
  friend bool operator==(const CallerLimits&, const CallerLimits&) = default;
};

// Everything that one version of the configuration says.
struct ConfigurationParts {
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<ServiceProfile> services;
  std::vector<CustomerProfile> customers;
  // True if requests need a key; routes may be public nevertheless.
  bool requires_api_key = false;
  CallerLimits limits;
  // Weighted tokens a second that all engines produce together; zero if
  // unknown.
  double engine_tokens_per_second = 0;
};

// Indexed configuration. Immutable; safe to read from any thread.
class Configuration {
 public:
  // Indexes the parts. Never fails: checking is the decoder's job.
  static std::shared_ptr<const Configuration> Create(ConfigurationParts parts);

  std::uint64_t version() const { return parts_.version; }
  const std::vector<Route>& routes() const { return parts_.routes; }
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

  // Returns the route of the host with the longest prefix of the path, or
  // null. A port in `host` and its case are ignored; a query is not part of
  // `path`.
  const Route* FindRoute(std::string_view host, std::string_view path) const;
  // Returns null if no customer holds the key.
  const CustomerProfile* FindCustomerByKey(std::string_view key) const;
  const ServiceProfile* FindService(std::string_view name) const;

 private:
  explicit Configuration(ConfigurationParts parts);
  ConfigurationParts parts_;
  // Routes of a host, longest prefix first.
  std::map<std::string, std::vector<const Route*>, std::less<>> routes_by_host_;
  std::map<std::string, const CustomerProfile*, std::less<>> customers_by_key_;
  std::map<std::string, const ServiceProfile*, std::less<>> services_by_name_;
};

// Returns the host in lower case without its port.
std::string NormalizeHost(std::string_view host);

}  // namespace corianderpost

#endif  // CORIANDERPOST_MODEL_CONFIGURATION_H_
