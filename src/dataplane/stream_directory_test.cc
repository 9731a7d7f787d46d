#include "dataplane/stream_directory.h"

#include <doctest/doctest.h>

#include <set>
#include <string>

namespace corianderpost {
namespace {

const CustomerId kCustomer = CustomerId::FromName("club");

TEST_CASE("A query names the stream, its run and the prompt's last part") {
  const StreamQuery query =
      StreamQuery::Of(kCustomer, "r", {{1, 4000}, {2, 100}});
  CHECK(query.key == StreamKey::Of(kCustomer, "r"));
  CHECK(query.run_key == StreamKey::OfRun("r"));
  CHECK(query.own_part == PromptPart{2, 100});
}

TEST_CASE("A query without a request id names nothing") {
  CHECK(StreamQuery::Of(kCustomer, "", {{1, 4000}, {2, 100}}) == StreamQuery());
}

TEST_CASE("A query without a prompt names no part") {
  const StreamQuery query = StreamQuery::Of(kCustomer, "r", {});
  CHECK(query.key == StreamKey::Of(kCustomer, "r"));
  CHECK(query.own_part == std::nullopt);
}

TEST_CASE("A query whose last part has no id names no part") {
  CHECK(StreamQuery::Of(kCustomer, "r", {{1, 4000}, {0, 100}}).own_part ==
        std::nullopt);
}

TEST_CASE(
    "A last part without a token count, which all have read, names none") {
  CHECK(StreamQuery::Of(kCustomer, "r", {{1, 4000}, {2, 0}}).own_part ==
        std::nullopt);
}

TEST_CASE("The keys of a stream, its run and a part of one name differ") {
  const ServiceId service = ServiceId::FromName("chat");
  const std::set<StreamKey> keys = {
      StreamKey::Of(kCustomer, "12345678"),
      StreamKey::Of(CustomerId(), "12345678"), StreamKey::OfRun("12345678"),
      // The bytes of "12345678".
      StreamKey::OfPart(service, 0x3837363534333231),
      StreamKey::OfPart(ServiceId(), 0x3837363534333231)};
  CHECK(keys.size() == 5);
}

TEST_CASE(
    "Evidence that is a record or a run of the stream is the customer's") {
  for (const OriginEvidence it :
       {OriginEvidence::kLocalRecord, OriginEvidence::kPeerRecord,
        OriginEvidence::kTargetRun}) {
    INFO("evidence ", ToString(it));
    CHECK(ShowsBegunRequest(it));
  }
}

TEST_CASE("Evidence that any caller can claim is not the customer's") {
  for (const OriginEvidence it :
       {OriginEvidence::kOnlyVersion, OriginEvidence::kHeldPart}) {
    INFO("evidence ", ToString(it));
    CHECK_FALSE(ShowsBegunRequest(it));
  }
}

TEST_CASE("Each evidence has a name of its own") {
  std::set<std::string> names;
  for (const OriginEvidence it :
       {OriginEvidence::kNone, OriginEvidence::kConflict,
        OriginEvidence::kLocalRecord, OriginEvidence::kPeerRecord,
        OriginEvidence::kTargetRun, OriginEvidence::kOnlyVersion,
        OriginEvidence::kHeldPart}) {
    names.insert(std::string(ToString(it)));
  }
  CHECK(names.size() == 7);
  CHECK_FALSE(names.contains("unknown"));
}

}  // namespace
}  // namespace corianderpost
