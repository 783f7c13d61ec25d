#ifndef SOAK_HOST_PROCESS_H_
#define SOAK_HOST_PROCESS_H_

#include <sys/types.h>

#include <optional>
#include <string>

namespace toucanknot::soak {

// Runs the real program as a child process. Signals only a process that this
// object has started and not yet reaped.
class HostProcess {
 public:
  // Standard output and error of the process are appended to the file `log`.
  HostProcess(std::string program, std::string settings, std::string log);
  // Kills the process if it is still running, and reaps it.
  ~HostProcess();
  HostProcess(const HostProcess&) = delete;
  HostProcess& operator=(const HostProcess&) = delete;

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
  const std::string program_;
  const std::string settings_;
  const std::string log_;
  pid_t pid_ = 0;
};

}  // namespace toucanknot::soak

#endif  // SOAK_HOST_PROCESS_H_
