#include "operators/operator_files.h"

#include <doctest/doctest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>

namespace corianderpost {
namespace {

// Temporary directory with valid operators' files. The destructor removes it.
class OperatorDirectory {
 public:
  OperatorDirectory()
      : path_(std::filesystem::temp_directory_path() / UniqueName()) {
    std::filesystem::create_directories(path_);
    Write("zones", "zones:\n  - {name: a, region: west}\n");
    Write("customers",
          "customers:\n  - {name: club, key_digests: []}\n"
          "  - {name: other-club, weight: 2, key_digests: []}\n");
    Write("service", ServiceYaml("assistant", ""));
  }
  ~OperatorDirectory() { std::filesystem::remove_all(path_); }

  void Write(const std::string& name, const std::string& text) const {
    std::ofstream(path_ / (name + kOperatorFileSuffix)) << text;
  }
  std::string Collect() const {
    return CollectBundle(FindOperatorFiles(path_.string()));
  }
  // Returns the error that `Collect` throws, without the directory's path.
  std::string CollectError() const {
    try {
      Collect();
    } catch (const YamlError& ex) {
      std::string text = ex.what();
      for (std::size_t pos = text.find(path_.string());
           pos != std::string::npos; pos = text.find(path_.string())) {
        text.erase(pos, path_.string().size() + 1);
      }
      return text;
    }
    return "no error";
  }
  static std::string ServiceYaml(const std::string& name,
                                 const std::string& rest) {
    return "service:\n  name: " + name +
           "\n  kind: model\n  limits: {slots: 8, cold_slots: 1, "
           "max_wait_ms: 1000, max_waiting: 9}\n" +
           rest;
  }

 private:
  static std::string UniqueName() {
    static int count = 0;
    return "corianderpost-test-" + std::to_string(getpid()) + "-" +
           std::to_string(count++);
  }
  const std::filesystem::path path_;
};

TEST_CASE("CollectBundle collects valid files into one bundle") {
  const OperatorDirectory directory;
  const auto bundle = Bundle::Parse(directory.Collect(), 3);
  REQUIRE(bundle.ok());
  CHECK((*bundle)->revision() == 3);
  CHECK((*bundle)->services().size() == 1);
  CHECK((*bundle)->WeightOf(ServiceId::FromName("assistant"),
                            CustomerId::FromName("other-club")) == 2);
}

TEST_CASE("CollectBundle suggests the closest known key for an unknown key") {
  const OperatorDirectory directory;
  directory.Write("service", "service:\n  name: x\n  knid: model\n");
  CHECK(directory.CollectError() ==
        "service.corianderpost.yaml:3:3: unknown key 'knid'; did you mean "
        "'kind'?");
}

TEST_CASE("CollectBundle names both locations of a duplicate service") {
  const OperatorDirectory directory;
  directory.Write("twice", OperatorDirectory::ServiceYaml("assistant", ""));
  CHECK(directory.CollectError() ==
        "twice.corianderpost.yaml:2:9: service 'assistant' is already defined "
        "at service.corianderpost.yaml:2:9");
}

TEST_CASE("CollectBundle rejects a weight of zero") {
  const OperatorDirectory directory;
  directory.Write("customers",
                  "customers:\n  - {name: club, weight: 0, key_digests: []}\n");
  CHECK(directory.CollectError() ==
        "customers.corianderpost.yaml:2:26: a number greater than zero is "
        "expected here");
}

TEST_CASE("CollectBundle rejects a share for an unknown customer") {
  const OperatorDirectory directory;
  directory.Write("service", OperatorDirectory::ServiceYaml(
                                 "assistant", "  shares: {clubb: 2}\n"));
  CHECK(directory.CollectError() ==
        "service.corianderpost.yaml:5:12: unknown customer 'clubb'; did you "
        "mean 'club'?");
}

TEST_CASE("CollectBundle rejects more cold slots than slots") {
  const OperatorDirectory directory;
  directory.Write("service",
                  "service:\n  name: x\n  kind: model\n  limits: {slots: 2, "
                  "cold_slots: 3, max_wait_ms: 1, max_waiting: 1}\n");
  CHECK(directory.CollectError() ==
        "service.corianderpost.yaml:4:34: a number from 1 to 2 is expected "
        "here, not 3");
}

TEST_CASE("A service's share overrides the customer's weight") {
  const OperatorDirectory directory;
  directory.Write("service", OperatorDirectory::ServiceYaml(
                                 "assistant", "  shares: {other-club: 2.5}\n"));
  const auto bundle = Bundle::Parse(directory.Collect(), 1);
  REQUIRE(bundle.ok());
  const ServiceId service = ServiceId::FromName("assistant");
  CHECK((*bundle)->WeightOf(service, CustomerId::FromName("other-club")) ==
        2.5);
  CHECK((*bundle)->WeightOf(service, CustomerId::FromName("club")) == 1);
}

TEST_CASE("CollectBundle rejects a bundle over the size limit") {
  const OperatorDirectory directory;
  std::string many = "customers:\n";
  for (int i = 0; i < 16'000; ++i) {
    many += "  - {name: customer-with-a-rather-long-name-" + std::to_string(i) +
            ", weight: 1.5, key_digests: []}\n";
  }
  directory.Write("customers", many);
  CHECK(directory.CollectError().ends_with("bytes; the limit is 1000000"));
}

TEST_CASE("CollectBundle reports the location of invalid YAML") {
  const OperatorDirectory directory;
  directory.Write("zones", "zones: [\n");
  CHECK(directory.CollectError().starts_with("zones.corianderpost.yaml:2:1: "));
}

TEST_CASE("DescribeChanges describes each change") {
  const OperatorDirectory directory;
  const auto old = *Bundle::Parse(directory.Collect(), 0);
  directory.Write("zones", "zones:\n  - {name: a, region: west, state: out}\n");
  directory.Write("customers",
                  "customers:\n  - {name: club, weight: 3, key_digests: []}\n");
  const auto next = *Bundle::Parse(directory.Collect(), 0);
  CHECK(DescribeChanges(*old, *next) ==
        std::vector<std::string>{"zone a is evacuated",
                                 "customer other-club is removed",
                                 "customer club changes weight from 1 to 3"});
}

}  // namespace
}  // namespace corianderpost
