#ifndef INCLUDE_PEER_FLEET_KEYS_H_
#define INCLUDE_PEER_FLEET_KEYS_H_

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace toucanknot {

// A secret that all hosts of a fleet share, with the number that frames name
// it by.
struct FleetKey {
  uint8_t id = 0;
  std::string secret;
};

// The shortest secret that is accepted, in bytes.
inline constexpr size_t kMinSecretBytes = 16;

// Length of a message authentication code on the wire, in bytes.
inline constexpr size_t kMacBytes = 16;
using Mac = std::array<uint8_t, kMacBytes>;

// The keys in use: frames are sealed with the active one and accepted under
// both. A key change without a stop: give every host the new key as the second
// one, then make it the active one host by host, then drop the old one.
class FleetKeys {
 public:
  // Throws Error when a secret is too short or both keys have the same id.
  explicit FleetKeys(FleetKey active,
                     std::optional<FleetKey> accepted = std::nullopt);

  uint8_t active_id() const { return active_.id; }

  // HMAC-SHA256 of `text` under the active key, cut to kMacBytes.
  Mac Sign(std::string_view text) const;
  // Whether `mac` is that of `text` under the key `id`; false when no such key
  // is accepted. Takes the same time wherever the first difference is.
  bool Verify(uint8_t id, std::string_view text, std::string_view mac) const;

 private:
  FleetKey active_;
  std::optional<FleetKey> accepted_;
};

}  // namespace toucanknot

#endif  // INCLUDE_PEER_FLEET_KEYS_H_
