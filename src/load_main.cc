// corianderpost-load: callers' load, with a check of every answer.
#include <atomic>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <random>
#include <thread>

#include "corianderpost/checked_yaml.h"
#include "corianderpost/internal/command_line.h"
#include "corianderpost/internal/http_util.h"
#include "corianderpost/internal/load_report.h"
#include "corianderpost/internal/sse.h"
#include "corianderpost/internal/standins.h"

namespace {

namespace po = boost::program_options;
namespace in = corianderpost::internal;
using corianderpost::CheckedYaml;
using corianderpost::Duration;
using corianderpost::TimePoint;
using Json = nlohmann::json;

constexpr Duration kConnectTimeout = std::chrono::seconds(2);
constexpr Duration kReadTimeout = std::chrono::seconds(90);
constexpr int kMaxKeyedTries = 5;
constexpr int kMaxOpenCalls = 600;

// Calls of one customer to one service.
struct Source {
  std::string customer;
  std::string key;
  // A model, or empty if `path` is a plain service's.
  std::string model;
  std::string path;
  double rate = 1;
  // Routers that its callers reach; empty for all.
  std::vector<in::HostPort> routers;
};

struct LoadSettings {
  std::vector<in::HostPort> routers;
  double seconds = 10;
  int mean_tokens = 40;
  std::vector<Source> sources;
};

std::vector<in::HostPort> Addresses(const CheckedYaml& list) {
  std::vector<in::HostPort> addresses;
  for (const CheckedYaml& it : list.Items()) {
    try {
      addresses.push_back(in::ParseHostPort(it.AsString()));
    } catch (const std::invalid_argument& ex) {
      it.Fail(ex.what());
    }
  }
  return addresses;
}

LoadSettings SettingsFrom(const CheckedYaml& yaml) {
  yaml.RequireMapOf({"routers", "seconds", "mean_tokens", "sources"});
  LoadSettings settings;
  settings.routers = Addresses(yaml.Get("routers"));
  settings.seconds = yaml.Get("seconds").AsPositiveNumber();
  settings.mean_tokens =
      static_cast<int>(yaml.Get("mean_tokens").AsInt(1, 100'000));
  for (const CheckedYaml& it : yaml.Get("sources").Items()) {
    it.RequireMapOf({"customer", "key", "model", "path", "rate", "routers"});
    Source source;
    source.customer = it.Get("customer").AsString();
    source.key = it.Get("key").AsString();
    source.rate = it.Get("rate").AsPositiveNumber();
    if (const auto model = it.Find("model")) {
      source.model = model->AsString();
    } else {
      source.path = it.Get("path").AsString();
    }
    const auto routers = it.Find("routers");
    source.routers = routers ? Addresses(*routers) : settings.routers;
    settings.sources.push_back(std::move(source));
  }
  return settings;
}

class Caller {
 public:
  Caller(const LoadSettings& settings, in::LoadReport& report)
      : settings_(settings), report_(report), began_(clock_.Now()) {}

  Duration Elapsed() const { return clock_.Now() - began_; }

  void CallModel(const Source& source, const in::HostPort& router,
                 std::uint64_t number);
  void CallPlain(const Source& source, const in::HostPort& router,
                 std::uint64_t number);

 private:
  static in::CallResult Judge(const httplib::Result& res, bool is_right);

  const LoadSettings& settings_;
  in::LoadReport& report_;
  corianderpost::SystemClock clock_;
  const TimePoint began_;
};

in::CallResult Caller::Judge(const httplib::Result& res, bool is_right) {
  if (res && res->status == 200) {
    return is_right ? in::CallResult::kWhole : in::CallResult::kWrong;
  }
  const Json problem =
      res ? Json::parse(res->body, nullptr, false) : Json::object();
  const bool is_not_run =
      problem.is_object() && problem.value("outcome", "") == "not-run";
  return is_not_run ? in::CallResult::kRefusedNotRun : in::CallResult::kFailed;
}

void Caller::CallModel(const Source& source, const in::HostPort& router,
                       std::uint64_t number) {
  const Json messages = {{{"role", "user"},
                          {"content", source.customer + " asks question " +
                                          std::to_string(number)}}};
  const Json body = {
      {"model", source.model}, {"stream", true}, {"messages", messages}};
  in::CallRecord record;
  record.customer = source.customer;
  record.started = Elapsed();
  in::SseSplitter splitter;
  std::string text;
  std::string error_body;
  TimePoint last;
  httplib::Request req;
  req.method = "POST";
  req.path = "/v1/chat/completions";
  req.headers = {{"Authorization", "Bearer " + source.key},
                 {"Content-Type", "application/json"}};
  req.body = body.dump();
  int status = 0;
  req.response_handler = [&](const httplib::Response& res) {
    status = res.status;
    return true;
  };
  const TimePoint sent = clock_.Now();
  req.content_receiver = [&](const char* data, std::size_t size, std::uint64_t,
                             std::uint64_t) {
    if (status != 200) {
      error_body.append(data, size);
      return true;
    }
    const TimePoint now = clock_.Now();
    const in::SseBatch batch = splitter.Take({data, size});
    std::istringstream lines(batch.text);
    for (std::string line; std::getline(lines, line);) {
      const Json event = line.starts_with("data: {")
                             ? Json::parse(line.substr(6), nullptr, false)
                             : Json();
      if (!event.is_object() || !event.contains("choices")) {
        continue;
      }
      text += event["choices"][0]["delta"].value("content", "");
      ++record.tokens;
    }
    if (batch.events > 0) {
      if (last == TimePoint()) {
        record.first_token = now - sent;
      } else {
        record.between_tokens.push_back(now - last);
      }
      last = now;
    }
    return true;
  };
  const auto client = in::MakeClient(router, kConnectTimeout, kReadTimeout);
  client->set_keep_alive(false);
  httplib::Result res = client->send(req);
  if (res && status != 200) {
    res->body = error_body;
  }
  record.ended = Elapsed();
  const bool is_whole = res && splitter.is_done();
  const bool is_right =
      text == in::StandinAnswer(messages.dump(), settings_.mean_tokens);
  record.result = res && status == 200 && !is_whole ? in::CallResult::kFailed
                                                    : Judge(res, is_right);
  report_.Add(std::move(record));
}

void Caller::CallPlain(const Source& source, const in::HostPort& router,
                       std::uint64_t number) {
  in::CallRecord record;
  record.customer = source.customer;
  record.started = Elapsed();
  const std::string work = source.customer + "-" + std::to_string(number);
  httplib::Headers headers = {{"Authorization", "Bearer " + source.key},
                              {"Work-Id", work}};
  const auto client = in::MakeClient(router, kConnectTimeout, kReadTimeout);
  httplib::Result res(nullptr, httplib::Error::Unknown);
  for (int i = 0; i < kMaxKeyedTries; ++i) {
    res = client->Post(source.path, headers, "{}", "application/json");
    if (!res || res->status != 428) {
      break;
    }
    headers.emplace("Idempotency-Key",
                    res->get_header_value("Idempotency-Key"));
  }
  record.ended = Elapsed();
  record.first_token = record.ended - record.started;
  const Json body =
      res ? Json::parse(res->body, nullptr, false) : Json::object();
  const bool is_right = body.is_object() && body.value("work", "") == work &&
                        body.value("times", 0) == 1;
  record.result = Judge(res, is_right);
  report_.Add(std::move(record));
}

// Sends the sources' calls at random times that do not wait for answers.
void Send(const LoadSettings& settings, std::uint64_t seed, Caller& caller) {
  std::mt19937_64 random(seed);
  std::vector<std::thread> calls;
  std::vector<double> next(settings.sources.size());
  const auto gap = [&](std::size_t i) {
    return std::exponential_distribution(settings.sources[i].rate)(random);
  };
  for (std::size_t i = 0; i < next.size(); ++i) {
    next[i] = gap(i);
  }
  std::atomic<int> open{0};
  for (std::uint64_t number = 1;; ++number) {
    const auto soonest = std::min_element(next.begin(), next.end());
    if (*soonest >= settings.seconds) {
      break;
    }
    const auto i = static_cast<std::size_t>(soonest - next.begin());
    const Duration due(static_cast<Duration::rep>(*soonest * 1e6));
    std::this_thread::sleep_for(due - caller.Elapsed());
    next[i] += gap(i);
    const Source& source = settings.sources[i];
    const in::HostPort router =
        source.routers[random() % source.routers.size()];
    if (open >= kMaxOpenCalls) {
      continue;
    }
    ++open;
    calls.emplace_back([&, router, number] {
      if (source.model.empty()) {
        caller.CallPlain(source, router, number);
      } else {
        caller.CallModel(source, router, number);
      }
      --open;
    });
  }
  for (auto& it : calls) {
    it.join();
  }
}

int Run(const po::variables_map& values) {
  const LoadSettings settings =
      SettingsFrom(CheckedYaml::FromFile(values["settings"].as<std::string>()));
  const auto seed = values["seed"].as<std::uint64_t>();
  std::cout << "seed " << seed << ", " << settings.seconds << " s, "
            << settings.sources.size() << " sources\n";
  in::LoadReport report;
  Caller caller(settings, report);
  Send(settings, seed, caller);
  report.WriteTable(std::cout);
  if (values.count("csv") != 0) {
    std::ofstream out(values["csv"].as<std::string>());
    report.WriteCsv(out);
  }
  if (values.count("plot") != 0) {
    std::ofstream out(values["plot"].as<std::string>());
    report.WritePlot(out);
  }
  const bool is_clean = report.Count(in::CallResult::kWrong) == 0 &&
                        report.Count(in::CallResult::kWhole) > 0;
  return is_clean ? in::kExitSuccess : in::kExitFailure;
}

}  // namespace

int main(int argc, char** argv) {
  in::ProgramDescription program{
      "corianderpost-load",
      "sends callers' load and checks every answer; exits 1 if one is wrong "
      "or none is whole",
      po::options_description("options"),
      {}};
  program.options.add_options()("settings",
                                po::value<std::string>()->required(),
                                "YAML file with routers and sources")(
      "seed", po::value<std::uint64_t>()->default_value(1), "random seed")(
      "csv", po::value<std::string>(), "write a line a call to this file")(
      "plot", po::value<std::string>(), "write an SVG plot to this file");
  return in::RunProgram(argc, argv, program, Run);
}
