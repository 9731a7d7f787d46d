#include "fleet/engine_queue.h"

#include <algorithm>

namespace corianderpost::soak {

// Shared with timers and slots, which may outlive the queue.
struct EngineQueue::State : std::enable_shared_from_this<State> {
  State(boost::asio::io_context& loop, const EngineCapacity& limits)
      : capacity(limits), timer(loop) {}

  // Returns the tokens that are not cached, and caches the shared parts.
  std::int64_t Read(const std::vector<PromptPart>& prompt);
  // Reads the next prompt if there is one and a slot for it.
  void Continue(std::chrono::steady_clock::time_point from);

  struct CachedPart {
    std::int64_t tokens = 0;
    std::uint64_t last_use = 0;
  };
  const EngineCapacity capacity;
  boost::asio::steady_timer timer;
  std::deque<Request> waiting;
  std::size_t running = 0;
  bool is_reading = false;
  // By the ids of a part and of all parts before it.
  std::map<std::vector<std::uint64_t>, CachedPart> cache;
  std::int64_t cached_tokens = 0;
  std::uint64_t use_count = 0;
};

std::int64_t EngineQueue::State::Read(const std::vector<PromptPart>& prompt) {
  std::int64_t unread = 0;
  std::vector<std::uint64_t> path;
  for (std::size_t i = 0; i < prompt.size(); ++i) {
    if (i + 1 == prompt.size()) {
      unread += prompt[i].tokens;
      break;
    }
    path.push_back(prompt[i].id);
    CachedPart& part = cache[path];
    if (part.tokens == 0) {
      part.tokens = prompt[i].tokens;
      cached_tokens += part.tokens;
      unread += part.tokens;
    }
    part.last_use = ++use_count;
  }
  while (cached_tokens > capacity.cached_tokens) {
    const auto oldest = std::min_element(
        cache.begin(), cache.end(), [](const auto& a, const auto& b) {
          return a.second.last_use < b.second.last_use;
        });
    cached_tokens -= oldest->second.tokens;
    cache.erase(oldest);
  }
  return unread;
}

void EngineQueue::State::Continue(std::chrono::steady_clock::time_point from) {
  if (is_reading || running >= capacity.slots) {
    return;
  }
  while (!waiting.empty() && !waiting.front().is_wanted()) {
    waiting.pop_front();
  }
  if (waiting.empty()) {
    return;
  }
  Request request = std::move(waiting.front());
  waiting.pop_front();
  is_reading = true;
  ++running;
  Slot slot(this, [state = weak_from_this()](const void*) {
    if (const auto open = state.lock()) {
      --open->running;
      open->Continue(std::chrono::steady_clock::now());
    }
  });
  // A late turn of the event loop takes nothing from the engine's capacity.
  timer.expires_at(from + std::chrono::microseconds(static_cast<std::int64_t>(
                              1e3 * static_cast<double>(Read(request.prompt)) /
                              capacity.prompt_tokens_per_ms)));
  timer.async_wait([state = weak_from_this(), request = std::move(request),
                    slot = std::move(slot)](boost::system::error_code ec) {
    const auto open = state.lock();
    if (ec || !open) {
      return;
    }
    open->is_reading = false;
    request.begin(slot);
    open->Continue(open->timer.expiry());
  });
}

EngineQueue::EngineQueue(boost::asio::io_context& loop,
                         const EngineCapacity& capacity)
    : state_(std::make_shared<State>(loop, capacity)) {}

bool EngineQueue::Add(Request request) {
  if (state_->waiting.size() >= state_->capacity.max_waiting) {
    return false;
  }
  state_->waiting.push_back(std::move(request));
  state_->Continue(std::chrono::steady_clock::now());
  return true;
}

std::chrono::microseconds EngineQueue::event_interval() const {
  const EngineCapacity& capacity = state_->capacity;
  return capacity.tokens_per_event *
         (capacity.token_time +
          static_cast<int>(state_->running) * capacity.token_time_per_run);
}

}  // namespace corianderpost::soak
