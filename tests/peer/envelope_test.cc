#include "include/peer/envelope.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <catch2/catch.hpp>

#include <limits>
#include <random>
#include <vector>

#include "src/peer/gen/peer_types.h"

namespace toucanknot {
namespace {

const PeerSender kSender{HostId("khomas-1"), 0xfedcba9876543210};

std::vector<PeerMessage> OneMessageOfEachKind() {
  const ConfigStamp stamp{42, "0123456789abcdef"};
  Heartbeat heartbeat{ZoneId("khomas-a"), 7, HostState::kServing, stamp, 96};
  heartbeat.in_flight_total = 7;
  heartbeat.in_flight = {{ServerId("w1"), 3}, {ServerId("w2"), 4}};
  heartbeat.in_flight_age = Duration(12);
  heartbeat.unlisted = {HostId("khomas-2")};
  ZoneDigest digest{ZoneId("oshana-b"), Duration(250), 3, 12, 5, stamp};
  digest.excluded = {HostId("oshana-4")};
  CrashNotice crash;
  crash.kind = CrashNoticeKind::kQuarantined;
  crash.fingerprint = ~0ULL;
  crash.sender = kSender.host;
  crash.servers = {ServerId("w1"), ServerId("w2")};
  crash.known_good = true;
  crash.remaining = Duration(300'000);
  const TicketHandoff handoff{{kSender.host, kSender.incarnation},
                              12,
                              {{13, Verdict::kRan}, {15, Verdict::kUnknown}}};
  return {heartbeat,
          ZoneDigests{{digest, digest}, 9},
          LeavingNotice{HostState::kStopped},
          ConfigCompare{stamp},
          ConfigAsk{stamp},
          ConfigPush{stamp, std::string("{\"a\": \0 1}", 10)},
          PartAsk{"aa"},
          PartGive{"aa", true, std::string(5000, '\xff')},
          LoadNotice{{{ServiceId("orders"), {{ServerId("w1"), 3}}, 1, 2, 6}}},
          CrashNotices{ServiceId("orders"), {crash}},
          ServerViews{ServiceId("orders"),
                      {{ServerId("w1"), ServerState::kLeaving, Duration(5)}}},
          handoff};
}

std::string EncodeWire(const wire::Envelope& envelope) {
  using apache::thrift::transport::TMemoryBuffer;
  const auto buf = std::make_shared<TMemoryBuffer>();
  apache::thrift::protocol::TCompactProtocolT<TMemoryBuffer> protocol(buf);
  envelope.write(&protocol);
  return buf->getBufferAsString();
}

wire::Envelope WithSender() {
  wire::Envelope envelope;
  envelope.__set_sender("h");
  return envelope;
}

// Returns true when the body is decoded or rejected as malformed; other
// exceptions propagate.
bool DecodesOrRejects(const std::string& body) {
  try {
    DecodeEnvelope(body);
  } catch (const MalformedMessageError&) {
  }
  return true;
}

}  // namespace

TEST_CASE("every kind of message is unchanged after a round trip") {
  const auto messages = OneMessageOfEachKind();
  REQUIRE(messages.size() == std::variant_size_v<PeerMessage>);
  for (const PeerMessage& it : messages) {
    const Envelope got = DecodeEnvelope(EncodeEnvelope(kSender, it));
    CHECK(got.sender == kSender);
    REQUIRE(got.message);
    CHECK(*got.message == it);
  }
}

TEST_CASE("a kind of message from a later release is ignored") {
  // Field 100 of the envelope: an empty struct.
  std::string body = EncodeWire(WithSender());
  body.pop_back();
  body += std::string("\x0c\xc8\x01\x00\x00", 5);
  const Envelope got = DecodeEnvelope(body);
  CHECK(got.sender.host == HostId("h"));
  CHECK_FALSE(got.message);
}

TEST_CASE("values that violate the protocol are rejected") {
  wire::Envelope envelope = WithSender();
  SECTION("no sender") {
    envelope = wire::Envelope();
  }
  SECTION("two messages") {
    envelope.__set_part_ask(wire::PartAsk());
    envelope.__set_config_ask(wire::ConfigAsk());
  }
  SECTION("state") {
    wire::Heartbeat heartbeat;
    heartbeat.__set_state(4);
    envelope.__set_heartbeat(heartbeat);
  }
  SECTION("negative age") {
    wire::ServerView view;
    view.__set_age_ms(-1);
    wire::ServerViews views;
    views.__set_views({view});
    envelope.__set_server_views(views);
  }
  SECTION("negative count") {
    wire::ServiceLoad load;
    load.__set_waiting(-1);
    wire::LoadNotice notice;
    notice.__set_services({load});
    envelope.__set_load_notice(notice);
  }
  SECTION("verdict") {
    wire::FinishedRun run;
    run.__set_verdict(3);
    wire::TicketHandoff handoff;
    handoff.__set_finished({run});
    envelope.__set_ticket_handoff(handoff);
  }
  CHECK_THROWS_AS(DecodeEnvelope(EncodeWire(envelope)), MalformedMessageError);
}

TEST_CASE("changed, truncated and random bodies are decoded or rejected") {
  std::mt19937 random(20261204);
  const auto messages = OneMessageOfEachKind();
  int rejected = 0;
  for (int i = 0; i < 20'000; ++i) {
    std::string body =
        EncodeEnvelope(kSender, messages[random() % messages.size()]);
    const int changes = 1 + static_cast<int>(random() % 4);
    for (int k = 0; k < changes; ++k)
      body[random() % body.size()] = static_cast<char>(random());
    if (random() % 4 == 0)
      body.resize(random() % body.size());
    CHECK(DecodesOrRejects(body));
  }
  for (int i = 0; i < 20'000; ++i) {
    std::string body(random() % 200, '\0');
    for (char& it : body)
      it = static_cast<char>(random());
    try {
      DecodeEnvelope(body);
    } catch (const MalformedMessageError&) {
      ++rejected;
    }
  }
  CHECK(rejected > 19'000);
  CHECK_THROWS_AS(DecodeEnvelope(""), MalformedMessageError);
  const std::string whole = EncodeEnvelope(kSender, messages[0]);
  CHECK_THROWS_AS(DecodeEnvelope(whole + "x"), MalformedMessageError);
}

}  // namespace toucanknot
