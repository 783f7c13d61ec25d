#ifndef SRC_DAEMON_LOG_FORMAT_H_
#define SRC_DAEMON_LOG_FORMAT_H_

#include "include/daemon/host_settings.h"

namespace toucanknot {

// Sets the process's log up: to standard error, as text or as one JSON object
// a line.
void ConfigureLogs(const HostSettings& settings);

}  // namespace toucanknot

#endif  // SRC_DAEMON_LOG_FORMAT_H_
