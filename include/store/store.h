#ifndef INCLUDE_STORE_STORE_H_
#define INCLUDE_STORE_STORE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "include/base/clock.h"
#include "include/base/error.h"

namespace toucanknot {

// The store could not be asked, or refused: nothing was changed by this call.
class StoreUnavailableError : public Error {
 public:
  using Error::Error;
};

// The call was sent and no answer came: a write may have taken effect.
class StoreOutcomeUnknownError : public Error {
 public:
  using Error::Error;
};

// A value with the revision that the store gave it.
struct StoreValue {
  std::string data;
  // Greater at every write of the key; 0 means that the key does not exist.
  uint64_t revision = 0;
};

// What became of a compare-and-swap.
struct SwapResult {
  bool swapped = false;
  // The key's revision after the call.
  uint64_t revision = 0;
};

// A host as the platform's host list shows it; the list lags.
struct PlatformHost {
  std::string id;
  bool leaving = false;
};

// What became of an attempt to take a lease.
struct LeaseResult {
  bool granted = false;
  // Greater each time that a lease passes on after it lapsed or its holder
  // changed; the same when the holder renews in time. 0 when not granted.
  uint64_t epoch = 0;
  // Who has it.
  std::string holder;
};

// The platform's key-value service and host list. Calls block up to a time
// limit that the implementation is built with; all may throw
// StoreUnavailableError.
class Store {
 public:
  virtual ~Store() = default;

  // The value of `key`; nothing when there is none.
  virtual std::optional<StoreValue> Get(const std::string& key) = 0;

  // Writes `data` if the key's revision is `expected` (0: only if absent).
  // Values above a megabyte are refused. Throws StoreOutcomeUnknownError when
  // the answer is lost.
  virtual SwapResult CompareAndSwap(const std::string& key,
                                    uint64_t expected,
                                    const std::string& data) = 0;

  // Waits up to `limit` for a revision of `key` other than `seen`. Returns
  // nothing when the time is up, and revision 0 when the key is there no more.
  virtual std::optional<StoreValue> Watch(const std::string& key,
                                          uint64_t seen,
                                          Duration limit) = 0;

  // The keys that begin with `prefix`, in order.
  virtual std::vector<std::string> List(const std::string& prefix) = 0;

  // Takes or renews the lease `key` for `holder` until `ttl` from when the
  // store runs the call. Throws StoreOutcomeUnknownError when the answer is
  // lost; taking it again is harmless.
  virtual LeaseResult AcquireLease(const std::string& key,
                                   const std::string& holder,
                                   Duration ttl) = 0;

  // The platform's host list: entry hosts and backend servers.
  virtual std::vector<PlatformHost> Hosts() = 0;
};

}  // namespace toucanknot

#endif  // INCLUDE_STORE_STORE_H_
