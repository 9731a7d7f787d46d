#include "dataplane/event_splitter.h"

#include <charconv>

namespace corianderpost {
namespace {

std::string ParseEventId(std::string_view event) {
  while (!event.empty()) {
    const std::size_t end = event.find('\n');
    std::string_view line = event.substr(0, end);
    if (line.starts_with("id:")) {
      line.remove_prefix(3);
      if (line.starts_with(" ")) {
        line.remove_prefix(1);
      }
      if (line.ends_with("\r")) {
        line.remove_suffix(1);
      }
      return std::string(line);
    }
    event = end == std::string_view::npos ? std::string_view()
                                          : event.substr(end + 1);
  }
  return "";
}

}  // namespace

std::vector<StreamEvent> EventSplitter::Feed(std::string_view data) {
  // The empty line that ends an event may be split over two calls.
  std::size_t search_from = partial_.size() > 2 ? partial_.size() - 2 : 0;
  partial_.append(data);
  std::vector<StreamEvent> events;
  std::size_t event_begin = 0;
  while (true) {
    const std::size_t lf = partial_.find("\n\n", search_from);
    const std::size_t crlf = partial_.find("\n\r\n", search_from);
    if (lf == std::string::npos && crlf == std::string::npos) {
      break;
    }
    const std::size_t end = lf < crlf ? lf + 2 : crlf + 3;
    StreamEvent event;
    event.text = partial_.substr(event_begin, end - event_begin);
    event.id = ParseEventId(event.text);
    events.push_back(std::move(event));
    event_begin = end;
    search_from = end;
  }
  partial_.erase(0, event_begin);
  return events;
}

bool IsComment(const StreamEvent& event) {
  bool is_line_start = true;
  for (const char c : event.text) {
    if (is_line_start && c != ':' && c != '\n' && c != '\r') {
      return false;
    }
    is_line_start = c == '\n' || c == '\r';
  }
  return true;
}

std::optional<std::int64_t> ParseEventNumber(std::string_view id) {
  std::int64_t value = 0;
  const auto [end, ec] =
      std::from_chars(id.data(), id.data() + id.size(), value);
  if (ec != std::errc() || end != id.data() + id.size()) {
    return std::nullopt;
  }
  return value;
}

}  // namespace corianderpost
