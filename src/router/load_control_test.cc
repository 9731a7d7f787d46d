#include "router/load_control.h"

#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>

namespace corianderpost {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart(seconds(100));
constexpr Duration kOverloadLag = milliseconds(200);

class IdleHandler : public CallerHandler {
 public:
  void OnRequest(const std::shared_ptr<CallerConnection>& /*caller*/,
                 ReceivedRequest /*request*/) override {}
  void OnCallerDisconnected(CallerConnection& /*caller*/) override {}
  void OnOutputFlushed(CallerConnection& /*caller*/) override {}
  const CallerLimits& Limits() const override { return limits_; }
  bool IsDraining() const override { return false; }
  void OnBadRequest(int /*status*/, const std::string& /*reason*/) override {}

 private:
  CallerLimits limits_;
};

RouterInfo MakeRouterInfo(const std::string& vm) {
  return {vm, "a", "west", 250, Duration(0)};
}

// A router whose ticks are 200 ms late, with peers in its zone.
class LoadFixture {
 public:
  void Report(const std::string& vm,
              std::optional<LeaveNumber> left_rotation = std::nullopt) {
    PeerReport report;
    report.sender = MakeRouterInfo(vm);
    report.sender.left_rotation = left_rotation;
    report.incarnation = 1;
    report.sequence = ++sequence_;
    peers_.ApplyReport(now_, report);
  }
  bool TickLate() {
    now_ += kOverloadLag;
    return control_.RecordTick(now_, kOverloadLag, 0);
  }
  const LoadControl& control() const { return control_; }

 private:
  TimePoint now_ = kStart;
  std::uint64_t sequence_ = 0;
  boost::asio::io_context loop_;
  SystemClock clock_;
  IdleHandler handler_;
  Listener listener_{loop_, "127.0.0.1:0", handler_, clock_};
  internal::Metrics metrics_;
  ProcessorAdmission admission_;
  PeerTable peers_{MakeRouterInfo("10.0.0.1")};
  LoadControl control_{admission_, listener_, peers_, metrics_};
};

// Guards against the incident of 2026-12 (overload-alone): both routers of a
// zone left rotation, and their callers filled the link between the regions.
TEST_CASE("An overloaded router of a zone of two stays in rotation") {
  LoadFixture load;
  load.Report("10.0.0.2");
  CHECK_FALSE(load.TickLate());
  CHECK(load.control().is_in_rotation());
  CHECK(load.control().has_unreliable_timing());
}

TEST_CASE("An overloaded router leaves unless a peer left before") {
  LoadFixture load;
  load.Report("10.0.0.2");
  load.Report("10.0.0.3");
  CHECK(load.TickLate());
  CHECK_FALSE(load.control().is_in_rotation());
  CHECK(load.control().left_rotation() == LeaveNumber{1});
  // Late ticks are no sign that the peers are silent.
  for (int i = 0; i < 10; ++i) {
    CHECK_FALSE(load.TickLate());
    load.Report("10.0.0.2");
    load.Report("10.0.0.3");
  }
  CHECK_FALSE(load.control().is_in_rotation());
  load.Report("10.0.0.2", kOutForOtherReason);
  CHECK(load.TickLate());
  CHECK(load.control().is_in_rotation());
  CHECK_FALSE(load.control().left_rotation());
}

}  // namespace
}  // namespace corianderpost
