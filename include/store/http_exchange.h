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

// An HTTP request to the platform or to a host's admin listener.
struct HttpClientRequest {
  std::string method = "GET";
  std::string target;
  std::vector<HttpField> fields;
  std::string body;
};

// The last stage that a request reached.
enum class HttpClientStage {
  // No byte of the request left this process.
  kNotSent,
  // The server may have processed the request; no complete response was
  // received.
  kSent,
  // A complete response was received.
  kCompleted,
};

inline constexpr EnumNames<HttpClientStage, 3> kHttpClientStageNames{
    {"not sent", "sent", "answered"}};

struct HttpClientResult {
  HttpClientStage stage = HttpClientStage::kNotSent;
  int status = 0;
  std::vector<HttpField> fields;
  std::string body;
  // Why there is no response; empty when there is one.
  std::string error;

  // The value of the header field `name`, compared without regard to case;
  // empty when there is none.
  std::string Field(const std::string& name) const;
};

// Sends `request` to `to` and waits at most `limit` for the complete response,
// of at most 16 MiB. Opens a new connection for each request, because a reused
// one may be dead without notice. Reports network errors in the result and does
// not throw for them.
HttpClientResult Exchange(const Endpoint& to,
                          const HttpClientRequest& request,
                          Duration limit);

}  // namespace toucanknot

#endif  // INCLUDE_STORE_HTTP_EXCHANGE_H_
