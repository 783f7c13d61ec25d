#ifndef INCLUDE_STORE_HTTP_EXCHANGE_H_
#define INCLUDE_STORE_HTTP_EXCHANGE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "include/base/clock.h"
#include "include/base/endpoint.h"
#include "include/base/enum_names.h"
#include "include/base/http_field.h"

namespace toucanknot {

// A request to the platform or to a host's admin listener.
struct HttpClientRequest {
  std::string method = "GET";
  std::string target;
  std::vector<HttpField> fields;
  std::string body;
};

// How far an exchange got.
enum class HttpClientStage {
  // No byte of the request left this process.
  kNotSent,
  // The other side may have acted on the request; no whole answer came.
  kSent,
  // A whole answer came.
  kAnswered,
};

inline constexpr EnumNames<HttpClientStage, 3> kHttpClientStageNames{
    {"not sent", "sent", "answered"}};

struct HttpClientResult {
  HttpClientStage stage = HttpClientStage::kNotSent;
  int status = 0;
  std::vector<HttpField> fields;
  std::string body;
  // Why there is no answer.
  std::string fault;

  // The value of the field `name` in any case; empty when there is none.
  std::string Field(const std::string& name) const;
};

// Sends `call` to `to` over a connection of its own, so that no connection can
// have gone silent unseen, and waits at most `limit` for the whole answer, of
// at most 16 MiB. Never throws for what happens on the network.
HttpClientResult Exchange(const Endpoint& to,
                          const HttpClientRequest& call,
                          Duration limit);

}  // namespace toucanknot

#endif  // INCLUDE_STORE_HTTP_EXCHANGE_H_
