#ifndef INCLUDE_PEER_FLEET_KEYS_H_
#define INCLUDE_PEER_FLEET_KEYS_H_

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace toucanknot {

// A secret shared by all hosts of a fleet, and the id by which frames refer to
// it.
struct FleetKey {
  uint8_t id = 0;
  std::string secret;
};

// Minimum length of a secret, in bytes.
inline constexpr size_t kMinSecretBytes = 16;

// Length of a message authentication code on the wire, in bytes.
inline constexpr size_t kMacBytes = 16;
using Mac = std::array<uint8_t, kMacBytes>;

// The keys in use: frames are signed with the active key and accepted under
// both. To change the key without downtime, add the new key as the second one
// on every host, then make it the active one host by host, then remove the old
// one.
class FleetKeys {
 public:
  // Throws Error when a secret is too short or both keys have the same id.
  explicit FleetKeys(FleetKey active,
                     std::optional<FleetKey> accepted = std::nullopt);

  uint8_t active_id() const { return active_.id; }

  // HMAC-SHA256 of `text` under the active key, truncated to kMacBytes.
  Mac Sign(std::string_view text) const;
  // Whether `mac` is the MAC of `text` under the key `id`; false when there is
  // no such key. Compares in constant time.
  bool Verify(uint8_t id, std::string_view text, std::string_view mac) const;

 private:
  FleetKey active_;
  std::optional<FleetKey> accepted_;
};

}  // namespace toucanknot

#endif  // INCLUDE_PEER_FLEET_KEYS_H_
