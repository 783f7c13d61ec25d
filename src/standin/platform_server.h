#ifndef SRC_STANDIN_PLATFORM_SERVER_H_
#define SRC_STANDIN_PLATFORM_SERVER_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/thread_pool.hpp>
#include <memory>

#include "include/base/endpoint.h"
#include "src/http/http_server.h"
#include "src/standin/memory_store.h"

namespace toucanknot {

// Serves a MemoryStore with the platform's HTTP protocol:
//   GET  /v1/kv/KEY [?watch=REVISION&timeout_ms=T]   200, 304, 404
//   PUT  /v1/kv/KEY with If-Revision: N              200, 412, 413
//   GET  /v1/keys?prefix=P                           JSON array of keys
//   POST /v1/leases {"key","holder","ttl_ms"}        200, 409
//   GET  /v1/hosts                                   JSON array of hosts
// Values are sent as bodies, revisions in the header Revision. 503 means that
// the call had no effect, 504 that its outcome is unknown.
class PlatformServer {
 public:
  PlatformServer(WorkerPool& workers, std::shared_ptr<MemoryStore> store);
  ~PlatformServer();

  Endpoint Listen(const Endpoint& endpoint);
  MemoryStore& store() { return *store_; }

 private:
  boost::asio::awaitable<HttpResponse> Handle(HttpRequest request);

  const std::shared_ptr<MemoryStore> store_;
  // Waiting calls block a thread each.
  boost::asio::thread_pool call_threads_;
  HttpServer server_;
};

}  // namespace toucanknot

#endif  // SRC_STANDIN_PLATFORM_SERVER_H_
