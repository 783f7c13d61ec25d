// Responses that end at each of their bytes: a part of one must not be taken
// for a whole one.

#include <boost/asio/co_spawn.hpp>
#include <catch2/catch.hpp>
#include <exception>
#include <memory>
#include <string>
#include <vector>

#include "src/forward/connection_pool.h"
#include "tests/forward/scripted_peer.h"

namespace toucanknot {
namespace {

namespace asio = boost::asio;

struct Message {
  const char* name;
  const char* method;
  std::string head;
  std::string body;
  // Whether an orderly end of the connection completes the body.
  bool ends_with_connection = false;
};

const Message kMessages[] = {
    {"length", "GET",
     "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Stamp: s\r\nContent-Length: 9\r\n\r\n",
     "a\r\n\r\n0\r\n\r"},
    {"length last in HTTP/1.0", "GET",
     "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 12\r\n\r\n",
     "twelve bytes"},
    {"folded fields", "GET",
     "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nX-Note: a\r\n b\r\n\tc\r\n"
     "Retry-After: 0.5\r\nContent-Length: 4\r\n\r\n",
     "full"},
    {"chunks", "GET",
     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Id: 1\r\n\r\n",
     "5;a=b\r\nhello\r\n10\r\n0123456789abcdef\r\n0\r\n\r\n"},
    {"chunks with a trailer", "GET",
     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
     "3\r\none\r\n000;last\r\nX-Sum: 1\r\nX-Note: a\r\n b\r\n\r\n"},
    {"interim responses", "GET",
     "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n"
     "\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n",
     "ok"},
    {"no length", "GET", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Stamp: s\r\n\r\n",
     "a body that ends with its connection", true},
    {"no length in HTTP/1.0", "GET", "HTTP/1.0 200 OK\r\nServer: x\r\n\r\n",
     "old", true},
    {"HEAD", "HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n", ""},
    {"HEAD without a length", "HEAD", "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n", ""},
    {"204", "GET", "HTTP/1.1 204 No Content\r\nX-Id: 1\r\n\r\n", ""},
    {"304", "GET", "HTTP/1.1 304 Not Modified\r\nContent-Length: 100\r\n\r\n",
     ""},
};

constexpr Ending kEndings[] = {Ending::kKeep, Ending::kClose,
                               Ending::kHalfClose, Ending::kReset};
constexpr const char* kEndingNames[] = {"silence", "close", "half-close",
                                        "reset"};

// Exchanges that run at the same time, each answered with the first bytes of a
// message.
class CutExchanges {
 public:
  // The requests have bodies of `upload_bytes`, of which the peer reads little.
  CutExchanges(const Message& message, Ending ending, size_t upload_bytes)
      : message_(message),
        ending_(ending),
        upload_(upload_bytes == 0
                    ? nullptr
                    : std::make_shared<const std::string>(upload_bytes, 'u')) {}

  // Returns the ends of the exchanges whose replies are cut after
  // `first`, ..., `last` - 1 bytes.
  std::vector<ExchangeResult> Run(size_t first, size_t last) {
    std::vector<ExchangeResult> results(last - first);
    size_t running = results.size();
    for (size_t cut = first; cut < last; ++cut) {
      asio::co_spawn(loop_,
                     pool_.Exchange(peer_.endpoint(), Request(cut), Options()),
                     [&, cut](const std::exception_ptr& e, ExchangeResult it) {
                       CHECK(e == nullptr);
                       results[cut - first] = std::move(it);
                       if (--running == 0)
                         loop_.stop();
                     });
    }
    loop_.restart();
    loop_.run();
    return results;
  }

 private:
  HttpRequest Request(size_t cut) const {
    HttpRequest request;
    request.method = upload_ ? "POST" : message_.method;
    request.target = "/" + std::to_string(cut);
    request.fields.Add("Host", "x");
    return request;
  }
  ExchangeOptions Options() const {
    ExchangeOptions options;
    options.deadline =
        SteadyNow() + Duration(ending_ == Ending::kKeep ? 300 : 10'000);
    options.body = upload_;
    return options;
  }

  const Message& message_;
  const Ending ending_;
  const std::shared_ptr<const std::string> upload_;
  asio::io_context loop_;
  ScriptedPeer peer_{loop_, [this](const std::string& target) {
                       const std::string whole = message_.head + message_.body;
                       return ScriptedReply{
                           whole.substr(0, std::stoul(target.substr(1))),
                           ending_};
                     }};
  ConnectionPool pool_{loop_};
};

// Checks the replies cut after each number of bytes, `step` at the same time.
void CheckCuts(const Message& message,
               Ending ending,
               size_t upload_bytes,
               size_t step) {
  const size_t size = message.head.size() + message.body.size();
  // Closing a connection with unread bytes resets it.
  const bool orderly = ending == Ending::kHalfClose ||
                       (ending == Ending::kClose && upload_bytes == 0);
  CutExchanges exchanges(message, ending, upload_bytes);
  for (size_t first = 0; first < size; first += step) {
    const auto results = exchanges.Run(first, std::min(size, first + step));
    for (size_t i = 0; i < results.size(); ++i) {
      const ExchangeResult& it = results[i];
      const size_t cut = first + i;
      INFO(message.name << " cut after " << cut << " of " << size << ", "
                        << kEndingNames[static_cast<int>(ending)] << ": "
                        << it.error);
      if (message.ends_with_connection && orderly &&
          cut >= message.head.size()) {
        CHECK(it.end == AttemptEnd::kAnswered);
        CHECK(it.response.body ==
              message.body.substr(0, cut - message.head.size()));
        continue;
      }
      CHECK(it.end == (ending == Ending::kKeep ? AttemptEnd::kTimedOut
                                               : AttemptEnd::kBroken));
      CHECK(it.response.status == HttpResponse().status);
      CHECK(it.response.fields.all().empty());
      CHECK(it.response.body.empty());
    }
  }
}

}  // namespace

TEST_CASE("a response cut at any byte is not taken for a whole one") {
  for (const Message& message : kMessages) {
    for (const Ending ending : kEndings)
      CheckCuts(message, ending, 0, 256);
  }
}

TEST_CASE("a response cut during an upload is not taken for a whole one") {
  for (const Message& message : kMessages) {
    if (std::string(message.method) != "GET")
      continue;
    for (const Ending ending : kEndings)
      CheckCuts(message, ending, 6 << 20, 64);
  }
}

TEST_CASE("a response whose framing is not known is not taken for whole") {
  const Message message = GENERATE(
      Message{"coding", "GET",
              "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n", "zzzz"},
      Message{"chunks in a coding", "GET",
              "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
              "2\r\nzz\r\n0\r\n\r\n"},
      Message{"misspelt", "GET",
              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunke\r\n\r\n",
              "2\r\nok\r\n0\r\n\r\n"},
      Message{"chunks in HTTP/1.0", "GET",
              "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
              "2\r\nok\r\n0\r\n\r\n"},
      Message{"another version", "GET",
              "HTTP/2.0 200 OK\r\nContent-Length: 2\r\n\r\n", "ok"},
      Message{"length and chunks", "GET",
              "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
              "Transfer-Encoding: chunked\r\n\r\n",
              "2\r\nok\r\n0\r\n\r\n"},
      Message{"two lengths", "GET",
              "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
              "Content-Length: 2\r\n\r\n",
              "ok"},
      Message{"line feeds only", "GET",
              "HTTP/1.1 200 OK\nContent-Length: 2\n\n", "ok"},
      Message{"a NUL in a field", "GET",
              "HTTP/1.1 200 OK\r\nX-Note: a" + std::string(1, '\0') +
                  "b\r\nContent-Length: 2\r\n\r\n",
              "ok"});
  CutExchanges exchanges(message, Ending::kClose, 0);
  const size_t size = message.head.size() + message.body.size();
  const ExchangeResult result = exchanges.Run(size, size + 1).front();
  INFO(message.name << ": " << result.error);
  CHECK(result.end == AttemptEnd::kBroken);
  CHECK(result.error.find("incomplete") != std::string::npos);
}

}  // namespace toucanknot
