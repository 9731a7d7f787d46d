// Sample 1: drives a router's decisions without sockets or a real clock.
//
// A core is given a configuration, a list of VMs, a load report and a request;
// it answers with the dispatch of the request to the warm target.
#include <iostream>

#include "corianderpost/router_core.h"

namespace {

using corianderpost::Action;
using corianderpost::Bundle;
using corianderpost::CustomerId;
using corianderpost::Dispatch;
using corianderpost::Event;
using corianderpost::RouterCore;
using corianderpost::ServiceId;
using corianderpost::TimePoint;
using corianderpost::Vm;
using corianderpost::VmId;
using corianderpost::VmList;
using corianderpost::VmRole;

constexpr char kBundle[] = R"({
  "zones": [{"name": "colombo", "region": "western"}],
  "customers": [{"name": "club", "weight": 1}],
  "services": [{"name": "assistant", "kind": "model", "slots": 4,
                "cold_slots": 1, "max_wait_ms": 1000, "max_waiting": 10}]})";

std::shared_ptr<const VmList> Vms() {
  Vm router;
  router.name = "router";
  router.id = VmId::FromName(router.name);
  router.role = VmRole::kRouter;
  router.zone = "colombo";
  Vm engine;
  engine.name = "engine";
  engine.id = VmId::FromName(engine.name);
  engine.zone = "colombo";
  engine.service = ServiceId::FromName("assistant");
  return VmList::Create(1, {router, engine});
}

}  // namespace

int main() {
  const TimePoint now(std::chrono::seconds(100));
  corianderpost::RouterCoreSettings settings;
  settings.self = VmId::FromName("router");
  settings.zone = "colombo";
  const auto core = *RouterCore::Create(settings, now);

  corianderpost::RequestArrived request;
  request.id = 1;
  request.customer = CustomerId::FromName("club");
  request.service = ServiceId::FromName("assistant");
  const Event events[] = {
      corianderpost::VmListSeen{Vms()},
      corianderpost::BundleSeen{*Bundle::Parse(kBundle, 1), true},
      corianderpost::LoadReported{VmId::FromName("engine"), 0, false, now},
      request};
  for (const Event& event : events) {
    for (const Action& action : core->Handle(now, event)) {
      if (const auto* it = std::get_if<Dispatch>(&action)) {
        std::cout << "request " << it->request << " goes to target "
                  << it->target.value() << "\n";
      }
    }
  }
  for (const auto& it : core->Explain(request.id)) {
    std::cout << it.text << "\n";
  }
  return 0;
}
