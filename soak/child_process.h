#ifndef SOAK_CHILD_PROCESS_H_
#define SOAK_CHILD_PROCESS_H_

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace toucanknot::soak {

// Runs a program as a child process. Signals only a process that this
// object has started and not yet reaped.
class ChildProcess {
 public:
  // `command` is the program and its arguments. Standard output and error of
  // the process are appended to the file `log`.
  ChildProcess(std::vector<std::string> command, std::string log);
  // Kills the process if it is still running, and reaps it.
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  // Throws Error when the process cannot be started.
  void Start();
  bool running() const { return pid_ > 0; }
  // 0 if the process isn't running.
  pid_t pid() const { return pid_; }
  void Signal(int signal);
  // Returns the wait status, once, after the process has exited.
  std::optional<int> Reap();
  // Resident memory in bytes; 0 if the process isn't running.
  int64_t ResidentBytes() const;

 private:
  const std::vector<std::string> command_;
  const std::string log_;
  pid_t pid_ = 0;
};

}  // namespace toucanknot::soak

#endif  // SOAK_CHILD_PROCESS_H_
