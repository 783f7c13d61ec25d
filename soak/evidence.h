#ifndef SOAK_EVIDENCE_H_
#define SOAK_EVIDENCE_H_

#include <string>

#include "soak/invariant_checker.h"

namespace toucanknot::soak {

// Writes the file evidence.jsonl in `folder`, one line for each request that
// violated an invariant: its id, its events with their places and times in Unix
// milliseconds, and the log lines of the hosts (*.log in `folder`) that name
// it. Writes nothing if no request did.
void WriteEvidence(const InvariantChecker& checker, const std::string& folder);

}  // namespace toucanknot::soak

#endif  // SOAK_EVIDENCE_H_
