#include "include/peer/fleet_keys.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>
#include <utility>

#include "include/base/error.h"

namespace toucanknot {
namespace {

Mac ComputeMac(const FleetKey& key, std::string_view text) {
  std::array<uint8_t, EVP_MAX_MD_SIZE> full;
  unsigned int n = 0;
  if (!HMAC(EVP_sha256(), key.secret.data(),
            static_cast<int>(key.secret.size()),
            reinterpret_cast<const uint8_t*>(text.data()), text.size(),
            full.data(), &n)) {
    throw Error("computing the message authentication code failed");
  }
  Mac mac;
  std::copy_n(full.begin(), mac.size(), mac.begin());
  return mac;
}

void CheckKey(const FleetKey& key) {
  if (key.secret.size() < kMinSecretBytes)
    throw Error("a fleet key must have at least 16 bytes");
}

}  // namespace

FleetKeys::FleetKeys(FleetKey active, std::optional<FleetKey> accepted)
    : active_(std::move(active)), accepted_(std::move(accepted)) {
  CheckKey(active_);
  if (!accepted_)
    return;
  CheckKey(*accepted_);
  if (accepted_->id == active_.id)
    throw Error("fleet keys must have different ids");
}

Mac FleetKeys::Sign(std::string_view text) const {
  return ComputeMac(active_, text);
}

bool FleetKeys::Verify(uint8_t id,
                       std::string_view text,
                       std::string_view mac) const {
  const FleetKey* key = nullptr;
  if (id == active_.id)
    key = &active_;
  else if (accepted_ && id == accepted_->id)
    key = &*accepted_;
  if (!key || mac.size() != kMacBytes)
    return false;
  const Mac expected = ComputeMac(*key, text);
  return CRYPTO_memcmp(expected.data(), mac.data(), kMacBytes) == 0;
}

}  // namespace toucanknot
