#ifndef INCLUDE_PLACING_SERVER_NOTICE_H_
#define INCLUDE_PLACING_SERVER_NOTICE_H_

#include <functional>
#include <optional>
#include <string_view>

#include "include/base/clock.h"

namespace toucanknot {

// What a backend server states about itself in a response, besides its load.
struct ServerNotice {
  // It accepts no new requests and will stop.
  bool leaving = false;
  // It rejected the request and wants no others from this host for so long.
  std::optional<Duration> pause;
  // Requests a second that it accepts from all hosts together.
  std::optional<double> limit;
  // The response has a limit that is not valid: it neither sets nor ends one.
  bool limit_malformed = false;

  bool operator==(const ServerNotice&) const = default;
};

// Returns the value of the response's field with that name; empty if absent.
using FieldReader = std::function<std::string_view(std::string_view name)>;

}  // namespace toucanknot

#endif  // INCLUDE_PLACING_SERVER_NOTICE_H_
