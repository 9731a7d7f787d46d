#include "runtime/signal_mask.h"

#include <signal.h>

namespace corianderpost::internal {
namespace {

void ChangeMask(int how) {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGHUP);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGTERM);
  pthread_sigmask(how, &signals, nullptr);
}

}  // namespace

void BlockHandledSignals() { ChangeMask(SIG_BLOCK); }

void UnblockHandledSignals() { ChangeMask(SIG_UNBLOCK); }

bool AwaitStopSignal(Duration duration) {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGTERM);
  const auto s = std::chrono::duration_cast<std::chrono::seconds>(duration);
  const timespec timeout{s.count(),
                         std::chrono::nanoseconds(duration - s).count()};
  return sigtimedwait(&signals, nullptr, &timeout) > 0;
}

}  // namespace corianderpost::internal
