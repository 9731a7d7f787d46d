#include "fleet.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <stdexcept>

namespace review {
namespace {

constexpr char kRouterProgram[] = "target/bin/corianderpost-router";

std::string Base64(const std::string& bytes) {
  static const char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t n = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      n = n << 8 |
          (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0);
    }
    for (std::size_t k = 0; k < 4; ++k) {
      text += i + k > bytes.size() ? '=' : kDigits[n >> (18 - 6 * k) & 63];
    }
  }
  return text;
}

std::string QueryValue(const std::string& target, const std::string& name) {
  std::size_t pos = target.find('?');
  while (pos != std::string::npos) {
    const std::size_t end = target.find('&', pos + 1);
    const std::string pair =
        target.substr(pos + 1, end == std::string::npos ? end : end - pos - 1);
    if (pair.rfind(name + "=", 0) == 0) {
      return pair.substr(name.size() + 1);
    }
    pos = end;
  }
  return "";
}

}  // namespace

void Record::Line(const std::string& text) {
  char time[32];
  std::snprintf(time, sizeof(time), "%9.3f ", Now());
  const std::lock_guard lock(mutex_);
  out_ << time << text << std::endl;
  std::cout << time << text << std::endl;
}

void Record::Detail(const std::string& text) {
  char time[32];
  std::snprintf(time, sizeof(time), "%9.3f ", Now());
  const std::lock_guard lock(mutex_);
  out_ << time << "  " << text << '\n';
}

Network::Network() {
  for (int i = 0; i < 200; ++i) {
    const int n = static_cast<int>(getpid()) + i;
    prefix_ = "127." + std::to_string(20 + n / 250 % 200) + "." +
              std::to_string(1 + n % 250) + ".";
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(kStorePort);
    inet_pton(AF_INET, Ip(1).c_str(), &address.sin_addr);
    const bool is_free = bind(fd, reinterpret_cast<const sockaddr*>(&address),
                              sizeof(address)) == 0;
    close(fd);
    if (is_free) {
      return;
    }
  }
  throw std::runtime_error("no free loopback network");
}

std::string Network::Ip(int host) const {
  return prefix_ + std::to_string(host);
}

Store::Store(const Network& network)
    : server_(std::make_unique<Server>(
          network.Ip(1), kStorePort,
          [this](Connection& connection, const Message& request) {
            return Handle(connection, request);
          })) {}

void Store::Put(const std::string& key, const std::string& value) {
  const std::lock_guard lock(mutex_);
  items_[key] = {value, ++revision_, false};
  changed_.notify_all();
}

void Store::Delete(const std::string& key) {
  const std::lock_guard lock(mutex_);
  if (const auto it = items_.find(key);
      it != items_.end() && !it->second.is_deleted) {
    it->second = {"", ++revision_, true};
    changed_.notify_all();
  }
}

std::string Store::ItemJson(const std::string& key, const Item& item) const {
  std::string json =
      "{\"key\":\"" + key + "\",\"revision\":" + std::to_string(item.revision);
  if (item.is_deleted) {
    return json + ",\"deleted\":true}";
  }
  return json + ",\"created\":" + std::to_string(item.revision) +
         ",\"lease\":0,\"value\":\"" + Base64(item.value) + "\"}";
}

bool Store::Handle(Connection& connection, const Message& request) {
  const std::string target = request.Target();
  const std::string prefix = QueryValue(target, "prefix");
  std::string body;
  if (target.rfind("/kv-range", 0) == 0) {
    const std::string after = QueryValue(target, "after");
    const std::lock_guard lock(mutex_);
    for (const auto& [key, item] : items_) {
      if (!item.is_deleted && key.rfind(prefix, 0) == 0 && key > after) {
        body += (body.empty() ? "" : ",") + ItemJson(key, item);
      }
    }
    body = "{\"items\":[" + body + "],\"hasMore\":false,\"storeRevision\":" +
           std::to_string(revision_) + "}";
  } else if (target.rfind("/kv-watch", 0) == 0) {
    const auto after =
        std::strtoull(QueryValue(target, "after").c_str(), nullptr, 10);
    const int wait_ms = std::atoi(QueryValue(target, "waitMs").c_str());
    const auto until =
        std::chrono::steady_clock::now() + std::chrono::milliseconds(wait_ms);
    std::unique_lock lock(mutex_);
    const auto collect = [&] {
      body.clear();
      for (const auto& [key, item] : items_) {
        if (key.rfind(prefix, 0) == 0 && item.revision > after) {
          body += (body.empty() ? "" : ",") + ItemJson(key, item);
        }
      }
      return !body.empty();
    };
    changed_.wait_until(lock, until, collect);
    body = "{\"events\":[" + body +
           "],\"storeRevision\":" + std::to_string(revision_) + "}";
  } else {
    return connection.Write(
        "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
  }
  SleepFor(0.004);
  return connection.Write(
      "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
      std::to_string(body.size()) + "\r\n\r\n" + body);
}

std::string EntryJson(const ReplicaEntry& entry) {
  return "{\"service\":\"" + entry.service + "\",\"address\":\"" +
         entry.address + "\",\"zone\":\"" + entry.zone + "\",\"version\":\"" +
         entry.version + "\",\"slots\":" + std::to_string(entry.slots) +
         ",\"state\":\"" + entry.state +
         "\",\"coldRemainingMs\":0,\"seq\":" + std::to_string(entry.seq) +
         ",\"born\":" + std::to_string(entry.born) + "}";
}

std::string EntryKey(const std::string& id) { return "servers/" + id; }

std::int64_t UnixMilliseconds() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string ConfigurationJson(int version, const std::vector<Route>& routes,
                              const std::string& engine_service) {
  std::string routes_json;
  std::map<std::string, bool> services;
  for (const Route& it : routes) {
    services[it.service] = it.service == engine_service;
    routes_json +=
        std::string(routes_json.empty() ? "" : ",") + "{\"name\":\"" + it.name +
        "\",\"host\":\"" + kHost + "\",\"prefix\":\"" + it.prefix +
        "\",\"kind\":\"" + it.kind +
        "\",\"timeoutMs\":" + std::to_string(it.timeout_ms) +
        ",\"latencyTargetMs\":" + std::to_string(it.latency_target_ms) +
        ",\"priority\":1,\"service\":\"" + it.service +
        "\",\"maxAttempts\":" + std::to_string(it.max_attempts) +
        ",\"public\":false,\"sticky\":" +
        (it.service == engine_service ? "true" : "false") +
        ",\"streamResume\":" + (it.is_resumable ? "true" : "false") +
        ",\"gapTargetMs\":" + std::to_string(it.gap_target_ms) +
        ",\"allowedRegions\":[]}";
  }
  std::string services_json;
  for (const auto& [name, is_engine] : services) {
    services_json += std::string(services_json.empty() ? "" : ",") +
                     "{\"name\":\"" + name +
                     "\",\"healthPath\":\"/health\",\"maxConns\":610,"
                     "\"protocol\":\"h1\",\"tls\":false,\"coldStartS\":3.0,"
                     "\"coldPerS\":23.0";
    if (is_engine) {
      services_json +=
          ",\"engine\":{\"slots\":128,\"kvCapacityTokens\":361228,"
          "\"kvTokenBytes\":18432,\"linkMbps\":370000.0,\"moves\":true,"
          "\"backups\":true,\"stride\":6,\"most\":12,\"pinMs\":4000.0,"
          "\"holdMs\":2000.0,\"handleS\":5.0,\"models\":[{\"name\":\"m\"}]}";
    }
    services_json += "}";
  }
  return "{\"version\":" + std::to_string(version) + ",\"routes\":[" +
         routes_json + "],\"services\":[" + services_json +
         "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
         "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000,"
         "\"tokensPerS\":920000},\"tenants\":[{\"name\":\"hule930\","
         "\"apiKeys\":[\"" +
         kKey +
         "\"],\"priority\":1,\"allowedRegions\":[]},"
         "{\"name\":\"vosa117\",\"apiKeys\":[\"" +
         kOtherKey + "\"],\"priority\":1,\"allowedRegions\":[]}]}";
}

Router::Router(const Network& network, const std::string& folder, int host,
               const std::string& zone, const std::vector<int>& hosts)
    : ip_(network.Ip(host)),
      name_("edge-" + zone + "-" + std::to_string(host)),
      settings_path_(folder + "/" + name_ + ".yaml"),
      log_path_(folder + "/" + name_ + ".log") {
  const auto address = [](const std::string& ip, int port) {
    return ip + ":" + std::to_string(port);
  };
  std::string seeds;
  for (std::size_t i = 0; i < hosts.size() && i < 3; ++i) {
    seeds += (i == 0 ? "\"" : ", \"") +
             address(network.Ip(hosts[i]), kControlPort) + "\"";
  }
  // As deploy/router.yaml.tmpl.
  std::ofstream(settings_path_)
      << "vm: \"" << name_ << "\"\nzone: \"" << zone << "\"\nregion: \""
      << (zone == "kandy" ? "central" : "western") << "\"\nip: \"" << ip_
      << "\"\ncallers: \"" << address(ip_, kFrontPort) << "\"\nreadiness: \""
      << address(ip_, kReadinessPort) << "\"\ncontrol: \""
      << address(ip_, kControlPort) << "\"\npeer_port: " << kInternalPort
      << "\nseeds: [" << seeds
      << "]\nzones: {\"colombo\": \"western\", \"kandy\": \"central\", "
         "\"negombo\": \"western\"}\nstore: \""
      << address(network.Ip(1), kStorePort)
      << "\"\ngrace_seconds: " << kGraceSeconds
      << "\nretry_ratio: 0.2\nretry_window_seconds: 10\nretry_slack: 52\n"
         "max_descriptors: 4100\nmemory_mb: "
      << kMemoryMb << "\nprocessor_share: 0.25\nregion_link_mbit: 30\n";
}

void Router::Start() {
  std::string program = kRouterProgram;
  std::string option = "--settings";
  std::string path = settings_path_;
  char* const argv[] = {program.data(), option.data(), path.data(), nullptr};
  const int log =
      open(log_path_.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  pid_ = fork();
  if (pid_ == 0) {
    // Ends with this program, whatever ends it.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    execv(kRouterProgram, argv);
    _exit(127);
  }
  close(log);
  if (pid_ < 0) {
    pid_ = 0;
    throw std::runtime_error("cannot start the router");
  }
}

void Router::Signal(int signal) {
  if (pid_ > 0) {
    kill(pid_, signal);
  }
}

void Router::Kill() {
  if (pid_ > 0) {
    kill(pid_, SIGCONT);
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    pid_ = 0;
  }
}

bool Router::IsRunning() {
  int status = 0;
  if (pid_ > 0 && waitpid(pid_, &status, WNOHANG) == pid_) {
    pid_ = 0;
  }
  return pid_ > 0;
}

bool Router::IsReady() const {
  const auto connection = Connection::To(ip_, kReadinessPort);
  if (!connection) {
    return false;
  }
  connection->SetTimeout(1);
  Message response;
  return connection->Write("GET /ready HTTP/1.1\r\nHost: " + ip_ +
                           "\r\nConnection: close\r\n\r\n") &&
         connection->ReadResponse(response) && response.Status() == 200;
}

bool Router::AwaitReady(double seconds) const {
  for (const double until = Now() + seconds; Now() < until; SleepFor(0.1)) {
    if (IsReady()) {
      return true;
    }
  }
  return false;
}

double Router::ResidentMb() const {
  if (pid_ <= 0) {
    return 0;
  }
  std::ifstream in("/proc/" + std::to_string(pid_) + "/statm");
  double total = 0;
  double resident = 0;
  in >> total >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1048576.0;
}

std::string Format(const Request& request) {
  return request.method + " " + request.path + " HTTP/1.1\r\nHost: " + kHost +
         "\r\nCorianderpost-Request-Id: " + request.id +
         "\r\nCorianderpost-Deadline-Ms: " +
         std::to_string(request.deadline_ms) + "\r\nAuthorization: Bearer " +
         request.key + "\r\n" + request.headers +
         (request.method == "GET"
              ? ""
              : "Content-Length: " + std::to_string(request.body.size()) +
                    "\r\n") +
         "\r\n" + request.body;
}

std::string ResponseHead(const Message& request, int status,
                         const std::string& headers) {
  const std::string id = request.Header("corianderpost-request-id");
  return "HTTP/1.1 " + std::to_string(status) +
         (status == 200 ? " OK" : " Error") +
         "\r\nCorianderpost-Request-Id: " + id +
         "\r\nCorianderpost-Server-Seal: seal." + id + "\r\n" + headers;
}

std::string TemporaryFolder() {
  static const struct Folder {
    Folder() {
      char name[] = "/tmp/review-XXXXXX";
      path = mkdtemp(name);
    }
    ~Folder() {
      if (std::getenv("KEEP_LOGS") == nullptr) {
        std::error_code ignored;
        std::filesystem::remove_all(path, ignored);
      }
    }
    std::string path;
  } folder;
  return folder.path;
}

bool HasTrouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

}  // namespace review
