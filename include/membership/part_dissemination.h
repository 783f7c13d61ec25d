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
  // Parts that a host waits for at once.
  size_t max_outstanding = 8;
  // Children of a host in a part's tree.
  size_t fan_out = 4;
  // How long a host or the store may take to answer.
  Duration answer_limit{2'000};
  // Pause after an answer without the part; doubles up to the second.
  Duration min_backoff{200};
  Duration max_backoff{5'000};
};

// An immutable part, named by the first digits of the SHA-256 of its bytes.
struct FetchedPart {
  std::string name;
  std::string bytes;
};

// Fetches the immutable parts that a configuration names. In each zone one
// host by rank under the part's name reads it from the store; every other asks
// its parent in the part's tree, who answers when it has the part itself, so
// that each host sends a part about once. Whoever gets no answer asks others,
// and in the end the store. Does no I/O; not thread-safe.
class PartDissemination {
 public:
  // The parts that this host holds already, for other hosts.
  using FindFn = std::function<std::optional<std::string>(const std::string&)>;

  // `membership` must outlive this object.
  PartDissemination(const Membership* membership,
                    PartDisseminationOptions options,
                    FindFn find,
                    uint64_t seed);

  // Replaces the set of wanted parts; parts fetched earlier and not wanted any
  // more are forgotten.
  void Want(const std::vector<std::string>& names, Instant now);
  bool IsComplete() const { return wanted_.empty(); }
  // The fetched ones of the wanted parts, with the bytes their names say. They
  // stay here for other hosts until the next Want().
  const std::map<std::string, std::string>& fetched() const { return fetched_; }

  void OnMessage(const PeerSender& from,
                 const PeerMessage& message,
                 Instant now);
  // The end of a read that Tick() asked for; nothing when it failed or the
  // store does not have the part.
  void OnStorePart(const std::string& name,
                   const std::optional<std::string>& bytes,
                   Instant now);

  // What to send, and which parts to read from the store now.
  std::vector<OutgoingMessage> Tick(Instant now,
                                    std::vector<std::string>* store_reads);
  Instant NextWake() const;

  uint64_t store_reads() const { return store_reads_; }

 private:
  struct Fetch {
    int attempts = 0;
    bool asked = false;
    // When the answer counts as missing, or when to ask again.
    Instant next;
    // Hosts that wait for this part from here.
    std::set<HostId> waiting;
  };

  void Start(const std::string& name,
             Fetch& fetch,
             Instant now,
             std::vector<std::string>* store_reads);
  // Whom to ask at this attempt; nothing for the store.
  std::optional<HostId> SourceFor(const std::string& name,
                                  int attempt,
                                  Instant now);
  std::optional<HostId> RandomHost(Instant now);
  void OnAsk(const HostId& from, const std::string& name);
  void Take(const std::string& name, const std::string& bytes);
  void Retry(const std::string& name, Instant now);
  void Give(const std::vector<HostId>& to,
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
