#include "peers/stream_message.h"

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>
#include <random>

#include "peers/peer_report.h"

namespace corianderpost {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

AgedStream MakeStream(std::uint64_t key) {
  return {{{key},
           CustomerId::FromName("club"),
           ServiceId::FromName("chat"),
           TargetId::FromName("t"),
           1'790'000'000'123,
           VersionId::FromName("1.0")},
          milliseconds(1250)};
}

std::vector<StreamMessage> MakeMessages() {
  return {
      StreamBatch{{MakeStream(1), MakeStream(UINT64_MAX)}},
      StreamBatch{},
      OriginRequest{4, {77}, ServiceId::FromName("chat"), seconds(30), {78}},
      OriginReply{5, false, VersionId(), Duration(0), std::nullopt},
      OriginReply{6, true, VersionId::FromName("1.0"), seconds(9),
                  MakeStream(3)},
      HistoryRequest{7},
      HistoryReply{8,
                   seconds(61),
                   {{ServiceId::FromName("chat"), VersionId(), seconds(1)},
                    {ServiceId::FromName("chat"), VersionId(9), Duration(0)}}},
      HeldPartBatch{VersionId::FromName("1.0"), {{{1}, 0}, {{2}, 39'600}}},
      HeldPartBatch{},
      HeldPartRequest{9, {77}},
      HeldPartReply{10, {77}, {}},
      HeldPartReply{11, {77}, {{{VersionId::FromName("1.0"), 512}}, false}},
      HeldPartReply{12, {77}, {{{VersionId(), 512}, {VersionId(9), 3}}, true}}};
}

TEST_CASE("A decoded stream message equals the encoded one") {
  for (const StreamMessage& it : MakeMessages()) {
    INFO("kind ", KindOf(it));
    const std::string bytes = EncodeStreamMessage(it);
    CHECK(IsStreamMessage(bytes));
    const auto decoded = DecodeStreamMessage(bytes);
    REQUIRE(decoded.ok());
    CHECK(*decoded == it);
  }
}

TEST_CASE("Stream messages are MessagePack arrays that are no peer reports") {
  for (const StreamMessage& it : MakeMessages()) {
    INFO("kind ", KindOf(it));
    const std::string bytes = EncodeStreamMessage(it);
    const auto json =
        nlohmann::json::from_msgpack(bytes.begin(), bytes.end(), true, false);
    REQUIRE(json.is_array());
    CHECK(json.at(0) == 83);
    CHECK(json.at(2) == it.index());
    CHECK_FALSE(DecodeReport(bytes).ok());
  }
}

TEST_CASE("A peer report is no stream message") {
  const std::string bytes = EncodeReport(PeerReport());
  CHECK_FALSE(IsStreamMessage(bytes));
  CHECK_FALSE(DecodeStreamMessage(bytes).ok());
}

TEST_CASE("A full batch fits into one packet") {
  StreamBatch batch;
  batch.streams.assign(kMaxStreamsPerBatch, MakeStream(1));
  CHECK(EncodeStreamMessage(batch).size() <= 1400);
}

TEST_CASE("A full batch of held parts fits into one packet") {
  HeldPartBatch batch;
  batch.parts.assign(kMaxPartsPerBatch, {{UINT64_MAX}, INT64_MAX});
  CHECK(EncodeStreamMessage(batch).size() <= 1400);
}

TEST_CASE("Truncated and extended stream messages are rejected") {
  for (const StreamMessage& it : MakeMessages()) {
    INFO("kind ", KindOf(it));
    const std::string bytes = EncodeStreamMessage(it);
    for (std::size_t n = 0; n < bytes.size(); ++n) {
      INFO("bytes ", n);
      CHECK_FALSE(DecodeStreamMessage(bytes.substr(0, n)).ok());
    }
    CHECK_FALSE(DecodeStreamMessage(bytes + '\0').ok());
    CHECK_FALSE(DecodeStreamMessage(bytes + bytes).ok());
  }
}

TEST_CASE("A stream message with another number of elements is rejected") {
  std::string bytes = EncodeStreamMessage(HistoryRequest{7});
  bytes[2] = 5;
  CHECK_FALSE(DecodeStreamMessage(bytes).ok());
}

TEST_CASE("A stream message of another format version is rejected") {
  std::string bytes = EncodeStreamMessage(HistoryRequest{7});
  bytes[4] = 2;
  CHECK(IsStreamMessage(bytes));
  CHECK_FALSE(DecodeStreamMessage(bytes).ok());
}

TEST_CASE("Corrupted stream messages are rejected or decode to a message") {
  for (std::uint64_t seed = 1; seed <= 500; ++seed) {
    INFO("seed ", seed);
    std::mt19937_64 random(seed);
    const std::vector<StreamMessage> messages = MakeMessages();
    std::string bytes =
        EncodeStreamMessage(messages[random() % messages.size()]);
    for (std::uint64_t i = 0; i <= random() % 4; ++i) {
      bytes[random() % bytes.size()] = static_cast<char>(random());
    }
    const auto decoded = DecodeStreamMessage(bytes);
    if (decoded.ok()) {
      CHECK(EncodeStreamMessage(*decoded) == bytes);
    }
  }
}

TEST_CASE("Deep nesting is rejected") {
  std::string bytes(60'000, static_cast<char>(0x91));
  CHECK_FALSE(IsStreamMessage(bytes));
  CHECK_FALSE(DecodeStreamMessage(bytes).ok());
  bytes.replace(0, 5, EncodeStreamMessage(HistoryRequest{7}).substr(0, 5));
  CHECK_FALSE(DecodeStreamMessage(bytes).ok());
}

}  // namespace
}  // namespace corianderpost
