#include "include/once/ticket_state.h"

#include <catch2/catch.hpp>

#include <set>
#include <tuple>

namespace toucanknot {

TEST_CASE("a ticket has these state transitions and no others") {
  using S = TicketState;
  using E = TicketEvent;
  const std::set<std::tuple<S, E, S>> allowed{
      {S::kUnused, E::kAdmit, S::kAdmitted},
      {S::kUnused, E::kVoid, S::kVoided},
      {S::kAdmitted, E::kHandOver, S::kHandedOver},
      {S::kAdmitted, E::kVoid, S::kVoided},
      {S::kHandedOver, E::kTakeBack, S::kAdmitted},
      {S::kHandedOver, E::kResponse, S::kRan},
      {S::kHandedOver, E::kBreak, S::kBroken},
      {S::kHandedOver, E::kRefuse, S::kVoided},
      {S::kBroken, E::kResponse, S::kRan},
      {S::kBroken, E::kRefuse, S::kVoided},
  };
  std::set<std::tuple<S, E, S>> found;
  for (size_t s = 0; s < kTicketStateNames.names.size(); ++s) {
    for (size_t e = 0; e < kTicketEventNames.names.size(); ++e) {
      const auto state = static_cast<S>(s);
      const auto event = static_cast<E>(e);
      if (const auto next = NextTicketState(state, event))
        found.emplace(state, event, *next);
    }
  }
  CHECK(found == allowed);
}

}  // namespace toucanknot
