#ifndef SOAK_SERVER_PROCESS_FAULTS_H_
#define SOAK_SERVER_PROCESS_FAULTS_H_

#include <boost/asio/awaitable.hpp>

#include "soak/fault_plan.h"
#include "soak/server_program.h"
#include "soak/soak_fleet.h"

namespace toucanknot::soak {

// How often server processes show each fault of their connections and responses
// under `profile`.
ServerProgramOptions FaultyServerOptions(Profile profile);

// Injects a fault of a server that is a process. Those of its link and its
// speed stop the process for a while, those of its failures let a server of the
// other service take over its port, and crashes and resets kill it.
boost::asio::awaitable<void> InjectServerProcessFault(SoakFleet& fleet,
                                                      SoakFleet::Server& server,
                                                      const Fault& fault);

}  // namespace toucanknot::soak

#endif  // SOAK_SERVER_PROCESS_FAULTS_H_
