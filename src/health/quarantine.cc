#include "include/health/quarantine.h"

#include <algorithm>
#include <boost/json.hpp>
#include <utility>

namespace toucanknot {
namespace {

// The most servers that one fingerprint may crash.
constexpr size_t kMaxCrashedServers = 2;
// Concurrent reservations of one host, so that trials don't take too many
// servers out of use.
constexpr int64_t kMaxReservations = 2;
// At most one server in this many is reserved at once.
constexpr size_t kServersPerReservation = 8;
// Broken connections remembered; more wouldn't change the result.
constexpr size_t kMaxBrokenConnections = 64;
// Queued notices; when full, the oldest are dropped.
constexpr size_t kMaxNotices = 1'024;

void AddServer(const ServerId& server, std::vector<ServerId>* servers) {
  if (servers->size() < kMaxCrashedServers &&
      std::find(servers->begin(), servers->end(), server) == servers->end())
    servers->push_back(server);
}

}  // namespace

Quarantine::Quarantine(HostId host,
                       Options options,
                       PeersInFlight peers_in_flight)
    : host_(std::move(host)),
      options_(options),
      peers_in_flight_(std::move(peers_in_flight)) {}

RunMode Quarantine::ModeOf(uint64_t fingerprint, Instant now) {
  if (const Record* record = Find(fingerprint, now)) {
    if (record->quarantined)
      return RunMode::kRefuse;
    const Reservation* held = ReservationOf(fingerprint, now);
    const bool busy = held && (held->host != host_ || held->running);
    return busy || in_flight_.contains(fingerprint) ? RunMode::kWait
                                                    : RunMode::kAlone;
  }
  const auto flight = in_flight_.find(fingerprint);
  if (flight == in_flight_.end() ||
      flight->second.size() < kMaxCrashedServers ||
      known_good_.Contains(fingerprint, now))
    return RunMode::kFree;
  return RunMode::kWait;
}

bool Quarantine::TryRunAlone(uint64_t fingerprint,
                             const ServerId& server,
                             int own_in_flight,
                             Instant now) {
  Reservation* held = ReservationOf(fingerprint, now);
  if (held && (held->host != host_ || held->running || held->server != server))
    return false;
  if (!held) {
    const auto own =
        std::count_if(reservations_.begin(), reservations_.end(),
                      [&](const Reservation& it) { return it.host == host_; });
    if (own >= kMaxReservations || IsReserved(server, now))
      return false;
    if (servers_ > 0 &&
        reservations_.size() >=
            std::max(servers_ / kServersPerReservation, size_t{1}))
      return false;
    reservations_.push_back({.fingerprint = fingerprint,
                             .host = host_,
                             .server = server,
                             .since = now,
                             .end = now + options_.reserve_for});
    QueueNotice(CrashNoticeKind::kReserve, fingerprint, {server}, false,
                options_.reserve_for);
    return false;
  }
  if (now < held->since + kReserveWait || own_in_flight > 0)
    return false;
  return peers_in_flight_(server, held->since) == 0;
}

void Quarantine::GiveUp(uint64_t fingerprint, Instant now) {
  const Reservation* held = ReservationOf(fingerprint, now);
  if (!held || held->host != host_ || held->running)
    return;
  DropReservations(fingerprint, host_);
  QueueNotice(CrashNoticeKind::kRelease, fingerprint, {}, false, Duration());
}

ServerId Quarantine::ReservedFor(uint64_t fingerprint) const {
  for (const Reservation& it : reservations_) {
    if (it.fingerprint == fingerprint && it.host == host_)
      return it.server;
  }
  return ServerId();
}

bool Quarantine::IsReserved(const ServerId& server, Instant now) const {
  return std::any_of(reservations_.begin(), reservations_.end(),
                     [&](const Reservation& it) {
                       return it.server == server && now < it.end;
                     });
}

void Quarantine::OnSent(uint64_t fingerprint,
                        const ServerId& server,
                        Instant now) {
  in_flight_[fingerprint].push_back(server);
  Reservation* held = ReservationOf(fingerprint, now);
  if (held && held->host == host_ && held->server == server) {
    held->running = true;
    held->end = now + options_.reserve_for;
  }
}

void Quarantine::OnEnded(uint64_t fingerprint,
                         const ServerId& server,
                         bool answered,
                         Instant now) {
  RemoveInFlight(fingerprint, server);
  if (answered) {
    known_good_.Add(fingerprint, now);
    excused_.erase(fingerprint);
  }
  const Record* record = Find(fingerprint, now);
  if (!record || record->quarantined)
    return;
  if (answered) {
    Clear(fingerprint, now);
    return;
  }
  const Reservation* held = ReservationOf(fingerprint, now);
  if (held && held->host == host_ && held->server == server) {
    DropReservations(fingerprint, host_);
    QueueNotice(CrashNoticeKind::kRelease, fingerprint, {}, false, Duration());
  }
}

void Quarantine::OnBroken(uint64_t fingerprint,
                          const ServerId& server,
                          Instant now) {
  RemoveInFlight(fingerprint, server);
  const Reservation* held = ReservationOf(fingerprint, now);
  const bool alone =
      held && held->host == host_ && held->running && held->server == server;
  if (alone)
    DropReservations(fingerprint, host_);
  const bool mass = IsMassBreak(server, now);
  if (mass)
    ExcuseRecentCrashes(now);
  const bool excused = mass && !alone;
  const bool repeated = excused && AddExcused(fingerprint, server, now);
  if (!excused || repeated)
    RecordCrash(fingerprint, server, now);
  Record* record = Find(fingerprint, now);
  // Further broken connections do not excuse it again.
  if (record && repeated)
    record->own_crash = false;
  if (record && alone && !record->quarantined)
    QuarantineFingerprint(fingerprint, record, now);
}

void Quarantine::RecordCrash(uint64_t fingerprint,
                             const ServerId& server,
                             Instant now) {
  const bool first = Find(fingerprint, now) == nullptr;
  Record* record = FindOrAdd(fingerprint, now + options_.suspect_for, now);
  if (record->quarantined)
    return;
  if (first) {
    record->known_good = known_good_.Contains(fingerprint, now);
    record->own_crash = true;
    record->crashed_at = now;
    known_good_.Remove(fingerprint);
  }
  AddServer(server, &record->servers);
  if (record->servers.size() >= kMaxCrashedServers && !record->known_good) {
    QuarantineFingerprint(fingerprint, record, now);
    return;
  }
  QueueNotice(CrashNoticeKind::kSuspect, fingerprint, record->servers,
              record->known_good, options_.suspect_for);
}

void Quarantine::QuarantineFingerprint(uint64_t fingerprint,
                                       Record* record,
                                       Instant now) {
  record->quarantined = true;
  record->end = now + options_.quarantine_for;
  known_good_.Remove(fingerprint);
  QueueNotice(CrashNoticeKind::kQuarantined, fingerprint, record->servers,
              false, options_.quarantine_for);
}

void Quarantine::Clear(uint64_t fingerprint, Instant now) {
  records_.erase(fingerprint);
  std::erase_if(reservations_, [&](const Reservation& it) {
    return it.fingerprint == fingerprint;
  });
  known_good_.Add(fingerprint, now);
  QueueNotice(CrashNoticeKind::kCleared, fingerprint, {}, true, Duration());
}

bool Quarantine::IsMassBreak(const ServerId& server, Instant now) {
  broken_.push_back({server, now});
  while (broken_.size() > kMaxBrokenConnections ||
         now - broken_.front().at >= kMassBreakWindow)
    broken_.pop_front();
  std::vector<ServerId> servers;
  for (const BrokenConnection& it : broken_) {
    if (std::find(servers.begin(), servers.end(), it.server) == servers.end())
      servers.push_back(it.server);
  }
  return servers.size() >= kMassBreakServers;
}

void Quarantine::ExcuseRecentCrashes(Instant now) {
  std::vector<uint64_t> dropped;
  for (const auto& [fingerprint, it] : records_) {
    if (!it.quarantined && it.own_crash && it.servers.size() == 1 &&
        now - it.crashed_at < kMassBreakWindow)
      dropped.push_back(fingerprint);
  }
  // Sorted so that the result does not depend on the order of the hash table.
  std::sort(dropped.begin(), dropped.end());
  for (const uint64_t it : dropped) {
    AddExcused(it, records_.at(it).servers.front(), now);
    records_.erase(it);
    DropReservations(it, host_);
    QueueNotice(CrashNoticeKind::kCleared, it, {}, false, Duration());
  }
}

bool Quarantine::AddExcused(uint64_t fingerprint,
                            const ServerId& server,
                            Instant now) {
  if (excused_.size() >= options_.max_records)
    erase_if(excused_, [&](const auto& it) { return now >= it.second.end; });
  if (excused_.size() >= options_.max_records)
    excused_.clear();
  const ExcusedCrash crash{server, now + options_.suspect_for};
  const auto [it, added] = excused_.try_emplace(fingerprint, crash);
  const bool other_before =
      !added && now < it->second.end && it->second.server != server;
  it->second = crash;
  return other_before;
}

void Quarantine::OnNotice(const CrashNotice& notice, Instant now) {
  if (notice.sender == host_)
    return;
  switch (notice.kind) {
    case CrashNoticeKind::kSuspect: {
      Record* record = FindOrAdd(
          notice.fingerprint,
          now + std::min(notice.remaining, options_.suspect_for), now);
      record->known_good |= notice.known_good;
      for (const ServerId& it : notice.servers)
        AddServer(it, &record->servers);
      if (!record->quarantined && !record->known_good &&
          record->servers.size() >= kMaxCrashedServers)
        QuarantineFingerprint(notice.fingerprint, record, now);
      DropReservations(notice.fingerprint, notice.sender);
      break;
    }
    case CrashNoticeKind::kReserve:
      OnReserve(notice, now);
      break;
    case CrashNoticeKind::kRelease:
      DropReservations(notice.fingerprint, notice.sender);
      break;
    case CrashNoticeKind::kCleared: {
      const Record* record = Find(notice.fingerprint, now);
      if (record && !record->quarantined)
        records_.erase(notice.fingerprint);
      DropReservations(notice.fingerprint, notice.sender);
      if (notice.known_good)
        known_good_.Add(notice.fingerprint, now);
      break;
    }
    case CrashNoticeKind::kQuarantined: {
      const Instant end =
          now + std::min(notice.remaining, options_.quarantine_for);
      Record* record = FindOrAdd(notice.fingerprint, end, now);
      record->end = record->quarantined ? std::max(record->end, end) : end;
      record->quarantined = true;
      for (const ServerId& it : notice.servers)
        AddServer(it, &record->servers);
      DropReservations(notice.fingerprint, notice.sender);
      DropReservations(notice.fingerprint, host_);
      break;
    }
  }
}

void Quarantine::OnReserve(const CrashNotice& notice, Instant now) {
  if (notice.servers.empty())
    return;
  const ServerId& server = notice.servers.front();
  // Of two hosts that reserve for the same fingerprint or the same server, a
  // run that has begun wins, then the lower host id; the other releases its
  // reservation and starts again.
  std::vector<uint64_t> yielded;
  for (const Reservation& it : reservations_) {
    const bool rival =
        it.fingerprint == notice.fingerprint || it.server == server;
    if (rival && it.host == host_ && !it.running && notice.sender < host_)
      yielded.push_back(it.fingerprint);
  }
  for (const uint64_t it : yielded)
    GiveUp(it, now);
  DropReservations(notice.fingerprint, notice.sender);
  reservations_.push_back(
      {.fingerprint = notice.fingerprint,
       .host = notice.sender,
       .server = server,
       .since = now,
       .end = now + std::min(notice.remaining, options_.reserve_for)});
}

std::vector<CrashNotice> Quarantine::TakeNotices() {
  return std::exchange(notices_, {});
}

std::vector<CrashNotice> Quarantine::Snapshot(Instant now) const {
  std::vector<CrashNotice> out;
  for (const auto& [fingerprint, it] : records_) {
    if (now >= it.end)
      continue;
    out.push_back({it.quarantined ? CrashNoticeKind::kQuarantined
                                  : CrashNoticeKind::kSuspect,
                   fingerprint, host_, it.servers, it.known_good,
                   it.end - now});
  }
  std::sort(out.begin(), out.end(), [](const auto& a, const auto& b) {
    return a.fingerprint < b.fingerprint;
  });
  return out;
}

size_t Quarantine::quarantined() const {
  return static_cast<size_t>(
      std::count_if(records_.begin(), records_.end(),
                    [](const auto& it) { return it.second.quarantined; }));
}

Quarantine::Record* Quarantine::Find(uint64_t fingerprint, Instant now) {
  const auto it = records_.find(fingerprint);
  if (it == records_.end())
    return nullptr;
  if (now < it->second.end)
    return &it->second;
  records_.erase(it);
  return nullptr;
}

Quarantine::Record* Quarantine::FindOrAdd(uint64_t fingerprint,
                                          Instant end,
                                          Instant now) {
  if (Record* record = Find(fingerprint, now))
    return record;
  if (records_.size() >= options_.max_records)
    EvictRecord(now);
  Record& record = records_[fingerprint];
  record.end = end;
  return &record;
}

void Quarantine::EvictRecord(Instant now) {
  erase_if(records_, [&](const auto& it) { return now >= it.second.end; });
  if (records_.size() < options_.max_records)
    return;
  const auto evicted_before = [](const auto& a, const auto& b) {
    return std::tie(a.second.quarantined, a.second.end, a.first) <
           std::tie(b.second.quarantined, b.second.end, b.first);
  };
  records_.erase(
      std::min_element(records_.begin(), records_.end(), evicted_before));
}

void Quarantine::RemoveInFlight(uint64_t fingerprint, const ServerId& server) {
  const auto flight = in_flight_.find(fingerprint);
  if (flight == in_flight_.end())
    return;
  std::vector<ServerId>& servers = flight->second;
  const auto it = std::find(servers.begin(), servers.end(), server);
  if (it != servers.end())
    servers.erase(it);
  if (servers.empty())
    in_flight_.erase(flight);
}

Quarantine::Reservation* Quarantine::ReservationOf(uint64_t fingerprint,
                                                   Instant now) {
  std::erase_if(reservations_,
                [&](const Reservation& it) { return now >= it.end; });
  // A reservation of this host takes precedence: it would be gone if it had
  // yielded.
  Reservation* held = nullptr;
  for (Reservation& it : reservations_) {
    if (it.fingerprint == fingerprint && (!held || it.host == host_))
      held = &it;
  }
  return held;
}

void Quarantine::DropReservations(uint64_t fingerprint, const HostId& host) {
  std::erase_if(reservations_, [&](const Reservation& it) {
    return it.fingerprint == fingerprint && it.host == host;
  });
}

void Quarantine::QueueNotice(CrashNoticeKind kind,
                             uint64_t fingerprint,
                             std::vector<ServerId> servers,
                             bool known_good,
                             Duration remaining) {
  if (notices_.size() >= kMaxNotices)
    notices_.erase(notices_.begin());
  notices_.push_back(
      {kind, fingerprint, host_, std::move(servers), known_good, remaining});
}

std::string Quarantine::Explain(Instant now) const {
  boost::json::array fingerprints;
  for (const CrashNotice& it : Snapshot(now)) {
    boost::json::array servers;
    for (const ServerId& server : it.servers)
      servers.push_back(boost::json::value(server.str()));
    fingerprints.push_back({{"fingerprint", it.fingerprint},
                            {"state", kCrashNoticeKindNames.Name(it.kind)},
                            {"servers", std::move(servers)},
                            {"ends_in_ms", it.remaining.ms()}});
  }
  boost::json::array reserved;
  for (const Reservation& it : reservations_) {
    reserved.push_back({{"server", it.server.str()},
                        {"host", it.host.str()},
                        {"age_ms", (now - it.since).ms()}});
  }
  return boost::json::serialize(
      boost::json::object{{"fingerprints", std::move(fingerprints)},
                          {"reserved", std::move(reserved)}});
}

}  // namespace toucanknot
