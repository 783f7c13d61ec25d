#ifndef INCLUDE_BASE_DIGEST_H_
#define INCLUDE_BASE_DIGEST_H_

#include <string>
#include <string_view>

namespace toucanknot {

// The SHA-256 of `data` as 64 hexadecimal digits. Identifies immutable parts
// and is compared to detect different texts.
std::string DigestOf(std::string_view data);

}  // namespace toucanknot

#endif  // INCLUDE_BASE_DIGEST_H_
