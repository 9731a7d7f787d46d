// JSON-RPC between the router and the operators' command line.
//
// The headers of libjsonrpccpp do not compile as C++20; this interface hides
// them, and its source is built as C++14.
#ifndef CORIANDERPOST_INTERNAL_RPC_H_
#define CORIANDERPOST_INTERNAL_RPC_H_

#include <functional>
#include <memory>
#include <string>

namespace corianderpost {
namespace internal {

// Answers calls: takes the method's name and its parameters as JSON text, and
// returns the result as JSON text. Called from several threads.
using RpcHandler = std::function<std::string(const std::string& method,
                                             const std::string& parameters)>;

class RpcServer {
 public:
  // Serves `status`, `explain` and `drain` on the port. Throws
  // std::runtime_error if the port can't be had.
  static std::unique_ptr<RpcServer> Start(int port, RpcHandler handler);
  virtual ~RpcServer() = default;

 protected:
  RpcServer() = default;
};

// Calls a method at "http://IP:port". Returns the result as JSON text. Throws
// std::runtime_error if the router does not answer.
std::string CallRpc(const std::string& url, const std::string& method,
                    const std::string& parameters);

}  // namespace internal
}  // namespace corianderpost

#endif  // CORIANDERPOST_INTERNAL_RPC_H_
