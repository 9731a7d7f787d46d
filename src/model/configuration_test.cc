#include "model/configuration.h"

#include <doctest/doctest.h>

namespace corianderpost {
namespace {

Route MakeRoute(const std::string& name, const std::string& host,
                const std::string& prefix) {
  Route route;
  route.name = name;
  route.host = host;
  route.prefix = prefix;
  return route;
}

std::string FindRouteName(const Configuration& configuration,
                          std::string_view host, std::string_view path) {
  const Route* route = configuration.FindRoute(host, path);
  return route == nullptr ? "" : route->name;
}

TEST_CASE("Configuration finds the route with the longest prefix") {
  ConfigurationParts parts;
  parts.AddRoute(MakeRoute("short", "a.example", "/x/"));
  parts.AddRoute(MakeRoute("elsewhere", "b.example", "/x/y/z/"));
  parts.AddRoute(MakeRoute("long", "a.example", "/x/y/"));
  const auto configuration = Configuration::Create(parts);
  CHECK(FindRouteName(*configuration, "a.example", "/x/y/z/1") == "long");
  CHECK(FindRouteName(*configuration, "a.example", "/x/1") == "short");
  CHECK(FindRouteName(*configuration, "A.Example:8080", "/x/1") == "short");
  CHECK(FindRouteName(*configuration, "a.example", "/x") == "");
  CHECK(FindRouteName(*configuration, "c.example", "/x/") == "");
  CHECK(FindRouteName(*configuration, "a.example", "") == "");
}

TEST_CASE("Configuration finds a customer by any of its API keys") {
  ConfigurationParts parts;
  CustomerProfile club;
  club.name = "club";
  club.api_keys = {"one", "two"};
  parts.customers = {club};
  const auto configuration = Configuration::Create(parts);
  REQUIRE(configuration->FindCustomerByKey("two") != nullptr);
  CHECK(configuration->FindCustomerByKey("two")->name == "club");
  CHECK(configuration->FindCustomerByKey("three") == nullptr);
  CHECK(configuration->FindCustomerByKey("") == nullptr);
}

TEST_CASE("Only idempotent and resumable routes are safe to retry") {
  Route route;
  route.kind = RequestKind::kIdempotent;
  CHECK(route.IsSafeToRetry());
  route.kind = RequestKind::kNonIdempotent;
  route.is_resumable = true;
  CHECK_FALSE(route.IsSafeToRetry());
  route.kind = RequestKind::kStreaming;
  CHECK(route.IsSafeToRetry());
  route.is_resumable = false;
  CHECK_FALSE(route.IsSafeToRetry());
}

}  // namespace
}  // namespace corianderpost
