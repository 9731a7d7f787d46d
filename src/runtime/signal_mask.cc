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

}  // namespace corianderpost::internal
