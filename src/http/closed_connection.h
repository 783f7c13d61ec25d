#ifndef SRC_HTTP_CLOSED_CONNECTION_H_
#define SRC_HTTP_CLOSED_CONNECTION_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "include/base/enum_names.h"

namespace toucanknot {

// Why a connection was closed.
enum class CloseReason {
  kClientClosed,
  // The client has acknowledged everything and sends nothing more.
  kDelivered,
  kIdle,
  // The client acknowledged nothing, or read no response, for too long.
  kNoProgress,
  // For another connection: for want of a descriptor, or of memory.
  kGaveWay,
  kNoMemory,
  // The end of the process.
  kEnded,
};

inline constexpr size_t kCloseReasons = 7;
inline constexpr EnumNames<CloseReason, kCloseReasons> kCloseReasonNames{
    {"client-closed", "delivered", "idle", "no-progress", "gave-way",
     "no-memory", "ended"}};

// A connection that is being closed.
struct ClosedConnection {
  CloseReason reason = CloseReason::kClientClosed;
  std::string remote_ip;
  // Bytes of responses that the client has not acknowledged; empty if it is not
  // known.
  std::optional<int64_t> undelivered;
  // Requests without a response, or whose response was not written whole.
  size_t unanswered = 0;
};

}  // namespace toucanknot

#endif  // SRC_HTTP_CLOSED_CONNECTION_H_
