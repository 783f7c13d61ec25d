#include "include/config/config_candidate.h"

#include <boost/json/value.hpp>
#include <limits>
#include <memory>

#include "include/base/digest.h"
#include "include/config/config_text.h"
#include "include/config/json_text.h"
#include "include/config/object_reader.h"

namespace toucanknot {

ConfigCandidate MakeConfigCandidate(const FleetConfig& config,
                                    uint64_t version) {
  std::string text = WriteFleetConfig(config);
  std::string digest = DigestOf(text);
  return {version, std::move(digest), std::move(text), {}};
}

FleetConfigPtr CheckConfigCandidate(const ConfigCandidate& offer) {
  const std::string source = "version " + std::to_string(offer.version);
  const std::string digest = DigestOf(offer.text);
  if (digest != offer.digest) {
    throw InvalidConfigError(
        source, {{"(whole text)", "digest " + digest, offer.digest}});
  }
  // Another release may serialize the same configuration differently, so the
  // digest is that of the received text.
  auto config =
      std::make_shared<FleetConfig>(ReadFleetConfig(offer.text, source));
  config->version = offer.version;
  config->digest = offer.digest;
  return config;
}

std::string WriteConfigCandidate(const ConfigCandidate& offer) {
  boost::json::array parts(offer.client_parts.begin(),
                           offer.client_parts.end());
  return WriteJson(boost::json::object{{"version", offer.version},
                                       {"digest", offer.digest},
                                       {"client_parts", std::move(parts)},
                                       {"config", offer.text}});
}

ConfigCandidate ReadConfigCandidate(std::string_view text,
                                    const std::string& source) {
  const boost::json::value value = ParseJson(text, source);
  std::vector<Problem> problems;
  ObjectReader reader("", value, problems);
  ConfigCandidate offer;
  offer.version = static_cast<uint64_t>(
      reader.Integer("version", 1, std::numeric_limits<int64_t>::max()));
  offer.digest = reader.Text("digest");
  offer.client_parts = reader.Texts("client_parts");
  offer.text = reader.Text("config");
  if (!problems.empty())
    throw InvalidConfigError(source, std::move(problems));
  return offer;
}

}  // namespace toucanknot
