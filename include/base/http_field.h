#ifndef INCLUDE_BASE_HTTP_FIELD_H_
#define INCLUDE_BASE_HTTP_FIELD_H_

#include <string>

namespace toucanknot {

// One header field of an HTTP message.
struct HttpField {
  std::string name;
  std::string value;
};

}  // namespace toucanknot

#endif  // INCLUDE_BASE_HTTP_FIELD_H_
