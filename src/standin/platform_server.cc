#include "src/standin/platform_server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <charconv>
#include <utility>

#include "src/http/one_shot.h"

namespace toucanknot {
namespace {

constexpr size_t kThreads = 64;
constexpr uint64_t kMaxBodyBytes = 2 << 20;
constexpr size_t kMaxValueBytes = 1 << 20;
constexpr std::string_view kKeyPath = "/v1/kv/";
constexpr char kRevisionField[] = "Revision";

uint64_t ParseNumber(std::string_view text) {
  uint64_t n = 0;
  std::from_chars(text.data(), text.data() + text.size(), n);
  return n;
}

HttpResponse ValueResponse(const StoreValue& value) {
  HttpResponse response;
  response.body = value.data;
  response.fields.Add(kRevisionField, std::to_string(value.revision));
  return response;
}

HttpResponse GetValue(Store& store,
                      const std::string& key,
                      const HttpRequest& request) {
  const std::string watch = QueryValue(request.target, "watch");
  if (watch.empty()) {
    const auto value = store.Get(key);
    return value ? ValueResponse(*value) : TextResponse(404, "no such key");
  }
  const Duration limit(static_cast<int64_t>(
      ParseNumber(QueryValue(request.target, "timeout_ms"))));
  const auto value = store.Watch(key, ParseNumber(watch), limit);
  if (value)
    return ValueResponse(*value);
  HttpResponse unchanged;
  unchanged.status = 304;
  return unchanged;
}

HttpResponse PutValue(Store& store,
                      const std::string& key,
                      const HttpRequest& request) {
  if (request.body.size() > kMaxValueBytes)
    return TextResponse(413, "a value must not be larger than 1 MiB");
  if (!request.fields.Has("If-Revision"))
    return TextResponse(400, "If-Revision is required");
  const SwapResult result = store.CompareAndSwap(
      key, ParseNumber(request.fields.Get("If-Revision")), request.body);
  HttpResponse response = TextResponse(result.swapped ? 200 : 412, "");
  response.fields.Add(kRevisionField, std::to_string(result.revision));
  return response;
}

HttpResponse AcquireLease(Store& store, const HttpRequest& request) {
  const auto in = boost::json::parse(request.body).as_object();
  const LeaseResult result =
      store.AcquireLease(std::string(in.at("key").as_string()),
                         std::string(in.at("holder").as_string()),
                         Duration(in.at("ttl_ms").to_number<int64_t>()));
  const boost::json::value out = {{"epoch", result.epoch},
                                  {"holder", result.holder}};
  return JsonResponse(result.granted ? 200 : 409, boost::json::serialize(out));
}

HttpResponse ListHosts(Store& store) {
  boost::json::array list;
  for (const PlatformHost& it : store.Hosts())
    list.push_back({{"id", it.id}, {"leaving", it.leaving}});
  return JsonResponse(200, boost::json::serialize(list));
}

HttpResponse ListKeys(Store& store, const HttpRequest& request) {
  boost::json::array list;
  for (const std::string& it :
       store.List(QueryValue(request.target, "prefix"))) {
    list.emplace_back(it);
  }
  return JsonResponse(200, boost::json::serialize(list));
}

HttpResponse Route(Store& store, const HttpRequest& request) {
  const std::string_view path = TargetPath(request.target);
  if (path.starts_with(kKeyPath)) {
    const std::string key(path.substr(kKeyPath.size()));
    if (request.method == "PUT")
      return PutValue(store, key, request);
    return GetValue(store, key, request);
  }
  if (path == "/v1/keys")
    return ListKeys(store, request);
  if (path == "/v1/leases")
    return AcquireLease(store, request);
  if (path == "/v1/hosts")
    return ListHosts(store);
  return TextResponse(404, "no such path");
}

}  // namespace

PlatformServer::PlatformServer(WorkerPool& workers,
                               std::shared_ptr<MemoryStore> store)
    : store_(std::move(store)),
      call_threads_(kThreads),
      server_(
          workers,
          HttpServerLimits(),
          [](std::string_view) { return kMaxBodyBytes; },
          [this](HttpRequest request) { return Handle(std::move(request)); }) {}

PlatformServer::~PlatformServer() {
  store_->SetDown(true);
  call_threads_.join();
}

Endpoint PlatformServer::Listen(const Endpoint& endpoint) {
  return server_.Listen(endpoint);
}

boost::asio::awaitable<HttpResponse> PlatformServer::Handle(
    HttpRequest request) {
  const auto run =
      [store = store_,
       in = std::move(request)]() -> boost::asio::awaitable<HttpResponse> {
    try {
      co_return Route(*store, in);
    } catch (const StoreUnavailableError& e) {
      co_return TextResponse(503, e.what());
    } catch (const StoreOutcomeUnknownError& e) {
      HttpResponse lost = TextResponse(504, e.what());
      co_return lost;
    } catch (const std::exception& e) {
      co_return TextResponse(400, e.what());
    }
  };
  co_return co_await boost::asio::co_spawn(call_threads_, run,
                                           boost::asio::use_awaitable);
}

}  // namespace toucanknot
