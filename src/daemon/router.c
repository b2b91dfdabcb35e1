#include "daemon/router.h"

#include "daemon/operator_server.h"
#include "edge/clock.h"
#include "edge/http_exchange.h"
#include "edge/log.h"
#include "filter/caller_server.h"

#define STOP_POLL_MS 10
#define STOP_NOTICE_MS 300 /* lets the load balancer see that this router is no longer ready */
#define DEFERRED_WRITE_TIMEOUT_MS 5000

static const char *const counter_names[COUNTER_KINDS] = {
	[COUNTER_REQUESTS] = "caller_requests_total",
	[COUNTER_DONE] = "outcome_done_total",
	[COUNTER_NOT_RUN] = "outcome_not_run_total",
	[COUNTER_UNKNOWN] = "outcome_unknown_total",
	[COUNTER_RETRIES] = "endpoint_retries_total",
	[COUNTER_RESUMES] = "stream_resumes_total",
	[COUNTER_MISMATCHED_RESPONSES] = "crossed_answers_total",
	[COUNTER_CALLERS_DISCONNECTED] = "callers_gone_total",
	[COUNTER_ORDERS_REPLAYED] = "orders_replayed_total",
};

const char *router_counter_name(router_counter_t counter)
{
	return counter_names[counter];
}

void router_count(router_t *this, router_counter_t counter)
{
	atomic_fetch_add(&this->counters[counter], 1);
}

bool router_is_stopping(router_t *this)
{
	return atomic_load(&this->stopping) != 0;
}

bool router_is_ready(router_t *this)
{
	return !router_is_stopping(this) && snapshot_version(&this->snapshot) != 0;
}

static void on_peer_version(void *ctx, uint64_t version)
{
	router_t *this = ctx;
	/* NULL at first: the node thread receives from peers before the watcher is created. */
	platform_watcher_t *watcher = __atomic_load_n(&this->platform_watcher, __ATOMIC_ACQUIRE);

	if (watcher)
		platform_watcher_on_peer_version(watcher, version);
}

static bool start_components(router_t *this)
{
	const router_settings_t *settings = this->settings;
	platform_http_options_t platform_options = {
		settings->platform_address, settings->store_timeout_ms};
	node_thread_options_t node_thread_options = {
		.settings = settings,
		.incarnation = this->incarnation,
		.seed = this->incarnation,
		.on_peer_version = on_peer_version,
		.ctx = this,
	};
	platform_watcher_options_t watcher_options = {
		.settings = settings, .snapshot = &this->snapshot};

	this->platform = platform_batch_new(platform_http_new(&platform_options));
	this->order_writer = (order_writer_t){this->platform, settings->name, this->incarnation};
	this->node_thread = node_thread_new(&node_thread_options);
	if (!this->node_thread) {
		log_warn("start-failed", "what=peer_address address=%s", settings->peer_address);
		return false;
	}
	this->deferred_writer = deferred_writer_new(&this->order_writer);
	this->caller_watch = caller_watch_new();
	watcher_options.platform = this->platform;
	watcher_options.node_thread = this->node_thread;
	__atomic_store_n(
		&this->platform_watcher, platform_watcher_new(&watcher_options), __ATOMIC_RELEASE);
	this->operator_server = operator_server_new(this);
	if (!this->operator_server) {
		log_warn("start-failed", "what=operator_address address=%s",
			settings->operator_address);
		return false;
	}
	this->caller_server = caller_server_new(this);
	if (!this->caller_server) {
		log_warn(
			"start-failed", "what=caller_address address=%s", settings->caller_address);
		return false;
	}
	return true;
}

router_t *router_new(const router_settings_t *settings)
{
	router_t *this = g_new0(router_t, 1);

	this->settings = settings;
	this->incarnation = (uint64_t)g_get_real_time();
	snapshot_init(&this->snapshot);
	this->burn_rate = burn_rate_new();
	if (!start_components(this)) {
		router_delete(this);
		return NULL;
	}
	log_notice("started", "callers=%s operators=%s peers=%s domain=%s policy=%s",
		settings->caller_address, settings->operator_address, settings->peer_address,
		settings->failure_domain, settings->policy);
	return this;
}

unsigned int router_stop(router_t *this)
{
	instant_t deadline = clock_now() + this->settings->drain_timeout_ms * USEC_PER_MSEC;
	unsigned int unfinished;

	atomic_store(&this->stopping, 1);
	log_notice("stopping", "active=%d", atomic_load(&this->active));
	g_usleep(STOP_NOTICE_MS * USEC_PER_MSEC);
	node_thread_drain(this->node_thread);
	while (atomic_load(&this->active) && clock_now() < deadline)
		g_usleep(STOP_POLL_MS * USEC_PER_MSEC);
	unfinished = (unsigned int)atomic_load(&this->active);
	caller_server_quiesce(this->caller_server);
	g_usleep(STOP_POLL_MS * USEC_PER_MSEC);
	unfinished += deferred_writer_delete(this->deferred_writer, DEFERRED_WRITE_TIMEOUT_MS);
	this->deferred_writer = NULL;
	log_notice("stopped", "left=%u", unfinished);
	return unfinished;
}

void router_delete(router_t *this)
{
	if (!this)
		return;
	caller_server_delete(this->caller_server);
	operator_server_delete(this->operator_server);
	if (this->platform_watcher)
		platform_watcher_delete(this->platform_watcher);
	if (this->caller_watch)
		caller_watch_delete(this->caller_watch);
	if (this->deferred_writer)
		deferred_writer_delete(this->deferred_writer, 0);
	node_thread_delete(this->node_thread);
	platform_delete(this->platform);
	burn_rate_delete(this->burn_rate);
	snapshot_clear(&this->snapshot);
	g_free(this);
}
