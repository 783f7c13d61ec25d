#include "include/store/config_reader.h"

#include "include/base/digest.h"

namespace toucanknot {

RootSnapshot ReadRootSnapshot(Store& store) {
  const auto value = store.Get(kRootKey);
  if (!value)
    return {};
  return {ReadRoot(value->data), value->revision};
}

ConfigCandidate FetchConfigCandidate(Store& store,
                                     const RootValue& root,
                                     const TextParts& known) {
  ConfigCandidate candidate{root.version, root.digest, root.config_text,
                            root.client_parts};
  if (!root.config_parts.empty()) {
    candidate.text = JoinParts(
        root.config_parts, known,
        [&](const std::string& digest) { return ReadPart(store, digest); });
  }
  return candidate;
}

FleetConfigPtr ReadConfig(Store& store) {
  const RootSnapshot snapshot = ReadRootSnapshot(store);
  if (!snapshot.exists())
    return nullptr;
  return CheckConfigCandidate(FetchConfigCandidate(store, snapshot.root));
}

std::string ReadPart(Store& store, const std::string& digest) {
  auto value = store.Get(kPartPrefix + digest);
  if (!value)
    throw MalformedRootError("part not found in the store: " + digest);
  if (DigestOf(value->data) != digest)
    throw MalformedRootError("part " + digest + " does not match its digest");
  return std::move(value->data);
}

std::string WritePart(Store& store, const std::string& data) {
  std::string digest = DigestOf(data);
  const std::string key = kPartPrefix + digest;
  try {
    store.CompareAndSwap(key, 0, data);
  } catch (const StoreOutcomeUnknownError&) {
    if (!store.Get(key))
      throw StoreUnavailableError("a part could not be written");
  }
  return digest;
}

}  // namespace toucanknot
