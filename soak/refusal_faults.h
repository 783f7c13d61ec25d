#ifndef SOAK_REFUSAL_FAULTS_H_
#define SOAK_REFUSAL_FAULTS_H_

#include <boost/asio/awaitable.hpp>
#include <cstdint>

#include "soak/fault_plan.h"
#include "soak/soak_fleet.h"

namespace toucanknot::soak {

// Faults in which several servers refuse requests at once: the kinds from
// FaultKind::kShedRequests on. Used on the fleet's loop only.
class RefusalFaults {
 public:
  explicit RefusalFaults(SoakFleet& fleet) : fleet_(fleet) {}

  // Makes about half of the servers faulty for a multiple of the fault's
  // length.
  // Skips a fault while another one is in progress.
  boost::asio::awaitable<void> Inject(const Fault& fault);
  // Makes all servers faulty in the way of `profile` for `length`.
  boost::asio::awaitable<void> InjectProfile(Profile profile, Duration length);

 private:
  void SetSome(FaultKind kind, uint64_t subject);
  static void Set(SoakServer& server,
                  FaultKind kind,
                  double rate,
                  bool copies_refusals_only);
  void EndAll();

  SoakFleet& fleet_;
  bool active_ = false;
};

}  // namespace toucanknot::soak

#endif  // SOAK_REFUSAL_FAULTS_H_
