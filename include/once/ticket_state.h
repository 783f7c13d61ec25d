#ifndef INCLUDE_ONCE_TICKET_STATE_H_
#define INCLUDE_ONCE_TICKET_STATE_H_

#include <cstdint>
#include <optional>

#include "include/base/enum_names.h"

namespace toucanknot {

// The life cycle of a ticket at its owner, or of a forwarded attempt at the
// host that received it.
enum class TicketState : uint8_t {
  // No request has used it. Costs no memory.
  kUnused,
  // A request was accepted; no byte of it has been handed over. It may still be
  // sent anywhere, or be rejected.
  kAdmitted,
  // Bytes may have been sent to a backend server or another entry host.
  kHandedOver,
  // A complete response came. Final.
  kRan,
  // The attempt ended without a complete response: it may have run.
  kBroken,
  // It did not run and never will. Final.
  kVoided,
};

inline constexpr EnumNames<TicketState, 6> kTicketStateNames{
    {"unused", "admitted", "handed-over", "ran", "broken", "voided"}};

enum class TicketEvent : uint8_t {
  // A request with the ticket arrives at the owner.
  kAdmit,
  // The first byte is about to be sent.
  kHandOver,
  // The host to which it was forwarded proves that it did not and will not run
  // it.
  kTakeBack,
  // A complete response arrived.
  kResponse,
  // The attempt ended without a complete response.
  kBreak,
  // The owner gives it up before any byte was handed over.
  kVoid,
  // The other side proves that it did not and will not run it, and the owner
  // does not send it elsewhere.
  kRefuse,
};

inline constexpr EnumNames<TicketEvent, 7> kTicketEventNames{
    {"admit", "hand-over", "take-back", "answer", "break", "void", "refuse"}};

// The state after `event` in `state`; nothing when the event is not allowed in
// `state` and changes nothing.
std::optional<TicketState> NextTicketState(TicketState state,
                                           TicketEvent event);

}  // namespace toucanknot

#endif  // INCLUDE_ONCE_TICKET_STATE_H_
