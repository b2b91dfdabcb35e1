#include <string.h>

#include "edge/clock.h"
#include "edge/log.h"
#include "edge/metrics.h"
#include "gateway/gateway.h"

#define MAX_MIXED_SERVICES 16 /* that the metric counts */

static unsigned int mixed_services(const gateway_t *this)
{
	id_t32 services[MAX_MIXED_SERVICES];

	return stream_origins_mixed_services(
		origin_lookup_origins(this->origin_lookup), services, ARRAY_LEN(services));
}

const char *response_bound_name(response_bound_t bound)
{
	static const char *const names[] = {
		[BOUND_HEAD] = "head",
		[BOUND_OVERHEAD] = "overhead",
		[BOUND_EVENT] = "event",
		[BOUND_BODY] = "body",
		[BOUND_MEMORY] = "memory",
	};

	return names[bound];
}

static void write_buffer_metrics(const gateway_t *this, GString *out)
{
	metrics_append(out, "response_buffer_bytes", this->buffers.held);
	metrics_append(out, "response_buffer_peak_bytes", this->buffers.peak);
	metrics_append(out, "response_buffer_limit_bytes", this->buffers.limit);
	metrics_append(out, "callers_too_slow_total", listener_callers_reclaimed(this->callers));
	metrics_append(out, "request_room_bytes", this->room.small_held + this->room.long_held);
	metrics_append(out, "request_room_peak_bytes", this->room.peak);
	metrics_append(
		out, "request_room_limit_bytes", this->room.small_limit + this->room.long_limit);
	metrics_append(out, "request_room_waits_total", this->room.waits);
	metrics_append(
		out, "requests_without_room_total", listener_requests_refused(this->callers));
	metrics_append(out, "bodies_ended_for_room_total", this->room.ended);
	metrics_append(out, "bodies_too_slow_total", listener_bodies_too_slow(this->callers));
	metrics_append(out, "callers_stalled_total", listener_callers_stalled(this->callers));
	for (int i = 0; i < BOUND_COUNT; i++)
		g_string_append_printf(out,
			"amaranthwall_responses_too_large_total{bound=\"%s\"} %" G_GUINT64_FORMAT
			"\n",
			response_bound_name((response_bound_t)i),
			(guint64)this->bounds_exceeded[i]);
}

static void write_steering_metrics(const placement_stats_t *stats, GString *out)
{
	metrics_append(out, "prompts_steered_total{reason=\"pauses\"}", stats->steered_pauses);
	metrics_append(out, "prompts_steered_total{reason=\"reading\"}", stats->steered_reading);
	metrics_append(
		out, "prompts_steered_total{reason=\"redirected\"}", stats->redirected_reading);
}

void gateway_write_metrics(const gateway_t *this, GString *out)
{
	const placement_t *placement = peers_placement(this->peers);
	const placement_stats_t *placement_counters = placement_stats(placement);
	const scheduler_stats_t *scheduler_counters =
		scheduler_stats(placement_scheduler(placement));

	metrics_append(out, "ready", gateway_is_ready(this));
	metrics_append(out, "overload_pause", overload_is_paused(&this->overload, clock_now()));
	metrics_append(out, "catalog_version", this->catalog ? this->catalog->version : 0);
	metrics_append(out, "endpoints", endpoint_registry_count(this->endpoint_registry));
	metrics_append(out, "evacuated_domains", evacuations_count(this->evacuations));
	metrics_append(out, "endpoints_evacuated",
		endpoint_registry_evacuated_count(this->endpoint_registry));
	metrics_append(out, "callers", listener_caller_count(this->callers));
	metrics_append(out, "callers_examined_total", listener_callers_examined(this->callers));
	metrics_append(out, "endpoint_connections", this->open_connections);
	metrics_append(out, "calls_in_progress", this->call_count);
	metrics_append(out, "asks_total", placement_counters->slot_requests);
	metrics_append(out, "asks_unanswered_total", placement_counters->unanswered);
	metrics_append(out, "asks_elsewhere_total", placement_counters->redirected);
	metrics_append(out, "started_on_own_total", placement_counters->without_grant);
	metrics_append(out, "refused_for_backlog_total", placement_counters->refused);
	metrics_append(out, "grants_declined_total", placement_counters->declined);
	metrics_append(out, "endpoints_rate_limited", placement_rate_limited(placement));
	metrics_append(out, "endpoints_cold", placement_cold(placement, clock_now()));
	metrics_append(out, "engines_unequal", placement_unequal_engines(placement));
	metrics_append(out, "owner_waiting", scheduler_waiting(placement_scheduler(placement)));
	metrics_append(out, "owner_running", scheduler_running(placement_scheduler(placement)));
	metrics_append(out, "owner_asked_total", scheduler_counters->slot_requests);
	metrics_append(out, "owner_granted_total", scheduler_counters->granted);
	metrics_append(out, "owner_granted_late_total", scheduler_counters->granted_late);
	metrics_append(out, "owner_refused_total", scheduler_counters->refused);
	metrics_append(out, "owner_withdrawn_total", scheduler_counters->withdrawn);
	metrics_append(out, "routers_alive", members_alive(placement_members(placement)));
	metrics_append(out, "peer_links_renewed_total", peers_links_renewed(this->peers));
	metrics_append(out, "routers_listed", gateway_router_count(this));
	metrics_append(out, "prompt_parts_blocked",
		part_watch_blocked_count(this->part_watch, false, clock_now()));
	metrics_append(out, "requests_blocked",
		part_watch_blocked_count(this->part_watch, true, clock_now()));
	metrics_append(out, "streams_remembered",
		stream_origins_count(origin_lookup_origins(this->origin_lookup)));
	metrics_append(out, "services_with_several_versions", mixed_services(this));
	metrics_append(out, "store_era", this->store_era);
	metrics_append(out, "endpoints_read_in_era",
		row_cache_newest_version(this->row_cache, CACHED_ENDPOINTS).era);
	metrics_append(out, "store_losses_total", this->store_losses);
	metrics_append(out, "store_reader", this->reads_store);
	metrics_append(out, "responses_malformed_total", this->malformed_responses);
	metrics_append(out, "log_lines_dropped_total", log_dropped_lines());
	write_buffer_metrics(this, out);
	write_steering_metrics(placement_counters, out);
	first_token_histogram_write_metrics(&this->first_tokens, out);
	loop_watch_write_metrics(this->loop_watch, out);
	for (int i = 0; i < REASON_COUNT; i++)
		g_string_append_printf(out,
			"amaranthwall_calls_total{reason=\"%s\"} %" G_GUINT64_FORMAT "\n",
			reason_info((reason_t)i)->name, (guint64)this->outcomes[i]);
}

static void send_metrics(const gateway_t *this, caller_t *caller)
{
	GString *text = g_string_new(NULL);

	gateway_write_metrics(this, text);
	caller_send_response(
		caller, 200, "Content-Type: text/plain; version=0.0.4\r\n", text->str, text->len);
	g_string_free(text, TRUE);
}

/* Answers /metrics with the metrics and every other path with the readiness. */
static void on_status_request(void *ctx, caller_t *caller, const caller_request_t *request)
{
	if (!strcmp(request->target->str, "/metrics"))
		send_metrics(ctx, caller);
	else
		caller_send_response(caller, gateway_is_ready(ctx) ? 200 : 503, "", "", 0);
}

static void ignore_caller_event(void *exchange)
{
}

const caller_ops_t gateway_status_ops = {
	on_status_request, ignore_caller_event, ignore_caller_event};
