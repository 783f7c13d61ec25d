#ifndef INCLUDE_MEMBERSHIP_CONFIG_DISSEMINATION_H_
#define INCLUDE_MEMBERSHIP_CONFIG_DISSEMINATION_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "include/base/clock.h"
#include "include/base/ids.h"
#include "include/membership/membership.h"
#include "include/membership/store_backoff.h"
#include "include/peer/messages.h"

namespace toucanknot {

struct ConfigDisseminationOptions {
  // Hosts of a zone that watch the store.
  size_t readers = 2;
  // Children of a host where a zone's hosts push a configuration on.
  size_t fan_out = 4;
  // How long one watch waits at the store.
  Duration watch_limit{20'000};
  StoreBackoffOptions watch_pace{Duration(0)};
  // Each host compares versions with a random other one so often.
  Duration compare_interval{2'000};
  // How long a host that hears of a newer version waits for the push before it
  // asks, and for an answer before it asks another host.
  Duration ask_after{500};
  Duration ask_limit{1'000};
};

// A call that the store's root value shall get: wait up to `limit` (0: only
// read) for a revision other than `seen_revision`.
struct WatchRequest {
  uint64_t seen_revision = 0;
  Duration limit;
};

// What happened at one host since its start.
struct ConfigDisseminationStats {
  uint64_t store_calls = 0;
  uint64_t pushes_sent = 0;
  uint64_t pushes_received = 0;
  uint64_t asks_sent = 0;
  // Texts that the host's own check refused.
  uint64_t refused = 0;
  // Another text with the version in force: refused.
  uint64_t conflicts = 0;
};

// Spreads the configuration to every host. A few hosts of each zone, by rank
// among those that live, watch the store; who gets a newer version pushes it
// on in its zone along a tree; and every host compares versions with others,
// so that any lost message, dead reader or cut-off zone is made good by a
// neighbour. Two readers too many or too few do no harm. The version in force
// only grows. Does no I/O; not thread-safe.
class ConfigDissemination {
 public:
  // Reads the version and digest of a root value; nothing when it is not one.
  using StampFn = std::function<std::optional<ConfigStamp>(const std::string&)>;
  // Checks a root value whole and puts it in force; false when it is refused.
  // Called with higher versions only.
  using AcceptFn =
      std::function<bool(const ConfigStamp& stamp, const std::string& text)>;

  // `membership` must outlive this object.
  ConfigDissemination(Membership* membership,
                      ConfigDisseminationOptions options,
                      StampFn stamp_of,
                      AcceptFn accept,
                      uint64_t seed);

  // Messages of the spread, and heartbeats and digests for the versions in
  // them; others are ignored.
  void OnMessage(const PeerSender& from,
                 const PeerMessage& message,
                 Instant now);

  // The end of the watch that Tick() asked for: a value, the end of its time
  // (no value, or the one that was seen), or a failure.
  void OnWatchValue(uint64_t revision, const std::string& text, Instant now);
  void OnWatchTimeout(Instant now);
  void OnWatchFailure(Instant now);

  // Sends and, at readers, the watch to start now.
  std::vector<OutgoingMessage> Tick(Instant now,
                                    std::optional<WatchRequest>* watch);
  Instant NextWake() const;

  // What is in force here; version 0 when nothing is yet.
  const ConfigStamp& stamp() const { return stamp_; }
  const std::string& text() const { return text_; }
  // The version that this host refused last, and 0 if none was.
  const ConfigStamp& refused() const { return refused_; }
  // The highest version that this host has heard of.
  uint64_t newest_heard() const { return newest_heard_; }
  // The version that the store showed last: lower than the one in force after
  // the store was restored. 0 at hosts that do not read it.
  uint64_t store_version() const { return store_version_; }
  // Whether the last call to the store failed.
  bool store_failing() const { return pacer_.failing(); }
  bool IsReader(Instant now) const;
  // IsReader() as of the last Tick().
  bool is_reader() const { return is_reader_; }
  ConfigDisseminationStats stats() const;

 private:
  // A host that has a newer version than this one.
  struct Lead {
    HostId host;
    ConfigStamp stamp;
    Instant since;
  };

  void Hear(const HostId& host, const ConfigStamp& stamp, Instant now);
  void HearDigests(const ZoneDigests& digests, Instant now);
  void OnCompare(const HostId& from, const ConfigStamp& have, Instant now);
  void OnPush(const HostId& from, const ConfigPush& push, Instant now);
  bool Consider(const ConfigStamp& stamp, const std::string& text);
  void PushOn(bool is_origin, Instant now);
  void PushTo(const HostId& host, Instant now);
  void AskLead(Instant now);
  void Compare(Instant now);

  Membership* const membership_;
  const ConfigDisseminationOptions options_;
  const StampFn stamp_of_;
  const AcceptFn accept_;
  std::mt19937_64 random_;
  StoreBackoff pacer_;

  ConfigStamp stamp_;
  std::string text_;
  ConfigStamp refused_;
  uint64_t newest_heard_ = 0;
  uint64_t store_version_ = 0;
  uint64_t seen_revision_ = 0;
  bool is_reader_ = false;

  std::optional<Lead> lead_;
  Instant next_ask_;
  Instant next_compare_;
  // The last version that this host has sent to its children in the tree.
  uint64_t passed_on_ = 0;
  // When the version in force was last sent to each host.
  std::map<HostId, Instant> pushed_;
  std::vector<OutgoingMessage> pending_;
  ConfigDisseminationStats stats_;
};

}  // namespace toucanknot

#endif  // INCLUDE_MEMBERSHIP_CONFIG_DISSEMINATION_H_
