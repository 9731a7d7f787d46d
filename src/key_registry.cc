#include "corianderpost/internal/key_registry.h"

#include <cinttypes>
#include <cstdio>

#include "corianderpost/internal/timing.h"

namespace corianderpost::internal {
namespace {

// "cp", then three hexadecimal numbers of fixed width.
constexpr char kKeyFormat[] = "cp-%08" PRIx32 "-%016" PRIx64 "-%016" PRIx64;
constexpr std::size_t kKeyLength = 2 + 1 + 8 + 1 + 16 + 1 + 16;

}  // namespace

std::string IssuedKey::ToString() const {
  char buf[kKeyLength + 1];
  std::snprintf(buf, sizeof(buf), kKeyFormat, home.value(), incarnation,
                number);
  return buf;
}

std::optional<IssuedKey> IssuedKey::Parse(std::string_view text) {
  std::uint32_t home = 0;
  IssuedKey key;
  if (text.size() != kKeyLength ||
      std::sscanf(std::string(text).c_str(),
                  "cp-%8" SCNx32 "-%16" SCNx64 "-%16" SCNx64, &home,
                  &key.incarnation, &key.number) != 3) {
    return std::nullopt;
  }
  key.home = VmId(home);
  if (key.ToString() != text) {
    return std::nullopt;
  }
  return key;
}

IssuedKey KeyRegistry::Issue(TimePoint now, CustomerId customer) {
  const std::uint64_t number = next_++;
  entries_[number] = {customer, now + kKeyLifetime, State::kIssued, 0, 0};
  return {self_, incarnation_, number};
}

Claim KeyRegistry::Take(TimePoint now, const IssuedKey& key,
                        CustomerId customer, std::uint64_t fingerprint,
                        RequestId request) {
  const auto it = entries_.find(key.number);
  if (it == entries_.end() || it->second.customer != customer ||
      now >= it->second.expires_at) {
    return {ClaimResult::kNotIssued, 0};
  }
  Entry& entry = it->second;
  if (entry.state != State::kIssued && entry.fingerprint != fingerprint) {
    return {ClaimResult::kMismatch, 0};
  }
  switch (entry.state) {
    case State::kRunning:
      return {ClaimResult::kInProgress, 0};
    case State::kAnswered:
      return {ClaimResult::kAnswered, entry.request};
    case State::kUnknown:
      return {ClaimResult::kOutcomeUnknown, 0};
    case State::kIssued:
      break;
  }
  entry.state = State::kRunning;
  entry.fingerprint = fingerprint;
  entry.request = request;
  number_of_request_[request] = key.number;
  return {ClaimResult::kRun, 0};
}

void KeyRegistry::End(RequestId request, State state) {
  const auto it = number_of_request_.find(request);
  if (it == number_of_request_.end()) {
    return;
  }
  const auto entry = entries_.find(it->second);
  if (entry != entries_.end()) {
    entry->second.state = state;
  }
  number_of_request_.erase(it);
}

void KeyRegistry::EndNotRun(RequestId request) { End(request, State::kIssued); }

void KeyRegistry::EndAnswered(RequestId request) {
  End(request, State::kAnswered);
}

void KeyRegistry::EndUnknown(RequestId request) {
  End(request, State::kUnknown);
}

std::vector<RequestId> KeyRegistry::Expire(TimePoint now) {
  std::vector<RequestId> forgotten;
  for (auto it = entries_.begin(); it != entries_.end();) {
    // Numbers are issued in order of time.
    if (now < it->second.expires_at) {
      break;
    }
    if (it->second.state == State::kRunning) {
      ++it;
      continue;
    }
    if (it->second.state == State::kAnswered) {
      forgotten.push_back(it->second.request);
    }
    it = entries_.erase(it);
  }
  return forgotten;
}

}  // namespace corianderpost::internal
