#include "corianderpost/internal/router_process.h"

#include <openssl/sha.h>

#include <nlohmann/json.hpp>
#include <random>

#include "corianderpost/internal/status_json.h"

namespace corianderpost::internal {
namespace {

using Json = nlohmann::json;

constexpr Duration kDrainPoll = std::chrono::milliseconds(50);
// How long an unready router still listens, so that the balancer notices.
constexpr Duration kUnreadyBeforeStop = std::chrono::milliseconds(500);
constexpr char kForwardedHeader[] = "Corianderpost-Forwarded";
// Rough number of characters of a token in a prompt.
constexpr std::size_t kCharactersPerToken = 4;

std::string Sha256Hex(const std::string& text) {
  unsigned char digest[SHA256_DIGEST_LENGTH];
  SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(),
         digest);
  static constexpr char kHex[] = "0123456789abcdef";
  std::string hex;
  for (const unsigned char it : digest) {
    hex += kHex[it >> 4];
    hex += kHex[it & 15];
  }
  return hex;
}

std::uint64_t FingerprintOf(CustomerId customer, ServiceId service,
                            const httplib::Request& req) {
  const std::uint64_t seed =
      (static_cast<std::uint64_t>(customer.value()) << 32) | service.value();
  const std::uint64_t call =
      XXH64(req.path.data(), req.path.size(), seed) ^ req.method.size();
  return XXH64(req.body.data(), req.body.size(), call);
}

void WriteSimpleProblem(int status, const std::string& title,
                        httplib::Response& res) {
  res.status = status;
  res.set_content(Json({{"type", "about:blank"},
                        {"title", title},
                        {"status", status},
                        {"outcome", "not-run"}})
                          .dump() +
                      "\n",
                  "application/problem+json");
}

httplib::Headers UpstreamHeaders(const httplib::Request& req) {
  httplib::Headers headers;
  for (const char* name : {"Content-Type", "Accept", "Work-Id"}) {
    if (req.has_header(name)) {
      headers.emplace(name, req.get_header_value(name));
    }
  }
  return headers;
}

httplib::Headers ForwardHeaders(const httplib::Request& req) {
  httplib::Headers headers = UpstreamHeaders(req);
  for (const char* name : {"Authorization", "Idempotency-Key"}) {
    if (req.has_header(name)) {
      headers.emplace(name, req.get_header_value(name));
    }
  }
  headers.emplace(kForwardedHeader, "1");
  return headers;
}

}  // namespace

RouterSettings RouterSettings::FromYaml(const CheckedYaml& yaml) {
  yaml.RequireMapOf({"vm", "zone", "listen", "peer_listen", "admin_port",
                     "configuration", "vm_list", "log_file", "caller_threads",
                     "max_body_bytes"});
  const auto address = [&](const std::string& key) {
    const CheckedYaml value = yaml.Get(key);
    try {
      return ParseHostPort(value.AsString());
    } catch (const std::invalid_argument& ex) {
      value.Fail(ex.what());
    }
  };
  RouterSettings settings;
  settings.vm = yaml.Get("vm").AsString();
  settings.zone = yaml.Get("zone").AsString();
  settings.listen = address("listen");
  settings.peer_listen = address("peer_listen");
  settings.admin_port =
      static_cast<int>(yaml.Get("admin_port").AsInt(1, 65535));
  settings.configuration = address("configuration");
  settings.vm_list = address("vm_list");
  if (const auto it = yaml.Find("log_file")) {
    settings.log_file = it->AsString();
  }
  if (const auto it = yaml.Find("caller_threads")) {
    settings.caller_threads = static_cast<int>(it->AsInt(4, 8192));
  }
  if (const auto it = yaml.Find("max_body_bytes")) {
    settings.max_body_bytes =
        static_cast<std::size_t>(it->AsInt(1, 1'000'000'000));
  }
  return settings;
}

RouterProcess::RouterProcess(const RouterSettings& settings)
    : settings_(settings) {
  ConfigureServer(server_, static_cast<std::size_t>(settings_.caller_threads),
                  settings_.max_body_bytes);
  if (!server_.bind_to_port(settings_.listen.host, settings_.listen.port)) {
    throw std::runtime_error("cannot listen on " + settings_.listen.host + ":" +
                             std::to_string(settings_.listen.port) +
                             ": the port may be in use");
  }
  RouterCoreSettings core;
  core.self = VmId::FromName(settings_.vm);
  core.zone = settings_.zone;
  core.incarnation =
      NextIncarnation(clock_.WallMicros(), std::random_device{}());
  core.on_violation = [this](const InvariantViolation& it) {
    metrics_.Count("corianderpost_invariant_violations_total",
                   "name=\"" + it.name + "\"");
    Log(LogLevel::kError, "invariant violated",
        {{"invariant", it.name}, {"detail", it.detail}});
  };
  auto created = RouterCore::Create(core, clock_.Now());
  if (!created.ok()) {
    throw std::runtime_error(std::string(created.status().message()));
  }
  core_ = std::make_unique<CoreTask>(*std::move(created), clock_, *this);
  const EventSink sink = [this](Event event) { core_->Post(std::move(event)); };
  configuration_ =
      std::make_unique<ConfigurationTask>(settings_.configuration, sink);
  pulls_ = std::make_unique<PeerPullTask>(sink);
  loads_ = std::make_unique<LoadTask>(sink);
  peers_ = std::make_unique<PeerSocket>(
      settings_.peer_listen,
      [this](const PeerEnvelope& it) { core_->Post(PeerMessageReceived{it}); });
  vm_list_ = std::make_unique<VmListTask>(settings_.vm_list, sink);
  rpc_ = RpcServer::Start(
      settings_.admin_port,
      [this](const std::string& method, const std::string& parameters) {
        return AnswerRpc(method, parameters);
      });
  InstallHandlers();
  core_->Start();
}

RouterProcess::~RouterProcess() {
  if (drainer_.joinable()) {
    drainer_.join();
  }
  // Readers stop before the core that they post to.
  rpc_.reset();
  vm_list_.reset();
  loads_.reset();
  pulls_.reset();
  configuration_.reset();
  peers_.reset();
  core_.reset();
}

void RouterProcess::Run() {
  Log(LogLevel::kInfo, "router started",
      {{"vm", settings_.vm}, {"zone", settings_.zone}});
  server_.listen_after_bind();
  Log(LogLevel::kInfo, "router stopped", {{"vm", settings_.vm}});
}

void RouterProcess::Drain() {
  if (is_draining_.exchange(true)) {
    return;
  }
  Log(LogLevel::kInfo, "draining", {{"vm", settings_.vm}});
  core_->Post(DrainRequested{});
  drainer_ = std::thread([this] {
    std::this_thread::sleep_for(kUnreadyBeforeStop);
    const auto is_done = [this] {
      const bool is_drained =
          core_->Ask([](RouterCore& core) { return core.IsDrained(); });
      const std::lock_guard lock(exchanges_mutex_);
      return is_drained && exchanges_.empty();
    };
    while (!is_done()) {
      std::this_thread::sleep_for(kDrainPoll);
    }
    server_.stop();
  });
}

void RouterProcess::Perform(const Action& action) {
  std::visit([this](const auto& it) { Do(it); }, action);
}

bool RouterProcess::Tell(RequestId request, ExchangeMessage message) {
  const std::lock_guard lock(exchanges_mutex_);
  const auto it = exchanges_.find(request);
  if (it == exchanges_.end()) {
    return false;
  }
  it->second->inbox().Push(std::move(message));
  return true;
}

std::optional<HostPort> RouterProcess::AddressOf(VmId vm) const {
  const auto list = core_->vm_list();
  const Vm* found = list ? list->Find(vm) : nullptr;
  if (found == nullptr) {
    return std::nullopt;
  }
  try {
    return ParseHostPort(found->address);
  } catch (const std::invalid_argument&) {
    return std::nullopt;
  }
}

void RouterProcess::Do(const Dispatch& it) {
  const auto address = AddressOf(it.target);
  bool is_told = false;
  if (address) {
    {
      const std::lock_guard lock(exchanges_mutex_);
      request_of_attempt_[it.attempt] = it.request;
    }
    is_told = Tell(it.request, AddressedDispatch{it, *address});
  }
  if (!is_told) {
    core_->Post(AttemptEnded{it.attempt, AttemptOutcome::kRejectedByTarget});
  }
}

void RouterProcess::Do(const Replay& it) {
  std::shared_ptr<const StoredAnswer> answer;
  {
    const std::lock_guard lock(answers_mutex_);
    const auto found = answers_.find(it.original);
    if (found != answers_.end()) {
      answer = found->second;
    }
  }
  if (answer) {
    Tell(it.request, answer);
    return;
  }
  // Its first caller's thread has not stored it yet.
  Tell(it.request,
       Refuse{it.request, RefusalReason::kKeyInProgress,
              RefusalOutcome::kUnknown, std::chrono::seconds(1), ""});
}

void RouterProcess::Do(const ForgetAnswer& it) {
  const std::lock_guard lock(answers_mutex_);
  answers_.erase(it.request);
}

void RouterProcess::Do(const CancelAttempt& it) {
  RequestId request = 0;
  {
    const std::lock_guard lock(exchanges_mutex_);
    const auto found = request_of_attempt_.find(it.attempt);
    if (found == request_of_attempt_.end()) {
      return;
    }
    request = found->second;
  }
  Tell(request, it);
}

void RouterProcess::Do(const ForwardToHome& it) {
  Tell(it.request, AddressedForward{AddressOf(it.home)});
}

void RouterProcess::Do(const SendToPeer& it) {
  const auto list = core_->vm_list();
  const Vm* peer = list ? list->Find(it.envelope.to) : nullptr;
  if (peer == nullptr) {
    return;
  }
  const std::size_t bytes = peers_->Send(peer->peer_address, it.envelope);
  const auto bundle = core_->bundle();
  const bool is_remote = bundle && bundle->RegionOf(peer->zone) !=
                                       bundle->RegionOf(settings_.zone);
  const std::string labels =
      "kind=\"" + std::string(KindName(it.envelope.message)) +
      "\",across_regions=\"" + (is_remote ? "yes" : "no") + "\"";
  metrics_.Count("corianderpost_peer_messages_total", labels);
  metrics_.Count("corianderpost_peer_bytes_total", labels, bytes);
}

void RouterProcess::Do(const PullBundle& it) {
  if (const auto address = AddressOf(it.from)) {
    pulls_->PullBundleFrom(*address);
  }
}

void RouterProcess::Do(const PullVmList& it) {
  if (const auto address = AddressOf(it.from)) {
    pulls_->PullListFrom(*address);
  }
}

void RouterProcess::Do(const ReadConfiguration& it) {
  configuration_->Read(it);
}

void RouterProcess::Do(const PollLoad& it) {
  if (const auto address = AddressOf(it.target)) {
    loads_->Poll(it, *address);
  }
}

void RouterProcess::Store(RequestId request, StoredAnswer answer) {
  const std::lock_guard lock(answers_mutex_);
  answers_[request] = std::make_shared<const StoredAnswer>(std::move(answer));
}

void RouterProcess::Count(const std::string& name, const std::string& labels) {
  metrics_.Count(name, labels);
}

void RouterProcess::Observe(const std::string& name, Duration value) {
  metrics_.Observe(name, value);
}

void RouterProcess::InstallHandlers() {
  server_.Post("/v1/chat/completions",
               [this](const auto& req, auto& res) { ServeModel(req, res); });
  const auto plain = [this](const auto& req, auto& res) {
    ServePlain(req, res);
  };
  const std::string pattern = "/services/([^/]+)(/.*)";
  server_.Get(pattern, plain);
  server_.Post(pattern, plain);
  server_.Put(pattern, plain);
  server_.Patch(pattern, plain);
  server_.Delete(pattern, plain);
  server_.Get("/internal/bundle",
              [this](const auto&, auto& res) { ServeBundle(res); });
  server_.Get("/internal/vms",
              [this](const auto&, auto& res) { ServeVmList(res); });
  server_.Get("/health", [this](const auto&, auto& res) { ServeHealth(res); });
  server_.Get("/metrics", [this](const auto&, auto& res) {
    RefreshGauges();
    res.set_content(metrics_.ToText(), "text/plain; version=0.0.4");
  });
}

void RouterProcess::RefreshGauges() {
  const RouterStatus status = core_->Ask(
      [this](RouterCore& core) { return core.Status(clock_.Now()); });
  metrics_.Set("corianderpost_serving", status.serving ? 1 : 0);
  metrics_.Set("corianderpost_waiting", static_cast<double>(status.waiting));
  metrics_.Set("corianderpost_running", static_cast<double>(status.running));
  metrics_.Set("corianderpost_configuration_revision",
               static_cast<double>(status.bundle_revision));
}

void RouterProcess::ServeHealth(httplib::Response& res) {
  const bool is_serving = core_->Ask(
      [this](RouterCore& core) { return core.IsServing(clock_.Now()); });
  const bool is_ready = is_serving && !is_draining_;
  res.status = is_ready ? 200 : 503;
  res.set_content(is_ready ? "ready\n" : "not ready\n", "text/plain");
}

void RouterProcess::ServeBundle(httplib::Response& res) {
  const auto bundle = core_->bundle();
  if (!bundle) {
    res.status = 503;
    return;
  }
  res.set_header("Revision", std::to_string(bundle->revision()));
  res.set_content(bundle->text(), "application/json");
}

void RouterProcess::ServeVmList(httplib::Response& res) {
  const auto list = core_->vm_list();
  if (!list) {
    res.status = 503;
    return;
  }
  res.set_content(list->text(), "application/json");
}

std::optional<RouterProcess::Caller> RouterProcess::Authenticate(
    const httplib::Request& req, httplib::Response& res) {
  static constexpr std::string_view kScheme = "Bearer ";
  Caller caller;
  caller.bundle = core_->bundle();
  if (!caller.bundle) {
    WriteSimpleProblem(503, "no configuration yet", res);
    return std::nullopt;
  }
  const std::string header = req.get_header_value("Authorization");
  if (header.starts_with(kScheme)) {
    caller.customer = caller.bundle->FindCustomerByDigest(
        Sha256Hex(header.substr(kScheme.size())));
  }
  if (caller.customer == nullptr) {
    res.set_header("WWW-Authenticate", "Bearer");
    WriteSimpleProblem(401, "unknown API key", res);
    return std::nullopt;
  }
  return caller;
}

void RouterProcess::ServeModel(const httplib::Request& req,
                               httplib::Response& res) {
  const auto caller = Authenticate(req, res);
  if (!caller) {
    return;
  }
  const Json body = Json::parse(req.body, nullptr, false);
  if (!body.is_object() || !body.contains("model") ||
      !body["model"].is_string()) {
    WriteSimpleProblem(400, "the body is no chat completion request", res);
    return;
  }
  const std::string name = body["model"];
  const Service* service = caller->bundle->FindService(name);
  if (service == nullptr || service->kind != ServiceKind::kModel) {
    WriteSimpleProblem(404, "unknown model", res);
    return;
  }
  ExchangeRequest request;
  request.arrived.customer = caller->customer->id;
  request.arrived.service = service->id;
  request.arrived.fingerprint =
      FingerprintOf(caller->customer->id, service->id, req);
  request.arrived.initial_units =
      static_cast<std::uint32_t>(1 + req.body.size() / kCharactersPerToken);
  request.customer = caller->customer->name;
  request.service = service->name;
  request.is_stream = body.value("stream", false);
  request.upstream = {{}, "POST", req.path, UpstreamHeaders(req), req.body};
  ServeExchange(std::move(request), req, res);
}

void RouterProcess::ServePlain(const httplib::Request& req,
                               httplib::Response& res) {
  const auto caller = Authenticate(req, res);
  if (!caller) {
    return;
  }
  const Service* service = caller->bundle->FindService(req.matches[1].str());
  if (service == nullptr || service->kind != ServiceKind::kPlain) {
    WriteSimpleProblem(404, "unknown service", res);
    return;
  }
  const std::string path = req.matches[2].str();
  ExchangeRequest request;
  request.arrived.customer = caller->customer->id;
  request.arrived.service = service->id;
  request.arrived.idempotent = service->IsIdempotent(req.method, path);
  if (req.has_header("Idempotency-Key")) {
    request.arrived.key = req.get_header_value("Idempotency-Key");
  }
  request.arrived.fingerprint =
      FingerprintOf(caller->customer->id, service->id, req);
  request.customer = caller->customer->name;
  request.service = service->name;
  request.upstream = {{}, req.method, path, UpstreamHeaders(req), req.body};
  request.forward_headers = ForwardHeaders(req);
  request.forward_path = req.target;
  ServeExchange(std::move(request), req, res);
}

void RouterProcess::ServeExchange(ExchangeRequest request,
                                  const httplib::Request& req,
                                  httplib::Response& res) {
  request.arrived.id = next_request_++;
  request.trace = TraceContext::FromHeader(req.get_header_value("traceparent"));
  const RequestId id = request.arrived.id;
  metrics_.Count("corianderpost_requests_total",
                 "service=\"" + request.service + "\"");
  const auto exchange =
      std::make_shared<CallerExchange>(std::move(request), *this);
  {
    const std::lock_guard lock(exchanges_mutex_);
    exchanges_[id] = exchange;
  }
  exchange->Run(res);
  const auto forget = [this, id](CallerExchange& ended) {
    {
      const std::lock_guard lock(exchanges_mutex_);
      exchanges_.erase(id);
      std::erase_if(request_of_attempt_,
                    [id](const auto& it) { return it.second == id; });
    }
    ended.Close();
  };
  if (exchange->IsStreaming()) {
    exchange->OnClose(forget);
  } else {
    forget(*exchange);
  }
}

std::string RouterProcess::AnswerRpc(const std::string& method,
                                     const std::string& parameters) {
  if (method == "drain") {
    Drain();
    return Json({{"draining", true}}).dump();
  }
  const TimePoint now = clock_.Now();
  if (method == "explain") {
    const Json json = Json::parse(parameters, nullptr, false);
    const RequestId request = json.is_object() ? json.value("request", 0U) : 0;
    const auto decisions = core_->Ask(
        [request](RouterCore& core) { return core.Explain(request); });
    return DecisionsToJson(now, decisions).dump();
  }
  const RouterStatus status =
      core_->Ask([now](RouterCore& core) { return core.Status(now); });
  Json json = StatusToJson(status);
  json["vm"] = settings_.vm;
  json["zone"] = settings_.zone;
  return json.dump();
}

}  // namespace corianderpost::internal
