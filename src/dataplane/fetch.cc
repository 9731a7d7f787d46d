#include "dataplane/fetch.h"

namespace corianderpost {
namespace {

// A call with a larger response fails.
constexpr std::size_t kMaxBodyBytes = std::size_t{16} * 1024 * 1024;

}  // namespace

class Fetcher::Call final : public UpstreamListener {
 public:
  Call(Callback callback, const Clock& clock, Duration timeout)
      : callback_(std::move(callback)), clock_(clock) {
    result_.called_at = clock_.Now();
    deadline_ = result_.called_at + timeout;
  }
  ~Call() override {
    if (connection_) {
      connection_->Cancel();
    }
  }

  void Start(std::shared_ptr<UpstreamConnection> connection,
             const std::string& path, const Dialect& dialect) {
    connection_ = std::move(connection);
    connection_->Send(
        "GET " + path + " HTTP/1.1\r\nHost: " + connection_->address() +
            "\r\n\r\n",
        std::make_shared<const std::string>(), false, "", dialect, this);
  }
  // Ends the call if its deadline has passed. Returns true if the call is done.
  bool CheckDeadline(TimePoint now) {
    if (connection_ && now >= deadline_) {
      connection_->Cancel();
      connection_.reset();
      CompleteWithoutResponse();
    }
    return !connection_;
  }

  void ExcuseLag(Duration lag) { deadline_ += lag; }

  void OnSendStarted() override {}
  void OnHead(const HttpResponseHeader& head) override {
    result_.head_at = clock_.Now();
    result_.status = static_cast<int>(head.result_int());
  }
  void OnBody(std::string_view data) override {
    if (result_.body.size() + data.size() <= kMaxBodyBytes) {
      result_.body.append(data);
    } else {
      result_.status = 0;
    }
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
  void CompleteWithoutResponse() {
    result_.status = 0;
    result_.body.clear();
    Complete();
  }
  void Complete() {
    result_.ended_at = clock_.Now();
    const Callback callback = std::move(callback_);
    callback(result_);
  }
  Callback callback_;
  const Clock& clock_;
  TimePoint deadline_;
  FetchResult result_;
  std::shared_ptr<UpstreamConnection> connection_;
};

Fetcher::Fetcher(UpstreamPool& pool, const Dialect& dialect)
    : pool_(pool), dialect_(dialect) {}

Fetcher::~Fetcher() = default;

void Fetcher::Get(const std::string& address, const std::string& path,
                  Duration timeout, Callback callback) {
  ++call_count_;
  auto call =
      std::make_shared<Call>(std::move(callback), pool_.clock(), timeout);
  open_calls_.push_back(call);
  call->Start(pool_.Acquire(address, true), path, dialect_);
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
