#include "peers/peer_report.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "absl/status/status.h"
#include "peers/checked_fields.h"

namespace corianderpost {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

// Version of the encoding; reports of other versions are rejected.
constexpr int kFormatVersion = 6;
constexpr std::size_t kFieldCount = 18;
// Array elements per target, customer and listed router.
constexpr std::size_t kFieldsPerTarget = 8;
constexpr std::size_t kFieldsPerCustomer = 3;
constexpr std::size_t kFieldsPerRouter = 5;

// Larger counts are implausible.
constexpr std::int64_t kMaxCount = 1'000'000;
// Bound on times in microseconds by a sender's clock.
constexpr std::int64_t kMaxMicros = kMaxExactInteger;

// Fractional values are encoded as integers, in thousandths.
constexpr double kFixedPointScale = 1000.0;

std::int64_t ToMillis(Duration duration) {
  return std::chrono::duration_cast<milliseconds>(duration).count();
}

void AppendRouterInfo(const RouterInfo& info, Json& out) {
  out.push_back(info.vm);
  out.push_back(info.zone);
  out.push_back(info.region);
  out.push_back(info.cpu_millicores);
  out.push_back(ToMillis(info.age));
}

RouterInfo RouterInfoAt(const Json& list, std::size_t offset) {
  return {NameField(list.at(offset)), NameField(list.at(offset + 1)),
          NameField(list.at(offset + 2)),
          static_cast<int>(IntegerField(list.at(offset + 3), 0, kMaxCount)),
          MillisecondsField(list.at(offset + 4))};
}

constexpr std::size_t kFieldsPerRouterOut = 2;

// Encodes the routers that are out of rotation, by address and number. Earlier
// versions expect a fixed number of elements for each listed router.
Json EncodeRoutersOut(const PeerReport& report) {
  Json list = Json::array();
  const auto append = [&list](const RouterInfo& it) {
    if (it.left_rotation) {
      list.push_back(it.vm);
      list.push_back(*it.left_rotation);
    }
  };
  append(report.sender);
  std::for_each(report.live_routers.begin(), report.live_routers.end(), append);
  return list;
}

// Sets the state of the sender and of the listed routers, which must have been
// decoded.
void DecodeRoutersOut(const Json& crashes, PeerReport& report) {
  // Absent while no router is out, and in reports of earlier versions.
  if (crashes.size() % 2 == 0 || !crashes.back().contains("routers_out")) {
    return;
  }
  const Json& list = crashes.back().at("routers_out");
  std::map<std::string, LeaveNumber> numbers;
  for (std::size_t i = 0; i + kFieldsPerRouterOut <= list.size();
       i += kFieldsPerRouterOut) {
    numbers[NameField(list[i])] =
        std::min(UnsignedField<LeaveNumber>(list[i + 1]), kMaxLeaveNumber);
  }
  const auto apply = [&numbers](RouterInfo& it) {
    if (const auto number = numbers.find(it.vm); number != numbers.end()) {
      it.left_rotation = number->second;
    }
  };
  apply(report.sender);
  std::for_each(report.live_routers.begin(), report.live_routers.end(), apply);
}

// Flags of one crash in a report.
constexpr unsigned kConfirmedFlag = 1;
constexpr unsigned kRefutedFlag = 2;
constexpr unsigned kSeveralCustomersFlag = 4;
constexpr std::size_t kFieldsPerCrash = 4;
// Time for which evidence of a router without extensions is kept.
constexpr Duration kBasicSuspectRetention = std::chrono::seconds(30);

Json EncodeSuspects(const std::vector<SuspectReport>& suspects) {
  Json list = Json::array();
  for (const SuspectReport& it : suspects) {
    Json crashes = Json::array();
    for (const CrashEvidence& crash : it.crashes) {
      crashes.push_back(crash.crash_id);
      crashes.push_back(ToMillis(crash.age));
      crashes.push_back(crash.customer ? crash.customer->value() : 0);
      crashes.push_back((crash.is_confirmed ? kConfirmedFlag : 0) |
                        (crash.is_refuted ? kRefutedFlag : 0) |
                        (crash.customer ? 0 : kSeveralCustomersFlag));
    }
    list.push_back(static_cast<int>(it.trait.kind));
    list.push_back(it.trait.value);
    list.push_back(ToMillis(it.time_to_live));
    list.push_back(it.was_answered);
    list.push_back(std::move(crashes));
  }
  return list;
}

constexpr std::size_t kFieldsPerRateLimit = 3;
constexpr std::size_t kFieldsPerLimitUse = 3;

std::int64_t ToFixedPoint(double value) {
  return static_cast<std::int64_t>(kFixedPointScale * value);
}

// A negative limit means that the target names none.
Json EncodeRateLimits(const std::vector<NamedRateLimit>& limits) {
  Json list = Json::array();
  for (const NamedRateLimit& it : limits) {
    list.push_back(it.target.value());
    list.push_back(ToFixedPoint(it.per_second.value_or(-1.0)));
    list.push_back(ToMillis(it.age));
  }
  return list;
}

Json EncodeLimitUse(const LoadByTarget& load) {
  Json list = Json::array();
  for (const auto& [id, it] : load) {
    if (it.limit_use != LimitUse{}) {
      list.push_back(id.value());
      list.push_back(ToFixedPoint(it.limit_use.wanted));
      list.push_back(ToFixedPoint(it.limit_use.sent));
    }
  }
  return list;
}

constexpr std::size_t kFieldsPerSpeed = 2;
// Observations of speeds are encoded in hundredths: they are many, and three
// bytes then hold each.
constexpr double kSpeedScale = 100.0;

// Encodes the observations of speeds in the order of the report's targets,
// without their ids, which are in the report already. Empty if there are none.
Json EncodeSpeeds(const LoadByTarget& load) {
  Json list = Json::array();
  bool is_any_known = false;
  for (const auto& [id, it] : load) {
    const auto observations =
        static_cast<std::int64_t>(kSpeedScale * it.speed_observations);
    is_any_known = is_any_known || observations > 0;
    list.push_back(observations);
    list.push_back(static_cast<std::int64_t>(kSpeedScale * it.log_speed));
  }
  return is_any_known ? list : Json::array();
}

constexpr std::size_t kFieldsPerOutputLeft = 2;

Json EncodeOutputLeft(const LoadByTarget& load) {
  Json list = Json::array();
  for (const auto& [id, it] : load) {
    if (it.output_tokens_left >= 1) {
      list.push_back(id.value());
      list.push_back(static_cast<std::int64_t>(it.output_tokens_left));
    }
  }
  return list;
}

constexpr std::size_t kFieldsPerCurrentDemand = 2;

Json EncodeCurrentDemand(const RatesByCustomer& rates) {
  Json list = Json::array();
  for (const auto& [customer, it] : rates) {
    list.push_back(customer.value());
    list.push_back(static_cast<std::int64_t>(it.current_demand));
  }
  return list;
}

constexpr std::size_t kFieldsPerEventSize = 3;

Json EncodeEventSizes(const std::vector<SharedEventSize>& sizes) {
  Json list = Json::array();
  for (const SharedEventSize& it : sizes) {
    list.push_back(it.service.value());
    list.push_back(ToFixedPoint(it.tokens));
    list.push_back(ToMillis(it.age));
  }
  return list;
}

constexpr std::size_t kFieldsPerVersionUse = 3;

Json EncodeVersionUses(const std::vector<VersionUse>& uses) {
  Json list = Json::array();
  for (const VersionUse& it : uses) {
    list.push_back(it.service.value());
    list.push_back(it.version.value());
    list.push_back(ToMillis(it.age));
  }
  return list;
}

// Encodes pairs of fingerprint and crash id, which routers without extensions
// understand. They ignore an element after the last pair, so the extensions
// follow there as a map by name.
Json EncodeCrashes(const PeerReport& report) {
  Json crashes = Json::array();
  for (const SuspectReport& it : report.suspects) {
    for (const CrashEvidence& crash : it.crashes) {
      if (it.trait.kind == RequestTrait::Kind::kRequest && !crash.is_refuted) {
        crashes.push_back(it.trait.value);
        crashes.push_back(crash.crash_id);
      }
    }
  }
  Json extensions = {
      {"suspects", EncodeSuspects(report.suspects)},
      {"rate_limits", EncodeRateLimits(report.rate_limits)},
      {"limit_use", EncodeLimitUse(report.load)},
      {"output_left", EncodeOutputLeft(report.load)},
      {"current_demand", EncodeCurrentDemand(report.customer_rates)}};
  Json leaving = Json::array();
  for (const LeavingTarget& it : report.leaving_targets) {
    leaving.push_back(it.target.value());
    leaving.push_back(it.incarnation);
  }
  extensions["leaving"] = std::move(leaving);
  if (Json speeds = EncodeSpeeds(report.load); !speeds.empty()) {
    extensions["speeds"] = std::move(speeds);
  }
  if (!report.event_sizes.empty()) {
    extensions["event_sizes"] = EncodeEventSizes(report.event_sizes);
  }
  if (!report.version_uses.empty()) {
    extensions["versions"] = EncodeVersionUses(report.version_uses);
  }
  Json routers_out = EncodeRoutersOut(report);
  if (!routers_out.empty()) {
    extensions["routers_out"] = std::move(routers_out);
  }
  if (report.operator_keys) {
    const OperatorKeysState& keys = *report.operator_keys;
    extensions["operator_keys"] = {
        keys.content.era,          keys.content.revision,
        keys.newest.era,           keys.newest.revision,
        ToMillis(keys.newest_age), keys.configuration_version};
    extensions["target_list_era"] = report.target_list_era;
  }
  crashes.push_back(std::move(extensions));
  return crashes;
}

void DecodeLeaving(const Json& crashes, PeerReport& report) {
  // Reports of earlier versions lack the field.
  if (crashes.size() % 2 == 0 || !crashes.back().contains("leaving")) {
    return;
  }
  const Json& leaving = crashes.back().at("leaving");
  for (std::size_t i = 0; i + 2 <= leaving.size(); i += 2) {
    report.leaving_targets.push_back(
        {TargetId(UnsignedField<std::uint32_t>(leaving[i])),
         IntegerField(leaving[i + 1])});
  }
}

// Adds to the targets' load, which must have been decoded.
void DecodeOutputLeft(const Json& crashes, PeerReport& report) {
  // Reports of earlier versions lack the field.
  if (crashes.size() % 2 == 0 || !crashes.back().contains("output_left")) {
    return;
  }
  const Json& left = crashes.back().at("output_left");
  for (std::size_t i = 0; i + kFieldsPerOutputLeft <= left.size();
       i += kFieldsPerOutputLeft) {
    const auto it =
        report.load.find(TargetId(UnsignedField<std::uint32_t>(left[i])));
    if (it != report.load.end()) {
      it->second.output_tokens_left = std::max(0.0, NumberField(left[i + 1]));
    }
  }
}

// Adds to the customers' rates, which must have been decoded.
void DecodeCurrentDemand(const Json& crashes, PeerReport& report) {
  // Reports of earlier versions lack the field.
  if (crashes.size() % 2 == 0 || !crashes.back().contains("current_demand")) {
    for (auto& [customer, rates] : report.customer_rates) {
      rates.current_demand = rates.demand;
    }
    return;
  }
  const Json& demand = crashes.back().at("current_demand");
  for (std::size_t i = 0; i + kFieldsPerCurrentDemand <= demand.size();
       i += kFieldsPerCurrentDemand) {
    const auto it = report.customer_rates.find(
        CustomerId(UnsignedField<std::uint32_t>(demand[i])));
    if (it != report.customer_rates.end()) {
      it->second.current_demand = NumberField(demand[i + 1]);
    }
  }
}

void DecodeEventSizes(const Json& crashes, PeerReport& report) {
  if (crashes.size() % 2 == 0 || !crashes.back().contains("event_sizes")) {
    return;
  }
  const Json& sizes = crashes.back().at("event_sizes");
  for (std::size_t i = 0; i + kFieldsPerEventSize <= sizes.size();
       i += kFieldsPerEventSize) {
    report.event_sizes.push_back(
        {ServiceId(UnsignedField<std::uint32_t>(sizes[i])),
         NumberField(sizes[i + 1]) / kFixedPointScale,
         MillisecondsField(sizes[i + 2])});
  }
}

void DecodeVersionUses(const Json& crashes, PeerReport& report) {
  // Absent while each service has one version, and in reports of earlier
  // versions.
  if (crashes.size() % 2 == 0 || !crashes.back().contains("versions")) {
    return;
  }
  const Json& uses = crashes.back().at("versions");
  for (std::size_t i = 0; i + kFieldsPerVersionUse <= uses.size();
       i += kFieldsPerVersionUse) {
    report.version_uses.push_back(
        {ServiceId(uses[i].get<std::uint32_t>()),
         VersionId(uses[i + 1].get<std::uint64_t>()),
         milliseconds(uses[i + 2].get<std::int64_t>())});
  }
}

// Returns absent if the sender is of an earlier version.
std::optional<OperatorKeysState> DecodeOperatorKeys(const Json& crashes) {
  if (crashes.size() % 2 == 0 || !crashes.back().contains("operator_keys")) {
    return std::nullopt;
  }
  const Json& keys = crashes.back().at("operator_keys");
  const auto number = [&keys](std::size_t i) {
    return UnsignedField(keys.at(i));
  };
  return OperatorKeysState{{number(0), number(1)},
                           {number(2), number(3)},
                           MillisecondsField(keys.at(4)),
                           number(5)};
}

void DecodeLimits(const Json& crashes, PeerReport& report) {
  if (crashes.size() % 2 == 0) {
    return;
  }
  const Json& limits = crashes.back().at("rate_limits");
  for (std::size_t i = 0; i + kFieldsPerRateLimit <= limits.size();
       i += kFieldsPerRateLimit) {
    const double per_second = NumberField(limits[i + 1]) / kFixedPointScale;
    report.rate_limits.push_back(
        {TargetId(UnsignedField<std::uint32_t>(limits[i])),
         per_second < 0 ? std::nullopt : std::optional<double>(per_second),
         MillisecondsField(limits[i + 2])});
  }
  const Json& use = crashes.back().at("limit_use");
  for (std::size_t i = 0; i + kFieldsPerLimitUse <= use.size();
       i += kFieldsPerLimitUse) {
    report.load[TargetId(UnsignedField<std::uint32_t>(use[i]))].limit_use = {
        NumberField(use[i + 1]) / kFixedPointScale,
        NumberField(use[i + 2]) / kFixedPointScale};
  }
}

// `targets` is the encoded load. Adds to the targets' load, which must have
// been decoded.
void DecodeSpeeds(const Json& targets, const Json& crashes,
                  PeerReport& report) {
  // Absent while no speed is known, and in reports of earlier versions.
  if (crashes.size() % 2 == 0 || !crashes.back().contains("speeds")) {
    return;
  }
  const Json& speeds = crashes.back().at("speeds");
  const std::size_t count = std::min(speeds.size() / kFieldsPerSpeed,
                                     targets.size() / kFieldsPerTarget);
  for (std::size_t i = 0; i < count; ++i) {
    TargetLoad& load = report.load[TargetId(
        UnsignedField<std::uint32_t>(targets[i * kFieldsPerTarget]))];
    load.speed_observations =
        std::max(0.0, NumberField(speeds[i * kFieldsPerSpeed]) / kSpeedScale);
    load.log_speed = NumberField(speeds[i * kFieldsPerSpeed + 1]) / kSpeedScale;
  }
}

std::vector<SuspectReport> DecodeSuspects(const Json& crashes) {
  constexpr std::size_t kFieldsPerSuspect = 5;
  std::vector<SuspectReport> suspects;
  if (crashes.size() % 2 == 0) {
    for (std::size_t i = 0; i + 2 <= crashes.size(); i += 2) {
      suspects.push_back(
          {{RequestTrait::Kind::kRequest, UnsignedField(crashes[i])},
           kBasicSuspectRetention,
           false,
           {{UnsignedField(crashes[i + 1]), Duration(0), CustomerId(), false,
             false}}});
    }
    return suspects;
  }
  const Json& list = crashes.back().at("suspects");
  for (std::size_t i = 0; i + kFieldsPerSuspect <= list.size();
       i += kFieldsPerSuspect) {
    SuspectReport suspect;
    suspect.trait = {IntegerField(list[i]) == 0
                         ? RequestTrait::Kind::kRequest
                         : RequestTrait::Kind::kPromptPart,
                     UnsignedField(list[i + 1])};
    suspect.time_to_live = MillisecondsField(list[i + 2]);
    suspect.was_answered = list[i + 3].get<bool>();
    const Json& fields = list[i + 4];
    for (std::size_t j = 0; j + kFieldsPerCrash <= fields.size();
         j += kFieldsPerCrash) {
      const auto flags = UnsignedField<unsigned>(fields[j + 3]);
      CrashEvidence crash;
      crash.crash_id = UnsignedField(fields[j]);
      crash.age = MillisecondsField(fields[j + 1]);
      if ((flags & kSeveralCustomersFlag) == 0) {
        crash.customer =
            CustomerId(UnsignedField<std::uint32_t>(fields[j + 2]));
      }
      crash.is_confirmed = (flags & kConfirmedFlag) != 0;
      crash.is_refuted = (flags & kRefutedFlag) != 0;
      suspect.crashes.push_back(crash);
    }
    suspects.push_back(std::move(suspect));
  }
  return suspects;
}

}  // namespace

std::string EncodeReport(const PeerReport& report) {
  // Flat arrays take half the bytes of nested ones.
  Json load = Json::array();
  for (const auto& [id, it] : report.load) {
    load.push_back(id.value());
    load.push_back(it.in_flight);
    load.push_back(static_cast<std::int64_t>(it.pending_prefill_tokens));
    load.push_back(static_cast<std::int64_t>(it.kv_cache_tokens));
    for (const double value : {it.ended_attempts, it.failed_attempts,
                               it.first_events, it.log_slowness}) {
      load.push_back(static_cast<std::int64_t>(kFixedPointScale * value));
    }
  }
  Json customer_rates = Json::array();
  for (const auto& [customer, rates] : report.customer_rates) {
    customer_rates.push_back(customer.value());
    customer_rates.push_back(static_cast<std::int64_t>(rates.demand));
    customer_rates.push_back(static_cast<std::int64_t>(rates.admitted));
  }
  Json crashes = EncodeCrashes(report);
  Json sender = Json::array();
  AppendRouterInfo(report.sender, sender);
  Json live_routers = Json::array();
  for (const RouterInfo& it : report.live_routers) {
    AppendRouterInfo(it, live_routers);
  }
  const Json json = {kFormatVersion,
                     static_cast<int>(report.scope),
                     std::move(sender),
                     report.incarnation,
                     report.sequence,
                     report.operator_revision,
                     report.target_list_revision,
                     ToMillis(report.operator_replica_age),
                     std::move(load),
                     std::move(customer_rates),
                     std::move(crashes),
                     report.unreachable_targets,
                     std::move(live_routers),
                     static_cast<std::int64_t>(report.link_use),
                     static_cast<std::int64_t>(report.link_budget),
                     report.sent_at,
                     report.echoed_sent_at,
                     report.echo_delay.count()};
  const std::vector<std::uint8_t> bytes = Json::to_msgpack(json);
  return {bytes.begin(), bytes.end()};
}

absl::StatusOr<PeerReport> DecodeReport(std::string_view bytes) {
  const Json json = ParseMessagePack(bytes);
  if (!json.is_array() || json.size() != kFieldCount ||
      json[0] != kFormatVersion) {
    return absl::InvalidArgumentError(
        "not a peer report, or one of another format version");
  }
  try {
    PeerReport report;
    const std::int64_t scope = IntegerField(json[1]);
    if (scope < 0 || scope > static_cast<std::int64_t>(ReportScope::kFleet)) {
      return absl::InvalidArgumentError("unknown report scope");
    }
    report.scope = static_cast<ReportScope>(scope);
    report.sender = RouterInfoAt(json[2], 0);
    report.incarnation = UnsignedField(json[3]);
    report.sequence = UnsignedField(json[4]);
    report.operator_revision = UnsignedField(json[5]);
    report.target_list_revision = UnsignedField(json[6]);
    report.operator_replica_age = MillisecondsField(json[7]);
    for (std::size_t i = 0; i + kFieldsPerTarget <= json[8].size();
         i += kFieldsPerTarget) {
      const auto scaled = [&json, i](std::size_t field) {
        return NumberField(json[8][i + field]) / kFixedPointScale;
      };
      report.load[TargetId(UnsignedField<std::uint32_t>(json[8][i]))] = {
          static_cast<int>(IntegerField(json[8][i + 1], 0, kMaxCount)),
          NumberField(json[8][i + 2]),
          NumberField(json[8][i + 3]),
          scaled(4),
          scaled(5),
          scaled(6),
          scaled(7)};
    }
    for (std::size_t i = 0; i + kFieldsPerCustomer <= json[9].size();
         i += kFieldsPerCustomer) {
      report.customer_rates[CustomerId(
          UnsignedField<std::uint32_t>(json[9][i]))] = {
          NumberField(json[9][i + 1]), NumberField(json[9][i + 2])};
    }
    report.suspects = DecodeSuspects(json[10]);
    DecodeLimits(json[10], report);
    DecodeSpeeds(json[8], json[10], report);
    DecodeOutputLeft(json[10], report);
    DecodeCurrentDemand(json[10], report);
    DecodeLeaving(json[10], report);
    DecodeEventSizes(json[10], report);
    DecodeVersionUses(json[10], report);
    report.operator_keys = DecodeOperatorKeys(json[10]);
    if (report.operator_keys) {
      report.target_list_era =
          UnsignedField(json[10].back().at("target_list_era"));
    }
    report.unreachable_targets = json[11].get<std::vector<std::string>>();
    for (std::size_t i = 0; i + kFieldsPerRouter <= json[12].size();
         i += kFieldsPerRouter) {
      report.live_routers.push_back(RouterInfoAt(json[12], i));
    }
    DecodeRoutersOut(json[10], report);
    report.link_use = NumberField(json[13]);
    report.link_budget = NumberField(json[14]);
    report.sent_at = IntegerField(json[15], 0, kMaxMicros);
    report.echoed_sent_at = IntegerField(json[16], 0, kMaxMicros);
    report.echo_delay = Duration(IntegerField(json[17], 0, kMaxMicros));
    return report;
  } catch (const Json::exception& ex) {
    return absl::InvalidArgumentError(ex.what());
  } catch (const FieldError& ex) {
    return absl::InvalidArgumentError(ex.what());
  }
}

void AddLoad(const LoadByTarget& addend, LoadByTarget& sum) {
  for (const auto& [id, load] : addend) {
    TargetLoad& total = sum[id];
    total.in_flight += load.in_flight;
    total.pending_prefill_tokens += load.pending_prefill_tokens;
    total.kv_cache_tokens += load.kv_cache_tokens;
    total.ended_attempts += load.ended_attempts;
    total.failed_attempts += load.failed_attempts;
    total.first_events += load.first_events;
    total.log_slowness += load.log_slowness;
    total.limit_use.wanted += load.limit_use.wanted;
    total.limit_use.sent += load.limit_use.sent;
    total.speed_observations += load.speed_observations;
    total.log_speed += load.log_speed;
    total.output_tokens_left += load.output_tokens_left;
  }
}

void AddRates(const RatesByCustomer& addend, RatesByCustomer& sum) {
  for (const auto& [customer, rates] : addend) {
    CustomerRates& total = sum[customer];
    total.demand += rates.demand;
    total.admitted += rates.admitted;
    total.current_demand += rates.current_demand;
  }
}

}  // namespace corianderpost
