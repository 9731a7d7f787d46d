#include "peers/peer_report.h"

#include <nlohmann/json.hpp>

#include "absl/status/status.h"

namespace corianderpost {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

// Version of the encoding; a router ignores other versions.
constexpr int kFormat = 6;
constexpr std::size_t kFields = 18;
// Numbers for each target and each router of the roster.
constexpr std::size_t kLoadFields = 8;
constexpr std::size_t kDemandFields = 3;
constexpr std::size_t kRosterFields = 5;

// What targets did lately is told in thousandths.
constexpr double kRecentScale = 1000.0;

std::int64_t Millis(Duration duration) {
  return std::chrono::duration_cast<milliseconds>(duration).count();
}

void AppendRosterEntry(const RosterEntry& entry, Json& out) {
  out.push_back(entry.vm);
  out.push_back(entry.zone);
  out.push_back(entry.region);
  out.push_back(entry.capacity);
  out.push_back(Millis(entry.age));
}

RosterEntry RosterEntryAt(const Json& list, std::size_t at) {
  return {list.at(at).get<std::string>(), list.at(at + 1).get<std::string>(),
          list.at(at + 2).get<std::string>(), list.at(at + 3).get<int>(),
          milliseconds(list.at(at + 4).get<std::int64_t>())};
}

}  // namespace

std::string EncodeReport(const PeerReport& report) {
  // Lists are flat, which halves their size.
  Json load = Json::array();
  for (const auto& [id, it] : report.load) {
    load.push_back(id.value());
    load.push_back(it.in_flight);
    load.push_back(static_cast<std::int64_t>(it.pending_prefill_tokens));
    load.push_back(static_cast<std::int64_t>(it.kv_cache_tokens));
    for (const double recent : {it.ended_attempts, it.failed_attempts,
                                it.first_events, it.log_slowness}) {
      load.push_back(static_cast<std::int64_t>(kRecentScale * recent));
    }
  }
  Json demand = Json::array();
  for (const auto& [customer, rates] : report.demand) {
    demand.push_back(customer.value());
    demand.push_back(static_cast<std::int64_t>(rates.demand));
    demand.push_back(static_cast<std::int64_t>(rates.admitted));
  }
  Json crashes = Json::array();
  for (const CrashReport& it : report.crashes) {
    crashes.push_back(it.fingerprint);
    crashes.push_back(it.crash_id);
  }
  Json sender = Json::array();
  AppendRosterEntry(report.sender, sender);
  Json roster = Json::array();
  for (const RosterEntry& it : report.roster) {
    AppendRosterEntry(it, roster);
  }
  const Json json = {kFormat,
                     static_cast<int>(report.scope),
                     std::move(sender),
                     report.incarnation,
                     report.sequence,
                     report.operator_revision,
                     report.target_revision,
                     Millis(report.operator_age),
                     std::move(load),
                     std::move(demand),
                     std::move(crashes),
                     report.unreachable,
                     std::move(roster),
                     static_cast<std::int64_t>(report.link_use),
                     static_cast<std::int64_t>(report.link_budget),
                     report.sent_at,
                     report.echo_of,
                     report.echo_held.count()};
  const std::vector<std::uint8_t> bytes = Json::to_msgpack(json);
  return {bytes.begin(), bytes.end()};
}

absl::StatusOr<PeerReport> DecodeReport(std::string_view bytes) {
  const Json json = Json::from_msgpack(bytes.begin(), bytes.end(), true, false);
  if (!json.is_array() || json.size() != kFields || json[0] != kFormat) {
    return absl::InvalidArgumentError("no report of this version");
  }
  try {
    PeerReport report;
    const int scope = json[1].get<int>();
    if (scope < 0 || scope > static_cast<int>(ReportScope::kFleet)) {
      return absl::InvalidArgumentError("unknown scope");
    }
    report.scope = static_cast<ReportScope>(scope);
    report.sender = RosterEntryAt(json[2], 0);
    report.incarnation = json[3].get<std::uint64_t>();
    report.sequence = json[4].get<std::uint64_t>();
    report.operator_revision = json[5].get<std::uint64_t>();
    report.target_revision = json[6].get<std::uint64_t>();
    report.operator_age = milliseconds(json[7].get<std::int64_t>());
    for (std::size_t i = 0; i + kLoadFields <= json[8].size();
         i += kLoadFields) {
      const auto recent = [&json, i](std::size_t field) {
        return json[8][i + field].get<double>() / kRecentScale;
      };
      report.load[TargetId(json[8][i].get<std::uint32_t>())] = {
          json[8][i + 1].get<int>(),
          json[8][i + 2].get<double>(),
          json[8][i + 3].get<double>(),
          recent(4),
          recent(5),
          recent(6),
          recent(7)};
    }
    for (std::size_t i = 0; i + kDemandFields <= json[9].size();
         i += kDemandFields) {
      report.demand[CustomerId(json[9][i].get<std::uint32_t>())] = {
          json[9][i + 1].get<double>(), json[9][i + 2].get<double>()};
    }
    for (std::size_t i = 0; i + 2 <= json[10].size(); i += 2) {
      report.crashes.push_back({json[10][i].get<std::uint64_t>(),
                                json[10][i + 1].get<std::uint64_t>()});
    }
    report.unreachable = json[11].get<std::vector<std::string>>();
    for (std::size_t i = 0; i + kRosterFields <= json[12].size();
         i += kRosterFields) {
      report.roster.push_back(RosterEntryAt(json[12], i));
    }
    report.link_use = json[13].get<double>();
    report.link_budget = json[14].get<double>();
    report.sent_at = json[15].get<std::int64_t>();
    report.echo_of = json[16].get<std::int64_t>();
    report.echo_held = Duration(json[17].get<std::int64_t>());
    return report;
  } catch (const Json::exception& ex) {
    return absl::InvalidArgumentError(ex.what());
  }
}

void AddLoad(const LoadByTarget& more, LoadByTarget& sum) {
  for (const auto& [id, load] : more) {
    TargetLoad& total = sum[id];
    total.in_flight += load.in_flight;
    total.pending_prefill_tokens += load.pending_prefill_tokens;
    total.kv_cache_tokens += load.kv_cache_tokens;
    total.ended_attempts += load.ended_attempts;
    total.failed_attempts += load.failed_attempts;
    total.first_events += load.first_events;
    total.log_slowness += load.log_slowness;
  }
}

void AddDemand(const RatesByCustomer& more, RatesByCustomer& sum) {
  for (const auto& [customer, rates] : more) {
    CustomerRates& total = sum[customer];
    total.demand += rates.demand;
    total.admitted += rates.admitted;
  }
}

}  // namespace corianderpost
