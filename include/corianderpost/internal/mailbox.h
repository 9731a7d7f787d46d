// Queue by which tasks send each other messages.
#ifndef CORIANDERPOST_INTERNAL_MAILBOX_H_
#define CORIANDERPOST_INTERNAL_MAILBOX_H_

#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>
#include <utility>

#include "corianderpost/clock.h"

namespace corianderpost::internal {

// Unbounded; senders never wait. Thread-safe.
template <typename Message>
class Mailbox {
 public:
  // Adds a message; drops it if the mailbox is closed.
  void Push(Message message) {
    {
      const std::lock_guard lock(mutex_);
      if (is_closed_) {
        return;
      }
      messages_.push_back(std::move(message));
    }
    ready_.notify_one();
  }

  // Waits for a message. Returns nothing once the mailbox is closed and empty.
  std::optional<Message> Pop() {
    std::unique_lock lock(mutex_);
    ready_.wait(lock, [this] { return is_closed_ || !messages_.empty(); });
    return TakeFirst();
  }

  // As `Pop`, but gives up after `timeout`.
  std::optional<Message> PopFor(Duration timeout) {
    std::unique_lock lock(mutex_);
    ready_.wait_for(lock, timeout,
                    [this] { return is_closed_ || !messages_.empty(); });
    return TakeFirst();
  }

  void Close() {
    {
      const std::lock_guard lock(mutex_);
      is_closed_ = true;
    }
    ready_.notify_all();
  }

  bool IsClosed() const {
    const std::lock_guard lock(mutex_);
    return is_closed_;
  }

 private:
  std::optional<Message> TakeFirst() {
    if (messages_.empty()) {
      return std::nullopt;
    }
    std::optional<Message> first(std::move(messages_.front()));
    messages_.pop_front();
    return first;
  }

  mutable std::mutex mutex_;
  std::condition_variable ready_;
  std::deque<Message> messages_;
  bool is_closed_ = false;
};

}  // namespace corianderpost::internal

#endif  // CORIANDERPOST_INTERNAL_MAILBOX_H_
