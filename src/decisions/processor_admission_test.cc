#include "decisions/processor_admission.h"

#include <doctest/doctest.h>

#include <map>
#include <random>

namespace corianderpost {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart(seconds(100));
const CustomerId kLarge = CustomerId::FromName("large");
const CustomerId kSmall = CustomerId::FromName("small");
constexpr Duration kTickInterval = milliseconds(25);

// Plays requests against a processor that handles one after the other and that
// also needs time to reject them. Ticks run when the processor gets to them.
class Processor {
 public:
  // Times that one request takes.
  Duration handling_time = milliseconds(4);
  Duration rejection_time = Duration(400);

  // Sends requests at these rates per second for `duration`. Returns the number
  // of requests handled in the last half, by customer.
  std::map<CustomerId, int> Play(std::map<CustomerId, double> rates,
                                 Duration duration, std::uint64_t seed) {
    std::mt19937_64 random(seed);
    std::map<CustomerId, TimePoint> next_request;
    for (const auto& [customer, rate] : rates) {
      next_request[customer] = now_;
    }
    std::map<CustomerId, int> handled;
    const TimePoint start = now_;
    TimePoint free_at = now_;
    TimePoint tick_due = now_ + kTickInterval;
    for (; now_ < start + duration; now_ += Duration(100)) {
      for (auto& [customer, at] : next_request) {
        while (at <= now_) {
          at += Duration(
              static_cast<std::int64_t>(std::exponential_distribution<double>(
                                            rates.at(customer))(random) *
                                        1e6));
          free_at = std::max(free_at, now_);
          const bool is_admitted = admission.TryAdmit(free_at, customer);
          free_at += is_admitted ? handling_time : rejection_time;
          max_backlog = std::max(max_backlog, free_at - now_);
          if (is_admitted && now_ - start >= duration / 2) {
            ++handled[customer];
          }
        }
      }
      if (now_ >= tick_due) {
        const TimePoint ran_at = std::max(now_, free_at);
        admission.RecordTick(ran_at, ran_at - tick_due);
        tick_due = ran_at + kTickInterval;
      }
    }
    return handled;
  }

  ProcessorAdmission admission;
  Duration max_backlog{0};

 private:
  TimePoint now_ = kStart;
};

TEST_CASE("ProcessorAdmission admits everything while ticks are on time") {
  Processor processor;
  const auto handled = processor.Play({{kSmall, 150}}, seconds(10), 1);
  CHECK(handled.at(kSmall) >= 0.99 * 150 * 5 - 60);
  CHECK_FALSE(processor.admission.is_limiting());
}

TEST_CASE("ProcessorAdmission uses most of a saturated processor") {
  INFO("seed 2");
  Processor processor;
  const auto handled = processor.Play({{kLarge, 800}}, seconds(10), 2);
  // 800 requests per second cost at least 0.32 s to reject, so 170 per second
  // can be handled.
  CHECK(handled.at(kLarge) >= 0.6 * 170 * 5);
}

TEST_CASE("A flood does not take the service of a small customer") {
  INFO("seed 3");
  Processor processor;
  const auto handled =
      processor.Play({{kLarge, 800}, {kSmall, 30}}, seconds(10), 3);
  CHECK(handled.at(kSmall) >= 0.9 * 30 * 5 - 20);
  CHECK(handled.at(kLarge) >= 0.5 * 140 * 5);
}

TEST_CASE("ProcessorAdmission keeps the event loop responsive") {
  INFO("seed 4");
  Processor processor;
  processor.Play({{kLarge, 800}}, seconds(3), 4);
  processor.max_backlog = Duration(0);
  processor.Play({{kLarge, 800}}, seconds(10), 5);
  CHECK(processor.max_backlog <= milliseconds(250));
}

TEST_CASE("The limit ends some seconds after the flood") {
  INFO("seed 6");
  Processor processor;
  processor.Play({{kLarge, 800}}, seconds(5), 6);
  CHECK(processor.admission.is_limiting());
  processor.Play({{kLarge, 20}}, seconds(10), 7);
  CHECK_FALSE(processor.admission.is_limiting());
}

}  // namespace
}  // namespace corianderpost
