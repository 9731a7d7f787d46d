// Interface to the deployment that a router runs in: the formats of its
// requests and of its store.
#ifndef CORIANDERPOST_ROUTER_DEPLOYMENT_H_
#define CORIANDERPOST_ROUTER_DEPLOYMENT_H_

#include <memory>
#include <string>
#include <variant>

#include "dataplane/dialect.h"
#include "model/configuration.h"
#include "model/store_batch.h"
#include "model/target.h"
#include "peers/store_reader.h"

namespace corianderpost {

// A new version of the operators' configuration.
struct ConfigurationChanged {
  std::shared_ptr<const Configuration> configuration;
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

// A change of one store item, decoded.
using FleetChange =
    std::variant<ConfigurationChanged, ZoneChanged, TargetListed, TargetRemoved,
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
};

}  // namespace corianderpost

#endif  // CORIANDERPOST_ROUTER_DEPLOYMENT_H_
