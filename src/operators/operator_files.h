// The operators' short files and the bundle that is collected from them.
//
// Operators keep files named `*.corianderpost.yaml` beside each service's code.
// Each holds any of the keys `zones`, `customers` and `service`. All files are
// checked as a whole, so that a bundle is either complete or not written.
#ifndef CORIANDERPOST_OPERATORS_OPERATOR_FILES_H_
#define CORIANDERPOST_OPERATORS_OPERATOR_FILES_H_

#include <string>
#include <vector>

#include "operators/bundle.h"
#include "runtime/checked_yaml.h"

namespace corianderpost {

inline constexpr char kOperatorFileSuffix[] = ".corianderpost.yaml";

// Returns the operators' files below `directory`, sorted by path. Throws
// YamlError if the directory can't be read or has none.
std::vector<std::string> FindOperatorFiles(const std::string& directory);

// Returns the bundle's JSON. Throws YamlError at the first fault.
std::string CollectBundle(const std::vector<std::string>& files);

// Returns, a line each, what `next` changes against `old`.
std::vector<std::string> DescribeChanges(const Bundle& old, const Bundle& next);

}  // namespace corianderpost

#endif  // CORIANDERPOST_OPERATORS_OPERATOR_FILES_H_
