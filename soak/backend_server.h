#ifndef SOAK_BACKEND_SERVER_H_
#define SOAK_BACKEND_SERVER_H_

#include "include/placing/server_entry.h"

namespace toucanknot::soak {

// A backend server of a soak: a part of its process, or a process of its own.
class BackendServer {
 public:
  virtual ~BackendServer() = default;

  // The entry that it registers in the store.
  virtual const ServerEntry& entry() const = 0;
  virtual bool up() const = 0;
  // Its runs in progress no longer count as attempts, because it was cut off.
  virtual void MarkLost() = 0;
  // Ends without notice; all connections are reset.
  virtual void Crash() = 0;
  // Starts again as a new incarnation, under the same id or another one, of the
  // same service or another one.
  virtual void Restart(const ServerId& id, const ServiceId& service) = 0;
  virtual void SetLeaving() = 0;
};

}  // namespace toucanknot::soak

#endif  // SOAK_BACKEND_SERVER_H_
