// The protocol between entry hosts. Fields may only be added, as optional and
// with new numbers; readers ignore unknown fields.
namespace cpp toucanknot.wire

struct ConfigStamp {
  1: optional i64 version
  2: optional string digest
}

struct ServerInFlight {
  1: optional string server
  2: optional i32 requests
}

struct Heartbeat {
  1: optional string zone
  2: optional i64 sequence
  3: optional i32 state
  4: optional ConfigStamp config
  5: optional i64 capacity
  6: optional list<ServerInFlight> in_flight
  7: optional i32 in_flight_age_ms
  8: optional list<string> unlisted
  9: optional i64 in_flight_total
}

struct ZoneDigest {
  1: optional string zone
  2: optional i32 age_ms
  3: optional i32 live_hosts
  4: optional i64 capacity
  5: optional i64 in_flight
  6: optional ConfigStamp config
  7: optional list<string> excluded
}

struct ZoneDigests {
  1: optional list<ZoneDigest> zones
  2: optional i64 round
}

struct LeavingNotice {
  1: optional i32 state
}

struct ConfigCompare {
  1: optional ConfigStamp have
}

struct ConfigAsk {
  1: optional ConfigStamp have
}

struct ConfigPush {
  1: optional ConfigStamp stamp
  2: optional binary text
}

struct PartAsk {
  1: optional string digest
}

struct PartGive {
  1: optional string digest
  2: optional bool found
  3: optional binary data
}

struct ServiceLoad {
  1: optional string service_id
  2: optional list<ServerInFlight> in_flight
  3: optional i32 waiting
  4: optional i32 free_slots
  5: optional i32 slots
}

struct LoadNotice {
  1: optional list<ServiceLoad> services
}

struct CrashNotice {
  1: optional i32 kind
  2: optional i64 fingerprint
  3: optional list<string> servers
  4: optional bool proven
  5: optional i32 remaining_ms
}

struct CrashNotices {
  1: optional string service_id
  2: optional list<CrashNotice> notices
}

struct ServerView {
  1: optional string server
  2: optional i32 state
  3: optional i32 age_ms
}

struct ServerViews {
  1: optional string service_id
  2: optional list<ServerView> views
}

struct FinishedRun {
  1: optional i64 run
  2: optional i32 verdict
}

struct TicketHandoff {
  1: optional i64 forgotten_mark
  2: optional list<FinishedRun> finished
}

// The body of a frame: the sender and at most one message.
struct Envelope {
  1: optional string sender
  2: optional i64 incarnation
  3: optional Heartbeat heartbeat
  4: optional ZoneDigests zone_digests
  5: optional LeavingNotice leaving_notice
  6: optional ConfigCompare config_compare
  7: optional ConfigAsk config_ask
  8: optional ConfigPush config_push
  9: optional PartAsk part_ask
  10: optional PartGive part_give
  11: optional LoadNotice load_notice
  12: optional CrashNotices crash_notices
  13: optional ServerViews server_views
  14: optional TicketHandoff ticket_handoff
}

// What a host that watches the platform's store sends to the other hosts of its
// zone (see StoreNews). The lists have one element for each changed key.
struct StoreNews {
  1: optional string host
  2: optional i64 incarnation
  3: optional i64 before
  4: optional i64 revision
  // How long ago there were no later changes; not set if that is not known.
  5: optional i32 age_ms
  6: optional bool lost
  7: optional list<string> keys
  8: optional list<i64> revisions
  9: optional list<bool> removed
  // Empty where `valued` is false.
  10: optional list<binary> values
  11: optional list<bool> valued
  // The copy of the store that the revisions belong to.
  12: optional i64 era
}

// Load report of one host, sent to the others in a datagram: its requests in
// flight at backend servers. Servers are identified by hashes of their ids.
struct LoadSheet {
  1: optional i64 host
  2: optional i64 incarnation
  3: optional i64 sequence
  4: optional list<i32> servers
  5: optional list<i16> requests
  // Requests whose connection broke recently, and the servers where it broke.
  6: optional list<i64> crash_requests
  7: optional list<i32> crash_servers
  // Average demand of the host's own callers, in tenths of a slot, by service
  // (hashes of the service ids).
  8: optional list<i32> services
  9: optional list<i32> slot_tenths
  // How long ago each of those connections broke, and whether that has an
  // excuse (see CrashTracker).
  10: optional list<i32> crash_ages_ms
  11: optional list<bool> crash_excused
  // Requests that completed although they were suspected of crashing servers,
  // and requests that are refused for that; how long ago that was, or began.
  12: optional list<i64> completed_requests
  13: optional list<i32> completed_ages_ms
  14: optional list<i64> refused_requests
  15: optional list<i32> refused_ages_ms
  // Limits that servers (hashes of their ids and incarnations) named to this
  // host, in thousandths of a request a second; -1: none any more.
  16: optional list<i32> limited_servers
  17: optional list<i32> limit_thousandths
  18: optional list<i32> limit_ages_ms
  // Runs of workspaces (hashes of their ids) at this host within the window of
  // their caps: admitted and asked for; how much of the window the host has
  // counted, and the number of this report among those of its incarnation.
  19: optional list<i32> usage_workspaces
  20: optional list<i32> usage_admitted
  21: optional list<i32> usage_offered
  22: optional i32 usage_covers_ms
  23: optional i64 usage_sequence
  // A datagram has either this or the fields above. Without a host, versions that
  // do not know this field ignore it.
  24: optional StoreNews store_news
}
