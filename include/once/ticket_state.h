#ifndef INCLUDE_ONCE_TICKET_STATE_H_
#define INCLUDE_ONCE_TICKET_STATE_H_

#include <cstdint>
#include <optional>

#include "include/base/enum_names.h"

namespace toucanknot {

// The life cycle of a ticket at its owner, or of a passed attempt at the host
// that received it.
enum class TicketState : uint8_t {
  // No request has used it. Costs no memory.
  kUnused,
  // A request was taken; not a byte of it has been handed over. It may be sent
  // anywhere, or be refused.
  kAdmitted,
  // Bytes may have left for a backend server or another entry host.
  kHandedOver,
  // A whole answer came. Final.
  kRan,
  // The attempt ended without a whole answer: it may have run.
  kBroken,
  // It did not run and never will. Final.
  kVoided,
};

inline constexpr EnumNames<TicketState, 6> kTicketStateNames{
    {"unused", "admitted", "handed-over", "ran", "broken", "voided"}};

enum class TicketEvent : uint8_t {
  // A request with the ticket arrives at the owner.
  kAdmit,
  // The first byte is about to leave.
  kHandOver,
  // The host that it was passed to proves that it did not and will not run it.
  kTakeBack,
  // A whole answer arrived.
  kAnswer,
  // The attempt ended without a whole answer.
  kBreak,
  // The owner gives it up before a byte was handed over.
  kVoid,
  // The other side proves that it did not and will not run it, and the owner
  // does not choose again.
  kRefuse,
};

inline constexpr EnumNames<TicketEvent, 7> kTicketEventNames{
    {"admit", "hand-over", "take-back", "answer", "break", "void", "refuse"}};

// The state after `event` in `state`; nothing when the event is not allowed
// there and changes nothing.
std::optional<TicketState> NextTicketState(TicketState state,
                                           TicketEvent event);

}  // namespace toucanknot

#endif  // INCLUDE_ONCE_TICKET_STATE_H_
