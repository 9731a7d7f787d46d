#include "runtime/command_line.h"

#include <iostream>

#include "runtime/checked_yaml.h"

namespace corianderpost::internal {
namespace {

namespace po = boost::program_options;

constexpr char kVersion[] = "0.1.0";

int Fail(const std::string& name, const std::string& reason, int code) {
  std::cerr << name << ": " << reason << "\n";
  return code;
}

po::variables_map Parse(int argc, char** argv,
                        const ProgramDescription& program,
                        const po::options_description& options) {
  po::positional_options_description positional;
  for (std::size_t i = 0; i < program.positional.size(); ++i) {
    const bool is_last = i + 1 == program.positional.size();
    positional.add(program.positional[i].c_str(), is_last ? -1 : 1);
  }
  po::variables_map values;
  po::store(po::command_line_parser(argc, argv)
                .options(options)
                .positional(positional)
                .run(),
            values);
  if (values.count("help") == 0 && values.count("version") == 0) {
    po::notify(values);
  }
  return values;
}

}  // namespace

int RunProgram(int argc, char** argv, const ProgramDescription& program,
               const std::function<int(const po::variables_map&)>& body) {
  po::options_description options;
  options.add(program.options);
  options.add_options()("help,h", "print this help and exit")(
      "version", "print the version and exit");
  try {
    const po::variables_map values = Parse(argc, argv, program, options);
    if (values.count("help") != 0) {
      std::cout << program.name << ": " << program.purpose << "\n" << options;
      return kExitSuccess;
    }
    if (values.count("version") != 0) {
      std::cout << program.name << " " << kVersion << "\n";
      return kExitSuccess;
    }
    return body(values);
  } catch (const po::error& ex) {
    return Fail(program.name, ex.what(), kExitUsage);
  } catch (const UsageError& ex) {
    return Fail(program.name, ex.what(), kExitUsage);
  } catch (const YamlError& ex) {
    return Fail(program.name, ex.what(), kExitUsage);
  } catch (const std::exception& ex) {
    return Fail(program.name, ex.what(), kExitFailure);
  }
}

}  // namespace corianderpost::internal
