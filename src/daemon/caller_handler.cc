#include "src/daemon/caller_handler.h"

#include <algorithm>
#include <utility>

#include "src/daemon/responses.h"
#include "src/http/headers.h"

namespace toucanknot {
namespace {

constexpr std::string_view kLookupPath = "/v1/lookup";

// The verdict on a request that is rejected without a look at the records. A
// caller's request with a ticket may be a repeat of one that ran; one that a
// host forwards under a ticket arrives here for the first time.
Verdict VerdictWithoutRecords(const HttpRequest& request) {
  return request.fields.Has(kTicketHeader) &&
                 !request.fields.Has(kForwardingHeader)
             ? Verdict::kUnknown
             : Verdict::kNotRun;
}

HttpResponse NoConfiguration(Verdict verdict) {
  return HostResponse(503, verdict, "no-configuration",
                      "this entry host has no configuration yet");
}

}  // namespace

CallerHandler::CallerHandler(Dependencies dependencies)
    : dependencies_(std::move(dependencies)) {}

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
  dependencies_.metrics->CountLookup();
  if (request.method != "GET") {
    HttpResponse response = HostResponse(405, Verdict::kNotRun, "method",
                                         "look-ups are GET requests");
    response.fields.Add("Allow", "GET");
    return response;
  }
  const LookupTablePtr lookups = dependencies_.lookups->load();
  const RoutingTablesPtr tables = dependencies_.tables->Get();
  if (!lookups || !tables)
    return NoConfiguration(Verdict::kNotRun);
  const std::string service = QueryValue(request.target, "service");
  const std::string* json = lookups->Find(
      service, next_rotation_.fetch_add(1, std::memory_order_relaxed));
  if (!json) {
    return HostResponse(404, Verdict::kNotRun, "no-such-service",
                        "there is no service \"" + service + "\"");
  }
  HttpResponse response = JsonResponse(200, *json);
  response.fields.Add("Cache-Control", "no-store");
  if (QueryValue(request.target, "ticket") == "1") {
    const Duration lifetime = tables->Find(service)->tunables.ticket_lifetime;
    response.fields.Add(kTicketHeader,
                        dependencies_.tickets->IssueTicket(lifetime));
  }
  return response;
}

boost::asio::awaitable<HttpResponse> CallerHandler::Serve(HttpRequest request) {
  const Instant start = SteadyNow();
  const Verdict rejected = VerdictWithoutRecords(request);
  RoutingTablesPtr tables = dependencies_.tables->Get();
  if (!tables)
    co_return NoConfiguration(rejected);
  bool forged = false;
  auto forwarding_token = VerifyForwardingToken(request, dependencies_.self,
                                                *dependencies_.keys, &forged);
  if (forged) {
    dependencies_.metrics->CountForgedForwarding();
    co_return HostResponse(
        403, Verdict::kNotRun, "forged-pass",
        std::string(kForwardingHeader) +
            " is reserved for entry hosts; its signature is not valid");
  }
  HttpResponse response;
  try {
    const ServiceRequestPtr service_request = ParseServiceRequest(
        std::move(request), std::move(tables), forwarding_token, start);
    response = co_await Dispatch(service_request);
  } catch (const BadRequestError& e) {
    response = HostResponse(e.status(), rejected, "bad-request", e.what());
  }
  Count(response, SteadyNow() - start);
  co_return response;
}

void CallerHandler::Count(const HttpResponse& response, Duration took) {
  const auto verdict = kVerdictNames.Parse(response.fields.Get(kVerdictHeader));
  dependencies_.metrics->CountRequest(verdict.value_or(Verdict::kUnknown),
                                      took);
  if (const auto refusal =
          kRefusalNames.Parse(response.fields.Get(kReasonHeader))) {
    dependencies_.metrics->CountRefusal(*refusal);
  }
}

ServiceRequestPtr CallerHandler::ParseHead(const HttpRequest& head,
                                           Instant now) const {
  RoutingTablesPtr tables = dependencies_.tables->Get();
  if (!tables || !head.target.starts_with(kServicesPrefix))
    return nullptr;
  try {
    return ParseServiceRequest(head, std::move(tables), std::nullopt, now);
  } catch (const BadRequestError&) {
    return nullptr;
  }
}

Instant CallerHandler::BodyCompleteBy(const HttpRequest& head) const {
  const Instant now = SteadyNow();
  const ServiceRequestPtr parsed = ParseHead(head, now);
  if (!parsed || !dependencies_.stop->begun())
    return Instant::Never();
  // The deadline counts from the end of the body.
  return std::max(dependencies_.stop->answer_by() - (parsed->deadline - now),
                  dependencies_.stop->LatestSend({Instant::Never(), {}, true}));
}

HttpResponse CallerHandler::RefuseBody(const HttpRequest& head) {
  const ServiceRequestPtr parsed = ParseHead(head, SteadyNow());
  // An earlier copy of a request with a ticket may have run.
  const bool may_have_run =
      parsed && !parsed->idempotent && head.fields.Has(kTicketHeader);
  HttpResponse response =
      may_have_run
          ? HostResponse(504, Verdict::kUnknown,
                         kRefusalNames.Name(Refusal::kHostLeaving),
                         "this entry host is shutting down; send the request "
                         "to another one with the same Idempotency-Key")
          : RefusalResponse(Refusal::kHostLeaving);
  Count(response, SteadyNow() - head.began_at);
  return response;
}

boost::asio::awaitable<HttpResponse> CallerHandler::ServeIdempotent(
    ServiceRequestPtr service_request) {
  if (!dependencies_.stop->MaySend({service_request->deadline, {}, true}))
    co_return RefusalResponse(Refusal::kHostLeaving);
  co_return co_await dependencies_.idempotent->Serve(
      std::move(service_request));
}

boost::asio::awaitable<HttpResponse> CallerHandler::Dispatch(
    ServiceRequestPtr service_request) {
  if (!service_request->forwarding_token) {
    if (service_request->idempotent)
      return ServeIdempotent(std::move(service_request));
    return dependencies_.once->Serve(std::move(service_request));
  }
  switch (service_request->forwarding_token->kind) {
    case ForwardingKind::kServe:
      return ServeIdempotent(std::move(service_request));
    case ForwardingKind::kRunOnce:
      return dependencies_.once->ServeForwarded(std::move(service_request));
    case ForwardingKind::kAskOwner:
      return dependencies_.once->ServeOwnerQuery(std::move(service_request));
  }
  throw Error("unknown kind of forwarded request");
}

}  // namespace toucanknot
