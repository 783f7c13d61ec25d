#ifndef SOAK_HOST_PROCESS_H_
#define SOAK_HOST_PROCESS_H_

#include <string>
#include <utility>

#include "soak/child_process.h"

namespace toucanknot::soak {

// Runs the real program with a settings file.
class HostProcess : public ChildProcess {
 public:
  HostProcess(std::string program, std::string settings, std::string log)
      : ChildProcess({std::move(program), "--settings", std::move(settings)},
                     std::move(log)) {}
};

}  // namespace toucanknot::soak

#endif  // SOAK_HOST_PROCESS_H_
