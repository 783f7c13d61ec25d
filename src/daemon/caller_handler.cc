#include "src/daemon/caller_handler.h"

#include <utility>

#include "src/daemon/answers.h"
#include "src/http/headers.h"

namespace toucanknot {
namespace {

constexpr std::string_view kLookupPath = "/v1/lookup";

HttpResponse NoConfiguration() {
  return HostResponse(503, Verdict::kNotRun, "no-configuration",
                      "this entry host has no configuration yet");
}

}  // namespace

CallerHandler::CallerHandler(Parts parts) : parts_(std::move(parts)) {}

boost::asio::awaitable<HttpResponse> CallerHandler::Handle(
    HttpRequest request) {
  if (TargetPath(request.target) == kLookupPath)
    co_return Lookup(request);
  if (request.target.starts_with(kServicesPrefix))
    co_return co_await Serve(std::move(request));
  co_return HostResponse(404, Verdict::kNotRun, "no-such-path",
                         "use /v1/lookup?service=NAME or "
                         "/v1/services/NAME/PATH");
}

HttpResponse CallerHandler::Lookup(const HttpRequest& request) {
  parts_.metrics->CountLookup();
  if (request.method != "GET") {
    HttpResponse answer = HostResponse(405, Verdict::kNotRun, "method",
                                       "look-ups are GET requests");
    answer.fields.Add("Allow", "GET");
    return answer;
  }
  const LookupTablePtr lookups = parts_.lookups->load();
  const RoutingTablesPtr tables = parts_.tables->Get();
  if (!lookups || !tables)
    return NoConfiguration();
  const std::string service = QueryValue(request.target, "service");
  const std::string* json =
      lookups->Find(service, turn_.fetch_add(1, std::memory_order_relaxed));
  if (!json) {
    return HostResponse(404, Verdict::kNotRun, "no-such-service",
                        "there is no service \"" + service + "\"");
  }
  HttpResponse answer = JsonResponse(200, *json);
  answer.fields.Add("Cache-Control", "no-store");
  if (QueryValue(request.target, "ticket") == "1") {
    const Duration life = tables->Find(service)->tunables.ticket_lifetime;
    answer.fields.Add(kTicketHeader, parts_.tickets->Mint(life));
  }
  return answer;
}

boost::asio::awaitable<HttpResponse> CallerHandler::Serve(HttpRequest request) {
  const Instant start = SteadyNow();
  RoutingTablesPtr tables = parts_.tables->Get();
  if (!tables)
    co_return NoConfiguration();
  bool forged = false;
  auto pass =
      VerifyForwardingToken(request, parts_.self, *parts_.keys, &forged);
  if (forged) {
    parts_.metrics->CountForgedForwarding();
    co_return HostResponse(
        403, Verdict::kNotRun, "forged-pass",
        std::string(kForwardingHeader) +
            " is reserved for entry hosts; its signature is not valid");
  }
  HttpResponse answer;
  try {
    const ServiceRequestPtr call =
        ParseServiceRequest(std::move(request), std::move(tables), pass, start);
    answer = co_await Dispatch(call);
  } catch (const BadRequestError& e) {
    answer =
        HostResponse(e.status(), Verdict::kNotRun, "bad-request", e.what());
  }
  const auto verdict = kVerdictNames.Parse(answer.fields.Get(kVerdictHeader));
  parts_.metrics->CountRequest(verdict.value_or(Verdict::kUnknown),
                               SteadyNow() - start);
  if (const auto refusal =
          kRefusalNames.Parse(answer.fields.Get(kReasonHeader))) {
    parts_.metrics->CountRefusal(*refusal);
  }
  co_return answer;
}

boost::asio::awaitable<HttpResponse> CallerHandler::Dispatch(
    ServiceRequestPtr call) {
  if (!call->pass) {
    if (call->idempotent)
      return parts_.idempotent->Serve(std::move(call));
    return parts_.once->Serve(std::move(call));
  }
  switch (call->pass->kind) {
    case ForwardingKind::kServe:
      return parts_.idempotent->Serve(std::move(call));
    case ForwardingKind::kRunOnce:
      return parts_.once->ServeForwarded(std::move(call));
    case ForwardingKind::kAskOwner:
      return parts_.once->ServeQuestion(std::move(call));
  }
  throw Error("unknown kind of forwarded request");
}

}  // namespace toucanknot
