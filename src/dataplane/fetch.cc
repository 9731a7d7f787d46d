#include "dataplane/fetch.h"

namespace corianderpost {
namespace {

constexpr std::size_t kMaxBody = std::size_t{16} * 1024 * 1024;

}  // namespace

class Fetcher::Call final : public UpstreamListener {
 public:
  Call(Callback done, TimePoint deadline)
      : done_(std::move(done)), deadline_(deadline) {}
  ~Call() override {
    if (connection_) {
      connection_->Abandon();
    }
  }

  void Start(std::shared_ptr<UpstreamConnection> connection,
             const std::string& target, const Dialect& dialect) {
    connection_ = std::move(connection);
    connection_->Send(
        "GET " + target + " HTTP/1.1\r\nHost: " + connection_->address() +
            "\r\n\r\n",
        std::make_shared<const std::string>(), false, "", dialect, this);
  }
  // Returns true once the result was given.
  bool Check(TimePoint now) {
    if (connection_ && now >= deadline_) {
      connection_->Abandon();
      connection_.reset();
      End({});
    }
    return !connection_;
  }

  void OnSent() override {}
  void OnHead(const HttpResponseHeader& head) override {
    result_.status = static_cast<int>(head.result_int());
  }
  void OnBody(std::string_view piece) override {
    if (result_.body.size() + piece.size() <= kMaxBody) {
      result_.body.append(piece);
    } else {
      result_.status = 0;
    }
  }
  void OnDone(bool is_framed) override {
    static_cast<void>(is_framed);
    connection_.reset();
    End(result_);
  }
  void OnFailed(UpstreamFailure failure) override {
    static_cast<void>(failure);
    connection_.reset();
    End({});
  }

 private:
  void End(const FetchResult& result) {
    const Callback done = std::move(done_);
    done(result);
  }
  Callback done_;
  const TimePoint deadline_;
  FetchResult result_;
  std::shared_ptr<UpstreamConnection> connection_;
};

Fetcher::Fetcher(UpstreamPool& pool, const Dialect& dialect)
    : pool_(pool), dialect_(dialect) {}

Fetcher::~Fetcher() = default;

void Fetcher::Get(const std::string& address, const std::string& target,
                  Duration timeout, Callback done) {
  ++calls_;
  auto call =
      std::make_shared<Call>(std::move(done), pool_.clock().Now() + timeout);
  open_.push_back(call);
  call->Start(pool_.Acquire(address, true), target, dialect_);
}

void Fetcher::Tick(TimePoint now) {
  // Callbacks may begin further calls.
  const std::vector<std::shared_ptr<Call>> open = open_;
  for (const auto& it : open) {
    it->Check(now);
  }
  std::erase_if(open_, [now](const auto& it) { return it->Check(now); });
}

}  // namespace corianderpost
