#include "tests/platform/store_standin.h"

#include <algorithm>
#include <boost/beast/core/detail/base64.hpp>
#include <utility>

#include "include/entry/entry_settings.h"
#include "src/http/one_shot.h"

namespace toucanknot::platform {
namespace {

namespace asio = boost::asio;
namespace base64 = boost::beast::detail::base64;

std::string Encode(const std::string& text) {
  std::string out(base64::encoded_size(text.size()), '\0');
  out.resize(base64::encode(out.data(), text.data(), text.size()));
  return out;
}

std::string Decode(const std::string& text) {
  std::string out(base64::decoded_size(text.size()), '\0');
  out.resize(base64::decode(out.data(), text.data(), text.size()).first);
  return out;
}

// Values after which a page of a listing ends.
constexpr size_t kPageBytes = 1 << 20;
// Polling interval of calls that wait.
constexpr Duration kPollInterval{10};

HttpResponse Json(int status, const boost::json::value& value) {
  return JsonResponse(status, boost::json::serialize(value));
}

}  // namespace

StoreStandin::StoreStandin()
    : server_(
          workers_,
          {},
          [](std::string_view) { return uint64_t{1} << 20; },
          [this](HttpRequest request) {
            return RespondInEra(std::move(request));
          }),
      endpoint_(server_.Listen({"127.0.0.1", 0})) {}

StoreStandin::~StoreStandin() {
  workers_.Stop();
}

void StoreStandin::Put(const std::string& key, const std::string& value) {
  const std::lock_guard lock(mutex_);
  Write(key, value, 0);
}

void StoreStandin::Remove(const std::string& key) {
  const std::lock_guard lock(mutex_);
  Erase(key);
}

std::string StoreStandin::Get(const std::string& key) {
  const std::lock_guard lock(mutex_);
  const auto it = items_.find(key);
  return it == items_.end() ? "" : it->second.value;
}

void StoreStandin::DropWatches() {
  const std::lock_guard lock(mutex_);
  ++watch_round_;
}

void StoreStandin::RejectWith(int status) {
  const std::lock_guard lock(mutex_);
  reject_with_ = status;
}

void StoreStandin::RespondWith(std::string body) {
  const std::lock_guard lock(mutex_);
  respond_with_ = std::move(body);
}

void StoreStandin::SetSilent(bool silent) {
  const std::lock_guard lock(mutex_);
  silent_ = silent;
}

void StoreStandin::SetDelay(Duration delay) {
  const std::lock_guard lock(mutex_);
  delay_ = delay;
}

void StoreStandin::SetLosingResponses(bool losing) {
  const std::lock_guard lock(mutex_);
  losing_responses_ = losing;
}

void StoreStandin::Compact() {
  const std::lock_guard lock(mutex_);
  compacted_ = revision_;
  changes_.clear();
}

void StoreStandin::TakeCopy() {
  const std::lock_guard lock(mutex_);
  copy_ = {items_, revision_, leases_, next_lease_};
}

void StoreStandin::RestoreCopy() {
  const std::lock_guard lock(mutex_);
  items_ = copy_.items;
  revision_ = compacted_ = copy_.revision;
  leases_ = copy_.leases;
  next_lease_ = copy_.next_lease;
  changes_.clear();
  ++era_;
}

std::vector<std::string> StoreStandin::Keys(const std::string& prefix) {
  const std::lock_guard lock(mutex_);
  std::vector<std::string> out;
  for (const auto& [key, item] : items_) {
    if (key.starts_with(prefix))
      out.push_back(key);
  }
  return out;
}

void StoreStandin::SetPageSize(size_t items) {
  const std::lock_guard lock(mutex_);
  page_size_ = items;
}

int StoreStandin::CountCalls(const std::string& prefix) {
  const std::lock_guard lock(mutex_);
  return static_cast<int>(std::count_if(
      calls_.begin(), calls_.end(),
      [&](const std::string& it) { return it.starts_with(prefix); }));
}

void StoreStandin::Write(const std::string& key,
                         const std::string& value,
                         uint64_t lease) {
  items_[key] = {value, ++revision_, lease};
  changes_.push_back({key, revision_, false});
}

void StoreStandin::Erase(const std::string& key) {
  if (items_.erase(key) > 0)
    changes_.push_back({key, ++revision_, true});
}

boost::json::object StoreStandin::ToJsonItem(const std::string& key) const {
  const Item& item = items_.at(key);
  return {{"key", key},
          {"value", Encode(item.value)},
          {"revision", item.revision},
          {"created_rev", item.revision},
          {"lease", item.lease}};
}

asio::awaitable<HttpResponse> StoreStandin::RespondInEra(HttpRequest request) {
  HttpResponse response = co_await Respond(std::move(request));
  const std::lock_guard lock(mutex_);
  response.fields.Add("Store-Era", std::to_string(era_));
  co_return response;
}

asio::awaitable<HttpResponse> StoreStandin::Respond(HttpRequest request) {
  for (;;) {
    {
      const std::lock_guard lock(mutex_);
      if (!silent_) {
        calls_.push_back(request.method + " " + request.target);
        if (reject_with_ != 0)
          co_return TextResponse(reject_with_, "refused");
        if (!respond_with_.empty())
          co_return JsonResponse(200, respond_with_);
        break;
      }
    }
    if (request.caller->left())
      co_return TextResponse(503, "left");
    co_await SleepFor(kPollInterval);
  }
  Duration delay;
  bool lose_response = false;
  {
    const std::lock_guard lock(mutex_);
    delay = delay_;
    lose_response = losing_responses_ && request.method != "GET";
  }
  if (delay > Duration(0))
    co_await SleepFor(delay);
  if (TargetPath(request.target) == "/v1/kv-watch")
    co_return co_await Watch(request.target);
  HttpResponse response = Execute(request);
  // Sends nothing until the caller gives up.
  while (lose_response && !request.caller->left())
    co_await SleepFor(kPollInterval);
  co_return response;
}

HttpResponse StoreStandin::Execute(const HttpRequest& request) {
  const std::lock_guard lock(mutex_);
  ExpireLeases();
  const std::string path(TargetPath(request.target));
  const auto lease = [&] {
    return std::stoull(path.substr(path.rfind('/') + 1));
  };
  if (path == "/v1/kv-range")
    return List(request.target);
  if (path == "/v1/kv-txn")
    return Transact(request.body);
  if (path == "/v1/kv-lease")
    return GrantLease(request.body);
  if (path.starts_with("/v1/kv-keep/"))
    return KeepLease(lease());
  if (path.starts_with("/v1/kv-lease-end/"))
    return EndLease(lease());
  return TextResponse(404, "unknown call");
}

asio::awaitable<HttpResponse> StoreStandin::Watch(std::string target) {
  const uint64_t after = std::stoull(QueryValue(target, "after"));
  const Instant end =
      SteadyNow() + Duration(std::stoll(QueryValue(target, "wait_ms")));
  uint64_t round = 0;
  uint64_t era = 0;
  {
    const std::lock_guard lock(mutex_);
    round = watch_round_;
    era = era_;
    if (after < compacted_ || after > revision_)
      co_return Json(410, {{"store_revision", revision_}});
  }
  for (;;) {
    {
      const std::lock_guard lock(mutex_);
      if (era != era_)
        co_return TextResponse(503, "restored");
      ExpireLeases();
      boost::json::array events;
      for (const Change& it : changes_) {
        if (it.revision <= after)
          continue;
        if (it.removed) {
          events.push_back(boost::json::object{
              {"key", it.key}, {"revision", it.revision}, {"tombstone", true}});
        } else if (items_.contains(it.key) &&
                   items_[it.key].revision == it.revision) {
          events.push_back(ToJsonItem(it.key));
        }
      }
      const bool dropped = round != watch_round_;
      if (!dropped && (!events.empty() || SteadyNow() >= end)) {
        co_return Json(200, {{"events", std::move(events)},
                             {"store_revision", revision_}});
      }
    }
    co_await SleepFor(Duration(5));
  }
}

HttpResponse StoreStandin::List(const std::string& target) {
  const std::string prefix = QueryValue(target, "prefix");
  const std::string after = QueryValue(target, "after");
  boost::json::array items;
  size_t bytes = 0;
  bool truncated = false;
  for (const auto& [key, item] : items_) {
    if (!key.starts_with(prefix) || key <= after)
      continue;
    if (items.size() == page_size_ || bytes > kPageBytes) {
      truncated = true;
      break;
    }
    items.push_back(ToJsonItem(key));
    bytes += item.value.size();
  }
  return Json(200, {{"items", std::move(items)},
                    {"truncated", truncated},
                    {"store_revision", revision_}});
}

HttpResponse StoreStandin::Transact(const std::string& body) {
  const boost::json::value in = boost::json::parse(body);
  for (const auto& it : in.at("puts").as_array()) {
    const auto lease = it.at("lease").to_number<uint64_t>();
    if (lease != 0 && !leases_.contains(lease))
      return Json(404, boost::json::object());
  }
  for (const auto& it : in.at("puts").as_array()) {
    Write(std::string(it.at("key").as_string()),
          Decode(std::string(it.at("value").as_string())),
          it.at("lease").to_number<uint64_t>());
  }
  return Json(200, {{"revision", revision_}});
}

HttpResponse StoreStandin::GrantLease(const std::string& body) {
  const boost::json::value in = boost::json::parse(body);
  const std::string text(in.at("ttl_time").as_string());
  const Duration lifetime = ParseDuration(text);
  leases_[++next_lease_] = {lifetime, SteadyNow() + lifetime};
  return Json(200, {{"lease", next_lease_}, {"ttl_time", text}});
}

HttpResponse StoreStandin::KeepLease(uint64_t lease) {
  const auto it = leases_.find(lease);
  if (it == leases_.end())
    return Json(404, boost::json::object());
  it->second.ends_at = SteadyNow() + it->second.lifetime;
  return Json(200,
              {{"ttl_time", std::to_string(it->second.lifetime.ms()) + "ms"}});
}

void StoreStandin::ExpireLeases() {
  std::vector<uint64_t> ended;
  for (const auto& [id, lease] : leases_) {
    if (lease.ends_at <= SteadyNow())
      ended.push_back(id);
  }
  for (const uint64_t it : ended)
    EndLease(it);
}

HttpResponse StoreStandin::EndLease(uint64_t lease) {
  leases_.erase(lease);
  std::vector<std::string> keys;
  for (const auto& [key, item] : items_) {
    if (item.lease == lease)
      keys.push_back(key);
  }
  for (const std::string& it : keys)
    Erase(it);
  return Json(200, boost::json::object());
}

}  // namespace toucanknot::platform
