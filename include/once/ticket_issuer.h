#ifndef INCLUDE_ONCE_TICKET_ISSUER_H_
#define INCLUDE_ONCE_TICKET_ISSUER_H_

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "include/base/clock.h"
#include "include/base/enum_names.h"
#include "include/once/ticket.h"

namespace toucanknot {

// The secret of one incarnation of a host; generated randomly at start, never
// shared.
using TicketKey = std::array<uint8_t, 32>;

// The result of checking a ticket.
enum class TicketCheck {
  kValid,
  // Authentic, but expired.
  kExpired,
  // It names this incarnation of this host, and its MAC is wrong.
  kForged,
  // It names another incarnation of this host, which alone could check it.
  kOtherIncarnation,
  // It names another host.
  kOtherHost,
};

inline constexpr EnumNames<TicketCheck, 5> kTicketCheckNames{
    {"valid", "expired", "forged", "other-incarnation", "other-host"}};

// Issues and checks the tickets of one incarnation of one host. Issued tickets
// are not stored, only counted. Not thread-safe.
class TicketIssuer {
 public:
  // `started` is the origin of the tickets' expiry times on this host's clock.
  // Throws Error when `self` can't be used in a ticket.
  TicketIssuer(HostIncarnation self, const TicketKey& key, Instant started);
  ~TicketIssuer();
  TicketIssuer(TicketIssuer&&) noexcept;
  TicketIssuer& operator=(TicketIssuer&&) noexcept;

  // A new ticket that expires `lifetime` after `now`.
  Ticket Issue(Duration lifetime,
               Instant now,
               std::optional<HostIncarnation> witness = std::nullopt);

  TicketCheck Check(const Ticket& ticket, Instant now) const;

  // The expiry time of `ticket`, which Check() found authentic.
  Instant ExpiryOf(const Ticket& ticket) const;

  const HostIncarnation& self() const { return self_; }
  // Tickets issued so far.
  uint64_t issued() const { return next_sequence_ - 1; }

 private:
  class Mac;

  HostIncarnation self_;
  Instant started_;
  uint64_t next_sequence_ = 1;
  std::unique_ptr<Mac> mac_;
};

}  // namespace toucanknot

#endif  // INCLUDE_ONCE_TICKET_ISSUER_H_
