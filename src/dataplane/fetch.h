// HTTP GET requests of the router itself, to the store and to peers; each is a
// call.
#ifndef CORIANDERPOST_DATAPLANE_FETCH_H_
#define CORIANDERPOST_DATAPLANE_FETCH_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "dataplane/upstream.h"

namespace corianderpost {

// Result of a call. `status` is 0 if no complete response arrived in time or
// the body was too large.
struct FetchResult {
  int status = 0;
  std::string body;
  // Headers of the response; empty without one.
  HttpFields fields;
  // Whether the call was sent on a connection that earlier calls had used. If
  // it got no response, the connection may have failed while the server did
  // not.
  bool used_kept_connection = false;
  // Times of the call, of the response's head and of its end. Without a
  // complete response, `head_at` may be unset.
  TimePoint called_at;
  TimePoint head_at;
  TimePoint ended_at;
};

// Limits on the time of a call. A response that makes progress is not cut off
// because its head came late.
struct FetchTimeouts {
  // Time for the response's head to arrive, counted from the call.
  Duration head;
  // Longest pause within the response.
  Duration progress;
  // Longest time from the head to the end, against a response that trickles.
  Duration transfer;
  friend bool operator==(const FetchTimeouts&, const FetchTimeouts&) = default;
};

// Identifies a call of one fetcher; never reused.
using FetchId = std::uint64_t;

// Makes calls and applies their timeouts. Not thread-safe: use on the event
// loop thread only. The destructor cancels all calls without running callbacks.
class Fetcher {
 public:
  using Callback = std::function<void(const FetchResult&)>;

  Fetcher(UpstreamPool& pool, const Dialect& dialect);
  ~Fetcher();

  // Requests `path`, with its query, from `address` ("IP:port"). Runs
  // `callback` once, on the event loop thread, unless the call is cancelled.
  FetchId Get(const std::string& address, const std::string& path,
              const FetchTimeouts& timeouts, Callback callback);
  // Ends a call without running its callback. Does nothing if the call has
  // ended. Must not be called from the call's own callback.
  void Cancel(FetchId id);
  // Call before `Tick` if the event loop ran `lag` late: extends the deadlines
  // of open calls, whose responses may not have been read yet.
  void ExcuseLag(Duration lag);
  // Ends the calls that have timed out and removes finished ones.
  void Tick(TimePoint now);
  // Number of calls made so far.
  std::uint64_t call_count() const { return call_count_; }

 private:
  class Call;
  UpstreamPool& pool_;
  const Dialect& dialect_;
  std::vector<std::shared_ptr<Call>> open_calls_;
  // Also the id of the last call.
  std::uint64_t call_count_ = 0;
};

}  // namespace corianderpost

#endif  // CORIANDERPOST_DATAPLANE_FETCH_H_
