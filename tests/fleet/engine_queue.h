// What a stand-in engine of limited capacity has to do.
#ifndef CORIANDERPOST_TESTS_FLEET_ENGINE_QUEUE_H_
#define CORIANDERPOST_TESTS_FLEET_ENGINE_QUEUE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "model/request.h"

namespace corianderpost::soak {

struct EngineCapacity {
  // Requests that run at a time, and those that wait for them to end.
  std::size_t slots = 128;
  std::size_t max_waiting = 268;
  // Prompts are read one after another.
  double prompt_tokens_per_ms = 60;
  // Shared prompt parts that need not be read again; the least recently used
  // ones yield.
  std::int64_t cached_tokens = 637'000;
  int tokens_per_event = 6;
  // Time of one token of each running request, and what each of them adds.
  std::chrono::microseconds token_time{3410};
  std::chrono::microseconds token_time_per_run{97};
};

// Requests take a slot and are read in the order of their arrival. Not
// thread-safe.
class EngineQueue {
 public:
  // The request has its slot until the last copy is destroyed.
  using Slot = std::shared_ptr<const void>;
  struct Request {
    std::vector<PromptPart> prompt;
    // Whether somebody still waits for the answer.
    std::function<bool()> is_wanted;
    // Called when the prompt has been read.
    std::function<void(Slot)> begin;
  };

  EngineQueue(boost::asio::io_context& loop, const EngineCapacity& capacity);
  // Returns false if the queue is full.
  bool Add(Request request);
  // Time between two events of a stream, with what runs now.
  std::chrono::microseconds event_interval() const;

 private:
  struct State;
  const std::shared_ptr<State> state_;
};

}  // namespace corianderpost::soak

#endif  // CORIANDERPOST_TESTS_FLEET_ENGINE_QUEUE_H_
