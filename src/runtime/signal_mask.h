// Holds back the signals that a program handles until it can handle them.
#ifndef CORIANDERPOST_RUNTIME_SIGNAL_MASK_H_
#define CORIANDERPOST_RUNTIME_SIGNAL_MASK_H_

#include "corianderpost/clock.h"

namespace corianderpost::internal {

// Blocks SIGHUP, SIGINT and SIGTERM for the calling thread and the threads that
// it starts later. The system keeps them until they are unblocked. Calls
// nothing but functions of the C library, so that it can run before the
// constructors of static objects.
void BlockHandledSignals();
// Delivers these signals to the calling thread again, with those that were
// kept. Call when handlers are installed.
void UnblockHandledSignals();
// Waits for `duration` while the signals are blocked. Returns whether SIGTERM
// or SIGINT has come, which is then no longer kept.
bool AwaitStopSignal(Duration duration);

}  // namespace corianderpost::internal

#endif  // CORIANDERPOST_RUNTIME_SIGNAL_MASK_H_
