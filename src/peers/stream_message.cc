#include "peers/stream_message.h"

#include <algorithm>

#include "absl/status/status.h"

namespace corianderpost {
namespace {

using std::chrono::milliseconds;

// First elements of every message. A peer report begins with another number.
constexpr std::uint8_t kMessageTag = 83;
constexpr std::uint8_t kFormatVersion = 1;
// Kinds, in the order of the alternatives of `StreamMessage`.
constexpr std::uint8_t kKindCount = 8;
// Tag, format version and kind.
constexpr std::size_t kHeaderFields = 3;
constexpr std::size_t kFieldsPerStream = 7;
// Those before the stream, which may be absent.
constexpr std::size_t kFieldsPerOriginReply = 4;
constexpr std::size_t kFieldsPerUse = 3;
constexpr std::size_t kFieldsPerPart = 2;
// Those before the holders.
constexpr std::size_t kFieldsPerHeldPartReply = 3;
constexpr std::size_t kFieldsPerHolder = 2;
// Markers of MessagePack. Only these encodings are used, so that a message
// needs no general decoder.
constexpr std::uint8_t kArray16 = 0xdc;
constexpr std::uint8_t kUint32 = 0xce;
constexpr std::uint8_t kUint64 = 0xcf;
constexpr std::uint8_t kInt64 = 0xd3;
constexpr std::uint8_t kMaxFixint = 0x7f;

class Writer {
 public:
  Writer(const StreamMessage& message, std::size_t fields) {
    Byte(kArray16);
    Bytes(kHeaderFields + fields, 2);
    Byte(kMessageTag);
    Byte(kFormatVersion);
    Byte(static_cast<std::uint8_t>(message.index()));
  }
  void Flag(bool value) { Byte(value ? 1 : 0); }
  void Uint32(std::uint32_t value) {
    Byte(kUint32);
    Bytes(value, 4);
  }
  void Uint64(std::uint64_t value) {
    Byte(kUint64);
    Bytes(value, 8);
  }
  void Int64(std::int64_t value) {
    Byte(kInt64);
    Bytes(static_cast<std::uint64_t>(value), 8);
  }
  // In milliseconds.
  void Time(Duration value) {
    const std::int64_t millis =
        std::chrono::duration_cast<milliseconds>(value).count();
    Uint32(static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(millis, 0, UINT32_MAX)));
  }
  void Stream(const AgedStream& it) {
    Uint64(it.stream.key.value);
    Uint32(it.stream.customer.value());
    Uint32(it.stream.service.value());
    Uint32(it.stream.target.value());
    Int64(it.stream.incarnation);
    Uint64(it.stream.version.value());
    Time(it.age);
  }
  void Use(const VersionUse& it) {
    Uint32(it.service.value());
    Uint64(it.version.value());
    Time(it.age);
  }
  std::string Take() { return std::move(out_); }

 private:
  void Byte(std::uint8_t value) { out_.push_back(static_cast<char>(value)); }
  void Bytes(std::uint64_t value, int count) {
    for (int i = count - 1; i >= 0; --i) {
      Byte(static_cast<std::uint8_t>(value >> (8 * i)));
    }
  }
  std::string out_;
};

// Reads return zero once something unexpected was read.
class Reader {
 public:
  explicit Reader(std::string_view bytes) : rest_(bytes) {}
  std::size_t ArraySize() { return Bytes(kArray16, 2); }
  std::uint8_t Fixint() {
    const auto value = static_cast<std::uint8_t>(Raw(1));
    is_valid_ = is_valid_ && value <= kMaxFixint;
    return is_valid_ ? value : 0;
  }
  std::uint32_t Uint32() {
    return static_cast<std::uint32_t>(Bytes(kUint32, 4));
  }
  std::uint64_t Uint64() { return Bytes(kUint64, 8); }
  std::int64_t Int64() { return static_cast<std::int64_t>(Bytes(kInt64, 8)); }
  Duration Time() { return milliseconds(Uint32()); }
  AgedStream Stream() {
    AgedStream it;
    it.stream.key = {Uint64()};
    it.stream.customer = CustomerId(Uint32());
    it.stream.service = ServiceId(Uint32());
    it.stream.target = TargetId(Uint32());
    it.stream.incarnation = Int64();
    it.stream.version = VersionId(Uint64());
    it.age = Time();
    return it;
  }
  VersionUse Use() {
    VersionUse it;
    it.service = ServiceId(Uint32());
    it.version = VersionId(Uint64());
    it.age = Time();
    return it;
  }
  // Whether all reads succeeded and all bytes were read.
  bool is_complete() const { return is_valid_ && rest_.empty(); }
  bool is_valid() const { return is_valid_; }

 private:
  std::uint64_t Raw(std::size_t count) {
    if (!is_valid_ || rest_.size() < count) {
      is_valid_ = false;
      return 0;
    }
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < count; ++i) {
      value = (value << 8) | static_cast<std::uint8_t>(rest_[i]);
    }
    rest_.remove_prefix(count);
    return value;
  }
  std::uint64_t Bytes(std::uint8_t marker, std::size_t count) {
    is_valid_ = is_valid_ && Raw(1) == marker;
    return Raw(count);
  }
  std::string_view rest_;
  bool is_valid_ = true;
};

std::string Encode(const StreamMessage& message, const StreamBatch& batch) {
  Writer out(message, kFieldsPerStream * batch.streams.size());
  for (const AgedStream& it : batch.streams) {
    out.Stream(it);
  }
  return out.Take();
}

std::string Encode(const StreamMessage& message, const OriginRequest& request) {
  Writer out(message, 5);
  out.Uint32(request.request_id);
  out.Uint64(request.key.value);
  out.Uint32(request.service.value());
  out.Time(request.max_age);
  out.Uint64(request.run_key.value);
  return out.Take();
}

std::string Encode(const StreamMessage& message, const OriginReply& reply) {
  Writer out(message,
             kFieldsPerOriginReply + (reply.stream ? kFieldsPerStream : 0));
  out.Uint32(reply.request_id);
  out.Flag(reply.is_conflict);
  out.Uint64(reply.only_version.value());
  out.Time(reply.only_version_age);
  if (reply.stream) {
    out.Stream(*reply.stream);
  }
  return out.Take();
}

std::string Encode(const StreamMessage& message,
                   const HistoryRequest& request) {
  Writer out(message, 1);
  out.Uint32(request.request_id);
  return out.Take();
}

std::string Encode(const StreamMessage& message, const HistoryReply& reply) {
  Writer out(message, 2 + kFieldsPerUse * reply.uses.size());
  out.Uint32(reply.request_id);
  out.Time(reply.coverage);
  for (const VersionUse& it : reply.uses) {
    out.Use(it);
  }
  return out.Take();
}

std::string Encode(const StreamMessage& message, const HeldPartBatch& batch) {
  Writer out(message, 1 + kFieldsPerPart * batch.parts.size());
  out.Uint64(batch.version.value());
  for (const HeldPartRecord& it : batch.parts) {
    out.Uint64(it.key.value);
    out.Int64(it.tokens);
  }
  return out.Take();
}

std::string Encode(const StreamMessage& message,
                   const HeldPartRequest& request) {
  Writer out(message, 2);
  out.Uint32(request.request_id);
  out.Uint64(request.key.value);
  return out.Take();
}

std::string Encode(const StreamMessage& message, const HeldPartReply& reply) {
  Writer out(message, kFieldsPerHeldPartReply +
                          kFieldsPerHolder * reply.holders.by_version.size());
  out.Uint32(reply.request_id);
  out.Uint64(reply.key.value);
  out.Flag(reply.holders.is_incomplete);
  for (const PartHolder& it : reply.holders.by_version) {
    out.Uint64(it.version.value());
    out.Int64(it.tokens);
  }
  return out.Take();
}

// Each decodes the `fields` elements that follow the header.
StreamMessage DecodeBatch(Reader& in, std::size_t fields) {
  StreamBatch batch;
  for (std::size_t i = 0; i + kFieldsPerStream <= fields && in.is_valid();
       i += kFieldsPerStream) {
    batch.streams.push_back(in.Stream());
  }
  return batch;
}

StreamMessage DecodeOriginReply(Reader& in, std::size_t fields) {
  OriginReply reply;
  reply.request_id = in.Uint32();
  reply.is_conflict = in.Fixint() != 0;
  reply.only_version = VersionId(in.Uint64());
  reply.only_version_age = in.Time();
  if (fields > kFieldsPerOriginReply) {
    reply.stream = in.Stream();
  }
  return reply;
}

StreamMessage DecodeHistoryReply(Reader& in, std::size_t fields) {
  HistoryReply reply;
  reply.request_id = in.Uint32();
  reply.coverage = in.Time();
  for (std::size_t i = 2; i + kFieldsPerUse <= fields && in.is_valid();
       i += kFieldsPerUse) {
    reply.uses.push_back(in.Use());
  }
  return reply;
}

StreamMessage DecodeHeldPartBatch(Reader& in, std::size_t fields) {
  HeldPartBatch batch;
  batch.version = VersionId(in.Uint64());
  for (std::size_t i = 1; i + kFieldsPerPart <= fields && in.is_valid();
       i += kFieldsPerPart) {
    const StreamKey key = {in.Uint64()};
    batch.parts.push_back({key, in.Int64()});
  }
  return batch;
}

StreamMessage DecodeHeldPartReply(Reader& in, std::size_t fields) {
  HeldPartReply reply;
  reply.request_id = in.Uint32();
  reply.key = {in.Uint64()};
  reply.holders.is_incomplete = in.Fixint() != 0;
  for (std::size_t i = kFieldsPerHeldPartReply;
       i + kFieldsPerHolder <= fields && in.is_valid(); i += kFieldsPerHolder) {
    const VersionId version(in.Uint64());
    reply.holders.by_version.push_back({version, in.Int64()});
  }
  return reply;
}

StreamMessage DecodeFields(Reader& in, std::uint8_t kind, std::size_t fields) {
  switch (kind) {
    case 0:
      return DecodeBatch(in, fields);
    case 1: {
      OriginRequest request;
      request.request_id = in.Uint32();
      request.key = {in.Uint64()};
      request.service = ServiceId(in.Uint32());
      request.max_age = in.Time();
      request.run_key = {in.Uint64()};
      return request;
    }
    case 2:
      return DecodeOriginReply(in, fields);
    case 3:
      return HistoryRequest{in.Uint32()};
    case 4:
      return DecodeHistoryReply(in, fields);
    case 5:
      return DecodeHeldPartBatch(in, fields);
    case 6: {
      HeldPartRequest request;
      request.request_id = in.Uint32();
      request.key = {in.Uint64()};
      return request;
    }
    default:
      return DecodeHeldPartReply(in, fields);
  }
}

}  // namespace

bool IsStreamMessage(std::string_view bytes) {
  Reader in(bytes);
  in.ArraySize();
  return in.Fixint() == kMessageTag;
}

std::string EncodeStreamMessage(const StreamMessage& message) {
  return std::visit([&](const auto& it) { return Encode(message, it); },
                    message);
}

absl::StatusOr<StreamMessage> DecodeStreamMessage(std::string_view bytes) {
  Reader in(bytes);
  const std::size_t fields = in.ArraySize();
  const bool is_known =
      in.Fixint() == kMessageTag && in.Fixint() == kFormatVersion;
  const std::uint8_t kind = in.Fixint();
  if (!is_known || !in.is_valid() || kind >= kKindCount ||
      fields < kHeaderFields) {
    return absl::InvalidArgumentError(
        "not a stream message, or one of another format version");
  }
  StreamMessage message = DecodeFields(in, kind, fields - kHeaderFields);
  // Only what an encoder would write is valid, so the number of elements too.
  if (!in.is_complete() || EncodeStreamMessage(message) != bytes) {
    return absl::InvalidArgumentError("malformed stream message");
  }
  return message;
}

std::string_view KindOf(const StreamMessage& message) {
  constexpr std::string_view kKinds[kKindCount] = {
      "streams",           "origin_request", "origin_reply",
      "history_request",   "history_reply",  "held_parts",
      "held_part_request", "held_part_reply"};
  return kKinds[message.index()];
}

}  // namespace corianderpost
