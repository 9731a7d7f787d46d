// Server-sent events, cut out of a body that arrives in arbitrary pieces.
#ifndef CORIANDERPOST_DATAPLANE_EVENT_SPLITTER_H_
#define CORIANDERPOST_DATAPLANE_EVENT_SPLITTER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace corianderpost {

struct StreamEvent {
  // Text of the event with its closing empty line.
  std::string text;
  // Value of its id line; empty if it has none.
  std::string id;
};

// Keeps the rest of an event until it is whole, so that a part of an event is
// never passed on. Not thread-safe.
class EventSplitter {
 public:
  // Returns the events that `data` completes, in order.
  std::vector<StreamEvent> Feed(std::string_view data);
  // True if bytes of an unfinished event are held.
  bool HasPartialEvent() const { return !partial_.empty(); }
  std::size_t partial_size() const { return partial_.size(); }

 private:
  std::string partial_;
};

// Returns the number if the id is one.
std::optional<std::int64_t> ParseEventNumber(std::string_view id);

}  // namespace corianderpost

#endif  // CORIANDERPOST_DATAPLANE_EVENT_SPLITTER_H_
