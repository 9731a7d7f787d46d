// Counts rejected requests by reason and customer between two log lines.
#ifndef CORIANDERPOST_DATAPLANE_REJECTION_TALLY_H_
#define CORIANDERPOST_DATAPLANE_REJECTION_TALLY_H_

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace corianderpost {

// Counts requests that the router answered with 503 itself. Unlike a log line
// per request, its cost is bounded by the number of customers. Not thread-safe.
class RejectionTally {
 public:
  struct Key {
    std::string reason;
    // Empty if the request has no customer.
    std::string customer;
    friend auto operator<=>(const Key&, const Key&) = default;
  };
  using Counts = std::map<Key, std::uint64_t>;

  void Add(std::string_view reason, std::string_view customer) {
    ++counts_[{std::string(reason), std::string(customer)}];
  }
  // Returns the counts since the last call.
  Counts Take() { return std::exchange(counts_, {}); }

 private:
  Counts counts_;
};

}  // namespace corianderpost

#endif  // CORIANDERPOST_DATAPLANE_REJECTION_TALLY_H_
