// Stand-ins for the platform's store, backend servers and callers, and a
// launcher for entry hosts, for the scripts of this review.
#ifndef REVIEW_STANDINS_3_FLEET_H_
#define REVIEW_STANDINS_3_FLEET_H_

#include <sys/types.h>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

// Milliseconds of the steady clock since the program started.
int64_t NowMs();
void SleepMs(int64_t ms);

// Appends a line to the record of the case, with the time.
void Record(const std::string& line);
void OpenRecord(const std::string& path);

// A message of HTTP/1.1, either way.
struct Message {
  // Method and target, or empty and status.
  std::string method;
  std::string target;
  int status = 0;
  // Names in lower case.
  std::map<std::string, std::string> fields;
  std::string body;

  std::string Get(const std::string& name) const;
};

// A connection with a read buffer. Closes the socket when destroyed.
class Connection {
 public:
  explicit Connection(int fd) : fd_(fd) {}
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  // Reads one message; false at the end or on an error. Gives up at
  // `until_ms` if it is not 0.
  bool Read(Message& out, int64_t until_ms = 0);
  // Reads what has arrived, at most `max` bytes; -1 at an error, 0 at the end.
  ssize_t ReadSome(std::string& out, size_t max, int64_t until_ms);
  bool Write(const std::string& bytes);
  // Closes with a reset.
  void Reset();
  int fd() const { return fd_; }

 private:
  bool Fill(int64_t until_ms);

  int fd_;
  std::string buffer_;
};

// Connects to a loopback address; null on failure.
std::unique_ptr<Connection> Connect(const std::string& ip,
                                    int port,
                                    int64_t limit_ms,
                                    int receive_buffer = 0);

// A listener whose connections are served by one thread each.
class Listener {
 public:
  using Serve = std::function<void(Connection&)>;

  Listener(std::string ip, Serve serve) : ip_(std::move(ip)), serve_(serve) {}
  ~Listener() { Stop(); }

  // Listens; port 0 takes a free one outside of the range that connections use,
  // so that the listener can start again there. Returns the port.
  int Start(int port = 0);
  // Closes the listener and resets all connections.
  void Stop();
  int port() const { return port_; }

 private:
  struct State;

  const std::string ip_;
  const Serve serve_;
  int port_ = 0;
  std::shared_ptr<State> state_;
};

// The platform's store: keys, leases and watches.
class Store {
 public:
  Store();
  ~Store();

  int port() const { return listener_.port(); }
  void Put(const std::string& key, const std::string& value);
  void Delete(const std::string& key);

 private:
  struct Item {
    std::string value;
    uint64_t revision = 0;
    uint64_t created = 0;
    uint64_t lease = 0;
  };
  struct Event {
    std::string key;
    Item item;
    bool removed = false;
  };
  struct Lease {
    int64_t ttl_ms = 0;
    int64_t until_ms = 0;
  };

  void Serve(Connection& connection);
  Message Handle(const Message& request);
  Message Range(const Message& request);
  Message Watch(const Message& request);
  Message Transact(const Message& request);
  Message Grant(const Message& request);
  void PutLocked(const std::string& key,
                 const std::string& value,
                 uint64_t lease);
  void DeleteLocked(const std::string& key);
  void ExpireLeases();

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Item> items_;
  std::vector<Event> events_;
  std::map<uint64_t, Lease> leases_;
  uint64_t revision_ = 100;
  uint64_t last_lease_ = 7000;
  std::atomic<bool> ended_{false};
  std::thread expiry_;
  Listener listener_;
};

// What backend servers did, for the checks.
class Ledger {
 public:
  void Ran(const std::string& id);
  int RunsOf(const std::string& id) const;

 private:
  mutable std::mutex mutex_;
  std::map<std::string, int> runs_;
};

// A backend server.
class Server {
 public:
  struct Options {
    std::string id;
    std::string service = "work";
    std::string zone = "zone-a";
    int slots = 4;
    int64_t work_ms = 20;
    // Time for which a start during traffic leaves it cold.
    int64_t cold_ms = 0;
    size_t response_bytes = 200;
  };

  Server(Store& store, Ledger& ledger, Options options);
  ~Server();

  // Starts it, cold if `cold`, and writes its entry.
  void Start(bool cold);
  // Ends it as a crash does: resets its connections, writes nothing.
  void Crash();
  // Takes its entry away, as the store's registry does after three heartbeats
  // of silence.
  void Expire();

 private:
  void Serve(Connection& connection);
  void WriteEntry();

  Store& store_;
  Ledger& ledger_;
  const Options options_;
  Listener listener_;
  std::mutex mutex_;
  std::condition_variable freed_;
  int running_ = 0;
  int port_ = 0;
  int64_t born_ = 0;
  int sequence_ = 0;
  std::atomic<int> boot_{0};
  std::atomic<int64_t> cold_until_ms_{0};
};

// An entry host, a process of its own.
class Host {
 public:
  struct Options {
    std::string program;
    std::string folder;
    std::string name = "host-1";
    std::string ip = "127.0.0.1";
    std::string zone = "zone-a";
    int store_port = 0;
    // The same at all hosts of a fleet; 0 takes a free one.
    int peer_port = 0;
    int memory_mb = 360;
  };

  explicit Host(Options options);
  ~Host();

  void Start();
  // Waits until it is ready; false if it is not within `limit_ms`.
  bool AwaitReady(int64_t limit_ms);
  // Kills the process and waits for its end.
  void Kill();
  // Whether the process runs.
  bool Runs();
  const std::string& ip() const { return options_.ip; }
  int port() const { return port_; }

 private:
  const Options options_;
  int port_ = 0;
  int ready_port_ = 0;
  pid_t pid_ = 0;
};

// Routes /read/ (safe) and /write/ (unsafe) of service "work", and /report/
// (safe) of service "report".
struct ConfigOptions {
  int version = 1;
  int64_t timeout_ms = 4000;
  double cold_rate = 4.1;
  int64_t cold_ms = 3000;
};
std::string MakeConfig(const ConfigOptions& options);

// The text of a request to the host name of the configuration.
std::string MakeRequest(const std::string& method,
                        const std::string& target,
                        const std::string& id,
                        int64_t deadline_ms,
                        const std::string& body = {},
                        const std::string& more_fields = {});
// A new id for a request.
std::string NewId();

// How a case ended; also the exit code of its program.
enum Verdict { kHeld = 0, kBroken = 1, kNotRun = 2 };

// Whether the case runs with its disruption, as the environment says.
bool HasTrouble();
// Records the verdict and ends the program, skipping destructors, since threads
// of stand-ins still run. Hosts must have been killed.
[[noreturn]] void End(Verdict verdict, const std::string& why);

}  // namespace review

#endif  // REVIEW_STANDINS_3_FLEET_H_
