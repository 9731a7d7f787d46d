// How a deployment's names on the wire map to the project's types.
#ifndef CORIANDERPOST_DATAPLANE_DIALECT_H_
#define CORIANDERPOST_DATAPLANE_DIALECT_H_

#include <boost/beast/http/fields.hpp>
#include <string>
#include <string_view>

#include "model/request.h"

namespace corianderpost {

using HttpFields = boost::beast::http::fields;

// What the router adds to a request towards a target.
struct ForwardedContext {
  // Time that the caller still waits.
  Duration remaining{0};
  std::string_view target_id;
  // Empty if the request has no customer.
  std::string_view customer;
  // The last event that the caller has; replaces its own value if not empty.
  std::string_view last_event_id;
};

// Implementations hold no state and may be used from any thread.
class Dialect {
 public:
  virtual ~Dialect() = default;
  // Reads a caller's headers. A value that can't be read counts as absent.
  virtual RequestMeta DecodeRequest(const HttpFields& fields) const = 0;
  // Reads the headers of a target's answer.
  virtual ResponseMeta DecodeResponse(const HttpFields& fields) const = 0;
  // Returns whether a caller's header is passed on as it came. `name` is in
  // lower case.
  virtual bool IsForwarded(std::string_view name) const = 0;
  // Appends the router's headers, each with its line end, to `out`.
  virtual void AppendContext(const ForwardedContext& context,
                             std::string& out) const = 0;
};

}  // namespace corianderpost

#endif  // CORIANDERPOST_DATAPLANE_DIALECT_H_
