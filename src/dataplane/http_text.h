// HTTP/1.1 heads as text, and which headers concern only one connection.
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

// Returns `text` in lower case.
std::string ToLower(std::string_view text);

// Names, in lower case, that the Connection header lists.
std::vector<std::string> ConnectionTokens(const HttpFields& fields);

// Returns the request's path without its query.
std::string_view PathOf(std::string_view target);

// Returns the head of a request to a target, with its empty line. The body, of
// `body_size` bytes, goes after it unchanged.
std::string FormatForwardedHead(const HttpRequest& request,
                                std::size_t body_size, const Dialect& dialect,
                                const ForwardedContext& context);

// How the length of an answer's body is told.
enum class Framing { kLength, kChunked, kNone };

// Returns the head of a target's answer for the caller, with its empty line.
std::string FormatResponseHead(const HttpResponseHeader& head, Framing framing,
                               std::size_t length, bool close_connection);

// An answer that the router makes itself.
struct LocalReply {
  int status = 503;
  // Shown to people; JSON goes around it.
  std::string reason;
  // Not sent if zero.
  Duration retry_after{0};
  std::string request_id;
};

// Returns the whole answer.
std::string FormatLocalReply(const LocalReply& reply, bool close_connection,
                             bool is_head);

// A whole answer of the router's own pages.
struct TextReply {
  int status = 200;
  std::string content_type;
  std::string body;
};

std::string FormatTextReply(const TextReply& reply, bool close_connection);

// Wraps a piece of a body as a chunk.
std::string FormatChunk(std::string_view data);
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

}  // namespace corianderpost

#endif  // CORIANDERPOST_DATAPLANE_HTTP_TEXT_H_
