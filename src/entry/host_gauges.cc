#include "src/entry/host_gauges.h"

namespace toucanknot {

void HostGauges::WriteTo(EntryMetrics& metrics) const {
  const auto set = [&metrics](const char* name, auto value) {
    metrics.SetGauge(name, static_cast<double>(value));
  };
  set("toucanknot_store_calls", store.calls);
  set("toucanknot_store_watches", store.watches);
  set("toucanknot_store_reads", store.reads);
  set("toucanknot_store_renewals", store.renewals);
  set("toucanknot_store_writes", store.writes);
  set("toucanknot_store_following", store.following ? 1 : 0);
  set("toucanknot_store_failed", store.failed);
  set("toucanknot_store_malformed", store.malformed_items);
  set("toucanknot_store_unusable", store.unusable_items);
  set("toucanknot_store_restorations", store.restorations);
  set("toucanknot_config_unusable", store.config_unusable ? 1 : 0);
  set("toucanknot_config_version", config_version.ToDouble());
  set("toucanknot_config_members_unusable", store.config_members_unusable);
  set("toucanknot_servers", servers);
  set("toucanknot_hosts", hosts);
  set("toucanknot_requests_waiting", requests_waiting);
  set("toucanknot_connections_opened", connections.opened);
  set("toucanknot_connections_reused", connections.reused);
  set("toucanknot_connections_idle", connections.idle);
  set("toucanknot_answers_endless", connections.endless);
  set("toucanknot_answers_mixed", connections.mixed_heads);
  set("toucanknot_answers_to_others", connections.other_responses);
  set("toucanknot_answers_evicted", connections.evicted);
  set("toucanknot_answer_bytes_buffered", connections.buffered_bytes);
  set("toucanknot_requests_overlapping", callers.overlapping);
  set("toucanknot_callers_evicted", callers.evicted);
  set("toucanknot_requests_no_memory", callers.no_memory);
  set("toucanknot_memory_reserved", memory_reserved);
  set("toucanknot_callers_connected", callers.open_connections);
  set("toucanknot_callers_lingering", callers.lingering);
  set("toucanknot_callers_undelivered", callers.undelivered);
  set("toucanknot_callers_send_queue_unknown", callers.send_queue_unknown);
  set("toucanknot_ready", ready ? 1 : 0);
  set("toucanknot_api_keys", api_keys);
  set("toucanknot_keys_proven", keys_proven ? 1 : 0);
  if (store.known_until) {
    set("toucanknot_store_age_ms", (BootNow() - *store.known_until).ms());
  }
  if (store.proven_at) {
    set("toucanknot_proof_age_ms", (BootNow() - *store.proven_at).ms());
  }
}

}  // namespace toucanknot
