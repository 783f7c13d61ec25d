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
  // Only with no other request on the server: see Quarantine::TryRunAlone().
  kAlone,
  // Not now; check again later.
  kWait,
  // Rejected with Refusal::kQuarantined.
  kRefuse,
};

inline constexpr EnumNames<RunMode, 4> kRunModeNames{
    {"free", "alone", "wait", "refuse"}};

enum class CrashNoticeKind {
  // A connection that carried the fingerprint broke.
  kSuspect,
  // `sender` reserves `server` to run the fingerprint alone.
  kReserve,
  // That run has ended or was given up, with no result for the fingerprint.
  kRelease,
  // The fingerprint completed: it is no longer a suspect.
  kCleared,
  // Rejected at all hosts for `remaining`.
  kQuarantined,
};

inline constexpr EnumNames<CrashNoticeKind, 5> kCrashNoticeKindNames{
    {"suspect", "reserve", "release", "cleared", "quarantined"}};

// A message about a fingerprint from one entry host to all that it can reach,
// sent at once.
struct CrashNotice {
  CrashNoticeKind kind = CrashNoticeKind::kSuspect;
  uint64_t fingerprint = 0;
  HostId sender;
  // kReserve: the server; kSuspect, kQuarantined: the servers that crashed so
  // far.
  std::vector<ServerId> servers;
  // The fingerprint had completed shortly before the first crash.
  bool known_good = false;
  // How long the notice applies from now, transit time not counted.
  Duration remaining;

  bool operator==(const CrashNotice&) const = default;
};

// Finds requests that crash the backend servers that run them.
//
// A crash is recorded for a fingerprint when the connection that carried it
// breaks while it runs. The first crash makes it a suspect at all hosts; a
// suspect runs only alone, on a server that gets no other work meanwhile, at
// one host at a time. If that connection breaks too, the fingerprint is
// quarantined at all hosts. A complete response clears a suspect; this is how
// requests that merely ran on the same server as a crashing one are freed.
//
// Until its first complete response, one host runs a fingerprint on at most two
// servers at once, so that repeats can't crash more servers while the first
// runs. If both connections break, it is quarantined without a trial, unless it
// had completed shortly before.
//
// When connections to kMassBreakServers or more servers break within
// kMassBreakWindow, the network is the likely cause, and the crashes that this
// host recorded in that time are excused: a request becomes a suspect only with
// the second server that breaks under it.
class Quarantine {
 public:
  struct Options {
    Duration quarantine_for{300'000};
    // How long a suspect that isn't requested is remembered.
    Duration suspect_for{60'000};
    // How long a reservation lasts, and the longest run alone.
    Duration reserve_for{15'000};
    // Fingerprints remembered; when full, the suspect that expires first is
    // evicted.
    size_t max_records = 4'096;
  };

  // An upper bound of the requests that peers have in flight at `server`, from
  // reports made after `since`; a peer without such a report counts as 1. Hosts
  // that cannot be reached are left out.
  using PeersInFlight = std::function<int(const ServerId&, Instant since)>;

  // How long to delay the response to a caller whose connection broke while
  // waiting for the peers to acknowledge the notice: the caller may repeat the
  // request at another host.
  static constexpr Duration kNoticeAckTimeout{50};
  // A reservation takes effect once it was announced this long ago and no other
  // host made a competing one.
  static constexpr Duration kReserveWait{150};
  static constexpr Duration kMassBreakWindow{1'000};
  static constexpr size_t kMassBreakServers = 3;

  Quarantine(HostId host, Options options, PeersInFlight peers_in_flight);

  void set_quarantine_for(Duration d) { options_.quarantine_for = d; }
  // The number of servers. At most an eighth of them, but at least one, is
  // reserved at once, as far as this host knows.
  void set_servers(size_t n) { servers_ = n; }

  // How a request may run now. Call it before each attempt.
  RunMode ModeOf(uint64_t fingerprint, Instant now);
  // For RunMode::kAlone: true when the request may be sent to `server` now. The
  // first call reserves the server; call again until it returns true or the
  // mode changes. `own_in_flight` is the number of requests that this host has
  // in flight there.
  bool TryRunAlone(uint64_t fingerprint,
                   const ServerId& server,
                   int own_in_flight,
                   Instant now);
  // Releases the reservation for `fingerprint`, if this host has one that is
  // not running.
  void GiveUp(uint64_t fingerprint, Instant now);
  // The server that this host has reserved for `fingerprint`; empty if none.
  ServerId ReservedFor(uint64_t fingerprint) const;
  // Whether `server` must get no work except the request it is reserved for.
  bool IsReserved(const ServerId& server, Instant now) const;

  // An attempt began.
  void OnSent(uint64_t fingerprint, const ServerId& server, Instant now);
  // An attempt ended other than by a broken connection; `answered` when a
  // complete response came.
  void OnEnded(uint64_t fingerprint,
               const ServerId& server,
               bool answered,
               Instant now);
  // The connection that carried the attempt broke after bytes were sent.
  void OnBroken(uint64_t fingerprint, const ServerId& server, Instant now);

  void OnNotice(const CrashNotice& notice, Instant now);
  // Notices to send to all peers now.
  std::vector<CrashNotice> TakeNotices();
  // Notices for a host that has just joined: all suspects and quarantined
  // fingerprints.
  std::vector<CrashNotice> Snapshot(Instant now) const;

  // Suspects and quarantined fingerprints remembered.
  size_t records() const { return records_.size(); }
  size_t quarantined() const;
  std::string Explain(Instant now) const;

 private:
  struct Record {
    bool quarantined = false;
    bool known_good = false;
    // This host recorded the first crash, at `crashed_at`, in a regular run.
    bool own_crash = false;
    Instant crashed_at;
    Instant end;
    // The servers that crashed while running it, two at most.
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
  struct BrokenConnection {
    ServerId server;
    Instant at;
  };
  struct ExcusedCrash {
    ServerId server;
    Instant end;
  };
  using InFlightMap =
      boost::unordered_flat_map<uint64_t, std::vector<ServerId>>;

  Record* Find(uint64_t fingerprint, Instant now);
  Record* FindOrAdd(uint64_t fingerprint, Instant end, Instant now);
  void EvictRecord(Instant now);
  void RecordCrash(uint64_t fingerprint, const ServerId& server, Instant now);
  void QuarantineFingerprint(uint64_t fingerprint, Record* record, Instant now);
  void Clear(uint64_t fingerprint, Instant now);
  // Records a broken connection; true when too many broke at once to blame
  // requests.
  bool IsMassBreak(const ServerId& server, Instant now);
  // Excuses the crashes that this host recorded within kMassBreakWindow.
  void ExcuseRecentCrashes(Instant now);
  // Records an excused crash. Returns whether the request broke at another
  // server before.
  bool AddExcused(uint64_t fingerprint, const ServerId& server, Instant now);
  void RemoveInFlight(uint64_t fingerprint, const ServerId& server);
  Reservation* ReservationOf(uint64_t fingerprint, Instant now);
  void OnReserve(const CrashNotice& notice, Instant now);
  void DropReservations(uint64_t fingerprint, const HostId& host);
  void QueueNotice(CrashNoticeKind kind,
                   uint64_t fingerprint,
                   std::vector<ServerId> servers,
                   bool known_good,
                   Duration remaining);

  HostId host_;
  Options options_;
  PeersInFlight peers_in_flight_;
  size_t servers_ = 0;
  boost::unordered_flat_map<uint64_t, Record> records_;
  InFlightMap in_flight_;
  KnownGoodSet known_good_;
  std::vector<Reservation> reservations_;
  std::deque<BrokenConnection> broken_;
  // The last excused crash of each fingerprint.
  boost::unordered_flat_map<uint64_t, ExcusedCrash> excused_;
  std::vector<CrashNotice> notices_;
};

}  // namespace toucanknot

#endif  // INCLUDE_HEALTH_QUARANTINE_H_
