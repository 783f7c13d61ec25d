// Requests with API keys at one host on loopback. Guards against keys that
// reach a backend server or an answer, callers that name their own workspace,
// and requests that run without a proof of the keys or above a cap.

#include <catch2/catch.hpp>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "tests/entry/entry_fixture.h"

namespace toucanknot {
namespace {

constexpr char kKey[] = "secret-a1";

struct Fixture : EntryFixture {
  Fixture() : EntryFixture(Duration(5'000)) {
    store->SetProof(BootNow());
    AddServer("s1", server.endpoint());
  }

  // One workspace "a" with the key kKey; "/open/" is public.
  void ConfigureKeys(uint64_t version, double rate = 0, bool has_key = true) {
    Workspace workspace;
    workspace.id = WorkspaceId("a");
    workspace.api_keys = {has_key ? kKey : "other"};
    workspace.rate = rate;
    Configure(version, true, {workspace});
  }
  void RemoveWorkspaces(uint64_t version, bool keys_required) {
    Configure(version, keys_required, {});
  }

  void Configure(uint64_t version,
                 bool keys_required,
                 std::vector<Workspace> workspaces) {
    auto config = std::make_shared<RouteConfig>();
    config->version = version;
    config->keys_required = keys_required;
    config->workspaces = std::move(workspaces);
    for (const char* prefix : {"/safe/", "/open/"}) {
      Route route;
      route.name = prefix;
      route.host_name = "x";
      route.prefix = prefix;
      route.kind = RequestKind::kIdempotent;
      route.timeout = Duration(1'000);
      route.target_latency = Duration(300);
      route.targets = {{ServiceId("s"), 1}};
      route.is_public = std::string(prefix) == "/open/";
      config->routes.push_back(std::move(route));
    }
    store->Run([&] {
      store->listener.config(config);
      store->listener.servers_listed({ServerId("s1")});
    });
  }

  std::string FetchWith(const std::string& path, const std::string& fields) {
    return Send(daemon->callers(), "GET " + path +
                                       " HTTP/1.1\r\nHost: x\r\nX-Id: 42\r\n" +
                                       fields + "Connection: close\r\n\r\n");
  }
  std::string FetchWithKey() {
    return FetchWith("/safe/a", std::string("X-Key: ") + kKey + "\r\n");
  }
  HttpFields LastFields() {
    const std::lock_guard lock(mutex);
    return last;
  }

  std::mutex mutex;
  HttpFields last;
  TestServer server{[this](const HttpRequest& request) {
    const std::lock_guard lock(mutex);
    last = request.fields;
    return TestServer::Ran(request, "ran");
  }};
};

bool HasStatus(const std::string& response, int status) {
  return response.starts_with("HTTP/1.1 " + std::to_string(status));
}

}  // namespace

TEST_CASE("the server gets the workspace's name and never the key") {
  Fixture it;
  it.ConfigureKeys(1);
  const std::string response = it.FetchWith(
      "/safe/a", std::string("X-Workspace: forged\r\nX-Key: ") + kKey +
                     "\r\nX-Key: " + kKey + "\r\nX-Workspace: forged2\r\n");
  REQUIRE(HasStatus(response, 200));
  const HttpFields fields = it.LastFields();
  CHECK(fields.Get("X-Workspace") == "a");
  for (const HttpField& field : fields.all()) {
    CHECK(field.value.find(kKey) == std::string::npos);
    CHECK(field.value.find("forged") == std::string::npos);
  }
}

TEST_CASE("missing and unknown keys are denied, except on public routes") {
  Fixture it;
  it.ConfigureKeys(1);
  CHECK(HasStatus(it.FetchWith("/safe/a", ""), 401));
  const std::string denied = it.FetchWith("/safe/a", "X-Key: wrong-key\r\n");
  CHECK(HasStatus(denied, 401));
  CHECK(denied.find("wrong-key") == std::string::npos);
  CHECK(it.server.arrivals == 0);
  CHECK(HasStatus(it.FetchWith("/open/a", "X-Workspace: forged\r\n"), 200));
  CHECK_FALSE(it.LastFields().Has("X-Workspace"));
  CHECK(HasStatus(it.FetchWith("/open/a", "X-Key: wrong-key\r\n"), 200));
  CHECK_FALSE(it.LastFields().Has("X-Key"));
}

TEST_CASE("no key lets a request run after the last workspace is removed") {
  Fixture it;
  it.ConfigureKeys(1);
  CHECK(HasStatus(it.FetchWithKey(), 200));
  it.RemoveWorkspaces(2, true);
  CHECK(HasStatus(it.FetchWithKey(), 401));
  CHECK(HasStatus(it.FetchWith("/safe/a", ""), 401));
  CHECK(it.server.arrivals == 1);
  CHECK(HasStatus(it.FetchWith("/open/a", std::string("X-Key: ") + kKey +
                                              "\r\nX-Workspace: a\r\n"),
                  200));
  CHECK_FALSE(it.LastFields().Has("X-Key"));
  CHECK_FALSE(it.LastFields().Has("X-Workspace"));
}

TEST_CASE("without workspaces, callers name none to the servers") {
  Fixture it;
  it.RemoveWorkspaces(1, false);
  const std::string response =
      it.FetchWith("/safe/a", std::string("X-Workspace: forged\r\nX-Key: ") +
                                  kKey + "\r\nX-Other: kept\r\n");
  REQUIRE(HasStatus(response, 200));
  CHECK_FALSE(it.LastFields().Has("X-Workspace"));
  CHECK_FALSE(it.LastFields().Has("X-Key"));
  CHECK(it.LastFields().Get("X-Other") == "kept");
}

TEST_CASE("without a proof only public routes are served") {
  Fixture it;
  it.ConfigureKeys(1);
  it.store->SetProof(BootNow() - Duration(5'100));
  for (const char* key : {kKey, "unknown"}) {
    const std::string refused =
        it.FetchWith("/safe/a", std::string("X-Key: ") + key + "\r\n");
    CHECK(HasStatus(refused, 503));
    CHECK(refused.find("Retry-After: ") != std::string::npos);
    CHECK(refused.find(key) == std::string::npos);
  }
  CHECK(it.server.arrivals == 0);
  CHECK(HasStatus(it.FetchWith("/open/a", ""), 200));
  it.store->SetProof(BootNow());
  CHECK(HasStatus(it.FetchWithKey(), 200));
}

TEST_CASE("a removed key is denied at once") {
  Fixture it;
  it.ConfigureKeys(1);
  CHECK(HasStatus(it.FetchWithKey(), 200));
  it.ConfigureKeys(2, 0, false);
  CHECK(HasStatus(it.FetchWithKey(), 401));
  // Versions never go back.
  it.ConfigureKeys(1);
  CHECK(HasStatus(it.FetchWithKey(), 401));
  CHECK(it.server.arrivals == 1);
}

TEST_CASE("requests above the cap get 429 and do not run") {
  Fixture it;
  it.ConfigureKeys(1, 0.2);
  int ran = 0;
  std::string refused;
  for (int i = 0; i < 60; ++i) {
    const std::string response = it.FetchWithKey();
    if (HasStatus(response, 200))
      ++ran;
    else
      refused = response;
  }
  CHECK(HasStatus(refused, 429));
  CHECK(refused.find("Retry-After: ") != std::string::npos);
  CHECK(it.server.arrivals == ran);
  // A window's requests, a tenth of them, and 20.
  CHECK(ran <= 0.2 * 5 * 1.1 + 20);
}

TEST_CASE("explaining a workspace shows its figures and no key") {
  Fixture it;
  it.ConfigureKeys(1, 7);
  const std::string text =
      EntryFixture::Send(it.daemon->metrics(),
                         "GET /explain?workspace=a HTTP/1.1\r\nHost: x\r\n"
                         "Connection: close\r\n\r\n");
  CHECK(HasStatus(text, 200));
  for (const char* part : {"\"keys\":1", "\"rate\":7", "\"proof_age_ms\":",
                           "\"used\":", "\"share\":", "\"proven\":true"}) {
    CHECK(text.find(part) != std::string::npos);
  }
  CHECK(text.find(kKey) == std::string::npos);
}

}  // namespace toucanknot
