#ifndef REVIEW_STANDINS_FLEET_H_
#define REVIEW_STANDINS_FLEET_H_

#include <sys/types.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "include/placing/server_entry.h"
#include "include/routing/route_config.h"
#include "tests/platform/store_standin.h"

namespace toucanknot::review {

// Milliseconds since the program started.
int64_t NowMs();
void SleepMs(int64_t ms);

// Writes lines with a time to record.txt in the folder of the case.
class Record {
 public:
  explicit Record(const std::string& path);
  ~Record();
  void Line(const std::string& text);

 private:
  std::mutex mutex_;
  FILE* file_;
};

// The settings of one host.
struct HostOptions {
  std::string name = "front-a-1";
  std::string ip = "127.0.0.1";
  std::string store;
  // Folder for the settings file and the log.
  std::string folder;
  int memory_mb = 260;
  // Descriptors that the process may use.
  int max_fds = 4'100;
  std::string grace = "6s";
};

// One toucanknot-entry process, started as the deploy file says.
class Host {
 public:
  explicit Host(HostOptions options);
  // Kills the process if it still runs.
  ~Host();

  void Start();
  void Signal(int signal);
  // Whether the process runs; reaps it when it has ended.
  bool Running();
  // Waits until the readiness check gives 200; false after `limit_ms`.
  bool WaitReady(int64_t limit_ms);
  pid_t pid() const { return pid_; }
  // Open descriptors of the process, and its peak memory in kB.
  int OpenDescriptors() const;
  int64_t PeakKb() const;
  int wait_status() const { return wait_status_; }

  const std::string& ip() const { return options_.ip; }
  uint16_t front_port() const { return front_port_; }
  uint16_t ready_port() const { return ready_port_; }
  uint16_t directory_port() const { return directory_port_; }

 private:
  HostOptions options_;
  uint16_t front_port_ = 0;
  uint16_t ready_port_ = 0;
  uint16_t directory_port_ = 0;
  pid_t pid_ = 0;
  int wait_status_ = 0;
};

// The head of a message.
struct Head {
  // First line split at spaces: method and target, or version and status.
  std::string first;
  std::string second;
  // By name in lower case.
  std::map<std::string, std::string> fields;

  std::string Get(const std::string& name) const;
  int64_t Length() const;
};

// Blocking socket with a read buffer.
class Wire {
 public:
  explicit Wire(int fd) : fd_(fd) {}
  ~Wire();
  Wire(const Wire&) = delete;
  Wire& operator=(const Wire&) = delete;

  // Connects; null on failure or after `limit_ms`.
  static std::unique_ptr<Wire> Connect(const std::string& ip,
                                       uint16_t port,
                                       int64_t limit_ms);
  bool Send(const std::string& bytes);
  // Reads more bytes; false at the end of the stream, on an error or when
  // nothing arrives for `limit_ms`.
  bool Fill(int64_t limit_ms);
  std::optional<Head> ReadHead(int64_t limit_ms);
  // Reads until `bytes` are there, and takes them.
  std::optional<std::string> ReadBody(int64_t bytes, int64_t limit_ms);
  // Closes with a reset, as the kernel does for a process that ended with
  // unread bytes.
  void Reset();
  // Whether the other side has closed or reset the connection.
  bool OtherSideClosed();

  std::string buffer;
  // The error of the last failed read; 0 at the end of the stream.
  int error = 0;
  bool timed_out = false;
  // Answers that a server has sent on this connection.
  int answers = 0;

 private:
  int fd_;
};

// The answer to a call, as the client saw it.
struct Answer {
  // 0 if no complete head arrived.
  int status = 0;
  Head head;
  std::string body;
  // Whether the whole body arrived, by its length.
  bool complete = false;
  std::string error;
  int64_t sent_ms = 0;
  int64_t ended_ms = 0;
};

// What a client sends.
struct Call {
  std::string method = "GET";
  std::string target;
  std::string id;
  std::string body;
  int64_t deadline_ms = 2'000;
  // How long the client waits for a connection, and for each part of the
  // answer.
  int64_t connect_ms = 1'000;
  int64_t wait_ms = 5'000;
};

std::string RequestText(const Call& call);
// Sends a call on a new connection.
Answer Send(const Host& host, const Call& call);
// Sends a call on an open connection.
Answer SendOn(Wire& wire, const Call& call);
Answer ReadAnswer(Wire& wire, int64_t wait_ms);

// A backend server: each connection has a thread. The handler serves one
// request, of which the head has been read; it returns whether the connection
// goes on.
class Server {
 public:
  using Handler = std::function<bool(Wire&, const Head&)>;

  Server(ServerEntry entry, Handler handler);
  ~Server();

  // The entry as the server writes it now, with the next sequence number.
  std::string NextEntry();
  // Closes the listener and resets all connections, as a crash does.
  void Stop();

  ServerEntry entry;

 private:
  void Accept();
  void Serve(int fd);

  const Handler handler_;
  int listener_ = -1;
  std::atomic<bool> stopping_{false};
  std::mutex mutex_;
  std::vector<int> open_;
  std::atomic<int> threads_{0};
  std::thread accept_thread_;
};

// The answer of a sound server that ran the request.
std::string ServerAnswer(int status,
                         const std::string& id,
                         const std::string& body,
                         const std::string& more_fields = "");
// The answer of a server to a request that names another instance.
std::string MisdirectedAnswer(const std::string& id);

// The store, the operator's configuration and the heartbeats of the servers.
class Platform {
 public:
  Platform();
  ~Platform();

  void WriteConfig(const std::vector<Route>& routes,
                   const std::vector<std::string>& services);
  // Writes the entry of `server` now and then in each heartbeat.
  void Register(Server& server);
  // Writes that `server` is draining.
  void Drain(Server& server);
  // Stops the heartbeats of `server` and removes its entry.
  void Unregister(Server& server);

  platform::StoreStandin store;

 private:
  void Beat();

  std::mutex mutex_;
  std::vector<Server*> servers_;
  uint64_t version_ = 0;
  std::atomic<bool> stopping_{false};
  std::thread beats_;
};

// A route for all tests: one service, the timeouts of a small site.
Route MakeRoute(const std::string& prefix,
                RequestKind kind,
                const std::string& service,
                int64_t timeout_ms);

inline constexpr char kHostName[] = "ficu95.example";

// Whether the case is to run with its disruption (TROUBLE is not 0).
bool Trouble();

}  // namespace toucanknot::review

#endif  // REVIEW_STANDINS_FLEET_H_
