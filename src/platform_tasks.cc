#include "corianderpost/internal/platform_tasks.h"

#include <nlohmann/json.hpp>

#include "corianderpost/internal/json_log.h"

namespace corianderpost::internal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kConnectTimeout = milliseconds(500);
constexpr Duration kReadTimeout = seconds(2);
// How long a watch waits at the configuration service for news. Short enough
// that a peer's word of a watcher's reads stays fresh.
constexpr milliseconds kWatch{1500};
constexpr Duration kListInterval = seconds(1);
constexpr int kLoadThreads = 4;

std::uint64_t RevisionOf(const httplib::Response& res) {
  return std::strtoull(res.get_header_value("Revision").c_str(), nullptr, 10);
}

// Returns null, logging why, if the response has no valid bundle.
std::shared_ptr<const Bundle> BundleFrom(const httplib::Response& res) {
  auto bundle = Bundle::Parse(res.body, RevisionOf(res));
  if (!bundle.ok()) {
    Log(LogLevel::kError, "refused a configuration",
        {{"revision", RevisionOf(res)},
         {"reason", std::string(bundle.status().message())}});
    return nullptr;
  }
  return *bundle;
}

// Returns null, logging why, if the response has no valid list.
std::shared_ptr<const VmList> ListFrom(const httplib::Response& res) {
  auto list = VmList::Parse(res.body);
  if (!list.ok()) {
    Log(LogLevel::kError, "refused a VM list",
        {{"reason", std::string(list.status().message())}});
    return nullptr;
  }
  return *list;
}

}  // namespace

ConfigurationTask::ConfigurationTask(const HostPort& service, EventSink sink)
    : address_(service), sink_(std::move(sink)) {
  client_ = MakeClient(address_, kConnectTimeout, kReadTimeout + kWatch);
  thread_ = std::thread([this] { Run(); });
}

ConfigurationTask::~ConfigurationTask() {
  inbox_.Close();
  client_->stop();
  thread_.join();
}

void ConfigurationTask::Run() {
  while (const auto read = inbox_.Pop()) {
    sink_(ReadOnce(*read));
  }
}

Event ConfigurationTask::ReadOnce(const ReadConfiguration& read) {
  const std::uint64_t known = last_ ? last_->revision() : 0;
  const auto wait = read.watch ? kWatch : milliseconds(0);
  const auto res =
      client_->Get("/configuration?known=" + std::to_string(known) +
                   "&wait_ms=" + std::to_string(wait.count()));
  if (!res) {
    return BundleReadFailed{};
  }
  if (res->status == 200) {
    if (auto bundle = BundleFrom(*res)) {
      last_ = std::move(bundle);
      return BundleSeen{last_, true};
    }
  }
  if (res->status == 304 && last_) {
    return BundleSeen{last_, true};
  }
  return BundleReadFailed{};
}

PeerPullTask::PeerPullTask(EventSink sink) : sink_(std::move(sink)) {
  thread_ = std::thread([this] { Run(); });
}

PeerPullTask::~PeerPullTask() {
  inbox_.Close();
  thread_.join();
}

void PeerPullTask::Run() {
  while (const auto pull = inbox_.Pop()) {
    const auto client = MakeClient(pull->peer, kConnectTimeout, kReadTimeout);
    const auto res =
        client->Get(pull->is_list ? "/internal/vms" : "/internal/bundle");
    if (!res || res->status != 200) {
      continue;
    }
    if (pull->is_list) {
      if (auto list = ListFrom(*res)) {
        sink_(VmListSeen{std::move(list)});
      }
      continue;
    }
    if (auto bundle = BundleFrom(*res)) {
      sink_(BundleSeen{std::move(bundle), false});
    }
  }
}

VmListTask::VmListTask(const HostPort& service, EventSink sink)
    : address_(service), sink_(std::move(sink)) {
  thread_ = std::thread([this] { Run(); });
}

VmListTask::~VmListTask() {
  stop_.Close();
  thread_.join();
}

void VmListTask::Run() {
  const auto client = MakeClient(address_, kConnectTimeout, kReadTimeout);
  while (!stop_.IsClosed()) {
    const auto res = client->Get("/vms");
    if (res && res->status == 200) {
      if (auto list = ListFrom(*res)) {
        sink_(VmListSeen{std::move(list)});
      }
    }
    stop_.PopFor(kListInterval);
  }
}

LoadTask::LoadTask(EventSink sink) : sink_(std::move(sink)) {
  for (int i = 0; i < kLoadThreads; ++i) {
    threads_.emplace_back([this] { Run(); });
  }
}

LoadTask::~LoadTask() {
  inbox_.Close();
  for (auto& it : threads_) {
    it.join();
  }
}

void LoadTask::Poll(const PollLoad& poll, const HostPort& address) {
  inbox_.Push({poll, address});
}

void LoadTask::Run() {
  while (const auto request = inbox_.Pop()) {
    const auto client =
        MakeClient(request->address, kConnectTimeout, kReadTimeout);
    client->set_keep_alive(false);
    const auto res = client->Get("/load");
    const auto json = res && res->status == 200
                          ? nlohmann::json::parse(res->body, nullptr, false)
                          : nlohmann::json();
    if (json.is_object() && json.contains("in_flight") &&
        json.contains("cold")) {
      sink_(LoadReported{request->poll.target, json["in_flight"], json["cold"],
                         request->poll.asked_at});
    } else {
      sink_(LoadReportFailed{request->poll.target});
    }
  }
}

}  // namespace corianderpost::internal
