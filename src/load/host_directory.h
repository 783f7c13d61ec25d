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

// What one group of callers knows of the entry hosts: asks one of them and
// keeps the answer for its lifetime. Used on one worker only.
class HostDirectory {
 public:
  // `seeds` are asked when nothing better is known.
  HostDirectory(ConnectionPool& pool, std::vector<Endpoint> seeds);

  // The hosts to use for `service`, the best first; the seeds when none of
  // them answers.
  boost::asio::awaitable<std::vector<Endpoint>> HostsFor(std::string service);

  // A fresh ticket with the host that issued it.
  struct TicketOffer {
    Endpoint host;
    // Empty when no host gave one.
    std::string ticket;
  };
  boost::asio::awaitable<TicketOffer> NewTicket(std::string service);

  // `host` did not answer: it is named last for a while.
  void OnDead(const Endpoint& host);

 private:
  struct Known {
    std::vector<Endpoint> hosts;
    Instant until;
  };

  std::vector<Endpoint> InOrder(std::vector<Endpoint> hosts) const;
  boost::asio::awaitable<bool> Refresh(std::string service);

  ConnectionPool& pool_;
  const std::vector<Endpoint> seeds_;
  std::map<std::string, Known> known_;
  std::map<Endpoint, Instant> dead_until_;
};

}  // namespace toucanknot

#endif  // SRC_LOAD_HOST_DIRECTORY_H_
