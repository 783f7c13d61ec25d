#ifndef SRC_DAEMON_ADMIN_HANDLER_H_
#define SRC_DAEMON_ADMIN_HANDLER_H_

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <string>

#include "src/http/http_message.h"

namespace toucanknot {

// What operators and their tools ask a host: /metrics, /healthz, /readyz,
// /status, /v1/config, /v1/explain.
class AdminHandler {
 public:
  struct Sources {
    // Prometheus text.
    std::function<std::string()> metrics;
    // JSON.
    std::function<std::string()> status;
    // JSON; empty when there is no such service.
    std::function<std::string(const std::string& service)> explain;
    // The configuration in force as WriteConfigCandidate() writes it; empty
    // when none is.
    std::function<std::string()> config;
    // Empty when the host serves, else why it does not.
    std::function<std::string()> not_ready;
  };

  // `token`, when set, must come with every request but /healthz.
  AdminHandler(std::string token, Sources sources);

  boost::asio::awaitable<HttpResponse> Handle(HttpRequest request);

 private:
  bool Authorized(const HttpRequest& request) const;
  HttpResponse Answer(const HttpRequest& request) const;

  const std::string token_;
  const Sources sources_;
};

}  // namespace toucanknot

#endif  // SRC_DAEMON_ADMIN_HANDLER_H_
