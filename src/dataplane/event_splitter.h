// Splits a stream of server-sent events into single events.
#ifndef CORIANDERPOST_DATAPLANE_EVENT_SPLITTER_H_
#define CORIANDERPOST_DATAPLANE_EVENT_SPLITTER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace corianderpost {

struct StreamEvent {
  // Text of the event, including the empty line that ends it.
  std::string text;
  // Value of the id field; empty if there is none.
  std::string id;
};

// Splits a body that arrives in arbitrary parts. Buffers an incomplete event
// until the rest of it arrives, so that callers receive complete events only.
// Not thread-safe.
class EventSplitter {
 public:
  // Appends `data` to the buffered input. Returns the events that are now
  // complete, in order.
  std::vector<StreamEvent> Feed(std::string_view data);
  // True if part of an incomplete event is buffered.
  bool HasPartialEvent() const { return !partial_.empty(); }
  // Size of the incomplete event in bytes.
  std::size_t partial_size() const { return partial_.size(); }

 private:
  std::string partial_;
};

// Returns whether an event consists of comments and empty lines only, such as
// those that keep a connection open.
bool IsComment(const StreamEvent& event);

// Parses an event id that is a decimal integer; nullopt for any other id.
std::optional<std::int64_t> ParseEventNumber(std::string_view id);

}  // namespace corianderpost

#endif  // CORIANDERPOST_DATAPLANE_EVENT_SPLITTER_H_
