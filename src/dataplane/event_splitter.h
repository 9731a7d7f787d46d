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
  // Returns the events that `piece` completes, in order.
  std::vector<StreamEvent> Take(std::string_view piece);
  // True if bytes of an unfinished event are held.
  bool HasRest() const { return !rest_.empty(); }
  std::size_t rest_size() const { return rest_.size(); }

 private:
  std::string rest_;
};

// Returns the number if the id is one.
std::optional<std::int64_t> EventNumber(std::string_view id);

}  // namespace corianderpost

#endif  // CORIANDERPOST_DATAPLANE_EVENT_SPLITTER_H_
