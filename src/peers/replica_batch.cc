#include "peers/replica_batch.h"

#include <nlohmann/json.hpp>

#include "absl/status/status.h"
#include "peers/checked_fields.h"

namespace corianderpost {
namespace {

using Json = nlohmann::json;

// Names of the fields. Unknown ones are ignored, so that later versions can add
// more.
constexpr char kRevisionField[] = "revision";
constexpr char kSnapshotField[] = "snapshot";
constexpr char kEraField[] = "era";
constexpr char kItemsField[] = "items";
constexpr char kRetainedField[] = "retained";
// In milliseconds.
constexpr char kOutageEffectsField[] = "outage_effects";
// Fields of an item. One without value and without delta is a removal.
constexpr char kKeyField[] = "key";
constexpr char kValueField[] = "value";
constexpr char kDeltaField[] = "delta";
// Fields of a delta. A part is either bytes or an array of offset and size.
constexpr char kBaseField[] = "base";
constexpr char kResultField[] = "result";
constexpr char kPartsField[] = "parts";

Json ToBinary(std::string_view bytes) {
  return Json::binary(std::vector<std::uint8_t>(bytes.begin(), bytes.end()));
}

std::string FromBinary(const Json& json) {
  const auto& bytes = json.get_binary();
  return {bytes.begin(), bytes.end()};
}

Json EncodeDelta(const ValueDelta& delta) {
  Json parts = Json::array();
  for (const DeltaPart& it : delta.parts) {
    if (const auto* range = std::get_if<CopiedRange>(&it)) {
      parts.push_back({range->offset, range->size});
    } else {
      parts.push_back(ToBinary(std::get<std::string>(it)));
    }
  }
  return {{kBaseField, delta.base_hash},
          {kResultField, delta.result_hash},
          {kPartsField, std::move(parts)}};
}

ValueDelta DecodeDelta(const Json& json) {
  ValueDelta delta;
  delta.base_hash = UnsignedField(json.at(kBaseField));
  delta.result_hash = UnsignedField(json.at(kResultField));
  for (const Json& it : json.at(kPartsField)) {
    if (it.is_binary()) {
      delta.parts.emplace_back(FromBinary(it));
    } else {
      delta.parts.emplace_back(
          CopiedRange{UnsignedField(it.at(0)), UnsignedField(it.at(1))});
    }
  }
  return delta;
}

Json EncodeItem(const StoreItem& item, const StoreReplica& replica,
                const std::vector<std::uint64_t>& bases) {
  Json json = {{kKeyField, ToBinary(item.key)},
               {kRevisionField, item.revision}};
  if (item.is_removed) {
    return json;
  }
  if (const auto it = replica.histories().find(item.key);
      it != replica.histories().end()) {
    if (const auto delta = it->second.DeltaTo(item.value, bases)) {
      json[kDeltaField] = EncodeDelta(*delta);
      return json;
    }
  }
  json[kValueField] = ToBinary(item.value);
  return json;
}

absl::StatusOr<StoreItem> DecodeItem(const Json& json,
                                     const StoreReplica& replica) {
  StoreItem item;
  item.key = FromBinary(json.at(kKeyField));
  item.revision = UnsignedField(json.at(kRevisionField));
  if (json.contains(kValueField)) {
    item.value = FromBinary(json.at(kValueField));
    return item;
  }
  if (!json.contains(kDeltaField)) {
    item.is_removed = true;
    return item;
  }
  const auto base = replica.items().find(item.key);
  if (base == replica.items().end()) {
    return absl::FailedPreconditionError("no value for the delta of " +
                                         item.key);
  }
  auto value =
      ApplyDelta(base->second.value, DecodeDelta(json.at(kDeltaField)));
  if (!value.ok()) {
    return value.status();
  }
  item.value = *std::move(value);
  return item;
}

Json EncodeItems(const std::vector<StoreItem>& items,
                 const StoreReplica& replica,
                 const std::vector<std::uint64_t>& bases) {
  Json list = Json::array();
  for (const StoreItem& it : items) {
    list.push_back(EncodeItem(it, replica, bases));
  }
  return list;
}

absl::Status DecodeItems(const Json& list, const StoreReplica& replica,
                         std::vector<StoreItem>& items) {
  for (const Json& it : list) {
    auto item = DecodeItem(it, replica);
    if (!item.ok()) {
      return item.status();
    }
    items.push_back(*std::move(item));
  }
  return absl::OkStatus();
}

}  // namespace

std::string EncodeReplicaBatch(const StoreReplica& replica,
                               const StorePosition& after,
                               const std::vector<std::uint64_t>& bases,
                               Duration outage_effects) {
  const StoreBatch batch =
      replica.ChangesSince(after.era == replica.era() ? after.revision : 0);
  const std::vector<std::uint8_t> bytes = Json::to_msgpack(
      {{kRevisionField, batch.store_revision},
       {kEraField, batch.era},
       {kSnapshotField, batch.is_snapshot},
       {kItemsField, EncodeItems(batch.items, replica, bases)},
       {kRetainedField, EncodeItems(batch.retained, replica, bases)},
       {kOutageEffectsField,
        std::chrono::duration_cast<std::chrono::milliseconds>(outage_effects)
            .count()}});
  return {bytes.begin(), bytes.end()};
}

absl::StatusOr<StoreBatch> DecodeReplicaBatch(std::string_view bytes,
                                              const StoreReplica& replica) {
  const Json json = ParseMessagePack(bytes);
  if (!json.is_object()) {
    return absl::InvalidArgumentError("replica batch is not a MessagePack map");
  }
  try {
    StoreBatch batch;
    batch.store_revision = UnsignedField(json.at(kRevisionField));
    batch.era = UnsignedField(json.at(kEraField));
    batch.is_snapshot = json.at(kSnapshotField).get<bool>();
    batch.outage_effects = MillisecondsField(json.at(kOutageEffectsField));
    for (auto status :
         {DecodeItems(json.at(kItemsField), replica, batch.items),
          DecodeItems(json.at(kRetainedField), replica, batch.retained)}) {
      if (!status.ok()) {
        return status;
      }
    }
    return batch;
  } catch (const Json::exception& ex) {
    return absl::InvalidArgumentError(ex.what());
  } catch (const FieldError& ex) {
    return absl::InvalidArgumentError(ex.what());
  }
}

}  // namespace corianderpost
