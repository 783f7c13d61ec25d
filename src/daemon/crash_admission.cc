#include "src/daemon/crash_admission.h"

#include <utility>

#include "src/http/one_shot.h"

namespace toucanknot {
namespace {

constexpr Duration kAskAgain{20};

}  // namespace

CrashAdmission::CrashAdmission(WorkerPool& workers,
                               ZoneId own_zone,
                               FindState find)
    : workers_(workers),
      own_zone_(std::move(own_zone)),
      find_(std::move(find)) {}

boost::asio::awaitable<DispatchDecision> CrashAdmission::Decide(
    ServiceRequestPtr call,
    DispatchRequest item) {
  const CrashAdmissionResult pass = co_await Pass(call);
  DispatchDecision decision;
  decision.request_id = item.id;
  if (pass.refusal != Refusal::kNone) {
    decision.step = Step::kRefuse;
    decision.refusal = pass.refusal;
    co_return decision;
  }
  if (!pass.alone_at.empty()) {
    decision.step = Step::kSend;
    decision.server = pass.alone_at;
    co_return decision;
  }
  co_return co_await call->entry->desk->Place(
      workers_.loop(WorkerPool::Current()), std::move(item));
}

boost::asio::awaitable<CrashAdmission::CrashAdmissionResult>
CrashAdmission::Pass(ServiceRequestPtr call) {
  CrashAdmissionResult pass;
  const auto state = find_(call->entry->service.id);
  SharedQuarantine& guard = state->guard();
  ServerId server;
  for (;;) {
    const Instant now = SteadyNow();
    const RunMode mode = guard.ModeOf(call->fingerprint, now);
    if (mode == RunMode::kFree)
      co_return pass;
    if (mode == RunMode::kRefuse || now >= call->deadline)
      break;
    if (mode == RunMode::kAlone) {
      if (server.empty())
        server = state->ServerAlone(OwnServers(*call), now);
      if (!server.empty() &&
          guard.TryRunAlone(call->fingerprint, server, now)) {
        pass.alone_at = server;
        co_return pass;
      }
    }
    co_await SleepFor(kAskAgain);
  }
  const bool late = SteadyNow() >= call->deadline;
  if (!server.empty())
    guard.GiveUp(call->fingerprint, SteadyNow());
  pass.refusal = late ? Refusal::kDeadline : Refusal::kQuarantined;
  co_return pass;
}

std::vector<ServerId> CrashAdmission::OwnServers(const Call& call) const {
  const FleetConfig& config = *call.tables->config;
  const RegionId own = config.RegionOf(own_zone_);
  std::vector<ServerId> servers;
  for (const BackendServer& it : call.entry->service.servers) {
    if (config.RegionOf(it.zone) == own)
      servers.push_back(it.id);
  }
  return servers;
}

}  // namespace toucanknot
