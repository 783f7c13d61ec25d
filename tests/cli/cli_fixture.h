#ifndef TESTS_CLI_CLI_FIXTURE_H_
#define TESTS_CLI_CLI_FIXTURE_H_

#include <unistd.h>

#include <catch2/catch.hpp>
#include <cstdio>
#include <fstream>
#include <map>
#include <memory>
#include <mutex>
#include <sstream>
#include <string>
#include <vector>

#include "include/cli/command_line.h"
#include "include/config/config_text.h"
#include "include/store/config_reader.h"
#include "src/standin/memory_store.h"
#include "tests/config/small_fleet.h"
#include "tests/store/scripted_store.h"

namespace toucanknot {

// A temporary file, removed by the destructor.
class TempFile {
 public:
  explicit TempFile(const std::string& text) {
    const int fd = mkstemp(path_.data());
    REQUIRE(fd >= 0);
    close(fd);
    std::ofstream(path_) << text;
  }
  TempFile(const TempFile&) = delete;
  ~TempFile() { std::remove(path_.c_str()); }
  const std::string& path() const { return path_; }

 private:
  std::string path_ = "/tmp/toucanknot-test-XXXXXX";
};

// Runs commands against an in-memory store and hosts with predefined responses.
class CliFixture {
 public:
  CliFixture() {
    env.out = &out_;
    env.err = &err_;
    env.open_store = [this](const Endpoint&, Duration) {
      return std::make_unique<ScriptedStore>(
          store, [this](int call) { return script(call); });
    };
    env.fetch = [this](const Endpoint& to, const HttpClientRequest& request,
                       Duration) {
      const std::lock_guard lock(fetch_mutex_);
      last_request = request;
      HttpClientResult result;
      const auto it = responses.find(to.ToString() + request.target);
      if (it == responses.end()) {
        result.error = "refused";
        return result;
      }
      result.stage = HttpClientStage::kCompleted;
      result.status = 200;
      result.body = it->second;
      return result;
    };
    env.getenv = [](const std::string&) { return std::nullopt; };
    env.unix_ms = [this] { return unix_ms_now; };
    env.random = [this] { return ++random_; };
    env.wait = [](Duration) {};
  }

  // Runs `words` with the options --store and --author; returns the exit code.
  int Run(std::vector<std::string> words) {
    words.insert(words.end(), {"--store", "127.0.0.1:1", "--author", "ana"});
    return RunBare(words);
  }
  int RunBare(const std::vector<std::string>& words) {
    out_.str("");
    err_.str("");
    return static_cast<int>(CommandLine(OperatorCommands()).Run(words, env));
  }

  std::string out() const { return out_.str(); }
  std::string err() const { return err_.str(); }
  bool Prints(const std::string& text) const {
    return (out() + err()).find(text) != std::string::npos;
  }
  FleetConfigPtr StoredConfig() { return ReadConfig(store); }

  // Applies the small fleet's configuration as version 1.
  void ApplyFirstConfig() {
    REQUIRE(Run({"config", "apply", fleet.path(), "--reason", "first"}) == 0);
  }

  MemoryStore store;
  ScriptedStore::Script script = [](int) { return CallFault::kNone; };
  // Response bodies by address and target; other requests fail.
  std::map<std::string, std::string> responses;
  HttpClientRequest last_request;
  int64_t unix_ms_now = 1'000'000;
  CliEnvironment env;
  TempFile fleet{kSmallFleet};

 private:
  std::mutex fetch_mutex_;
  std::ostringstream out_;
  std::ostringstream err_;
  uint64_t random_ = 0;
};

}  // namespace toucanknot

#endif  // TESTS_CLI_CLI_FIXTURE_H_
