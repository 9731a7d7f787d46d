#include "router/engine_report.h"

#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>

namespace corianderpost {
namespace {

// Guards against gauges of engines that are gone.
TEST_CASE("Metrics have the speeds of known engines") {
  const SystemClock clock;
  boost::asio::io_context loop;
  const UpstreamPool pool(loop, clock);
  Scheduler scheduler{SchedulerOptions()};
  internal::Metrics metrics;
  metrics.SetGauge("corianderpost_engine_speed", 2.0, "engine=\"gone\"");
  TargetEntry entry;
  entry.id = "e1";
  scheduler.targets().ApplyEntry(clock.Now(), entry);
  scheduler.targets().Find("e1")->speed.Record(clock.Now(),
                                               {0.2, 0.2, 0.2, 0.5});
  scheduler.targets().SetPeerLoad(clock.Now(), {});
  SetEngineMetrics(scheduler, pool, metrics);
  const std::string text = metrics.ToText();
  CHECK(text.find("corianderpost_engine_speed{engine=\"e1\"} 1\n") !=
        std::string::npos);
  CHECK(text.find("gone") == std::string::npos);
  CHECK(text.find("corianderpost_target_connections_reused 0\n") !=
        std::string::npos);
}

}  // namespace
}  // namespace corianderpost
