#ifndef SRC_DAEMON_LOG_FORMAT_H_
#define SRC_DAEMON_LOG_FORMAT_H_

#include "include/daemon/host_settings.h"

namespace toucanknot {

// Configures the default logger of the process: writes to standard error, as
// text or as one JSON object per line.
void ConfigureLogs(const HostSettings& settings);

}  // namespace toucanknot

#endif  // SRC_DAEMON_LOG_FORMAT_H_
