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

TEST_CASE("A part with more tokens than the prompt names the writer") {
  CHECK(WriterOf({kOld, 101, false}, 100) == kOld);
}

TEST_CASE("A part that was only read names no writer") {
  CHECK(WriterOf({kOld, 100, false}, 100) == std::nullopt);
  CHECK(WriterOf({kOld, 96, false}, 100) == std::nullopt);
}

TEST_CASE("A part that two versions hold names no writer") {
  HeldPartRecords records(8);
  records.Add(kStart, kKey, {kOld, 150, false});
  records.Add(kStart, kKey, {kNew, 100, false});
  CHECK(records.Find(kStart, kKey)->is_conflict);
  CHECK(WriterOf(*records.Find(kStart, kKey), 100) == std::nullopt);
}

TEST_CASE("A part at a target of an unknown version names no writer") {
  HeldPartRecords records(8);
  records.Add(kStart, kKey, {VersionId(), 150, false});
  CHECK(WriterOf(*records.Find(kStart, kKey), 100) == std::nullopt);
  records.Add(kStart, kKey, {kOld, 150, false});
  CHECK(records.Find(kStart, kKey)->is_conflict);
}

TEST_CASE("Holders of one version merge to the most tokens") {
  HeldPartRecords records(8);
  records.Add(kStart, kKey, {kOld, 100, false});
  records.Add(kStart, kKey, {kOld, 112, false});
  records.Add(kStart, kKey, {kOld, 96, false});
  CHECK(records.Find(kStart, kKey) == PartHolder{kOld, 112, false});
}

TEST_CASE("A held part is forgotten when its stream can't be resumed") {
  HeldPartRecords records(8);
  records.Add(kStart, kKey, {kOld, 150, false});
  CHECK(records.Find(kStart + kStreamRetention - milliseconds(1), kKey));
  CHECK_FALSE(records.Find(kStart + kStreamRetention, kKey));
  // What has expired is no conflict for what is newer.
  records.Add(kStart + kStreamRetention, kKey, {kNew, 150, false});
  CHECK(records.Find(kStart + kStreamRetention, kKey) ==
        PartHolder{kNew, 150, false});
  records.Expire(kStart + 2 * kStreamRetention);
  CHECK(records.size() == 0);
}

TEST_CASE("A full table names no writer, since a conflict may be missing") {
  HeldPartRecords records(1);
  records.Add(kStart, kKey, {kOld, 150, false});
  CHECK(WriterOf(*records.Find(kStart, kKey), 100) == kOld);
  records.Add(kStart + seconds(1), {8}, {kNew, 150, false});
  CHECK(records.Find(kStart + seconds(1), kKey)->is_conflict);
  CHECK(records.Find(kStart + seconds(1), {8})->is_conflict);
}

}  // namespace
}  // namespace corianderpost
