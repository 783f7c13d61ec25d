#ifndef SRC_DAEMON_ADMIN_HANDLER_H_
#define SRC_DAEMON_ADMIN_HANDLER_H_

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <string>

#include "src/http/http_message.h"

namespace toucanknot {

// Serves the HTTP endpoints for operators and their tools: /metrics, /healthz,
// /readyz, /status, /v1/config, /v1/explain.
class AdminHandler {
 public:
  struct Sources {
    // Prometheus text.
    std::function<std::string()> metrics;
    // The JSON of /status.
    std::function<std::string()> status;
    // The JSON of /v1/explain; empty when the service does not exist.
    std::function<std::string(const std::string& service)> explain;
    // The active configuration as WriteConfigCandidate() writes it; empty
    // when none is.
    std::function<std::string()> config;
    // Empty when the host serves, otherwise the reason why it does not.
    std::function<std::string()> not_ready;
  };

  // `token`, if not empty, is the bearer token required for every path except
  // /healthz.
  AdminHandler(std::string token, Sources sources);

  boost::asio::awaitable<HttpResponse> Handle(HttpRequest request);

 private:
  bool Authorized(const HttpRequest& request) const;
  HttpResponse Route(const HttpRequest& request) const;

  const std::string token_;
  const Sources sources_;
};

}  // namespace toucanknot

#endif  // SRC_DAEMON_ADMIN_HANDLER_H_
