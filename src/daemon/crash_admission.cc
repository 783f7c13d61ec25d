#include "src/daemon/crash_admission.h"

#include <utility>

#include "src/http/one_shot.h"

namespace toucanknot {
namespace {

constexpr Duration kPollInterval{20};

}  // namespace

CrashAdmission::CrashAdmission(WorkerPool& workers,
                               ZoneId own_zone,
                               FindState find_state)
    : workers_(workers),
      own_zone_(std::move(own_zone)),
      find_state_(std::move(find_state)) {}

boost::asio::awaitable<DispatchDecision> CrashAdmission::Decide(
    ServiceRequestPtr service_request,
    DispatchRequest item) {
  const CrashAdmissionResult result = co_await Admit(service_request);
  DispatchDecision decision;
  decision.request_id = item.id;
  if (result.refusal != Refusal::kNone) {
    decision.step = Step::kRefuse;
    decision.refusal = result.refusal;
    co_return decision;
  }
  if (!result.run_alone_on.empty()) {
    decision.step = Step::kSend;
    decision.server = result.run_alone_on;
    co_return decision;
  }
  co_return co_await service_request->entry->dispatcher->Place(
      workers_.loop(WorkerPool::CurrentWorker()), std::move(item));
}

boost::asio::awaitable<CrashAdmission::CrashAdmissionResult>
CrashAdmission::Admit(ServiceRequestPtr service_request) {
  CrashAdmissionResult result;
  const auto state = find_state_(service_request->entry->service.id);
  SharedQuarantine& quarantine = state->quarantine();
  ServerId server;
  for (;;) {
    const Instant now = SteadyNow();
    const RunMode mode = quarantine.ModeOf(service_request->fingerprint, now);
    if (mode == RunMode::kFree)
      co_return result;
    if (mode == RunMode::kRefuse || now >= service_request->deadline)
      break;
    if (mode == RunMode::kAlone) {
      if (server.empty())
        server = state->FindServerToRunAlone(OwnServers(*service_request), now);
      if (!server.empty() &&
          quarantine.TryRunAlone(service_request->fingerprint, server, now)) {
        result.run_alone_on = server;
        co_return result;
      }
    }
    co_await SleepFor(kPollInterval);
  }
  const bool late = SteadyNow() >= service_request->deadline;
  if (!server.empty())
    quarantine.GiveUp(service_request->fingerprint, SteadyNow());
  result.refusal = late ? Refusal::kDeadline : Refusal::kQuarantined;
  co_return result;
}

std::vector<ServerId> CrashAdmission::OwnServers(
    const ServiceRequest& service_request) const {
  const FleetConfig& config = *service_request.tables->config;
  const RegionId own_region = config.RegionOf(own_zone_);
  std::vector<ServerId> servers;
  for (const BackendServer& it : service_request.entry->service.servers) {
    if (config.RegionOf(it.zone) == own_region)
      servers.push_back(it.id);
  }
  return servers;
}

}  // namespace toucanknot
