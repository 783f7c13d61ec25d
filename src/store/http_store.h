#ifndef SRC_STORE_HTTP_STORE_H_
#define SRC_STORE_HTTP_STORE_H_

#include <optional>
#include <string>
#include <vector>

#include "include/base/endpoint.h"
#include "include/store/http_exchange.h"
#include "include/store/store.h"

namespace toucanknot {

// The platform's store over HTTP. Each call has a connection of its own and
// ends within the limit given (a watch within its own limit on top), whatever
// the network does. May be called from several threads at once.
//
// A write whose request left this process and that got no whole answer, or an
// answer 5xx other than 503, may have taken effect: StoreOutcomeUnknownError.
// 503 and all other refusals are the store's word that it did not.
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
  HttpClientResult Write(const HttpClientRequest& call) const;
  StoreValue ValueOf(HttpClientResult outcome) const;
  uint64_t RevisionOf(const HttpClientResult& outcome) const;

  const Endpoint address_;
  const Duration limit_;
};

}  // namespace toucanknot

#endif  // SRC_STORE_HTTP_STORE_H_
