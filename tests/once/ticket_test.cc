#include "include/once/ticket.h"

#include <catch2/catch.hpp>

#include <string>

#include "include/base/error.h"
#include "include/once/ticket_issuer.h"

namespace toucanknot {
namespace {

constexpr Duration kLifetime{1'000};

TicketIssuer NewIssuer(const char* host,
                       Incarnation incarnation,
                       uint8_t secret) {
  TicketKey key{};
  key[0] = secret;
  return TicketIssuer({HostId(host), incarnation}, key, Instant(500));
}

}  // namespace

TEST_CASE("a ticket's text parses back, quoted or not, with its witness") {
  TicketIssuer issuer = NewIssuer("khomas-1a.example", 0x1f, 1);
  for (const auto& witness : {std::optional<HostIncarnation>(),
                              std::optional(HostIncarnation{HostId("w"), 9})}) {
    const Ticket ticket = issuer.Issue(kLifetime, Instant(600), witness);
    const std::string text = ticket.ToString();
    CHECK(Ticket::Parse(text) == ticket);
    CHECK(Ticket::Parse('"' + text + '"') == ticket);
    CHECK(issuer.Check(*Ticket::Parse(text), Instant(700)) ==
          TicketCheck::kValid);
  }
}

TEST_CASE("every truncated ticket is malformed") {
  TicketIssuer issuer = NewIssuer("a", 7, 1);
  const std::string text =
      issuer.Issue(kLifetime, Instant(600), HostIncarnation{HostId("w"), 9})
          .ToString();
  for (size_t n = 0; n < text.size(); ++n) {
    CHECK_FALSE(Ticket::Parse(text.substr(0, n)));
    if (n > 0)
      CHECK_FALSE(Ticket::Parse(text.substr(n)));
  }
  CHECK_FALSE(Ticket::Parse(text + "0"));
  CHECK_FALSE(Ticket::Parse(std::string(Ticket::kMaxText + 1, 'a')));
}

TEST_CASE("a ticket with any changed character is not valid") {
  TicketIssuer issuer = NewIssuer("a", 7, 1);
  const std::string text = issuer.Issue(kLifetime, Instant(600)).ToString();
  for (size_t i = 0; i < text.size(); ++i) {
    for (const char c : std::string("0123456789abcdef~zA\"")) {
      std::string other = text;
      if (other[i] == c)
        continue;
      other[i] = c;
      const auto ticket = Ticket::Parse(other);
      if (ticket)
        CHECK(issuer.Check(*ticket, Instant(700)) != TicketCheck::kValid);
    }
  }
}

TEST_CASE(
    "a check distinguishes forged, expired, other incarnations and hosts") {
  TicketIssuer issuer = NewIssuer("a", 7, 1);
  const Ticket ticket = issuer.Issue(kLifetime, Instant(600));
  CHECK(issuer.Check(ticket, Instant(1'599)) == TicketCheck::kValid);
  CHECK(issuer.Check(ticket, Instant(1'600)) == TicketCheck::kExpired);
  CHECK(NewIssuer("a", 7, 2).Check(ticket, Instant(700)) ==
        TicketCheck::kForged);
  CHECK(NewIssuer("a", 8, 1).Check(ticket, Instant(700)) ==
        TicketCheck::kOtherIncarnation);
  CHECK(NewIssuer("b", 7, 1).Check(ticket, Instant(700)) ==
        TicketCheck::kOtherHost);
  Ticket longer = ticket;
  longer.expires = longer.expires + kLifetime;
  CHECK(issuer.Check(longer, Instant(700)) == TicketCheck::kForged);
}

TEST_CASE("a host whose name does not fit a ticket cannot issue one") {
  CHECK_THROWS_AS(NewIssuer("a~b", 1, 1), Error);
  CHECK_THROWS_AS(NewIssuer("", 1, 1), Error);
}

}  // namespace toucanknot
