#ifndef INCLUDE_ONCE_TICKET_H_
#define INCLUDE_ONCE_TICKET_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "include/base/clock.h"
#include "include/base/ids.h"

namespace toucanknot {

// One incarnation of a host: the time from one start to its end.
struct HostIncarnation {
  HostId host;
  Incarnation incarnation = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): see Duration.
  auto operator<=>(const HostIncarnation&) const = default;
};

// The first bytes of an HMAC-SHA256.
using TicketMac = std::array<uint8_t, 16>;

// Permission to run one request once, issued by the host that owns it. Its text
// is the value of the `Idempotency-Key` header:
//   tk1~HOST~INCARNATION~SEQUENCE~EXPIRES~WITNESS~INCARNATION~MAC
// Numbers are in hex without leading zeros; the two witness parts are empty
// when there is no witness. Host ids consist of letters, digits, '.', '_', '-'.
struct Ticket {
  // The only host that may run the request.
  HostIncarnation owner;
  // Increases within one incarnation of the owner.
  uint64_t sequence = 0;
  // Expiry time, counted from the owner's start on the owner's clock.
  Duration expires;
  // The peer that must grant the request before the owner hands it over.
  std::optional<HostIncarnation> witness;
  TicketMac mac{};

  bool operator==(const Ticket&) const = default;

  // The longest text that Parse() accepts, in bytes.
  static constexpr size_t kMaxText = 320;

  // The text without the MAC and the separator before it: the input of the MAC.
  std::string SignedText() const;
  std::string ToString() const;
  // Parses the output of ToString(), with or without double quotes around it.
  // Needs no key and does not verify the MAC. Returns nothing when the text is
  // not a ticket or is truncated.
  static std::optional<Ticket> Parse(std::string_view text);
  // Whether `host` can be used in a ticket.
  static bool IsHostName(std::string_view host);
};

}  // namespace toucanknot

#endif  // INCLUDE_ONCE_TICKET_H_
