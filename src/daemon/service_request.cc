#include "src/daemon/service_request.h"

#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <utility>

#include "src/http/headers.h"

namespace toucanknot {
namespace {

constexpr int64_t kHeaderAllowanceBytes = 512;

uint64_t Fingerprint(std::string_view service, const HttpRequest& request) {
  uint64_t hash = 0;
  for (const std::string_view it :
       {service, std::string_view(request.method),
        std::string_view(request.target), std::string_view(request.body)}) {
    // Seeding with the length distinguishes inputs whose concatenation is
    // equal.
    hash = XXH3_64bits_withSeed(it.data(), it.size(), hash + it.size());
  }
  return hash;
}

Instant ParseDeadline(const HttpRequest& request,
                      const Tunables& tunables,
                      Instant now) {
  const std::string_view text = request.fields.Get(kDeadlineHeader);
  if (text.empty())
    return now + tunables.deadline;
  int64_t ms = 0;
  const auto [rest, err] =
      std::from_chars(text.data(), text.data() + text.size(), ms);
  if (err != std::errc() || rest != text.data() + text.size() || ms <= 0) {
    throw BadRequestError(400, std::string(kDeadlineHeader) +
                                   " must be a whole number of milliseconds "
                                   "greater than 0, found \"" +
                                   std::string(text) + "\"");
  }
  return now + std::min(Duration(ms), tunables.max_deadline);
}

HttpRequest MakeForwardedRequest(const HttpRequest& original) {
  HttpRequest out = original;
  RemoveHopByHop(out.fields);
  out.fields.Remove("Expect");
  out.fields.Remove(kForwardingHeader);
  out.fields.Remove("Content-Length");
  out.fields.Add("Via", "1.1 toucanknot");
  const std::string_view before = original.fields.Get("X-Forwarded-For");
  out.fields.Set("X-Forwarded-For",
                 before.empty()
                     ? original.remote_ip
                     : std::string(before) + ", " + original.remote_ip);
  return out;
}

void SetDeadline(HttpRequest& request, Instant deadline) {
  const Duration left = std::max(deadline - SteadyNow(), Duration(1));
  request.fields.Set(kDeadlineHeader, std::to_string(left.ms()));
}

}  // namespace

DispatchRequest ServiceRequest::ToDispatchRequest(uint64_t id) const {
  DispatchRequest item;
  item.id = id;
  item.service = entry->service.id;
  item.deadline = deadline;
  item.request_bytes =
      static_cast<int64_t>(original.body.size()) + kHeaderAllowanceBytes;
  item.run_once = !idempotent;
  item.fingerprint = fingerprint;
  item.hop = forwarding_token ? forwarding_token->hop : Hop::kCaller;
  return item;
}

HttpRequest ServiceRequest::MakeServerRequest(const Endpoint& server) const {
  HttpRequest out = MakeForwardedRequest(original);
  out.target = server_target;
  out.fields.Set("Host", server.ToString());
  SetDeadline(out, deadline);
  return out;
}

HttpRequest ServiceRequest::MakeHostRequest(const Endpoint& host) const {
  HttpRequest out = MakeForwardedRequest(original);
  out.fields.Set("Host", host.ToString());
  SetDeadline(out, deadline);
  return out;
}

void ExcludeTarget(const DispatchDecision& decision, DispatchRequest& item) {
  if (decision.step == Step::kSend)
    item.avoid.push_back(decision.server);
  else
    item.avoid_hosts.push_back(decision.host);
}

ServiceRequestPtr ParseServiceRequest(
    HttpRequest request,
    RoutingTablesPtr tables,
    std::optional<ForwardingToken> forwarding_token,
    Instant now) {
  std::string_view rest = std::string_view(request.target);
  rest.remove_prefix(kServicesPrefix.size());
  const size_t end = std::min(rest.find('/'), rest.find('?'));
  const std::string service(rest.substr(0, end));
  auto service_request = std::make_shared<ServiceRequest>();
  service_request->entry = tables->Find(service);
  if (!service_request->entry)
    throw BadRequestError(404, "there is no service \"" + service + "\"");
  std::string_view target =
      end == std::string_view::npos ? std::string_view() : rest.substr(end);
  service_request->server_target =
      target.starts_with('/') ? std::string(target) : "/" + std::string(target);
  service_request->tables = std::move(tables);
  service_request->deadline =
      ParseDeadline(request, service_request->entry->tunables, now);
  service_request->idempotent = service_request->entry->IsIdempotent(
      request.method, TargetPath(service_request->server_target));
  service_request->fingerprint = Fingerprint(service, request);
  service_request->forwarding_token = std::move(forwarding_token);
  service_request->original = std::move(request);
  return service_request;
}

}  // namespace toucanknot
