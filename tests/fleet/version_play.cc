#include "fleet/version_play.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>
#include <span>

namespace corianderpost::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kRequestsPerSecond = 100;
constexpr std::uint64_t kFirstParts = 12;
constexpr StreamShape kStreams = {20, milliseconds(40)};
// At this interval an engine breaks off its streams, and callers lose a share
// of their connections.
constexpr Duration kBreakInterval = milliseconds(250);
constexpr double kBrokenConnections = 0.05;
constexpr Duration kHeartbeatInterval = milliseconds(1200);
const std::vector<std::string> kCustomers = {"c0", "c1", "c2"};

std::size_t CountWriters(std::span<const CallTry> tries) {
  std::set<std::string> writers;
  for (const CallTry& one_try : tries) {
    for (const CallEvent& it : one_try.events) {
      writers.insert(it.writer);
    }
  }
  return writers.size();
}

bool IsContiguous(const EngineCall& call) {
  std::int64_t number = 0;
  for (const CallTry& one_try : call.tries) {
    for (const CallEvent& it : one_try.events) {
      if (it.number != ++number) {
        return false;
      }
    }
  }
  return true;
}

}  // namespace

Play::Play(int network, int routers, const std::vector<std::string>& versions,
           std::uint64_t seed, ResumePolicy policy,
           const platform::StandinRules& rules)
    : fleet(network, routers, static_cast<int>(versions.size()), kCustomers),
      random(seed) {
  policy.seed = seed;
  fleet.SetResumePolicy(policy);
  fleet.SetStreamShape(kStreams);
  fleet.SetHeartbeatInterval(kHeartbeatInterval);
  for (std::size_t i = 0; i < versions.size(); ++i) {
    fleet.engines()[i]->version = versions[i];
  }
  fleet.Start(rules);
  load.emplace(fleet, kCustomers, kRequestsPerSecond, kFirstParts, seed);
}

void Play::Run(Duration duration) {
  fleet.PlayFor(duration, [this](TimePoint now) {
    (*load)(now);
    if (breaks_streams && now >= next_break_at) {
      next_break_at = now + kBreakInterval;
      fleet.engines()[random() % fleet.engines().size()]->BreakStreams();
      fleet.BreakCallerConnections(kBrokenConnections);
    }
  });
}

void Play::KillRouters(std::size_t n) {
  std::vector<std::size_t> order(fleet.routers().size());
  for (std::size_t i = 0; i < order.size(); ++i) {
    order[i] = i;
  }
  std::shuffle(order.begin(), order.end(), random);
  for (std::size_t i = 0; i < n; ++i) {
    fleet.routers()[order[i]]->Kill();
  }
}

void Play::StartRouters() {
  for (const auto& it : fleet.routers()) {
    if (it->pid() == 0) {
      it->Start();
    }
  }
}

void Play::RestartAllRouters() {
  KillRouters(fleet.routers().size());
  Run(kRouterDownTime);
  StartRouters();
  Run(seconds(2));
}

std::string FirstWriterOf(const EngineCall& call) {
  for (const CallTry& it : call.tries) {
    if (!it.events.empty()) {
      return it.events.front().writer;
    }
  }
  return "";
}

void Requests::Add(const CallTry& one_try) {
  if (one_try.ended_at == TimePoint() ||
      (one_try.has_lost_router && one_try.events.empty())) {
    return;
  }
  ++sent;
  began += one_try.events.empty() ? 0 : 1;
  refused += one_try.status != 0 && one_try.status != 200 ? 1 : 0;
}

Tally TallyOf(const EngineFleet& fleet, bool includes_unstated) {
  Tally tally;
  for (const auto& call : fleet.calls()) {
    const std::string writer = FirstWriterOf(*call);
    if (!includes_unstated && !writer.empty() && !writer.starts_with("v")) {
      continue;
    }
    for (std::size_t i = 0; i < call->tries.size(); ++i) {
      (i == 0 ? tally.new_streams : tally.resumptions).Add(call->tries[i]);
    }
    if (CountWriters(call->tries) > 1) {
      ++tally.joined;
      tally.joined_ids.push_back(call->tries.front().request_id);
    }
    tally.joined_in_response +=
        std::any_of(call->tries.begin(), call->tries.end(),
                    [](const CallTry& it) {
                      return CountWriters({&it, 1}) > 1;
                    })
            ? 1
            : 0;
    tally.not_contiguous += IsContiguous(*call) ? 0 : 1;
  }
  return tally;
}

std::ostream& operator<<(std::ostream& out, const Requests& requests) {
  return out << requests.sent << " (began " << requests.began << ", refused "
             << requests.refused << ")";
}

std::ostream& operator<<(std::ostream& out, const Tally& tally) {
  out << "new streams " << tally.new_streams << ", resumptions "
      << tally.resumptions << ", streams of several versions " << tally.joined
      << " (" << tally.joined_in_response
      << " in one response), not contiguous " << tally.not_contiguous;
  for (const std::string& it : tally.joined_ids) {
    out << ", joined " << it;
  }
  return out;
}

void CheckOrder(const Tally& tally) {
  CHECK(tally.joined == 0);
  CHECK(tally.not_contiguous == 0);
}

void CheckResumed(const Tally& tally, double min_ratio) {
  REQUIRE(tally.resumptions.sent >= kMinResumptions);
  CHECK(tally.resumptions.share() >= min_ratio * tally.new_streams.share());
}

}  // namespace corianderpost::soak
