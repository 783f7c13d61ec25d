#include "src/daemon/admin_handler.h"

#include <openssl/crypto.h>

#include <utility>

namespace toucanknot {

AdminHandler::AdminHandler(std::string token, Sources sources)
    : token_(std::move(token)), sources_(std::move(sources)) {}

boost::asio::awaitable<HttpResponse> AdminHandler::Handle(HttpRequest request) {
  if (TargetPath(request.target) == "/healthz")
    co_return TextResponse(200, "alive");
  if (!Authorized(request)) {
    HttpResponse response = TextResponse(401, "a bearer token is required");
    response.fields.Add("WWW-Authenticate", "Bearer");
    co_return response;
  }
  co_return Route(request);
}

bool AdminHandler::Authorized(const HttpRequest& request) const {
  if (token_.empty())
    return true;
  const std::string expected = "Bearer " + token_;
  const std::string_view given = request.fields.Get("Authorization");
  return given.size() == expected.size() &&
         CRYPTO_memcmp(given.data(), expected.data(), given.size()) == 0;
}

HttpResponse AdminHandler::Route(const HttpRequest& request) const {
  const std::string_view path = TargetPath(request.target);
  if (path == "/metrics")
    return TextResponse(200, sources_.metrics());
  if (path == "/status")
    return JsonResponse(200, sources_.status());
  if (path == "/readyz") {
    const std::string why = sources_.not_ready();
    return why.empty() ? TextResponse(200, "ready") : TextResponse(503, why);
  }
  if (path == "/v1/config") {
    std::string json = sources_.config();
    if (json.empty())
      return TextResponse(404, "no configuration is active yet");
    return JsonResponse(200, std::move(json));
  }
  if (path == "/v1/explain") {
    const std::string service = QueryValue(request.target, "service");
    std::string json = sources_.explain(service);
    if (json.empty())
      return TextResponse(404, "there is no service \"" + service + "\"");
    return JsonResponse(200, std::move(json));
  }
  return TextResponse(404,
                      "use /metrics, /healthz, /readyz, /status, /v1/config "
                      "or /v1/explain?service=NAME");
}

}  // namespace toucanknot
