#include "standins.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <random>
#include <sstream>

namespace review {
namespace {

const auto kStart = std::chrono::steady_clock::now();

std::string Base64(const std::string& text) {
  static constexpr char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < text.size(); i += 3) {
    std::uint32_t bits = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      bits =
          (bits << 8) |
          (i + k < text.size() ? static_cast<unsigned char>(text[i + k]) : 0U);
    }
    for (std::size_t k = 0; k < 4; ++k) {
      out += i + k <= text.size() ? kDigits[(bits >> (18 - 6 * k)) & 63] : '=';
    }
  }
  return out;
}

std::string Lower(std::string text) {
  for (char& c : text) {
    c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  }
  return text;
}

std::string QueryValue(const std::string& target, const std::string& name) {
  std::size_t pos = target.find('?');
  while (pos != std::string::npos) {
    const std::size_t begin = pos + 1;
    const std::size_t end = target.find('&', begin);
    const std::string pair =
        target.substr(begin, end == std::string::npos ? end : end - begin);
    if (pair.rfind(name + "=", 0) == 0) {
      std::string value;
      const std::string raw = pair.substr(name.size() + 1);
      for (std::size_t i = 0; i < raw.size(); ++i) {
        if (raw[i] == '%' && i + 2 < raw.size()) {
          value +=
              static_cast<char>(std::stoi(raw.substr(i + 1, 2), nullptr, 16));
          i += 2;
        } else {
          value += raw[i];
        }
      }
      return value;
    }
    pos = end;
  }
  return "";
}

sockaddr_in AddressOf(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

// Closes the connection with a reset.
void Reset(int fd) {
  const linger now{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
  shutdown(fd, SHUT_RDWR);
}

bool ReadMore(int fd, std::string& buffer) {
  char chunk[16384];
  const ssize_t n = recv(fd, chunk, sizeof(chunk), 0);
  if (n <= 0) {
    return false;
  }
  buffer.append(chunk, static_cast<std::size_t>(n));
  return true;
}

void ReplaceAll(std::string& text, const std::string& from,
                const std::string& to) {
  for (std::size_t pos = 0; (pos = text.find(from, pos)) != std::string::npos;
       pos += to.size()) {
    text.replace(pos, from.size(), to);
  }
}

}  // namespace

double Now() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() -
                                       kStart)
      .count();
}

void SleepUntil(double at) {
  std::this_thread::sleep_until(
      kStart + std::chrono::duration_cast<std::chrono::steady_clock::duration>(
                   std::chrono::duration<double>(at)));
}

std::int64_t WallMillis() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void Record::Line(const std::string& text) {
  const std::lock_guard lock(mutex_);
  char time[32];
  snprintf(time, sizeof(time), "%9.3f ", Now());
  out_ << time << text << "\n";
  out_.flush();
}

std::string Message::Header(const std::string& name) const {
  const auto it = headers.find(name);
  return it == headers.end() ? "" : it->second;
}

int Message::Status() const {
  return start.size() > 12 ? std::atoi(start.c_str() + 9) : 0;
}

std::string Message::Target() const {
  const std::size_t begin = start.find(' ') + 1;
  return start.substr(begin, start.find(' ', begin) - begin);
}

bool ReadMessage(int fd, std::string& buffer, Message& message) {
  message = Message();
  std::size_t end = 0;
  while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
    if (!ReadMore(fd, buffer)) {
      return false;
    }
  }
  std::istringstream head(buffer.substr(0, end));
  buffer.erase(0, end + 4);
  std::string line;
  while (std::getline(head, line)) {
    if (!line.empty() && line.back() == '\r') {
      line.pop_back();
    }
    if (message.start.empty()) {
      message.start = line;
      continue;
    }
    const std::size_t colon = line.find(':');
    std::size_t value = colon + 1;
    while (value < line.size() && line[value] == ' ') {
      ++value;
    }
    message.headers[Lower(line.substr(0, colon))] = line.substr(value);
  }
  if (Lower(message.Header("transfer-encoding")) == "chunked") {
    while (true) {
      std::size_t eol = 0;
      while ((eol = buffer.find("\r\n")) == std::string::npos) {
        if (!ReadMore(fd, buffer)) {
          return false;
        }
      }
      const std::size_t n = std::stoul(buffer.substr(0, eol), nullptr, 16);
      while (buffer.size() < eol + 2 + n + 2) {
        if (!ReadMore(fd, buffer)) {
          return false;
        }
      }
      message.body.append(buffer, eol + 2, n);
      buffer.erase(0, eol + 2 + n + 2);
      if (n == 0) {
        return true;
      }
    }
  }
  const std::string length = message.Header("content-length");
  const std::size_t n = length.empty() ? 0 : std::stoul(length);
  while (buffer.size() < n) {
    if (!ReadMore(fd, buffer)) {
      return false;
    }
  }
  message.body = buffer.substr(0, n);
  buffer.erase(0, n);
  return true;
}

bool WriteAll(int fd, const std::string& text) {
  std::size_t sent = 0;
  while (sent < text.size()) {
    const ssize_t n =
        send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

std::string FormatResponse(int status, const std::string& extra_headers,
                           const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + extra_headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

int ConnectTo(const std::string& ip, int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = AddressOf(ip, port);
  if (fd < 0 || connect(fd, reinterpret_cast<const sockaddr*>(&address),
                        sizeof(address)) != 0) {
    if (fd >= 0) {
      close(fd);
    }
    return -1;
  }
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return fd;
}

Server::Server(std::string ip, int port, std::function<void(int)> serve)
    : ip_(std::move(ip)), port_(port), serve_(std::move(serve)) {
  fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = AddressOf(ip_, port_);
  if (bind(fd_, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) !=
          0 ||
      listen(fd_, 256) != 0) {
    fprintf(stderr, "cannot listen at %s:%d: %s\n", ip_.c_str(), port_,
            strerror(errno));
    _exit(2);
  }
  thread_ = std::thread([this] { Accept(); });
}

void Server::Accept() {
  while (!is_stopped_) {
    pollfd readable{fd_, POLLIN, 0};
    if (poll(&readable, 1, 10) <= 0) {
      continue;
    }
    const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) {
      continue;
    }
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    std::thread([serve = serve_, fd] { serve(fd); }).detach();
  }
}

void Server::Stop() {
  if (is_stopped_.exchange(true)) {
    return;
  }
  if (thread_.get_id() == std::this_thread::get_id()) {
    thread_.detach();
  } else {
    thread_.join();
  }
  close(fd_);
}

Store::Store(const std::string& ip, int port) {
  server_ = std::make_unique<Server>(ip, port, [this](int fd) { Serve(fd); });
}

Store::~Store() {
  {
    const std::lock_guard lock(mutex_);
    is_stopped_ = true;
  }
  changed_.notify_all();
  server_->Stop();
}

void Store::Put(const std::string& key, const std::string& value) {
  const std::lock_guard lock(mutex_);
  items_[key] = {value, ++revision_};
  changes_.push_back({key, revision_, false});
  changed_.notify_all();
}

void Store::Remove(const std::string& key) {
  const std::lock_guard lock(mutex_);
  if (items_.erase(key) == 0) {
    return;
  }
  changes_.push_back({key, ++revision_, true});
  changed_.notify_all();
}

std::string Store::Range(const std::string& prefix, const std::string& after) {
  const std::lock_guard lock(mutex_);
  std::string items;
  for (const auto& [key, item] : items_) {
    if (key.rfind(prefix, 0) != 0 || key <= after) {
      continue;
    }
    items += std::string(items.empty() ? "" : ",") + "{\"key\":\"" + key +
             "\",\"value\":\"" + Base64(item.value) +
             "\",\"revision\":" + std::to_string(item.revision) +
             ",\"created\":" + std::to_string(item.revision) + ",\"lease\":0}";
  }
  return "{\"items\":[" + items +
         "],\"hasMore\":false,\"storeRevision\":" + std::to_string(revision_) +
         "}";
}

std::string Store::Watch(const std::string& prefix, std::uint64_t after,
                         int wait_ms) {
  const bool is_of_targets = prefix == "servers/";
  waiting_target_watches_ += is_of_targets ? 1 : 0;
  std::unique_lock lock(mutex_);
  const auto has_change = [&] {
    return is_stopped_ ||
           std::any_of(changes_.begin(), changes_.end(), [&](const Change& it) {
             return it.revision > after && it.key.rfind(prefix, 0) == 0;
           });
  };
  changed_.wait_for(lock, std::chrono::milliseconds(wait_ms), has_change);
  waiting_target_watches_ -= is_of_targets ? 1 : 0;
  std::string events;
  for (const Change& it : changes_) {
    if (it.revision <= after || it.key.rfind(prefix, 0) != 0) {
      continue;
    }
    const auto item = items_.find(it.key);
    // Only the last change of a key is known in full.
    const bool is_current =
        item != items_.end() && item->second.revision == it.revision;
    if (!it.is_removed && !is_current) {
      continue;
    }
    events +=
        std::string(events.empty() ? "" : ",") + "{\"key\":\"" + it.key +
        "\",\"revision\":" + std::to_string(it.revision) +
        (it.is_removed ? std::string(",\"deleted\":true}")
                       : ",\"value\":\"" + Base64(item->second.value) +
                             "\",\"created\":" + std::to_string(it.revision) +
                             ",\"lease\":0}");
  }
  return "{\"events\":[" + events +
         "],\"storeRevision\":" + std::to_string(revision_) + "}";
}

void Store::Serve(int fd) {
  std::string buffer;
  Message request;
  while (ReadMessage(fd, buffer, request)) {
    const std::string target = request.Target();
    const std::string prefix = QueryValue(target, "prefix");
    std::string body;
    if (target.rfind("/kv-range", 0) == 0) {
      body = Range(prefix, QueryValue(target, "after"));
    } else if (target.rfind("/kv-watch", 0) == 0) {
      body = Watch(prefix, std::stoull(QueryValue(target, "after")),
                   std::stoi(QueryValue(target, "waitMs")));
    } else {
      WriteAll(fd, FormatResponse(404, "", ""));
      continue;
    }
    if (!WriteAll(fd, FormatResponse(200, "Content-Type: application/json\r\n",
                                     body))) {
      break;
    }
  }
  close(fd);
}

Proxy::Proxy(const std::string& ip, int port, std::string to_ip, int to_port)
    : to_ip_(std::move(to_ip)), to_port_(to_port) {
  server_ = std::make_unique<Server>(ip, port, [this](int fd) { Serve(fd); });
}

int Proxy::Silence() {
  const std::lock_guard lock(mutex_);
  int n = 0;
  for (const auto& it : pairs_) {
    if (const auto pair = it.lock()) {
      n += pair->is_silent.exchange(true) ? 0 : 1;
    }
  }
  return n;
}

void Proxy::Serve(int fd) {
  auto pair = std::make_shared<Pair>();
  pair->client = fd;
  pair->server = ConnectTo(to_ip_, to_port_);
  if (pair->server < 0) {
    close(fd);
    return;
  }
  {
    const std::lock_guard lock(mutex_);
    pairs_.push_back(pair);
  }
  std::thread back([pair] { Forward(pair, pair->server, pair->client); });
  Forward(pair, pair->client, pair->server);
  back.join();
  close(pair->client);
  close(pair->server);
}

void Proxy::Forward(const std::shared_ptr<Pair>& pair, int from, int to) {
  char chunk[16384];
  while (true) {
    const ssize_t n = recv(from, chunk, sizeof(chunk), 0);
    if (n <= 0) {
      break;
    }
    // A silent connection drops what it gets, in both directions.
    if (!pair->is_silent &&
        !WriteAll(to, std::string(chunk, static_cast<std::size_t>(n)))) {
      break;
    }
  }
  if (!pair->is_silent) {
    shutdown(to, SHUT_WR);
    return;
  }
  // The end of one side is not passed on either.
  if (from == pair->server) {
    while (recv(pair->client, chunk, sizeof(chunk), MSG_PEEK) > 0) {
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
  } else {
    shutdown(pair->server, SHUT_RDWR);
  }
}

Target::Target(Store& store, std::string id, Options options, Handler handler)
    : store_(store),
      id_(std::move(id)),
      options_(std::move(options)),
      handler_(std::move(handler)),
      born_(WallMillis()) {
  server_ = std::make_unique<Server>(options_.ip, options_.port,
                                     [this](int fd) { Serve(fd); });
  WriteEntry();
  beat_ = std::thread([this] { Beat(); });
}

Target::~Target() {
  Exit();
  beat_.join();
  // Connections' threads end soon after their sockets.
  std::this_thread::sleep_for(std::chrono::milliseconds(20));
}

void Target::WriteEntry() {
  store_.Put(
      "servers/" + id_,
      "{\"service\":\"" + options_.service + "\",\"address\":\"" + options_.ip +
          ":" + std::to_string(options_.port) + "\",\"zone\":\"" +
          options_.zone +
          "\",\"version\":\"v1\",\"slots\":" + std::to_string(options_.slots) +
          ",\"state\":\"ready\",\"coldRemainingMs\":0,\"seq\":" +
          std::to_string(++sequence_) + ",\"born\":" + std::to_string(born_) +
          "}");
}

void Target::Beat() {
  double next = Now() + options_.heartbeat_s;
  double ended_at = 0;
  while (true) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
    if (!is_registered_) {
      return;
    }
    if (is_ended_) {
      ended_at = ended_at == 0 ? Now() : ended_at;
      if (Now() - ended_at >= 3 * options_.heartbeat_s) {
        RemoveEntry();
        return;
      }
    } else if (Now() >= next) {
      next += options_.heartbeat_s;
      WriteEntry();
    }
  }
}

void Target::RemoveEntry() {
  is_registered_ = false;
  store_.Remove("servers/" + id_);
}

void Target::CloseAll(bool with_reset) {
  const std::lock_guard lock(mutex_);
  for (const int fd : open_) {
    if (with_reset) {
      Reset(fd);
    } else {
      shutdown(fd, SHUT_RDWR);
    }
  }
}

void Target::Crash() {
  if (is_ended_.exchange(true)) {
    return;
  }
  server_->Stop();
  CloseAll(true);
}

void Target::Exit() {
  if (!is_ended_.exchange(true)) {
    server_->Stop();
    CloseAll(true);
  }
  if (is_registered_) {
    RemoveEntry();
  }
}

std::string Target::Signature(const TargetRequest& request) {
  return "Corianderpost-Request-Id: " + request.request_id +
         "\r\nCorianderpost-Server-Seal: seal." + request.request_id + "\r\n";
}

void Target::Serve(int fd) {
  {
    const std::lock_guard lock(mutex_);
    open_.push_back(fd);
  }
  std::string buffer;
  Message message;
  while (!is_ended_ && ReadMessage(fd, buffer, message)) {
    TargetRequest request{message.Header("corianderpost-request-id"),
                          message.start.substr(0, message.start.find(' ')),
                          message.Target(),
                          message.body,
                          message.Header("corianderpost-tenant"),
                          message.Header("last-event-id"),
                          message.Header("corianderpost-deadline-ms")};
    const std::string expected =
        message.Header("corianderpost-expect-instance");
    if (!expected.empty() && expected != id_) {
      WriteAll(fd, FormatResponse(
                       421,
                       "Corianderpost-Request-Id: " + request.request_id +
                           "\r\nCorianderpost-Replica-Id: " + id_ + "\r\n",
                       ""));
      continue;
    }
    if (request.path == "/health") {
      WriteAll(fd, FormatResponse(
                       200, "Corianderpost-Replica-Id: " + id_ + "\r\n", ""));
      continue;
    }
    if (!handler_(*this, request, fd, Now())) {
      break;
    }
  }
  const std::lock_guard lock(mutex_);
  open_.erase(std::find(open_.begin(), open_.end(), fd));
  close(fd);
}

Network Network::Pick() {
  std::random_device random;
  while (true) {
    Network network{"127." + std::to_string(16 + random() % 200) + "." +
                    std::to_string(1 + random() % 250)};
    bool is_free = true;
    for (int host = 1; host <= 40 && is_free; ++host) {
      for (const int port : {kFrontPort, kReadinessPort, kControlPort,
                             kPeerPort, kStorePort, kTargetPort}) {
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = AddressOf(network.Ip(host), port);
        is_free =
            is_free && bind(fd, reinterpret_cast<const sockaddr*>(&address),
                            sizeof(address)) == 0;
        close(fd);
      }
    }
    if (is_free) {
      return network;
    }
  }
}

Router::Router(Options options) : options_(std::move(options)) {
  std::ifstream in(options_.root + "/deploy/router.yaml.tmpl");
  std::stringstream text;
  text << in.rdbuf();
  std::string settings = text.str();
  std::string seeds;
  for (const std::string& it : options_.seeds) {
    seeds += std::string(seeds.empty() ? "" : ",") + "\"" + it + ":" +
             std::to_string(kControlPort) + "\"";
  }
  const auto address = [this](int port) {
    return options_.ip + ":" + std::to_string(port);
  };
  const std::map<std::string, std::string> values = {
      {"node", options_.name},
      {"zone", options_.zone},
      {"region", options_.region},
      {"ip", options_.ip},
      {"listen.front", address(kFrontPort)},
      {"listen.readiness", address(kReadinessPort)},
      {"listen.control", address(kControlPort)},
      {"internalPorts.0", std::to_string(kPeerPort)},
      {"seeds|json", "[" + seeds + "]"},
      {"zones|json", options_.zones_json},
      {"platform.address", options_.store},
      {"bounds.graceS", "8"},
      {"bounds.retryBudgetRatio", "0.2"},
      {"bounds.budgetWindowS", "10"},
      {"bounds.retryBudgetSlack",
       std::to_string(static_cast<int>(options_.retry_slack))},
      {"limits.maxFds", "4100"},
      {"limits.memoryMb", std::to_string(options_.memory_mb)},
      {"limits.cpuShare", "0.25"}};
  for (const auto& [name, value] : values) {
    ReplaceAll(settings, "{{" + name + "}}", value);
  }
  std::ofstream(options_.folder + "/" + options_.name + ".yaml") << settings;
}

void Router::Start() {
  const std::string path = options_.folder + "/" + options_.name + ".yaml";
  const std::string log = options_.folder + "/" + options_.name + ".log";
  pid_ = fork();
  if (pid_ == 0) {
    // The router ends with this program.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (chdir(options_.root.c_str()) != 0) {
      _exit(2);
    }
    const int out =
        open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    execl("target/bin/corianderpost-router", "target/bin/corianderpost-router",
          "--settings", path.c_str(), nullptr);
    _exit(2);
  }
}

void Router::Signal(int signal) {
  if (pid_ > 0) {
    kill(pid_, signal);
  }
}

void Router::Kill() {
  if (pid_ > 0) {
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    pid_ = 0;
  }
}

bool Router::HasEnded() {
  if (pid_ > 0 && waitpid(pid_, nullptr, WNOHANG) == pid_) {
    pid_ = 0;
  }
  return pid_ == 0;
}

bool Router::IsReady() const {
  const int fd = ConnectTo(options_.ip, kReadinessPort);
  if (fd < 0) {
    return false;
  }
  const timeval timeout{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
  WriteAll(fd, "GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n");
  std::string buffer;
  Message response;
  const bool is_ready =
      ReadMessage(fd, buffer, response) && response.Status() == 200;
  close(fd);
  return is_ready;
}

Fleet::Fleet(const std::string& root, const Network& network,
             const std::string& store) {
  char folder[] = "/tmp/corianderpost-review-XXXXXX";
  if (mkdtemp(folder) == nullptr) {
    _exit(2);
  }
  folder_ = folder;
  for (int i = 0; i < kRouters; ++i) {
    Router::Options options;
    options.root = root;
    options.folder = folder_;
    options.name = "edge-" + Zone(i) + "-1";
    options.ip = network.Ip(11 + i);
    options.zone = Zone(i);
    options.region = Zone(i) == "kandy" ? "central" : "western";
    options.zones_json =
        R"({"colombo":"western","kandy":"central","negombo":"western"})";
    options.seeds = {network.Ip(11), network.Ip(12), network.Ip(13)};
    options.store = store;
    routers_.push_back(std::make_unique<Router>(options));
    routers_.back()->Start();
  }
}

const std::string& Fleet::Zone(int i) {
  static const std::vector<std::string> zones = {"colombo", "negombo", "kandy"};
  return zones[static_cast<std::size_t>(i) % zones.size()];
}

bool Fleet::AwaitReady(double deadline) {
  for (const auto& it : routers_) {
    while (!it->IsReady()) {
      if (Now() > deadline) {
        return false;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
  }
  return true;
}

void Fleet::End(int status) {
  for (const auto& it : routers_) {
    it->Kill();
  }
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
  _exit(status);
}

bool HasTrouble() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

CallResult Call(const std::string& ip, const std::string& request_text,
                double timeout_s) {
  CallResult result;
  result.sent_at = Now();
  const int fd = ConnectTo(ip, kFrontPort);
  if (fd < 0) {
    result.ended_at = Now();
    return result;
  }
  const timeval timeout{static_cast<time_t>(timeout_s),
                        static_cast<suseconds_t>(
                            (timeout_s - static_cast<int>(timeout_s)) * 1e6)};
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
  std::string buffer;
  if (WriteAll(fd, request_text) && ReadMessage(fd, buffer, result.response)) {
    result.status = result.response.Status();
  }
  close(fd);
  result.ended_at = Now();
  return result;
}

std::string RequestText(const std::string& method, const std::string& path,
                        const std::string& host, const std::string& request_id,
                        int deadline_ms, const std::string& extra_headers,
                        const std::string& body) {
  return method + " " + path + " HTTP/1.1\r\nHost: " + host +
         "\r\nCorianderpost-Request-Id: " + request_id +
         "\r\nCorianderpost-Deadline-Ms: " + std::to_string(deadline_ms) +
         "\r\n" + extra_headers +
         (body.empty()
              ? ""
              : "Content-Length: " + std::to_string(body.size()) + "\r\n") +
         "\r\n" + body;
}

std::string NewRequestId() {
  static std::atomic<std::uint64_t> count{0};
  static const std::uint32_t run = std::random_device()();
  char id[32];
  snprintf(id, sizeof(id), "%08x%08llx", run,
           static_cast<unsigned long long>(++count));
  return id;
}

}  // namespace review
