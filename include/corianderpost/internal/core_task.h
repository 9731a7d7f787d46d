// The task that owns the decision core.
//
// Other tasks post events; the task carries each action to its `ActionSink`,
// on its own thread and in order.
#ifndef CORIANDERPOST_INTERNAL_CORE_TASK_H_
#define CORIANDERPOST_INTERNAL_CORE_TASK_H_

#include <functional>
#include <future>
#include <memory>
#include <mutex>
#include <thread>
#include <type_traits>
#include <variant>

#include "corianderpost/internal/mailbox.h"
#include "corianderpost/router_core.h"

namespace corianderpost::internal {

class ActionSink {
 public:
  virtual ~ActionSink() = default;
  // Carries out one action. Must not wait.
  virtual void Perform(const Action& action) = 0;
};

// Thread-safe.
class CoreTask {
 public:
  CoreTask(std::unique_ptr<RouterCore> core, const Clock& clock,
           ActionSink& sink);
  ~CoreTask();
  CoreTask(const CoreTask&) = delete;
  CoreTask& operator=(const CoreTask&) = delete;

  // Begins to handle events. Call once.
  void Start();

  void Post(Event event) { inbox_.Push(std::move(event)); }

  // Runs `query` on the core's thread and returns its result.
  template <typename Query>
  auto Ask(Query query) {
    using Result = std::invoke_result_t<Query, RouterCore&>;
    auto promise = std::make_shared<std::promise<Result>>();
    auto result = promise->get_future();
    inbox_.Push(Command([promise, query](RouterCore& core) {
      promise->set_value(query(core));
    }));
    return result.get();
  }

  // The latest configuration and list; null before the first.
  std::shared_ptr<const Bundle> bundle() const;
  std::shared_ptr<const VmList> vm_list() const;

 private:
  using Command = std::function<void(RouterCore&)>;
  using Message = std::variant<Event, Command>;

  void Run();
  void Handle(const Event& event);
  void Publish();

  const Clock& clock_;
  ActionSink& sink_;
  std::unique_ptr<RouterCore> core_;
  Mailbox<Message> inbox_;
  mutable std::mutex mutex_;
  std::shared_ptr<const Bundle> bundle_;
  std::shared_ptr<const VmList> vm_list_;
  std::thread thread_;
};

}  // namespace corianderpost::internal

#endif  // CORIANDERPOST_INTERNAL_CORE_TASK_H_
