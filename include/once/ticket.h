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

// A host in one of its lives.
struct HostIncarnation {
  HostId host;
  Incarnation incarnation = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): see Duration.
  auto operator<=>(const HostIncarnation&) const = default;
};

// The first bytes of an HMAC-SHA256.
using TicketMac = std::array<uint8_t, 16>;

// The right to run one request once, issued by the host that owns it. Its text
// is the value of the `Idempotency-Key` header:
//   tk1~HOST~INCARNATION~SEQUENCE~EXPIRES~WITNESS~INCARNATION~MAC
// Numbers are in hex without leading zeros; the two witness parts are empty
// when there is no witness. Host ids hold only letters, digits, '.', '_', '-'.
struct Ticket {
  // Who alone may run the request.
  HostIncarnation owner;
  // Counts up within the owner's life.
  uint64_t sequence = 0;
  // When it expires, counted from the owner's start on the owner's clock.
  Duration expires;
  // The peer whose consent the owner needs before it hands the request over.
  std::optional<HostIncarnation> witness;
  TicketMac mac{};

  bool operator==(const Ticket&) const = default;

  // The longest text that Parse() looks at, in bytes.
  static constexpr size_t kMaxText = 320;

  // The text without the MAC and the '~' before it: what the MAC covers.
  std::string SignedText() const;
  std::string ToString() const;
  // Reads what ToString() writes, with or without double quotes around it.
  // Needs no key and says nothing about authenticity. Nothing when the text is
  // no ticket or is cut.
  static std::optional<Ticket> Parse(std::string_view text);
  // Whether `host` can be named in a ticket.
  static bool IsHostName(std::string_view host);
};

}  // namespace toucanknot

#endif  // INCLUDE_ONCE_TICKET_H_
