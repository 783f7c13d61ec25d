#include "src/peer/wire_convert.h"

#include <algorithm>
#include <limits>
#include <string>
#include <vector>

#include "include/peer/envelope.h"

namespace toucanknot {
namespace {

// On the wire, durations are non-negative 32-bit numbers of milliseconds.
int32_t ToWire(Duration duration) {
  const int64_t max = std::numeric_limits<int32_t>::max();
  return static_cast<int32_t>(std::clamp<int64_t>(duration.ms(), 0, max));
}

Duration FromWire(int32_t ms) {
  if (ms < 0)
    throw MalformedMessageError("a negative duration");
  return Duration(ms);
}

int64_t CheckCount(int64_t count) {
  if (count < 0)
    throw MalformedMessageError("a negative count");
  return count;
}

int64_t Signed(uint64_t value) {
  return static_cast<int64_t>(value);
}

uint64_t Unsigned(int64_t value) {
  return static_cast<uint64_t>(value);
}

template <typename E, size_t N>
E ToEnum(int32_t value, const EnumNames<E, N>& names) {
  if (value < 0 || static_cast<size_t>(value) >= names.names.size())
    throw MalformedMessageError("an enum value out of range");
  return static_cast<E>(value);
}

std::vector<std::string> ToWire(const std::vector<HostId>& ids) {
  std::vector<std::string> out;
  out.reserve(ids.size());
  for (const HostId& it : ids)
    out.push_back(it.str());
  return out;
}

std::vector<HostId> FromWire(const std::vector<std::string>& ids) {
  std::vector<HostId> out;
  out.reserve(ids.size());
  for (const std::string& it : ids)
    out.emplace_back(it);
  return out;
}

wire::ConfigStamp ToWire(const ConfigStamp& stamp) {
  wire::ConfigStamp out;
  out.__set_version(Signed(stamp.version));
  out.__set_digest(stamp.digest);
  return out;
}

ConfigStamp FromWire(const wire::ConfigStamp& stamp) {
  return {Unsigned(stamp.version), stamp.digest};
}

wire::Heartbeat ToWire(const Heartbeat& in) {
  wire::Heartbeat out;
  out.__set_zone(in.zone.str());
  out.__set_sequence(Signed(in.sequence));
  out.__set_state(static_cast<int32_t>(in.state));
  out.__set_config(ToWire(in.config));
  out.__set_capacity(in.capacity);
  out.__set_in_flight_total(in.in_flight_total);
  if (!in.in_flight.empty()) {
    for (const ServerInFlight& it : in.in_flight) {
      wire::ServerInFlight item;
      item.__set_server(it.server.str());
      item.__set_requests(it.requests);
      out.in_flight.push_back(item);
    }
    out.__isset.in_flight = true;
    out.__set_in_flight_age_ms(ToWire(in.in_flight_age));
  }
  if (!in.unlisted.empty())
    out.__set_unlisted(ToWire(in.unlisted));
  return out;
}

Heartbeat FromWire(const wire::Heartbeat& in) {
  Heartbeat out;
  out.zone = ZoneId(in.zone);
  out.sequence = Unsigned(in.sequence);
  out.state = ToEnum(in.state, kHostStateNames);
  out.config = FromWire(in.config);
  out.capacity = CheckCount(in.capacity);
  out.in_flight_total = CheckCount(in.in_flight_total);
  out.in_flight.reserve(in.in_flight.size());
  for (const wire::ServerInFlight& it : in.in_flight) {
    CheckCount(it.requests);
    out.in_flight.push_back({ServerId(it.server), it.requests});
  }
  out.in_flight_age = FromWire(in.in_flight_age_ms);
  out.unlisted = FromWire(in.unlisted);
  return out;
}

wire::ZoneDigest ToWire(const ZoneDigest& in) {
  wire::ZoneDigest out;
  out.__set_zone(in.zone.str());
  out.__set_age_ms(ToWire(in.age));
  out.__set_live_hosts(in.live_hosts);
  out.__set_capacity(in.capacity);
  out.__set_in_flight(in.in_flight);
  out.__set_config(ToWire(in.config));
  if (!in.excluded.empty())
    out.__set_excluded(ToWire(in.excluded));
  return out;
}

ZoneDigest FromWire(const wire::ZoneDigest& in) {
  ZoneDigest out;
  out.zone = ZoneId(in.zone);
  out.age = FromWire(in.age_ms);
  out.live_hosts = static_cast<int32_t>(CheckCount(in.live_hosts));
  out.capacity = CheckCount(in.capacity);
  out.in_flight = CheckCount(in.in_flight);
  out.config = FromWire(in.config);
  out.excluded = FromWire(in.excluded);
  return out;
}

wire::ZoneDigests ToWire(const ZoneDigests& in) {
  wire::ZoneDigests out;
  out.zones.reserve(in.zones.size());
  for (const ZoneDigest& it : in.zones)
    out.zones.push_back(ToWire(it));
  out.__isset.zones = true;
  out.__set_round(Signed(in.round));
  return out;
}

ZoneDigests FromWire(const wire::ZoneDigests& in) {
  ZoneDigests out;
  out.zones.reserve(in.zones.size());
  for (const wire::ZoneDigest& it : in.zones)
    out.zones.push_back(FromWire(it));
  out.round = Unsigned(in.round);
  return out;
}

LeavingNotice FromWire(const wire::LeavingNotice& in) {
  const HostState state = ToEnum(in.state, kHostStateNames);
  if (state < HostState::kLeaving)
    throw MalformedMessageError(
        "a leaving notice with the state of a host that is not leaving");
  return {state};
}

template <typename Tag>
std::vector<std::string> IdsToWire(const std::vector<Id<Tag>>& ids) {
  std::vector<std::string> out;
  out.reserve(ids.size());
  for (const auto& it : ids)
    out.push_back(it.str());
  return out;
}

wire::LoadNotice ToWire(const LoadNotice& in) {
  wire::LoadNotice out;
  for (const LoadNotice::ServiceLoad& it : in.services) {
    wire::ServiceLoad load;
    load.__set_service_id(it.service.str());
    for (const ServerInFlight& server : it.in_flight) {
      wire::ServerInFlight item;
      item.__set_server(server.server.str());
      item.__set_requests(server.requests);
      load.in_flight.push_back(item);
    }
    load.__isset.in_flight = true;
    load.__set_waiting(it.waiting);
    load.__set_free_slots(it.free_slots);
    load.__set_slots(it.slots);
    out.services.push_back(load);
  }
  out.__isset.services = true;
  return out;
}

LoadNotice FromWire(const wire::LoadNotice& in) {
  LoadNotice out;
  for (const wire::ServiceLoad& it : in.services) {
    LoadNotice::ServiceLoad load;
    load.service = ServiceId(it.service_id);
    for (const wire::ServerInFlight& server : it.in_flight) {
      CheckCount(server.requests);
      load.in_flight.push_back({ServerId(server.server), server.requests});
    }
    load.waiting = static_cast<int32_t>(CheckCount(it.waiting));
    load.free_slots = static_cast<int32_t>(CheckCount(it.free_slots));
    load.slots = static_cast<int32_t>(CheckCount(it.slots));
    out.services.push_back(std::move(load));
  }
  return out;
}

wire::CrashNotices ToWire(const CrashNotices& in) {
  wire::CrashNotices out;
  out.__set_service_id(in.service.str());
  for (const CrashNotice& it : in.notices) {
    wire::CrashNotice notice;
    notice.__set_kind(static_cast<int32_t>(it.kind));
    notice.__set_fingerprint(Signed(it.fingerprint));
    notice.__set_servers(IdsToWire(it.servers));
    notice.__set_proven(it.known_good);
    notice.__set_remaining_ms(ToWire(it.remaining));
    out.notices.push_back(notice);
  }
  out.__isset.notices = true;
  return out;
}

// The sender of each notice is the sender of the envelope, which is
// authenticated.
CrashNotices FromWire(const wire::CrashNotices& in, const HostId& sender) {
  CrashNotices out;
  out.service = ServiceId(in.service_id);
  for (const wire::CrashNotice& it : in.notices) {
    CrashNotice notice;
    notice.kind = ToEnum(it.kind, kCrashNoticeKindNames);
    notice.fingerprint = Unsigned(it.fingerprint);
    notice.sender = sender;
    for (const std::string& server : it.servers)
      notice.servers.emplace_back(server);
    notice.known_good = it.proven;
    notice.remaining = FromWire(it.remaining_ms);
    out.notices.push_back(std::move(notice));
  }
  return out;
}

wire::ServerViews ToWire(const ServerViews& in) {
  wire::ServerViews out;
  out.__set_service_id(in.service.str());
  for (const ServerView& it : in.views) {
    wire::ServerView view;
    view.__set_server(it.server.str());
    view.__set_state(static_cast<int32_t>(it.state));
    view.__set_age_ms(ToWire(it.age));
    out.views.push_back(view);
  }
  out.__isset.views = true;
  return out;
}

ServerViews FromWire(const wire::ServerViews& in) {
  ServerViews out;
  out.service = ServiceId(in.service_id);
  for (const wire::ServerView& it : in.views) {
    out.views.push_back({ServerId(it.server),
                         ToEnum(it.state, kServerStateNames),
                         FromWire(it.age_ms)});
  }
  return out;
}

wire::TicketHandoff ToWire(const TicketHandoff& in) {
  wire::TicketHandoff out;
  out.__set_forgotten_mark(Signed(in.forgotten_mark));
  for (const RunRecords::Finished& it : in.finished) {
    wire::FinishedRun run;
    run.__set_run(Signed(it.run));
    run.__set_verdict(static_cast<int32_t>(it.verdict));
    out.finished.push_back(run);
  }
  out.__isset.finished = true;
  return out;
}

// The owner is the sender of the envelope: a host can hand off only its own
// tickets.
TicketHandoff FromWire(const wire::TicketHandoff& in,
                       const PeerSender& sender) {
  TicketHandoff out;
  out.owner = {sender.host, sender.incarnation};
  out.forgotten_mark = Unsigned(in.forgotten_mark);
  for (const wire::FinishedRun& it : in.finished) {
    out.finished.push_back(
        {Unsigned(it.run), ToEnum(it.verdict, kVerdictNames)});
  }
  return out;
}

// Sets the member of the envelope that corresponds to the type of a message.
struct WireWriter {
  wire::Envelope* envelope;

  void operator()(const Heartbeat& in) {
    envelope->__set_heartbeat(ToWire(in));
  }
  void operator()(const ZoneDigests& in) {
    envelope->__set_zone_digests(ToWire(in));
  }
  void operator()(const LeavingNotice& in) {
    wire::LeavingNotice out;
    out.__set_state(static_cast<int32_t>(in.state));
    envelope->__set_leaving_notice(out);
  }
  void operator()(const ConfigCompare& in) {
    wire::ConfigCompare out;
    out.__set_have(ToWire(in.have));
    envelope->__set_config_compare(out);
  }
  void operator()(const ConfigAsk& in) {
    wire::ConfigAsk out;
    out.__set_have(ToWire(in.have));
    envelope->__set_config_ask(out);
  }
  void operator()(const ConfigPush& in) {
    wire::ConfigPush out;
    out.__set_stamp(ToWire(in.stamp));
    out.__set_text(in.text);
    envelope->__set_config_push(out);
  }
  void operator()(const PartAsk& in) {
    wire::PartAsk out;
    out.__set_digest(in.digest);
    envelope->__set_part_ask(out);
  }
  void operator()(const PartGive& in) {
    wire::PartGive out;
    out.__set_digest(in.digest);
    out.__set_found(in.found);
    out.__set_data(in.data);
    envelope->__set_part_give(out);
  }
  void operator()(const LoadNotice& in) {
    envelope->__set_load_notice(ToWire(in));
  }
  void operator()(const CrashNotices& in) {
    envelope->__set_crash_notices(ToWire(in));
  }
  void operator()(const ServerViews& in) {
    envelope->__set_server_views(ToWire(in));
  }
  void operator()(const TicketHandoff& in) {
    envelope->__set_ticket_handoff(ToWire(in));
  }
};

// Reads the only message of an envelope.
class WireReader {
 public:
  void ReadIfSet(bool is_set, auto make) {
    if (!is_set)
      return;
    if (message_)
      throw MalformedMessageError("two messages in one envelope");
    message_ = make();
  }

  std::optional<PeerMessage> Result() { return std::move(message_); }

 private:
  std::optional<PeerMessage> message_;
};

}  // namespace

void WriteMessage(const PeerMessage& message, wire::Envelope* envelope) {
  std::visit(WireWriter{envelope}, message);
}

PeerSender ReadSender(const wire::Envelope& envelope) {
  if (envelope.sender.empty())
    throw MalformedMessageError("no sender");
  return {HostId(envelope.sender), Unsigned(envelope.incarnation)};
}

std::optional<PeerMessage> ReadMessage(const wire::Envelope& in) {
  const auto& set = in.__isset;
  WireReader reader;
  reader.ReadIfSet(set.heartbeat, [&] { return FromWire(in.heartbeat); });
  reader.ReadIfSet(set.zone_digests, [&] { return FromWire(in.zone_digests); });
  reader.ReadIfSet(set.leaving_notice,
                   [&] { return FromWire(in.leaving_notice); });
  reader.ReadIfSet(set.config_compare, [&] {
    return ConfigCompare{FromWire(in.config_compare.have)};
  });
  reader.ReadIfSet(set.config_ask,
                   [&] { return ConfigAsk{FromWire(in.config_ask.have)}; });
  reader.ReadIfSet(set.config_push, [&] {
    return ConfigPush{FromWire(in.config_push.stamp), in.config_push.text};
  });
  reader.ReadIfSet(set.part_ask, [&] { return PartAsk{in.part_ask.digest}; });
  reader.ReadIfSet(set.part_give, [&] {
    const wire::PartGive& it = in.part_give;
    return PartGive{it.digest, it.found, it.data};
  });
  reader.ReadIfSet(set.load_notice, [&] { return FromWire(in.load_notice); });
  reader.ReadIfSet(set.crash_notices, [&] {
    return FromWire(in.crash_notices, HostId(in.sender));
  });
  reader.ReadIfSet(set.server_views, [&] { return FromWire(in.server_views); });
  reader.ReadIfSet(set.ticket_handoff,
                   [&] { return FromWire(in.ticket_handoff, ReadSender(in)); });
  return reader.Result();
}

}  // namespace toucanknot
