#ifndef INCLUDE_ENTRY_STORE_NEWS_FEED_H_
#define INCLUDE_ENTRY_STORE_NEWS_FEED_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "include/base/clock.h"
#include "include/entry/store_news.h"

namespace toucanknot {

// What a host that watches the store has to send to the other hosts of its
// zone. Instants are those of BootNow(), so that a suspension of the machine
// adds to the age of its knowledge. Does no I/O. Not thread-safe.
class StoreNewsFeed {
 public:
  // Bytes of keys and values in a datagram. The receive buffer of LoadExchange
  // holds 8 kB.
  static constexpr size_t kMaxBytes = 7'000;
  // Changes are sent this many times, so that the loss of one datagram does not
  // make all hosts read the store.
  static constexpr int kSends = 3;
  // Datagrams with changes kept for repetition, 0.5 MB at most. If a page needs
  // more, the other hosts find a gap and read the store.
  static constexpr size_t kMaxLinks = 64;

  // The host has read the whole store at `revision`; what happened since the
  // revision known before is not known key by key. `known_at` is a time at
  // which `revision` was the latest one; not set while the host's watches are
  // not trusted.
  void OnRead(uint64_t revision, std::optional<Instant> known_at);
  // A watch returned all changes after `before` until `revision`.
  void OnChanges(uint64_t before,
                 uint64_t revision,
                 std::vector<StoreChange> changes,
                 std::optional<Instant> known_at);
  // The host cannot reach the store, or must read it again.
  void OnLost();
  // The store came back from an older copy, see StoreNews::era: revisions from
  // before mean nothing in it.
  void OnEra(uint64_t era);

  // The datagrams to send now: changes that were not sent often enough, and a
  // heartbeat. The sender's name is left out.
  std::vector<StoreNews> MakeNews(Instant now);

 private:
  struct Link {
    StoreNews news;
    int sends_left = kSends;
  };

  void AddLink(StoreNews link);

  std::deque<Link> links_;
  uint64_t era_ = 0;
  uint64_t revision_ = 0;
  std::optional<Instant> known_at_;
};

}  // namespace toucanknot

#endif  // INCLUDE_ENTRY_STORE_NEWS_FEED_H_
