#include "scenarios.h"

#include <cstdio>

namespace review {

Replica::Replica(Store& store, ReplicaEntry entry, const std::string& ip,
                 Server::Handler handler)
    : store_(store),
      ip_(ip),
      handler_(std::move(handler)),
      entry_(std::move(entry)),
      server_(std::make_unique<Server>(ip_, kReplicaPort, handler_)),
      pinger_([this] { Ping(); }) {}

Replica::~Replica() {
  {
    const std::lock_guard lock(mutex_);
    ends_ = true;
  }
  pinger_.join();
  server_->Stop();
}

void Replica::Ping() {
  while (true) {
    {
      const std::lock_guard lock(mutex_);
      if (ends_) {
        return;
      }
      if (is_pinging_ && Now() >= next_ping_at_) {
        next_ping_at_ = Now() + kHeartbeatSeconds;
        // The entry changes when more than `seq` changes.
        ReplicaEntry unnumbered = entry_;
        unnumbered.seq = 0;
        ++entry_.seq;
        if (EntryJson(unnumbered) != written_) {
          written_ = EntryJson(unnumbered);
          store_.Put(EntryKey(entry_.id), EntryJson(entry_));
        }
      }
    }
    SleepFor(0.01);
  }
}

void Replica::End() {
  {
    const std::lock_guard lock(mutex_);
    is_pinging_ = false;
  }
  server_->Stop();
}

void Replica::StartAgain(const std::string& version, double first_ping_after) {
  const std::lock_guard lock(mutex_);
  entry_.version = version;
  entry_.born = UnixMilliseconds();
  entry_.seq = 0;
  next_ping_at_ = Now() + first_ping_after;
  is_pinging_ = true;
  server_ = std::make_unique<Server>(ip_, kReplicaPort, handler_);
}

Deployment::Deployment(const std::vector<int>& router_hosts,
                       const std::vector<std::string>& router_zones)
    : store_(network_) {
  for (std::size_t i = 0; i < router_hosts.size(); ++i) {
    routers_.push_back(std::make_unique<Router>(network_, TemporaryFolder(),
                                                router_hosts[i],
                                                router_zones[i], router_hosts));
  }
}

Deployment::~Deployment() {
  for (const auto& it : routers_) {
    it->Kill();
  }
  replicas_.clear();
}

Replica& Deployment::AddReplica(const std::string& id,
                                const std::string& service,
                                const std::string& zone, int slots,
                                Server::Handler handler) {
  const std::string ip = network_.Ip(100 + static_cast<int>(replicas_.size()));
  ReplicaEntry entry;
  entry.id = id;
  entry.service = service;
  entry.zone = zone;
  entry.address = ip + ":" + std::to_string(kReplicaPort);
  entry.born = UnixMilliseconds();
  entry.slots = slots;
  replicas_.push_back(
      std::make_unique<Replica>(store_, entry, ip, std::move(handler)));
  return *replicas_.back();
}

void Deployment::Configure(const std::vector<Route>& routes,
                           const std::string& engine_service) {
  store_.Put("op/config", ConfigurationJson(++configuration_version_, routes,
                                            engine_service));
}

void Deployment::TakeKeyAway(const std::vector<Route>& routes,
                             const std::string& engine_service) {
  std::string json =
      ConfigurationJson(++configuration_version_, routes, engine_service);
  const std::string key = "\"" + std::string(kOtherKey) + "\"";
  json.erase(json.find(key), key.size());
  store_.Put("op/config", json);
}

bool Deployment::StartRouters() {
  for (const auto& it : routers_) {
    it->Start();
  }
  for (const auto& it : routers_) {
    if (!it->AwaitReady(10)) {
      return false;
    }
  }
  return true;
}

std::string Chunk(const std::string& data) {
  char size[20];
  std::snprintf(size, sizeof(size), "%zx\r\n", data.size());
  return size + data + "\r\n";
}

}  // namespace review
