#include "corianderpost/internal/sse.h"

namespace corianderpost::internal {
namespace {

constexpr std::string_view kEnd = "\n\n";
constexpr std::string_view kDone = "data: [DONE]";

}  // namespace

SseBatch SseSplitter::Take(std::string_view piece) {
  rest_ += piece;
  SseBatch batch;
  std::size_t begin = 0;
  for (std::size_t end = rest_.find(kEnd); end != std::string::npos;
       end = rest_.find(kEnd, begin)) {
    const std::string_view event(rest_.data() + begin, end - begin);
    if (event == kDone) {
      is_done_ = true;
    } else {
      ++batch.events;
    }
    begin = end + kEnd.size();
  }
  batch.text = rest_.substr(0, begin);
  rest_.erase(0, begin);
  return batch;
}

}  // namespace corianderpost::internal
