#ifndef INCLUDE_PLACING_SERVER_LIMITS_H_
#define INCLUDE_PLACING_SERVER_LIMITS_H_

#include <boost/unordered/unordered_flat_map.hpp>
#include <cstdint>
#include <optional>
#include <vector>

#include "include/base/clock.h"
#include "include/placing/server_notice.h"

namespace toucanknot {

// The limits that backend servers name, as known to one host from their
// responses and from other hosts, and the pauses that they ask this host for.
// Servers are identified by their
// ServerRunKey(), so that a limit ends with the server's incarnation, but not
// while its entry is missing. Does no I/O. Not thread-safe.
class ServerLimits {
 public:
  // A limit that nobody has heard of for this long may have ended.
  static constexpr Duration kStaleAfter{10'000};
  // How long a host reports what it has heard itself.
  static constexpr Duration kReportFor{10'000};
  static constexpr size_t kMaxReported = 100;
  // Limits and pauses remembered; the limit heard of least recently, or the
  // pause that ends first, is evicted first.
  static constexpr size_t kMaxServers = 4'096;

  // What a server stated at that time: a limit, or that there is none.
  struct Statement {
    uint32_t server = 0;
    std::optional<double> limit;
    Instant at;
  };

  // Handles a response of `server` to a request that was sent at `sent_at`.
  void OnNotice(uint32_t server,
                const ServerNotice& notice,
                Instant sent_at,
                Instant now);
  // Handles what another host heard. The latest statement counts.
  void OnReport(const Statement& statement);

  // The server's limit in requests a second from all hosts together.
  std::optional<double> LimitOf(uint32_t server) const;
  // When the pause that the server asked this host for ends; in the past if
  // there is none.
  Instant PausedUntil(uint32_t server) const;
  // When any host last heard the server name its limit.
  std::optional<Instant> HeardAt(uint32_t server) const;
  // What this host has heard itself within kReportFor, the latest kMaxReported
  // of it.
  std::vector<Statement> OwnStatements(Instant now) const;
  // Whether this host heard a change since the last call.
  bool TakeNews();

 private:
  struct Record {
    std::optional<double> limit;
    Instant at;
    // When this host heard it last; empty if it has not.
    std::optional<Instant> own_at;
  };

  void Evict();
  void Pause(uint32_t server, Instant until);

  boost::unordered_flat_map<uint32_t, Record> records_;
  // When the pause of each server ends.
  boost::unordered_flat_map<uint32_t, Instant> pauses_;
  bool news_ = false;
};

}  // namespace toucanknot

#endif  // INCLUDE_PLACING_SERVER_LIMITS_H_
