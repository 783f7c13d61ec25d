#ifndef REVIEW_STANDINS_4_NET_H_
#define REVIEW_STANDINS_4_NET_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace review {

using Clock = std::chrono::steady_clock;

// Milliseconds since the process started.
int64_t NowMs();
void SleepMs(int64_t ms);

struct Endpoint {
  std::string ip;
  uint16_t port = 0;
  std::string ToString() const { return ip + ":" + std::to_string(port); }
};

// An HTTP message. Names of fields are in lower case.
struct Message {
  // The request's method and target, or empty.
  std::string method;
  std::string target;
  // The response's status, or 0.
  int status = 0;
  std::multimap<std::string, std::string> fields;
  std::string body;

  std::string Get(const std::string& name) const;
  bool Has(const std::string& name) const { return fields.count(name) > 0; }
  // The decoded value of a parameter of the target's query.
  std::string Query(const std::string& name) const;
};

// A TCP connection that reads and writes HTTP/1.1 messages. Closes its socket.
class Connection {
 public:
  explicit Connection(int fd) : fd_(fd) {}
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  // Returns nothing at the end of the connection, at `until_ms`, and if what
  // arrives is not a complete message.
  std::optional<Message> Read(int64_t until_ms);
  bool Write(const std::string& bytes);
  // Closes the connection with a reset.
  void Reset();
  // Waits for bytes and returns those that are there without reading them.
  std::string Peek(int64_t until_ms);
  int fd() const { return fd_; }

 private:
  bool Fill(int64_t until_ms);

  int fd_;
  std::string buf_;
};

// Returns a listening socket, on a free port if `at.port` is 0, which it sets.
// Its connections have receive buffers of that many bytes, or of the system's
// default.
int Listen(Endpoint& at, int receive_buffer = 0);
// Returns a socket, or -1.
int Connect(const Endpoint& to, int64_t limit_ms);
// A port that is free at `ip` now, for TCP and UDP.
uint16_t FreePort(const std::string& ip);

// Accepts connections and serves each in a thread of its own. Never ends.
void Serve(int listener, std::function<void(Connection&)> serve);

std::string ResponseText(int status,
                         const std::string& fields,
                         const std::string& body);

}  // namespace review

#endif  // REVIEW_STANDINS_4_NET_H_
