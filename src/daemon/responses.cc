#include "src/daemon/responses.h"

#include <array>
#include <utility>

#include "src/http/headers.h"

namespace toucanknot {
namespace {

constexpr int kRetryAfterSeconds = 1;

// Human-readable explanations, indexed by Refusal.
constexpr std::array<std::string_view, 10> kRefusalSentences = {
    "the request was not refused",
    "the request cannot be served within its deadline",
    "too many requests are queued for this service on this host",
    "no backend server of the service is available",
    "the region is at its load limit",
    "the link to the region that could serve the request is at its limit",
    "the rate limit on shifting load to another region is reached",
    "its work class is refused while capacity is short",
    "identical requests crashed backend servers",
    "this entry host is shutting down; look up another one",
};

}  // namespace

HttpResponse ToCallerResponse(HttpResponse response, Verdict verdict) {
  RemoveHopByHop(response.fields);
  response.fields.Remove("Content-Length");
  response.fields.Set(kVerdictHeader, std::string(VerdictName(verdict)));
  return response;
}

HttpResponse HostResponse(int status,
                          Verdict verdict,
                          std::string_view reason,
                          const std::string& sentence) {
  HttpResponse response =
      TextResponse(status, std::string(VerdictName(verdict)) + ": " + sentence);
  response.fields.Add(kVerdictHeader, std::string(VerdictName(verdict)));
  response.fields.Add(kReasonHeader, std::string(reason));
  return response;
}

HttpResponse RefusalResponse(Refusal refusal) {
  HttpResponse response = HostResponse(
      503, Verdict::kNotRun, kRefusalNames.Name(refusal),
      std::string(kRefusalSentences[static_cast<size_t>(refusal)]));
  // Another host can serve the request at once.
  if (refusal != Refusal::kHostLeaving)
    response.fields.Add("Retry-After", std::to_string(kRetryAfterSeconds));
  return response;
}

}  // namespace toucanknot
