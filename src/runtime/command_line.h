// Command-line parsing, error reporting and exit codes of all programs.
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

// Invalid command line or settings. `RunProgram` returns kExitUsage for it.
class UsageError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct ProgramDescription {
  std::string name;
  // One line on what the program does.
  std::string purpose;
  boost::program_options::options_description options;
  // Names of the positional arguments, in order. The last one may repeat.
  std::vector<std::string> positional;
};

// Parses the command line, with --help and --version added, and runs `body`.
// Returns the exit code: the result of `body`; after an exception, kExitUsage
// for command-line errors, UsageError and YamlError, else kExitFailure. An
// exception is reported as one line on standard error.
int RunProgram(
    int argc, char** argv, const ProgramDescription& program,
    const std::function<int(const boost::program_options::variables_map&)>&
        body);

}  // namespace corianderpost::internal

#endif  // CORIANDERPOST_RUNTIME_COMMAND_LINE_H_
