#include "include/base/digest.h"

#include <openssl/evp.h>

#include <array>

#include "include/base/error.h"

namespace toucanknot {
namespace {

constexpr char kDigits[] = "0123456789abcdef";

}  // namespace

std::string DigestOf(std::string_view data) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> hash{};
  unsigned int n = 0;
  if (EVP_Digest(data.data(), data.size(), hash.data(), &n, EVP_sha256(),
                 nullptr) != 1)
    throw Error("SHA-256 is not available");
  std::string hex;
  hex.reserve(size_t{2} * n);
  for (unsigned int i = 0; i < n; ++i) {
    hex += kDigits[hash[i] >> 4];
    hex += kDigits[hash[i] & 15];
  }
  return hex;
}

}  // namespace toucanknot
