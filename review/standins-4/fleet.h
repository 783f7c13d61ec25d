#ifndef REVIEW_STANDINS_4_FLEET_H_
#define REVIEW_STANDINS_4_FLEET_H_

#include <sys/types.h>

#include <cstdint>
#include <fstream>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "review/standins-4/net.h"
#include "review/standins-4/store.h"

namespace review {

// Writes the lines of record.txt, each with the time since the start.
class Record {
 public:
  explicit Record(const std::string& path) : out_(path) {}
  void Line(const std::string& text);

 private:
  std::mutex mutex_;
  std::ofstream out_;
};

// A sound backend server. Keeps which requests it ran, and with which fields.
class Server {
 public:
  struct Run {
    std::string attempt;
    int64_t at_ms = 0;
    std::string tenant;
    std::string key;
  };

  Server(std::string id,
         const std::string& ip,
         int64_t work_ms,
         Record& record);

  // As a server with small windows that works at the first part of a body
  // before it reads on.
  struct Reading {
    int receive_buffer = 0;
    int64_t pause_ms = 0;
  };
  Server(std::string id,
         const std::string& ip,
         int64_t work_ms,
         Record& record,
         const Reading& reading);

  // Its entry in the store, the next one at each call.
  std::string Entry(const std::string& service,
                    const std::string& zone,
                    const std::string& state = "ready");
  const std::string& id() const { return id_; }
  // Until when the server is at work at the first part of each request, by its
  // id.
  std::map<std::string, int64_t> busy_until();
  std::vector<Run> runs();

 private:
  void ServeConnection(Connection& connection);

  const std::string id_;
  const int64_t work_ms_;
  const Reading reading_;
  Record& record_;
  const int64_t born_ms_;
  Endpoint endpoint_;
  std::mutex mutex_;
  std::vector<Run> runs_;
  std::map<std::string, int64_t> busy_until_;
  uint64_t sequence_ = 0;
};

// The operator's configuration of that version: a route for reads, one for
// orders, one service. `tenants` are the members of its table of tenants.
// No request needs a key if `tenants` is null. `more_routes` are further
// members of its routes.
std::string Config(int version,
                   const char* tenants,
                   const std::string& more_routes = {});
std::string Route(const std::string& name, const std::string& prefix);
std::string Tenant(const std::string& name, const std::string& key);

// A host: the program of the deploy file, with the settings that its template
// gives.
class Host {
 public:
  struct Options {
    std::string program;
    std::string folder;
    std::string name;
    std::string ip;
    std::string zone;
    // Of the settings, "zone": "region" for each zone.
    std::string regions;
    Endpoint store;
    // Further members of the settings.
    std::string more;
  };

  explicit Host(Options options);
  ~Host();

  void Start();
  void Signal(int signal);
  // Waits until it has ended; kills it after `limit_ms`. Returns whether it
  // ended by itself.
  bool AwaitEnd(int64_t limit_ms);
  // Whether it says that it is ready within `limit_ms`.
  bool AwaitReady(int64_t limit_ms);
  const Endpoint& callers() const { return callers_; }
  const std::string& name() const { return options_.name; }

 private:
  const Options options_;
  Endpoint callers_;
  Endpoint readiness_;
  std::string settings_;
  pid_t pid_ = -1;
};

// What a client sends, and what it got.
struct Call {
  std::string method = "GET";
  std::string target;
  std::string attempt;
  // Without a key if it is empty.
  std::string key;
  int64_t budget_ms = 2'000;
  std::string more_fields;
  std::string body;
};

// Sends one request on a new connection and returns the status; 0 if the
// connection ended without a response.
// `ended_at_ms`, if it is not null, is set to the time of that.
int Send(const Host& host,
         const Call& call,
         Record& record,
         int64_t* ended_at_ms = nullptr);

}  // namespace review

#endif  // REVIEW_STANDINS_4_FLEET_H_
