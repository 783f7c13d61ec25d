#ifndef SOAK_FAULT_PLAYER_H_
#define SOAK_FAULT_PLAYER_H_

#include <boost/asio/awaitable.hpp>

#include "soak/fault_plan.h"
#include "soak/soak_fleet.h"

namespace toucanknot::soak {

// Injects the faults of a plan into a fleet. Used on the fleet's loop only.
class FaultPlayer {
 public:
  explicit FaultPlayer(SoakFleet& fleet) : fleet_(fleet) {}

  // Begins a fault, waits for its length, and ends it. Skips a fault of a host
  // process or server that is already affected by another one, and an
  // evacuation while another zone is evacuated.
  boost::asio::awaitable<void> Play(Fault fault);

 private:
  boost::asio::awaitable<void> ToHost(SoakFleet::Host& host,
                                      const Fault& fault);
  boost::asio::awaitable<void> ToCallers(SoakFleet::Host& host,
                                         const Fault& fault);
  boost::asio::awaitable<void> ToStoreLink(SoakFleet::Host& host,
                                           const Fault& fault);
  boost::asio::awaitable<void> ToStore(const Fault& fault);
  boost::asio::awaitable<void> ToServer(SoakFleet::Server& server,
                                        const Fault& fault);
  boost::asio::awaitable<void> Replace(SoakFleet::Server& server,
                                       Duration length);
  boost::asio::awaitable<void> Evacuate(const ZoneId& zone, Duration length);

  SoakFleet& fleet_;
};

}  // namespace toucanknot::soak

#endif  // SOAK_FAULT_PLAYER_H_
