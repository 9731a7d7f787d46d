// What a load run saw, as table, CSV and plot.
#ifndef CORIANDERPOST_INTERNAL_LOAD_REPORT_H_
#define CORIANDERPOST_INTERNAL_LOAD_REPORT_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <ostream>
#include <string>
#include <vector>

#include "corianderpost/clock.h"

namespace corianderpost::internal {

enum class CallResult {
  // The answer was whole and right.
  kWhole,
  // Refused with outcome "not-run".
  kRefusedNotRun,
  // Refused with outcome "unknown", or failed plainly.
  kFailed,
  // Looked whole but was another answer or a part of one.
  kWrong,
};

// One call of a customer.
struct CallRecord {
  std::string customer;
  CallResult result = CallResult::kFailed;
  Duration started{0};
  Duration ended{0};
  // Zero if no output came.
  Duration first_token{0};
  std::vector<Duration> between_tokens;
  std::uint64_t tokens = 0;
};

// Gathers records. Thread-safe.
class LoadReport {
 public:
  void Add(CallRecord record);
  // Writes a row of figures per customer.
  void WriteTable(std::ostream& out) const;
  // Writes one line a call.
  void WriteCsv(std::ostream& out) const;
  // Writes tokens received over time, a line per customer, as SVG.
  void WritePlot(std::ostream& out) const;
  std::uint64_t Count(CallResult result) const;

 private:
  std::map<std::string, std::vector<CallRecord>> ByCustomer() const;

  mutable std::mutex mutex_;
  std::vector<CallRecord> records_;
};

}  // namespace corianderpost::internal

#endif  // CORIANDERPOST_INTERNAL_LOAD_REPORT_H_
