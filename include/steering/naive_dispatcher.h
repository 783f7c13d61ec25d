#ifndef INCLUDE_STEERING_NAIVE_DISPATCHER_H_
#define INCLUDE_STEERING_NAIVE_DISPATCHER_H_

#include <memory>

#include "include/base/ids.h"
#include "include/steering/dispatcher.h"

namespace toucanknot {

// Makes the baseline that other dispatchers are compared with: it sends every
// request at once to the next server of the service's list, regardless of
// region, load, health or limits. Refuses only when the list is empty.
std::unique_ptr<Dispatcher> MakeNaiveDispatcher(ServiceId service, HostId own);

}  // namespace toucanknot

#endif  // INCLUDE_STEERING_NAIVE_DISPATCHER_H_
