#include "fleet/engine_fleet.h"

#include <signal.h>

#include <algorithm>
#include <boost/asio/write.hpp>
#include <cstdlib>
#include <filesystem>

#include "dataplane/event_splitter.h"
#include "platform/standin_wire.h"

namespace corianderpost::soak {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kHost[] = "fleet.example";
constexpr char kService[] = "assistant";
// Time from the arrival of a request to the start of its answer.
constexpr auto kStartDelay = milliseconds(60);
// The least time that a caller must have left for another try.
constexpr Duration kMinTryTime = milliseconds(100);
// Interval of the loop that plays a fleet.
constexpr auto kStepInterval = milliseconds(2);
// Throttled routers run once in each slice. A slice is shorter than the lag of
// the event loop that a router takes for overload.
constexpr Duration kSlice = milliseconds(32);
constexpr Duration kHousekeepingInterval = milliseconds(200);

template <typename Callback>
void RunAfter(asio::io_context& loop, Duration delay, Callback callback) {
  auto timer = std::make_shared<asio::steady_timer>(loop, delay);
  timer->async_wait([timer, callback](boost::system::error_code ec) {
    if (!ec) {
      callback();
    }
  });
}

std::string FreshFolder(int network) {
  const auto folder = std::filesystem::temp_directory_path() /
                      ("corianderpost-engines-" + std::to_string(network));
  std::filesystem::remove_all(folder);
  std::filesystem::create_directories(folder);
  return folder.string();
}

int ParseStatus(const std::string& response) {
  constexpr std::string_view kVersion = "HTTP/1.1 ";
  return response.starts_with(kVersion)
             ? std::atoi(response.c_str() + kVersion.size())
             : 0;
}

struct DecodedBody {
  std::string text;
  bool is_complete = false;
};

// Decodes the chunked body of a response that may be cut off anywhere.
DecodedBody DecodeChunks(const std::string& response) {
  constexpr std::string_view kHeadEnd = "\r\n\r\n";
  DecodedBody body;
  std::size_t position = response.find(kHeadEnd);
  if (position == std::string::npos) {
    return body;
  }
  position += kHeadEnd.size();
  for (std::size_t line_end = response.find("\r\n", position);
       line_end != std::string::npos;
       line_end = response.find("\r\n", position)) {
    const std::size_t size =
        std::strtoul(response.c_str() + position, nullptr, 16);
    if (size == 0) {
      body.is_complete =
          std::string_view(response).substr(position) == kLastChunk;
      break;
    }
    body.text.append(response, line_end + 2, size);
    position = line_end + 2 + size + 2;
    if (position > response.size()) {
      break;
    }
  }
  return body;
}

std::vector<CallEvent> ParseEvents(const std::string& text) {
  constexpr std::string_view kData = "\ndata: ";
  std::vector<CallEvent> events;
  for (const StreamEvent& it : EventSplitter().Feed(text)) {
    CallEvent event;
    event.number = ParseEventNumber(it.id).value_or(0);
    const std::size_t data = it.text.find(kData);
    if (data != std::string::npos) {
      const std::size_t begin = data + kData.size();
      event.writer = it.text.substr(begin, it.text.find('\n', begin) - begin);
    }
    events.push_back(std::move(event));
  }
  return events;
}

}  // namespace

Engine::Engine(asio::io_context& loop, std::string address,
               const Deployment& deployment, const Clock& clock)
    : loop_(loop),
      address_(std::move(address)),
      deployment_(deployment),
      clock_(clock) {
  listener_.emplace(loop_, address_, *this, clock_);
}

void Engine::OnRequest(const std::shared_ptr<CallerConnection>& caller,
                       ReceivedRequest request) {
  // Routers' own questions are no requests of callers.
  const std::string_view path = ToView(request.message.target());
  if (path == deployment_.target_runs_path() ||
      path == platform::StandinHeldPartsPath()) {
    if (ignores_questions) {
      return;
    }
    const std::string body = path == deployment_.target_runs_path()
                                 ? memory_.FormatRuns(incarnation_)
                                 : memory_.FormatHeldParts();
    caller->Write(FormatTextReply({200, "application/json", body}, false));
    caller->FinishResponse(false);
    return;
  }
  const RequestMeta meta = deployment_.dialect().DecodeRequest(request.message);
  std::uint64_t crashing_part = 0;
  for (std::size_t i = 0; i + 1 < meta.prompt.size(); ++i) {
    if (crashing_parts.contains(meta.prompt[i].id)) {
      crashing_part = meta.prompt[i].id;
    }
  }
  arrivals_.push_back({clock_.Now(), meta.request_id, crashing_part});
  open_.push_back(caller);
  if (is_refusing) {
    Refuse(*caller, meta, refusal_headers);
    return;
  }
  if (queue_) {
    Queue(caller, meta, crashing_part);
    return;
  }
  RunAfter(loop_, kStartDelay,
           [this, caller, meta, crashing_part, incarnation = incarnation_] {
             if (incarnation == incarnation_ && caller->is_open()) {
               Begin(caller, meta, crashing_part);
             }
           });
}

void Engine::Refuse(CallerConnection& caller, const RequestMeta& meta,
                    const std::string& headers) {
  caller.Write("HTTP/1.1 503 Service Unavailable\r\n" +
               platform::FormatStandinSignature(meta.request_id) +
               platform::FormatStandinNotExecuted() + headers +
               "Content-Length: 0\r\n\r\n");
  caller.FinishResponse(false);
}

void Engine::Queue(const std::shared_ptr<CallerConnection>& caller,
                   const RequestMeta& meta, std::uint64_t crashing_part) {
  const auto is_wanted = [this, caller, incarnation = incarnation_] {
    return incarnation == incarnation_ && caller->is_open();
  };
  const auto begin = [this, caller, meta, crashing_part,
                      is_wanted](const EngineQueue::Slot& slot) {
    if (is_wanted()) {
      Begin(caller, meta, crashing_part, slot);
    }
  };
  if (!queue_->Add({meta.prompt, is_wanted, begin})) {
    Refuse(*caller, meta, refusal_headers);
  }
}

void Engine::Begin(const std::shared_ptr<CallerConnection>& caller,
                   const RequestMeta& meta, std::uint64_t crashing_part,
                   const EngineQueue::Slot& slot) {
  if (crashing_part != 0) {
    crashes_.push_back(clock_.Now());
    Crash();
    return;
  }
  runs_.push_back({clock_.Now(), meta.request_id});
  if (endless_response) {
    caller->Write("HTTP/1.1 200 OK\r\n" +
                  platform::FormatStandinSignature(meta.request_id) +
                  endless_response->begin);
    SendEndlessly(caller, endless_response->part);
    return;
  }
  memory_.Read(meta);
  if (lost_start_interval > 0 && runs_.size() % lost_start_interval == 0) {
    memory_.Generate(meta);
    memory_.EndRun(meta);
    caller->Abort();
    return;
  }
  caller->Write("HTTP/1.1 200 OK\r\n" +
                platform::FormatStandinSignature(meta.request_id) +
                extra_headers +
                "Content-Type: text/event-stream\r\n"
                "Transfer-Encoding: chunked\r\n\r\n");
  const int last = queue_ ? static_cast<int>(meta.max_output_tokens /
                                             capacity_.tokens_per_event)
                          : stream.events;
  SendEventsFrom(
      std::make_shared<const RunningStream>(
          RunningStream{caller, meta, incarnation_, last, slot}),
      1 + static_cast<int>(ParseEventNumber(meta.last_event_id).value_or(0)));
}

void Engine::SendEndlessly(const std::shared_ptr<CallerConnection>& caller,
                           const std::string& part) {
  constexpr std::size_t kMaxUnsentBytes = std::size_t{512} * 1024;
  constexpr milliseconds kInterval{1};
  if (!caller->is_open()) {
    return;
  }
  std::string text;
  while (caller->buffered() + text.size() < kMaxUnsentBytes) {
    text += part;
  }
  caller->Write(std::move(text));
  RunAfter(loop_, kInterval,
           [this, caller, part] { SendEndlessly(caller, part); });
}

void Engine::SendEventsFrom(const std::shared_ptr<const RunningStream>& run,
                            int number) {
  if (!run->caller->is_open() || run->incarnation != incarnation_) {
    memory_.EndRun(run->request);
    return;
  }
  if (number > run->last) {
    memory_.EndRun(run->request);
    run->caller->Write(std::string(kLastChunk));
    run->caller->FinishResponse(false);
    return;
  }
  memory_.Generate(run->request);
  run->caller->Write(FormatChunk("id: " + std::to_string(number) +
                                 "\ndata: " + writer() + "\n\n"));
  RunAfter(loop_, queue_ ? queue_->event_interval() : stream.interval,
           [this, run, number] { SendEventsFrom(run, number + 1); });
}

std::string Engine::writer() const {
  return version.empty() ? address_ + "/" + std::to_string(incarnation_)
                         : version;
}

void Engine::BreakStreams() {
  for (const auto& it : open_) {
    if (const auto caller = it.lock();
        caller && caller->is_open() && !caller->is_idle()) {
      caller->Abort();
    }
  }
}

void Engine::Stop() {
  Crash();
  restart_at_ = TimePoint::max();
}

void Engine::Crash(Duration down_time) {
  ++incarnation_;
  memory_.Clear();
  if (queue_) {
    queue_.emplace(loop_, capacity_);
  }
  restart_at_ = clock_.Now() + down_time;
  for (const auto& it : open_) {
    if (const auto caller = it.lock(); caller && caller->is_open()) {
      caller->Abort();
    }
  }
  open_.clear();
  listener_->CloseIdle();
  // The listener may be running this call.
  asio::post(loop_, [this] { listener_.reset(); });
}

void Engine::Restart() { listener_.emplace(loop_, address_, *this, clock_); }

void Engine::Tick(TimePoint now) {
  if (!listener_ && now >= restart_at_) {
    Restart();
  }
  if (listener_) {
    listener_->Tick(now);
  }
  std::erase_if(open_, [](const auto& it) { return it.expired(); });
}

struct EngineFleet::OpenCall {
  explicit OpenCall(asio::io_context& loop) : socket(loop), timer(loop) {}
  std::shared_ptr<EngineCall> call;
  tcp::socket socket;
  asio::steady_timer timer;
  std::string path;
  std::string request;
  bool has_caller_left = false;
  std::array<char, 4096> buffer{};
};

EngineFleet::EngineFleet(int network, int routers, int engines,
                         const std::vector<std::string>& customers)
    : network_{network},
      customers_(customers),
      store_(loop_, network_.Address(1, kStorePort), deployment_, clock_),
      listed_incarnations_(static_cast<std::size_t>(engines), 0) {
  const std::string folder = FreshFolder(network);
  for (int i = 0; i < engines; ++i) {
    engines_.push_back(std::make_unique<Engine>(
        loop_, network_.Address(1, kTargetPort + i), deployment_, clock_));
  }
  for (int i = 0; i < routers; ++i) {
    routers_.push_back(
        std::make_unique<RouterProcess>(network_, CORIANDERPOST_ROUTER_PROGRAM,
                                        folder, i, i % 2 == 0 ? "a" : "b"));
  }
}

void EngineFleet::SetResumePolicy(const ResumePolicy& policy) {
  resume_policy_ = policy;
  random_.seed(policy.seed);
}

void EngineFleet::SetStreamShape(const StreamShape& stream) {
  stream_ = stream;
  for (const auto& it : engines_) {
    it->stream = stream;
  }
}

std::size_t EngineFleet::AddEngine(const std::string& version) {
  const std::size_t index = engines_.size();
  engines_.push_back(std::make_unique<Engine>(
      loop_, network_.Address(1, kTargetPort + static_cast<int>(index)),
      deployment_, clock_));
  engines_[index]->version = version;
  engines_[index]->stream = stream_;
  listed_incarnations_.push_back(0);
  return index;
}

void EngineFleet::RemoveEngine(std::size_t index) {
  store_.Remove(platform::StandinEntryKey("t" + std::to_string(index)));
  engines_[index]->Stop();
}

void EngineFleet::BreakCallerConnections(double share) {
  std::erase_if(open_calls_, [](const auto& it) { return it.expired(); });
  for (const auto& it : open_calls_) {
    const auto open = it.lock();
    if (open && !open->call->response.empty() &&
        std::uniform_real_distribution<double>(0, 1)(random_) < share) {
      open->has_caller_left = true;
      boost::system::error_code ignored;
      open->socket.close(ignored);
    }
  }
}

void EngineFleet::PublishAllEngines() {
  for (std::size_t i = 0; i < engines_.size(); ++i) {
    if (engines_[i]->is_running()) {
      PublishEngine(i, draining_engines_.contains(i));
    }
  }
}

void EngineFleet::PublishEngine(std::size_t index, bool is_draining) {
  if (is_draining) {
    draining_engines_.insert(index);
  }
  TargetEntry entry;
  entry.is_draining = is_draining;
  entry.id = "t" + std::to_string(index);
  entry.service = kService;
  entry.address = network_.Address(1, kTargetPort + static_cast<int>(index));
  entry.zone = index % 2 == 0 ? "a" : "b";
  entry.version = engines_[index]->version;
  entry.slots = 128;
  entry.incarnation = engines_[index]->incarnation();
  listed_incarnations_[index] = entry.incarnation;
  store_.Put(platform::StandinEntryKey(entry.id),
             platform::FormatStandinEntry(entry, ++sequence_));
}

void EngineFleet::PublishConfiguration(std::uint64_t version, int added_routes,
                                       const platform::StandinRules& rules) {
  store_.Put(platform::StandinConfigurationKey(),
             platform::FormatStandinConfiguration(
                 version, kHost, kService, customers_, tokens_per_second_,
                 added_routes, rules));
}

void EngineFleet::ApplyThrottle(TimePoint now) {
  is_stopped_.resize(routers_.size());
  for (std::size_t i = 0; i < routers_.size(); ++i) {
    // The routers' slices begin at different times.
    const Duration offset =
        kSlice * static_cast<int>(i) / static_cast<int>(routers_.size());
    const Duration position = (now.time_since_epoch() + offset) % kSlice;
    const bool is_stopped =
        run_fraction_ < 1 &&
        static_cast<double>(position.count()) >=
            run_fraction_ * static_cast<double>(kSlice.count());
    if (is_stopped != is_stopped_[i]) {
      routers_[i]->Signal(is_stopped ? SIGSTOP : SIGCONT);
      is_stopped_[i] = is_stopped;
    }
  }
}

void EngineFleet::Start(const platform::StandinRules& rules) {
  PublishConfiguration(1, 0, rules);
  for (const auto& it : routers_) {
    it->Start();
  }
  PlayFor(seconds(3));
}

void EngineFleet::PlayFor(Duration duration,
                          const std::function<void(TimePoint)>& on_step) {
  const TimePoint end = clock_.Now() + duration;
  TimePoint next_housekeeping;
  for (TimePoint now = clock_.Now(); now < end; now = clock_.Now()) {
    if (on_step) {
      on_step(now);
    }
    if (now >= next_housekeeping) {
      next_housekeeping = now + kHousekeepingInterval;
      store_.Tick(now);
      for (std::size_t i = 0; i < engines_.size(); ++i) {
        engines_[i]->Tick(now);
        if (engines_[i]->is_running() &&
            engines_[i]->incarnation() != listed_incarnations_[i]) {
          PublishEngine(i);
        }
      }
    }
    if (heartbeat_interval_ > Duration(0) && now >= next_heartbeat_) {
      next_heartbeat_ = now + heartbeat_interval_;
      PublishAllEngines();
    }
    ApplyThrottle(now);
    loop_.run_for(kStepInterval);
    loop_.restart();
  }
}

void EngineFleet::PlayUntilCallsEnd() {
  const auto is_open = [](const auto& it) {
    return it->tries.back().ended_at == TimePoint();
  };
  do {
    PlayFor(2 * resume_policy_.max_delay);
  } while (std::any_of(calls_.begin(), calls_.end(), is_open));
}

std::shared_ptr<const EngineCall> EngineFleet::Send(
    std::size_t router, const std::string& customer,
    std::vector<PromptPart> prompt, const CallOptions& options) {
  auto call = std::make_shared<EngineCall>(
      EngineCall{clock_.Now(), {}, router, customer, std::move(prompt)});
  call->options = options;
  calls_.push_back(call);
  SendTry(call, router, options.path + "x" + std::to_string(calls_.size()));
  return call;
}

void EngineFleet::SendTry(const std::shared_ptr<EngineCall>& call,
                          std::size_t router, const std::string& path) {
  auto open = std::make_shared<OpenCall>(loop_);
  open->call = call;
  open->path = path;
  platform::StandinRequest request = {
      "GET",
      path,
      kHost,
      "",
      call->customer,
      call->options.timeout - (clock_.Now() - call->began_at),
      0,
      call->options.max_output_tokens,
      call->prompt};
  if (call->tries.empty()) {
    request.request_id = "c" + std::to_string(calls_.size());
  } else {
    request.request_id = call->tries.front().request_id + "-" +
                         std::to_string(call->tries.size());
  }
  for (const PromptPart& it : call->prompt) {
    request.prompt_tokens += it.tokens;
  }
  for (const CallTry& it : call->tries) {
    if (it.events.empty()) {
      continue;
    }
    if (request.resumed_request_id.empty()) {
      request.resumed_request_id = it.request_id;
    }
    request.last_event_id = std::to_string(it.events.back().number);
  }
  CallTry next;
  next.request_id = request.request_id;
  next.router = router;
  next.router_pid = routers_[router]->pid();
  next.began_at = clock_.Now();
  call->tries.push_back(std::move(next));
  call->router = router;
  call->response.clear();
  open->request = platform::FormatStandinRequest(request);
  open_calls_.push_back(open);
  Start(open, routers_[router]->address());
}

void EngineFleet::EndTry(OpenCall& open) {
  open.timer.cancel();
  EngineCall& call = *open.call;
  if (call.tries.empty()) {
    return;
  }
  CallTry& last = call.tries.back();
  last.ended_at = clock_.Now();
  last.has_lost_router =
      last.router_pid == 0 || routers_[last.router]->pid() != last.router_pid;
  last.has_caller_left = open.has_caller_left;
  last.status = ParseStatus(call.response);
  if (last.status == 200) {
    const DecodedBody body = DecodeChunks(call.response);
    last.is_complete = body.is_complete;
    last.events = ParseEvents(body.text);
  }
  const bool has_begun =
      std::any_of(call.tries.begin(), call.tries.end(),
                  [](const CallTry& it) { return !it.events.empty(); });
  const bool is_refused =
      last.status != 0 && last.status != 200 && !resume_policy_.retries_refused;
  if (has_begun && !last.is_complete && !is_refused &&
      call.tries.size() <=
          static_cast<std::size_t>(resume_policy_.max_resumptions)) {
    ResumeLater(open);
  }
}

void EngineFleet::ResumeLater(const OpenCall& open) {
  std::size_t router = random_() % (routers_.size() - 1);
  router += router >= open.call->router ? 1 : 0;
  const Duration range = resume_policy_.max_delay - resume_policy_.min_delay;
  const auto delay = std::chrono::duration_cast<milliseconds>(
      resume_policy_.min_delay +
      Duration(static_cast<std::int64_t>(
          random_() % static_cast<std::uint64_t>(range.count()))));
  if (clock_.Now() + delay + kMinTryTime - open.call->began_at >=
      open.call->options.timeout) {
    return;
  }
  RunAfter(loop_, delay, [this, call = open.call, path = open.path, router] {
    SendTry(call, router, path);
  });
}

std::shared_ptr<const EngineCall> EngineFleet::SendReadinessCheck(
    std::size_t router) {
  auto open = std::make_shared<OpenCall>(loop_);
  open->call =
      std::make_shared<EngineCall>(EngineCall{clock_.Now(), {}, router});
  open->request =
      "GET /ready HTTP/1.1\r\nHost: router\r\nConnection: close\r\n\r\n";
  Start(open, routers_[router]->readiness_address());
  return open->call;
}

void EngineFleet::Start(const std::shared_ptr<OpenCall>& open,
                        const std::string& address) {
  open->timer.expires_after(open->call->options.timeout -
                            (clock_.Now() - open->call->began_at));
  open->timer.async_wait([open](boost::system::error_code ec) {
    if (!ec) {
      boost::system::error_code ignored;
      open->socket.close(ignored);
    }
  });
  open->socket.async_connect(
      *ParseEndpoint(address), [this, open](boost::system::error_code ec) {
        if (ec) {
          EndTry(*open);
          return;
        }
        asio::async_write(open->socket, asio::buffer(open->request),
                          [open](boost::system::error_code, std::size_t) {});
        Read(open);
      });
}

void EngineFleet::Read(const std::shared_ptr<OpenCall>& open) {
  open->socket.async_read_some(
      asio::buffer(open->buffer),
      [this, open](boost::system::error_code ec, std::size_t n) {
        open->call->response.append(open->buffer.data(), n);
        if (n > 0) {
          open->call->answered_at = clock_.Now();
        }
        if (ec) {
          EndTry(*open);
        } else {
          Read(open);
        }
      });
}

std::size_t EngineFleet::RouterOf(const Arrival& arrival) const {
  // The id is "c" and the number of the call; tries after the first one add "-"
  // and their number.
  std::size_t end = 0;
  const std::string number = arrival.request_id.substr(1);
  const EngineCall& call = *calls_.at(std::stoul(number, &end) - 1);
  return call.tries
      .at(end == number.size() ? 0 : std::stoul(number.substr(end + 1)))
      .router;
}

std::vector<TimePoint> EngineFleet::Crashes() const {
  std::vector<TimePoint> crashes;
  for (const auto& it : engines_) {
    crashes.insert(crashes.end(), it->crashes().begin(), it->crashes().end());
  }
  std::sort(crashes.begin(), crashes.end());
  return crashes;
}

}  // namespace corianderpost::soak
