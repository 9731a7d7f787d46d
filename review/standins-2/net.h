// A small blocking HTTP/1.1 layer for the stand-ins: one thread a connection.
#ifndef REVIEW_STANDINS_2_NET_H_
#define REVIEW_STANDINS_2_NET_H_

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace review {

// Seconds since the start of the program.
double Now();
void SleepFor(double seconds);
std::string ToLower(std::string text);

struct Message {
  // Request line or status line.
  std::string start;
  // Names in lower case.
  std::map<std::string, std::string> headers;
  std::string body;

  std::string Header(const std::string& name) const;
  // The request's method and target, or 0 and the status.
  std::string Method() const;
  std::string Target() const;
  int Status() const;
};

// A TCP connection. Not thread-safe, except for `Shutdown`.
class Connection {
 public:
  explicit Connection(int fd) : fd_(fd) {}
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  // Null if the connection can't be made.
  static std::unique_ptr<Connection> To(const std::string& ip, int port,
                                        double timeout = 1.0);
  bool Write(const std::string& bytes);
  // Reads a request. Returns false at the end of the connection.
  bool ReadRequest(Message& message);
  // Reads the head of a response.
  bool ReadResponseHead(Message& message);
  // Reads the next part of a response's body: a chunk, or what arrives. Returns
  // false at its end; `is_complete` tells whether that end is proper.
  bool ReadBodyPart(const Message& head, std::string& part, bool& is_complete);
  // Reads a whole response. Returns whether it is complete.
  bool ReadResponse(Message& message);
  void SetTimeout(double seconds);
  // Ends reads and writes in progress.
  void Shutdown();
  // Closes the connection with a reset.
  void Reset();
  // Whether the peer has closed its side.
  bool HasPeerClosed();

 private:
  bool Fill();
  bool ReadHead(Message& message);
  int fd_;
  std::string buffer_;
  std::size_t body_read_ = 0;
};

// Accepts connections and runs the handler for each request until it returns
// false or the connection ends.
class Server {
 public:
  using Handler = std::function<bool(Connection&, const Message&)>;
  Server(const std::string& ip, int port, Handler handler);
  ~Server();
  // Resets all connections and no longer listens.
  void Stop();

 private:
  void Accept();
  int fd_ = -1;
  std::shared_ptr<Handler> handler_;
  std::mutex mutex_;
  std::vector<std::weak_ptr<Connection>> connections_;
  std::atomic<bool> is_stopped_{false};
  std::atomic<int> open_{0};
};

}  // namespace review

#endif  // REVIEW_STANDINS_2_NET_H_
