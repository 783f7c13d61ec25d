#ifndef SRC_HTTP_BEAST_MESSAGES_H_
#define SRC_HTTP_BEAST_MESSAGES_H_

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include "src/http/http_message.h"

namespace toucanknot {

// Whole messages as Beast has them, from and to the project's own. Slow to
// compile: for .cc files only.
using BeastRequest =
    boost::beast::http::request<boost::beast::http::string_body>;
using BeastResponse =
    boost::beast::http::response<boost::beast::http::string_body>;

// `version` is 10 or 11, that of the request.
BeastResponse ToBeast(HttpResponse&& response, unsigned version);
HttpResponse FromBeast(BeastResponse&& in);

// States the length of the body where the method or the body calls for it.
BeastRequest ToBeast(HttpRequest&& request);
HttpRequest FromBeast(BeastRequest&& in);

}  // namespace toucanknot

#endif  // SRC_HTTP_BEAST_MESSAGES_H_
