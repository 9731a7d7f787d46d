#include "peers/fleet_stream_directory.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <tuple>
#include <utility>

#include "runtime/json_log.h"

namespace corianderpost {
namespace {

using internal::Log;
using internal::LogLevel;
using std::chrono::milliseconds;
using std::chrono::seconds;

// About 7 MB.
constexpr std::size_t kMaxRecords = 32'768;
// Bounds the memory of searches.
constexpr std::size_t kMaxSearches = 4096;
// Requests are sent again after the first time. A search ends after the second
// one, whether all routers have replied or not.
constexpr Duration kResendAfter = milliseconds(100);
constexpr Duration kSearchTime = milliseconds(250);
// Records that were not sent before are sent at this rate, newest first.
constexpr std::size_t kMaxBatchesPerTick = 8;
// A router asks peers for their knowledge of the past while its own doesn't
// reach back beyond the age of streams by this much.
constexpr Duration kCoverageMargin = seconds(5);
// The interval doubles with each request, as peers may not know more.
constexpr Duration kMinHistoryInterval = milliseconds(250);
constexpr Duration kMaxHistoryInterval = seconds(8);
constexpr std::size_t kHistoryPeers = 2;
// Ticks that are further apart show that the router was paused or is late.
constexpr Duration kMaxTickGap = milliseconds(250);
constexpr Duration kHousekeepingInterval = milliseconds(250);
// Bounds the memory for names in the log.
constexpr std::size_t kMaxNames = 1024;

}  // namespace

FleetStreamDirectory::FleetStreamDirectory(const RouterInfo& self,
                                           const Clock& clock,
                                           StreamPeers& peers,
                                           internal::Metrics& metrics,
                                           std::function<void()> on_new_version)
    : clock_(clock),
      peers_(peers),
      metrics_(metrics),
      on_new_version_(std::move(on_new_version)),
      keepers_(self, peers),
      held_parts_(
          keepers_,
          [this](const std::string& vm, const StreamMessage& message) {
            Send(vm, message);
          },
          static_cast<std::uint32_t>(clock.WallMicros())),
      records_(kMaxRecords),
      next_request_id_(static_cast<std::uint32_t>(clock.WallMicros())),
      history_interval_(kMinHistoryInterval) {}

void FleetStreamDirectory::RecordRuns(
    const TargetEntry& target, const std::vector<std::string>& request_ids) {
  const TimePoint now = clock_.Now();
  keepers_.Refresh(now);
  std::map<std::string, StreamBatch> batches;
  for (const std::string& request_id : request_ids) {
    const BegunStream stream = {StreamKey::OfRun(request_id),
                                CustomerId(),
                                ServiceId::FromName(target.service),
                                TargetId::FromName(target.id),
                                target.incarnation,
                                VersionId::FromName(target.version)};
    if (!stream.version.is_known()) {
      continue;
    }
    records_.Add(stream, now);
    for (const std::string& it : keepers_.Keepers(stream.key)) {
      StreamBatch& batch = batches[it];
      batch.streams.push_back({stream, Duration(0)});
      if (batch.streams.size() >= kMaxStreamsPerBatch) {
        Send(it, std::exchange(batch, {}));
      }
    }
  }
  for (const auto& [vm, batch] : batches) {
    if (!batch.streams.empty()) {
      Send(vm, batch);
    }
  }
}

void FleetStreamDirectory::Send(const std::string& vm,
                                const StreamMessage& message) {
  const std::string bytes = EncodeStreamMessage(message);
  metrics_.IncrementCounter("corianderpost_stream_messages_total",
                            "kind=\"" + std::string(KindOf(message)) + "\"");
  metrics_.IncrementCounter("corianderpost_stream_message_bytes_total", "",
                            bytes.size());
  peers_.SendMessage(vm, bytes);
}

bool FleetStreamDirectory::IsLate(TimePoint now) const {
  return is_list_in_doubt_ || now - ticked_at_ > kMaxTickGap;
}

void FleetStreamDirectory::NoticeDelay(TimePoint now) {
  if (now - ticked_at_ > kMaxTickGap) {
    late_at_ = now;
    is_list_in_doubt_ = true;
  }
  ticked_at_ = now;
}

void FleetStreamDirectory::ConfirmList(TimePoint called_at,
                                       TimePoint confirmed_at) {
  if (called_at < late_at_) {
    return;
  }
  is_list_in_doubt_ = false;
  history_.ConfirmList(confirmed_at);
}

bool FleetStreamDirectory::IsProvable(TimePoint now, ServiceId service) const {
  return !IsLate(now) &&
         history_.FindOnlyVersion(now, service, now - max_stream_age_)
             .has_value();
}

void FleetStreamDirectory::RecordBegun(const BegunStream& stream) {
  const TimePoint now = clock_.Now();
  history_.RecordUse(now, stream.service, stream.version);
  records_.Add(stream, now);
  if (!stream.version.is_known()) {
    return;
  }
  if (IsProvable(now, stream.service)) {
    unsent_[stream.service].push_back({stream.key, now});
    return;
  }
  keepers_.Refresh(now);
  for (const std::string& it : keepers_.Keepers(stream.key)) {
    Send(it, StreamBatch{{{stream, Duration(0)}}});
  }
}

void FleetStreamDirectory::SendUnsent(TimePoint now) {
  std::map<std::string, StreamBatch> batches;
  std::size_t count = 0;
  for (auto& [service, streams] : unsent_) {
    if (streams.empty() || IsProvable(now, service)) {
      continue;
    }
    keepers_.Refresh(now);
    while (!streams.empty() &&
           count < kMaxBatchesPerTick * kMaxStreamsPerBatch) {
      const StreamRecord* record = records_.Find(now, streams.back().key);
      streams.pop_back();
      if (record == nullptr || record->is_conflict) {
        continue;
      }
      for (const std::string& it : keepers_.Keepers(record->stream.key)) {
        StreamBatch& batch = batches[it];
        batch.streams.push_back({record->stream, now - record->begun_at});
        ++count;
        if (batch.streams.size() >= kMaxStreamsPerBatch) {
          Send(it, std::exchange(batch, {}));
        }
      }
    }
  }
  for (const auto& [vm, batch] : batches) {
    if (!batch.streams.empty()) {
      Send(vm, batch);
    }
  }
}

std::optional<StreamOrigin> FleetStreamDirectory::OriginFromRecord(
    TimePoint now, const StreamKey& key, const StreamQuery& query,
    OriginEvidence evidence) const {
  const StreamRecord* record = records_.Find(now, key);
  if (record == nullptr) {
    return std::nullopt;
  }
  const StreamOrigin conflict{OriginEvidence::kConflict, query.service,
                              VersionId(), now - record->begun_at};
  if (record->is_conflict) {
    return conflict;
  }
  const BegunStream& stream = record->stream;
  if (!stream.version.is_known()) {
    return std::nullopt;
  }
  if (!history_.IsCertain(record->begun_at, stream.target, stream.incarnation,
                          stream.version)) {
    const auto proven = ProvenOrigin(now, stream.service, query.max_age);
    return proven ? proven : conflict;
  }
  return StreamOrigin{evidence, stream.service, stream.version,
                      now - record->begun_at};
}

std::optional<StreamOrigin> FleetStreamDirectory::ProvenOrigin(
    TimePoint now, ServiceId service, Duration max_age) const {
  const auto only = IsLate(now)
                        ? std::nullopt
                        : history_.FindOnlyVersion(now, service, now - max_age);
  if (!only) {
    return std::nullopt;
  }
  return StreamOrigin{OriginEvidence::kOnlyVersion, service, only->version,
                      now - only->since};
}

StreamOrigin FleetStreamDirectory::OriginWithoutRecord(
    TimePoint now, const StreamQuery& query) const {
  const StreamOrigin none{OriginEvidence::kNone, query.service, VersionId(),
                          Duration(0)};
  if (const auto proven = ProvenOrigin(now, query.service, query.max_age)) {
    return *proven;
  }
  // All peers were asked: targets that run the same request may have been asked
  // by different routers.
  return OriginFromRecord(now, query.run_key, query, OriginEvidence::kTargetRun)
      .value_or(none);
}

void FleetStreamDirectory::FindOrigin(const StreamQuery& query,
                                      OriginCallback callback) {
  const TimePoint now = clock_.Now();
  std::optional<StreamOrigin> origin;
  if (query.key.value != 0) {
    origin =
        OriginFromRecord(now, query.key, query, OriginEvidence::kLocalRecord);
  }
  if (!origin) {
    origin = ProvenOrigin(now, query.service, query.max_age);
  }
  if (origin) {
    callback(*origin);
    return;
  }
  Search search{
      query, std::move(callback), {}, now + kResendAfter, now + kSearchTime};
  if (query.key.value != 0 && searches_.size() < kMaxSearches) {
    keepers_.Refresh(now);
    keepers_.AddPossibleKeepers(query.key, search.asked);
    keepers_.AddPossibleKeepers(query.run_key, search.asked);
  }
  if (search.asked.empty()) {
    Resolve(now, query, OriginWithoutRecord(now, query), search.callback);
    return;
  }
  const std::uint32_t request_id = ++next_request_id_;
  Ask(search, request_id);
  searches_.insert_or_assign(request_id, std::move(search));
}

void FleetStreamDirectory::Ask(Search& search, std::uint32_t request_id) {
  for (const std::string& it : search.asked) {
    Send(it, OriginRequest{request_id, search.query.key, search.query.service,
                           search.query.max_age, search.query.run_key});
  }
}

void FleetStreamDirectory::EndSearch(std::uint32_t request_id,
                                     const StreamOrigin& origin) {
  // The callback may start another search.
  const auto search = searches_.extract(request_id);
  Resolve(clock_.Now(), search.mapped().query, origin,
          search.mapped().callback);
}

void FleetStreamDirectory::Resolve(TimePoint now, const StreamQuery& query,
                                   const StreamOrigin& origin,
                                   const OriginCallback& callback) {
  if (origin.evidence != OriginEvidence::kNone || query.key.value == 0 ||
      !query.own_part) {
    callback(origin);
    return;
  }
  const std::int64_t prompt_tokens = query.own_part->tokens;
  held_parts_.Find(now, StreamKey::OfPart(query.service, query.own_part->id),
                   [origin, callback,
                    prompt_tokens](const std::optional<PartHolder>& holder) {
                     StreamOrigin found = origin;
                     if (holder && holder->is_conflict) {
                       found.evidence = OriginEvidence::kConflict;
                     } else if (const auto version =
                                    holder ? WriterOf(*holder, prompt_tokens)
                                           : std::nullopt) {
                       found.evidence = OriginEvidence::kHeldPart;
                       found.version = *version;
                     }
                     callback(found);
                   });
}

void FleetStreamDirectory::EndWithoutRecord(TimePoint now,
                                            std::uint32_t request_id) {
  const Search& search = searches_.at(request_id);
  const StreamQuery& query = search.query;
  const bool is_proven =
      search.proven && !history_.HasOther(query.service, search.proven->version,
                                          now - query.max_age);
  EndSearch(request_id,
            is_proven ? *search.proven : OriginWithoutRecord(now, query));
}

void FleetStreamDirectory::AddRecord(TimePoint now, const AgedStream& stream,
                                     bool is_conflict) {
  const Duration age = std::clamp(stream.age, Duration(0), kStreamRetention);
  history_.MergeUse(now, {stream.stream.service, stream.stream.version, age});
  records_.Add(stream.stream, now - age, is_conflict);
}

void FleetStreamDirectory::RecordTarget(TimePoint now,
                                        const TargetEntry& entry) {
  if (service_names_.size() < kMaxNames) {
    service_names_.try_emplace(ServiceId::FromName(entry.service),
                               entry.service);
  }
  if (version_names_.size() < kMaxNames) {
    version_names_.try_emplace(VersionId::FromName(entry.version),
                               entry.version);
  }
  history_.RecordTarget(now, clock_.WallMicros() / 1000, entry);
}

void FleetStreamDirectory::MergeUses(TimePoint now,
                                     const std::vector<VersionUse>& uses) {
  for (const VersionUse& it : uses) {
    history_.MergeUse(now, it);
  }
}

void FleetStreamDirectory::HandleMessage(TimePoint now, const std::string& from,
                                         std::string_view bytes) {
  const auto message = DecodeStreamMessage(bytes);
  if (!message.ok()) {
    metrics_.IncrementCounter("corianderpost_invalid_stream_messages_total",
                              "");
    Log(LogLevel::kWarning, "invalid stream message ignored",
        {{"from", from}, {"reason", std::string(message.status().message())}});
    return;
  }
  std::visit([&](const auto& it) { Handle(now, from, it); }, *message);
}

void FleetStreamDirectory::Handle(TimePoint now, const std::string& from,
                                  const StreamBatch& batch) {
  static_cast<void>(from);
  for (const AgedStream& it : batch.streams) {
    AddRecord(now, it, false);
  }
}

void FleetStreamDirectory::Handle(TimePoint now, const std::string& from,
                                  const OriginRequest& request) {
  OriginReply reply;
  reply.request_id = request.request_id;
  const StreamRecord* record = records_.Find(now, request.key);
  if (record == nullptr) {
    record = records_.Find(now, request.run_key);
  }
  if (record != nullptr) {
    const BegunStream& stream = record->stream;
    reply.is_conflict = record->is_conflict ||
                        !history_.IsCertain(record->begun_at, stream.target,
                                            stream.incarnation, stream.version);
    reply.stream = {record->stream, now - record->begun_at};
  }
  if (const auto proven = ProvenOrigin(now, request.service, request.max_age)) {
    reply.only_version = proven->version;
    reply.only_version_age = proven->age;
  }
  Send(from, reply);
}

void FleetStreamDirectory::Handle(TimePoint now, const std::string& from,
                                  const OriginReply& reply) {
  const auto it = searches_.find(reply.request_id);
  if (it == searches_.end() || it->second.asked.erase(from) == 0) {
    return;
  }
  const StreamQuery query = it->second.query;
  if (reply.stream && (reply.stream->stream.key == query.key ||
                       reply.stream->stream.key == query.run_key)) {
    AddRecord(now, *reply.stream, reply.is_conflict);
    if (const auto origin = OriginFromRecord(now, query.key, query,
                                             OriginEvidence::kPeerRecord)) {
      EndSearch(reply.request_id, *origin);
      return;
    }
  }
  if (reply.only_version.is_known() &&
      !history_.HasOther(query.service, reply.only_version,
                         now - query.max_age)) {
    it->second.proven =
        StreamOrigin{OriginEvidence::kOnlyVersion, query.service,
                     reply.only_version, reply.only_version_age};
  }
  if (it->second.asked.empty()) {
    EndWithoutRecord(now, reply.request_id);
  }
}

void FleetStreamDirectory::Handle(TimePoint now, const std::string& from,
                                  const HistoryRequest& request) {
  HistoryReply reply;
  reply.request_id = request.request_id;
  if (auto uses = history_.AllUses(now)) {
    reply.coverage = history_.Coverage(now);
    reply.uses = *std::move(uses);
  }
  Send(from, reply);
}

void FleetStreamDirectory::Handle(TimePoint now, const std::string& from,
                                  const HistoryReply& reply) {
  static_cast<void>(from);
  if (reply.request_id != history_request_id_) {
    return;
  }
  MergeUses(now, reply.uses);
  history_.MergeCoverage(now, reply.coverage);
}

void FleetStreamDirectory::Handle(TimePoint now, const std::string& from,
                                  const HeldPartBatch& batch) {
  static_cast<void>(from);
  held_parts_.Handle(now, batch);
}

void FleetStreamDirectory::Handle(TimePoint now, const std::string& from,
                                  const HeldPartRequest& request) {
  held_parts_.Handle(now, from, request);
}

void FleetStreamDirectory::Handle(TimePoint now, const std::string& from,
                                  const HeldPartReply& reply) {
  static_cast<void>(now);
  held_parts_.Handle(from, reply);
}

void FleetStreamDirectory::RequestHistory(TimePoint now) {
  if (history_.Coverage(now) >= max_stream_age_ + kCoverageMargin) {
    history_interval_ = kMinHistoryInterval;
    return;
  }
  if (now < next_history_request_at_ || !history_.IsFresh(now)) {
    return;
  }
  keepers_.Refresh(now);
  if (keepers_.live_peers().empty()) {
    return;
  }
  next_history_request_at_ = now + history_interval_;
  history_interval_ = std::min(2 * history_interval_, kMaxHistoryInterval);
  history_request_id_ = ++next_request_id_;
  const std::size_t n = std::min(kHistoryPeers, keepers_.live_peers().size());
  for (std::size_t i = 0; i < n; ++i) {
    // Others each time.
    Send(keepers_.live_peers()[(history_request_id_ * n + i) %
                               keepers_.live_peers().size()],
         HistoryRequest{history_request_id_});
  }
}

void FleetStreamDirectory::Tick(TimePoint now) {
  std::vector<std::uint32_t> ended;
  for (auto& [request_id, search] : searches_) {
    if (now >= search.ends_at) {
      ended.push_back(request_id);
    } else if (now >= search.resend_at) {
      search.resend_at = TimePoint::max();
      if (search.proven) {
        ended.push_back(request_id);
      } else {
        Ask(search, request_id);
      }
    }
  }
  for (const std::uint32_t request_id : ended) {
    EndWithoutRecord(now, request_id);
  }
  held_parts_.Tick(now);
  LogVersions(now);
  SendUnsent(now);
  RequestHistory(now);
  if (now < next_housekeeping_at_) {
    return;
  }
  next_housekeeping_at_ = now + kHousekeepingInterval;
  records_.Expire(now);
  history_.Expire(now);
  for (auto it = unsent_.begin(); it != unsent_.end();) {
    std::deque<UnsentStream>& streams = it->second;
    while (!streams.empty() &&
           now - streams.front().begun_at > kStreamRetention) {
      streams.pop_front();
    }
    it = streams.empty() ? unsent_.erase(it) : std::next(it);
  }
  metrics_.SetGauge("corianderpost_stream_records",
                    static_cast<double>(records_.size()));
  metrics_.SetGauge("corianderpost_held_part_records",
                    static_cast<double>(held_parts_.size()));
  metrics_.IncrementCounter("corianderpost_stream_record_evictions_total", "",
                            records_.eviction_count() - reported_evictions_);
  reported_evictions_ = records_.eviction_count();
}

void FleetStreamDirectory::LogVersions(TimePoint now) {
  std::map<ServiceId, std::set<VersionId>> mixed;
  for (const VersionUse& it : history_.MixedUses(now)) {
    mixed[it.service].insert(it.version);
  }
  if (mixed == mixed_) {
    return;
  }
  bool has_new_version = false;
  for (const auto& [service, versions] : mixed) {
    const std::set<VersionId>& known = mixed_[service];
    if (versions == known) {
      continue;
    }
    has_new_version =
        has_new_version || !std::includes(known.begin(), known.end(),
                                          versions.begin(), versions.end());
    nlohmann::json names = nlohmann::json::array();
    for (const VersionId it : versions) {
      names.push_back(NameOf(it));
    }
    Log(LogLevel::kInfo, "service has several software versions in use",
        {{"service", NameOf(service)}, {"versions", std::move(names)}});
  }
  for (const auto& [service, versions] : mixed_) {
    if (!mixed.contains(service)) {
      nlohmann::json names = nlohmann::json::array();
      for (const VersionUse& it : history_.UsesOf(now, service)) {
        names.push_back(NameOf(it.version));
      }
      Log(LogLevel::kInfo, "service no longer has several software versions",
          {{"service", NameOf(service)}, {"versions", std::move(names)}});
    }
  }
  mixed_ = std::move(mixed);
  if (has_new_version) {
    on_new_version_();
  }
}

std::string FleetStreamDirectory::NameOf(VersionId version) const {
  if (!version.is_known()) {
    return "";
  }
  const auto it = version_names_.find(version);
  return it == version_names_.end() ? std::to_string(version.value())
                                    : it->second;
}

std::string FleetStreamDirectory::NameOf(ServiceId service) const {
  const auto it = service_names_.find(service);
  return it == service_names_.end() ? std::to_string(service.value())
                                    : it->second;
}

}  // namespace corianderpost
