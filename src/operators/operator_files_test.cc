#include "operators/operator_files.h"

#include <doctest/doctest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>

namespace corianderpost {
namespace {

// A folder with operators' files, removed at the end.
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
  // Returns the error that collecting gives, without the directory.
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
    return "no fault";
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

TEST_CASE("files in order become one bundle") {
  const OperatorDirectory directory;
  const auto bundle = Bundle::Parse(directory.Collect(), 3);
  REQUIRE(bundle.ok());
  CHECK((*bundle)->revision() == 3);
  CHECK((*bundle)->services().size() == 1);
  CHECK((*bundle)->WeightOf(ServiceId::FromName("assistant"),
                            CustomerId::FromName("other-club")) == 2);
}

TEST_CASE("a misspelt key is pointed at, with the nearest known one") {
  const OperatorDirectory directory;
  directory.Write("service", "service:\n  name: x\n  knid: model\n");
  CHECK(directory.CollectError() ==
        "service.corianderpost.yaml:3:3: unknown key 'knid'; did you mean "
        "'kind'?");
}

TEST_CASE("two files that claim one service are both named") {
  const OperatorDirectory directory;
  directory.Write("twice", OperatorDirectory::ServiceYaml("assistant", ""));
  CHECK(directory.CollectError() ==
        "twice.corianderpost.yaml:2:9: service 'assistant' is already given "
        "at service.corianderpost.yaml:2:9");
}

TEST_CASE("a weight of zero is refused") {
  const OperatorDirectory directory;
  directory.Write("customers",
                  "customers:\n  - {name: club, weight: 0, key_digests: []}\n");
  CHECK(directory.CollectError() ==
        "customers.corianderpost.yaml:2:26: a number greater than zero is "
        "expected here");
}

TEST_CASE("a share for an unknown customer is refused") {
  const OperatorDirectory directory;
  directory.Write("service", OperatorDirectory::ServiceYaml(
                                 "assistant", "  shares: {clubb: 2}\n"));
  CHECK(directory.CollectError() ==
        "service.corianderpost.yaml:5:12: unknown customer 'clubb'; did you "
        "mean 'club'?");
}

TEST_CASE("more cold slots than slots are refused") {
  const OperatorDirectory directory;
  directory.Write("service",
                  "service:\n  name: x\n  kind: model\n  limits: {slots: 2, "
                  "cold_slots: 3, max_wait_ms: 1, max_waiting: 1}\n");
  CHECK(directory.CollectError() ==
        "service.corianderpost.yaml:4:34: a number from 1 to 2 is expected "
        "here, not 3");
}

TEST_CASE("a service's share goes before the customer's weight") {
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

TEST_CASE("a bundle over the limit is refused") {
  const OperatorDirectory directory;
  std::string many = "customers:\n";
  for (int i = 0; i < 16'000; ++i) {
    many += "  - {name: customer-with-a-rather-long-name-" + std::to_string(i) +
            ", weight: 1.5, key_digests: []}\n";
  }
  directory.Write("customers", many);
  CHECK(directory.CollectError().ends_with("bytes; the limit is 1000000"));
}

TEST_CASE("text that is no YAML is pointed at") {
  const OperatorDirectory directory;
  directory.Write("zones", "zones: [\n");
  CHECK(directory.CollectError().starts_with("zones.corianderpost.yaml:2:1: "));
}

TEST_CASE("changes are said in words") {
  const OperatorDirectory directory;
  const auto old = *Bundle::Parse(directory.Collect(), 0);
  directory.Write("zones", "zones:\n  - {name: a, region: west, state: out}\n");
  directory.Write("customers",
                  "customers:\n  - {name: club, weight: 3, key_digests: []}\n");
  const auto next = *Bundle::Parse(directory.Collect(), 0);
  CHECK(DescribeChanges(*old, *next) ==
        std::vector<std::string>{"zone a is taken out",
                                 "customer other-club is removed",
                                 "customer club changes weight from 1 to 3"});
}

}  // namespace
}  // namespace corianderpost
