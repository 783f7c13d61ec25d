#ifndef SOAK_SERVER_LEDGER_H_
#define SOAK_SERVER_LEDGER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "include/base/clock.h"

namespace toucanknot::soak {

// The file in which a server process records requests before it acts on them,
// so that nothing is lost when it is killed. One line each:
//   EVENT SERVER TIME DIGEST ID
// with the steady clock in milliseconds, and a hexadecimal digest of what
// arrived, which is 0 for kArrived.
class ServerLedger {
 public:
  // kLateBody: the rest of a body arrived after an early response. kBrokeOff:
  // the response is broken off; its digest is the number of bytes.
  enum class EventKind : char {
    kArrived = 'A',
    kRan = 'R',
    kRejected = 'N',
    kLateBody = 'B',
    kBrokeOff = 'T',
  };
  struct Event {
    EventKind kind = EventKind::kArrived;
    std::string server;
    Instant time;
    uint64_t digest = 0;
    std::string id;
  };

  // Creates the file if there is none. Throws Error when it cannot be opened.
  explicit ServerLedger(const std::string& path);
  ~ServerLedger();
  ServerLedger(const ServerLedger&) = delete;
  ServerLedger& operator=(const ServerLedger&) = delete;

  // Appends one event, in one write.
  void Append(const Event& event);
  // Returns the complete events beyond those that were read before.
  std::vector<Event> ReadNew();

 private:
  const int file_;
  int64_t read_ = 0;
  std::string partial_;
};

}  // namespace toucanknot::soak

#endif  // SOAK_SERVER_LEDGER_H_
