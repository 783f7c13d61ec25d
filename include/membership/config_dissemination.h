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
  // Hosts of a zone that watch the store (readers).
  size_t readers = 2;
  // Children of a host in the tree along which the hosts of a zone relay a
  // configuration.
  size_t fan_out = 4;
  // How long one watch may wait at the store.
  Duration watch_limit{20'000};
  StoreBackoffOptions watch_backoff{Duration(0)};
  // How often each host compares versions with a random other one.
  Duration compare_interval{2'000};
  // How long a host that learns of a newer version waits for the push before it
  // requests the configuration, and for a response before it requests it from
  // another host.
  Duration request_after{500};
  Duration request_timeout{1'000};
};

// A read of the store's root value that is to be started: wait up to `limit`
// (0: only read) for a revision other than `seen_revision`.
struct WatchRequest {
  uint64_t seen_revision = 0;
  Duration limit;
};

// Counters of one host since its start.
struct ConfigDisseminationStats {
  uint64_t store_calls = 0;
  uint64_t pushes_sent = 0;
  uint64_t pushes_received = 0;
  uint64_t requests_sent = 0;
  // Configurations that the host's own check rejected.
  uint64_t rejected = 0;
  // Different texts with the version in force; they are rejected.
  uint64_t conflicts = 0;
};

// Disseminates the configuration to all hosts. A few hosts of each zone, the
// first live ones by rank, watch the store; a host that gets a newer version
// pushes it to the hosts of its zone along a tree; and each host compares
// versions with others, so that a neighbour makes up for lost messages, a dead
// reader or a zone that was cut off. Having more or fewer readers than intended
// for a while does no harm. The version in force only increases. Does no I/O;
// not thread-safe.
class ConfigDissemination {
 public:
  // Extracts the version and digest from a root value; nothing when it is not
  // one.
  using StampFn = std::function<std::optional<ConfigStamp>(const std::string&)>;
  // Validates a root value and puts it in force; false when it is rejected.
  // Called with increasing versions only.
  using AcceptFn =
      std::function<bool(const ConfigStamp& stamp, const std::string& text)>;

  // `membership` must outlive this object.
  ConfigDissemination(Membership* membership,
                      ConfigDisseminationOptions options,
                      StampFn stamp_of,
                      AcceptFn accept,
                      uint64_t seed);

  // Handles the messages of the dissemination, and heartbeats and digests for
  // the versions in them; ignores others.
  void OnMessage(const PeerSender& from,
                 const PeerMessage& message,
                 Instant now);

  // The end of the watch that Tick() requested: a value, a timeout (no value,
  // or the one already seen), or a failure.
  void OnWatchValue(uint64_t revision, const std::string& text, Instant now);
  void OnWatchTimeout(Instant now);
  void OnWatchFailure(Instant now);

  // Returns the messages to send and, at readers, the watch to start now.
  std::vector<OutgoingMessage> Tick(Instant now,
                                    std::optional<WatchRequest>* watch);
  Instant NextWake() const;

  // The version in force here; 0 when there is none yet.
  const ConfigStamp& stamp() const { return stamp_; }
  const std::string& text() const { return text_; }
  // The last version that this host rejected, 0 if none.
  const ConfigStamp& rejected() const { return rejected_; }
  // The highest version that this host knows to exist.
  uint64_t newest_known_version() const { return newest_known_version_; }
  // The version last read from the store: lower than the one in force after the
  // store was restored from a backup. 0 at hosts that do not read it.
  uint64_t store_version() const { return store_version_; }
  // Whether the last call to the store failed.
  bool store_failing() const { return watch_backoff_.failing(); }
  bool IsReader(Instant now) const;
  // IsReader() as of the last Tick().
  bool is_reader() const { return is_reader_; }
  ConfigDisseminationStats stats() const;

 private:
  // A host with a newer version than this one.
  struct NewerSource {
    HostId host;
    ConfigStamp stamp;
    Instant since;
  };

  void NoteStamp(const HostId& host, const ConfigStamp& stamp, Instant now);
  void NoteDigests(const ZoneDigests& digests, Instant now);
  void OnCompare(const HostId& from, const ConfigStamp& have, Instant now);
  void OnPush(const HostId& from, const ConfigPush& push, Instant now);
  bool TryAccept(const ConfigStamp& stamp, const std::string& text);
  void Relay(bool is_origin, Instant now);
  void PushTo(const HostId& host, Instant now);
  void RequestNewer(Instant now);
  void Compare(Instant now);

  Membership* const membership_;
  const ConfigDisseminationOptions options_;
  const StampFn stamp_of_;
  const AcceptFn accept_;
  std::mt19937_64 random_;
  StoreBackoff watch_backoff_;

  ConfigStamp stamp_;
  std::string text_;
  ConfigStamp rejected_;
  uint64_t newest_known_version_ = 0;
  uint64_t store_version_ = 0;
  uint64_t seen_revision_ = 0;
  bool is_reader_ = false;

  std::optional<NewerSource> newer_source_;
  Instant next_request_;
  Instant next_compare_;
  // The last version that this host sent to its children in the tree.
  uint64_t relayed_version_ = 0;
  // When the version in force was last sent to each host.
  std::map<HostId, Instant> pushed_at_;
  std::vector<OutgoingMessage> pending_;
  ConfigDisseminationStats stats_;
};

}  // namespace toucanknot

#endif  // INCLUDE_MEMBERSHIP_CONFIG_DISSEMINATION_H_
