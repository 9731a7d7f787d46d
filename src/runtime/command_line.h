// What every program's command line has in common.
#ifndef CORIANDERPOST_RUNTIME_COMMAND_LINE_H_
#define CORIANDERPOST_RUNTIME_COMMAND_LINE_H_

#include <boost/program_options.hpp>
#include <functional>
#include <stdexcept>
#include <string>

namespace corianderpost::internal {

inline constexpr int kExitSuccess = 0;
inline constexpr int kExitFailure = 1;
inline constexpr int kExitUsage = 2;

// Wrong use of a program or wrong settings; ends it with kExitUsage.
class UsageError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct ProgramDescription {
  std::string name;
  // One line on what the program does.
  std::string purpose;
  boost::program_options::options_description options;
  // Names of positional arguments, in order; the last may repeat.
  std::vector<std::string> positional;
};

// Parses the command line and runs `body`, whose result is the exit code. Adds
// --help and --version. Errors become one line on standard error.
int RunProgram(
    int argc, char** argv, const ProgramDescription& program,
    const std::function<int(const boost::program_options::variables_map&)>&
        body);

}  // namespace corianderpost::internal

#endif  // CORIANDERPOST_RUNTIME_COMMAND_LINE_H_
