#include "src/entry/bind_retry.h"

#include <boost/asio/error.hpp>
#include <boost/system/system_error.hpp>
#include <chrono>
#include <string>
#include <thread>

#include "include/base/error.h"
#include "src/entry/decision_log.h"

namespace toucanknot {
namespace {

constexpr std::chrono::milliseconds kRetryInterval{50};

}  // namespace

Endpoint BindWhenFree(std::string_view what,
                      const Endpoint& address,
                      Duration patience,
                      const std::function<Endpoint()>& bind) {
  const Instant until = SteadyNow() + patience;
  for (int tries = 0;; ++tries) {
    try {
      return bind();
    } catch (const boost::system::system_error& e) {
      const bool in_use = e.code() == boost::asio::error::address_in_use;
      if (!in_use || SteadyNow() >= until) {
        throw Error("cannot bind the address for " + std::string(what) + ", " +
                    address.ToString() + ": " + e.code().message());
      }
      if (tries == 0) {
        LogChange("address_in_use",
                  {{"for", what}, {"address", address.ToString()}});
      }
    }
    std::this_thread::sleep_for(kRetryInterval);
  }
}

}  // namespace toucanknot
