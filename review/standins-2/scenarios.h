// The scenarios of the cases, and what they have in common.
#ifndef REVIEW_STANDINS_2_SCENARIOS_H_
#define REVIEW_STANDINS_2_SCENARIOS_H_

#include "fleet.h"

namespace review {

// Also the exit codes.
enum class Outcome { kHeld = 0, kBroken = 1, kCouldNotRun = 2 };

// A replica that registers itself and sends pings while it runs.
class Replica {
 public:
  Replica(Store& store, ReplicaEntry entry, const std::string& ip,
          Server::Handler handler);
  ~Replica();
  // Ends the process: resets its connections and no longer listens or pings.
  void End();
  // Starts it again under its id and address.
  void StartAgain(const std::string& version, double first_ping_after);

 private:
  void Ping();
  Store& store_;
  const std::string ip_;
  const Server::Handler handler_;
  std::mutex mutex_;
  ReplicaEntry entry_;
  double next_ping_at_ = 0;
  bool is_pinging_ = true;
  bool ends_ = false;
  std::string written_;
  std::unique_ptr<Server> server_;
  std::thread pinger_;
};

class Deployment {
 public:
  Deployment(const std::vector<int>& router_hosts,
             const std::vector<std::string>& router_zones);
  ~Deployment();
  Replica& AddReplica(const std::string& id, const std::string& service,
                      const std::string& zone, int slots,
                      Server::Handler handler);
  void Configure(const std::vector<Route>& routes,
                 const std::string& engine_service);
  // Writes a configuration without the second tenant's key.
  void TakeKeyAway(const std::vector<Route>& routes,
                   const std::string& engine_service);
  // Returns whether all are ready in time.
  bool StartRouters();
  Store& store() { return store_; }
  std::vector<std::unique_ptr<Router>>& routers() { return routers_; }

 private:
  Network network_;
  Store store_;
  std::vector<std::unique_ptr<Replica>> replicas_;
  std::vector<std::unique_ptr<Router>> routers_;
  int configuration_version_ = 7;
};

std::string Chunk(const std::string& data);

Outcome PlayParts(Record& record);
Outcome PlayRestart(Record& record);
Outcome PlayCrashAfterEvent(Record& record);
Outcome PlayDeepPart(Record& record);
Outcome PlayStale(Record& record);

}  // namespace review

#endif  // REVIEW_STANDINS_2_SCENARIOS_H_
