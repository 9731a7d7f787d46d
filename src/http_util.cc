#include "corianderpost/internal/http_util.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <pthread.h>

#include <charconv>
#include <csignal>
#include <stdexcept>

namespace corianderpost::internal {
namespace {

constexpr std::size_t kKeepAliveRequests = 1'000'000;
constexpr time_t kKeepAliveSeconds = 30;
constexpr int kMaxPort = 65535;

sigset_t StopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  // Ends the wait when no stop was asked for.
  sigaddset(&signals, SIGUSR1);
  return signals;
}

void SetExclusivePort(socket_t sock) {
  const int yes = 1;
  // The library's default also sets SO_REUSEPORT, which hides a port in use.
  setsockopt(sock, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
}

}  // namespace

HostPort ParseHostPort(const std::string& text) {
  const auto colon = text.rfind(':');
  HostPort address;
  in_addr parsed{};
  if (colon != std::string::npos) {
    address.host = text.substr(0, colon);
    const char* end = text.data() + text.size();
    const auto [stop, ec] =
        std::from_chars(text.data() + colon + 1, end, address.port);
    if (ec != std::errc() || stop != end) {
      address.port = 0;
    }
  }
  if (inet_pton(AF_INET, address.host.c_str(), &parsed) != 1 ||
      address.port < 1 || address.port > kMaxPort) {
    throw std::invalid_argument("'" + text + "' is no address IP:port");
  }
  return address;
}

void ConfigureServer(httplib::Server& server, std::size_t threads,
                     std::size_t max_body_bytes) {
  server.new_task_queue = [threads] {
    return new httplib::ThreadPool(threads);
  };
  server.set_socket_options(SetExclusivePort);
  server.set_tcp_nodelay(true);
  server.set_keep_alive_max_count(kKeepAliveRequests);
  server.set_keep_alive_timeout(kKeepAliveSeconds);
  server.set_payload_max_length(max_body_bytes);
}

void Serve(httplib::Server& server, const HostPort& address) {
  if (!server.bind_to_port(address.host, address.port)) {
    throw std::runtime_error("cannot listen on " + address.host + ":" +
                             std::to_string(address.port) +
                             ": the port may be in use");
  }
  server.listen_after_bind();
}

std::unique_ptr<httplib::Client> MakeClient(const HostPort& address,
                                            Duration connect_timeout,
                                            Duration read_timeout) {
  auto client = std::make_unique<httplib::Client>(address.host, address.port);
  client->set_connection_timeout(connect_timeout);
  client->set_read_timeout(read_timeout);
  client->set_tcp_nodelay(true);
  client->set_keep_alive(true);
  return client;
}

StopSignal::StopSignal() {
  const sigset_t signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

void StopSignal::OnStop(std::function<void()> on_stop) {
  waiter_ = std::thread([on_stop = std::move(on_stop)] {
    const sigset_t signals = StopSignals();
    int signal = 0;
    sigwait(&signals, &signal);
    if (signal != SIGUSR1) {
      on_stop();
    }
  });
}

StopSignal::~StopSignal() {
  if (waiter_.joinable()) {
    pthread_kill(waiter_.native_handle(), SIGUSR1);
    waiter_.join();
  }
}

}  // namespace corianderpost::internal
