#include "soak/child_process.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdint>
#include <fstream>
#include <utility>

#include "include/base/error.h"

namespace toucanknot::soak {
namespace {

constexpr mode_t kLogMode = 0644;

}  // namespace

ChildProcess::ChildProcess(std::vector<std::string> command, std::string log)
    : command_(std::move(command)), log_(std::move(log)) {}

ChildProcess::~ChildProcess() {
  if (!running())
    return;
  Signal(SIGKILL);
  ::waitpid(pid_, nullptr, 0);
}

void ChildProcess::Start() {
  posix_spawn_file_actions_t files;
  posix_spawn_file_actions_init(&files);
  posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, log_.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, kLogMode);
  posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
  // The child must not inherit sockets: they would stay open after this process
  // has closed them.
  posix_spawn_file_actions_addclosefrom_np(&files, STDERR_FILENO + 1);
  std::vector<std::string> command = command_;
  std::vector<char*> argv;
  argv.reserve(command.size() + 1);
  for (std::string& it : command)
    argv.push_back(it.data());
  argv.push_back(nullptr);
  const int error =
      ::posix_spawn(&pid_, argv[0], &files, nullptr, argv.data(), environ);
  posix_spawn_file_actions_destroy(&files);
  if (error != 0) {
    pid_ = 0;
    throw Error("cannot start " + command_[0] + ": error " +
                std::to_string(error));
  }
}

void ChildProcess::Signal(int signal) {
  if (running())
    ::kill(pid_, signal);
}

std::optional<int> ChildProcess::Reap() {
  int status = 0;
  if (!running() || ::waitpid(pid_, &status, WNOHANG) != pid_)
    return std::nullopt;
  pid_ = 0;
  return status;
}

int64_t ChildProcess::ResidentBytes() const {
  if (!running())
    return 0;
  std::ifstream in("/proc/" + std::to_string(pid_) + "/statm");
  int64_t total = 0;
  int64_t resident = 0;
  in >> total >> resident;
  return resident * ::sysconf(_SC_PAGESIZE);
}

}  // namespace toucanknot::soak
