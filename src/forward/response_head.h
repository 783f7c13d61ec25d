#ifndef SRC_FORWARD_RESPONSE_HEAD_H_
#define SRC_FORWARD_RESPONSE_HEAD_H_

#include <boost/beast/http/fields.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace toucanknot {

// Checks the head of a response for bytes of two messages. A peer may send a
// late copy of an earlier response and break it off within its head; the
// parser then takes the rest of that head and the start of the next response
// for one head, with the status of the first and the id of the second.
//
// Returns what is wrong, or an empty string. `reason` is the reason phrase. A
// field must not occur twice if it is among `single_fields` or one of those
// that HTTP allows only once, and neither the reason nor a value may contain a
// status line.
std::string FindHeadProblem(std::string_view reason,
                            const boost::beast::http::fields& fields,
                            const std::vector<std::string>& single_fields);

// Checks that a status belongs to a response to a request that asked for no
// other protocol: an interim one (1xx), but not 101 (Switching Protocols), or
// one from 200 to 599 (RFC 9110, 15). Returns what is wrong, or an empty
// string.
std::string FindStatusProblem(unsigned status);

// Checks that the parser knows where the body ends: it takes a body in a
// transfer coding other than "chunked" for one without a length, or leaves the
// coding in place. `version` is 10 or 11. Returns what is wrong, or an empty
// string.
std::string FindFramingProblem(unsigned version,
                               const boost::beast::http::fields& fields);

// Whether a status line begins in `body`, which `after` follows on the
// connection: the response broke off, and its length covers a part of another
// one.
bool RunsIntoNextResponse(std::string_view body, std::string_view after);

}  // namespace toucanknot

#endif  // SRC_FORWARD_RESPONSE_HEAD_H_
