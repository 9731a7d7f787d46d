#include "peers/peer_messenger.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <stdexcept>

#include "runtime/json_log.h"

namespace corianderpost {
namespace {

namespace asio = boost::asio;
using internal::Log;
using internal::LogLevel;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Reports to routers of the own region, and to others over the narrow link.
constexpr Duration kReportInterval = milliseconds(100);
constexpr Duration kFarReportInterval = milliseconds(100);
// The same for routers that report to a relay.
constexpr Duration kRelayedReportInterval = milliseconds(100);
// A relay that was silent this long is passed over.
constexpr Duration kRelaySilence = milliseconds(700);
// What peers told is summed up this often.
constexpr Duration kSumInterval = milliseconds(75);
// Addresses that never answered are tried this often.
constexpr Duration kHelloInterval = seconds(1);
// Failed connects are told to peers for this long.
constexpr Duration kNews = milliseconds(300);
constexpr std::size_t kMaxDatagram = 60'000;
// Stamps of routers that may be gone.
constexpr std::size_t kMaxFarStamps = 256;

}  // namespace

PeerMessenger::PeerMessenger(asio::io_context& loop, const Clock& clock,
                             const RosterEntry& self, std::uint16_t port,
                             Scheduler& scheduler, internal::Metrics& metrics,
                             AddCopies add_copies)
    : clock_(clock),
      port_(port),
      scheduler_(scheduler),
      metrics_(metrics),
      add_copies_(std::move(add_copies)),
      peers_(self),
      socket_(loop),
      incarnation_(clock.WallMicros()) {
  boost::system::error_code ec;
  const auto ip = asio::ip::make_address_v4(self.vm, ec);
  if (!ec) {
    socket_.open(asio::ip::udp::v4(), ec);
  }
  if (!ec) {
    socket_.bind({ip, port_}, ec);
  }
  if (!ec) {
    socket_.non_blocking(true, ec);
  }
  if (ec) {
    throw std::runtime_error("cannot open the peer port: " + ec.message());
  }
}

void PeerMessenger::AwaitReport() {
  socket_.async_wait(asio::ip::udp::socket::wait_read,
                     [this](boost::system::error_code ec) {
                       if (!ec) {
                         Receive();
                         AwaitReport();
                       }
                     });
}

void PeerMessenger::Receive() {
  static std::array<char, kMaxDatagram> buffer;
  while (true) {
    boost::system::error_code ec;
    asio::ip::udp::endpoint from;
    const std::size_t n =
        socket_.receive_from(asio::buffer(buffer), from, 0, ec);
    if (ec) {
      if (ec != asio::error::would_block) {
        Log(LogLevel::kDebug, "peer socket", {{"reason", ec.message()}});
      }
      return;
    }
    auto report = DecodeReport({buffer.data(), n});
    if (!report.ok()) {
      Log(LogLevel::kWarning, "peer report can't be read",
          {{"from", from.address().to_string()},
           {"reason", std::string(report.status().message())}});
      continue;
    }
    Take(clock_.Now(), *std::move(report));
  }
}

void PeerMessenger::Take(TimePoint now, PeerReport report) {
  for (const CrashReport& it : report.crashes) {
    scheduler_.suspects().Blame(now, it);
  }
  for (const std::string& it : report.unreachable) {
    TargetState* target = scheduler_.targets().Find(it);
    if (target != nullptr && now >= target->ejected_until &&
        !unreachable_.contains(it)) {
      scheduler_.targets().NotePeerEvidence(now, it);
      // Told on once: while the target is left, no report is news.
      unreachable_[it] = now;
    }
  }
  has_reports_ = true;
  if (report.scope == ReportScope::kFleet) {
    fleet_heard_at_ = now;
    if (report.link_budget > 0) {
      scheduler_.link_budget().Set(report.link_budget);
    }
  }
  if (report.sent_at != 0) {
    if (far_stamps_.size() >= kMaxFarStamps) {
      far_stamps_.clear();
    }
    far_stamps_[report.sender.vm] = {report.sent_at, now};
  }
  if (report.echo_of != 0) {
    const Duration round_trip =
        now.time_since_epoch() - Duration(report.echo_of) - report.echo_held;
    scheduler_.link_budget().NoteRoundTrip(now, round_trip);
  }
  if (peers_.Take(now, report)) {
    Log(LogLevel::kInfo, "peer heard",
        {{"peer", report.sender.vm}, {"zone", report.sender.zone}});
    // A newcomer learns of the others from the answer.
    PeerReport answer = Build(now);
    answer.load.clear();
    answer.roster = peers_.Alive(now);
    Send(answer, report.sender.vm);
  }
}

PeerReport PeerMessenger::Build(TimePoint now) {
  PeerReport report;
  report.sender = peers_.self();
  report.incarnation = incarnation_;
  report.sequence = ++sequence_;
  add_copies_(now, report);
  report.load = scheduler_.targets().OwnLoad(now);
  report.demand = scheduler_.fair_share().OwnDemand(now);
  report.link_use = scheduler_.LinkUse(now);
  report.crashes = scheduler_.suspects().Recent(now);
  std::erase_if(unreachable_,
                [now](const auto& it) { return now - it.second > kNews; });
  for (const auto& [id, at] : unreachable_) {
    report.unreachable.push_back(id);
  }
  return report;
}

void PeerMessenger::Send(const PeerReport& report, const std::string& vm) {
  const std::string bytes = EncodeReport(report);
  boost::system::error_code ec;
  const auto ip = asio::ip::make_address_v4(vm, ec);
  if (!ec) {
    socket_.send_to(asio::buffer(bytes), {ip, port_}, 0, ec);
  }
  if (ec) {
    metrics_.IncrementCounter("corianderpost_report_send_errors_total", "");
  }
}

void PeerMessenger::SendFar(TimePoint now, PeerReport report,
                            const std::string& vm) {
  report.sent_at = now.time_since_epoch().count();
  if (const auto it = far_stamps_.find(vm); it != far_stamps_.end()) {
    report.echo_of = it->second.sent_at;
    report.echo_held = now - it->second.received_at;
    far_stamps_.erase(it);
  }
  Send(report, vm);
}

void PeerMessenger::SendToMesh(TimePoint now) {
  const bool reaches_far = now >= far_report_at_;
  PeerReport report = Build(now);
  if (reaches_far) {
    far_report_at_ = now + kFarReportInterval;
    report.roster = peers_.Alive(now);
  }
  for (const RosterEntry& it : peers_.Alive(now)) {
    if (it.region == peers_.self().region) {
      Send(report, it.vm);
    } else if (reaches_far) {
      SendFar(now, report, it.vm);
    }
  }
}

void PeerMessenger::SendAsMember(TimePoint now) {
  if (now - fleet_heard_at_ > kRelaySilence) {
    peers_.SuspectRelay(now);
    fleet_heard_at_ = now;
  }
  if (const auto relay = peers_.RelayOf(now, peers_.self().zone)) {
    Send(Build(now), *relay);
  }
}

void PeerMessenger::SendAsRelay(TimePoint now) {
  const bool reaches_far = now >= far_report_at_;
  const PeerReport own = Build(now);
  const std::string& own_zone = peers_.self().zone;
  std::vector<RosterEntry> alive;
  if (reaches_far) {
    far_report_at_ = now + kFarReportInterval;
    alive = peers_.Alive(now);
  }
  PeerReport zone = own;
  peers_.AddZone(now, zone);
  std::copy_if(alive.begin(), alive.end(), std::back_inserter(zone.roster),
               [&](const RosterEntry& it) { return it.zone == own_zone; });
  for (const RosterEntry& it : peers_.OtherRelays(now)) {
    if (it.region == peers_.self().region) {
      Send(zone, it.vm);
    } else if (reaches_far) {
      SendFar(now, zone, it.vm);
    }
  }
  for (const RosterEntry& it : peers_.Alive(now)) {
    if (it.zone == own_zone) {
      PeerReport fleet = peers_.FleetReportFor(now, it.vm, own);
      fleet.roster = alive;
      fleet.link_budget = scheduler_.link_budget().BytesPerSecond();
      Send(fleet, it.vm);
    }
  }
}

void PeerMessenger::SendReports(TimePoint now) {
  if (!peers_.UsesRelays(now)) {
    report_at_ = now + kReportInterval;
    fleet_heard_at_ = now;
    SendToMesh(now);
    return;
  }
  report_at_ = now + kRelayedReportInterval;
  if (peers_.IsRelay(now)) {
    fleet_heard_at_ = now;
    SendAsRelay(now);
  } else {
    SendAsMember(now);
  }
}

void PeerMessenger::Hurry() {
  report_at_ = TimePoint();
  far_report_at_ = TimePoint();
}

void PeerMessenger::Tick(TimePoint now) {
  if (has_reports_ && now >= sums_at_) {
    has_reports_ = false;
    sums_at_ = now + kSumInterval;
    scheduler_.targets().SetPeerLoad(now, peers_.LoadOfOthers(now));
    scheduler_.fair_share().SetPeerDemand(peers_.DemandOfOthers(now));
    scheduler_.SetFleet(peers_.FleetSize(now), peers_.OwnPosition(now));
    scheduler_.SetLinkUseOfPeers(now, peers_.LinkUseOfOthers(now));
  }
  if (now >= report_at_) {
    SendReports(now);
    // Reports that ran out no longer count.
    has_reports_ = true;
  }
  if (now >= hello_at_) {
    hello_at_ = now + kHelloInterval;
    PeerReport report = Build(now);
    report.load.clear();
    for (const std::string& it : peers_.Silent(now)) {
      Send(report, it);
    }
  }
}

}  // namespace corianderpost
