#include "fleet/random_load.h"

#include <algorithm>

namespace corianderpost::soak {

RandomLoad::RandomLoad(EngineFleet& fleet, std::vector<std::string> customers,
                       double requests_per_second, std::uint64_t first_parts,
                       std::uint64_t seed)
    : first_parts(first_parts),
      fleet_(fleet),
      customers_(std::move(customers)),
      requests_per_second_(requests_per_second),
      random_(seed),
      next_(fleet.Now()) {}

void RandomLoad::operator()(TimePoint now) {
  std::exponential_distribution<double> gap(requests_per_second_);
  for (; next_ <= now;
       next_ += Duration(static_cast<std::int64_t>(1e6 * gap(random_)))) {
    calls_.push_back(fleet_.Send(
        random_() % fleet_.routers().size(),
        customers_[random_() % customers_.size()],
        {{1 + random_() % first_parts, 300}, {LastPart(), 200}}, options));
  }
}

std::uint64_t RandomLoad::LastPart() {
  constexpr std::uint64_t kFirstSession = 1'000'000;
  return sessions == 0 ? random_() : kFirstSession + random_() % sessions;
}

std::size_t RandomLoad::CountSince(TimePoint from) const {
  return Count("", from);
}

std::size_t RandomLoad::Count(const std::string& status_line,
                              TimePoint from) const {
  return static_cast<std::size_t>(
      std::count_if(calls_.begin(), calls_.end(), [&](const auto& it) {
        return it->began_at >= from && it->response.starts_with(status_line);
      }));
}

}  // namespace corianderpost::soak
