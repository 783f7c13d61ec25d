// Late parts of responses to earlier requests before, and parts of others
// after, the response to a request on a connection that was used before. No
// response may be put together from several.

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <catch2/catch.hpp>
#include <cstdio>
#include <exception>
#include <random>
#include <regex>
#include <string>
#include <vector>

#include "src/forward/connection_pool.h"
#include "tests/forward/scripted_peer.h"

namespace toucanknot {
namespace {

namespace asio = boost::asio;

constexpr int kRounds = 20'000;
constexpr int kStatuses[] = {200, 200, 204, 304, 421, 429, 500, 503};
constexpr const char* kReasons[] = {"", "OK", "No Way HTTP"};
constexpr const char* kJunctions[] = {"\r\n", "\n", "\r",       " ",     "\t",
                                      ":",    "X:", "\r\n\r\n", "\r\n ", "H"};
constexpr Ending kEndings[] = {Ending::kClose, Ending::kHalfClose,
                               Ending::kReset};

enum class Framing { kLength, kChunks, kTrailer, kNone };

// A response and its bytes.
struct Message {
  HttpResponse response;
  bool ends_with_connection = false;
  std::string bytes;
};

class Generator {
 public:
  explicit Generator(uint64_t seed) : random_(seed) {}

  int Below(int n) { return std::uniform_int_distribution(0, n - 1)(random_); }
  bool OneIn(int n) { return Below(n) == 0; }
  template <typename List>
  auto Pick(const List& list) {
    return list[static_cast<size_t>(Below(static_cast<int>(std::size(list))))];
  }

  Message MakeMessage(const std::string& id) {
    Message out;
    out.response.status = Pick(kStatuses);
    out.response.body = Text(OneIn(4) ? 0 : Below(200));
    Framing framing = static_cast<Framing>(Below(4));
    if (out.response.status == 204 || out.response.status == 304) {
      out.response.body.clear();
      framing = Framing::kLength;
    }
    out.ends_with_connection = framing == Framing::kNone;
    std::vector<HttpField> fields = {{"X-Id", id}, {"Server", Text(Below(9))}};
    const bool not_run = out.response.status >= 400 && OneIn(2);
    fields.push_back({not_run ? "X-Not-Run" : "X-Stamp", Text(4)});
    if (OneIn(2))
      fields.push_back({"X-Load", "3,0,8"});
    if (OneIn(2))
      fields.push_back({"X-Note-" + id, "a b"});
    if (OneIn(4))
      fields.push_back({"Connection", OneIn(2) ? "close" : "keep-alive"});
    if (framing == Framing::kLength) {
      fields.push_back(
          {"Content-Length", std::to_string(out.response.body.size())});
    } else if (framing != Framing::kNone) {
      fields.push_back({"Transfer-Encoding", "chunked"});
    }
    std::shuffle(fields.begin(), fields.end(), random_);
    const bool old = framing == Framing::kLength && OneIn(4);
    out.bytes = (OneIn(8) ? "HTTP/1.1 100 Continue\r\n\r\n" : "") +
                std::string(old ? "HTTP/1.0 " : "HTTP/1.1 ") +
                std::to_string(out.response.status) + " " + Pick(kReasons) +
                "\r\n";
    for (const HttpField& it : fields) {
      out.bytes += it.name + ": ";
      out.bytes += it.value == "a b" && OneIn(2) ? "a\r\n b" : it.value;
      out.bytes += "\r\n";
      out.response.fields.Add(it.name, it.value);
    }
    out.bytes +=
        "\r\n" + (framing == Framing::kChunks || framing == Framing::kTrailer
                      ? Chunks(out.response.body, framing)
                      : out.response.body);
    return out;
  }

  // The first bytes of `text`; sometimes all of them.
  std::string Cut(const std::string& text) {
    return OneIn(3) ? text
                    : text.substr(0, static_cast<size_t>(
                                         Below(static_cast<int>(text.size()))));
  }
  // What may stand between the parts of two messages.
  std::string Junction() {
    if (OneIn(64))
      return std::string(1, '\0');
    return OneIn(4) ? Pick(kJunctions) : "";
  }

 private:
  std::string Text(int size) {
    std::string out;
    while (static_cast<int>(out.size()) < size)
      out += static_cast<char>('a' + Below(26));
    return out;
  }
  std::string Chunks(const std::string& body, Framing framing) {
    std::string out;
    for (size_t at = 0; at < body.size();) {
      const size_t n =
          std::min(body.size() - at, static_cast<size_t>(1 + Below(60)));
      char size[9];
      std::snprintf(size, sizeof size, "%zx", n);
      out += std::string(size) + (OneIn(4) ? ";a=b" : "") + "\r\n" +
             body.substr(at, n) + "\r\n";
      at += n;
    }
    out += "0\r\n";
    if (framing == Framing::kTrailer)
      out += "X-Sum: " + Text(6) + "\r\nX-More: a\r\n b\r\n";
    return out + "\r\n";
  }

  std::mt19937_64 random_;
};

constexpr Duration kWait{10'000};
constexpr Duration kShortWait{100};

// Exchanges on one connection, as long as it is kept.
class Exchanges {
 public:
  // Replies that are cut and keep the connection take until the deadline.
  ExchangeResult Run(const ScriptedReply& reply, const std::string& id) {
    return Run(reply, id, reply.ending == Ending::kKeep ? kShortWait : kWait);
  }
  ExchangeResult Run(const ScriptedReply& reply,
                     const std::string& id,
                     Duration deadline) {
    reply_ = reply;
    HttpRequest request;
    request.method = "GET";
    request.target = "/";
    request.fields.Add("Host", "x");
    ExchangeOptions options;
    options.deadline = SteadyNow() + deadline;
    options.single_fields = {"X-Id", "X-Stamp"};
    options.is_own_response = [id](const HttpResponse& response) {
      return response.fields.Get("X-Id") == id;
    };
    ExchangeResult result;
    asio::co_spawn(loop_, pool_.Exchange(peer_.endpoint(), request, options),
                   [&](const std::exception_ptr& e, ExchangeResult it) {
                     CHECK(e == nullptr);
                     result = std::move(it);
                     loop_.stop();
                   });
    loop_.restart();
    loop_.run();
    return result;
  }

 private:
  ScriptedReply reply_;
  asio::io_context loop_;
  ScriptedPeer peer_{loop_, [this](const std::string&) { return reply_; }};
  ConnectionPool pool_{loop_};
};

bool SameFields(const HttpResponse& a, const HttpResponse& b) {
  return std::equal(a.fields.all().begin(), a.fields.all().end(),
                    b.fields.all().begin(), b.fields.all().end(),
                    [](const HttpField& x, const HttpField& y) {
                      return x.name == y.name && x.value == y.value;
                    });
}

// Opens a connection, or uses the one that is open, some times.
void UseConnection(Exchanges& exchanges, int times) {
  for (int i = 0; i < times; ++i) {
    const ScriptedReply reply{
        "HTTP/1.1 200 OK\r\nX-Id: 0\r\nContent-Length: 2\r\n\r\nok"};
    ExchangeResult it = exchanges.Run(reply, "0", kWait);
    // The peer may have ended a connection after the last response.
    if (it.end != AttemptEnd::kAnswered && it.reused())
      it = exchanges.Run(reply, "0", kWait);
    CHECK(it.end == AttemptEnd::kAnswered);
  }
}

// Where a status line begins in `text` from `from` on, or its size.
size_t FindStatusLine(const std::string& text, size_t from) {
  const std::regex line("HTTP/1\\.[01] [0-9]{3}");
  std::smatch match;
  const auto begin = text.begin() + static_cast<ptrdiff_t>(from);
  return std::regex_search(begin, text.end(), match, line)
             ? from + static_cast<size_t>(match.position())
             : text.size();
}

Ending DrawEnding(Generator& draw) {
  // Silence takes long.
  if (draw.OneIn(200))
    return Ending::kKeep;
  return draw.Pick(kEndings);
}

}  // namespace

TEST_CASE("late parts of other responses are not mixed into the next one") {
  Generator draw(43);
  Exchanges exchanges;
  int after_late = 0;
  for (int round = 0; round < kRounds; ++round) {
    UseConnection(exchanges, draw.OneIn(50) ? 30 : 1);
    std::string before;
    for (int i = draw.Below(4); i > 0; --i)
      before += draw.Cut(draw.MakeMessage("1").bytes) + draw.Junction();
    const Message own = draw.MakeMessage("2");
    const bool whole = draw.OneIn(2);
    const std::string bytes =
        before + (whole ? own.bytes : draw.Cut(own.bytes));
    const Ending ending = DrawEnding(draw);
    const int second_part =
        draw.OneIn(2) ? draw.Below(static_cast<int>(bytes.size()) + 1) : 0;
    const ExchangeResult it =
        exchanges.Run({bytes, ending, static_cast<size_t>(second_part)}, "2");
    if (it.end != AttemptEnd::kAnswered)
      continue;
    after_late += before.empty() ? 0 : 1;
    INFO("round " << round << ":\n" << bytes);
    CHECK(it.response.status == own.response.status);
    CHECK(SameFields(it.response, own.response));
    if (own.ends_with_connection) {
      CHECK(own.response.body.starts_with(it.response.body));
      CHECK((ending == Ending::kClose || ending == Ending::kHalfClose));
    } else {
      CHECK(it.response.body == own.response.body);
    }
  }
  // Whole late responses do occur.
  CHECK(after_late > kRounds / 100);
}

TEST_CASE("parts of other responses after the own one are not mixed into it") {
  Generator draw(44);
  Exchanges exchanges;
  int answered = 0;
  for (int round = 0; round < kRounds; ++round) {
    UseConnection(exchanges, 1);
    Message own = draw.MakeMessage("2");
    // What follows a response without a length is its body.
    while (own.ends_with_connection)
      own = draw.MakeMessage("2");
    std::string junction = draw.Junction();
    // A blank line could complete the head.
    while (junction.find("\r\n") != std::string::npos)
      junction = draw.Junction();
    const std::string bytes = draw.Cut(own.bytes) + junction +
                              draw.Cut(draw.MakeMessage("1").bytes) +
                              draw.Cut(draw.MakeMessage("1").bytes);
    const ExchangeResult it = exchanges.Run({bytes, DrawEnding(draw)}, "2");
    if (it.end != AttemptEnd::kAnswered)
      continue;
    ++answered;
    INFO("round " << round << ":\n" << bytes);
    CHECK(it.response.status == own.response.status);
    CHECK(SameFields(it.response, own.response));
    if (it.response.body == own.response.body)
      continue;
    // The bytes are those of one message, unless another one begins in it and
    // goes on after it.
    const size_t end = own.bytes.size();
    INFO("the body is " << it.response.body);
    CHECK(own.response.fields.Has("Content-Length"));
    CHECK((bytes.size() == end ||
           FindStatusLine(bytes, end - own.response.body.size()) >= end));
  }
  CHECK(answered > kRounds / 100);
}

}  // namespace toucanknot
