#include "src/daemon/shared_quarantine.h"

#include <algorithm>

namespace toucanknot {
namespace {

// Whether the request may have reached the server.
bool WasSent(const AttemptResult& result) {
  return !result.server.empty() && result.end != AttemptEnd::kNotSent;
}

}  // namespace

SharedQuarantine::SharedQuarantine(const HostId& host)
    : host_(host),
      quarantine_(host,
                  Quarantine::Options(),
                  [this](const ServerId& server, Instant since) {
                    return MaxPeerInFlight(server, since);
                  }) {}

void SharedQuarantine::SetTunables(const Tunables& tunables) {
  const std::lock_guard lock(mutex_);
  quarantine_.set_quarantine_for(tunables.quarantine_for);
}

RunMode SharedQuarantine::ModeOf(uint64_t fingerprint, Instant now) {
  const std::lock_guard lock(mutex_);
  return quarantine_.ModeOf(fingerprint, now);
}

bool SharedQuarantine::TryRunAlone(uint64_t fingerprint,
                                   const ServerId& server,
                                   Instant now) {
  const std::lock_guard lock(mutex_);
  return quarantine_.TryRunAlone(fingerprint, server, own_in_flight_[server],
                                 now);
}

void SharedQuarantine::GiveUp(uint64_t fingerprint, Instant now) {
  const std::lock_guard lock(mutex_);
  quarantine_.GiveUp(fingerprint, now);
}

bool SharedQuarantine::IsReserved(const ServerId& server, Instant now) const {
  const std::lock_guard lock(mutex_);
  return quarantine_.IsReserved(server, now);
}

void SharedQuarantine::OnSent(uint64_t fingerprint,
                              const ServerId& server,
                              Instant now) {
  const std::lock_guard lock(mutex_);
  ++own_in_flight_[server];
  quarantine_.OnSent(fingerprint, server, now);
}

void SharedQuarantine::OnEnded(const AttemptResult& result, Instant now) {
  if (result.server.empty())
    return;
  const std::lock_guard lock(mutex_);
  --own_in_flight_[result.server];
  if (WasSent(result) && result.end == AttemptEnd::kBroken) {
    quarantine_.OnBroken(result.fingerprint, result.server, now);
    return;
  }
  const bool responded =
      result.end == AttemptEnd::kAnswered || result.end == AttemptEnd::kFailed;
  quarantine_.OnEnded(result.fingerprint, result.server, responded, now);
}

void SharedQuarantine::OnNotice(const CrashNotice& notice, Instant now) {
  const std::lock_guard lock(mutex_);
  quarantine_.OnNotice(notice, now);
}

void SharedQuarantine::OnPeerLoad(const PeerLoad& load, Instant now) {
  const std::lock_guard lock(mutex_);
  PeerInFlight& peer = peers_[load.host];
  peer.time = now - load.age;
  peer.in_flight.clear();
  for (const PeerLoad::InFlight& it : load.in_flight)
    peer.in_flight[it.server] = it.requests;
}

void SharedQuarantine::OnHosts(const std::vector<HostId>& live) {
  const std::lock_guard lock(mutex_);
  std::erase_if(peers_, [&](const auto& it) {
    return std::find(live.begin(), live.end(), it.first) == live.end();
  });
  for (const HostId& it : live) {
    if (it != host_)
      peers_.try_emplace(it);
  }
}

std::vector<CrashNotice> SharedQuarantine::TakeNotices() {
  const std::lock_guard lock(mutex_);
  return quarantine_.TakeNotices();
}

std::string SharedQuarantine::Explain(Instant now) const {
  const std::lock_guard lock(mutex_);
  return quarantine_.Explain(now);
}

// Called by the quarantine while `mutex_` is held. A peer whose load is older
// than `since` counts as running one request.
int SharedQuarantine::MaxPeerInFlight(const ServerId& server,
                                      Instant since) const {
  int most = 0;
  for (const auto& [host, peer] : peers_) {
    const auto it = peer.in_flight.find(server);
    const int reported = it == peer.in_flight.end() ? 0 : it->second;
    most = std::max(most, peer.time < since ? 1 : reported);
  }
  return most;
}

}  // namespace toucanknot
