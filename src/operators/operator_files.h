// Reads the operators' files and collects them into one bundle.
//
// Operators keep files named `*.corianderpost.yaml` next to the code of each
// service. A file has one or more of the keys `zones`, `customers` and
// `service`. All files are validated together, so that an incomplete bundle is
// never written.
//
// All functions are thread-safe.
#ifndef CORIANDERPOST_OPERATORS_OPERATOR_FILES_H_
#define CORIANDERPOST_OPERATORS_OPERATOR_FILES_H_

#include <string>
#include <vector>

#include "operators/bundle.h"
#include "runtime/checked_yaml.h"

namespace corianderpost {

// Suffix of the names of operators' files.
inline constexpr char kOperatorFileSuffix[] = ".corianderpost.yaml";

// Returns the paths of the operators' files in `directory` and its
// subdirectories, sorted. Throws YamlError if a directory can't be read or
// there are no such files.
std::vector<std::string> FindOperatorFiles(const std::string& directory);

// Returns the bundle's JSON. Throws YamlError for the first error in the files,
// or if the bundle exceeds `kMaxBundleBytes`.
std::string CollectBundle(const std::vector<std::string>& files);

// Returns descriptions of the differences from `old` to `next`, one for each
// zone, customer or service that was added, removed or changed. If several
// properties of one item changed, its description may name only some of them.
std::vector<std::string> DescribeChanges(const Bundle& old, const Bundle& next);

}  // namespace corianderpost

#endif  // CORIANDERPOST_OPERATORS_OPERATOR_FILES_H_
