#ifndef SRC_ENTRY_REQUEST_FIELDS_H_
#define SRC_ENTRY_REQUEST_FIELDS_H_

#include <cstdint>
#include <optional>
#include <string_view>

#include "include/placing/placer.h"
#include "src/http/http_message.h"

namespace toucanknot {

// Parses a decimal integer; nothing else may be in `text`.
std::optional<int64_t> ParseInteger(std::string_view text);

// The same at all hosts. `seed` makes hashes of several texts differ.
uint64_t HashText(std::string_view text, uint64_t seed);

// Equal for all copies of a request, whoever sends them: a caller's address
// changes with its connection, and a server crashes on what it receives.
uint64_t FingerprintOf(const HttpRequest& request);

// Whether callers take the status as a promise that the request did not run.
bool PromisesNotRun(int status);

// Parses "running,waiting,slots" into `out`; leaves it as it is when `text` is
// not valid.
void ParseLoad(std::string_view text, PlacedAttemptResult& out);

}  // namespace toucanknot

#endif  // SRC_ENTRY_REQUEST_FIELDS_H_
