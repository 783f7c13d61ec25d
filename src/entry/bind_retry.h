#ifndef SRC_ENTRY_BIND_RETRY_H_
#define SRC_ENTRY_BIND_RETRY_H_

#include <functional>
#include <string_view>

#include "include/base/clock.h"
#include "include/base/endpoint.h"

namespace toucanknot {

// How long a process waits at its start for addresses that are in use: those of
// a process that was killed a moment ago are soon free.
inline constexpr Duration kBindPatience{3'000};

// Returns what `bind` returns. While `bind` throws boost::system::system_error
// because the address is in use, calls it again, for `patience` at most. Then,
// and for any other error, throws Error that names `what` and `address`. Blocks
// the thread.
Endpoint BindWhenFree(std::string_view what,
                      const Endpoint& address,
                      Duration patience,
                      const std::function<Endpoint()>& bind);

}  // namespace toucanknot

#endif  // SRC_ENTRY_BIND_RETRY_H_
