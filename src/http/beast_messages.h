#ifndef SRC_HTTP_BEAST_MESSAGES_H_
#define SRC_HTTP_BEAST_MESSAGES_H_

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include "src/http/http_message.h"

namespace toucanknot {

// Conversion between Beast's message types and the project's own. Include this
// only in .cc files, because it is slow to compile.
using BeastRequest =
    boost::beast::http::request<boost::beast::http::string_body>;
using BeastResponse =
    boost::beast::http::response<boost::beast::http::string_body>;

// `version` is the HTTP version of the request: 10 or 11.
BeastResponse ToBeast(HttpResponse&& response, unsigned version);
HttpResponse FromBeast(BeastResponse&& in);

// Whether a request with a body of `body_bytes` carries Content-Length: if
// there is a body or the method normally has one.
bool NeedsLength(const HttpRequest& request, size_t body_bytes);
HttpRequest FromBeast(BeastRequest&& in);
// A copy of the request without its body.
HttpRequest HeadFromBeast(const BeastRequest& in);

}  // namespace toucanknot

#endif  // SRC_HTTP_BEAST_MESSAGES_H_
