// YAML reader that reports the location of errors.
//
// Every error is a `YamlError` whose message starts with "file:line:column: ".
// The message for an unknown key suggests a similar allowed key.
#ifndef CORIANDERPOST_RUNTIME_CHECKED_YAML_H_
#define CORIANDERPOST_RUNTIME_CHECKED_YAML_H_

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace corianderpost {

// The YAML can't be parsed, or a value is missing or invalid.
class YamlError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// A node of a YAML file and its location. Copyable. Not thread-safe: nodes of
// one file share state. The accessors throw YamlError.
class CheckedYaml {
 public:
  // Parses the file at `path`. Throws if it can't be read or parsed.
  static CheckedYaml FromFile(const std::string& path);
  // Parses `text`. Errors show `name` as the file name. Throws if the text
  // can't be parsed.
  static CheckedYaml FromText(const std::string& text, const std::string& name);

  // Throws unless this is a map whose keys are all in `allowed_keys`.
  void RequireOnlyKeys(const std::vector<std::string>& allowed_keys) const;

  // Returns the value of a map's key. Throws if this is not a map or the key is
  // missing.
  CheckedYaml Get(const std::string& key) const;
  // Like `Get`, but returns nothing if the key is missing.
  std::optional<CheckedYaml> Find(const std::string& key) const;
  // Returns a sequence's items. Throws if this is not a sequence.
  std::vector<CheckedYaml> Items() const;
  struct Entry;
  // Returns a map's entries in file order. Throws if this is not a map.
  std::vector<Entry> Entries() const;

  // Throws unless the value is a non-empty scalar.
  std::string AsString() const;
  // Throws unless the value is an integer from `min` to `max`, both included.
  std::int64_t AsInt(std::int64_t min, std::int64_t max) const;
  // Throws unless the value is a finite number greater than zero.
  double AsPositiveNumber() const;
  // Throws unless the value is a boolean.
  bool AsBool() const;
  // Throws unless the value is one of `choices`.
  std::string AsOneOf(const std::vector<std::string>& choices) const;

  // Returns "file:line:column"; line and column count from 1.
  std::string Location() const;
  // Throws a YamlError with this node's location and `reason`.
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

// Returns the choice with the smallest edit distance from `word`, or an empty
// string if none is within three edits.
std::string ClosestMatch(const std::string& word,
                         const std::vector<std::string>& choices);

}  // namespace corianderpost

#endif  // CORIANDERPOST_RUNTIME_CHECKED_YAML_H_
