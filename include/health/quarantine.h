#ifndef INCLUDE_HEALTH_QUARANTINE_H_
#define INCLUDE_HEALTH_QUARANTINE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <vector>

#include <boost/unordered/unordered_flat_map.hpp>

#include "include/base/clock.h"
#include "include/base/enum_names.h"
#include "include/base/ids.h"
#include "include/health/known_good_set.h"

namespace toucanknot {

// How a request with some fingerprint may run now.
enum class RunMode {
  // Like any other.
  kFree,
  // Only by itself on a server: see Quarantine::TryRunAlone().
  kAlone,
  // Not now; ask again later.
  kWait,
  // Not at all: Refusal::kQuarantined.
  kRefuse,
};

inline constexpr EnumNames<RunMode, 4> kRunModeNames{
    {"free", "alone", "wait", "refuse"}};

enum class CrashNoticeKind {
  // A connection that carried the fingerprint broke.
  kSuspect,
  // `sender` wants `server` for a run of the fingerprint by itself.
  kReserve,
  // That run is over or given up, without a verdict.
  kRelease,
  // The fingerprint has run whole: it is no suspect any more.
  kCleared,
  // Refused everywhere for `remaining`.
  kQuarantined,
};

inline constexpr EnumNames<CrashNoticeKind, 5> kCrashNoticeKindNames{
    {"suspect", "reserve", "release", "cleared", "quarantined"}};

// What entry hosts tell each other. Goes to all that can be reached, at once.
struct CrashNotice {
  CrashNoticeKind kind = CrashNoticeKind::kSuspect;
  uint64_t fingerprint = 0;
  HostId sender;
  // kReserve: the server; kSuspect, kQuarantined: those charged so far.
  std::vector<ServerId> servers;
  // It had run whole shortly before the first crash.
  bool proven = false;
  // How long it holds from now, not counting the way.
  Duration remaining;

  bool operator==(const CrashNotice&) const = default;
};

// Finds requests that crash the backend servers that run them.
//
// A fingerprint is charged when the connection that carried it breaks while it
// runs. The first charge makes it a suspect at all hosts; a suspect runs only
// by itself, on a server that other work keeps off, at one host at a time. If
// that breaks too, it is quarantined at all hosts. A whole answer clears a
// suspect, which is how the requests that only ran beside a crash get free.
//
// Before its first whole answer a fingerprint runs at most at two servers at
// once from one host, so that repeats cannot take down more while the first
// runs. If both break, it is quarantined without a trial, unless it had
// answers shortly before.
//
// When connections to kMassBreak or more servers break within kMassWindow, it
// is the network's doing: what this host has charged in that time is dropped.
class Quarantine {
 public:
  struct Options {
    Duration quarantine_for{300'000};
    // How long a suspect that nobody asks for is remembered.
    Duration suspect_for{60'000};
    // The longest run by itself.
    Duration reserve_for{15'000};
    // Fingerprints remembered; when full, the suspect that ends first goes.
    size_t max_records = 4'096;
  };

  // The most requests that peers have in flight at `server`, by figures made
  // after `since`; nothing said by some peer counts as 1. Hosts that cannot be
  // reached are left out.
  using PeersInFlight = std::function<int(const ServerId&, Instant since)>;

  // Hold the answer to a caller whose connection broke back until the peers
  // have confirmed the notice, or for this long: its repeat may go elsewhere.
  static constexpr Duration kNoticeLead{50};
  // A reservation is in force once it has been out for this long without a
  // rival.
  static constexpr Duration kReserveWait{150};
  static constexpr Duration kMassWindow{1'000};
  static constexpr size_t kMassBreak = 3;

  Quarantine(HostId host, Options options, PeersInFlight peers_in_flight);

  void set_quarantine_for(Duration d) { options_.quarantine_for = d; }
  // How many servers there are, so that no more than an eighth of them (one at
  // least) is reserved at once, by this host's knowledge.
  void set_servers(size_t n) { servers_ = n; }

  // How a request may run. Ask before each attempt.
  RunMode ModeOf(uint64_t fingerprint, Instant now);
  // For RunMode::kAlone: true when the request may be sent to `server` now.
  // The first call reserves the server; ask again until it is true or the mode
  // changes. `own_in_flight` is what this host has there.
  bool TryRunAlone(uint64_t fingerprint,
                   const ServerId& server,
                   int own_in_flight,
                   Instant now);
  // Gives the reservation for `fingerprint` up, if this host has one.
  void GiveUp(uint64_t fingerprint, Instant now);
  // The server that this host has reserved for `fingerprint`; empty if none.
  ServerId ReservedFor(uint64_t fingerprint) const;
  // Whether `server` must get no work but the one it is reserved for.
  bool IsReserved(const ServerId& server, Instant now) const;

  // An attempt began.
  void OnSent(uint64_t fingerprint, const ServerId& server, Instant now);
  // It ended otherwise than by a broken connection; `answered` when a whole
  // answer came.
  void OnEnded(uint64_t fingerprint,
               const ServerId& server,
               bool answered,
               Instant now);
  // The connection that carried it broke after bytes were sent.
  void OnBroken(uint64_t fingerprint, const ServerId& server, Instant now);

  void OnNotice(const CrashNotice& notice, Instant now);
  // Notices to send to all peers now.
  std::vector<CrashNotice> TakeNotices();
  // What a host that has just appeared should know.
  std::vector<CrashNotice> Snapshot(Instant now) const;

  // Suspects and quarantined fingerprints remembered.
  size_t records() const { return records_.size(); }
  size_t quarantined() const;
  std::string Explain(Instant now) const;

 private:
  struct Record {
    bool quarantined = false;
    bool proven = false;
    // This host made the first charge at `charged_at`, in the common way.
    bool own_charge = false;
    Instant charged_at;
    Instant end;
    // The servers charged for it, two at most.
    std::vector<ServerId> servers;
  };
  struct Reservation {
    uint64_t fingerprint = 0;
    HostId host;
    ServerId server;
    Instant since;
    Instant end;
    bool running = false;
  };
  struct Break {
    ServerId server;
    Instant at;
  };
  using FlightMap = boost::unordered_flat_map<uint64_t, std::vector<ServerId>>;

  Record* Find(uint64_t fingerprint, Instant now);
  Record* Remember(uint64_t fingerprint, Instant end, Instant now);
  void MakeRoom(Instant now);
  void Charge(uint64_t fingerprint, const ServerId& server, Instant now);
  void Convict(uint64_t fingerprint, Record* record, Instant now);
  void Clear(uint64_t fingerprint, Instant now);
  // Notes a break; whether breaks have become too many to blame requests.
  bool IsMassBreak(const ServerId& server, Instant now);
  void DropRecentCharges(Instant now);
  void EndFlight(uint64_t fingerprint, const ServerId& server);
  Reservation* ReservationOf(uint64_t fingerprint, Instant now);
  void OnReserve(const CrashNotice& notice, Instant now);
  void DropReservations(uint64_t fingerprint, const HostId& host);
  void Tell(CrashNoticeKind kind,
            uint64_t fingerprint,
            std::vector<ServerId> servers,
            bool proven,
            Duration remaining);

  HostId host_;
  Options options_;
  PeersInFlight peers_in_flight_;
  size_t servers_ = 0;
  boost::unordered_flat_map<uint64_t, Record> records_;
  FlightMap in_flight_;
  KnownGoodSet proven_;
  std::vector<Reservation> reservations_;
  std::deque<Break> breaks_;
  std::vector<CrashNotice> notices_;
};

}  // namespace toucanknot

#endif  // INCLUDE_HEALTH_QUARANTINE_H_
