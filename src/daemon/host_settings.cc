#include "include/daemon/host_settings.h"

#include <boost/asio/ip/address.hpp>
#include <fstream>
#include <iterator>
#include <utility>

#include "include/base/error.h"
#include "include/config/json_text.h"
#include "include/config/object_reader.h"

namespace toucanknot {
namespace {

constexpr int64_t kMaxWorkers = 64;
constexpr int64_t kMaxConnections = 1'000'000;
constexpr int64_t kMinBufferedBytes = 1 << 20;
constexpr int64_t kMaxBufferedBytes = 64LL << 30;
constexpr int64_t kMaxTimeoutMs = 60'000;
constexpr int64_t kMaxKeyId = 255;
constexpr size_t kMaxFleetKeys = 2;

bool IsLoopback(const Endpoint& endpoint) {
  boost::system::error_code ec;
  const auto address = boost::asio::ip::make_address(endpoint.ip, ec);
  return !ec && address.is_loopback();
}

void ReadSeeds(ObjectReader& in, HostSettings& out) {
  for (const std::string& it : in.Texts("seeds")) {
    if (const auto endpoint = Endpoint::Parse(it))
      out.seeds.push_back(*endpoint);
    else
      in.AddProblem("seeds",
                    "IP addresses with ports, such as \"10.0.0.2:7000\"");
  }
}

// The reported problem must not contain the secret, even if it is invalid.
void ReadKeys(ObjectReader& in,
              std::vector<Problem>& problems,
              HostSettings& out) {
  in.Items("fleet_keys", true, [&](ObjectReader& item) {
    FleetKey key;
    key.id = static_cast<uint8_t>(item.Integer("key", 0, kMaxKeyId));
    key.secret = item.Text("secret");
    if (!key.secret.empty() && key.secret.size() < kMinSecretBytes)
      problems.push_back(
          {item.PathOf("secret"), "a shorter one", "at least 16 bytes"});
    for (const FleetKey& it : out.fleet_keys) {
      if (it.id == key.id)
        item.AddProblem("key", "an id that no other key has");
    }
    out.fleet_keys.push_back(std::move(key));
  });
  if (out.fleet_keys.empty() || out.fleet_keys.size() > kMaxFleetKeys)
    in.AddProblem("fleet_keys", "one key, or two during a key rotation");
}

void ReadAdmin(ObjectReader& in, HostSettings& out) {
  out.admin = in.Address("admin");
  out.admin_token = in.Text("admin_token", "");
  if (out.admin.port != 0 && out.admin_token.empty() && !IsLoopback(out.admin))
    in.AddProblem("admin", "a loopback address, unless admin_token is set");
}

void ReadLog(ObjectReader& in, HostSettings& out) {
  const std::string format = in.Text("log_format", "text");
  if (const auto it = kLogFormatNames.Parse(format))
    out.log_format = *it;
  else
    in.AddProblem("log_format", "\"text\" or \"json\"");
  out.log_level = in.Text("log_level", "info");
  if (out.log_level != "info" && out.log_level != "warn" &&
      out.log_level != "error" && out.log_level != "debug") {
    in.AddProblem("log_level", "\"debug\", \"info\", \"warn\" or \"error\"");
  }
}

void ReadLimits(ObjectReader& in, HostSettings& out) {
  out.workers =
      static_cast<int>(in.Integer("workers", 1, kMaxWorkers, out.workers));
  out.max_connections = static_cast<int>(
      in.Integer("max_connections", 1, kMaxConnections, out.max_connections));
  out.max_buffered_bytes =
      in.Integer("max_buffered_bytes", kMinBufferedBytes, kMaxBufferedBytes,
                 out.max_buffered_bytes);
  out.store_timeout = Duration(
      in.Integer("store_timeout_ms", 1, kMaxTimeoutMs, out.store_timeout.ms()));
  out.store_watch = Duration(
      in.Integer("store_watch_ms", 100, kMaxTimeoutMs, out.store_watch.ms()));
  out.host_list_interval =
      Duration(in.Integer("host_list_interval_ms", 100, kMaxTimeoutMs,
                          out.host_list_interval.ms()));
  out.leave_notice = Duration(
      in.Integer("leave_notice_ms", 0, kMaxTimeoutMs, out.leave_notice.ms()));
}

}  // namespace

HostSettings ParseHostSettings(std::string_view text,
                               const std::string& source) {
  const boost::json::value value = ParseJson(text, source);
  std::vector<Problem> problems;
  HostSettings out;
  ObjectReader in("", value, problems);
  out.host = HostId(in.Name("host"));
  out.zone = ZoneId(in.Name("zone"));
  out.callers = in.Address("callers");
  out.peers = in.Address("peers");
  out.store = in.Address("store");
  ReadAdmin(in, out);
  ReadSeeds(in, out);
  ReadKeys(in, problems, out);
  ReadLimits(in, out);
  ReadLog(in, out);
  in.Finish();
  if (!problems.empty())
    throw InvalidConfigError(source, std::move(problems));
  return out;
}

HostSettings LoadHostSettings(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in)
    throw Error("cannot read " + path);
  const std::string text{std::istreambuf_iterator<char>(in), {}};
  return ParseHostSettings(text, path);
}

}  // namespace toucanknot
