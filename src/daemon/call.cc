#include "src/daemon/call.h"

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
    // The length keeps neighbouring parts apart.
    hash = XXH3_64bits_withSeed(it.data(), it.size(), hash + it.size());
  }
  return hash;
}

Instant ReadDeadline(const HttpRequest& request,
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
                                   "above 0, found \"" +
                                   std::string(text) + "\"");
  }
  return now + std::min(Duration(ms), tunables.max_deadline);
}

HttpRequest Forwarded(const HttpRequest& original) {
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

DispatchRequest Call::ToDispatchRequest(uint64_t id) const {
  DispatchRequest item;
  item.id = id;
  item.service = entry->service.id;
  item.deadline = deadline;
  item.request_bytes =
      static_cast<int64_t>(original.body.size()) + kHeaderAllowanceBytes;
  item.run_once = !idempotent;
  item.fingerprint = fingerprint;
  item.hop = pass ? pass->hop : Hop::kCaller;
  return item;
}

HttpRequest Call::ForServer(const Endpoint& server) const {
  HttpRequest out = Forwarded(original);
  out.target = server_target;
  out.fields.Set("Host", server.ToString());
  SetDeadline(out, deadline);
  return out;
}

HttpRequest Call::ForHost(const Endpoint& host) const {
  HttpRequest out = Forwarded(original);
  out.fields.Set("Host", host.ToString());
  SetDeadline(out, deadline);
  return out;
}

void Avoid(const DispatchDecision& decision, DispatchRequest& item) {
  if (decision.step == Step::kSend)
    item.avoid.push_back(decision.server);
  else
    item.avoid_hosts.push_back(decision.host);
}

ServiceRequestPtr ParseServiceRequest(HttpRequest request,
                                      RoutingTablesPtr tables,
                                      std::optional<ForwardingToken> pass,
                                      Instant now) {
  std::string_view rest = std::string_view(request.target);
  rest.remove_prefix(kServicesPrefix.size());
  const size_t end = std::min(rest.find('/'), rest.find('?'));
  const std::string service(rest.substr(0, end));
  auto call = std::make_shared<Call>();
  call->entry = tables->Find(service);
  if (!call->entry)
    throw BadRequestError(404, "there is no service \"" + service + "\"");
  std::string_view target =
      end == std::string_view::npos ? std::string_view() : rest.substr(end);
  call->server_target =
      target.starts_with('/') ? std::string(target) : "/" + std::string(target);
  call->tables = std::move(tables);
  call->deadline = ReadDeadline(request, call->entry->tunables, now);
  call->idempotent = call->entry->IsIdempotent(request.method,
                                               TargetPath(call->server_target));
  call->fingerprint = Fingerprint(service, request);
  call->pass = std::move(pass);
  call->original = std::move(request);
  return call;
}

}  // namespace toucanknot
