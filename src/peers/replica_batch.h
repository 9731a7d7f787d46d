// The form in which routers copy their store replicas from each other: binary,
// with deltas of large values.
#ifndef CORIANDERPOST_PEERS_REPLICA_BATCH_H_
#define CORIANDERPOST_PEERS_REPLICA_BATCH_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "model/store_batch.h"
#include "peers/store_replica.h"

namespace corianderpost {

// Encodes the changes of `replica` after the position `after` as MessagePack,
// or a snapshot if that is of another era. `bases` are hashes of large values
// that the receiver has, `outage_effects` is as in `StoreBatch`. Not
// thread-safe with changes of the replica.
std::string EncodeReplicaBatch(const StoreReplica& replica,
                               const StorePosition& after,
                               const std::vector<std::uint64_t>& bases,
                               Duration outage_effects);

// Decodes a batch, and builds values from deltas and the values of `replica`,
// the receiver's own. Returns FailedPreconditionError if the replica no longer
// has a delta's base, and InvalidArgumentError if `bytes` are malformed.
absl::StatusOr<StoreBatch> DecodeReplicaBatch(std::string_view bytes,
                                              const StoreReplica& replica);

}  // namespace corianderpost

#endif  // CORIANDERPOST_PEERS_REPLICA_BATCH_H_
