// Formats HTTP/1.1 messages and removes hop-by-hop headers.
#ifndef CORIANDERPOST_DATAPLANE_HTTP_TEXT_H_
#define CORIANDERPOST_DATAPLANE_HTTP_TEXT_H_

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "dataplane/dialect.h"

namespace corianderpost {

using HttpRequest =
    boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponseHeader = boost::beast::http::response_header<>;

inline std::string_view ToView(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

std::string ToLower(std::string_view text);

// Returns the header names that the Connection headers list, in lower case.
std::vector<std::string> ConnectionTokens(const HttpFields& fields);

// How the Transfer-Encoding headers of a message delimit its body, RFC 9112
// section 6.
enum class TransferCoding {
  // There is no such header.
  kNone,
  // Chunked is the only coding.
  kChunked,
  // The chunked coding delimits the body, but other codings were applied to it.
  kUnsupported,
  // The length of the body can't be determined.
  kAmbiguous,
};

// Returns the transfer coding of a message. `fields` are the headers of its
// head, `version` is that of HTTP, 10 or 11. A Content-Length is not
// considered: the parser refuses it next to the chunked coding. Thread-safe.
TransferCoding TransferCodingOf(const HttpFields& fields, unsigned version);

// Returns the path of a request target, without its query.
std::string_view PathOf(std::string_view target);

// Formats the head of `request` for a target: request line, headers and the
// empty line. Hop-by-hop headers are removed. The body, of `body_size` bytes,
// follows unchanged.
std::string FormatForwardedHead(const HttpRequest& request,
                                std::size_t body_size, const Dialect& dialect,
                                const ForwardedContext& context);

// How a response delimits its body: Content-Length, chunked transfer coding, or
// no framing header, for responses without a body.
enum class Framing { kLength, kChunked, kNone };

// Formats the head of a target's response for the caller: status line, headers
// and the empty line. `length` is used with Framing::kLength only.
std::string FormatResponseHead(const HttpResponseHeader& head, Framing framing,
                               std::size_t length, bool close_connection);

// An error response of the router itself, not of a target.
struct LocalReply {
  int status = 503;
  // Human-readable; sent as "error" in a JSON object.
  std::string reason;
  // Sent as Retry-After, in seconds; omitted if zero.
  Duration retry_after{0};
  std::string request_id;
};

// Formats the complete response. `is_head` omits the body, for HEAD requests.
std::string FormatLocalReply(const LocalReply& reply, bool close_connection,
                             bool is_head);

// A response of the router's readiness and control endpoints.
struct TextReply {
  int status = 200;
  std::string content_type;
  std::string body;
};

std::string FormatTextReply(const TextReply& reply, bool close_connection);

// Formats part of a body as one chunk of a chunked body.
std::string FormatChunk(std::string_view data);
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

}  // namespace corianderpost

#endif  // CORIANDERPOST_DATAPLANE_HTTP_TEXT_H_
