#include "corianderpost/internal/rpc.h"

#include <jsonrpccpp/client.h>
#include <jsonrpccpp/client/connectors/httpclient.h>
#include <jsonrpccpp/server.h>
#include <jsonrpccpp/server/connectors/httpserver.h>

#include <stdexcept>

namespace corianderpost {
namespace internal {
namespace {

// Threads that answer operators.
constexpr int kServerThreads = 2;
constexpr int kTimeoutMilliseconds = 5000;

Json::Value ParseJson(const std::string& text) {
  Json::Value value;
  Json::Reader reader;
  if (!reader.parse(text, value)) {
    throw std::runtime_error("malformed JSON in a remote call");
  }
  return value;
}

std::string WriteJson(const Json::Value& value) {
  return Json::FastWriter().write(value);
}

class Server final : public RpcServer, public jsonrpc::AbstractServer<Server> {
 public:
  Server(jsonrpc::HttpServer* connector, RpcHandler handler)
      : jsonrpc::AbstractServer<Server>(*connector),
        connector_(connector),
        handler_(std::move(handler)) {
    Bind("status", &Server::Status);
    Bind("explain", &Server::Explain);
    Bind("drain", &Server::Drain);
  }
  ~Server() override { StopListening(); }

  void Status(const Json::Value& in, Json::Value& out) {
    out = Answer("status", in);
  }
  void Explain(const Json::Value& in, Json::Value& out) {
    out = Answer("explain", in);
  }
  void Drain(const Json::Value& in, Json::Value& out) {
    out = Answer("drain", in);
  }

 private:
  using Method = void (Server::*)(const Json::Value&, Json::Value&);

  void Bind(const std::string& name, Method method) {
    bindAndAddMethod(jsonrpc::Procedure(name, jsonrpc::PARAMS_BY_NAME,
                                        jsonrpc::JSON_OBJECT, nullptr),
                     method);
  }
  Json::Value Answer(const std::string& method, const Json::Value& in) {
    return ParseJson(handler_(method, WriteJson(in)));
  }

  std::unique_ptr<jsonrpc::HttpServer> connector_;
  RpcHandler handler_;
};

}  // namespace

std::unique_ptr<RpcServer> RpcServer::Start(int port, RpcHandler handler) {
  std::unique_ptr<jsonrpc::HttpServer> connector(
      new jsonrpc::HttpServer(port, "", "", kServerThreads));
  std::unique_ptr<Server> server(
      new Server(connector.release(), std::move(handler)));
  if (!server->StartListening()) {
    throw std::runtime_error("cannot listen on admin port " +
                             std::to_string(port) + ": the port may be in use");
  }
  return std::unique_ptr<RpcServer>(std::move(server));
}

std::string CallRpc(const std::string& url, const std::string& method,
                    const std::string& parameters) {
  try {
    jsonrpc::HttpClient connector(url);
    connector.SetTimeout(kTimeoutMilliseconds);
    jsonrpc::Client client(connector);
    return WriteJson(client.CallMethod(method, ParseJson(parameters)));
  } catch (const jsonrpc::JsonRpcException& ex) {
    throw std::runtime_error(url + ": " + ex.GetMessage());
  }
}

}  // namespace internal
}  // namespace corianderpost
