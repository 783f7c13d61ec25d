#ifndef INCLUDE_STORE_STORE_H_
#define INCLUDE_STORE_STORE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "include/base/clock.h"
#include "include/base/error.h"

namespace toucanknot {

// The store could not be reached or rejected the call, which changed nothing.
class StoreUnavailableError : public Error {
 public:
  using Error::Error;
};

// The call was sent and no response was received: a write may have taken
// effect.
class StoreOutcomeUnknownError : public Error {
 public:
  using Error::Error;
};

// A value with the revision that the store assigned to it.
struct StoreValue {
  std::string data;
  // Increases with every write of the key; 0 means that the key does not exist.
  uint64_t revision = 0;
};

// The result of a compare-and-swap.
struct SwapResult {
  bool swapped = false;
  // The key's revision after the call.
  uint64_t revision = 0;
};

// An entry of the platform's host list, which may be out of date.
struct PlatformHost {
  std::string id;
  bool leaving = false;
};

// The result of an attempt to acquire a lease.
struct LeaseResult {
  bool granted = false;
  // Increases each time the lease is granted after it expired or to another
  // holder; unchanged when the holder renews it in time. 0 when not granted.
  uint64_t epoch = 0;
  // The current holder.
  std::string holder;
};

// The platform's key-value service and host list. Calls block for at most a
// time limit that the implementation is constructed with. All may throw
// StoreUnavailableError.
class Store {
 public:
  virtual ~Store() = default;

  // The value of `key`; empty when there is none.
  virtual std::optional<StoreValue> Get(const std::string& key) = 0;

  // Writes `data` if the key's revision is `expected` (0: only if absent).
  // Values larger than a megabyte are rejected. Throws StoreOutcomeUnknownError
  // when the response is lost.
  virtual SwapResult CompareAndSwap(const std::string& key,
                                    uint64_t expected,
                                    const std::string& data) = 0;

  // Waits up to `limit` for a revision of `key` other than `seen`. Returns
  // nullopt on timeout, and revision 0 when the key no longer exists.
  virtual std::optional<StoreValue> Watch(const std::string& key,
                                          uint64_t seen,
                                          Duration limit) = 0;

  // The keys that begin with `prefix`, in order.
  virtual std::vector<std::string> List(const std::string& prefix) = 0;

  // Acquires or renews the lease `key` for `holder`. It expires `ttl` after the
  // store executes the call. Throws StoreOutcomeUnknownError when the response
  // is lost; it is safe to call again then.
  virtual LeaseResult AcquireLease(const std::string& key,
                                   const std::string& holder,
                                   Duration ttl) = 0;

  // The platform's host list: entry hosts and backend servers.
  virtual std::vector<PlatformHost> Hosts() = 0;
};

}  // namespace toucanknot

#endif  // INCLUDE_STORE_STORE_H_
