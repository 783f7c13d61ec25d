#ifndef INCLUDE_MEMBERSHIP_PART_DISSEMINATION_H_
#define INCLUDE_MEMBERSHIP_PART_DISSEMINATION_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "include/base/clock.h"
#include "include/base/ids.h"
#include "include/membership/membership.h"
#include "include/peer/messages.h"

namespace toucanknot {

struct PartDisseminationOptions {
  // The most parts that a host requests at the same time.
  size_t max_outstanding = 8;
  // Children of a host in the tree of a part.
  size_t fan_out = 4;
  // How long a host or the store may take to respond.
  Duration response_timeout{2'000};
  // Pause after a response without the part; doubles from min_backoff up to
  // max_backoff.
  Duration min_backoff{200};
  Duration max_backoff{5'000};
};

// An immutable part, named by a prefix of the SHA-256 digest of its bytes.
struct FetchedPart {
  std::string name;
  std::string bytes;
};

// Fetches the immutable parts that a configuration names. In each zone the
// first host by rank for the part's name reads it from the store; the others
// request it from their parent in the part's tree, which replies once it has
// the part, so that each host sends a part about once on average. A host
// without a response asks random other hosts, and every fourth attempt goes to
// the store. Does no I/O; not thread-safe.
class PartDissemination {
 public:
  // Finds the parts that this host already holds, for other hosts.
  using FindFn = std::function<std::optional<std::string>(const std::string&)>;

  // `membership` must outlive this object.
  PartDissemination(const Membership* membership,
                    PartDisseminationOptions options,
                    FindFn find,
                    uint64_t seed);

  // Replaces the set of wanted parts; fetched parts that are no longer wanted
  // are dropped.
  void SetWanted(const std::vector<std::string>& names, Instant now);
  bool IsComplete() const { return wanted_.empty(); }
  // The wanted parts fetched so far, verified against their names. They remain
  // available to other hosts until the next SetWanted().
  const std::map<std::string, std::string>& fetched() const { return fetched_; }

  void OnMessage(const PeerSender& from,
                 const PeerMessage& message,
                 Instant now);
  // The end of a read that Tick() requested; `bytes` is empty when it failed or
  // the store does not have the part.
  void OnStorePart(const std::string& name,
                   const std::optional<std::string>& bytes,
                   Instant now);

  // Returns the messages to send, and the parts to read from the store now.
  std::vector<OutgoingMessage> Tick(Instant now,
                                    std::vector<std::string>* store_reads);
  Instant NextWake() const;

  uint64_t store_reads() const { return store_reads_; }

 private:
  struct Fetch {
    int attempts = 0;
    bool requested = false;
    // When the response counts as missing, or when to request it again.
    Instant next;
    // Hosts that wait to get this part from here.
    std::set<HostId> waiting;
  };

  void RequestPart(const std::string& name,
                   Fetch& fetch,
                   Instant now,
                   std::vector<std::string>* store_reads);
  // The host to request from at this attempt; nothing for the store.
  std::optional<HostId> SourceFor(const std::string& name,
                                  int attempt,
                                  Instant now);
  std::optional<HostId> RandomHost(Instant now);
  void OnPartAsk(const HostId& from, const std::string& name);
  void StorePart(const std::string& name, const std::string& bytes);
  void Retry(const std::string& name, Instant now);
  void SendPart(const std::vector<HostId>& to,
                const std::string& name,
                const std::optional<std::string>& bytes);

  const Membership* const membership_;
  const PartDisseminationOptions options_;
  const FindFn find_;
  std::mt19937_64 random_;
  std::map<std::string, Fetch> wanted_;
  std::map<std::string, std::string> fetched_;
  std::vector<OutgoingMessage> pending_;
  uint64_t store_reads_ = 0;
};

}  // namespace toucanknot

#endif  // INCLUDE_MEMBERSHIP_PART_DISSEMINATION_H_
