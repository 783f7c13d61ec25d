#ifndef INCLUDE_ENTRY_HOST_RECORD_H_
#define INCLUDE_ENTRY_HOST_RECORD_H_

#include <string>
#include <string_view>

#include "include/base/endpoint.h"
#include "include/base/ids.h"

namespace toucanknot {

// What an entry host publishes about itself in the store while it accepts
// requests.
struct HostRecord {
  HostId host;
  ZoneId zone;
  // Where callers connect.
  Endpoint callers;
  Incarnation incarnation = 0;
  // Requests a second that it can carry, approximately. Callers are distributed
  // in proportion to it.
  int64_t capacity = 1;

  bool operator==(const HostRecord&) const = default;
};

// Serializes the record as one line of JSON.
std::string WriteHostRecord(const HostRecord& record);

// Parses the output of WriteHostRecord(). Throws InvalidConfigError.
HostRecord ReadHostRecord(std::string_view text);

}  // namespace toucanknot

#endif  // INCLUDE_ENTRY_HOST_RECORD_H_
