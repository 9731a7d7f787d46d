// Stand-ins for what surrounds the routers: the platform's store, targets,
// callers and a proxy that injects faults. Each stand-in has threads of its
// own; all public methods are thread-safe. Uses the C++ library and POSIX only.
#ifndef CORIANDERPOST_REVIEW_STANDINS_STANDINS_H_
#define CORIANDERPOST_REVIEW_STANDINS_STANDINS_H_

#include <sys/types.h>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace review {

// Seconds since the start of the program, on the steady clock.
double Now();
void SleepUntil(double at);
// Milliseconds since the Unix epoch.
std::int64_t WallMillis();

// Writes timestamped lines to record.txt in the case's folder.
class Record {
 public:
  explicit Record(const std::string& path) : out_(path) {}
  void Line(const std::string& text);

 private:
  std::mutex mutex_;
  std::ofstream out_;
};

struct Message {
  // Request line or status line.
  std::string start;
  // Names in lower case.
  std::map<std::string, std::string> headers;
  std::string body;
  std::string Header(const std::string& name) const;
  // Of a response; zero if malformed.
  int Status() const;
  // Of a request, with the query.
  std::string Target() const;
};

// Reads one message from `fd`. `buffer` holds input beyond it. Returns false if
// the connection ends before the message is complete.
bool ReadMessage(int fd, std::string& buffer, Message& message);
bool WriteAll(int fd, const std::string& text);
std::string FormatResponse(int status, const std::string& extra_headers,
                           const std::string& body);

// Returns a connected socket, or -1.
int ConnectTo(const std::string& ip, int port);

// Accepts connections and runs `serve` for each in a thread of its own; `serve`
// closes the socket.
class Server {
 public:
  Server(std::string ip, int port, std::function<void(int)> serve);
  ~Server() { Stop(); }
  // Stops listening. New connections are refused.
  void Stop();

 private:
  void Accept();
  const std::string ip_;
  const int port_;
  const std::function<void(int)> serve_;
  int fd_ = -1;
  std::atomic<bool> is_stopped_{false};
  std::thread thread_;
};

// The platform's store: PROTOCOL.md, "The platform's metadata store".
class Store {
 public:
  Store(const std::string& ip, int port);
  ~Store();
  // Returns when the write is acknowledged.
  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  // Number of watches of the list of targets that wait for a change.
  int WaitingTargetWatches() const { return waiting_target_watches_; }

 private:
  struct Item {
    std::string value;
    std::uint64_t revision = 0;
  };
  struct Change {
    std::string key;
    std::uint64_t revision = 0;
    bool is_removed = false;
  };
  void Serve(int fd);
  std::string Range(const std::string& prefix, const std::string& after);
  std::string Watch(const std::string& prefix, std::uint64_t after,
                    int wait_ms);
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Item> items_;
  std::vector<Change> changes_;
  std::uint64_t revision_ = 100;
  std::atomic<int> waiting_target_watches_{0};
  bool is_stopped_ = false;
  std::unique_ptr<Server> server_;
};

// Forwards connections to the store. `Silence` lets all open connections go
// silent for good, without a reset; connections made later work.
class Proxy {
 public:
  Proxy(const std::string& ip, int port, std::string to_ip, int to_port);
  // Returns the number of connections that were silenced.
  int Silence();

 private:
  struct Pair {
    int client = -1;
    int server = -1;
    std::atomic<bool> is_silent{false};
  };
  void Serve(int fd);
  static void Forward(const std::shared_ptr<Pair>& pair, int from, int to);
  const std::string to_ip_;
  const int to_port_;
  std::mutex mutex_;
  std::vector<std::weak_ptr<Pair>> pairs_;
  std::unique_ptr<Server> server_;
};

struct TargetRequest {
  std::string request_id;
  std::string method;
  std::string path;
  std::string body;
  std::string tenant;
  std::string last_event_id;
  std::string deadline_ms;
};

// A replica. Registers itself in the store and renews its entry each heartbeat.
class Target {
 public:
  // Handles a request that has begun to run. Writes the response to `fd` and
  // returns whether the connection may be kept.
  using Handler =
      std::function<bool(Target&, const TargetRequest&, int fd, double at)>;
  struct Options {
    std::string service;
    std::string zone;
    std::string ip;
    int port = 0;
    int slots = 6;
    double heartbeat_s = 1.2;
  };
  Target(Store& store, std::string id, Options options, Handler handler);
  ~Target();
  // Resets all connections and refuses new ones. The entry stays in the store
  // until three heartbeats have passed, as for a replica that sends nothing.
  void Crash();
  // Removes the entry; the target goes on serving.
  void RemoveEntry();
  // Ends the target.
  void Exit();
  const std::string& id() const { return id_; }
  const Options& options() const { return options_; }
  bool is_running() const { return !is_ended_; }
  // Returns a line of headers that a response must have.
  static std::string Signature(const TargetRequest& request);

 private:
  void Serve(int fd);
  void Beat();
  void WriteEntry();
  void CloseAll(bool with_reset);
  Store& store_;
  const std::string id_;
  const Options options_;
  const Handler handler_;
  const std::int64_t born_;
  std::mutex mutex_;
  std::vector<int> open_;
  std::uint64_t sequence_ = 0;
  std::atomic<bool> is_registered_{true};
  std::atomic<bool> is_ended_{false};
  std::unique_ptr<Server> server_;
  std::thread beat_;
};

// The names and free addresses of one deployment.
struct Network {
  // Three numbers of 127.x.y.
  std::string prefix;
  std::string Ip(int host) const { return prefix + "." + std::to_string(host); }
  // Picks a network of which no tested port is in use.
  static Network Pick();
};
inline constexpr int kFrontPort = 18783;
inline constexpr int kReadinessPort = 18780;
inline constexpr int kControlPort = 18785;
inline constexpr int kPeerPort = 17400;
inline constexpr int kStorePort = 18781;
inline constexpr int kTargetPort = 18080;

// One router process, started with the command of the deploy file.
class Router {
 public:
  struct Options {
    std::string root;
    std::string folder;
    std::string name;
    std::string ip;
    std::string zone;
    std::string region;
    std::string zones_json;
    std::vector<std::string> seeds;
    std::string store;
    double retry_slack = 52;
    int memory_mb = 110;
  };
  explicit Router(Options options);
  ~Router() { Kill(); }
  void Start();
  void Signal(int signal);
  void Kill();
  bool IsReady() const;
  pid_t pid() const { return pid_; }
  const std::string& ip() const { return options_.ip; }
  // Returns whether the process has ended by itself.
  bool HasEnded();

 private:
  const Options options_;
  pid_t pid_ = 0;
};

// Routers in the three zones of a small site, with the settings of the deploy
// file's template.
class Fleet {
 public:
  // `store` is the address that the routers read the store at.
  Fleet(const std::string& root, const Network& network,
        const std::string& store);
  // Returns false if not all routers are ready before `deadline`.
  bool AwaitReady(double deadline);
  Router& router(int i) { return *routers_[static_cast<std::size_t>(i)]; }
  // Zone of router `i`.
  static const std::string& Zone(int i);
  // Ends all routers, removes the temporary folder and exits. Skips the
  // destructors of the stand-ins, whose threads may still run.
  [[noreturn]] void End(int status);

 private:
  std::string folder_;
  std::vector<std::unique_ptr<Router>> routers_;
};
inline constexpr int kRouters = 3;

// Whether the run is one with the disruption.
bool HasTrouble();

// Sends one request on a new connection and reads the response. Returns the
// status, or 0 if the connection ended without a complete response.
struct CallResult {
  int status = 0;
  Message response;
  double sent_at = 0;
  double ended_at = 0;
};
CallResult Call(const std::string& ip, const std::string& request_text,
                double timeout_s);
std::string RequestText(const std::string& method, const std::string& path,
                        const std::string& host, const std::string& request_id,
                        int deadline_ms, const std::string& extra_headers,
                        const std::string& body);
std::string NewRequestId();

}  // namespace review

#endif  // CORIANDERPOST_REVIEW_STANDINS_STANDINS_H_
