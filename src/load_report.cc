#include "corianderpost/internal/load_report.h"

#include <algorithm>
#include <array>
#include <iomanip>

namespace corianderpost::internal {
namespace {

constexpr double kPlotWidth = 760;
constexpr double kPlotHeight = 360;
constexpr double kPlotMargin = 50;
constexpr std::array kColours = {"#1b6ca8", "#d1495b", "#66a182", "#edae49",
                                 "#5b3f8c", "#2e4057", "#a0522d", "#008b8b",
                                 "#c71585", "#708090"};

double Milliseconds(Duration duration) {
  return static_cast<double>(duration.count()) / 1000.0;
}

double Seconds(Duration duration) { return Milliseconds(duration) / 1000.0; }

// Returns the value below which the share `q` of `values` lies.
Duration Quantile(std::vector<Duration> values, double q) {
  if (values.empty()) {
    return Duration(0);
  }
  const auto at =
      static_cast<std::ptrdiff_t>(q * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), values.begin() + at, values.end());
  return values[static_cast<std::size_t>(at)];
}

const char* ResultName(CallResult result) {
  switch (result) {
    case CallResult::kWhole:
      return "whole";
    case CallResult::kRefusedNotRun:
      return "not-run";
    case CallResult::kFailed:
      return "failed";
    case CallResult::kWrong:
      break;
  }
  return "wrong";
}

}  // namespace

void LoadReport::Add(CallRecord record) {
  const std::lock_guard lock(mutex_);
  records_.push_back(std::move(record));
}

std::uint64_t LoadReport::Count(CallResult result) const {
  const std::lock_guard lock(mutex_);
  return static_cast<std::uint64_t>(
      std::count_if(records_.begin(), records_.end(),
                    [&](const CallRecord& it) { return it.result == result; }));
}

std::map<std::string, std::vector<CallRecord>> LoadReport::ByCustomer() const {
  const std::lock_guard lock(mutex_);
  std::map<std::string, std::vector<CallRecord>> by_customer;
  for (const CallRecord& it : records_) {
    by_customer[it.customer].push_back(it);
  }
  return by_customer;
}

void LoadReport::WriteTable(std::ostream& out) const {
  out << std::left << std::setw(28) << "customer" << std::right;
  for (const char* it :
       {"calls", "whole", "not-run", "failed", "wrong", "tokens", "ft p50",
        "ft p95", "ft p99", "bt p50", "bt p95", "bt p99"}) {
    out << std::setw(9) << it;
  }
  out << "\n" << std::fixed << std::setprecision(1);
  for (const auto& [customer, records] : ByCustomer()) {
    std::vector<Duration> first;
    std::vector<Duration> between;
    std::array<std::uint64_t, 4> results{};
    std::uint64_t tokens = 0;
    for (const CallRecord& it : records) {
      ++results[static_cast<std::size_t>(it.result)];
      tokens += it.tokens;
      if (it.first_token.count() > 0) {
        first.push_back(it.first_token);
      }
      between.insert(between.end(), it.between_tokens.begin(),
                     it.between_tokens.end());
    }
    out << std::left << std::setw(28) << customer << std::right << std::setw(9)
        << records.size();
    for (const std::uint64_t it : results) {
      out << std::setw(9) << it;
    }
    out << std::setw(9) << tokens;
    for (const auto* values : {&first, &between}) {
      for (const double q : {0.5, 0.95, 0.99}) {
        out << std::setw(9) << Milliseconds(Quantile(*values, q));
      }
    }
    out << "\n";
  }
  out << "(ft: to the first token, bt: between tokens, in ms)\n";
}

void LoadReport::WriteCsv(std::ostream& out) const {
  const std::lock_guard lock(mutex_);
  out << "customer,result,started_s,ended_s,first_token_ms,tokens\n";
  for (const CallRecord& it : records_) {
    out << it.customer << "," << ResultName(it.result) << ","
        << Seconds(it.started) << "," << Seconds(it.ended) << ","
        << Milliseconds(it.first_token) << "," << it.tokens << "\n";
  }
}

void LoadReport::WritePlot(std::ostream& out) const {
  auto by_customer = ByCustomer();
  double last = 1;
  double most = 1;
  for (auto& [customer, records] : by_customer) {
    std::sort(records.begin(), records.end(),
              [](const auto& a, const auto& b) { return a.ended < b.ended; });
    double tokens = 0;
    for (const CallRecord& it : records) {
      tokens += static_cast<double>(it.tokens);
      last = std::max(last, Seconds(it.ended));
    }
    most = std::max(most, tokens);
  }
  out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\""
      << kPlotWidth + 260 << "\" height=\"" << kPlotHeight + 2 * kPlotMargin
      << "\" font-family=\"sans-serif\" font-size=\"12\">\n"
      << "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n"
      << "<text x=\"" << kPlotMargin << "\" y=\"20\">Tokens received, up to "
      << most << " each, over " << last << " s</text>\n"
      << "<rect x=\"" << kPlotMargin << "\" y=\"" << kPlotMargin
      << "\" width=\"" << kPlotWidth - kPlotMargin << "\" height=\""
      << kPlotHeight << "\" fill=\"none\" stroke=\"#999\"/>\n";
  std::size_t index = 0;
  for (const auto& [customer, records] : by_customer) {
    const char* colour = kColours[index % kColours.size()];
    out << "<polyline fill=\"none\" stroke=\"" << colour << "\" points=\""
        << kPlotMargin << "," << kPlotMargin + kPlotHeight;
    double tokens = 0;
    for (const CallRecord& it : records) {
      tokens += static_cast<double>(it.tokens);
      out << " "
          << kPlotMargin + (kPlotWidth - kPlotMargin) * Seconds(it.ended) / last
          << "," << kPlotMargin + kPlotHeight * (1 - tokens / most);
    }
    out << "\"/>\n<text x=\"" << kPlotWidth + 15 << "\" y=\""
        << kPlotMargin + 18 * static_cast<double>(index + 1) << "\" fill=\""
        << colour << "\">" << customer << "</text>\n";
    ++index;
  }
  out << "</svg>\n";
}

}  // namespace corianderpost::internal
