// The keys of the last tenant are taken away: the new version of the
// configuration has an empty table of tenants.
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <set>

#include "review/standins-4/fleet.h"

namespace review {
namespace {

constexpr int64_t kRevokeMs = 5'000;
constexpr int64_t kHeartbeatMs = 1'500;
constexpr char kShopKey[] = "k-shop-5f2a";
constexpr char kTillKey[] = "k-till-91cc";
constexpr char kUnknownKey[] = "k-nobody-0000";

// A request that no server may run.
struct Forbidden {
  std::string attempt;
  std::string why;
};

int Main(int argc, char** argv) {
  if (argc != 4)
    return 2;
  const std::string folder = argv[2];
  const bool trouble = std::getenv("TROUBLE") == nullptr ||
                       std::string(std::getenv("TROUBLE")) != "0";
  // The threads of the stand-ins use these until the process ends.
  Record& record = *new Record(argv[3]);
  Store& store = *new Store("127.0.77.1");
  Server& first = *new Server("i-first", "127.0.77.11", 40, record);
  Server& second = *new Server("i-second", "127.0.77.12", 40, record);
  const auto beat = [&] {
    store.Put("servers/i-first", first.Entry("shop", "north-a"));
    store.Put("servers/i-second", second.Entry("shop", "north-b"));
  };
  const auto pass = [&](int64_t ms) {
    for (const int64_t until = NowMs() + ms; NowMs() < until;) {
      beat();
      SleepMs(std::min(kHeartbeatMs, until - NowMs()));
    }
  };
  store.Put(
      "op/config",
      Config(
          3,
          (Tenant("shop", kShopKey) + "," + Tenant("till", kTillKey)).c_str()));
  beat();
  Host::Options options{
      argv[1],
      folder,
      "front-north-a-1",
      "127.0.77.21",
      "north-a",
      "\"north-a\": \"north\", \"north-b\": \"north\"",
      store.endpoint(),
      "\"revoke_within\": \"5000ms\", \"cap_window\": \"5s\", "
      "\"cap_over\": 0.1, \"cap_slack\": 20,"};
  Host host(options);
  options.name = "front-north-b-1";
  options.ip = "127.0.77.22";
  options.zone = "north-b";
  Host other(options);
  host.Start();
  other.Start();
  if (!host.AwaitReady(8'000) || !other.AwaitReady(8'000))
    return 2;
  pass(4'000);

  int n = 0;
  const auto send = [&](const Host& to, const std::string& path,
                        const std::string& key, const std::string& more) {
    Call call;
    call.method = path == "/order/" ? "POST" : "GET";
    call.target = path + "7";
    call.attempt = "attempt-" + std::to_string(++n);
    call.key = key;
    call.more_fields = more;
    const int status = Send(to, call, record);
    return std::pair(call.attempt, status);
  };
  // Keys are asked for.
  for (const Host* it : {&host, &other}) {
    if (send(*it, "/read/", kShopKey, "").second != 200 ||
        send(*it, "/read/", kTillKey, "").second != 200 ||
        send(*it, "/read/", kUnknownKey, "").second != 401 ||
        send(*it, "/read/", "", "").second != 401) {
      record.Line("keys are not asked for before any change");
      return 2;
    }
  }
  std::vector<Forbidden> forbidden;
  const auto send_forbidden = [&](const std::string& key,
                                  const std::string& why) {
    for (const Host* it : {&host, &other}) {
      for (const char* path : {"/read/", "/order/"}) {
        forbidden.push_back(
            {send(*it, path, key, "Toucanknot-Tenant: shop\r\n").first, why});
      }
    }
  };
  store.Put("op/config", Config(7, Tenant("till", kTillKey).c_str()));
  record.Line("r7 is acknowledged: the tenant 'shop' and its key are gone");
  pass(kRevokeMs + 500);
  send_forbidden(kShopKey, "CONFIG: its key was taken away by r7");
  send_forbidden(kUnknownKey, "ROUTE: no configuration ever held its key");
  if (trouble) {
    store.Put("op/config", Config(12, ""));
    record.Line("r12 is acknowledged: the tenant 'till' and its key are gone");
    pass(kRevokeMs + 500);
    send_forbidden(kTillKey, "CONFIG: its key was taken away by r12");
    send_forbidden(kShopKey, "CONFIG: its key was taken away by r7");
    send_forbidden(kUnknownKey, "ROUTE: no configuration ever held its key");
    send_forbidden("", "no key, and its route is not public");
  }
  int broken = 0;
  for (Server* server : {&first, &second}) {
    for (const Server::Run& run : server->runs()) {
      if (!run.key.empty()) {
        record.Line("broken: UNASKED: the key itself was passed on with " +
                    run.attempt);
        ++broken;
      }
      for (const Forbidden& it : forbidden) {
        if (it.attempt != run.attempt)
          continue;
        record.Line("broken: " + it.attempt + " ran. " + it.why);
        ++broken;
      }
    }
  }
  record.Line(broken > 0 ? "the rule was broken" : "the rule held");
  return broken > 0 ? 1 : 0;
}

}  // namespace
}  // namespace review

// Arguments: the program, a folder for settings and logs, the record's path.
int main(int argc, char** argv) {
  const int status = review::Main(argc, argv);
  // Threads of the stand-ins still run.
  std::fflush(nullptr);
  _exit(status);
}
