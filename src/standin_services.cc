#include <algorithm>
#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

#include "corianderpost/internal/http_util.h"
#include "corianderpost/internal/standins.h"

namespace corianderpost::internal {
namespace {

using Json = nlohmann::json;

constexpr Duration kMaxWatch = std::chrono::seconds(10);
constexpr std::size_t kWeightChunkBytes = 4096;

// Counts what it was asked to do, so that tests see work that ran twice.
class PlainService {
 public:
  explicit PlainService(Duration work_time) : work_time_(work_time) {}

  void Work(const httplib::Request& req, httplib::Response& res) {
    std::this_thread::sleep_for(work_time_);
    const std::lock_guard lock(mutex_);
    ++calls_;
    const std::string id = req.get_header_value("Work-Id");
    const int times = id.empty() ? 1 : ++times_by_id_[id];
    res.set_content(
        Json({{"path", req.path}, {"work", id}, {"times", times}}).dump(),
        "application/json");
  }

  void Stats(httplib::Response& res) {
    const std::lock_guard lock(mutex_);
    int most = 0;
    for (const auto& [id, times] : times_by_id_) {
      most = std::max(most, times);
    }
    res.set_content(Json({{"calls", calls_},
                          {"distinct", times_by_id_.size()},
                          {"most_times", most}})
                        .dump(),
                    "application/json");
  }

 private:
  const Duration work_time_;
  std::mutex mutex_;
  std::uint64_t calls_ = 0;
  std::map<std::string, int> times_by_id_;
};

enum class Availability { kUp, kStale, kDown };

// Holds one value under a revision. Readers may wait for a newer one.
class ConfigurationService {
 public:
  void Publish(const httplib::Request& req, httplib::Response& res) {
    const std::lock_guard lock(mutex_);
    values_.push_back(req.body);
    res.set_content(std::to_string(values_.size()) + "\n", "text/plain");
    changed_.notify_all();
  }

  void Read(const httplib::Request& req, httplib::Response& res) {
    std::unique_lock lock(mutex_);
    ++calls_;
    const std::uint64_t known = Number(req, "known");
    const auto wait = std::min<Duration>(
        kMaxWatch, std::chrono::milliseconds(Number(req, "wait_ms")));
    changed_.wait_for(lock, wait, [&] {
      return availability_ != Availability::kUp || values_.size() > known;
    });
    const std::uint64_t shown = availability_ == Availability::kStale
                                    ? stale_revision_
                                    : values_.size();
    if (availability_ == Availability::kDown || shown == 0) {
      res.status = 503;
      return;
    }
    res.set_header("Revision", std::to_string(shown));
    if (shown == known) {
      res.status = 304;
      return;
    }
    res.set_content(values_[shown - 1], "application/json");
  }

  void Fault(const httplib::Request& req, httplib::Response& res) {
    const Json body = Json::parse(req.body, nullptr, false);
    const std::string kind = body.is_object() ? body.value("kind", "") : "";
    const std::lock_guard lock(mutex_);
    if (kind == "up") {
      availability_ = Availability::kUp;
    } else if (kind == "down") {
      availability_ = Availability::kDown;
    } else if (kind == "stale") {
      availability_ = Availability::kStale;
      stale_revision_ = std::min<std::uint64_t>(
          values_.size(), body.value("revision", values_.size()));
    } else {
      res.status = 400;
    }
    changed_.notify_all();
  }

  void Stats(httplib::Response& res) {
    const std::lock_guard lock(mutex_);
    res.set_content(
        Json({{"calls", calls_}, {"revision", values_.size()}}).dump(),
        "application/json");
  }

 private:
  static std::uint64_t Number(const httplib::Request& req, const char* name) {
    return std::strtoull(req.get_param_value(name).c_str(), nullptr, 10);
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<std::string> values_;
  Availability availability_ = Availability::kUp;
  std::uint64_t stale_revision_ = 0;
  std::uint64_t calls_ = 0;
};

// Shows each published list only after a lag.
class VmListService {
 public:
  explicit VmListService(Duration lag) : lag_(lag) {}

  void Publish(const httplib::Request& req) {
    const std::lock_guard lock(mutex_);
    // The first list has no earlier one to lag behind.
    const Duration lag = lists_.empty() ? Duration(0) : lag_;
    lists_.push_back({clock_.Now() + lag, req.body});
  }

  void Read(httplib::Response& res) {
    const std::lock_guard lock(mutex_);
    while (lists_.size() > 1 && lists_[1].shown_at <= clock_.Now()) {
      lists_.pop_front();
    }
    if (lists_.empty()) {
      res.status = 503;
      return;
    }
    res.set_content(lists_.front().text, "application/json");
  }

 private:
  struct Listed {
    TimePoint shown_at;
    std::string text;
  };
  const Duration lag_;
  SystemClock clock_;
  std::mutex mutex_;
  std::deque<Listed> lists_;
};

// Gives out its bytes at one rate over all readers.
class WeightStore {
 public:
  explicit WeightStore(int bytes_a_second) : bytes_a_second_(bytes_a_second) {}

  bool WriteChunk(std::size_t offset, std::size_t length,
                  httplib::DataSink& sink) {
    const std::size_t size = std::min(length, kWeightChunkBytes);
    const Duration needed(static_cast<Duration::rep>(
        1'000'000.0 * static_cast<double>(size) / bytes_a_second_));
    TimePoint ready;
    {
      const std::lock_guard lock(mutex_);
      free_at_ = std::max(free_at_, clock_.Now()) + needed;
      ready = free_at_;
    }
    std::this_thread::sleep_for(ready - clock_.Now());
    const std::string chunk(size, static_cast<char>('a' + offset % 26));
    return sink.write(chunk.data(), chunk.size());
  }

 private:
  const int bytes_a_second_;
  SystemClock clock_;
  std::mutex mutex_;
  TimePoint free_at_;
};

}  // namespace

void InstallPlainService(httplib::Server& server, Duration work_time) {
  auto service = std::make_shared<PlainService>(work_time);
  server.Get("/stats",
             [service](const auto&, auto& res) { service->Stats(res); });
  const auto work = [service](const auto& req, auto& res) {
    service->Work(req, res);
  };
  server.Get("/.*", work);
  server.Post("/.*", work);
  server.Put("/.*", work);
  server.Patch("/.*", work);
  server.Delete("/.*", work);
}

void InstallConfigurationService(httplib::Server& server) {
  auto service = std::make_shared<ConfigurationService>();
  server.Put("/publish", [service](const auto& req, auto& res) {
    service->Publish(req, res);
  });
  server.Get("/configuration", [service](const auto& req, auto& res) {
    service->Read(req, res);
  });
  server.Post("/fault", [service](const auto& req, auto& res) {
    service->Fault(req, res);
  });
  server.Get("/stats",
             [service](const auto&, auto& res) { service->Stats(res); });
}

void InstallVmList(httplib::Server& server, Duration lag) {
  auto service = std::make_shared<VmListService>(lag);
  server.Put("/publish",
             [service](const auto& req, auto&) { service->Publish(req); });
  server.Get("/vms", [service](const auto&, auto& res) { service->Read(res); });
}

void InstallWeightStore(httplib::Server& server, int bytes_a_second) {
  auto store = std::make_shared<WeightStore>(bytes_a_second);
  server.Get("/weights/(\\w+)", [store](const auto& req, auto& res) {
    static constexpr std::size_t kDefaultBytes = 1'000'000;
    const std::string size = req.get_param_value("bytes");
    res.set_content_provider(size.empty() ? kDefaultBytes : std::stoull(size),
                             "application/octet-stream",
                             [store](std::size_t offset, std::size_t length,
                                     httplib::DataSink& sink) {
                               return store->WriteChunk(offset, length, sink);
                             });
  });
}

}  // namespace corianderpost::internal
