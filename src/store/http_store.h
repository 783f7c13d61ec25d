#ifndef SRC_STORE_HTTP_STORE_H_
#define SRC_STORE_HTTP_STORE_H_

#include <optional>
#include <string>
#include <vector>

#include "include/base/endpoint.h"
#include "include/store/http_exchange.h"
#include "include/store/store.h"

namespace toucanknot {

// Client of the platform's store over HTTP. Each call uses a new connection
// and returns within `limit` (a watch within `limit` plus its own limit)
// whatever the network does. Thread-safe.
//
// A write may have taken effect when its request was sent and no complete
// response was received, or a response with a 5xx status other than 503: it
// throws StoreOutcomeUnknownError. 503 and all other error statuses mean that
// it did not take effect.
class HttpStore : public Store {
 public:
  HttpStore(Endpoint address, Duration limit);

  std::optional<StoreValue> Get(const std::string& key) override;
  SwapResult CompareAndSwap(const std::string& key,
                            uint64_t expected,
                            const std::string& data) override;
  std::optional<StoreValue> Watch(const std::string& key,
                                  uint64_t seen,
                                  Duration limit) override;
  std::vector<std::string> List(const std::string& prefix) override;
  LeaseResult AcquireLease(const std::string& key,
                           const std::string& holder,
                           Duration ttl) override;
  std::vector<PlatformHost> Hosts() override;

 private:
  HttpClientResult Read(const std::string& target, Duration limit) const;
  HttpClientResult Write(const HttpClientRequest& request) const;
  StoreValue ValueOf(HttpClientResult result) const;
  uint64_t RevisionOf(const HttpClientResult& result) const;

  const Endpoint address_;
  const Duration limit_;
};

}  // namespace toucanknot

#endif  // SRC_STORE_HTTP_STORE_H_
