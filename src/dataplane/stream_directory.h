// Finds the software version that began a stream. Versions write different
// texts, so a stream may only continue at the version that began it.
#ifndef CORIANDERPOST_DATAPLANE_STREAM_DIRECTORY_H_
#define CORIANDERPOST_DATAPLANE_STREAM_DIRECTORY_H_

#include <xxhash.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>
#include <vector>

#include "corianderpost/clock.h"
#include "corianderpost/ids.h"
#include "model/request.h"

namespace corianderpost {

// Identifies a stream by its customer and the id of the request that received
// its first event. Callers choose request ids, so the customer is part of the
// key: the streams of one customer can't be confused with those of another.
struct StreamKey {
  std::uint64_t value = 0;

  static StreamKey Of(CustomerId customer, std::string_view request_id) {
    return {XXH64(request_id.data(), request_id.size(), customer.value())};
  }
  // Returns the key of a run that a target reports, which names no customer.
  static StreamKey OfRun(std::string_view request_id) {
    // No customer has this seed.
    constexpr std::uint64_t kSeed = std::uint64_t{1} << 32;
    return {XXH64(request_id.data(), request_id.size(), kSeed)};
  }
  // Returns the key of a prompt part that targets of a service hold.
  static StreamKey OfPart(ServiceId service, std::uint64_t part) {
    constexpr std::uint64_t kSeed = std::uint64_t{2} << 32;
    return {XXH64(&part, sizeof(part), kSeed | service.value())};
  }
  friend auto operator<=>(const StreamKey&, const StreamKey&) = default;
};

// A stream of which a caller gets the first event.
struct BegunStream {
  StreamKey key;
  CustomerId customer;
  ServiceId service;
  // The run of a target that wrote the event, and its software version as far
  // as known when the attempt was sent.
  TargetId target;
  std::int64_t incarnation = 0;
  VersionId version;
  friend bool operator==(const BegunStream&, const BegunStream&) = default;
};

// How the version that began a stream is known.
enum class OriginEvidence {
  // It is not: no router that replied has a record, and several versions may
  // have begun the stream.
  kNone,
  // Records contradict each other, or the version of the target that began the
  // stream is not certain.
  kConflict,
  // A record of this router, or of a peer.
  kLocalRecord,
  kPeerRecord,
  // No record, but a target was running the stream when the fleet started.
  kTargetRun,
  // No record, but the service has had only one version since the stream may
  // have begun.
  kOnlyVersion,
  // No record, but when the fleet started, targets of only one version held the
  // request's own prompt part, with tokens of events that the caller received.
  kHeldPart,
};

inline std::string_view ToString(OriginEvidence evidence) {
  switch (evidence) {
    case OriginEvidence::kNone:
      return "none";
    case OriginEvidence::kConflict:
      return "conflict";
    case OriginEvidence::kLocalRecord:
      return "local_record";
    case OriginEvidence::kPeerRecord:
      return "peer_record";
    case OriginEvidence::kTargetRun:
      return "target_run";
    case OriginEvidence::kOnlyVersion:
      return "only_version";
    case OriginEvidence::kHeldPart:
      return "held_part";
  }
  return "unknown";
}

// What is known of the version that began a stream.
struct StreamOrigin {
  OriginEvidence evidence = OriginEvidence::kNone;
  // The service and version that began the stream; the version is unknown if
  // the evidence is `kNone` or `kConflict`.
  ServiceId service;
  VersionId version;
  // Age of the record; for `kOnlyVersion`, time since another version, if any,
  // was last in use or this router's knowledge begins.
  Duration age{0};
  friend bool operator==(const StreamOrigin&, const StreamOrigin&) = default;
};

// Whether the evidence shows that a request with the id that the caller states
// has begun. Any caller can claim to resume a stream.
inline bool ShowsBegunRequest(OriginEvidence evidence) {
  return evidence != OriginEvidence::kOnlyVersion &&
         evidence != OriginEvidence::kHeldPart;
}

// Which stream a caller resumes.
struct StreamQuery {
  // Returns the query for a stream of `customer` whose first event was received
  // by request `id`, which may be empty. The prompt is that of the resumption;
  // its last part belongs to the request.
  // `events` is the number of events that the caller received.
  static StreamQuery Of(CustomerId customer, std::string_view id,
                        const std::vector<PromptPart>& prompt,
                        std::int64_t events = 1) {
    StreamQuery query;
    if (!id.empty()) {
      query.key = StreamKey::Of(customer, id);
      query.run_key = StreamKey::OfRun(id);
      // Ids and numbers of tokens that can't be read are zero.
      if (!prompt.empty() && prompt.back().id != 0 &&
          prompt.back().tokens > 0) {
        query.own_part = prompt.back();
        query.events = events;
      }
    }
    return query;
  }

  // Zero if the caller did not state a valid id; only `kOnlyVersion` can then
  // be found.
  StreamKey key;
  // Service that the request would go to if there is no record.
  ServiceId service;
  // The stream began at most this long ago.
  Duration max_age{0};
  // Key of the stream in the reports of targets; zero if `key` is.
  StreamKey run_key = {};
  // The part of the prompt that belongs to the request; absent if the prompt is
  // not known.
  std::optional<PromptPart> own_part = std::nullopt;
  std::int64_t events = 0;
  friend bool operator==(const StreamQuery&, const StreamQuery&) = default;
};

// Not thread-safe: use on the event loop thread only.
class StreamDirectory {
 public:
  using OriginCallback = std::function<void(const StreamOrigin&)>;

  virtual ~StreamDirectory() = default;
  // Records a stream, so that this router and its peers find its origin later.
  // Call before the first event is sent to the caller.
  virtual void RecordBegun(const BegunStream& stream) = 0;
  // Finds the version that began a stream. Calls `callback` once, during the
  // call or within a fraction of a second.
  virtual void FindOrigin(const StreamQuery& query,
                          OriginCallback callback) = 0;
};

}  // namespace corianderpost

#endif  // CORIANDERPOST_DATAPLANE_STREAM_DIRECTORY_H_
