#ifndef INCLUDE_LIMITS_RETRY_RESERVE_H_
#define INCLUDE_LIMITS_RETRY_RESERVE_H_

namespace toucanknot {

// How much of a service's retries is kept for callers that have come back.
//
// A request that was turned away may be sent to another server at once, or its
// caller may return, which costs no retry; but a caller that has returned and
// is turned away again goes without. While servers turn away a part `p` of the
// requests, p * p of them meet that twice: so much is kept for them. On a calm
// day that is nothing, and first attempts are repeated without the caller's
// trip; while more than half of a load is shed it is all. Does no I/O. Not
// thread-safe.
class RetryReserve {
 public:
  // An attempt at a server ended; `rejected`: it certainly did not run.
  void OnAttempt(bool rejected);

  // The part to keep, from 0 to 1, where retries may make up `ratio` of the
  // requests.
  double Part(double ratio) const;

 private:
  // The part of the last attempts that were turned away.
  double rejected_ = 0;
};

}  // namespace toucanknot

#endif  // INCLUDE_LIMITS_RETRY_RESERVE_H_
