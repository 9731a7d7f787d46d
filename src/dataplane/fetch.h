// Small GET calls to the store and to peers, on the router's own client.
#ifndef CORIANDERPOST_DATAPLANE_FETCH_H_
#define CORIANDERPOST_DATAPLANE_FETCH_H_

#include <functional>
#include <memory>
#include <string>

#include "dataplane/upstream.h"

namespace corianderpost {

// Outcome of a call. `status` is 0 if no whole answer came.
struct FetchResult {
  int status = 0;
  std::string body;
};

// Calls in progress, each with a deadline. Used from the event loop only.
class Fetcher {
 public:
  using Callback = std::function<void(const FetchResult&)>;

  Fetcher(UpstreamPool& pool, const Dialect& dialect);
  ~Fetcher();

  // Calls `callback` once, from the event loop.
  void Get(const std::string& address, const std::string& target,
           Duration timeout, Callback callback);
  // Ends the calls whose time is up.
  void Tick(TimePoint now);
  std::uint64_t call_count() const { return call_count_; }

 private:
  class Call;
  UpstreamPool& pool_;
  const Dialect& dialect_;
  std::vector<std::shared_ptr<Call>> open_calls_;
  std::uint64_t call_count_ = 0;
};

}  // namespace corianderpost

#endif  // CORIANDERPOST_DATAPLANE_FETCH_H_
