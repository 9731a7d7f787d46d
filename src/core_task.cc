#include "corianderpost/internal/core_task.h"

#include <algorithm>

#include "corianderpost/internal/timing.h"

namespace corianderpost::internal {

CoreTask::CoreTask(std::unique_ptr<RouterCore> core, const Clock& clock,
                   ActionSink& sink)
    : clock_(clock), sink_(sink), core_(std::move(core)) {}

void CoreTask::Start() {
  thread_ = std::thread([this] { Run(); });
}

CoreTask::~CoreTask() {
  inbox_.Close();
  if (thread_.joinable()) {
    thread_.join();
  }
}

void CoreTask::Run() {
  TimePoint next_tick = clock_.Now();
  while (true) {
    const TimePoint now = clock_.Now();
    if (now >= next_tick) {
      next_tick = now + kTickInterval;
      Handle(Tick{});
    }
    const auto message = inbox_.PopFor(std::max(Duration(0), next_tick - now));
    if (!message) {
      if (inbox_.IsClosed()) {
        return;
      }
      continue;
    }
    if (const Event* event = std::get_if<Event>(&*message)) {
      Handle(*event);
    } else {
      std::get<Command> (*message)(*core_);
    }
  }
}

void CoreTask::Handle(const Event& event) {
  for (const Action& it : core_->Handle(clock_.Now(), event)) {
    sink_.Perform(it);
  }
  Publish();
}

void CoreTask::Publish() {
  if (core_->bundle() == bundle_ && core_->vm_list() == vm_list_) {
    return;
  }
  const std::lock_guard lock(mutex_);
  bundle_ = core_->bundle();
  vm_list_ = core_->vm_list();
}

std::shared_ptr<const Bundle> CoreTask::bundle() const {
  const std::lock_guard lock(mutex_);
  return bundle_;
}

std::shared_ptr<const VmList> CoreTask::vm_list() const {
  const std::lock_guard lock(mutex_);
  return vm_list_;
}

}  // namespace corianderpost::internal
