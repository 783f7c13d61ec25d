#ifndef SRC_LOAD_HOST_DIRECTORY_H_
#define SRC_LOAD_HOST_DIRECTORY_H_

#include <boost/asio/awaitable.hpp>
#include <map>
#include <string>
#include <vector>

#include "include/base/clock.h"
#include "include/base/endpoint.h"
#include "src/forward/connection_pool.h"

namespace toucanknot {

// The entry hosts known to one group of callers: looks them up at one of the
// hosts and caches the response for its lifetime. Used on one worker only.
class HostDirectory {
 public:
  // `seeds` are the hosts that serve look-ups, and the fallback.
  HostDirectory(ConnectionPool& pool, std::vector<Endpoint> seeds);

  // The hosts to use for `service`, best first; the seeds when none of them
  // responds.
  boost::asio::awaitable<std::vector<Endpoint>> HostsFor(std::string service);

  // A new ticket and the host that issued it.
  struct IssuedTicket {
    Endpoint host;
    // Empty when no host issued one.
    std::string ticket;
  };
  boost::asio::awaitable<IssuedTicket> NewTicket(std::string service);

  // `host` did not respond: for a while, it is used only after all others.
  void MarkUnresponsive(const Endpoint& host);

 private:
  struct CachedHosts {
    std::vector<Endpoint> hosts;
    Instant until;
  };

  std::vector<Endpoint> UnresponsiveLast(std::vector<Endpoint> hosts) const;
  boost::asio::awaitable<bool> Refresh(std::string service);

  ConnectionPool& pool_;
  const std::vector<Endpoint> seeds_;
  std::map<std::string, CachedHosts> cache_;
  std::map<Endpoint, Instant> unresponsive_until_;
};

}  // namespace toucanknot

#endif  // SRC_LOAD_HOST_DIRECTORY_H_
