#include "decisions/stream_records.h"

#include <doctest/doctest.h>

#include <random>
#include <string>

namespace corianderpost {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart(seconds(100));
const CustomerId kCustomer = CustomerId::FromName("club");
const ServiceId kService = ServiceId::FromName("chat");
const VersionId kOld = VersionId::FromName("1.0");
const VersionId kNew = VersionId::FromName("1.1");

BegunStream MakeStream(const std::string& request_id, VersionId version,
                       CustomerId customer = kCustomer) {
  return {StreamKey::Of(customer, request_id),
          customer,
          kService,
          TargetId::FromName("t"),
          7,
          version};
}

TEST_CASE("A record is found until it expires") {
  StreamRecords records(10);
  const BegunStream stream = MakeStream("r", kOld);
  records.Add(stream, kStart);
  const StreamRecord* record = records.Find(kStart, stream.key);
  REQUIRE(record != nullptr);
  CHECK(record->stream == stream);
  CHECK(records.Find(kStart + kStreamRetention - milliseconds(1), stream.key) !=
        nullptr);
  CHECK(records.Find(kStart + kStreamRetention, stream.key) == nullptr);
  records.Expire(kStart + kStreamRetention);
  CHECK(records.size() == 0);
  CHECK(records.eviction_count() == 0);
}

TEST_CASE("A repeated record keeps the first run and lasts longer") {
  StreamRecords records(10);
  BegunStream stream = MakeStream("r", kOld);
  records.Add(stream, kStart);
  BegunStream repeated = stream;
  repeated.incarnation = 8;
  records.Add(repeated, kStart + seconds(5));
  const StreamRecord* record =
      records.Find(kStart + kStreamRetention + seconds(4), stream.key);
  REQUIRE(record != nullptr);
  CHECK_FALSE(record->is_conflict);
  CHECK(record->stream == stream);
  CHECK(record->begun_at == kStart);
}

TEST_CASE("Records of one key conflict if the version differs") {
  StreamRecords records(10);
  const BegunStream stream = MakeStream("r", kOld);
  records.Add(stream, kStart);
  records.Add(MakeStream("r", kNew), kStart + seconds(1));
  records.Add(stream, kStart + seconds(2));
  const StreamRecord* record = records.Find(kStart + seconds(2), stream.key);
  REQUIRE(record != nullptr);
  CHECK(record->is_conflict);
}

TEST_CASE("Records of one key conflict if the service differs") {
  StreamRecords records(10);
  BegunStream stream = MakeStream("r", kOld);
  records.Add(stream, kStart);
  stream.service = ServiceId::FromName("embed");
  records.Add(stream, kStart);
  REQUIRE(records.Find(kStart, stream.key) != nullptr);
  CHECK(records.Find(kStart, stream.key)->is_conflict);
}

TEST_CASE("Records of one key conflict if the versions are unknown") {
  StreamRecords records(10);
  const BegunStream stream = MakeStream("r", VersionId());
  records.Add(stream, kStart);
  records.Add(stream, kStart);
  REQUIRE(records.Find(kStart, stream.key) != nullptr);
  CHECK(records.Find(kStart, stream.key)->is_conflict);
}

TEST_CASE("The streams of two customers with one request id are separate") {
  StreamRecords records(10);
  const CustomerId other = CustomerId::FromName("guild");
  const BegunStream a = MakeStream("r", kOld);
  const BegunStream b = MakeStream("r", kNew, other);
  records.Add(a, kStart);
  records.Add(b, kStart);
  REQUIRE(records.Find(kStart, a.key) != nullptr);
  REQUIRE(records.Find(kStart, b.key) != nullptr);
  CHECK(records.Find(kStart, a.key)->stream == a);
  CHECK(records.Find(kStart, b.key)->stream == b);
}

TEST_CASE("A customer with many streams evicts only its own records") {
  constexpr std::size_t kMaxRecords = 100;
  StreamRecords records(kMaxRecords);
  const CustomerId busy = CustomerId::FromName("busy");
  for (int i = 0; i < 30; ++i) {
    records.Add(MakeStream(std::to_string(i), kOld), kStart);
  }
  for (int i = 0; i < 10'000; ++i) {
    records.Add(MakeStream(std::to_string(i), kNew, busy),
                kStart + milliseconds(i));
  }
  CHECK(records.size() == kMaxRecords);
  CHECK(records.eviction_count() == 10'030 - kMaxRecords);
  for (int i = 0; i < 30; ++i) {
    INFO("stream ", i);
    CHECK(records.Find(kStart, StreamKey::Of(kCustomer, std::to_string(i))) !=
          nullptr);
  }
  CHECK(records.Find(kStart, StreamKey::Of(busy, "9999")) != nullptr);
  CHECK(records.Find(kStart, StreamKey::Of(busy, "9000")) == nullptr);
}

TEST_CASE("Customers with equally many records replace their own") {
  StreamRecords records(4);
  const CustomerId other = CustomerId::FromName("guild");
  for (const char* it : {"a", "b"}) {
    records.Add(MakeStream(it, kOld), kStart);
    records.Add(MakeStream(it, kOld, other), kStart);
  }
  records.Add(MakeStream("c", kOld), kStart + seconds(1));
  CHECK(records.Find(kStart, StreamKey::Of(other, "a")) != nullptr);
  CHECK(records.Find(kStart, StreamKey::Of(other, "b")) != nullptr);
  CHECK(records.Find(kStart, StreamKey::Of(kCustomer, "c")) != nullptr);
}

TEST_CASE("Random additions stay within the bound and expire") {
  constexpr std::size_t kMaxRecords = 50;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    INFO("seed ", seed);
    std::mt19937_64 random(seed);
    StreamRecords records(kMaxRecords);
    TimePoint now = kStart;
    for (int i = 0; i < 2000; ++i) {
      now += milliseconds(random() % 400);
      records.Add(
          MakeStream(std::to_string(random() % 300),
                     random() % 2 == 0 ? kOld : kNew, CustomerId(random() % 7)),
          now - milliseconds(random() % 60'000));
      if (random() % 10 == 0) {
        records.Expire(now);
      }
      REQUIRE(records.size() <= kMaxRecords);
    }
    records.Expire(now + 2 * kStreamRetention);
    CHECK(records.size() == 0);
  }
}

}  // namespace
}  // namespace corianderpost
