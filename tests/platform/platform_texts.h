#ifndef TESTS_PLATFORM_PLATFORM_TEXTS_H_
#define TESTS_PLATFORM_PLATFORM_TEXTS_H_

#include <string>

#include "include/placing/server_entry.h"
#include "include/placing/server_notice.h"
#include "include/routing/route_config.h"
#include "src/http/http_message.h"

namespace toucanknot::platform {

// Encode the values that operators and backend servers write into the
// platform's store, for stand-ins: the inverse of DecodeConfig() and
// DecodeServer().
std::string EncodeConfig(const RouteConfig& config);
std::string EncodeServer(const ServerEntry& entry);
// Adds the fields of a response in which a server states `notice`.
void AddNotice(const ServerNotice& notice, HttpFields& fields);

// The keys of these values.
std::string ConfigKey();
std::string EvacuationKey(const ZoneId& zone);
std::string ServerKeyInStore(const ServerId& id);

}  // namespace toucanknot::platform

#endif  // TESTS_PLATFORM_PLATFORM_TEXTS_H_
