// Guards against followers of the store's readers that miss a change for longer
// than its bound, or that go back to an older state, when readers are killed,
// frozen or cut off from the store, or datagrams are lost.

#include "include/entry/store_readers.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "include/entry/store_news_feed.h"

namespace toucanknot {
namespace {

// The bounds of PlatformStore for news_within = 2.5 s.
constexpr Duration kBound{2'500};
constexpr Duration kMaxAge{1'800};
constexpr Duration kReaderCycle{1'300};
constexpr Duration kReaderDelay{975};
constexpr Duration kOwnCycle{1'500};
constexpr Duration kOwnDelay{1'000};
constexpr Duration kStep{10};
constexpr Duration kReadTime{100};
constexpr Duration kWatchGrace{700};

struct LoggedChange {
  StoreChange change;
  Instant at;
};

struct Store {
  std::vector<LoggedChange> log;
  uint64_t revision = 1;
  int calls = 0;
  int reads = 0;

  void Put(const std::string& key, Instant now, size_t bytes = 1) {
    log.push_back({{key, ++revision, false, std::string(bytes, 'x')}, now});
  }
  // The latest change of each key after `after`.
  std::vector<StoreChange> After(uint64_t after) const {
    std::map<std::string, StoreChange> latest;
    for (const LoggedChange& it : log) {
      if (it.change.revision > after)
        latest[it.change.key] = it.change;
    }
    std::vector<StoreChange> out;
    for (const auto& [key, change] : latest)
      out.push_back(change);
    return out;
  }
};

HostRecord Record(const std::string& id, Incarnation incarnation = 1) {
  return {HostId(id), ZoneId("z"), {"10.0.0.1", 80}, incarnation, 1};
}

// One host: watches as PlatformStore does, without a network.
struct Host {
  enum class Doing { kListing, kWaiting, kWatching, kFollowing };

  explicit Host(std::string name) : id(std::move(name)) {}

  void Apply(const StoreChange& it) {
    uint64_t& have = known[it.key];
    have = std::max(have, it.revision);
  }

  std::string id;
  StoreReaders readers{kMaxAge};
  StoreNewsFeed feed;
  std::map<std::string, uint64_t> known;
  std::deque<StoreNews> inbox;
  bool killed = false;
  bool frozen = false;
  bool cut = false;
  // When its last fault ended.
  Instant sound_since;
  Doing doing = Doing::kListing;
  Instant next{200};
  Instant watch_sent;
  Duration watch_wait;
  Duration delayed;
  uint64_t watched_from = 0;
  std::vector<StoreChange> listing;
  uint64_t listing_revision = 0;
  bool listing_sent = false;
  bool sound = false;
};

struct Zone {
  Zone(int hosts_count, uint32_t seed) : random(seed) {
    for (int i = 0; i < hosts_count; ++i)
      hosts.push_back(std::make_unique<Host>("h" + std::to_string(i)));
    for (auto& it : hosts) {
      for (auto& other : hosts)
        it->readers.OnHost(Record(other->id));
      it->readers.SetSelf(Record(it->id));
    }
  }

  std::vector<Host*> WithRole(StoreRole role) {
    std::vector<Host*> out;
    for (auto& it : hosts) {
      if (it->readers.role() == role)
        out.push_back(it.get());
    }
    return out;
  }

  Duration Random(int64_t max) {
    return Duration(std::uniform_int_distribution<int64_t>(0, max)(random));
  }

  void Send(Host& from) {
    if (from.readers.role() != StoreRole::kReader)
      return;
    for (StoreNews& news : from.feed.MakeNews(now)) {
      news.host = HostId(from.id);
      news.incarnation = 1;
      for (auto& it : hosts) {
        if (it.get() != &from &&
            std::uniform_real_distribution<>(0, 1)(random) >= loss)
          it->inbox.push_back(news);
      }
    }
  }

  void Lose(Host& h) {
    h.sound = false;
    h.feed.OnLost();
    Send(h);
    h.doing = Host::Doing::kListing;
    h.listing_sent = false;
    h.next = now + Duration(60);
  }

  void StartWatch(Host& h) {
    const bool reader = h.readers.role() == StoreRole::kReader;
    h.doing = Host::Doing::kWatching;
    h.watch_sent = now;
    h.watch_wait = reader ? kReaderCycle - std::min(h.delayed, kReaderDelay)
                          : std::max(Duration(700), kOwnCycle - h.delayed);
    ++store.calls;
  }

  void Run(Host& h) {
    while (!h.inbox.empty()) {
      const StoreNews news = h.inbox.front();
      h.inbox.pop_front();
      for (const StoreChange& it : h.readers.OnNews(news, now)) {
        // A change that is not newer would take the host back.
        REQUIRE(it.revision > h.known[it.key]);
        h.Apply(it);
      }
    }
    if (now.ms() % StoreReaders::kAdvanceEvery.ms() == 0)
      h.readers.Advance(h.sound, now);
    if (now.ms() % 200 == 0)
      Send(h);
    if (h.doing == Host::Doing::kFollowing) {
      if (h.readers.following())
        return;
      h.doing = Host::Doing::kListing;
      h.next = now + Random(200);
    }
    if (now < h.next && h.doing != Host::Doing::kWatching)
      return;
    if (h.doing == Host::Doing::kListing)
      List(h);
    else if (h.doing == Host::Doing::kWaiting)
      StartWatch(h);
    else
      Watch(h);
  }

  void List(Host& h) {
    if (h.cut)
      return Lose(h);
    if (!h.listing_sent) {
      // As of the beginning of the call.
      ++store.calls;
      ++store.reads;
      h.listing = store.After(0);
      h.listing_revision = store.revision;
      h.listing_sent = true;
      h.next = now + kReadTime;
      return;
    }
    h.listing_sent = false;
    for (const StoreChange& it : h.listing)
      h.Apply(it);
    h.sound = true;
    h.watched_from = h.listing_revision;
    h.readers.OnOwnRead(h.listing_revision);
    h.feed.OnRead(h.listing_revision, now - kReadTime);
    Send(h);
    h.delayed = Duration(0);
    StartWatch(h);
  }

  void Watch(Host& h) {
    if (h.cut) {
      if (now > h.watch_sent + h.watch_wait + kWatchGrace)
        Lose(h);
      return;
    }
    const std::vector<StoreChange> changes = store.After(h.watched_from);
    if (changes.empty() && now < h.watch_sent + h.watch_wait)
      return;
    for (const StoreChange& it : changes)
      h.Apply(it);
    h.readers.OnOwnRead(store.revision);
    h.feed.OnChanges(h.watched_from, store.revision, changes, now);
    h.watched_from = store.revision;
    Send(h);
    if (h.readers.following()) {
      h.doing = Host::Doing::kFollowing;
      return;
    }
    const bool reader = h.readers.role() == StoreRole::kReader;
    h.delayed = changes.empty() ? Duration(0)
                : reader        ? kReaderDelay
                                : kOwnDelay;
    h.doing = Host::Doing::kWaiting;
    h.next = now + h.delayed;
  }

  // Sound hosts know each change within its bound.
  void Check() {
    for (auto& h : hosts) {
      if (h->killed || h->frozen || h->cut || now - h->sound_since < kBound)
        continue;
      for (auto it = store.log.rbegin(); it != store.log.rend(); ++it) {
        if (now - it->at > Duration(6'000))
          break;
        if (now - it->at < kBound)
          continue;
        INFO(h->id << " at " << now.ms() << " ms, following "
                   << h->readers.following() << ", change of " << it->at.ms());
        REQUIRE(h->known[it->change.key] >= it->change.revision);
      }
    }
  }

  void RunFor(Duration time) {
    for (const Instant end = now + time; now < end; now = now + kStep) {
      if (change_every > Duration(0) && now >= next_change) {
        store.Put("k" + std::to_string(Random(9).ms()), now, change_bytes);
        next_change = now + Random(2 * change_every.ms());
      }
      for (auto& it : hosts) {
        if (!it->killed && !it->frozen)
          Run(*it);
      }
      if (now.ms() % 50 == 0)
        Check();
    }
  }

  std::mt19937 random;
  Store store;
  std::vector<std::unique_ptr<Host>> hosts;
  Instant now{0};
  Instant next_change;
  Duration change_every{400};
  size_t change_bytes = 1;
  double loss = 0;
};

int Following(Zone& zone) {
  return static_cast<int>(
      std::count_if(zone.hosts.begin(), zone.hosts.end(),
                    [](const auto& it) { return it->readers.following(); }));
}

enum class Fault { kKilled, kFrozen, kCut };

void Begin(Host& h, Fault fault) {
  h.killed |= fault == Fault::kKilled;
  h.frozen |= fault == Fault::kFrozen;
  h.cut |= fault == Fault::kCut;
}

void End(Host& h, Instant now) {
  h.frozen = h.cut = false;
  h.sound_since = now;
}

}  // namespace

TEST_CASE("two hosts of a zone read, and only in zones with three hosts") {
  CHECK(Zone(2, 1).WithRole(StoreRole::kAlone).size() == 2);
  CHECK(Zone(3, 1).WithRole(StoreRole::kReader).size() == 2);
  CHECK(Zone(11, 1).WithRole(StoreRole::kFollower).size() == 9);
  // Only its earlier run is listed: news does not reach this one yet.
  StoreReaders restarted(kMaxAge);
  for (const char* id : {"a", "b", "c", "d"})
    restarted.OnHost(Record(id, 1));
  restarted.SetSelf(Record("a", 2));
  CHECK(restarted.role() == StoreRole::kAlone);
  restarted.OnHost(Record("a", 2));
  CHECK(restarted.role() != StoreRole::kAlone);
}

TEST_CASE("followers call the store no more while readers are sound") {
  Zone zone(12, 1);
  zone.RunFor(Duration(10'000));
  REQUIRE(Following(zone) == 10);
  const int before = zone.store.calls;
  zone.RunFor(Duration(60'000));
  CHECK(Following(zone) == 10);
  // Two readers, at most one watch each 0.975 s.
  CHECK(zone.store.calls - before <= 2 * 60 / 0.975);
  CHECK(zone.store.reads == 12);
}

TEST_CASE("each change arrives in time, whatever happens to readers") {
  for (const Fault fault : {Fault::kKilled, Fault::kFrozen, Fault::kCut}) {
    for (uint32_t seed = 0; seed < 60; ++seed) {
      INFO("fault " << static_cast<int>(fault) << ", seed " << seed);
      Zone zone(6, seed);
      zone.loss = seed % 3 == 0 ? 0.1 : 0;
      zone.change_every = Duration(seed % 2 == 0 ? 300 : 1'500);
      zone.RunFor(Duration(6'000) + zone.Random(150) * 10);
      REQUIRE(Following(zone) > 0);
      // One reader, or both of them.
      std::vector<Host*> hit = zone.WithRole(StoreRole::kReader);
      hit.resize(1 + seed % 2);
      for (Host* it : hit)
        Begin(*it, fault);
      zone.RunFor(zone.Random(400) * 10);
      for (Host* it : hit)
        End(*it, zone.now);
      zone.RunFor(Duration(8'000));
    }
  }
}

TEST_CASE("a follower that was frozen does not trust datagrams that waited") {
  for (uint32_t seed = 0; seed < 40; ++seed) {
    INFO("seed " << seed);
    Zone zone(5, seed);
    zone.RunFor(Duration(8'000));
    Host& follower = *zone.WithRole(StoreRole::kFollower).front();
    REQUIRE(follower.readers.following());
    follower.frozen = true;
    zone.RunFor(Duration(700) + zone.Random(300) * 10);
    // The readers die before the follower goes on with what they sent.
    for (Host* it : zone.WithRole(StoreRole::kReader))
      it->killed = true;
    End(follower, zone.now);
    zone.RunFor(Duration(1'000));
    CHECK(!follower.readers.following());
    zone.RunFor(Duration(6'000));
  }
}

TEST_CASE("a follower reads after a gap, and follows again") {
  Zone zone(4, 3);
  zone.RunFor(Duration(8'000));
  REQUIRE(Following(zone) == 2);
  const int before = zone.store.reads;
  zone.loss = 1;
  zone.RunFor(Duration(1'200));
  zone.loss = 0;
  zone.RunFor(Duration(8'000));
  CHECK(zone.store.reads > before);
  CHECK(Following(zone) == 2);
}

TEST_CASE("when all readers lost the store, followers read at once") {
  Zone zone(5, 4);
  zone.RunFor(Duration(8'000));
  REQUIRE(Following(zone) == 3);
  const std::vector<Host*> readers = zone.WithRole(StoreRole::kReader);
  zone.Lose(*readers[0]);
  readers[0]->cut = true;
  zone.RunFor(Duration(800));
  CHECK(Following(zone) == 3);
  zone.Lose(*readers[1]);
  readers[1]->cut = true;
  zone.RunFor(Duration(800));
  CHECK(Following(zone) == 0);
}

TEST_CASE("only a host that follows reads values that were left out") {
  // A reader that heard of a large value from the other reader read it in
  // addition to its own watch.
  Zone zone(4, 5);
  zone.change_every = Duration(0);
  zone.RunFor(Duration(8'000));
  REQUIRE(Following(zone) == 2);
  StoreNews news;
  news.host = HostId(zone.WithRole(StoreRole::kReader)[0]->id);
  news.incarnation = 1;
  news.before = zone.store.revision;
  news.revision = news.before + 1;
  news.changes = {{"large", news.revision, false, std::nullopt}};
  Host& reader = *zone.WithRole(StoreRole::kReader)[1];
  CHECK(reader.readers.OnNews(news, zone.now).empty());
  CHECK(reader.readers.revision() == news.before);
  Host& follower = *zone.WithRole(StoreRole::kFollower)[0];
  CHECK(follower.readers.OnNews(news, zone.now).size() == 1);
  CHECK(follower.readers.revision() == news.revision);
  // The value could not be read.
  follower.readers.RequireRead();
  follower.readers.Advance(true, zone.now);
  CHECK(!follower.readers.following());
}

TEST_CASE("many and large changes are cut into datagrams between revisions") {
  StoreNewsFeed feed;
  feed.OnRead(10, Instant(0));
  std::vector<StoreChange> changes;
  for (uint64_t i = 11; i <= 40; ++i)
    changes.push_back({"k" + std::to_string(i), i, false, "v"});
  changes[3].value = std::string(20'000, 'v');
  for (size_t i = 5; i < 25; ++i)
    changes[i].value = std::string(1'000, 'v');
  // Of the same revision, and together too large for a datagram.
  changes[28].revision = 40;
  changes[28].value = changes[29].value = std::string(4'000, 'v');
  feed.OnChanges(10, 41, changes, Instant(100));
  const std::vector<StoreNews> news = feed.MakeNews(Instant(300));
  uint64_t revision = 10;
  size_t found = 0;
  for (const StoreNews& it : news) {
    CHECK(it.before == revision);
    revision = it.revision;
    size_t bytes = 0;
    for (const StoreChange& change : it.changes) {
      ++found;
      CHECK(change.revision > it.before);
      CHECK(change.revision <= it.revision);
      bytes += change.key.size() + (change.value ? change.value->size() : 0);
      CHECK(change.value.has_value() ==
            (change.revision != 14 && change.revision != 40));
    }
    CHECK(bytes <= StoreNewsFeed::kMaxBytes);
  }
  CHECK(found == 30);
  CHECK(revision == 41);
  CHECK(news.back().age == Duration(200));
  feed.OnLost();
  CHECK(feed.MakeNews(Instant(400)).back().lost);
  feed.MakeNews(Instant(600));
  CHECK(feed.MakeNews(Instant(800)).size() == 1);
}

// Revisions are given out again after the store came back from an older copy.
TEST_CASE("news of another era of the store is not applied") {
  StoreReaders readers(kMaxAge);
  const auto record = [](const std::string& name) {
    return HostRecord{HostId(name), ZoneId("z"), {"10.0.0.1", 80}, 1, 1};
  };
  readers.SetSelf(record("self"));
  for (const char* it : {"self", "a", "b"})
    readers.OnHost(record(it));
  readers.OnEra(3);
  readers.OnOwnRead(10);
  StoreNews news;
  news.host = HostId("a");
  news.incarnation = 1;
  news.before = 10;
  news.revision = 11;
  news.changes = {{"k", 11, false, "v"}};
  for (const uint64_t era : {2, 4}) {
    news.era = era;
    CHECK(readers.OnNews(news, Instant(1'000)).empty());
  }
  CHECK(readers.revision() == 10);
  news.era = 3;
  CHECK(readers.OnNews(news, Instant(1'000)).size() == 1);
  // What was known by revision is void; the host reads the store again.
  readers.OnEra(4);
  CHECK(readers.revision() == 0);
  CHECK_FALSE(readers.known_until());
  readers.OnOwnRead(7);
  news.era = 4;
  news.before = 7;
  news.revision = 8;
  news.changes = {{"k", 8, false, "v"}};
  CHECK(readers.OnNews(news, Instant(1'000)).size() == 1);
}

}  // namespace toucanknot
