// Interface to the deployment that a router runs in: the formats of its
// requests and of its store.
#ifndef CORIANDERPOST_ROUTER_DEPLOYMENT_H_
#define CORIANDERPOST_ROUTER_DEPLOYMENT_H_

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "absl/status/statusor.h"
#include "dataplane/dialect.h"
#include "model/configuration.h"
#include "model/request.h"
#include "model/store_batch.h"
#include "model/target.h"
#include "peers/store_reader.h"

namespace corianderpost {

// Decodes one version of the operators' configuration in steps, so that a large
// one does not hold the event loop. Not thread-safe.
class ConfigurationDecoding {
 public:
  using Result = absl::StatusOr<std::shared_ptr<const Configuration>>;
  virtual ~ConfigurationDecoding() = default;
  // Does the next step; at most `max_routes` routes are parsed in it. Returns
  // the configuration, or InvalidArgumentError, after the last step. Must not
  // be called again then.
  virtual std::optional<Result> Step(std::size_t max_routes) = 0;
};

// The operators wrote a version of the configuration.
struct ConfigurationWritten {
  // To be decoded by `Deployment::StartDecoding`.
  std::string value;
};
// Operators evacuated a zone or put it back in rotation.
struct ZoneChanged {
  std::string zone;
  bool is_evacuated = false;
};
// An entry of the target list was added or updated.
struct TargetListed {
  TargetEntry entry;
};
// An entry of the target list was removed.
struct TargetRemoved {
  std::string id;
};
// An item that can't be decoded. Other items are not affected.
struct MalformedItem {
  std::string key;
  std::string reason;
};
// An item whose key the router does not use.
struct UnknownItem {
  std::string key;
};

// What a target reports of the requests that it runs.
struct TargetRuns {
  // Start time of the target in Unix milliseconds.
  std::int64_t incarnation = 0;
  // Ids of the streams of which it has made events.
  std::vector<std::string> begun_streams;
  friend bool operator==(const TargetRuns&, const TargetRuns&) = default;
};

// A prompt part that a target holds, with the tokens that it holds of it.
using HeldParts = std::vector<PromptPart>;

// A change of one store item, decoded.
using FleetChange =
    std::variant<ConfigurationWritten, ZoneChanged, TargetListed, TargetRemoved,
                 MalformedItem, UnknownItem>;

// Translates between the router's types and one deployment's formats.
// Implementations hold no state and may be used from any thread.
class Deployment {
 public:
  virtual ~Deployment() = default;
  virtual const Dialect& dialect() const = 0;
  virtual const StoreProtocol& store_protocol() const = 0;
  // Store prefixes under which operators and targets write.
  virtual std::string operator_prefix() const = 0;
  virtual std::string target_prefix() const = 0;
  // Decodes an item of the store, or its removal. Returns a MalformedItem if it
  // can't be decoded.
  virtual FleetChange DecodeChange(const StoreItem& item) const = 0;
  // Path at which a target reports the requests that it runs.
  virtual std::string target_runs_path() const = 0;
  // Returns InvalidArgumentError if `body` is not such a report.
  virtual absl::StatusOr<TargetRuns> DecodeTargetRuns(
      std::string_view body) const = 0;
  // Path at which a target lists the prompt parts that it holds.
  virtual std::string held_parts_path() const = 0;
  // Returns InvalidArgumentError if `body` is not such a list.
  virtual absl::StatusOr<HeldParts> DecodeHeldParts(
      std::string_view body) const = 0;
  // Starts to decode a version of the configuration. Decoding is faster if
  // `previous`, which may be null, has routes in common with it.
  virtual std::unique_ptr<ConfigurationDecoding> StartDecoding(
      std::string value,
      std::shared_ptr<const Configuration> previous) const = 0;
};

}  // namespace corianderpost

#endif  // CORIANDERPOST_ROUTER_DEPLOYMENT_H_
