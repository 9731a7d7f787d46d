// Reading of YAML that points at what is wrong.
//
// Every fault is a `YamlError` whose text begins with "file:line:column: ".
// Unknown keys are refused with the nearest known one.
#ifndef CORIANDERPOST_RUNTIME_CHECKED_YAML_H_
#define CORIANDERPOST_RUNTIME_CHECKED_YAML_H_

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace corianderpost {

class YamlError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// A node of a YAML file and where it stands. A value type; not thread-safe, as
// the nodes of one file share state.
class CheckedYaml {
 public:
  // Reads a whole file. Throws YamlError if it can't be read or parsed.
  static CheckedYaml FromFile(const std::string& path);
  // Parses `text`; `name` stands for the file in errors.
  static CheckedYaml FromText(const std::string& text, const std::string& name);

  // Throws unless this is a map with no keys but `allowed_keys`.
  void RequireOnlyKeys(const std::vector<std::string>& allowed_keys) const;

  // Returns a map's value. Throws if it is missing.
  CheckedYaml Get(const std::string& key) const;
  std::optional<CheckedYaml> Find(const std::string& key) const;
  // Returns a sequence's items. Throws if this is no sequence.
  std::vector<CheckedYaml> Items() const;
  struct Entry;
  // Returns a map's entries in order. Throws if this is no map.
  std::vector<Entry> Entries() const;

  std::string AsString() const;
  // Throws unless the value is a whole number within the bounds.
  std::int64_t AsInt(std::int64_t min, std::int64_t max) const;
  double AsPositiveNumber() const;
  bool AsBool() const;
  // Throws unless the value is one of `choices`.
  std::string AsOneOf(const std::vector<std::string>& choices) const;

  // Returns "file:line:column".
  std::string Location() const;
  // Throws a YamlError that points here.
  [[noreturn]] void Fail(const std::string& reason) const;

 private:
  CheckedYaml(std::string file, const YAML::Node& node);
  std::string file_;
  YAML::Node node_;
};

struct CheckedYaml::Entry {
  CheckedYaml key;
  CheckedYaml value;
};

// Returns the choice with the fewest edits from `word`, or an empty string if
// none is near.
std::string ClosestMatch(const std::string& word,
                         const std::vector<std::string>& choices);

}  // namespace corianderpost

#endif  // CORIANDERPOST_RUNTIME_CHECKED_YAML_H_
