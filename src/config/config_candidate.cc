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

FleetConfigPtr CheckConfigCandidate(const ConfigCandidate& candidate) {
  const std::string source = "version " + std::to_string(candidate.version);
  const std::string digest = DigestOf(candidate.text);
  if (digest != candidate.digest) {
    throw InvalidConfigError(
        source, {{"(whole text)", "digest " + digest, candidate.digest}});
  }
  // Another release may serialize the same configuration differently, so the
  // digest is that of the received text.
  auto config =
      std::make_shared<FleetConfig>(ReadFleetConfig(candidate.text, source));
  config->version = candidate.version;
  config->digest = candidate.digest;
  return config;
}

std::string WriteConfigCandidate(const ConfigCandidate& candidate) {
  boost::json::array parts(candidate.client_parts.begin(),
                           candidate.client_parts.end());
  return WriteJson(boost::json::object{{"version", candidate.version},
                                       {"digest", candidate.digest},
                                       {"client_parts", std::move(parts)},
                                       {"config", candidate.text}});
}

ConfigCandidate ReadConfigCandidate(std::string_view text,
                                    const std::string& source) {
  const boost::json::value value = ParseJson(text, source);
  std::vector<Problem> problems;
  ObjectReader reader("", value, problems);
  ConfigCandidate candidate;
  candidate.version = static_cast<uint64_t>(
      reader.Integer("version", 1, std::numeric_limits<int64_t>::max()));
  candidate.digest = reader.Text("digest");
  candidate.client_parts = reader.Texts("client_parts");
  candidate.text = reader.Text("config");
  if (!problems.empty())
    throw InvalidConfigError(source, std::move(problems));
  return candidate;
}

}  // namespace toucanknot
