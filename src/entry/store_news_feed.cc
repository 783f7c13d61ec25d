#include "include/entry/store_news_feed.h"

#include <algorithm>
#include <utility>

namespace toucanknot {
namespace {

// Bytes of an item in a datagram besides its key and value.
constexpr size_t kItemOverhead = 24;

size_t SizeOf(const StoreChange& change) {
  return kItemOverhead + change.key.size() +
         (change.value ? change.value->size() : 0);
}

size_t SizeOf(const std::vector<StoreChange>& changes) {
  size_t bytes = 0;
  for (const StoreChange& it : changes)
    bytes += SizeOf(it);
  return bytes;
}

// Leaves out the values, which are then read from the store.
void DropValues(std::vector<StoreChange>& changes) {
  for (StoreChange& it : changes)
    it.value.reset();
}

// The changes by ascending revision, those of one revision together.
std::vector<std::vector<StoreChange>> GroupByRevision(
    std::vector<StoreChange> changes) {
  std::stable_sort(changes.begin(), changes.end(),
                   [](const StoreChange& a, const StoreChange& b) {
                     return a.revision < b.revision;
                   });
  std::vector<std::vector<StoreChange>> groups;
  for (StoreChange& it : changes) {
    if (groups.empty() || groups.back().front().revision != it.revision)
      groups.emplace_back();
    groups.back().push_back(std::move(it));
  }
  return groups;
}

}  // namespace

void StoreNewsFeed::OnRead(uint64_t revision, std::optional<Instant> known_at) {
  if (revision != revision_)
    links_.clear();
  revision_ = revision;
  known_at_ = known_at;
}

void StoreNewsFeed::OnChanges(uint64_t before,
                              uint64_t revision,
                              std::vector<StoreChange> changes,
                              std::optional<Instant> known_at) {
  revision_ = revision;
  known_at_ = known_at;
  if (revision == before)
    return;
  StoreNews link;
  link.before = link.revision = before;
  size_t bytes = 0;
  // A link ends between two revisions only, so that each is complete in itself
  // and no datagrams have to be put together.
  for (std::vector<StoreChange>& group : GroupByRevision(std::move(changes))) {
    const uint64_t group_revision = group.front().revision;
    if (SizeOf(group) > kMaxBytes)
      DropValues(group);
    const size_t size = SizeOf(group);
    if (bytes + size > kMaxBytes) {
      const uint64_t end = link.revision;
      AddLink(std::move(link));
      link = StoreNews();
      // Not even the keys fit: the gap makes the other hosts read the store.
      link.before = link.revision = size > kMaxBytes ? group_revision : end;
      bytes = 0;
    }
    if (size > kMaxBytes)
      continue;
    bytes += size;
    link.revision = group_revision;
    link.changes.insert(link.changes.end(),
                        std::make_move_iterator(group.begin()),
                        std::make_move_iterator(group.end()));
  }
  link.revision = std::max(link.revision, revision);
  AddLink(std::move(link));
}

void StoreNewsFeed::AddLink(StoreNews link) {
  if (link.revision == link.before)
    return;
  links_.push_back({std::move(link)});
  if (links_.size() > kMaxLinks)
    links_.pop_front();
}

void StoreNewsFeed::OnLost() {
  known_at_.reset();
}

void StoreNewsFeed::OnEra(uint64_t era) {
  era_ = era;
  links_.clear();
  revision_ = 0;
  known_at_.reset();
}

std::vector<StoreNews> StoreNewsFeed::MakeNews(Instant now) {
  std::vector<StoreNews> out;
  for (Link& it : links_) {
    out.push_back(it.news);
    --it.sends_left;
  }
  std::erase_if(links_, [](const Link& it) { return it.sends_left <= 0; });
  StoreNews heartbeat;
  heartbeat.before = heartbeat.revision = revision_;
  heartbeat.lost = !known_at_;
  if (known_at_)
    heartbeat.age = std::max(now - *known_at_, Duration(0));
  out.push_back(std::move(heartbeat));
  for (StoreNews& it : out)
    it.era = era_;
  return out;
}

}  // namespace toucanknot
