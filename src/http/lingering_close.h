#ifndef SRC_HTTP_LINGERING_CLOSE_H_
#define SRC_HTTP_LINGERING_CLOSE_H_

#include <cstdint>
#include <optional>

#include "include/base/clock.h"

namespace toucanknot {

// Decides how long a connection stays open after its last response was handed
// to the kernel ("lingering close"). A response is delivered once the client
// has it. If the socket is closed earlier, whatever the client still sends is
// answered with a reset, which discards what it has not read yet.
//
// The connection is closed once the client has acknowledged everything and has
// then been quiet for as long as it took to get there, because it may read the
// rest from its own buffer as slowly; or when it acknowledges nothing any more.
// During a planned stop, whose end bounds the time, the client is left to close
// a connection on which it has acknowledged everything. Does no I/O. Used on
// one thread.
class LingeringClose {
 public:
  struct Limits {
    // A client that acknowledges nothing for this long does not read.
    Duration stall;
    // Longest time from the last acknowledgement to the close.
    Duration total;
  };

  // Bounds of the time for which a client must be quiet.
  static constexpr Duration kMinQuiet{500};
  static constexpr Duration kMaxQuiet{10'000};
  // Bounds of the interval between two checks, which doubles; during a stop,
  // when many connections linger, up to the last one.
  static constexpr Duration kMinInterval{100};
  static constexpr Duration kMaxInterval{200};
  static constexpr Duration kStopInterval{1'000};

  // `write_began_at`: when the first byte of the last response was written.
  LingeringClose(const Limits& limits, Instant write_began_at, Instant now);

  // Whether the connection is to be closed. `unacknowledged` is the number of
  // bytes that the client has not acknowledged, empty if it is not known;
  // `received_at` is when it last sent something.
  bool IsOver(std::optional<int64_t> unacknowledged,
              Instant received_at,
              Instant now,
              bool stopping);
  // Time until the next call of IsOver().
  Duration NextInterval(bool stopping);
  // When everything was acknowledged; Never() while it is not, or not known.
  Instant delivered_at() const {
    return delivered_at_.value_or(Instant::Never());
  }

 private:
  const Limits limits_;
  const Instant write_began_at_;
  Duration interval_ = kMinInterval;
  std::optional<int64_t> unacknowledged_;
  // When the client last acknowledged something.
  Instant progress_at_;
  // When everything was acknowledged.
  std::optional<Instant> delivered_at_;
};

}  // namespace toucanknot

#endif  // SRC_HTTP_LINGERING_CLOSE_H_
