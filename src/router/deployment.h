// What a router needs to know of the deployment that it runs in.
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

struct ConfigurationChanged {
  std::shared_ptr<const Configuration> configuration;
};
struct ZoneChanged {
  std::string zone;
  bool is_evacuated = false;
};
struct TargetListed {
  TargetEntry entry;
};
struct TargetRemoved {
  std::string id;
};
// An item that can't be read; it changes nothing else.
struct MalformedItem {
  std::string key;
  std::string reason;
};
// An item that concerns nothing that the router knows.
struct UnknownItem {
  std::string key;
};

using FleetChange =
    std::variant<ConfigurationChanged, ZoneChanged, TargetListed, TargetRemoved,
                 MalformedItem, UnknownItem>;

// Translates between the project and one kind of deployment. Implementations
// hold no state and may be used from any thread.
class Deployment {
 public:
  virtual ~Deployment() = default;
  virtual const Dialect& dialect() const = 0;
  virtual const StoreProtocol& store_protocol() const = 0;
  // Prefixes of the store under which operators and targets write.
  virtual std::string operator_prefix() const = 0;
  virtual std::string target_prefix() const = 0;
  virtual FleetChange DecodeChange(const StoreItem& item) const = 0;
};

}  // namespace corianderpost

#endif  // CORIANDERPOST_ROUTER_DEPLOYMENT_H_
