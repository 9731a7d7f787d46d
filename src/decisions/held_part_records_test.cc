#include "decisions/held_part_records.h"

#include <doctest/doctest.h>

#include "decisions/stream_records.h"

namespace corianderpost {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const VersionId kOld = VersionId::FromName("1.0");
const VersionId kNew = VersionId::FromName("1.1");
const TimePoint kStart = TimePoint() + seconds(1000);
constexpr StreamKey kKey = {7};

// Returns the version that wrote the stream of `kKey`, if one is named.
VersionId WriterIn(const HeldPartRecords& records, std::int64_t min_tokens,
                   TimePoint now = kStart) {
  return WriterOf(records.Find(now, kKey), min_tokens).version;
}

TEST_CASE("A part with more tokens than the prompt names the writer") {
  CHECK(WriterOf({{{kOld, 101}}}, 101) == PartWriter{kOld, false});
}

TEST_CASE("A part that was only read names no writer") {
  CHECK(WriterOf({{{kOld, 100}}}, 101) == PartWriter{});
  CHECK(WriterOf({}, 101) == PartWriter{});
}

TEST_CASE("A part that two versions made events of names no writer") {
  HeldPartRecords records(8);
  records.Add(kStart, kKey, {kOld, 150});
  records.Add(kStart, kKey, {kNew, 101});
  CHECK(WriterOf(records.Find(kStart, kKey), 101) ==
        PartWriter{VersionId(), true});
}

TEST_CASE("A version that only read a part does not hide its writer") {
  HeldPartRecords records(8);
  records.Add(kStart, kKey, {kNew, 100});
  records.Add(kStart, kKey, {kOld, 150});
  CHECK(WriterIn(records, 101) == kOld);
}

TEST_CASE("A version with fewer events than the caller got is no writer") {
  HeldPartRecords records(8);
  records.Add(kStart, kKey, {kOld, 105});
  CHECK(WriterIn(records, 105) == kOld);
  CHECK_FALSE(WriterIn(records, 106).is_known());
}

TEST_CASE("A part at a target of an unknown version names no writer") {
  HeldPartRecords records(8);
  records.Add(kStart, kKey, {VersionId(), 150});
  CHECK(WriterOf(records.Find(kStart, kKey), 101) ==
        PartWriter{VersionId(), true});
  records.Add(kStart, kKey, {kOld, 150});
  CHECK_FALSE(WriterIn(records, 101).is_known());
}

TEST_CASE("Holders of one version merge to the most tokens") {
  HeldPartRecords records(8);
  records.Add(kStart, kKey, {kOld, 100});
  records.Add(kStart, kKey, {kOld, 112});
  records.Add(kStart, kKey, {kOld, 96});
  CHECK(records.Find(kStart, kKey) == PartHolders{{{kOld, 112}}});
}

TEST_CASE("Holders merge to the same in any order") {
  const PartHolders a = {{{kOld, 150}}};
  const PartHolders b = {{{kNew, 100}}};
  const PartHolders c = {{{VersionId(), 7}}, true};
  CHECK(Merge(Merge(a, b), c) == Merge(c, Merge(b, a)));
  CHECK(Merge(a, a) == a);
}

TEST_CASE("Holders of too many versions name no writer") {
  PartHolders holders;
  for (std::uint64_t i = 1; i <= kMaxPartHolders + 1; ++i) {
    holders = Merge(holders, {{{VersionId(i), 10}}});
  }
  holders = Merge(holders, {{{VersionId(1), 150}}});
  CHECK(WriterOf(holders, 101) == PartWriter{});
}

TEST_CASE("A held part is forgotten when its stream can't be resumed") {
  HeldPartRecords records(8);
  records.Add(kStart, kKey, {kOld, 150});
  CHECK(WriterIn(records, 101, kStart + kStreamRetention - milliseconds(1))
            .is_known());
  CHECK_FALSE(WriterIn(records, 101, kStart + kStreamRetention).is_known());
  // What has expired is no conflict for what is newer.
  records.Add(kStart + kStreamRetention, kKey, {kNew, 150});
  CHECK(WriterIn(records, 101, kStart + kStreamRetention) == kNew);
  records.Expire(kStart + 2 * kStreamRetention);
  CHECK(records.size() == 0);
}

TEST_CASE("A full table names no writer, since a conflict may be missing") {
  HeldPartRecords records(1);
  records.Add(kStart, kKey, {kOld, 150});
  CHECK(WriterIn(records, 101) == kOld);
  records.Add(kStart + seconds(1), {8}, {kNew, 150});
  CHECK_FALSE(WriterIn(records, 101, kStart + seconds(1)).is_known());
  CHECK(records.Find(kStart + seconds(1), {8}).is_incomplete);
}

}  // namespace
}  // namespace corianderpost
