// A small deployment on loopback addresses: the platform's store, replicas and
// router processes, all as our users' pages describe them.
#ifndef REVIEW_STANDINS_2_FLEET_H_
#define REVIEW_STANDINS_2_FLEET_H_

#include <sys/types.h>

#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "net.h"

namespace review {

// Ports are the same on all machines.
inline constexpr int kFrontPort = 18783;
inline constexpr int kReadinessPort = 18780;
inline constexpr int kControlPort = 18785;
inline constexpr int kInternalPort = 17400;
inline constexpr int kStorePort = 18781;
inline constexpr int kReplicaPort = 18105;

inline constexpr double kHeartbeatSeconds = 1.2;
inline constexpr double kDrainSeconds = 3.0;
inline constexpr int kMemoryMb = 110;
inline constexpr int kGraceSeconds = 8;

// Writes lines with the time to the record. Thread-safe.
class Record {
 public:
  explicit Record(const std::string& path) : out_(path) {}
  // Also to standard output.
  void Line(const std::string& text);
  // What was sent, answered and run, one line each.
  void Detail(const std::string& text);

 private:
  std::mutex mutex_;
  std::ofstream out_;
};

// Picks a free /24 network of loopback addresses.
class Network {
 public:
  Network();
  std::string Ip(int host) const;

 private:
  std::string prefix_;
};

// Holds items with revisions and answers range reads and watches. Thread-safe.
class Store {
 public:
  explicit Store(const Network& network);
  void Put(const std::string& key, const std::string& value);
  void Delete(const std::string& key);

 private:
  struct Item {
    std::string value;
    std::uint64_t revision = 0;
    bool is_deleted = false;
  };
  bool Handle(Connection& connection, const Message& request);
  std::string ItemJson(const std::string& key, const Item& item) const;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Item> items_;
  std::uint64_t revision_ = 1;
  std::unique_ptr<Server> server_;
};

struct ReplicaEntry {
  std::string id;
  std::string service;
  std::string zone;
  std::string version = "v1";
  std::string address;
  std::string state = "ready";
  std::int64_t born = 0;
  int slots = 0;
  int seq = 0;
};
std::string EntryJson(const ReplicaEntry& entry);
std::string EntryKey(const std::string& id);
std::int64_t UnixMilliseconds();

struct Route {
  std::string name;
  std::string prefix;
  std::string kind;
  std::string service;
  int timeout_ms = 1000;
  int latency_target_ms = 200;
  int gap_target_ms = 0;
  int max_attempts = 1;
  bool is_resumable = false;
};
inline constexpr char kHost[] = "review.example";
inline constexpr char kKey[] = "k7b2ex5wa5xwyhks8nbk";
inline constexpr char kOtherKey[] = "asnmgkcuyj8pjbvk9m68";
// Two tenants, one for each key. `engine_service` serves a model, other
// services don't.
std::string ConfigurationJson(int version, const std::vector<Route>& routes,
                              const std::string& engine_service);

// One router process, started with the command of the deploy file.
class Router {
 public:
  // `hosts` are those of all routers.
  Router(const Network& network, const std::string& folder, int host,
         const std::string& zone, const std::vector<int>& hosts);
  ~Router() { Kill(); }
  Router(const Router&) = delete;
  Router& operator=(const Router&) = delete;

  void Start();
  void Signal(int signal);
  void Kill();
  bool IsRunning();
  bool IsReady() const;
  // Waits until it is ready; false after `seconds`.
  bool AwaitReady(double seconds) const;
  // Resident memory; 0 if it isn't running.
  double ResidentMb() const;
  const std::string& ip() const { return ip_; }
  const std::string& name() const { return name_; }

 private:
  const std::string ip_;
  const std::string name_;
  const std::string settings_path_;
  const std::string log_path_;
  pid_t pid_ = 0;
};

// The head of a client's request.
struct Request {
  std::string method = "POST";
  std::string path;
  std::string id;
  std::string body;
  int deadline_ms = 2000;
  std::string key = kKey;
  // Further header lines, each with its end.
  std::string headers;
};
std::string Format(const Request& request);
std::string ResponseHead(const Message& request, int status,
                         const std::string& headers);
// A temporary folder, removed at the end of the program.
std::string TemporaryFolder();
bool HasTrouble();

}  // namespace review

#endif  // REVIEW_STANDINS_2_FLEET_H_
