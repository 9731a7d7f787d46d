#include "soak/impairments.h"

#include <algorithm>

#include "soak/router_process.h"

namespace corianderpost::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Bounds of the deployments' settings.
constexpr Duration kContact = seconds(4);
constexpr Duration kLossSlack = milliseconds(200);
constexpr Duration kConfigurationApplies = seconds(3);
constexpr Duration kDrain = seconds(3);

bool IsInPlannedWork(const LostRequest& request, std::size_t targets,
                     const Impairments& impairments) {
  using Kind = Subject::Kind;
  const TimePoint end = request.ended_at;
  const auto had = [&](Kind kind, std::size_t index, Duration after) {
    return impairments.Overlaps({kind, index}, end - after, end);
  };
  bool is_planned =
      had(Kind::kStopped, request.router, kGracePeriod + seconds(1)) ||
      impairments.Overlaps({Kind::kReload, request.router},
                           request.sent_at - kConfigurationApplies, end) ||
      had(Kind::kConfiguration, 0, kConfigurationApplies + seconds(1));
  for (std::size_t i = 0; i < targets; ++i) {
    is_planned = is_planned ||
                 had(Kind::kLeaving, i, kConfigurationApplies + seconds(1));
  }
  return is_planned;
}

}  // namespace

void Impairments::Begin(const Subject& subject, TimePoint now) {
  auto& periods = periods_[subject];
  if (periods.empty() || periods.back().end != TimePoint::max()) {
    periods.push_back({now});
  }
}

void Impairments::End(const Subject& subject, TimePoint now) {
  auto& periods = periods_[subject];
  if (!periods.empty() && periods.back().end == TimePoint::max()) {
    periods.back().end = now;
  }
}

void Impairments::Note(const Subject& subject, TimePoint now) {
  auto& periods = periods_[subject];
  if (periods.empty() || periods.back().end != TimePoint::max()) {
    periods.push_back({now, now});
  }
}

bool Impairments::Overlaps(const Subject& subject, TimePoint from,
                           TimePoint to) const {
  const auto it = periods_.find(subject);
  return it != periods_.end() &&
         std::any_of(it->second.begin(), it->second.end(),
                     [from, to](const Period& period) {
                       return period.begin <= to && period.end >= from;
                     });
}

std::optional<TimePoint> Impairments::BeginOf(const Subject& subject,
                                              TimePoint at) const {
  const auto it = periods_.find(subject);
  if (it != periods_.end()) {
    for (const Period& period : it->second) {
      if (period.begin <= at && at <= period.end) {
        return period.begin;
      }
    }
  }
  return std::nullopt;
}

Loss JudgeLoss(const LostRequest& request, std::size_t targets,
               const Impairments& impairments) {
  using Kind = Subject::Kind;
  const auto was_impaired = [&](Kind kind, std::size_t index) {
    return impairments.Overlaps({kind, index}, request.sent_at - kContact,
                                request.ended_at);
  };
  if (!request.target && request.ended_at - request.sent_at <= kLossSlack) {
    return Loss::kCrossed;
  }
  if (was_impaired(Kind::kRouter, request.router)) {
    return Loss::kExcused;
  }
  // A request that no target saw may have been sent to any of them.
  for (std::size_t i = 0; i < targets; ++i) {
    if ((!request.target || request.target == i) &&
        was_impaired(Kind::kTarget, i)) {
      return Loss::kExcused;
    }
  }
  return IsInPlannedWork(request, targets, impairments) ? Loss::kPlanned
                                                        : Loss::kUnplanned;
}

bool IsLateAtLeavingTarget(std::size_t router, std::size_t target, TimePoint at,
                           const Impairments& impairments) {
  using Kind = Subject::Kind;
  const std::optional<TimePoint> left =
      impairments.BeginOf({Kind::kLeaving, target}, at);
  const auto was_impaired = [&](Kind kind, std::size_t index) {
    return impairments.Overlaps({kind, index}, at - kContact, at);
  };
  return left && at > *left + kDrain &&
         !impairments.Overlaps({Kind::kStore}, *left - kContact, at) &&
         !was_impaired(Kind::kRouter, router) &&
         !was_impaired(Kind::kTarget, target);
}

}  // namespace corianderpost::soak
