#include "decisions/retry_spread.h"

#include <algorithm>

namespace corianderpost {

Duration SpreadRetry(Duration wait, Duration max, std::minstd_rand& random) {
  const Duration earliest = std::min(wait, max * 3 / 4);
  const Duration latest = std::min(wait * 2, max);
  return Duration(std::uniform_int_distribution<Duration::rep>(
      earliest.count(), latest.count())(random));
}

}  // namespace corianderpost
