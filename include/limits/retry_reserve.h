#ifndef INCLUDE_LIMITS_RETRY_RESERVE_H_
#define INCLUDE_LIMITS_RETRY_RESERVE_H_

namespace toucanknot {

// Computes which share of a service's retry budget to reserve for callers that
// return after a rejection.
//
// A rejected request can be retried at another server at once, or its caller
// can return later, which costs no retry. A caller that has returned and is
// rejected again does not return a second time. While servers reject a share
// `p` of the requests, p * p of them are rejected twice, and this much is
// reserved for them. Under normal load the reserve is close to nothing, and
// rejected requests are retried at once; when more than half of the load is
// shed, it is the whole budget. Does no I/O. Not thread-safe.
class RetryReserve {
 public:
  // An attempt at a server ended; `rejected`: the request certainly did not
  // run.
  void OnAttempt(bool rejected);

  // The share of the retry budget to reserve, from 0 to 1, where `ratio` is the
  // ratio of the retry budget.
  double ReservedShare(double ratio) const;

 private:
  // The moving share of attempts that were rejected.
  double rejected_ = 0;
};

}  // namespace toucanknot

#endif  // INCLUDE_LIMITS_RETRY_RESERVE_H_
