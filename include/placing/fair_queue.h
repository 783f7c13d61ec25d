#ifndef INCLUDE_PLACING_FAIR_QUEUE_H_
#define INCLUDE_PLACING_FAIR_QUEUE_H_

#include <boost/unordered/unordered_flat_map.hpp>
#include <cstddef>
#include <cstdint>

namespace toucanknot {

// Order between the workspaces of the requests that wait for a service, of one
// priority: start-time fair queueing with equal weights. It answers a workspace
// that sends more than its share while slots are short: its requests wait
// behind each other, not in front of those of other workspaces. What a
// workspace leaves unused, others use, and a workspace that was idle gains
// nothing from that. Without workspaces, all requests have the same start.
//
// Does no I/O. Not thread-safe.
class FairQueue {
 public:
  // Virtual start time of the next request of a workspace, in requests; lower
  // ones go first. `workspace` is 0 for requests without one.
  int64_t StartOf(uint32_t workspace) const;
  // A request with the start StartOf(workspace) is queued or sent.
  void OnTaken(uint32_t workspace);
  // A request that was taken is sent to a server.
  void OnSent(int64_t start);
  // A request that was taken left the queue without being sent.
  void OnDropped(uint32_t workspace);
  // Workspaces whose last request starts later than the present.
  size_t size() const { return next_start_.size(); }

 private:
  // How many requests are sent between two removals of idle workspaces.
  static constexpr int kPruneEvery = 64;

  // The latest start of a request that was sent.
  int64_t now_ = 0;
  int sent_since_prune_ = 0;
  boost::unordered_flat_map<uint32_t, int64_t> next_start_;
};

}  // namespace toucanknot

#endif  // INCLUDE_PLACING_FAIR_QUEUE_H_
