// Server-sent events, split into whole events.
#ifndef CORIANDERPOST_INTERNAL_SSE_H_
#define CORIANDERPOST_INTERNAL_SSE_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace corianderpost::internal {

// Whole events out of a stream that arrives in arbitrary pieces.
struct SseBatch {
  std::string text;
  // Events in `text`, without the closing one.
  std::uint32_t events = 0;
};

// Keeps the rest of an event until it is whole, so that a cut stream never
// passes on a part of one. Not thread-safe.
class SseSplitter {
 public:
  // Returns the events that `piece` completes.
  SseBatch Take(std::string_view piece);
  // True once the closing "[DONE]" event came.
  bool is_done() const { return is_done_; }

 private:
  std::string rest_;
  bool is_done_ = false;
};

}  // namespace corianderpost::internal

#endif  // CORIANDERPOST_INTERNAL_SSE_H_
