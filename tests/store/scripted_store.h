#ifndef TESTS_STORE_SCRIPTED_STORE_H_
#define TESTS_STORE_SCRIPTED_STORE_H_

#include <functional>
#include <string>
#include <vector>

#include "include/store/store.h"

namespace toucanknot {

enum class CallFault { kNone, kDown, kLostBefore, kLostAfter };

// A store that injects faults into reads and writes. A function selects the
// fault for each call by the call's number, counted from 0.
class ScriptedStore : public Store {
 public:
  // May also modify the underlying store, as other writers would, before the
  // call.
  using Script = std::function<CallFault(int call)>;

  ScriptedStore(Store& store, Script script)
      : store_(store), script_(std::move(script)) {}

  int calls() const { return calls_; }

  std::optional<StoreValue> Get(const std::string& key) override {
    if (script_(calls_++) != CallFault::kNone)
      throw StoreUnavailableError("no response");
    return store_.Get(key);
  }
  SwapResult CompareAndSwap(const std::string& key,
                            uint64_t expected,
                            const std::string& data) override {
    const CallFault fault = script_(calls_++);
    if (fault == CallFault::kDown)
      throw StoreUnavailableError("down");
    if (fault == CallFault::kLostBefore)
      throw StoreOutcomeUnknownError("lost");
    const SwapResult result = store_.CompareAndSwap(key, expected, data);
    if (fault == CallFault::kLostAfter)
      throw StoreOutcomeUnknownError("lost");
    return result;
  }
  std::optional<StoreValue> Watch(const std::string& key,
                                  uint64_t seen,
                                  Duration limit) override {
    return store_.Watch(key, seen, limit);
  }
  std::vector<std::string> List(const std::string& prefix) override {
    return store_.List(prefix);
  }
  LeaseResult AcquireLease(const std::string& key,
                           const std::string& holder,
                           Duration ttl) override {
    return store_.AcquireLease(key, holder, ttl);
  }
  std::vector<PlatformHost> Hosts() override { return store_.Hosts(); }

 private:
  Store& store_;
  Script script_;
  int calls_ = 0;
};

}  // namespace toucanknot

#endif  // TESTS_STORE_SCRIPTED_STORE_H_
