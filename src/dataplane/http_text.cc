#include "dataplane/http_text.h"

#include <algorithm>
#include <boost/beast/http/status.hpp>
#include <cctype>
#include <charconv>
#include <nlohmann/json.hpp>

#include "absl/strings/ascii.h"
#include "absl/strings/str_split.h"

namespace corianderpost {
namespace {

namespace http = boost::beast::http;

// Hop-by-hop headers, RFC 9110 section 7.6.1, and headers that the router
// handles itself: Expect and Content-Length.
constexpr std::string_view kHopByHop[] = {"connection",
                                          "keep-alive",
                                          "te",
                                          "trailer",
                                          "upgrade",
                                          "proxy-connection",
                                          "transfer-encoding",
                                          "expect",
                                          "proxy-authorization",
                                          "content-length",
                                          "proxy-authenticate"};

bool IsHopByHop(std::string_view name,
                const std::vector<std::string>& connection_tokens) {
  return std::find(std::begin(kHopByHop), std::end(kHopByHop), name) !=
             std::end(kHopByHop) ||
         std::find(connection_tokens.begin(), connection_tokens.end(), name) !=
             connection_tokens.end();
}

void AppendHeader(std::string& out, std::string_view name,
                  std::string_view value) {
  out.append(name).append(": ").append(value).append("\r\n");
}

// Returns the elements of all comma-separated lists in headers `name`, in lower
// case and without surrounding whitespace. An empty list has one empty element.
std::vector<std::string> ListOf(const HttpFields& fields, http::field name) {
  std::vector<std::string> elements;
  const auto range = fields.equal_range(name);
  for (auto it = range.first; it != range.second; ++it) {
    const std::string list = ToLower(ToView(it->value()));
    for (const absl::string_view element : absl::StrSplit(list, ',')) {
      elements.emplace_back(absl::StripAsciiWhitespace(element));
    }
  }
  return elements;
}

// Returns the head of a local or text reply, without the empty line, so that
// further headers can follow.
std::string LocalReplyHead(int status, std::string_view content_type,
                           std::size_t length) {
  std::string out = "HTTP/1.1 " + std::to_string(status) + " ";
  out.append(ToView(http::obsolete_reason(static_cast<http::status>(status))));
  out.append("\r\n");
  AppendHeader(out, "Content-Type", content_type);
  AppendHeader(out, "Content-Length", std::to_string(length));
  return out;
}

}  // namespace

std::string ToLower(std::string_view text) {
  std::string lower(text);
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return lower;
}

std::vector<std::string> ConnectionTokens(const HttpFields& fields) {
  std::vector<std::string> tokens = ListOf(fields, http::field::connection);
  std::erase(tokens, "");
  return tokens;
}

TransferCoding TransferCodingOf(const HttpFields& fields, unsigned version) {
  if (fields.find(http::field::transfer_encoding) == fields.end()) {
    return TransferCoding::kNone;
  }
  const std::vector<std::string> codings =
      ListOf(fields, http::field::transfer_encoding);
  if (version < 11 || codings.back() != "chunked" ||
      std::count(codings.begin(), codings.end(), "chunked") != 1) {
    return TransferCoding::kAmbiguous;
  }
  return codings.size() == 1 ? TransferCoding::kChunked
                             : TransferCoding::kUnsupported;
}

std::string_view PathOf(std::string_view target) {
  return target.substr(0, target.find('?'));
}

std::string FormatForwardedHead(const HttpRequest& request,
                                std::size_t body_size, const Dialect& dialect,
                                const ForwardedContext& context) {
  std::string out;
  out.reserve(1024);
  out.append(ToView(request.method_string()))
      .append(" ")
      .append(ToView(request.target()))
      .append(" HTTP/1.1\r\n");
  const std::vector<std::string> connection_tokens = ConnectionTokens(request);
  for (const auto& it : request) {
    const std::string name = ToLower(ToView(it.name_string()));
    // Host selects the route, so a Connection header must not remove it.
    if (name != "host" && IsHopByHop(name, connection_tokens)) {
      continue;
    }
    if (!dialect.IsForwarded(name) ||
        (name == "last-event-id" && !context.last_event_id.empty())) {
      continue;
    }
    AppendHeader(out, ToView(it.name_string()), ToView(it.value()));
  }
  const bool had_length =
      request.find(http::field::content_length) != request.end() ||
      request.find(http::field::transfer_encoding) != request.end();
  if (had_length || body_size > 0) {
    AppendHeader(out, "Content-Length", std::to_string(body_size));
  }
  dialect.AppendContext(context, out);
  out.append("\r\n");
  return out;
}

std::string FormatResponseHead(const HttpResponseHeader& head, Framing framing,
                               std::size_t length, bool close_connection) {
  std::string out;
  out.reserve(512);
  out.append("HTTP/1.1 ").append(std::to_string(head.result_int()));
  const std::string_view reason = ToView(head.reason());
  out.append(" ").append(
      reason.empty() ? ToView(http::obsolete_reason(head.result())) : reason);
  out.append("\r\n");
  const std::vector<std::string> connection_tokens = ConnectionTokens(head);
  for (const auto& it : head) {
    const std::string name = ToLower(ToView(it.name_string()));
    if (!IsHopByHop(name, connection_tokens)) {
      AppendHeader(out, ToView(it.name_string()), ToView(it.value()));
    }
  }
  if (framing == Framing::kChunked) {
    out.append("Transfer-Encoding: chunked\r\n");
  } else if (framing == Framing::kLength) {
    AppendHeader(out, "Content-Length", std::to_string(length));
  }
  if (close_connection) {
    out.append("Connection: close\r\n");
  }
  out.append("\r\n");
  return out;
}

std::string FormatTextReply(const TextReply& reply, bool close_connection) {
  std::string out =
      LocalReplyHead(reply.status, reply.content_type, reply.body.size());
  out.append(close_connection ? "Connection: close\r\n\r\n" : "\r\n");
  return out.append(reply.body);
}

std::string FormatLocalReply(const LocalReply& reply, bool close_connection,
                             bool is_head) {
  const std::string body =
      nlohmann::json({{"error", reply.reason}})
          .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  std::string out =
      LocalReplyHead(reply.status, "application/json", body.size());
  if (reply.retry_after > Duration(0)) {
    char buf[32];
    const double seconds =
        std::chrono::duration<double>(reply.retry_after).count();
    const auto end = std::to_chars(buf, buf + sizeof(buf), seconds,
                                   std::chars_format::fixed, 3);
    AppendHeader(
        out, "Retry-After",
        std::string_view(buf, static_cast<std::size_t>(end.ptr - buf)));
  }
  if (close_connection) {
    out.append("Connection: close\r\n");
  }
  out.append("\r\n");
  if (!is_head) {
    out.append(body);
  }
  return out;
}

std::string FormatChunk(std::string_view data) {
  char buf[20];
  const auto end = std::to_chars(buf, buf + sizeof(buf), data.size(), 16);
  std::string out(buf, end.ptr);
  out.append("\r\n").append(data).append("\r\n");
  return out;
}

}  // namespace corianderpost
