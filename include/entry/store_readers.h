#ifndef INCLUDE_ENTRY_STORE_READERS_H_
#define INCLUDE_ENTRY_STORE_READERS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "include/base/clock.h"
#include "include/base/enum_names.h"
#include "include/entry/host_record.h"
#include "include/entry/store_news.h"

namespace toucanknot {

enum class StoreRole {
  // Reads and watches the store for itself only.
  kAlone,
  // Watches the store and sends its changes to the other hosts of the zone.
  kReader,
  // May leave the watch to the readers of the zone.
  kFollower,
};

inline constexpr EnumNames<StoreRole, 3> kStoreRoleNames{
    {"alone", "reader", "follower"}};

// Decides which hosts of a zone watch the store, and whether this host may rely
// on them. Instants are those of BootNow(). Does no I/O. Not thread-safe.
//
// A follower reads the store itself once it has been unable to prove for
// `max_age` that it knows all changes. That one rule covers readers that are
// killed, frozen or cut off, lost datagrams and gaps: whatever happened, a
// change that it does not know was made after the last proof.
class StoreReaders {
 public:
  // Two, so that the loss of one costs nothing.
  static constexpr size_t kReaders = 2;
  // With fewer hosts in a zone, readers save no calls.
  static constexpr size_t kMinHosts = 3;
  // How long a host hears of a sound reader before it follows, so that it does
  // not alternate while readers fail.
  static constexpr Duration kSettle{2'000};
  // Changes that are sent again with two more heartbeats have arrived by then.
  static constexpr Duration kGapLimit{600};
  // A reader that was heard longer ago says nothing about the present: two of
  // its heartbeats are missing.
  static constexpr Duration kSourceLimit{500};
  // Call Advance() this often.
  static constexpr Duration kAdvanceEvery{100};
  // After a longer time without Advance(), the process was suspended, and the
  // datagrams that waited meanwhile are of unknown age.
  static constexpr Duration kSuspended{500};

  // `max_age`: the age of its knowledge at which a follower reads the store.
  explicit StoreReaders(Duration max_age) : max_age_(max_age) {}

  // This host's record, if it is published.
  void SetSelf(std::optional<HostRecord> self);
  // The hosts that the store lists.
  void OnHost(const HostRecord& record);
  void OnHostRemoved(const HostId& host);
  void OnHostsListed(const std::set<HostId>& hosts);

  // The host itself knows all changes until `revision` from the store.
  void OnOwnRead(uint64_t revision);
  // Returns the changes to apply, in order; none if they are old or do not
  // connect to what this host knows.
  std::vector<StoreChange> OnNews(const StoreNews& news, Instant now);
  // The store came back from an older copy, or its era became known. Nothing
  // that was known by revision holds any more, and the host must read the
  // store.
  void OnEra(uint64_t era);
  // A value could not be read: the host must read the store before it follows.
  void RequireRead() { read_required_ = true; }
  // Decides whether the host follows. `own_sound`: it has read the store and
  // trusts its own watches.
  void Advance(bool own_sound, Instant now);

  StoreRole role() const { return role_; }
  bool following() const { return following_; }
  // All changes until this revision are known.
  uint64_t revision() const { return revision_; }
  // All changes until this time are known through readers; empty if none was
  // ever heard.
  std::optional<Instant> known_until() const { return known_until_; }

 private:
  struct Host {
    ZoneId zone;
    Incarnation incarnation = 0;
  };
  // What was last heard of a reader.
  struct Source {
    Instant heard_at;
    bool lost = false;
  };

  void UpdateRole();
  bool IsPeer(const StoreNews& news) const;
  // Whether all readers heard of lately have lost the store.
  bool ReadersLost(Instant now) const;
  bool Sound(Instant now) const;
  void NoteSuspension(Instant now);

  const Duration max_age_;
  std::optional<HostRecord> self_;
  std::map<HostId, Host> hosts_;
  // Of the hosts in hosts_ only.
  std::map<HostId, Source> sources_;
  StoreRole role_ = StoreRole::kAlone;
  // As in StoreNews.
  uint64_t era_ = 0;
  uint64_t revision_ = 0;
  std::optional<Instant> known_until_;
  // Since when readers have been sound without interruption.
  std::optional<Instant> sound_since_;
  // Since when a reader has known a later revision than this host.
  std::optional<Instant> gap_since_;
  uint64_t gap_revision_ = 0;
  std::optional<Instant> advanced_at_;
  // Claims of readers do not count until then.
  Instant distrust_until_;
  bool read_required_ = false;
  bool following_ = false;
};

}  // namespace toucanknot

#endif  // INCLUDE_ENTRY_STORE_READERS_H_
