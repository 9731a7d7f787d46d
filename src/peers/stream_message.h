// The messages with which routers tell each other which streams began where,
// and their encoding.
#ifndef CORIANDERPOST_PEERS_STREAM_MESSAGE_H_
#define CORIANDERPOST_PEERS_STREAM_MESSAGE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "absl/status/statusor.h"
#include "corianderpost/clock.h"
#include "dataplane/stream_directory.h"
#include "decisions/held_part_records.h"
#include "decisions/version_history.h"

namespace corianderpost {

// A stream, and the time since it began.
struct AgedStream {
  BegunStream stream;
  Duration age{0};
  friend bool operator==(const AgedStream&, const AgedStream&) = default;
};

// Streams that the receiver is asked to remember.
struct StreamBatch {
  std::vector<AgedStream> streams;
  friend bool operator==(const StreamBatch&, const StreamBatch&) = default;
};

// Asks for the record of a stream, or for proof that no other version can have
// begun it.
struct OriginRequest {
  std::uint32_t request_id = 0;
  StreamKey key;
  ServiceId service;
  // The stream began at most this long ago.
  Duration max_age{0};
  // Key of the stream in the reports of targets.
  StreamKey run_key;
  friend bool operator==(const OriginRequest&, const OriginRequest&) = default;
};

struct OriginReply {
  std::uint32_t request_id = 0;
  // The sender's records contradict each other.
  bool is_conflict = false;
  // The only version that the service can have had in use, and for how long;
  // unknown if the sender can't prove that there is one.
  VersionId only_version;
  Duration only_version_age{0};
  // Absent if the sender has no record.
  std::optional<AgedStream> stream;
  friend bool operator==(const OriginReply&, const OriginReply&) = default;
};

// Asks for what the receiver knows of the versions of all services.
struct HistoryRequest {
  std::uint32_t request_id = 0;
  friend bool operator==(const HistoryRequest&,
                         const HistoryRequest&) = default;
};

struct HistoryReply {
  std::uint32_t request_id = 0;
  // Time for which the sender's knowledge has had no gap.
  Duration coverage{0};
  std::vector<VersionUse> uses;
  friend bool operator==(const HistoryReply&, const HistoryReply&) = default;
};

// The most tokens that a target holds of a prompt part.
struct HeldPartRecord {
  StreamKey key;
  std::int64_t tokens = 0;
  friend bool operator==(const HeldPartRecord&,
                         const HeldPartRecord&) = default;
};

// Prompt parts held by a target that the receiver is asked to remember.
struct HeldPartBatch {
  VersionId version;
  std::vector<HeldPartRecord> parts;
  friend bool operator==(const HeldPartBatch&, const HeldPartBatch&) = default;
};

// Asks which version's targets hold a prompt part.
struct HeldPartRequest {
  std::uint32_t request_id = 0;
  StreamKey key;
  friend bool operator==(const HeldPartRequest&,
                         const HeldPartRequest&) = default;
};

struct HeldPartReply {
  std::uint32_t request_id = 0;
  // As in the request.
  StreamKey key;
  PartHolders holders;
  friend bool operator==(const HeldPartReply&, const HeldPartReply&) = default;
};

// Routers of earlier versions know the first five kinds only. They ignore the
// others.
using StreamMessage =
    std::variant<StreamBatch, OriginRequest, OriginReply, HistoryRequest,
                 HistoryReply, HeldPartBatch, HeldPartRequest, HeldPartReply>;

// Streams and parts in one batch, so that it fits into one packet of the
// network.
inline constexpr std::size_t kMaxStreamsPerBatch = 24;
inline constexpr std::size_t kMaxPartsPerBatch = 72;

// Returns whether a datagram is meant as a stream message rather than as a peer
// report.
bool IsStreamMessage(std::string_view bytes);
// Encodes a message as a flat MessagePack array.
std::string EncodeStreamMessage(const StreamMessage& message);
// Returns InvalidArgumentError if `bytes` is not a message of this format
// version.
absl::StatusOr<StreamMessage> DecodeStreamMessage(std::string_view bytes);
// Returns the kind of a message, for metrics.
std::string_view KindOf(const StreamMessage& message);

}  // namespace corianderpost

#endif  // CORIANDERPOST_PEERS_STREAM_MESSAGE_H_
