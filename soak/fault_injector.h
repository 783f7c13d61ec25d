#ifndef SOAK_FAULT_INJECTOR_H_
#define SOAK_FAULT_INJECTOR_H_

#include <boost/asio/awaitable.hpp>

#include <string>

#include "soak/fault_plan.h"
#include "soak/refusal_faults.h"
#include "soak/soak_fleet.h"

namespace toucanknot::soak {

// Injects the faults of a plan into a fleet. Used on the fleet's loop only.
class FaultInjector {
 public:
  explicit FaultInjector(SoakFleet& fleet) : fleet_(fleet), refusals_(fleet) {}

  // Begins a fault, waits for its length, and ends it. Skips a fault of a host
  // process or server that is already affected by another one, and an
  // evacuation while another zone is evacuated.
  boost::asio::awaitable<void> Inject(Fault fault);

 private:
  boost::asio::awaitable<void> InjectHostFault(SoakFleet::Host& host,
                                               const Fault& fault);
  boost::asio::awaitable<void> InjectCallerLinkFault(SoakFleet::Host& host,
                                                     const Fault& fault);
  boost::asio::awaitable<void> InjectStoreLinkFault(SoakFleet::Host& host,
                                                    const Fault& fault);
  boost::asio::awaitable<void> InjectStoreFault(const Fault& fault);
  boost::asio::awaitable<void> InjectStoreSeries(const Fault& fault);
  boost::asio::awaitable<void> RestoreStore(const Fault& fault);
  boost::asio::awaitable<void> InjectServerFault(SoakFleet::Server& server,
                                                 const Fault& fault);
  boost::asio::awaitable<void> LimitServer(SoakFleet::Server& server,
                                           Duration length);
  boost::asio::awaitable<void> PauseServer(SoakFleet::Server& server,
                                           Duration length);
  // Sends a request that crashes the servers that run it to `host`.
  boost::asio::awaitable<void> SendCrashingRequest(SoakFleet::Host& host,
                                                   std::string target,
                                                   std::string id);
  boost::asio::awaitable<void> SendCrashingRequests(const Fault& fault);
  boost::asio::awaitable<void> WriteOddEntries(const Fault& fault);
  boost::asio::awaitable<void> ReplaceServer(SoakFleet::Server& server,
                                             Duration length);
  boost::asio::awaitable<void> EvacuateZone(const ZoneId& zone,
                                            Duration length);

  SoakFleet& fleet_;
  RefusalFaults refusals_;
  bool restoring_store_ = false;
};

}  // namespace toucanknot::soak

#endif  // SOAK_FAULT_INJECTOR_H_
