// corianderpost-collect: validates the operators' files and collects them into
// one bundle.
#include <fstream>
#include <iostream>
#include <sstream>

#include "operators/operator_files.h"
#include "runtime/command_line.h"

namespace {

namespace po = boost::program_options;
using corianderpost::Bundle;
using corianderpost::internal::kExitSuccess;
using corianderpost::internal::UsageError;

std::string ReadFile(const std::string& path) {
  std::ifstream in(path);
  if (!in) {
    throw UsageError(path + ": cannot open the file");
  }
  std::stringstream text;
  text << in.rdbuf();
  return text.str();
}

std::shared_ptr<const Bundle> ParseBundle(const std::string& text,
                                          const std::string& name) {
  auto bundle = Bundle::Parse(text, 0);
  if (!bundle.ok()) {
    throw UsageError(name + ": " + std::string(bundle.status().message()));
  }
  return *bundle;
}

std::string Collect(const po::variables_map& values) {
  std::vector<std::string> directories;
  if (values.count("settings") != 0) {
    const auto settings = corianderpost::CheckedYaml::FromFile(
        values["settings"].as<std::string>());
    settings.RequireOnlyKeys({"directories"});
    for (const auto& it : settings.Get("directories").Items()) {
      directories.push_back(it.AsString());
    }
  }
  if (values.count("directory") != 0) {
    const auto from_flags = values["directory"].as<std::vector<std::string>>();
    directories.insert(directories.end(), from_flags.begin(), from_flags.end());
  }
  if (directories.empty()) {
    throw UsageError("no directory given; see --help");
  }
  std::vector<std::string> files;
  for (const auto& it : directories) {
    const auto found_files = corianderpost::FindOperatorFiles(it);
    files.insert(files.end(), found_files.begin(), found_files.end());
  }
  return corianderpost::CollectBundle(files);
}

void ShowChanges(const std::string& old_path, const std::string& text) {
  const auto old = ParseBundle(ReadFile(old_path), old_path);
  const auto next = ParseBundle(text, "new bundle");
  const auto lines = corianderpost::DescribeChanges(*old, *next);
  if (lines.empty()) {
    std::cout << "no changes\n";
  }
  for (const auto& it : lines) {
    std::cout << it << "\n";
  }
}

// Writes to a temporary file and renames it, so that a failed write leaves an
// existing file intact.
void WriteFile(const std::string& path, const std::string& text) {
  const std::string partial_path = path + ".partial";
  std::ofstream out(partial_path);
  out << text;
  out.close();
  if (!out || std::rename(partial_path.c_str(), path.c_str()) != 0) {
    throw std::runtime_error(path + ": cannot write the file");
  }
}

int Run(const po::variables_map& values) {
  const std::string text = Collect(values);
  ParseBundle(text, "new bundle");
  if (values.count("diff") != 0) {
    ShowChanges(values["diff"].as<std::string>(), text);
  }
  if (values.count("check") != 0) {
    std::cout << "the files are valid\n";
    return kExitSuccess;
  }
  if (values.count("out") != 0) {
    WriteFile(values["out"].as<std::string>(), text);
  } else if (values.count("diff") == 0) {
    std::cout << text;
  }
  return kExitSuccess;
}

}  // namespace

int main(int argc, char** argv) {
  corianderpost::internal::ProgramDescription program{
      "corianderpost-collect",
      "collects the *.corianderpost.yaml files in the directories and their "
      "subdirectories into one bundle",
      po::options_description("options"),
      {"directory"}};
  program.options.add_options()(
      "directory", po::value<std::vector<std::string>>(),
      "directory to search with its subdirectories; may be repeated")(
      "settings", po::value<std::string>(),
      "YAML file whose key 'directories' lists directories to search")(
      "check", "check the files and exit without writing the bundle")(
      "diff", po::value<std::string>(),
      "print the changes relative to this bundle file")(
      "out", po::value<std::string>(),
      "file to write the bundle to; without --out and --diff, the bundle goes "
      "to "
      "standard output");
  return corianderpost::internal::RunProgram(argc, argv, program, Run);
}
