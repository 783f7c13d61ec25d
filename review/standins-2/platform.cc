#include "platform.h"

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <fstream>
#include <random>
#include <stdexcept>
#include <utility>

namespace review {
namespace {

constexpr int64_t kLeaseMs = 4'000;
constexpr int64_t kHeartbeatMs = 1'500;
constexpr int64_t kConnectionMs = 120'000;
// Of a page of a listing, and of the events of a watch.
constexpr int kPageItems = 500;
constexpr size_t kPageBytes = 1'000'000;

std::string EncodeBase64(const std::string& in) {
  static constexpr char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (size_t i = 0; i < in.size(); i += 3) {
    uint32_t bits = 0;
    for (size_t j = 0; j < 3; ++j) {
      bits = bits << 8 |
             (i + j < in.size() ? static_cast<unsigned char>(in[i + j]) : 0);
    }
    for (size_t j = 0; j < 4; ++j) {
      out += i + j <= in.size() ? kDigits[bits >> (18 - 6 * j) & 63] : '=';
    }
  }
  return out;
}

std::string Unescape(const std::string& in) {
  std::string out;
  for (size_t i = 0; i < in.size(); ++i) {
    if (in[i] == '%' && i + 2 < in.size()) {
      out += static_cast<char>(
          std::strtol(in.substr(i + 1, 2).c_str(), nullptr, 16));
      i += 2;
    } else {
      out += in[i];
    }
  }
  return out;
}

std::string QueryValue(const std::string& target, const std::string& key) {
  size_t at = target.find('?');
  while (at != std::string::npos) {
    const size_t end = target.find('&', at + 1);
    const std::string part =
        target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
    if (part.rfind(key + "=", 0) == 0)
      return Unescape(part.substr(key.size() + 1));
    at = end;
  }
  return "";
}

// The value of the first member `key` of JSON without spaces, from `at` on.
std::string Member(const std::string& json,
                   const std::string& key,
                   size_t at = 0) {
  const std::string name = "\"" + key + "\":";
  at = json.find(name, at);
  if (at == std::string::npos)
    return "";
  at += name.size();
  if (json[at] == '"')
    return json.substr(at + 1, json.find('"', at + 1) - at - 1);
  return json.substr(at, json.find_first_of(",}]", at) - at);
}

}  // namespace

Store::Store(const std::string& ip, uint16_t port)
    : listener_(std::make_unique<Listener>(
          ip,
          port,
          [this](std::shared_ptr<Connection> it) { Serve(std::move(it)); })) {}

void Store::Put(const std::string& key, const std::string& value) {
  const std::lock_guard lock(mutex_);
  Write(key, EncodeBase64(value), 0);
}

void Store::Remove(const std::string& key) {
  const std::lock_guard lock(mutex_);
  Erase(key);
}

std::string Store::ItemJson(const std::string& key, const Item& item) const {
  return "{\"key\":\"" + key + "\",\"value\":\"" + item.value +
         "\",\"revision\":" + std::to_string(item.revision) +
         ",\"created_rev\":" + std::to_string(item.created) +
         ",\"lease\":" + std::to_string(item.lease) + "}";
}

void Store::Write(const std::string& key,
                  const std::string& base64,
                  uint64_t lease) {
  Item& item = items_[key];
  item.value = base64;
  item.revision = ++revision_;
  item.lease = lease;
  if (item.created == 0)
    item.created = revision_;
  changes_.push_back({key, revision_, ItemJson(key, item)});
  changed_.notify_all();
}

void Store::Erase(const std::string& key) {
  if (items_.erase(key) == 0)
    return;
  ++revision_;
  changes_.push_back({key, revision_,
                      "{\"key\":\"" + key + "\",\"revision\":" +
                          std::to_string(revision_) + ",\"tombstone\":true}"});
  changed_.notify_all();
}

void Store::EndLease(uint64_t lease) {
  leases_.erase(lease);
  std::vector<std::string> keys;
  for (const auto& [key, item] : items_) {
    if (item.lease == lease)
      keys.push_back(key);
  }
  for (const std::string& it : keys)
    Erase(it);
}

void Store::ExpireLeases() {
  std::vector<uint64_t> ended;
  for (const auto& [lease, ends_at] : leases_) {
    if (ends_at < NowMs())
      ended.push_back(lease);
  }
  for (const uint64_t it : ended)
    EndLease(it);
}

std::string Store::List(const std::string& prefix, const std::string& after) {
  const std::lock_guard lock(mutex_);
  ExpireLeases();
  std::string items;
  int count = 0;
  bool truncated = false;
  for (const auto& [key, item] : items_) {
    if (key.rfind(prefix, 0) != 0 || key <= after)
      continue;
    truncated = count >= kPageItems || items.size() >= kPageBytes;
    if (truncated)
      break;
    items += (items.empty() ? "" : ",") + ItemJson(key, item);
    ++count;
  }
  return "{\"items\":[" + items +
         "],\"truncated\":" + (truncated ? "true" : "false") +
         ",\"store_revision\":" + std::to_string(revision_) + "}";
}

std::string Store::Watch(const std::string& prefix,
                         uint64_t after,
                         int64_t wait_ms) {
  std::unique_lock lock(mutex_);
  const int64_t until_ms = NowMs() + wait_ms;
  for (;;) {
    ExpireLeases();
    std::string events;
    uint64_t until = revision_;
    for (const Change& it : changes_) {
      if (it.revision <= after || it.key.rfind(prefix, 0) != 0)
        continue;
      if (events.size() >= kPageBytes) {
        until = it.revision - 1;
        break;
      }
      events += (events.empty() ? "" : ",") + it.event;
    }
    const int64_t left = until_ms - NowMs();
    if (!events.empty() || left <= 0) {
      return "{\"events\":[" + events +
             "],\"store_revision\":" + std::to_string(until) + "}";
    }
    changed_.wait_for(lock,
                      std::chrono::milliseconds(std::min<int64_t>(left, 100)));
  }
}

std::string Store::Execute(const Message& request, int& status) {
  const std::string target = request.target();
  const std::string path = target.substr(0, target.find('?'));
  if (path == "/v1/kv-range")
    return List(QueryValue(target, "prefix"), QueryValue(target, "after"));
  if (path == "/v1/kv-watch") {
    return Watch(
        QueryValue(target, "prefix"),
        std::strtoull(QueryValue(target, "after").c_str(), nullptr, 10),
        std::atoll(QueryValue(target, "wait_ms").c_str()));
  }
  const std::lock_guard lock(mutex_);
  ExpireLeases();
  const uint64_t lease =
      std::strtoull(path.substr(path.rfind('/') + 1).c_str(), nullptr, 10);
  if (path == "/v1/kv-lease") {
    leases_[++last_lease_] = NowMs() + kLeaseMs;
    return "{\"lease\":" + std::to_string(last_lease_) +
           ",\"ttl_time\":\"4000ms\"}";
  }
  if (path.rfind("/v1/kv-keep/", 0) == 0) {
    if (leases_.count(lease) == 0) {
      status = 404;
      return "{}";
    }
    leases_[lease] = NowMs() + kLeaseMs;
    return "{\"ttl_time\":\"4000ms\"}";
  }
  if (path.rfind("/v1/kv-lease-end/", 0) == 0) {
    EndLease(lease);
    return "{}";
  }
  if (path == "/v1/kv-txn") {
    // Entry hosts write one key at a time, without conditions.
    const size_t puts = request.body.find("\"puts\":[{");
    if (puts != std::string::npos) {
      const std::string key = Member(request.body, "key", puts);
      const std::string value = Member(request.body, "value", puts);
      const uint64_t bound = std::strtoull(
          Member(request.body, "lease", puts).c_str(), nullptr, 10);
      if (bound != 0 && leases_.count(bound) == 0) {
        status = 404;
        return "{}";
      }
      Write(key, value, bound);
    }
    return "{\"revision\":" + std::to_string(revision_) + "}";
  }
  status = 404;
  return "{}";
}

void Store::Serve(std::shared_ptr<Connection> connection) {
  MessageReader reader(*connection);
  Message request;
  while (reader.Read(request, NowMs() + kConnectionMs) ==
         MessageReader::End::kMessage) {
    int status = 200;
    const std::string body = Execute(request, status);
    if (!connection->Send("HTTP/1.1 " + std::to_string(status) +
                          " S\r\nContent-Type: application/json\r\n"
                          "Content-Length: " +
                          std::to_string(body.size()) + "\r\n\r\n" + body))
      return;
  }
}

std::string ConfigText(int version,
                       const std::vector<RouteSpec>& routes,
                       int idle_timeout_ms) {
  std::string route_text;
  std::map<std::string, std::string> services;
  for (const RouteSpec& it : routes) {
    route_text += (route_text.empty() ? "" : ",") + std::string("\"") +
                  it.name + "\":{\"host\":\"" + kHostName + "\",\"prefix\":\"" +
                  it.prefix + "\",\"kind\":\"" + it.kind + "\",\"timeout\":\"" +
                  std::to_string(it.timeout_ms) + "ms\",\"target_latency\":\"" +
                  std::to_string(it.target_ms) +
                  "ms\",\"priority\":" + std::to_string(it.priority) +
                  ",\"service\":\"" + it.service +
                  "\",\"attempts\":" + std::to_string(it.attempts) +
                  ",\"sticky_sessions\":true,\"allowed_regions\":[]}";
    services[it.service] =
        "{\"health_path\":\"/healthz\",\"max_connections\":390,"
        "\"protocol\":\"h1\",\"tls\":false,\"cold_start\":\"3s\","
        "\"cold_per_s\":4.1}";
  }
  std::string service_text;
  for (const auto& [name, text] : services)
    service_text += (service_text.empty() ? "\"" : ",\"") + name + "\":" + text;
  return "{\"version\":\"r" + std::to_string(version) + "\",\"routes\":{" +
         route_text + "},\"services\":{" + service_text +
         "},\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,"
         "\"header_timeout\":\"3000ms\",\"idle_timeout\":\"" +
         std::to_string(idle_timeout_ms) + "ms\"}}";
}

void RegisterServer(Store& store,
                    const std::string& ip,
                    uint16_t port,
                    const std::string& id,
                    const std::string& service,
                    const std::string& zone) {
  const int64_t born = std::chrono::duration_cast<std::chrono::milliseconds>(
                           std::chrono::system_clock::now().time_since_epoch())
                           .count();
  const std::string address = ip + ":" + std::to_string(port);
  const auto write = [&store, id, service, zone, address, born](int sequence) {
    store.Put("servers/" + id,
              "{\"service\":\"" + service + "\",\"address\":\"" + address +
                  "\",\"zone\":\"" + zone +
                  "\",\"version\":\"v1\",\"slots\":4,\"state\":\"ready\","
                  "\"cold_left\":\"0ms\",\"sequence\":" +
                  std::to_string(sequence) +
                  ",\"born\":" + std::to_string(born) + "}");
  };
  write(1);
  std::thread([write] {
    for (int sequence = 2;; ++sequence) {
      SleepMs(kHeartbeatMs);
      write(sequence);
    }
  }).detach();
}

Backend::Backend(Store& store,
                 const std::string& ip,
                 const std::string& id,
                 const std::string& service,
                 const std::string& zone,
                 Handle handle)
    : id_(id) {
  const uint16_t port = FreePort(ip);
  listener_ = std::make_unique<Listener>(
      ip, port, [this, handle](std::shared_ptr<Connection> connection) {
        MessageReader reader(*connection);
        Message request;
        while (reader.Read(request, NowMs() + kConnectionMs) ==
               MessageReader::End::kMessage) {
          if (Misdirected(*connection, request))
            continue;
          if (!handle(*this, *connection, request))
            return;
        }
      });
  RegisterServer(store, ip, port, id, service, zone);
}

bool Backend::Misdirected(Connection& connection,
                          const Message& request) const {
  const std::string expected = request.Field("toucanknot-target-instance");
  if (expected.empty() || expected == id_)
    return false;
  connection.Send(
      "HTTP/1.1 421 Misdirected Request\r\nToucanknot-Instance-Id: " + id_ +
      "\r\nToucanknot-Attempt-Id: " + request.Field("toucanknot-attempt-id") +
      "\r\nContent-Length: 0\r\n\r\n");
  return true;
}

std::string Backend::Head(const Message& request, int status) const {
  return "HTTP/1.1 " + std::to_string(status) +
         (status == 200 ? " OK" : " Failed") + "\r\nToucanknot-Attempt-Id: " +
         request.Field("toucanknot-attempt-id") +
         "\r\nToucanknot-Response-Stamp: " + id_ + "." +
         request.Field("toucanknot-attempt-id") +
         "\r\nToucanknot-Server-Load: 1,0,4\r\n";
}

Entry::Entry(const std::string& program,
             const std::string& folder,
             const EntryOptions& options,
             const std::string& store_ip,
             uint16_t store_port)
    : program_(program),
      folder_(folder),
      options_(options),
      port_(FreePort(options.ip)),
      ready_port_(FreePort(options.ip)) {
  const auto address = [&](uint16_t port) {
    return "\"" + options.ip + ":" + std::to_string(port) + "\"";
  };
  const std::string path = folder + "/" + options.host + ".json";
  std::ofstream(path)
      << "{\n  \"host\": \"" << options.host << "\",\n  \"zone\": \""
      << options.zone
      << "\",\n  \"region\": \"r\",\n  \"regions\": {\"a\": \"r\", \"b\": "
         "\"r\"},\n  \"callers\": "
      << address(port_) << ",\n  \"readiness\": " << address(ready_port_)
      << ",\n  \"directory\": " << address(FreePort(options.ip))
      << ",\n  \"store\": \"" << store_ip << ":" << store_port
      << "\",\n  \"peer_port\": " << FreePort(options.ip)
      << ",\n  \"metrics_port\": " << FreePort(options.ip)
      << ",\n  \"news_within\": \"2500ms\",\n  \"server_heartbeat\": "
         "\"1500ms\",\n  \"memory_mb\": "
      << options.memory_mb
      << ",\n  \"link_mbps\": 1000.0,\n  \"cpu_share\": 0.2,\n  "
         "\"stop_within\": \""
      << options.grace_ms
      << "ms\",\n  \"lookup_lifetime\": \"5s\",\n  \"max_descriptors\": "
      << options.max_descriptors
      << ",\n  \"retry_ratio\": 0.2,\n  \"retry_slack\": 58,\n  "
         "\"retry_window\": \"10s\"\n}\n";
  Restart();
}

void Entry::Restart() {
  process_ = std::make_unique<Process>(
      program_,
      std::vector<std::string>{"TOUCANKNOT_BOOT=" + folder_ + "/" +
                               options_.host + ".json"},
      folder_ + "/" + options_.host + ".log");
}

bool Entry::AwaitReady(int64_t ms) {
  for (const int64_t until_ms = NowMs() + ms; NowMs() < until_ms;) {
    if (process_->Ended())
      return false;
    if (const auto connection = Connection::Open(options_.ip, ready_port_)) {
      connection->Send("GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n");
      Message response;
      MessageReader reader(*connection);
      if (reader.Read(response, NowMs() + 1'000) ==
              MessageReader::End::kMessage &&
          response.status() == 200)
        return true;
    }
    SleepMs(50);
  }
  return false;
}

std::string NewId() {
  static std::atomic<uint64_t> count{0};
  static const uint64_t base = std::random_device()();
  char text[17];
  std::snprintf(text, sizeof text, "%08llx%08llx",
                static_cast<unsigned long long>(base & 0xffffffffu),
                static_cast<unsigned long long>(++count));
  return text;
}

std::string RequestText(const std::string& method,
                        const std::string& path,
                        const std::string& id,
                        int budget_ms,
                        const std::string& body) {
  std::string out = method + " " + path + " HTTP/1.1\r\nHost: " + kHostName +
                    "\r\nToucanknot-Attempt-Id: " + id +
                    "\r\nToucanknot-Deadline-Ms: " + std::to_string(budget_ms) +
                    "\r\n";
  if (!body.empty())
    out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return out + "\r\n" + body;
}

}  // namespace review
