#include <algorithm>
#include <deque>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

#include "corianderpost/internal/http_util.h"
#include "corianderpost/internal/standins.h"
#include "xxhash.h"

namespace corianderpost::internal {
namespace {

using Json = nlohmann::json;

// A model engine: batches without priorities and admits whatever arrives.
class Engine {
 public:
  explicit Engine(const EngineOptions& options)
      : options_(options),
        cold_until_(clock_.Now() +
                    (options.starts_cold ? options.cold_time : Duration(0))) {
    history_.push_back({clock_.Now(), 0, options.starts_cold});
  }

  void Chat(const httplib::Request& req, httplib::Response& res);
  void Load(httplib::Response& res);
  void Fault(const httplib::Request& req, httplib::Response& res);
  void Stats(httplib::Response& res);

 private:
  struct Sample {
    TimePoint at;
    int in_flight;
    bool cold;
  };
  // A stream of one answer; ends early if the engine crashes.
  struct Stream {
    std::uint64_t prompt_hash = 0;
    std::uint64_t next = 0;
    std::uint64_t total = 0;
    std::uint64_t generation = 0;
    bool counted = false;
  };

  bool IsCold(TimePoint now) const { return now < cold_until_; }
  void Crash(TimePoint now);
  void Record(TimePoint now);
  bool Admit(TimePoint now, bool crashes, Stream& stream);
  void Leave(const Stream& stream);
  bool WriteNext(Stream& stream, httplib::DataSink& sink);
  bool WasCrashed(const Stream& stream);

  const EngineOptions options_;
  SystemClock clock_;
  std::mutex mutex_;
  TimePoint cold_until_;
  TimePoint away_until_;
  std::uint64_t generation_ = 1;
  int in_flight_ = 0;
  int truncate_next_ = 0;
  std::uint64_t executions_ = 0;
  std::uint64_t cancelled_ = 0;
  std::uint64_t crashes_ = 0;
  std::uint64_t overloads_ = 0;
  int max_in_flight_ = 0;
  int max_cold_in_flight_ = 0;
  std::uint64_t tokens_ = 0;
  std::deque<Sample> history_;
};

void Engine::Record(TimePoint now) {
  history_.push_back({now, in_flight_, IsCold(now)});
  while (history_.size() > 1 && history_[1].at <= now - options_.report_lag) {
    history_.pop_front();
  }
}

void Engine::Crash(TimePoint now) {
  ++crashes_;
  ++generation_;
  in_flight_ = 0;
  away_until_ = now + options_.restart_time;
  cold_until_ = away_until_ + options_.cold_time;
  Record(now);
}

bool Engine::Admit(TimePoint now, bool crashes, Stream& stream) {
  if (now < away_until_) {
    return false;
  }
  ++executions_;
  ++in_flight_;
  stream.generation = generation_;
  stream.counted = true;
  max_in_flight_ = std::max(max_in_flight_, in_flight_);
  if (IsCold(now)) {
    max_cold_in_flight_ = std::max(max_cold_in_flight_, in_flight_);
  }
  Record(now);
  const bool falls_over = IsCold(now) && in_flight_ > options_.cold_slots;
  overloads_ += falls_over ? 1 : 0;
  if (falls_over || crashes) {
    Crash(now);
  }
  return true;
}

void Engine::Leave(const Stream& stream) {
  const std::lock_guard lock(mutex_);
  if (stream.counted && stream.generation == generation_) {
    --in_flight_;
    cancelled_ += stream.next < stream.total ? 1 : 0;
    Record(clock_.Now());
  }
}

bool Engine::WasCrashed(const Stream& stream) {
  const std::lock_guard lock(mutex_);
  return stream.generation != generation_;
}

bool Engine::WriteNext(Stream& stream, httplib::DataSink& sink) {
  if (WasCrashed(stream)) {
    return false;
  }
  if (stream.next == stream.total) {
    static constexpr std::string_view kDone = "data: [DONE]\n\n";
    sink.write(kDone.data(), kDone.size());
    sink.done();
    return true;
  }
  std::this_thread::sleep_for(stream.next == 0 ? options_.first_token
                                               : options_.between_tokens);
  if (WasCrashed(stream)) {
    return false;
  }
  const Json event = {
      {"choices",
       {{{"index", 0},
         {"delta",
          {{"content", StandinToken(stream.prompt_hash, stream.next)}}}}}}};
  const std::string text = "data: " + event.dump() + "\n\n";
  ++stream.next;
  {
    const std::lock_guard lock(mutex_);
    ++tokens_;
    if (truncate_next_ > 0 && 2 * stream.next > stream.total) {
      --truncate_next_;
      return false;
    }
  }
  return sink.write(text.data(), text.size());
}

void Engine::Chat(const httplib::Request& req, httplib::Response& res) {
  const Json body = Json::parse(req.body, nullptr, false);
  if (body.is_discarded() || !body.contains("messages")) {
    res.status = 400;
    return;
  }
  const std::string prompt = body["messages"].dump();
  auto stream = std::make_shared<Stream>();
  stream->prompt_hash = XXH64(prompt.data(), prompt.size(), 0);
  stream->total = static_cast<std::uint64_t>(
      body.value("max_tokens",
                 StandinTokenCount(stream->prompt_hash, options_.mean_tokens)));
  if (req.has_header("Resume-From")) {
    stream->next = std::min<std::uint64_t>(
        stream->total, std::stoull(req.get_header_value("Resume-From")));
  }
  {
    const std::lock_guard lock(mutex_);
    Admit(clock_.Now(), prompt.find(kCrashMarker) != std::string::npos,
          *stream);
  }
  res.set_chunked_content_provider(
      "text/event-stream",
      [this, stream](std::size_t, httplib::DataSink& sink) {
        return WriteNext(*stream, sink);
      },
      [this, stream](bool) { Leave(*stream); });
}

void Engine::Load(httplib::Response& res) {
  const std::lock_guard lock(mutex_);
  const TimePoint now = clock_.Now();
  if (now < away_until_) {
    res.status = 503;
    return;
  }
  Record(now);
  const Sample& sample = history_.front();
  res.set_content(
      Json({{"in_flight", sample.in_flight}, {"cold", sample.cold}}).dump(),
      "application/json");
}

void Engine::Fault(const httplib::Request& req, httplib::Response& res) {
  const Json body = Json::parse(req.body, nullptr, false);
  const std::string kind = body.is_object() ? body.value("kind", "") : "";
  const std::lock_guard lock(mutex_);
  const TimePoint now = clock_.Now();
  if (kind == "crash") {
    Crash(now);
  } else if (kind == "cold") {
    cold_until_ = now + options_.cold_time;
    Record(now);
  } else if (kind == "truncate") {
    truncate_next_ = body.value("count", 1);
  } else {
    res.status = 400;
  }
}

void Engine::Stats(httplib::Response& res) {
  const std::lock_guard lock(mutex_);
  const Json stats = {{"executions", executions_},
                      {"in_flight", in_flight_},
                      {"max_in_flight", max_in_flight_},
                      {"max_cold_in_flight", max_cold_in_flight_},
                      {"cancelled", cancelled_},
                      {"crashes", crashes_},
                      {"overloads", overloads_},
                      {"tokens", tokens_}};
  res.set_content(stats.dump(), "application/json");
}

}  // namespace

std::string StandinToken(std::uint64_t prompt_hash, std::uint64_t index) {
  const std::uint64_t pair[] = {prompt_hash, index};
  const std::uint64_t word = XXH64(pair, sizeof(pair), 0);
  return "w" + std::to_string(word % 100'000) + " ";
}

int StandinTokenCount(std::uint64_t prompt_hash, int mean_tokens) {
  // From half to one and a half of the mean.
  return std::max<int>(
      1, mean_tokens / 2 +
             static_cast<int>(prompt_hash %
                              static_cast<std::uint64_t>(mean_tokens + 1)));
}

std::string StandinAnswer(std::string_view prompt, int mean_tokens) {
  const std::uint64_t hash = XXH64(prompt.data(), prompt.size(), 0);
  std::string answer;
  for (int i = 0; i < StandinTokenCount(hash, mean_tokens); ++i) {
    answer += StandinToken(hash, static_cast<std::uint64_t>(i));
  }
  return answer;
}

void InstallEngine(httplib::Server& server, const EngineOptions& options) {
  auto engine = std::make_shared<Engine>(options);
  server.Post("/v1/chat/completions",
              [engine](const auto& req, auto& res) { engine->Chat(req, res); });
  server.Get("/load", [engine](const auto&, auto& res) { engine->Load(res); });
  server.Post("/fault", [engine](const auto& req, auto& res) {
    engine->Fault(req, res);
  });
  server.Get("/stats",
             [engine](const auto&, auto& res) { engine->Stats(res); });
}

}  // namespace corianderpost::internal
