#include "src/daemon/answers.h"

#include <array>
#include <utility>

#include "src/http/headers.h"

namespace toucanknot {
namespace {

constexpr int kRetryAfterSeconds = 1;

// Sentences for people, by Refusal.
constexpr std::array<std::string_view, 10> kRefusalSentences = {
    "it was not refused",
    "it cannot be answered within its deadline",
    "too many requests wait for this service here",
    "no backend server of the service can take it",
    "the region is at its limit",
    "the link to the region that could serve it is at its limit",
    "the shift to another region is at its limit for now",
    "its class of work is refused while capacity is short",
    "requests like it crash backend servers",
    "this entry host is leaving; look up another one",
};

}  // namespace

HttpResponse ToCaller(HttpResponse answer, Verdict verdict) {
  RemoveHopByHop(answer.fields);
  answer.fields.Remove("Content-Length");
  answer.fields.Set(kVerdictHeader, std::string(VerdictName(verdict)));
  return answer;
}

HttpResponse HostResponse(int status,
                          Verdict verdict,
                          std::string_view reason,
                          const std::string& sentence) {
  HttpResponse answer =
      TextResponse(status, std::string(VerdictName(verdict)) + ": " + sentence);
  answer.fields.Add(kVerdictHeader, std::string(VerdictName(verdict)));
  answer.fields.Add(kReasonHeader, std::string(reason));
  return answer;
}

HttpResponse RefusalResponse(Refusal refusal) {
  HttpResponse answer = HostResponse(
      503, Verdict::kNotRun, kRefusalNames.Name(refusal),
      std::string(kRefusalSentences[static_cast<size_t>(refusal)]));
  answer.fields.Add("Retry-After", std::to_string(kRetryAfterSeconds));
  return answer;
}

}  // namespace toucanknot
