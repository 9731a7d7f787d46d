// A fleet of routers that exchange knowledge of streams, for tests.
#ifndef CORIANDERPOST_PEERS_DIRECTORY_FLEET_H_
#define CORIANDERPOST_PEERS_DIRECTORY_FLEET_H_

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "corianderpost/clock.h"
#include "corianderpost/ids.h"
#include "dataplane/stream_directory.h"
#include "model/target.h"
#include "peers/fleet_stream_directory.h"
#include "peers/peer_report.h"
#include "peers/stream_peers.h"
#include "runtime/metrics.h"

namespace corianderpost {

inline const CustomerId kCustomer = CustomerId::FromName("club");
inline const ServiceId kService = ServiceId::FromName("chat");
inline const VersionId kOld = VersionId::FromName("1.0");
inline const VersionId kNew = VersionId::FromName("1.1");
inline constexpr Duration kTick = std::chrono::milliseconds(25);
inline constexpr Duration kReportInterval = std::chrono::milliseconds(100);
inline constexpr Duration kMaxAge = std::chrono::seconds(30);

inline TargetEntry MakeEntry(const std::string& id, const std::string& version,
                             std::int64_t incarnation = 1) {
  TargetEntry entry;
  entry.id = id;
  entry.service = "chat";
  entry.version = version;
  entry.incarnation = incarnation;
  return entry;
}

inline BegunStream MakeStream(const std::string& request_id, VersionId version,
                              const std::string& target = "t1",
                              std::int64_t incarnation = 1) {
  return {StreamKey::Of(kCustomer, request_id), kCustomer,   kService,
          TargetId::FromName(target),           incarnation, version};
}

// Routers connected by datagrams that arrive at once, in order, unless a test
// loses them.
class DirectoryFleet {
 public:
  struct Node final : StreamPeers {
    Node(DirectoryFleet& owner, RouterInfo router_info)
        : fleet(owner), info(std::move(router_info)) {
      Restart();
    }
    std::vector<RouterInfo> LiveRouters(TimePoint now) const override {
      static_cast<void>(now);
      std::vector<RouterInfo> live;
      for (const auto& it : fleet.nodes) {
        if (it.get() != this && fleet.CanReach(*this, *it)) {
          live.push_back(it->info);
        }
      }
      return live;
    }
    void SendMessage(const std::string& vm, const std::string& bytes) override {
      ++sent_messages;
      sent_bytes += bytes.size();
      fleet.in_flight.push_back({info.vm, vm, bytes});
    }
    // Forgets everything, as a router process that starts.
    void Restart() {
      directory = std::make_unique<FleetStreamDirectory>(
          info, fleet.clock, *this, metrics, [this] { reports_now = true; });
    }
    void RecordTargets() const {
      if (!is_cut_from_store) {
        for (const TargetEntry& it : fleet.targets) {
          directory->RecordTarget(fleet.clock.Now(), it);
        }
        directory->ConfirmList(fleet.clock.Now(), fleet.clock.Now());
      }
    }

    DirectoryFleet& fleet;
    const RouterInfo info;
    internal::Metrics metrics;
    std::unique_ptr<FleetStreamDirectory> directory;
    bool is_alive = true;
    bool is_cut_from_store = false;
    // Routers of different sides don't reach each other.
    int side = 0;
    bool reports_now = false;
    std::uint64_t sent_messages = 0;
    std::uint64_t sent_bytes = 0;
  };
  struct Datagram {
    std::string from;
    std::string to;
    std::string bytes;
  };

  // Routers in each of the zones; the first two zones are one region.
  explicit DirectoryFleet(int routers_per_zone, int zones = 3) {
    clock.Advance(std::chrono::seconds(1000));
    for (int zone = 0; zone < zones; ++zone) {
      for (int i = 0; i < routers_per_zone; ++i) {
        nodes.push_back(std::make_unique<Node>(
            *this,
            RouterInfo{"10.0." + std::to_string(zone) + "." + std::to_string(i),
                       "z" + std::to_string(zone), zone < 2 ? "west" : "east",
                       250, Duration(0)}));
      }
    }
  }

  static bool CanReach(const Node& a, const Node& b) {
    return a.is_alive && b.is_alive && a.side == b.side;
  }
  Node* Find(const std::string& vm) {
    const auto it =
        std::find_if(nodes.begin(), nodes.end(),
                     [&vm](const auto& node) { return node->info.vm == vm; });
    return it == nodes.end() ? nullptr : it->get();
  }
  void Deliver() {
    while (!in_flight.empty()) {
      const Datagram datagram = std::move(in_flight.front());
      in_flight.pop_front();
      Node* from = Find(datagram.from);
      Node* to = Find(datagram.to);
      if (lost_datagrams > 0) {
        --lost_datagrams;
      } else if (loses && loses(datagram)) {
        continue;
      } else if (to != nullptr && CanReach(*from, *to)) {
        to->directory->HandleMessage(clock.Now(), datagram.from,
                                     datagram.bytes);
      }
    }
  }
  void Report(Node& from) {
    from.reports_now = false;
    const auto uses = from.directory->ReportedUses(clock.Now());
    for (const auto& it : nodes) {
      if (it.get() != &from && CanReach(from, *it)) {
        it->directory->MergeUses(clock.Now(), uses);
      }
    }
  }
  void Advance(Duration duration) {
    for (Duration elapsed{0}; elapsed < duration; elapsed += kTick) {
      clock.Advance(kTick);
      const bool is_report_due =
          clock.Now().time_since_epoch() % kReportInterval == Duration(0);
      for (const auto& it : nodes) {
        if (it->is_alive) {
          it->directory->NoticeDelay(clock.Now());
          it->RecordTargets();
          it->directory->Tick(clock.Now());
          if (is_report_due || it->reports_now) {
            Report(*it);
          }
        }
      }
      Deliver();
    }
  }
  // Begins a stream at the router.
  void Begin(Node& node, const BegunStream& stream) {
    node.directory->RecordBegun(stream);
    Deliver();
  }
  // Returns the origin that the router finds, and checks that it is found once.
  StreamOrigin FindOrigin(Node& node, const StreamKey& key,
                          Duration max_age = kMaxAge,
                          const StreamKey& run_key = StreamKey()) {
    return FindOrigin(node, {key, kService, max_age, run_key});
  }
  StreamOrigin FindOrigin(Node& node, const StreamQuery& query) {
    int calls = 0;
    StreamOrigin origin;
    const TimePoint started_at = clock.Now();
    node.directory->FindOrigin(query, [&](const StreamOrigin& found) {
      ++calls;
      origin = found;
      search_time = clock.Now() - started_at;
    });
    Deliver();
    if (calls == 0) {
      // A search for the part may follow that for the record.
      Advance(std::chrono::milliseconds(query.own_part ? 700 : 400));
    }
    CHECK(calls == 1);
    return origin;
  }
  std::uint64_t SentMessages() const {
    std::uint64_t total = 0;
    for (const auto& it : nodes) {
      total += it->sent_messages;
    }
    return total;
  }

  ManualClock clock;
  std::vector<std::unique_ptr<Node>> nodes;
  std::vector<TargetEntry> targets;
  std::deque<Datagram> in_flight;
  int lost_datagrams = 0;
  // Loses the datagrams for which it returns true, unless it is empty.
  std::function<bool(const Datagram&)> loses;
  Duration search_time{0};
};

inline std::vector<TargetEntry> OldTargets() {
  return {MakeEntry("t1", "1.0"), MakeEntry("t2", "1.0")};
}

inline std::vector<TargetEntry> MixedTargets() {
  return {MakeEntry("t1", "1.0"), MakeEntry("t2", "1.1")};
}

}  // namespace corianderpost

#endif  // CORIANDERPOST_PEERS_DIRECTORY_FLEET_H_
