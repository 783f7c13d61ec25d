#include "src/entry/load_exchange.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cmath>
#include <limits>
#include <memory>
#include <utility>

#include "src/entry/store_news_codec.h"
#include "src/http/one_shot.h"
#include "src/peer/gen/peer_types.h"

namespace toucanknot {
namespace {

namespace asio = boost::asio;
using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;
using Protocol = TCompactProtocolT<TMemoryBuffer>;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
// Keeps a sheet within one datagram.
constexpr size_t kMaxRows = 1'000;
// Demands are sent in tenths of a slot; higher values are clamped.
constexpr double kTenthsPerSlot = 10;
constexpr double kMaxDemand = 1e6;
// Limits are sent in thousandths of a request a second; higher values are
// clamped.
constexpr double kThousandths = 1'000;
constexpr double kMaxLimit = 1e9;
constexpr int32_t kNoLimit = -1;
// Ages of reports; higher values are clamped.
constexpr Duration kMaxAge{3'600'000};

int32_t EncodeAge(Duration age) {
  return static_cast<int32_t>(std::clamp(age, Duration(0), kMaxAge).ms());
}

// A host of an earlier version sends no ages.
Duration DecodeAge(const std::vector<int32_t>& ages, size_t i) {
  return std::clamp(Duration(i < ages.size() ? ages[i] : 0), Duration(0),
                    kMaxAge);
}

// Rounds down, so that no host assumes a higher limit than the server's.
int32_t EncodeLimit(std::optional<double> limit) {
  if (!limit)
    return kNoLimit;
  return static_cast<int32_t>(
      std::clamp(*limit * kThousandths, 0.0, kMaxLimit));
}

std::optional<double> DecodeLimit(int32_t thousandths) {
  if (thousandths < 0)
    return std::nullopt;
  return thousandths / kThousandths;
}

void EncodeReports(const std::vector<LoadSheet::RequestReport>& reports,
                   std::vector<int64_t>& fingerprints,
                   std::vector<int32_t>& ages) {
  for (const LoadSheet::RequestReport& it : reports) {
    fingerprints.push_back(static_cast<int64_t>(it.fingerprint));
    ages.push_back(EncodeAge(it.age));
  }
}

std::vector<LoadSheet::RequestReport> DecodeReports(
    const std::vector<int64_t>& fingerprints,
    const std::vector<int32_t>& ages) {
  std::vector<LoadSheet::RequestReport> out;
  for (size_t i = 0; i < fingerprints.size(); ++i) {
    out.push_back({static_cast<uint64_t>(fingerprints[i]), DecodeAge(ages, i)});
  }
  return out;
}

void EncodeUsages(const LoadSheet& sheet, wire::LoadSheet& out) {
  for (const LoadSheet::Usage& it : sheet.usages) {
    out.usage_workspaces.push_back(static_cast<int32_t>(it.workspace));
    out.usage_admitted.push_back(it.admitted);
    out.usage_offered.push_back(it.offered);
  }
  out.__isset.usage_workspaces = true;
  out.__isset.usage_admitted = true;
  out.__isset.usage_offered = true;
  out.__set_usage_covers_ms(EncodeAge(sheet.usage_covers));
  out.__set_usage_sequence(static_cast<int64_t>(sheet.usage_sequence));
}

void DecodeUsages(const wire::LoadSheet& in, LoadSheet& sheet) {
  sheet.usage_sequence = static_cast<uint64_t>(in.usage_sequence);
  sheet.usage_covers =
      std::clamp(Duration(in.usage_covers_ms), Duration(0), kMaxAge);
  for (size_t i = 0; i < in.usage_workspaces.size(); ++i) {
    sheet.usages.push_back({static_cast<uint32_t>(in.usage_workspaces[i]),
                            std::max(in.usage_admitted[i], 0),
                            std::max(in.usage_offered[i], 0)});
  }
}

}  // namespace

std::string EncodeSheet(const LoadSheet& sheet) {
  wire::LoadSheet out;
  out.__set_host(static_cast<int64_t>(sheet.host));
  out.__set_incarnation(static_cast<int64_t>(sheet.incarnation));
  out.__set_sequence(static_cast<int64_t>(sheet.sequence));
  std::vector<int32_t> servers;
  std::vector<int16_t> requests;
  for (const LoadSheet::Row& it : sheet.rows) {
    if (servers.size() == kMaxRows)
      break;
    servers.push_back(static_cast<int32_t>(it.server));
    requests.push_back(static_cast<int16_t>(
        std::min<int>(it.requests, std::numeric_limits<int16_t>::max())));
  }
  out.__set_servers(servers);
  out.__set_requests(requests);
  if (!sheet.crashes.empty()) {
    std::vector<int64_t> fingerprints;
    std::vector<int32_t> crashed_servers;
    std::vector<int32_t> ages;
    std::vector<bool> excused;
    for (const LoadSheet::Crash& it : sheet.crashes) {
      fingerprints.push_back(static_cast<int64_t>(it.fingerprint));
      crashed_servers.push_back(static_cast<int32_t>(it.server));
      ages.push_back(EncodeAge(it.age));
      excused.push_back(it.excused);
    }
    out.__set_crash_ages_ms(ages);
    out.__set_crash_excused(excused);
    out.__set_crash_requests(fingerprints);
    out.__set_crash_servers(crashed_servers);
  }
  if (!sheet.completed.empty()) {
    EncodeReports(sheet.completed, out.completed_requests,
                  out.completed_ages_ms);
    out.__isset.completed_requests = out.__isset.completed_ages_ms = true;
  }
  if (!sheet.refused.empty()) {
    EncodeReports(sheet.refused, out.refused_requests, out.refused_ages_ms);
    out.__isset.refused_requests = out.__isset.refused_ages_ms = true;
  }
  if (!sheet.limits.empty()) {
    std::vector<int32_t> limited_servers;
    std::vector<int32_t> thousandths;
    std::vector<int32_t> ages;
    for (const LoadSheet::Limit& it : sheet.limits) {
      limited_servers.push_back(static_cast<int32_t>(it.server));
      thousandths.push_back(EncodeLimit(it.limit));
      ages.push_back(EncodeAge(it.age));
    }
    out.__set_limited_servers(limited_servers);
    out.__set_limit_thousandths(thousandths);
    out.__set_limit_ages_ms(ages);
  }
  if (sheet.usage_sequence != 0)
    EncodeUsages(sheet, out);
  if (!sheet.demands.empty()) {
    std::vector<int32_t> services;
    std::vector<int32_t> tenths;
    for (const LoadSheet::Demand& it : sheet.demands) {
      services.push_back(static_cast<int32_t>(it.service));
      tenths.push_back(static_cast<int32_t>(
          std::lround(std::clamp(it.slots, 0.0, kMaxDemand) * kTenthsPerSlot)));
    }
    out.__set_services(services);
    out.__set_slot_tenths(tenths);
  }
  const auto buf = std::make_shared<TMemoryBuffer>();
  Protocol protocol(buf);
  out.write(&protocol);
  return buf->getBufferAsString();
}

std::optional<LoadSheet> DecodeSheet(std::string_view bytes) {
  wire::LoadSheet in;
  try {
    std::string copy(bytes);
    const auto buf =
        std::make_shared<TMemoryBuffer>(reinterpret_cast<uint8_t*>(copy.data()),
                                        static_cast<uint32_t>(copy.size()));
    // No list in a datagram can be longer than the datagram.
    const auto limit = static_cast<int32_t>(bytes.size());
    Protocol protocol(buf, limit, limit);
    in.read(&protocol);
  } catch (const apache::thrift::TException&) {
    return std::nullopt;
  }
  if (!in.__isset.host || in.servers.size() != in.requests.size() ||
      in.crash_requests.size() != in.crash_servers.size() ||
      in.limited_servers.size() != in.limit_thousandths.size() ||
      in.usage_workspaces.size() != in.usage_admitted.size() ||
      in.usage_workspaces.size() != in.usage_offered.size() ||
      in.services.size() != in.slot_tenths.size()) {
    return std::nullopt;
  }
  LoadSheet sheet;
  sheet.host = static_cast<uint64_t>(in.host);
  sheet.incarnation = static_cast<Incarnation>(in.incarnation);
  sheet.sequence = static_cast<uint64_t>(in.sequence);
  for (size_t i = 0; i < in.servers.size(); ++i) {
    sheet.rows.push_back({static_cast<uint32_t>(in.servers[i]),
                          std::max<int>(in.requests[i], 0)});
  }
  for (size_t i = 0; i < in.crash_requests.size(); ++i) {
    sheet.crashes.push_back(
        {static_cast<uint64_t>(in.crash_requests[i]),
         static_cast<uint32_t>(in.crash_servers[i]),
         DecodeAge(in.crash_ages_ms, i),
         i < in.crash_excused.size() && in.crash_excused[i]});
  }
  for (size_t i = 0; i < in.limited_servers.size(); ++i) {
    sheet.limits.push_back({static_cast<uint32_t>(in.limited_servers[i]),
                            DecodeLimit(in.limit_thousandths[i]),
                            DecodeAge(in.limit_ages_ms, i)});
  }
  sheet.completed = DecodeReports(in.completed_requests, in.completed_ages_ms);
  sheet.refused = DecodeReports(in.refused_requests, in.refused_ages_ms);
  if (in.__isset.usage_sequence)
    DecodeUsages(in, sheet);
  for (size_t i = 0; i < in.services.size(); ++i) {
    sheet.demands.push_back({static_cast<uint32_t>(in.services[i]),
                             std::max(in.slot_tenths[i], 0) / kTenthsPerSlot});
  }
  return sheet;
}

LoadExchange::LoadExchange(asio::io_context& loop, Endpoint listen, Hooks hooks)
    : loop_(loop),
      listen_(std::move(listen)),
      hooks_(std::move(hooks)),
      socket_(loop) {}

void LoadExchange::Start() {
  const asio::ip::udp::endpoint address(asio::ip::make_address(listen_.ip),
                                        listen_.port);
  asio::ip::udp::socket socket(loop_, address.protocol());
  socket.bind(address);
  socket.non_blocking(true);
  socket_ = std::move(socket);
  asio::co_spawn(loop_, ReceiveLoop(), asio::detached);
  asio::co_spawn(loop_, SendLoop(), asio::detached);
}

asio::awaitable<void> LoadExchange::ReceiveLoop() {
  for (;;) {
    asio::ip::udp::endpoint from;
    auto [ec, n] = co_await socket_.async_receive_from(asio::buffer(buffer_),
                                                       from, kAwait);
    if (ec == asio::error::operation_aborted)
      co_return;
    // Other errors concern a datagram sent earlier, not this socket.
    if (ec)
      continue;
    const std::string_view bytes(buffer_.data(), n);
    if (const auto sheet = DecodeSheet(bytes))
      hooks_.on_sheet(*sheet);
    else if (const auto news = DecodeStoreNews(bytes))
      hooks_.on_store_news(*news);
  }
}

asio::awaitable<void> LoadExchange::SendLoop() {
  std::vector<LoadSheet::Row> last_rows;
  int near = 0;
  int far = 0;
  int rounds_since_notice = kNoticeRounds;
  int rounds_since_usage = 0;
  for (;;) {
    co_await SleepFor(kRound);
    if (++rounds_since_notice >= kNoticeRounds) {
      if (const std::optional<LoadSheet> notice = hooks_.notice()) {
        rounds_since_notice = 0;
        const std::string bytes = EncodeSheet(*notice);
        SendTo(hooks_.peers(true), bytes);
        SendTo(hooks_.peers(false), bytes);
      }
    }
    if (++rounds_since_usage >= kUsageRounds) {
      rounds_since_usage = 0;
      if (const std::optional<LoadSheet> usage = hooks_.usage()) {
        const std::string bytes = EncodeSheet(*usage);
        SendTo(hooks_.peers(true), bytes);
        SendTo(hooks_.peers(false), bytes);
      }
    }
    const bool crowded = hooks_.crowded();
    const bool far_due = ++far >= (crowded ? kFarRoundsCrowded : kFarRounds);
    const bool near_due =
        ++near >= (crowded ? kNearRoundsCrowded : kNearRounds);
    if (!far_due && !near_due)
      continue;
    const LoadSheet sheet = hooks_.own_sheet();
    // An unchanged sheet is still sent with each far round, before the last one
    // grows too old.
    if (!far_due && sheet.rows == last_rows)
      continue;
    const std::string bytes = EncodeSheet(sheet);
    last_rows = sheet.rows;
    near = 0;
    const Instant now = SteadyNow();
    const double factor = crowded ? kCrowdedFactor : 1;
    SendTo(near_limiter_.SelectPeers(hooks_.peers(true), bytes.size(),
                                     kNearBytesPerSecond * factor, now),
           bytes);
    if (!far_due)
      continue;
    far = 0;
    SendTo(far_limiter_.SelectPeers(hooks_.peers(false), bytes.size(),
                                    kFarBytesPerSecond * factor, now),
           bytes);
  }
}

void LoadExchange::SendStoreNews(const std::vector<Endpoint>& peers,
                                 const StoreNews& news) {
  SendTo(peers, EncodeStoreNews(news));
}

void LoadExchange::SendTo(const std::vector<Endpoint>& peers,
                          const std::string& bytes) {
  for (const Endpoint& it : peers) {
    boost::system::error_code ec;
    // A datagram that cannot be sent is treated as lost.
    socket_.send_to(asio::buffer(bytes),
                    {asio::ip::make_address(it.ip), it.port}, 0, ec);
  }
}

}  // namespace toucanknot
