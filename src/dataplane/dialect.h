// Maps the HTTP headers of a deployment to the types of the router.
#ifndef CORIANDERPOST_DATAPLANE_DIALECT_H_
#define CORIANDERPOST_DATAPLANE_DIALECT_H_

#include <boost/beast/http/fields.hpp>
#include <string>
#include <string_view>

#include "model/request.h"

namespace corianderpost {

using HttpFields = boost::beast::http::fields;

// Values that the router adds to the headers of a request to a target.
struct ForwardedContext {
  // Time left until the caller's deadline or the route's timeout.
  Duration remaining{0};
  // Id of the intended target, so that another target that now has the address
  // can detect the mistake and reject the request.
  std::string_view target_id;
  // Name of the customer; empty if the request has none.
  std::string_view customer;
  // Id of the last event forwarded to the caller. If not empty, it replaces the
  // caller's Last-Event-Id header.
  std::string_view last_event_id;
};

// Reads and writes the headers of one deployment. Implementations are stateless
// and thread-safe.
class Dialect {
 public:
  virtual ~Dialect() = default;
  // Decodes the headers of a caller's request. A malformed value is treated as
  // absent.
  virtual RequestMeta DecodeRequest(const HttpFields& fields) const = 0;
  // Returns the API key of a caller's request, or an empty view. Costs less
  // than `DecodeRequest`. The view is valid as long as `fields`.
  virtual std::string_view DecodeApiKey(const HttpFields& fields) const = 0;
  // Decodes the headers of a target's response.
  virtual ResponseMeta DecodeResponse(const HttpFields& fields) const = 0;
  // Returns whether a caller's header is forwarded to the target unchanged.
  // `name` must be in lower case.
  virtual bool IsForwarded(std::string_view name) const = 0;
  // Appends the router's headers to `out`, each terminated by CRLF.
  virtual void AppendContext(const ForwardedContext& context,
                             std::string& out) const = 0;
};

}  // namespace corianderpost

#endif  // CORIANDERPOST_DATAPLANE_DIALECT_H_
