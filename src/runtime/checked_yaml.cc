#include "runtime/checked_yaml.h"

#include <algorithm>
#include <cmath>
#include <fstream>
#include <numeric>
#include <sstream>

namespace corianderpost {
namespace {

constexpr std::size_t kMaxEditsForHint = 3;

// Returns the Levenshtein distance.
std::size_t EditDistance(const std::string& a, const std::string& b) {
  std::vector<std::size_t> row(b.size() + 1);
  std::iota(row.begin(), row.end(), 0);
  for (std::size_t i = 1; i <= a.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i;
    for (std::size_t j = 1; j <= b.size(); ++j) {
      const std::size_t replaced = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
      diagonal = row[j];
      row[j] = std::min({row[j] + 1, row[j - 1] + 1, replaced});
    }
  }
  return row.back();
}

std::string Join(const std::vector<std::string>& words) {
  std::string joined;
  for (const auto& it : words) {
    joined += (joined.empty() ? "" : ", ") + it;
  }
  return joined;
}

}  // namespace

std::string ClosestMatch(const std::string& word,
                         const std::vector<std::string>& choices) {
  std::string closest;
  std::size_t fewest_edits = kMaxEditsForHint + 1;
  for (const auto& it : choices) {
    const std::size_t edits = EditDistance(word, it);
    if (edits < fewest_edits) {
      fewest_edits = edits;
      closest = it;
    }
  }
  return closest;
}

CheckedYaml::CheckedYaml(std::string file, const YAML::Node& node)
    : file_(std::move(file)), node_(node) {}

CheckedYaml CheckedYaml::FromFile(const std::string& path) {
  std::ifstream in(path);
  if (!in) {
    throw YamlError(path + ":1:1: cannot open the file");
  }
  std::stringstream text;
  text << in.rdbuf();
  return FromText(text.str(), path);
}

CheckedYaml CheckedYaml::FromText(const std::string& text,
                                  const std::string& name) {
  try {
    return CheckedYaml(name, YAML::Load(text));
  } catch (const YAML::Exception& ex) {
    throw YamlError(name + ":" + std::to_string(ex.mark.line + 1) + ":" +
                    std::to_string(ex.mark.column + 1) + ": " + ex.msg);
  }
}

std::string CheckedYaml::Location() const {
  const YAML::Mark mark = node_.Mark();
  return file_ + ":" + std::to_string(mark.line + 1) + ":" +
         std::to_string(mark.column + 1);
}

void CheckedYaml::Fail(const std::string& reason) const {
  throw YamlError(Location() + ": " + reason);
}

void CheckedYaml::RequireOnlyKeys(
    const std::vector<std::string>& allowed_keys) const {
  for (const Entry& it : Entries()) {
    const std::string key = it.key.AsString();
    if (std::find(allowed_keys.begin(), allowed_keys.end(), key) !=
        allowed_keys.end()) {
      continue;
    }
    const std::string closest = ClosestMatch(key, allowed_keys);
    it.key.Fail("unknown key '" + key + "'" +
                (closest.empty() ? "; known keys: " + Join(allowed_keys)
                                 : "; did you mean '" + closest + "'?"));
  }
}

std::optional<CheckedYaml> CheckedYaml::Find(const std::string& key) const {
  if (!node_.IsMap()) {
    Fail("a map is expected here");
  }
  const YAML::Node value = node_[key];
  if (!value) {
    return std::nullopt;
  }
  return CheckedYaml(file_, value);
}

CheckedYaml CheckedYaml::Get(const std::string& key) const {
  auto value = Find(key);
  if (!value) {
    Fail("key '" + key + "' is missing");
  }
  return *value;
}

std::vector<CheckedYaml> CheckedYaml::Items() const {
  if (!node_.IsSequence()) {
    Fail("a list is expected here");
  }
  std::vector<CheckedYaml> items;
  for (const auto& it : node_) {
    items.push_back(CheckedYaml(file_, it));
  }
  return items;
}

std::vector<CheckedYaml::Entry> CheckedYaml::Entries() const {
  if (!node_.IsMap()) {
    Fail("a map is expected here");
  }
  std::vector<Entry> entries;
  for (const auto& it : node_) {
    entries.push_back(
        {CheckedYaml(file_, it.first), CheckedYaml(file_, it.second)});
  }
  return entries;
}

std::string CheckedYaml::AsString() const {
  if (!node_.IsScalar() || node_.Scalar().empty()) {
    Fail("a non-empty string is expected here");
  }
  return node_.Scalar();
}

std::int64_t CheckedYaml::AsInt(std::int64_t min, std::int64_t max) const {
  std::int64_t value = 0;
  if (!node_.IsScalar() || !YAML::convert<std::int64_t>::decode(node_, value)) {
    Fail("an integer is expected here");
  }
  if (value < min || value > max) {
    Fail("a number from " + std::to_string(min) + " to " + std::to_string(max) +
         " is expected here, not " + std::to_string(value));
  }
  return value;
}

double CheckedYaml::AsPositiveNumber() const {
  double value = 0;
  if (!node_.IsScalar() || !YAML::convert<double>::decode(node_, value) ||
      !std::isfinite(value) || value <= 0) {
    Fail("a number greater than zero is expected here");
  }
  return value;
}

bool CheckedYaml::AsBool() const {
  bool value = false;
  if (!node_.IsScalar() || !YAML::convert<bool>::decode(node_, value)) {
    Fail("true or false is expected here");
  }
  return value;
}

std::string CheckedYaml::AsOneOf(
    const std::vector<std::string>& choices) const {
  std::string value = AsString();
  if (std::find(choices.begin(), choices.end(), value) == choices.end()) {
    Fail("one of " + Join(choices) + " is expected here, not '" + value + "'");
  }
  return value;
}

}  // namespace corianderpost
