#include "dataplane/fetch.h"

#include <algorithm>

#include "runtime/json_log.h"

namespace corianderpost {
namespace {

// A call with a larger response fails.
constexpr std::size_t kMaxBodyBytes = std::size_t{16} * 1024 * 1024;

}  // namespace

class Fetcher::Call final : public UpstreamListener {
 public:
  Call(FetchId id, Callback callback, UpstreamPool& pool,
       const FetchTimeouts& timeouts)
      : id_(id),
        callback_(std::move(callback)),
        pool_(pool),
        clock_(pool.clock()),
        timeouts_(timeouts),
        memory_(pool.memory()) {
    result_.called_at = clock_.Now();
    deadline_ = result_.called_at + timeouts_.head;
  }
  ~Call() override {
    if (connection_) {
      connection_->Cancel();
    }
  }

  void Start(const std::string& address, const std::string& path,
             const Dialect& dialect) {
    connection_ = pool_.Acquire(address, true);
    result_.used_kept_connection = connection_->is_idle();
    connection_->Send(
        "GET " + path + " HTTP/1.1\r\nHost: " + connection_->address() +
            "\r\n\r\n",
        std::make_shared<const std::string>(), false, "", dialect, this);
  }
  // Ends the call if its deadline has passed. Returns true if the call is done.
  bool CheckDeadline(TimePoint now) {
    if (connection_ && now >= deadline_) {
      // The idle connections may have become silent like this one.
      pool_.CloseIdle(connection_->address());
      connection_->Cancel();
      connection_.reset();
      CompleteWithoutResponse();
    }
    return !connection_;
  }

  FetchId id() const { return id_; }
  void ExcuseLag(Duration lag) { deadline_ += lag; }
  // Ends the call without running the callback.
  void Cancel() {
    if (connection_) {
      connection_->Cancel();
      connection_.reset();
    }
  }

  void OnSendStarted() override {}
  void OnHead(const HttpResponseHeader& head) override {
    result_.head_at = clock_.Now();
    RecordProgress(result_.head_at);
    result_.status = static_cast<int>(head.result_int());
    result_.fields = head;
  }
  void OnBody(std::string_view data) override {
    RecordProgress(clock_.Now());
    const std::size_t size = result_.body.size() + data.size();
    if (size > kMaxBodyBytes || !memory_.TrySet(size)) {
      // The rest would only be discarded.
      connection_->Cancel();
      connection_.reset();
      CompleteWithoutResponse();
      return;
    }
    result_.body.append(data);
  }
  void OnDone(bool is_framed) override {
    static_cast<void>(is_framed);
    connection_.reset();
    Complete();
  }
  void OnFailed(UpstreamFailure failure) override {
    static_cast<void>(failure);
    connection_.reset();
    CompleteWithoutResponse();
  }

 private:
  void RecordProgress(TimePoint now) {
    deadline_ = std::min(now + timeouts_.progress,
                         result_.head_at + timeouts_.transfer);
  }
  void CompleteWithoutResponse() {
    result_.status = 0;
    result_.body.clear();
    Complete();
  }
  void Complete() {
    result_.ended_at = clock_.Now();
    const Callback callback = std::move(callback_);
    try {
      callback(result_);
    } catch (const std::exception& ex) {
      // The caller must not wait for this call any longer.
      internal::LogException("response to a call", ex);
      result_.status = 0;
      result_.body.clear();
      callback(result_);
    }
    std::string().swap(result_.body);
    memory_.Set(0);
  }
  const FetchId id_;
  Callback callback_;
  UpstreamPool& pool_;
  const Clock& clock_;
  const FetchTimeouts timeouts_;
  TimePoint deadline_;
  FetchResult result_;
  MemoryCharge memory_;
  std::shared_ptr<UpstreamConnection> connection_;
};

Fetcher::Fetcher(UpstreamPool& pool, const Dialect& dialect)
    : pool_(pool), dialect_(dialect) {}

Fetcher::~Fetcher() = default;

FetchId Fetcher::Get(const std::string& address, const std::string& path,
                     const FetchTimeouts& timeouts, Callback callback) {
  const FetchId id = ++call_count_;
  auto call = std::make_shared<Call>(id, std::move(callback), pool_, timeouts);
  open_calls_.push_back(call);
  call->Start(address, path, dialect_);
  return id;
}

void Fetcher::Cancel(FetchId id) {
  for (const auto& it : open_calls_) {
    if (it->id() == id) {
      it->Cancel();
    }
  }
}

void Fetcher::ExcuseLag(Duration lag) {
  for (const auto& it : open_calls_) {
    it->ExcuseLag(lag);
  }
}

void Fetcher::Tick(TimePoint now) {
  // Iterates over a copy, since callbacks may start further calls.
  const std::vector<std::shared_ptr<Call>> open_calls = open_calls_;
  for (const auto& it : open_calls) {
    it->CheckDeadline(now);
  }
  std::erase_if(open_calls_,
                [now](const auto& it) { return it->CheckDeadline(now); });
}

}  // namespace corianderpost
