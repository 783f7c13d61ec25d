#ifndef SOAK_HOST_PROCESS_H_
#define SOAK_HOST_PROCESS_H_

#include <sys/types.h>

#include <optional>
#include <string>

namespace toucanknot::soak {

// One run of the real program as a process of its own. Only a process that
// this object started, and that has not been reaped, is ever signalled.
class HostProcess {
 public:
  // `log` takes the process's standard output and error, appended.
  HostProcess(std::string program, std::string settings, std::string log);
  // Kills the process if it still runs.
  ~HostProcess();
  HostProcess(const HostProcess&) = delete;
  HostProcess& operator=(const HostProcess&) = delete;

  // Throws Error when the process cannot be started.
  void Start();
  bool running() const { return pid_ > 0; }
  void Signal(int signal);
  // The wait status, once, when the process has ended.
  std::optional<int> Reap();
  // Resident memory in bytes; 0 when it does not run.
  int64_t ResidentBytes() const;

 private:
  const std::string program_;
  const std::string settings_;
  const std::string log_;
  pid_t pid_ = 0;
};

}  // namespace toucanknot::soak

#endif  // SOAK_HOST_PROCESS_H_
