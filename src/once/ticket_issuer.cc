#include "include/once/ticket_issuer.h"

#include <openssl/core_names.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/params.h>

#include <algorithm>
#include <string>
#include <utility>

#include "include/base/error.h"

namespace toucanknot {
namespace {

constexpr size_t kSha256Bytes = 32;

struct FreeMac {
  void operator()(EVP_MAC* mac) const { EVP_MAC_free(mac); }
  void operator()(EVP_MAC_CTX* ctx) const { EVP_MAC_CTX_free(ctx); }
};

}  // namespace

// HMAC-SHA256 with one key, whose key schedule is computed once.
class TicketIssuer::Mac {
 public:
  explicit Mac(const TicketKey& key)
      : mac_(EVP_MAC_fetch(nullptr, "HMAC", nullptr)),
        ctx_(mac_ ? EVP_MAC_CTX_new(mac_.get()) : nullptr) {
    std::string digest = "SHA256";
    const OSSL_PARAM params[] = {OSSL_PARAM_construct_utf8_string(
                                     OSSL_MAC_PARAM_DIGEST, digest.data(), 0),
                                 OSSL_PARAM_construct_end()};
    if (!ctx_ || !EVP_MAC_init(ctx_.get(), key.data(), key.size(), params))
      throw Error("HMAC-SHA256 is not available");
  }

  TicketMac Compute(std::string_view text) {
    std::array<uint8_t, kSha256Bytes> full;
    size_t n = 0;
    const auto* data = reinterpret_cast<const uint8_t*>(text.data());
    if (!EVP_MAC_init(ctx_.get(), nullptr, 0, nullptr) ||
        !EVP_MAC_update(ctx_.get(), data, text.size()) ||
        !EVP_MAC_final(ctx_.get(), full.data(), &n, full.size())) {
      throw Error("HMAC-SHA256 failed");
    }
    TicketMac mac;
    std::copy_n(full.begin(), mac.size(), mac.begin());
    return mac;
  }

 private:
  std::unique_ptr<EVP_MAC, FreeMac> mac_;
  std::unique_ptr<EVP_MAC_CTX, FreeMac> ctx_;
};

TicketIssuer::TicketIssuer(HostIncarnation self,
                           const TicketKey& key,
                           Instant started)
    : self_(std::move(self)),
      started_(started),
      mac_(std::make_unique<Mac>(key)) {
  if (!Ticket::IsHostName(self_.host.str()))
    throw Error("host id '" + self_.host.str() +
                "' holds more than letters, digits, '.', '_' and '-'");
}

TicketIssuer::~TicketIssuer() = default;
TicketIssuer::TicketIssuer(TicketIssuer&&) noexcept = default;
TicketIssuer& TicketIssuer::operator=(TicketIssuer&&) noexcept = default;

Ticket TicketIssuer::Issue(Duration lifetime,
                           Instant now,
                           std::optional<HostIncarnation> witness) {
  Ticket ticket;
  ticket.owner = self_;
  ticket.sequence = next_sequence_++;
  ticket.expires = now + lifetime - started_;
  ticket.witness = std::move(witness);
  ticket.mac = mac_->Compute(ticket.SignedText());
  return ticket;
}

TicketCheck TicketIssuer::Check(const Ticket& ticket, Instant now) const {
  if (ticket.owner.host != self_.host)
    return TicketCheck::kOtherHost;
  if (ticket.owner.incarnation != self_.incarnation)
    return TicketCheck::kOtherIncarnation;
  const TicketMac mac = mac_->Compute(ticket.SignedText());
  if (CRYPTO_memcmp(mac.data(), ticket.mac.data(), mac.size()) != 0)
    return TicketCheck::kForged;
  return ExpiryOf(ticket) <= now ? TicketCheck::kExpired : TicketCheck::kValid;
}

Instant TicketIssuer::ExpiryOf(const Ticket& ticket) const {
  return started_ + ticket.expires;
}

}  // namespace toucanknot
