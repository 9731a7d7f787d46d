#include "decisions/crash_suspects.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <set>

namespace corianderpost {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Crashes after which a trait is blamed. Fewer would blame parts that were
// present by chance. A trait that sound requests are known to use is present by
// chance more often.
constexpr std::size_t kMinCrashes = 3;
constexpr std::size_t kMinCrashesIfAnswered = 5;
// Time that these crashes must span. Crashes at the same moment have a common
// cause, such as the loss of a zone.
constexpr Duration kMinCrashSpan = milliseconds(300);
// The trait must be present in this part of all unexplained crashes of that
// time, or in the smaller part if it is present in many: by chance, a part of
// sound prompts is present in a few of a long series of crashes.
constexpr double kMinPartOfCrashes = 0.5;
constexpr double kMinPartOfManyCrashes = 0.25;
constexpr std::size_t kManyCrashes = 6;
// A trait that was present in all of another one's crashes but this many is its
// companion, since a router may have missed a crash.
constexpr std::size_t kMaxMissedCrashes = 1;
// Time after the last crash for which evidence against a trait is kept, and
// time after the last crash or rejection for which a trait stays blamed.
constexpr Duration kSuspectRetention = seconds(30);
constexpr Duration kBlameRetention = seconds(120);
// Time after the last crash until a blamed trait is probed; doubles with each
// further crash, up to the maximum.
constexpr Duration kMinProbeInterval = seconds(60);
constexpr int kMaxProbeDoublings = 4;
// Subtracted from the time to live in peer reports. It exceeds the time that a
// report is under way, so that routers can't keep evidence alive by sending it
// to each other.
constexpr Duration kReportTransitTime = milliseconds(500);
// Number of reports that include new evidence, in case that some are lost, and
// evidence that a peer has sent, which most routers have already.
constexpr int kReportRepeats = 6;
constexpr int kForwardedReportRepeats = 2;
constexpr Duration kCompleteReportInterval = seconds(1);
// Limits on memory use and on the size of peer reports.
constexpr std::size_t kMaxSuspects = 4096;
constexpr std::size_t kMaxCrashesPerSuspect = 32;
constexpr std::size_t kMaxCrashesPerReport = 8;
constexpr std::size_t kMaxSuspectsPerReport = 48;
constexpr std::size_t kMaxKnownCrashes = 1024;
constexpr std::size_t kMaxAnsweredParts = 8192;
constexpr std::size_t kMaxTraits = 64;

bool Contains(const std::vector<RequestTrait>& traits,
              const RequestTrait& trait) {
  return std::find(traits.begin(), traits.end(), trait) != traits.end();
}

}  // namespace

std::string ToString(const RequestTrait& trait) {
  std::array<char, 16> digits{};
  const auto [end, ec] = std::to_chars(
      digits.data(), digits.data() + digits.size(), trait.value, 16);
  static_cast<void>(ec);
  return (trait.kind == RequestTrait::Kind::kRequest ? "request:" : "part:") +
         std::string(digits.data(), end);
}

std::vector<RequestTrait> TraitsOf(RequestFingerprint fingerprint,
                                   const std::vector<PromptPart>& prompt) {
  std::vector<RequestTrait> traits = {
      {RequestTrait::Kind::kRequest, fingerprint}};
  for (std::size_t i = 0; i + 1 < prompt.size() && i < kMaxTraits; ++i) {
    const RequestTrait trait{RequestTrait::Kind::kPromptPart, prompt[i].id};
    if (!Contains(traits, trait)) {
      traits.push_back(trait);
    }
  }
  return traits;
}

std::uint64_t CrashIdOf(std::string_view target_id, std::int64_t incarnation) {
  return XXH64(target_id.data(), target_id.size(),
               static_cast<std::uint64_t>(incarnation));
}

void CrashSuspects::DropOldestSuspect() {
  const auto oldest = std::min_element(
      suspects_.begin(), suspects_.end(), [](const auto& a, const auto& b) {
        return a.second.expires_at < b.second.expires_at;
      });
  suspects_.erase(oldest);
  is_blame_outdated_ = true;
  ++counts_.dropped;
}

CrashSuspects::Suspect& CrashSuspects::FindOrCreate(TimePoint now,
                                                    const RequestTrait& trait) {
  const auto it = suspects_.find(trait);
  if (it != suspects_.end()) {
    return it->second;
  }
  if (suspects_.size() >= kMaxSuspects) {
    Expire(now);
    if (suspects_.size() >= kMaxSuspects) {
      DropOldestSuspect();
    }
  }
  Suspect& suspect = suspects_[trait];
  suspect.was_answered = trait.kind == RequestTrait::Kind::kPromptPart &&
                         part_answered_at_.contains(trait.value);
  return suspect;
}

CrashSuspects::KnownCrash& CrashSuspects::FindOrCreateCrash(
    std::uint64_t crash_id, TimePoint at) {
  if (const auto it = known_crashes_.find(crash_id);
      it != known_crashes_.end()) {
    it->second.at = std::min(it->second.at, at);
    return it->second;
  }
  if (known_crashes_.size() >= kMaxKnownCrashes) {
    known_crashes_.erase(std::min_element(known_crashes_.begin(),
                                          known_crashes_.end(),
                                          [](const auto& a, const auto& b) {
                                            return a.second.at < b.second.at;
                                          }));
  }
  return known_crashes_.emplace(crash_id, KnownCrash{at, false}).first->second;
}

bool CrashSuspects::AddCrash(const RequestTrait& trait, Suspect& suspect,
                             std::uint64_t crash_id, const Crash& crash) {
  const auto [it, is_new] = suspect.crashes.emplace(crash_id, crash);
  Crash& known = it->second;
  if (is_new) {
    ++counts_.recorded;
    const auto answered = trait.kind == RequestTrait::Kind::kPromptPart
                              ? part_answered_at_.find(trait.value)
                              : part_answered_at_.end();
    known.is_refuted =
        crash.is_refuted ||
        (answered != part_answered_at_.end() && answered->second > crash.at);
    KnownCrash& known_crash = FindOrCreateCrash(crash_id, crash.at);
    known_crash.is_confirmed = known_crash.is_confirmed || crash.is_confirmed;
    known.is_confirmed = known_crash.is_confirmed;
    suspect.last_crash_at = std::max(suspect.last_crash_at, crash.at);
    if (suspect.crashes.size() > kMaxCrashesPerSuspect) {
      suspect.crashes.erase(std::min_element(suspect.crashes.begin(),
                                             suspect.crashes.end(),
                                             [](const auto& a, const auto& b) {
                                               return a.second.at < b.second.at;
                                             }));
    }
    is_blame_outdated_ =
        is_blame_outdated_ || suspect.crashes.size() >= kMinCrashes;
    return true;
  }
  const Crash before = known;
  known.at = std::min(known.at, crash.at);
  if (crash.is_confirmed && !known.is_confirmed) {
    FindOrCreateCrash(crash_id, crash.at).is_confirmed = true;
    known.is_confirmed = true;
  }
  known.is_refuted = known.is_refuted || crash.is_refuted;
  if (known.customer != crash.customer) {
    known.customer.reset();
  }
  const bool has_changed = known.is_confirmed != before.is_confirmed ||
                           known.is_refuted != before.is_refuted ||
                           known.customer != before.customer;
  is_blame_outdated_ = is_blame_outdated_ ||
                       (has_changed && suspect.crashes.size() >= kMinCrashes);
  return has_changed;
}

void CrashSuspects::RecordCrash(TimePoint now, std::uint64_t crash_id,
                                CustomerId customer,
                                const std::vector<RequestTrait>& traits) {
  for (const RequestTrait& it : traits) {
    Suspect& suspect = FindOrCreate(now, it);
    suspect.expires_at = std::max(suspect.expires_at, now + kSuspectRetention);
    if (AddCrash(it, suspect, crash_id, {now, customer, false, false})) {
      suspect.pending_reports = kReportRepeats;
    }
  }
}

void CrashSuspects::ConfirmCrash(TimePoint now, std::uint64_t crash_id) {
  KnownCrash& known_crash = FindOrCreateCrash(crash_id, now);
  if (known_crash.is_confirmed) {
    return;
  }
  known_crash.is_confirmed = true;
  for (auto& [trait, suspect] : suspects_) {
    if (const auto it = suspect.crashes.find(crash_id);
        it != suspect.crashes.end() && !it->second.is_confirmed) {
      it->second.is_confirmed = true;
      is_blame_outdated_ =
          is_blame_outdated_ || suspect.crashes.size() >= kMinCrashes;
    }
  }
}

void CrashSuspects::RecordAnswer(TimePoint now,
                                 const std::vector<RequestTrait>& traits) {
  for (const RequestTrait& trait : traits) {
    if (trait.kind == RequestTrait::Kind::kPromptPart) {
      if (part_answered_at_.size() >= kMaxAnsweredParts) {
        std::erase_if(part_answered_at_, [now](const auto& it) {
          return now - it.second > kSuspectRetention;
        });
        if (part_answered_at_.size() >= kMaxAnsweredParts) {
          part_answered_at_.clear();
        }
      }
      part_answered_at_[trait.value] = now;
    }
    const auto it = suspects_.find(trait);
    if (it == suspects_.end()) {
      continue;
    }
    for (auto& [crash_id, crash] : it->second.crashes) {
      if (!crash.is_refuted && crash.at < now) {
        crash.is_refuted = true;
        it->second.pending_reports = kReportRepeats;
        is_blame_outdated_ =
            is_blame_outdated_ || it->second.crashes.size() >= kMinCrashes;
        ++counts_.refuted;
      }
    }
  }
}

void CrashSuspects::Merge(TimePoint now, const SuspectReport& report) {
  const Duration time_to_live =
      std::min(report.time_to_live, kBlameRetention) - kReportTransitTime;
  if (time_to_live <= Duration(0)) {
    return;
  }
  Suspect& suspect = FindOrCreate(now, report.trait);
  suspect.expires_at = std::max(suspect.expires_at, now + time_to_live);
  if (report.was_answered && !suspect.was_answered) {
    suspect.was_answered = true;
    is_blame_outdated_ = true;
  }
  for (const CrashEvidence& it : report.crashes) {
    const Duration age = std::clamp(it.age, Duration(0), kBlameRetention);
    if (AddCrash(report.trait, suspect, it.crash_id,
                 {now - age, it.customer, it.is_confirmed, it.is_refuted})) {
      suspect.pending_reports =
          std::max(suspect.pending_reports, kForwardedReportRepeats);
    }
  }
}

void CrashSuspects::UpdateBlame() {
  struct Candidate {
    const RequestTrait* trait = nullptr;
    std::set<std::uint64_t> crash_ids;
  };
  std::vector<Candidate> candidates;
  for (const auto& [trait, suspect] : suspects_) {
    if (suspect.crashes.size() + kMaxMissedCrashes < kMinCrashes) {
      continue;
    }
    Candidate candidate{&trait, {}};
    for (const auto& [crash_id, crash] : suspect.crashes) {
      if (crash.is_confirmed && !crash.is_refuted) {
        candidate.crash_ids.insert(crash_id);
      }
    }
    candidates.push_back(std::move(candidate));
  }
  // A crash says nothing about the customer if several customers' requests
  // were present.
  const auto customers_of = [this](const Candidate& candidate) {
    std::set<CustomerId> customers;
    for (const std::uint64_t it : candidate.crash_ids) {
      const auto& crash = suspects_.at(*candidate.trait).crashes.at(it);
      if (crash.customer) {
        customers.insert(*crash.customer);
      }
    }
    return customers;
  };
  std::set<std::uint64_t> explained;
  const auto is_sufficient = [&](const Candidate& candidate) {
    const Suspect& suspect = suspects_.at(*candidate.trait);
    if (candidate.crash_ids.size() <
            (suspect.was_answered ? kMinCrashesIfAnswered : kMinCrashes) ||
        customers_of(candidate).empty()) {
      return false;
    }
    const auto& crashes = suspect.crashes;
    TimePoint first = TimePoint::max();
    TimePoint last = TimePoint::min();
    for (const std::uint64_t it : candidate.crash_ids) {
      first = std::min(first, crashes.at(it).at);
      last = std::max(last, crashes.at(it).at);
    }
    // Crashes in that time that are not explained by another trait.
    const auto all = std::count_if(
        known_crashes_.begin(), known_crashes_.end(), [&](const auto& it) {
          return it.second.is_confirmed && it.second.at >= first &&
                 it.second.at <= last && !explained.contains(it.first);
        });
    const double part = static_cast<double>(candidate.crash_ids.size()) /
                        static_cast<double>(std::max<std::ptrdiff_t>(1, all));
    return last - first >= kMinCrashSpan &&
           part >= (candidate.crash_ids.size() >= kManyCrashes
                        ? kMinPartOfManyCrashes
                        : kMinPartOfCrashes);
  };
  blamed_.clear();
  // The trait with the most crashes explains these, so that they no longer
  // count against traits that were merely present.
  while (true) {
    const Candidate* most = nullptr;
    for (const Candidate& it : candidates) {
      if ((most == nullptr || it.crash_ids.size() > most->crash_ids.size()) &&
          is_sufficient(it)) {
        most = &it;
      }
    }
    if (most == nullptr) {
      break;
    }
    BlamedTrait blamed;
    blamed.trait = *most->trait;
    blamed.crash_ids.assign(most->crash_ids.begin(), most->crash_ids.end());
    const std::set<CustomerId> customers = customers_of(*most);
    if (customers.size() == 1) {
      blamed.customer = *customers.begin();
    }
    explained.insert(most->crash_ids.begin(), most->crash_ids.end());
    for (Candidate& it : candidates) {
      const auto shared =
          std::count_if(blamed.crash_ids.begin(), blamed.crash_ids.end(),
                        [&it](std::uint64_t crash_id) {
                          return it.crash_ids.contains(crash_id);
                        });
      if (*it.trait != blamed.trait &&
          static_cast<std::size_t>(shared) + kMaxMissedCrashes >=
              blamed.crash_ids.size()) {
        blamed.companions.push_back(*it.trait);
      }
    }
    for (Candidate& it : candidates) {
      std::erase_if(it.crash_ids, [&explained](std::uint64_t crash_id) {
        return explained.contains(crash_id);
      });
    }
    blamed_.push_back(std::move(blamed));
  }
  for (const BlamedTrait& it : blamed_) {
    const auto keep = [this](const RequestTrait& trait) {
      Suspect& suspect = suspects_.at(trait);
      suspect.expires_at =
          std::max(suspect.expires_at, suspect.last_crash_at + kBlameRetention);
    };
    keep(it.trait);
    std::for_each(it.companions.begin(), it.companions.end(), keep);
  }
  is_blame_outdated_ = false;
}

const std::vector<BlamedTrait>& CrashSuspects::Blamed() {
  if (is_blame_outdated_) {
    UpdateBlame();
  }
  return blamed_;
}

const BlamedTrait* CrashSuspects::FindCause(
    TimePoint now, const std::vector<RequestTrait>& traits,
    CustomerId customer) {
  for (const BlamedTrait& it : Blamed()) {
    const bool has_all = Contains(traits, it.trait) &&
                         std::all_of(it.companions.begin(), it.companions.end(),
                                     [&traits](const RequestTrait& companion) {
                                       return Contains(traits, companion);
                                     });
    if (!has_all || (it.customer && *it.customer != customer)) {
      continue;
    }
    const auto keep = [this, now](const RequestTrait& trait) {
      Suspect& suspect = suspects_.at(trait);
      suspect.expires_at = std::max(suspect.expires_at, now + kBlameRetention);
    };
    keep(it.trait);
    std::for_each(it.companions.begin(), it.companions.end(), keep);
    return &it;
  }
  return nullptr;
}

bool CrashSuspects::TryProbe(TimePoint now, const RequestTrait& trait) {
  const auto it = suspects_.find(trait);
  if (it == suspects_.end()) {
    return true;
  }
  Suspect& suspect = it->second;
  const int doublings = std::clamp(
      static_cast<int>(suspect.crashes.size()) - static_cast<int>(kMinCrashes),
      0, kMaxProbeDoublings);
  const Duration interval = kMinProbeInterval * (1 << doublings);
  if (now - std::max(suspect.last_crash_at, suspect.last_probe_at) < interval) {
    return false;
  }
  suspect.last_probe_at = now;
  return true;
}

std::vector<SuspectReport> CrashSuspects::ReportsFor(TimePoint now,
                                                     bool is_complete) {
  std::set<RequestTrait> selected;
  if (is_complete || now >= next_complete_report_at_) {
    if (!is_complete) {
      next_complete_report_at_ = now + kCompleteReportInterval;
    }
    for (const BlamedTrait& it : Blamed()) {
      selected.insert(it.trait);
      selected.insert(it.companions.begin(), it.companions.end());
    }
  }
  std::vector<std::pair<const RequestTrait*, Suspect*>> changed;
  for (auto& [trait, suspect] : suspects_) {
    if (suspect.pending_reports > 0 && !selected.contains(trait)) {
      changed.emplace_back(&trait, &suspect);
    }
  }
  // Suspects with several crashes first, then those that were sent least.
  std::stable_sort(changed.begin(), changed.end(),
                   [](const auto& a, const auto& b) {
                     const auto rank = [](const Suspect& it) {
                       return std::pair(it.crashes.size(), it.pending_reports);
                     };
                     return rank(*a.second) > rank(*b.second);
                   });
  for (const auto& [trait, suspect] : changed) {
    if (selected.size() >= kMaxSuspectsPerReport) {
      ++counts_.left_out;
      continue;
    }
    selected.insert(*trait);
    --suspect->pending_reports;
  }
  std::vector<SuspectReport> reports;
  for (const RequestTrait& trait : selected) {
    if (reports.size() >= kMaxSuspectsPerReport) {
      break;
    }
    const Suspect& suspect = suspects_.at(trait);
    SuspectReport report{
        trait, suspect.expires_at - now, suspect.was_answered, {}};
    for (const auto& [crash_id, crash] : suspect.crashes) {
      report.crashes.push_back({crash_id, std::max(Duration(0), now - crash.at),
                                crash.customer, crash.is_confirmed,
                                crash.is_refuted});
    }
    const std::size_t n = std::min(report.crashes.size(), kMaxCrashesPerReport);
    std::partial_sort(report.crashes.begin(),
                      report.crashes.begin() + static_cast<std::ptrdiff_t>(n),
                      report.crashes.end(),
                      [](const CrashEvidence& a, const CrashEvidence& b) {
                        return a.age < b.age;
                      });
    report.crashes.resize(n);
    reports.push_back(std::move(report));
  }
  return reports;
}

void CrashSuspects::Expire(TimePoint now) {
  // Blame extends the time for which evidence is kept.
  if (is_blame_outdated_) {
    UpdateBlame();
  }
  const std::size_t n = std::erase_if(
      suspects_, [now](const auto& it) { return now >= it.second.expires_at; });
  is_blame_outdated_ = is_blame_outdated_ || n > 0;
  std::erase_if(known_crashes_, [now](const auto& it) {
    return now - it.second.at > kBlameRetention;
  });
}

}  // namespace corianderpost
