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

namespace toucanknot {

// The fields of a message, in the order in which they came. Names compare
// without regard to case.
class HttpFields {
 public:
  // The first value of `name`; empty when it is absent.
  std::string_view Get(std::string_view name) const;
  bool Has(std::string_view name) const;
  void Add(std::string name, std::string value);
  // Replaces every field called `name` by one.
  void Set(std::string_view name, std::string value);
  void Remove(std::string_view name);

  const std::vector<HttpField>& all() const { return fields_; }

 private:
  std::vector<HttpField> fields_;
};

// Tells whoever works on a request that its caller has closed the connection.
// Used on the connection's worker only.
class CallerWatch {
 public:
  bool left() const { return left_; }
  // `hook` is called once, when the caller leaves; at once if it has left.
  void OnLeft(std::function<void()> hook) {
    hook_ = std::move(hook);
    if (left_)
      Fire();
  }
  // Forgets the hook.
  void Clear() { hook_ = nullptr; }
  // The connection has been closed by the other side.
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

// A whole request.
struct HttpRequest {
  std::string method;
  // Path and query as received.
  std::string target;
  HttpFields fields;
  std::string body;
  // The sender's IP number.
  std::string remote_ip;
  // When its connection was accepted.
  Instant connected_at;
  // When its first byte was read.
  Instant began_at;
  // Null for a request that no connection carries.
  std::shared_ptr<CallerWatch> caller;
};

// A whole response.
struct HttpResponse {
  int status = 200;
  HttpFields fields;
  std::string body;
};

// A response with a text body that ends in a line feed.
HttpResponse TextResponse(int status, std::string text);
// A response with a JSON body.
HttpResponse JsonResponse(int status, std::string json);

// Removes the fields that RFC 9110, section 7.6.1, confines to one connection:
// those that Connection names and the well-known ones.
void RemoveHopByHop(HttpFields& fields);

// The part of `target` before '?'.
std::string_view TargetPath(std::string_view target);
// The percent-decoded value of `key` in the query of `target`; empty when it
// is absent.
std::string QueryValue(std::string_view target, std::string_view key);

}  // namespace toucanknot

#endif  // SRC_HTTP_HTTP_MESSAGE_H_
