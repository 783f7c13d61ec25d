#include "review/standins-4/store.h"

#include <boost/beast/core/detail/base64.hpp>
#include <boost/json.hpp>
#include <cstdlib>
#include <thread>

namespace review {
namespace {

namespace json = boost::json;
namespace base64 = boost::beast::detail::base64;

constexpr int64_t kIdleMs = 60'000;
constexpr int64_t kAnswerMs = 4;
constexpr int64_t kLeaseTickMs = 50;

std::string Encode(const std::string& text) {
  std::string out(base64::encoded_size(text.size()), '\0');
  out.resize(base64::encode(out.data(), text.data(), text.size()));
  return out;
}

std::string Decode(const std::string& text) {
  std::string out(base64::decoded_size(text.size()) + 3, '\0');
  out.resize(base64::decode(out.data(), text.data(), text.size()).first);
  return out;
}

}  // namespace

Store::Store(const std::string& ip) : endpoint_{ip, 0} {
  const int listener = Listen(endpoint_);
  Serve(listener, [this](Connection& it) { ServeConnection(it); });
  std::thread([this] {
    for (;;) {
      SleepMs(kLeaseTickMs);
      const std::lock_guard lock(mutex_);
      if (!away_)
        ExpireLeases();
    }
  }).detach();
}

void Store::Put(const std::string& key, const std::string& value) {
  const std::lock_guard lock(mutex_);
  Write(key, value, 0);
}

void Store::Remove(const std::string& key) {
  const std::lock_guard lock(mutex_);
  Erase(key);
}

void Store::SetRejecting(bool rejecting) {
  const std::lock_guard lock(mutex_);
  rejecting_ = rejecting;
  changed_.notify_all();
}

void Store::SetSilent(bool silent) {
  const std::lock_guard lock(mutex_);
  silent_ = silent;
  changed_.notify_all();
}

bool Store::Unanswered() {
  const std::lock_guard lock(mutex_);
  return silent_;
}

void Store::TakeCopy() {
  const std::lock_guard lock(mutex_);
  copy_ = now_;
}

void Store::GoAway() {
  const std::lock_guard lock(mutex_);
  away_ = true;
  changed_.notify_all();
}

void Store::ComeBackFromCopy() {
  const std::lock_guard lock(mutex_);
  now_ = copy_;
  // Leases run on from the arrival of the last renewal that is known.
  for (auto& [id, lease] : now_.leases)
    lease.ends_at_ms = NowMs() + lease.lifetime_ms;
  ++era_;
  away_ = false;
}

void Store::ServeConnection(Connection& connection) {
  while (const auto request = connection.Read(NowMs() + kIdleMs)) {
    SleepMs(kAnswerMs);
    const std::string out = Unanswered() ? std::string() : Answer(*request);
    if (Unanswered()) {
      // A connection on which a response is lost returns nothing further.
      while (connection.Read(NowMs() + kIdleMs)) {
      }
      return;
    }
    if (out.empty() || !connection.Write(out))
      return;
  }
}

std::string Store::Respond(int status, const std::string& body) const {
  return ResponseText(status,
                      "Content-Type: application/json\r\nStore-Era: " +
                          std::to_string(era_) + "\r\n",
                      body);
}

std::string Store::Answer(const Message& request) {
  if (request.target.rfind("/v1/kv-watch", 0) == 0)
    return Watch(request);
  const std::lock_guard lock(mutex_);
  if (away_)
    return {};
  if (rejecting_)
    return Respond(503, "{}");
  const std::string path = request.target.substr(0, request.target.find('?'));
  const auto lease_of = [&] {
    return std::strtoull(path.substr(path.rfind('/') + 1).c_str(), nullptr, 10);
  };
  if (path == "/v1/kv-range")
    return Range(request);
  if (path == "/v1/kv-key") {
    const auto it = now_.items.find(request.Query("key"));
    if (it == now_.items.end())
      return Respond(404, "{}");
    return Respond(
        200, json::serialize(json::value{{"key", it->first},
                                         {"value", Encode(it->second.value)},
                                         {"revision", it->second.revision},
                                         {"created_rev", it->second.created},
                                         {"lease", it->second.lease},
                                         {"store_revision", now_.revision}}));
  }
  if (path == "/v1/kv-txn")
    return Transact(request.body);
  if (path == "/v1/kv-lease") {
    const std::string text(
        json::parse(request.body).as_object().at("ttl_time").as_string());
    const double n = std::strtod(text.c_str(), nullptr);
    const auto ms = static_cast<int64_t>(
        text.find("ms") != std::string::npos ? n : n * 1'000);
    const uint64_t id = next_lease_++;
    now_.leases[id] = {ms, NowMs() + ms};
    return Respond(
        200, json::serialize(json::value{
                 {"lease", id}, {"ttl_time", std::to_string(ms) + "ms"}}));
  }
  if (path.rfind("/v1/kv-keep/", 0) == 0) {
    const auto it = now_.leases.find(lease_of());
    if (it == now_.leases.end())
      return Respond(404, "{}");
    it->second.ends_at_ms = NowMs() + it->second.lifetime_ms;
    return Respond(
        200, json::serialize(json::value{
                 {"ttl_time", std::to_string(it->second.lifetime_ms) + "ms"}}));
  }
  if (path.rfind("/v1/kv-lease-end/", 0) == 0) {
    const auto it = now_.leases.find(lease_of());
    if (it == now_.leases.end())
      return Respond(404, "{}");
    it->second.ends_at_ms = 0;
    ExpireLeases();
    return Respond(200, "{}");
  }
  return Respond(404, "{}");
}

std::string Store::Range(const Message& request) {
  const std::string prefix = request.Query("prefix");
  const std::string after = request.Query("after");
  json::array items;
  bool truncated = false;
  for (const auto& [key, item] : now_.items) {
    if (key.rfind(prefix, 0) != 0 || (!after.empty() && key <= after))
      continue;
    if (items.size() == 500) {
      truncated = true;
      break;
    }
    items.push_back({{"key", key},
                     {"value", Encode(item.value)},
                     {"revision", item.revision},
                     {"created_rev", item.created},
                     {"lease", item.lease}});
  }
  return Respond(
      200, json::serialize(json::value{{"items", std::move(items)},
                                       {"truncated", truncated},
                                       {"store_revision", now_.revision}}));
}

std::string Store::Watch(const Message& request) {
  const std::string prefix = request.Query("prefix");
  const uint64_t after =
      std::strtoull(request.Query("after").c_str(), nullptr, 10);
  const int64_t until = NowMs() + std::atoll(request.Query("wait_ms").c_str());
  std::unique_lock lock(mutex_);
  const uint64_t era = era_;
  for (;;) {
    // A watch that waits is cut when the store goes away.
    if (away_ || silent_ || era_ != era)
      return {};
    if (rejecting_)
      return Respond(503, "{}");
    if (after > now_.revision)
      return Respond(410, "{}");
    json::array events;
    for (const Event& it : now_.events) {
      if (it.revision <= after || it.key.rfind(prefix, 0) != 0)
        continue;
      if (it.removed) {
        events.push_back(
            {{"key", it.key}, {"revision", it.revision}, {"tombstone", true}});
        continue;
      }
      // Only the last value of a key is kept.
      const auto item = now_.items.find(it.key);
      if (item == now_.items.end() || item->second.revision != it.revision)
        continue;
      events.push_back({{"key", it.key},
                        {"value", Encode(item->second.value)},
                        {"revision", it.revision},
                        {"created_rev", item->second.created},
                        {"lease", item->second.lease}});
    }
    const int64_t left = until - NowMs();
    if (!events.empty() || left <= 0) {
      return Respond(
          200, json::serialize(json::value{{"events", std::move(events)},
                                           {"store_revision", now_.revision}}));
    }
    changed_.wait_for(lock, std::chrono::milliseconds(left));
  }
}

std::string Store::Transact(const std::string& body) {
  const json::object in = json::parse(body).as_object();
  for (const json::value& it : in.at("expected").as_array()) {
    const auto item =
        now_.items.find(std::string(it.as_object().at("key").as_string()));
    const uint64_t revision =
        item == now_.items.end() ? 0 : item->second.revision;
    if (revision != it.as_object().at("revision").to_number<uint64_t>())
      return Respond(412, "{\"items\":[]}");
  }
  for (const json::value& it : in.at("puts").as_array()) {
    const json::object& put = it.as_object();
    const json::value* lease = put.if_contains("lease");
    const uint64_t id = lease == nullptr ? 0 : lease->to_number<uint64_t>();
    if (id != 0 && now_.leases.count(id) == 0)
      return Respond(404, "{}");
    Write(std::string(put.at("key").as_string()),
          Decode(std::string(put.at("value").as_string())), id);
  }
  for (const json::value& it : in.at("deletes").as_array())
    Erase(std::string(it.as_string()));
  return Respond(200,
                 json::serialize(json::value{{"revision", now_.revision}}));
}

void Store::Write(const std::string& key,
                  const std::string& value,
                  uint64_t lease) {
  Item& item = now_.items[key];
  item.value = value;
  item.revision = ++now_.revision;
  if (item.created == 0)
    item.created = item.revision;
  item.lease = lease;
  now_.events.push_back({key, item.revision, false});
  changed_.notify_all();
}

void Store::Erase(const std::string& key) {
  if (now_.items.erase(key) == 0)
    return;
  now_.events.push_back({key, ++now_.revision, true});
  changed_.notify_all();
}

void Store::ExpireLeases() {
  const int64_t now = NowMs();
  for (auto it = now_.leases.begin(); it != now_.leases.end();) {
    if (it->second.ends_at_ms > now) {
      ++it;
      continue;
    }
    std::vector<std::string> keys;
    for (const auto& [key, item] : now_.items) {
      if (item.lease == it->first)
        keys.push_back(key);
    }
    for (const std::string& key : keys)
      Erase(key);
    it = now_.leases.erase(it);
  }
}

}  // namespace review
