#ifndef SRC_HTTP_HTTP_MESSAGE_H_
#define SRC_HTTP_HTTP_MESSAGE_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "include/base/clock.h"
#include "include/base/http_field.h"
#include "include/memory/memory_account.h"

namespace toucanknot {

// The header fields of a message in the order received. Names are compared
// without regard to case.
class HttpFields {
 public:
  // The first value of `name`; empty when it is absent.
  std::string_view Get(std::string_view name) const;
  bool Has(std::string_view name) const;
  void Add(std::string name, std::string value);
  // Makes room for `n` fields, so that adding them leaves no spare capacity.
  void Reserve(size_t n) { fields_.reserve(n); }
  // Replaces all fields called `name` with a single one.
  void Set(std::string_view name, std::string value);
  void Remove(std::string_view name);
  void RemoveIf(const std::function<bool(const HttpField&)>& predicate);

  const std::vector<HttpField>& all() const { return fields_; }

 private:
  std::vector<HttpField> fields_;
};

// Notifies the code that handles a request when the caller closes the
// connection. Used only on the connection's worker.
class CallerWatch {
 public:
  bool left() const { return left_; }
  // Calls `hook` once when the caller leaves, or immediately if it already
  // left.
  void OnLeft(std::function<void()> hook) {
    hook_ = std::move(hook);
    if (left_)
      Fire();
  }
  // Removes the hook.
  void Clear() { hook_ = nullptr; }
  // Called when the caller has closed the connection.
  void Leave() {
    left_ = true;
    Fire();
  }

 private:
  void Fire() {
    if (const auto hook = std::exchange(hook_, nullptr))
      hook();
  }

  bool left_ = false;
  std::function<void()> hook_;
};

// A complete request.
struct HttpRequest {
  std::string method;
  // Path and query as received.
  std::string target;
  HttpFields fields;
  std::string body;
  // The sender's IP address.
  std::string remote_ip;
  // When the connection was accepted.
  Instant connected_at;
  // When the first byte of the request had arrived at the host.
  Instant began_at;
  // Null for a request that did not arrive over a connection.
  std::shared_ptr<CallerWatch> caller;
};

// A complete response.
struct HttpResponse {
  int status = 200;
  HttpFields fields;
  std::string body;
  // What is reserved for the message, if that is counted. Released with the
  // last copy.
  std::shared_ptr<MemoryReservation> memory;
};

// Upper bound of the memory that the parsed fields of a message take, given
// their number and the bytes of their names and values: the parser's own copy,
// ours, and the spare capacity of growing lists.
int64_t FieldMemory(size_t fields, size_t bytes);

// A response with a text body that ends in a line feed.
HttpResponse TextResponse(int status, std::string text);
// A response with a JSON body.
HttpResponse JsonResponse(int status, std::string json);

// Removes the hop-by-hop fields (RFC 9110, section 7.6.1): the well-known ones
// and those listed in Connection. Takes time linear in the bytes of the fields.
void RemoveHopByHop(HttpFields& fields);

// The part of `target` before '?'.
std::string_view TargetPath(std::string_view target);
// The percent-decoded value of `key` in the query of `target`; empty when it
// is absent.
std::string QueryValue(std::string_view target, std::string_view key);

}  // namespace toucanknot

#endif  // SRC_HTTP_HTTP_MESSAGE_H_
