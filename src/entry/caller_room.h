#ifndef SRC_ENTRY_CALLER_ROOM_H_
#define SRC_ENTRY_CALLER_ROOM_H_

#include <cstdint>

namespace toucanknot {

// Decides whether a host has descriptors for more callers. A host without them
// is not ready, so that callers are sent to others.
class CallerRoom {
 public:
  explicit CallerRoom(int max_connections)
      : max_connections_(max_connections) {}

  // Notes the open connections of callers and the number of connections that
  // could not be accepted since the start. Returns whether the state changed.
  // Call periodically.
  bool Update(int64_t open_connections, uint64_t accept_failures);
  bool full() const { return full_; }

 private:
  const int max_connections_;
  uint64_t accept_failures_ = 0;
  bool full_ = false;
};

}  // namespace toucanknot

#endif  // SRC_ENTRY_CALLER_ROOM_H_
