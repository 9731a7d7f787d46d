#include "soak/call.h"

#include <doctest/doctest.h>

namespace corianderpost::soak {
namespace {

constexpr char kHead[] = "HTTP/1.1 200 OK\r\n";

TEST_CASE("A response that is cut before its length is incomplete") {
  const std::string whole =
      std::string(kHead) + "Content-Length: 5\r\n\r\nabcde";
  CHECK(ParseResponseFrame(whole, false) == ResponseFrame{true, whole.size()});
  CHECK_FALSE(
      ParseResponseFrame(whole.substr(0, whole.size() - 1), true).is_complete);
}

TEST_CASE(
    "A chunked response that is cut before its last chunk is incomplete") {
  const std::string cut =
      std::string(kHead) + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n";
  CHECK_FALSE(ParseResponseFrame(cut, true).is_complete);
  CHECK(ParseResponseFrame(cut + "0\r\n\r\n", false).is_complete);
}

TEST_CASE("A response without a length is complete at the close") {
  const std::string response = std::string(kHead) + "\r\nabc";
  CHECK_FALSE(ParseResponseFrame(response, false).is_complete);
  CHECK(ParseResponseFrame(response, true).is_complete);
}

TEST_CASE("Bytes after a response do not belong to it") {
  const std::string whole = std::string(kHead) + "Content-Length: 1\r\n\r\na";
  CHECK(ParseResponseFrame(whole + "HTTP", false) ==
        ResponseFrame{true, whole.size()});
}

}  // namespace
}  // namespace corianderpost::soak
