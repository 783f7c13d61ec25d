#ifndef SRC_HTTP_HEADERS_H_
#define SRC_HTTP_HEADERS_H_

namespace toucanknot {

// Whether the request was executed: "ran", "not-run" or "unknown".
inline constexpr char kVerdictHeader[] = "Toucanknot-Verdict";
// Why a request was rejected: a name in kRefusalNames or in the tables of the
// package once.
inline constexpr char kReasonHeader[] = "Toucanknot-Reason";
// Number of milliseconds that the caller waits for the response.
inline constexpr char kDeadlineHeader[] = "Toucanknot-Deadline-Ms";
// Carries a ticket in requests and responses.
inline constexpr char kTicketHeader[] = "Idempotency-Key";
// Token that marks a request as forwarded by another entry host and
// authenticates its origin.
inline constexpr char kForwardingHeader[] = "Toucanknot-Pass";

}  // namespace toucanknot

#endif  // SRC_HTTP_HEADERS_H_
