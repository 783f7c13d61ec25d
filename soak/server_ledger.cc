#include "soak/server_ledger.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <unistd.h>

#include <array>
#include <sstream>

#include "include/base/error.h"

namespace toucanknot::soak {
namespace {

constexpr mode_t kMode = 0644;
constexpr size_t kReadBytes = 64 << 10;

}  // namespace

ServerLedger::ServerLedger(const std::string& path)
    : file_(::open(path.c_str(),
                   O_RDWR | O_CREAT | O_APPEND | O_CLOEXEC,
                   kMode)) {
  if (file_ < 0)
    throw Error("cannot open the ledger " + path);
}

ServerLedger::~ServerLedger() {
  ::close(file_);
}

void ServerLedger::Append(const Event& event) {
  const std::string line =
      fmt::format("{} {} {} {:x} {}\n", static_cast<char>(event.kind),
                  event.server, event.time.ms(), event.digest, event.id);
  if (::write(file_, line.data(), line.size()) !=
      static_cast<ssize_t>(line.size())) {
    throw Error("cannot write to the ledger");
  }
}

std::vector<ServerLedger::Event> ServerLedger::ReadNew() {
  std::array<char, kReadBytes> buf{};
  for (ssize_t n = 0;
       (n = ::pread(file_, buf.data(), buf.size(), read_)) > 0;) {
    partial_.append(buf.data(), static_cast<size_t>(n));
    read_ += n;
  }
  std::vector<Event> events;
  size_t begin = 0;
  for (size_t end = 0; (end = partial_.find('\n', begin)) != std::string::npos;
       begin = end + 1) {
    std::istringstream in(partial_.substr(begin, end - begin));
    char kind = 0;
    int64_t ms = 0;
    Event event;
    in >> kind >> event.server >> ms >> std::hex >> event.digest >> event.id;
    event.kind = static_cast<EventKind>(kind);
    event.time = Instant(ms);
    events.push_back(std::move(event));
  }
  partial_.erase(0, begin);
  return events;
}

}  // namespace toucanknot::soak
