#ifndef SRC_HTTP_HEADERS_H_
#define SRC_HTTP_HEADERS_H_

namespace toucanknot {

// States the verdict on the request: "ran", "not-run" or "unknown".
inline constexpr char kVerdictHeader[] = "Toucanknot-Verdict";
// Why a request was refused: a name of kRefusalNames or of once's tables.
inline constexpr char kReasonHeader[] = "Toucanknot-Reason";
// Milliseconds that the caller waits for the answer.
inline constexpr char kDeadlineHeader[] = "Toucanknot-Deadline-Ms";
// Carries a ticket, from the caller and to it.
inline constexpr char kTicketHeader[] = "Idempotency-Key";
// Marks a request that one entry host passes to another; proves its origin.
inline constexpr char kForwardingHeader[] = "Toucanknot-Pass";

}  // namespace toucanknot

#endif  // SRC_HTTP_HEADERS_H_
