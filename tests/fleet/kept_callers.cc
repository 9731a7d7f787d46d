#include "fleet/kept_callers.h"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>

#include "dataplane/upstream.h"
#include "platform/standin_wire.h"

namespace corianderpost::soak {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

constexpr Duration kCallerTimeout = std::chrono::seconds(4);

}  // namespace

struct KeptCallers::Caller {
  explicit Caller(asio::io_context& loop) : socket(loop) {}
  tcp::socket socket;
  std::array<char, 4096> buffer{};
  std::string input;
  std::string output;
  std::optional<http::response_parser<http::string_body>> parser;
  // Null between two requests.
  std::shared_ptr<KeptCall> call;
  std::size_t router = 0;
  bool is_connected = false;
  bool is_connecting = false;
  TimePoint next_at;
  // When the connection has been idle for too long to be used again.
  TimePoint reusable_until;
};

KeptCallers::KeptCallers(EngineFleet& fleet, std::vector<std::string> customers,
                         std::vector<std::string> paths, int callers,
                         Duration max_pause, std::uint64_t seed)
    : fleet_(fleet),
      customers_(std::move(customers)),
      paths_(std::move(paths)),
      max_pause_(max_pause),
      random_(seed) {
  for (int i = 0; i < callers; ++i) {
    callers_.push_back(std::make_shared<Caller>(fleet.loop()));
    ScheduleNext(callers_.back());
  }
}

KeptCallers::~KeptCallers() {
  for (const auto& it : callers_) {
    boost::system::error_code ignored;
    it->socket.close(ignored);
  }
  // Runs the handlers of the closed sockets while this object exists.
  fleet_.PlayFor(std::chrono::milliseconds(10));
}

void KeptCallers::operator()(TimePoint now) {
  for (const auto& it : callers_) {
    if (is_stopped_ || it->call || it->is_connecting || now < it->next_at) {
      continue;
    }
    if (it->is_connected && now < it->reusable_until) {
      Send(it);
    } else {
      Connect(it);
    }
  }
}

std::size_t KeptCallers::OpenCount() const {
  return static_cast<std::size_t>(std::count_if(
      calls_.begin(), calls_.end(),
      [](const auto& it) { return !it->is_complete && !it->was_cut; }));
}

void KeptCallers::ScheduleNext(const std::shared_ptr<Caller>& caller) {
  std::uniform_int_distribution<Duration::rep> pause(0, max_pause_.count());
  caller->next_at = fleet_.Now() + Duration(pause(random_));
}

void KeptCallers::Connect(const std::shared_ptr<Caller>& caller) {
  caller->is_connecting = true;
  caller->router = random_() % fleet_.routers().size();
  caller->is_connected = false;
  caller->input.clear();
  boost::system::error_code ignored;
  caller->socket.close(ignored);
  caller->socket = tcp::socket(fleet_.loop());
  caller->socket.async_connect(
      *ParseEndpoint(fleet_.routers()[caller->router]->address()),
      [this, caller](boost::system::error_code ec) {
        caller->is_connecting = false;
        if (ec) {
          ScheduleNext(caller);
          return;
        }
        caller->is_connected = true;
        Send(caller);
        Read(caller);
      });
}

void KeptCallers::Send(const std::shared_ptr<Caller>& caller) {
  const TimePoint now = fleet_.Now();
  const std::string number = std::to_string(calls_.size());
  const std::string path = paths_[random_() % paths_.size()];
  auto call = std::make_shared<KeptCall>(
      KeptCall{caller->router, "k" + number, path, now});
  calls_.push_back(call);
  caller->call = std::move(call);
  caller->parser.emplace();
  caller->parser->eager(true);
  platform::StandinRequest request = {
      "GET",
      path + "x" + number,
      "fleet.example",
      caller->call->request_id,
      customers_[random_() % customers_.size()],
      kCallerTimeout,
      500,
      20,
      {{1 + random_() % 3, 300}, {random_(), 200}}};
  request.keeps_connection = true;
  caller->output = platform::FormatStandinRequest(request);
  asio::async_write(caller->socket, asio::buffer(caller->output),
                    [caller](boost::system::error_code, std::size_t) {});
}

void KeptCallers::Read(const std::shared_ptr<Caller>& caller) {
  caller->socket.async_read_some(
      asio::buffer(caller->buffer),
      [this, caller](boost::system::error_code ec, std::size_t n) {
        if (ec == asio::error::operation_aborted) {
          return;
        }
        HandleInput(caller, n);
        if (ec) {
          HandleEnd(caller);
        } else if (caller->is_connected) {
          Read(caller);
        }
      });
}

void KeptCallers::HandleInput(const std::shared_ptr<Caller>& caller,
                              std::size_t n) {
  caller->input.append(caller->buffer.data(), n);
  if (!caller->call || caller->input.empty()) {
    return;
  }
  boost::system::error_code ec;
  auto& parser = *caller->parser;
  caller->input.erase(0, parser.put(asio::buffer(caller->input), ec));
  if (parser.is_header_done()) {
    caller->call->status = static_cast<int>(parser.get().result_int());
  }
  if (!parser.is_done()) {
    return;
  }
  caller->call->is_complete = true;
  caller->call->ended_at = fleet_.Now();
  caller->call.reset();
  caller->reusable_until = fleet_.Now() + idle_timeout_ * 4 / 5;
  if (!parser.get().keep_alive()) {
    caller->is_connected = false;
    boost::system::error_code ignored;
    caller->socket.close(ignored);
  }
  ScheduleNext(caller);
  if (max_pause_ == Duration(0) && caller->is_connected && !is_stopped_) {
    Send(caller);
  }
}

void KeptCallers::HandleEnd(const std::shared_ptr<Caller>& caller) {
  if (!caller->call && fleet_.Now() < caller->reusable_until) {
    ++early_closes_;
  }
  caller->is_connected = false;
  boost::system::error_code ignored;
  caller->socket.close(ignored);
  if (caller->call) {
    caller->call->was_cut = true;
    caller->call->ended_at = fleet_.Now();
    caller->call.reset();
  }
  ScheduleNext(caller);
}

}  // namespace corianderpost::soak
