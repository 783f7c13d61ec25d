#ifndef REVIEW_STANDINS_2_LOOPBACK_H_
#define REVIEW_STANDINS_2_LOOPBACK_H_

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

// Blocking sockets, HTTP heads and child processes for the cases of a review.
// Everything is on loopback addresses; a connection has a thread.
namespace review {

using Clock = std::chrono::steady_clock;

// Milliseconds since the program began.
int64_t NowMs();
void SleepMs(int64_t ms);

// Sets the time after which the program gives up with exit code 2, so that a
// case never outlasts its time.
void LimitRunTime(int64_t ms);

// The lines of record.txt, each with the time. Thread-safe.
class Record {
 public:
  explicit Record(const std::string& path);
  ~Record();
  void Add(const std::string& line);

 private:
  std::mutex mutex_;
  std::FILE* const file_;
};

// A port that is free on `ip` at the moment of the call.
uint16_t FreePort(const std::string& ip);

// A connected socket; closed by the destructor.
class Connection {
 public:
  explicit Connection(int fd) : fd_(fd) {}
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  // Null when the connection is not established. `receive_bytes` sets the size
  // of the receive buffer if it is not 0.
  static std::shared_ptr<Connection> Open(const std::string& ip,
                                          uint16_t port,
                                          int receive_bytes = 0);

  // Returns false when the peer is gone.
  bool Send(const std::string& bytes);
  // Appends what has arrived, at most `max_bytes`, to `to`. Returns the number
  // of bytes; 0 at the end, -1 after an error, -2 when nothing arrived in
  // `wait_ms`.
  int Receive(std::string& to, int64_t wait_ms, size_t max_bytes = 65536);
  // The error of the last Receive() that returned -1.
  const std::string& error() const { return error_; }
  // Closes the socket with a reset.
  void Reset();
  // Ends the operations of other threads.
  void Shutdown();

 private:
  int fd_;
  std::string error_;
};

// The head of a request or a response, and its body once it was read.
struct Message {
  // First line without its end.
  std::string start;
  // Names in lower case.
  std::map<std::string, std::string> fields;
  std::string body;

  std::string Field(const std::string& name) const;
  // Of a response.
  int status() const;
  // Of a request.
  std::string method() const;
  std::string target() const;
};

// Reads messages with a Content-Length or without a body.
class MessageReader {
 public:
  enum class End { kMessage, kClosed, kBroken, kTimedOut };

  explicit MessageReader(Connection& connection) : connection_(connection) {}

  // Reads one message, waiting at most until `until_ms`.
  End Read(Message& out, int64_t until_ms);

 private:
  Connection& connection_;
  std::string buffer_;
};

// Accepts connections on `ip`:`port` and runs `serve` for each in a thread of
// its own until the program ends.
class Listener {
 public:
  using Serve = std::function<void(std::shared_ptr<Connection>)>;

  // `receive_bytes` sets the size of the connections' receive buffers if it is
  // not 0.
  Listener(const std::string& ip,
           uint16_t port,
           Serve serve,
           int receive_bytes = 0);

 private:
  int fd_;
};

// A process that the program started. Killed by the destructor if it still
// runs.
class Process {
 public:
  // Runs `path` with the variables `environment` ("NAME=value") and nothing
  // else; its output goes to the file `log`.
  Process(const std::string& path,
          const std::vector<std::string>& environment,
          const std::string& log);
  ~Process();

  void Signal(int signal);
  // Whether it has ended; its wait status is then `status()`.
  bool Ended();
  int status() const { return status_; }
  int pid() const { return pid_; }
  // Waits until it has ended. Returns false after `ms`.
  bool Wait(int64_t ms);

 private:
  int pid_ = 0;
  bool ended_ = false;
  int status_ = 0;
};

}  // namespace review

#endif  // REVIEW_STANDINS_2_LOOPBACK_H_
