#include "soak/call.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace corianderpost::soak {

ResponseFrame ParseResponseFrame(const std::string& bytes, bool is_at_end) {
  namespace http = boost::beast::http;
  http::response_parser<http::string_body> parser;
  parser.eager(true);
  boost::system::error_code ec;
  const std::size_t n = parser.put(boost::asio::buffer(bytes), ec);
  if (is_at_end && parser.is_header_done() && !parser.is_done() &&
      parser.need_eof()) {
    parser.put_eof(ec);
  }
  return {parser.is_done(), n};
}

}  // namespace corianderpost::soak
