#include "gateway/gateway.h"

#include <signal.h>

#include "edge/clock.h"
#include "edge/log.h"
#include "gateway/endpoint_warm_up.h"
#include "settings/fleet_config.h"

#define ROUTERS_PER_KEEPER 64 /* routers of a failure domain whose streams one router saves */
#define KEEPER_KEY 1U	      /* chooses the keepers; further ones have the keys after it */
#define TICK_MS 20	      /* sweep interval: the precision of timeouts */
/* The load balancer sees within this time that the router is not ready. */
#define STOP_MIN_DURATION (3 * USEC_PER_SEC)
/* Idle callers are closed after this delay; by then the load balancer sends no new ones. */
#define STOP_IDLE_CLOSE_DELAY (1200 * USEC_PER_MSEC)
/* After this, a stopping router accepts only calls whose deadline is before the stop's end. */
#define STOP_ACCEPT_DURATION (2500 * USEC_PER_MSEC)
/* Running calls are ended this long before the process is killed. */
#define STOP_MARGIN_MS 700
#define RESERVED_DESCRIPTORS 900 /* at least, for files, endpoints, peers and the store */
#define SPARE_DESCRIPTORS 400	 /* for files, the store and connections that open meanwhile */
#define DESCRIPTORS_PER_ROUTER 6 /* two connections, and what ZeroMQ needs for them */
#define SLOW_TURN (200 * USEC_PER_MSEC) /* a turn of the loop that is logged; callers notice it */
#define CALLER_MEMORY_KB 24		/* least memory per caller, kernel buffers included */
/* Part of the process's memory for responses that are held; callers may take half of it. */
#define RESPONSE_MEMORY_DIVISOR 4
/* Of what the process does not need for itself, half is for requests. */
#define OWN_MEMORY_MB 24
#define REQUEST_MEMORY_DIVISOR 2
#define LEAST_REQUEST_MEMORY_DIVISOR 8 /* of all the memory */

/* Apply until the first catalog is loaded. */
static const catalog_limits_t default_limits = {
	.header_bytes = 16384,
	.body_bytes = 4 << 20,
	.header_timeout_ms = 3000,
	.idle_timeout_ms = 15000,
};

/* --- requests ---------------------------------------------------------- */

static void on_request(void *ctx, caller_t *caller, const caller_request_t *request)
{
	gateway_t *this = ctx;

	this->turn.requests++;
	call_run(call_new(this, caller, request));
}

/* The workspace whose key the request has, 0: none. */
static uint32_t workspace_of(void *ctx, const caller_request_t *request)
{
	const gateway_t *this = ctx;
	const catalog_workspace_t *workspace =
		this->catalog ? call_find_workspace(this->catalog, request) : NULL;

	return workspace ? workspace->id : 0;
}

static void resume_sender(room_sender_t *sender)
{
	caller_resume(caller_of_room(sender));
}

static void end_sender(room_sender_t *sender)
{
	caller_time_out(caller_of_room(sender));
}

static const room_ops_t room_ops = {resume_sender, end_sender};

/* Memory for the requests of all callers, in bytes. */
static size_t request_memory(const gateway_settings_t *settings)
{
	double least = settings->memory_mb / LEAST_REQUEST_MEMORY_DIVISOR;
	double free_mb = (settings->memory_mb - OWN_MEMORY_MB) / REQUEST_MEMORY_DIVISOR;

	return (size_t)((free_mb > least ? free_mb : least) * 1024 * 1024);
}

static void on_caller_gone(void *exchange)
{
	call_t *call = exchange;

	call->gateway->turn.callers_gone++;
	call_on_caller_gone(call);
}

static void on_accepted(void *ctx, uint64_t time_taken)
{
	gateway_t *this = ctx;

	this->turn.accepted++;
	this->turn.accept_time += time_taken;
}

static void on_caller_drained(void *exchange)
{
	call_on_caller_drained(exchange);
}

static const caller_ops_t call_ops = {on_request, on_caller_gone, on_caller_drained};

static const catalog_limits_t *get_limits(void *ctx)
{
	const gateway_t *this = ctx;

	return this->catalog ? &this->catalog->limits : &default_limits;
}

bool gateway_accepts_call(const gateway_t *this, instant_t now, instant_t deadline)
{
	return !this->stopping || now < this->stop_began + STOP_ACCEPT_DURATION ||
	       deadline <= this->stop_at;
}

unsigned int gateway_router_count(const gateway_t *this)
{
	return members_expected(placement_members(peers_placement(this->peers)));
}

bool gateway_is_ready(const gateway_t *this)
{
	return this->catalog && this->endpoints_loaded &&
	       evacuations_are_known(this->evacuations) && !this->stopping &&
	       !overload_is_paused(&this->overload, clock_now());
}

/* --- calls ------------------------------------------------------------ */

void gateway_add_call(gateway_t *this, call_t *call)
{
	cds_list_add_tail(&call->link, &this->calls);
	this->call_count++;
}

void gateway_remove_call(gateway_t *this, call_t *call)
{
	cds_list_del(&call->link);
	this->call_count--;
}

retry_budget_t *gateway_retry_budget(gateway_t *this, id_t32 service)
{
	retry_budget_t *budget =
		g_hash_table_lookup(this->retry_budgets, GUINT_TO_POINTER(service));

	if (budget)
		return budget;
	budget = g_new0(retry_budget_t, 1);
	retry_budget_init(budget, &this->budget_options);
	g_hash_table_insert(this->retry_budgets, GUINT_TO_POINTER(service), budget);
	return budget;
}

void gateway_count_outcome(gateway_t *this, reason_t reason)
{
	this->outcomes[reason]++;
}

static void expire_calls(gateway_t *this, instant_t now)
{
	call_t *call;
	call_t *next;

	cds_list_for_each_entry_safe (call, next, &this->calls, link) {
		if (now >= call->deadline)
			call_expire(call);
	}
}

/* --- placement -------------------------------------------------------- */

static reason_t rejection_reason(const gateway_t *this, const placement_action_t *action)
{
	if (!action->no_engine)
		return REASON_OVERLOADED;
	if (endpoint_registry_is_evacuated(this->endpoint_registry, action->request->pool))
		return REASON_EVACUATED;
	if (action->request->regions.restricted)
		return REASON_NO_REGION;
	return action->request->version ? REASON_STREAM_VERSION_GONE : REASON_NO_ENDPOINT;
}

static void run_placement_actions(gateway_t *this)
{
	placement_action_t action;

	while (placement_next_action(peers_placement(this->peers), &action)) {
		call_t *call = caa_container_of(action.request, call_t, placement_request);

		if (action.kind == PLACEMENT_START)
			call_on_slot_granted(call, action.engine);
		else
			call_on_slot_rejected(call, rejection_reason(this, &action),
				action.retry_after_ms / 1000.0);
	}
}

static void begin_turn(gateway_t *this)
{
	listener_begin_turn(this->callers);
	listener_begin_turn(this->ready);
	if (this->metrics)
		listener_begin_turn(this->metrics);
}

static void on_prepare(uv_prepare_t *prepare)
{
	gateway_t *this = prepare->data;
	instant_t now = clock_now();

	begin_turn(this);
	buffer_pool_reclaim(&this->buffers);
	request_room_step(&this->room, now);
	gateway_update_engines(this);
	peers_receive(this->peers, now);
	peers_step(this->peers, now);
	run_placement_actions(this);
	peers_step(this->peers, now); /* sends what the actions caused */
	this->turn.placement_time += clock_now() - now;
}

static void on_turn(void *ctx, uint64_t busy)
{
	gateway_t *this = ctx;
	const turn_stats_t *turn = &this->turn;

	if (busy >= SLOW_TURN)
		log_warn("loop-slow",
			"busy_ms=%" G_GUINT64_FORMAT " accept_ms=%" G_GUINT64_FORMAT
			" placement_ms=%" G_GUINT64_FORMAT
			" accepted=%u requests=%u callers_gone=%u callers=%u calls=%u",
			(guint64)(busy / USEC_PER_MSEC),
			(guint64)(turn->accept_time / USEC_PER_MSEC),
			(guint64)(turn->placement_time / USEC_PER_MSEC), turn->accepted,
			turn->requests, turn->callers_gone, listener_caller_count(this->callers),
			this->call_count);
	this->turn = (turn_stats_t){0};
	if (overload_record(&this->overload, busy, clock_now()))
		log_warn("overloaded", "callers=%u calls=%u", listener_caller_count(this->callers),
			this->call_count);
}

/* --- timers and planned stop ------------------------------------------ */

static void close_idle_connections(void *ctx, registered_endpoint_t *endpoint)
{
	endpoint_connection_trim(endpoint, 0, true);
}

static void on_endpoint_removed(void *ctx, registered_endpoint_t *endpoint)
{
	log_notice("endpoint-removed", "endpoint=%s service=%s address=%s", endpoint->name,
		endpoint->service, endpoint->address);
	endpoint_connection_trim(endpoint, 0, true);
}

static void close_expired_connections(void *ctx, registered_endpoint_t *endpoint)
{
	endpoint_connection_trim(endpoint, *(const instant_t *)ctx, false);
}

static void end_call(call_t *call)
{
	log_warn("call-cut", "id=%s state=%d", call->id, (int)call->state);
	call->retry_after_s = STOPPING_RETRY_S;
	call_fail(call, REASON_STOPPING);
}

static void finish_stop(gateway_t *this)
{
	call_t *next;
	call_t *call;

	cds_list_for_each_entry_safe (call, next, &this->calls, link) {
		this->calls_ended++;
		if (call->state != CALL_OVER)
			end_call(call);
	}
	uv_stop(&this->loop);
}

static void check_stop(gateway_t *this, instant_t now)
{
	if (!this->stopping)
		return;
	if (now >= this->stop_at ||
		(now >= this->stop_began + STOP_MIN_DURATION && !this->call_count))
		finish_stop(this);
}

/*
 * Callers that may be connected: each needs memory and a descriptor, and in a flood they would
 * leave no descriptors for the other routers and for the endpoints.
 */
static unsigned int max_callers(const gateway_t *this)
{
	const gateway_settings_t *settings = this->settings;
	unsigned int by_memory = (unsigned int)(settings->memory_mb * 1024 / 2 / CALLER_MEMORY_KB);
	unsigned int used = SPARE_DESCRIPTORS + this->open_connections +
			    DESCRIPTORS_PER_ROUTER * gateway_router_count(this);
	unsigned int reserved = used > RESERVED_DESCRIPTORS ? used : RESERVED_DESCRIPTORS;
	unsigned int by_descriptors = settings->descriptors > 2 * reserved
					      ? settings->descriptors - reserved
					      : settings->descriptors / 2;

	return by_memory < by_descriptors ? by_memory : by_descriptors;
}

/* Looks at all members, which need not be done in each tick. */
static void update_origin_fleet(gateway_t *this, instant_t now)
{
	const members_t *members = placement_members(peers_placement(this->peers));
	unsigned int keepers;
	unsigned int routers;

	if (now < this->origin_fleet_due)
		return;
	keepers = (members_in_own_domain(members) + ROUTERS_PER_KEEPER - 1) / ROUTERS_PER_KEEPER;
	this->origin_fleet_due = now + ORIGIN_REPORT_INTERVAL;
	this->origin_fleet = (origin_fleet_t){
		.routers = gateway_router_count(this),
		.keeper = members_keeper(members, KEEPER_KEY + members->list[0].id % keepers),
		.is_cleaner = members_place(members, KEEPER_KEY, &routers) == 0,
	};
}

static void on_tick(uv_timer_t *timer)
{
	gateway_t *this = timer->data;
	instant_t now = clock_now();

	part_watch_tick(this->part_watch, now);
	update_origin_fleet(this, now);
	gateway_update_store_reading(this, now);
	origin_lookup_tick(this->origin_lookup, &this->origin_fleet, now);
	expire_calls(this, now);
	listener_set_max_callers(this->callers, max_callers(this));
	listener_check_timeouts(this->callers, now);
	listener_check_timeouts(this->ready, now);
	if (this->metrics)
		listener_check_timeouts(this->metrics, now);
	endpoint_registry_for_each(this->endpoint_registry, close_expired_connections, &now);
	this->engines_outdated |= endpoint_registry_expire(this->endpoint_registry, now);
	gateway_apply_fleet_size(this);
	lane_log_tick(&this->lane_log, peers_placement(this->peers), this->catalog, now);
	steer_log_tick(&this->steer_log, placement_stats(peers_placement(this->peers)), now);
	check_stop(this, now);
	log_flush();
}

/* How long calls in progress may go on after the signal to stop, in microseconds. */
static uint64_t serving_time(const gateway_settings_t *settings)
{
	uint64_t grace = (uint64_t)(settings->stop_grace_s * USEC_PER_SEC);
	uint64_t margin = STOP_MARGIN_MS * USEC_PER_MSEC;

	return grace > margin ? grace - margin : 0;
}

static void on_signal(uv_signal_t *signal, int number)
{
	gateway_t *this = signal->data;

	if (number == SIGHUP) {
		log_notice("reload", "settings=unchanged-until-restart");
		return;
	}
	if (this->stopping)
		return;
	this->stopping = true;
	this->stop_at = clock_now() + serving_time(this->settings);
	log_notice("stop-begins", "calls=%u callers=%u", this->call_count,
		listener_caller_count(this->callers));
	this->stop_began = clock_now();
	listener_drain(this->callers, this->stop_began + STOP_IDLE_CLOSE_DELAY);
	placement_stop(peers_placement(this->peers), clock_now());
}

/* --- start and shutdown ----------------------------------------------- */

static listener_t *listen_on(
	gateway_t *this, const char *address, const caller_ops_t *ops, unsigned int max_callers)
{
	listener_options_t options = {
		.loop = &this->loop,
		.address = address,
		.ops = ops,
		.ctx = this,
		.limits = get_limits,
		.on_accepted = on_accepted,
		.max_callers = max_callers,
		.buffers = &this->buffers,
	};

	if (ops == &call_ops) {
		options.room = &this->room;
		options.workspace_of = workspace_of;
		options.room_wait_ms = this->settings->body_wait_ms;
		options.body_pace = this->settings->body_pace;
	}
	return listener_new(&options);
}

static bool open_listeners(gateway_t *this)
{
	const gateway_settings_t *settings = this->settings;

	this->callers = listen_on(this, settings->caller_address, &call_ops, max_callers(this));
	this->ready = listen_on(this, settings->ready_address, &gateway_status_ops, 64);
	if (*settings->metrics_address)
		this->metrics = listen_on(this, settings->metrics_address, &gateway_status_ops, 16);
	return this->callers && this->ready && (this->metrics || !*settings->metrics_address);
}

static void start_event_handlers(gateway_t *this)
{
	loop_watch_options_t watch_options = {&this->loop, on_turn, this};
	static const int signal_numbers[] = {SIGTERM, SIGINT, SIGHUP};

	uv_prepare_init(&this->loop, &this->prepare);
	this->prepare.data = this;
	uv_prepare_start(&this->prepare, on_prepare);
	this->loop_watch = loop_watch_new(&watch_options);
	overload_init(&this->overload, clock_now());
	uv_timer_init(&this->loop, &this->tick);
	this->tick.data = this;
	uv_timer_start(&this->tick, on_tick, TICK_MS, TICK_MS);
	for (size_t i = 0; i < ARRAY_LEN(signal_numbers); i++) {
		uv_signal_init(&this->loop, &this->signals[i]);
		this->signals[i].data = this;
		uv_signal_start(&this->signals[i], on_signal, signal_numbers[i]);
	}
}

double *gateway_typical_time_left(gateway_t *this, const catalog_route_t *route)
{
	double *typical = g_hash_table_lookup(this->typical_times_left, route->name);

	if (typical)
		return typical;
	typical = g_new0(double, 1);
	g_hash_table_insert(this->typical_times_left, g_strdup(route->name), typical);
	return typical;
}

static void on_speed(void *ctx, id_t32 engine, const engine_speed_report_t *speed)
{
	const gateway_t *this = ctx;
	const registered_endpoint_t *endpoint =
		endpoint_registry_find(this->endpoint_registry, engine);

	log_notice("engine-speed",
		"engine=%s prefill_ns=%.0f step_us=%.0f plain_us=%.0f samples=%.0f",
		endpoint ? endpoint->name : "-", speed->time[ENGINE_SPEED_PREFILL] * 1000,
		speed->time[ENGINE_SPEED_STEP], speed->time[ENGINE_SPEED_PLAIN], speed->samples);
}

static void on_rate_limit(void *ctx, id_t32 engine, uint32_t rate, uint32_t before)
{
	gateway_t *this = ctx;
	const registered_endpoint_t *endpoint =
		endpoint_registry_find(this->endpoint_registry, engine);

	log_notice("owner-limit",
		"endpoint=%s rate_milli=%" G_GINT64_FORMAT " before=%" G_GINT64_FORMAT,
		endpoint ? endpoint->name : "-", (gint64)rate_limit_signed(rate),
		(gint64)rate_limit_signed(before));
}

static void on_warm_up(void *ctx, id_t32 engine, const warm_up_t *warm_up, instant_t now)
{
	const gateway_t *this = ctx;

	endpoint_warm_up_log(endpoint_registry_find(this->endpoint_registry, engine), warm_up, now);
}

static bool start_peers(gateway_t *this)
{
	const gateway_settings_t *settings = this->settings;
	peers_options_t options = {
		.loop = &this->loop,
		.name = settings->name,
		.failure_domain = settings->failure_domain,
		.address = settings->peer_address,
		.public_key = this->public_key,
		.secret_key = this->secret_key,
		.incarnation = this->incarnation,
		.seed = ((uint64_t)g_random_int() << 32) | g_random_int(),
		.scheduler = {.pool = {.late_wait = settings->late_wait_ms * USEC_PER_MSEC,
				      .max_backlog = settings->engine_backlog_ms * USEC_PER_MSEC}},
		.part_watch = this->part_watch,
		.origin_keeper = origin_lookup_keeper(this->origin_lookup),
		.store_readers = this->store_readers,
		.on_rate_limit = on_rate_limit,
		.on_warm_up = on_warm_up,
		.on_speed = on_speed,
		.ctx = this,
		.gossip = {.row_cache = this->row_cache,
			.self = name_id(settings->name),
			.on_rows = gateway_handle_peer_rows,
			.ctx = this},
	};

	if (!peer_socket_keygen(this->public_key, this->secret_key))
		return false;
	this->peers = peers_new(&options);
	if (!this->peers)
		log_warn("start-failed", "what=peer_address address=%s", settings->peer_address);
	return this->peers != NULL;
}

static void on_part_event(
	void *ctx, part_event_t event, uint64_t part, bool is_whole, unsigned int ends)
{
	static const char *const names[] = {
		[PART_EVENT_END] = "endpoint-ended",
		[PART_EVENT_BLOCKED] = "blocked",
		[PART_EVENT_SOUND] = "sound",
	};

	/* Every request that was at an endpoint when it ended has one end. */
	if (is_whole && ends < 2)
		return;
	log_notice(is_whole ? "request-content" : "prompt-part",
		"%s=%016" G_GINT64_MODIFIER "x change=%s ends=%u", is_whole ? "content" : "part",
		(guint64)part, names[event], ends);
}

static unsigned int place_for_part(void *ctx, uint64_t part, unsigned int *routers)
{
	const gateway_t *this = ctx;

	return members_place(
		placement_members(peers_placement(this->peers)), (id_t32)part, routers);
}

static origin_lookup_t *new_origin_lookup(gateway_t *this)
{
	const gateway_settings_t *settings = this->settings;
	origin_lookup_options_t options = {
		.loop = &this->loop,
		.adapter = this->adapter,
		.store = {settings->store_address, settings->store_timeout_ms},
		.name = settings->name,
		.incarnation = this->incarnation,
		.on_endpoints = gateway_handle_endpoint_table,
		.ctx = this,
	};

	return origin_lookup_new(&options);
}

gateway_t *gateway_new(const gateway_settings_t *settings)
{
	gateway_t *this = g_new0(gateway_t, 1);
	part_watch_options_t part_options = {
		.on_event = on_part_event, .place = place_for_part, .ctx = this};
	endpoint_registry_options_t registry_options = {
		.returned_hold = settings->returned_hold_ms * USEC_PER_MSEC,
		.evacuations = this->evacuations = evacuations_new(NULL),
		.on_removed = on_endpoint_removed,
	};

	signal(SIGPIPE, SIG_IGN);
	this->settings = settings;
	this->adapter = adapter_find(settings->adapter);
	this->header_names = this->adapter->header_names;
	CDS_INIT_LIST_HEAD(&this->calls);
	this->incarnation = (uint64_t)g_get_real_time();
	uv_loop_init(&this->loop);
	this->endpoint_registry = endpoint_registry_new(&registry_options);
	this->row_cache = row_cache_new();
	this->evacuation_rows = gateway_new_evacuation_rows(this);
	this->part_watch = part_watch_new(&part_options);
	this->origin_lookup = new_origin_lookup(this);
	this->store_readers = store_readers_new();
	this->retry_budgets = g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
	this->budget_options = (retry_budget_options_t){
		.ratio = settings->retry_ratio,
		.allowance = settings->retry_allowance,
		.routers = settings->expected_routers,
		.window = (uint64_t)(settings->retry_window_s * USEC_PER_SEC),
	};
	this->connection_options = (endpoint_connection_options_t){
		.loop = &this->loop,
		.header_names = this->header_names,
		.connect_timeout_ms = settings->connect_timeout_ms,
		.silence_timeout_ms = settings->silence_timeout_ms,
		.open_count = &this->open_connections,
		.buffers = &this->buffers,
	};
	buffer_pool_init(&this->buffers,
		(size_t)(settings->memory_mb * 1024 * 1024 / RESPONSE_MEMORY_DIVISOR));
	request_room_init(&this->room, &room_ops, request_memory(settings));
	this->typical_times_left = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	if (!start_peers(this) || !open_listeners(this)) {
		gateway_delete(this);
		return NULL;
	}
	start_event_handlers(this);
	gateway_watch_store(this);
	log_notice("started", "name=%s failure_domain=%s callers=%s", settings->name,
		settings->failure_domain, settings->caller_address);
	return this;
}

unsigned int gateway_run(gateway_t *this)
{
	uv_run(&this->loop, UV_RUN_DEFAULT);
	roster_delete(this->roster);
	this->roster = NULL;
	log_notice("stopped", "calls_ended=%u", this->calls_ended);
	return this->calls_ended;
}

static void close_handle(uv_handle_t *handle, void *ctx)
{
	if (!uv_is_closing(handle))
		uv_close(handle, NULL);
}

void gateway_delete(gateway_t *this)
{
	if (!this)
		return;
	uv_timer_stop(&this->tick);
	table_watch_delete(this->catalog_watch);
	table_watch_delete(this->endpoint_watch);
	table_watch_delete(this->roster_watch);
	roster_delete(this->roster);
	listener_delete(this->callers);
	listener_delete(this->ready);
	listener_delete(this->metrics);
	/* After the callers, as their calls may wait for an answer of it. */
	origin_lookup_delete(this->origin_lookup);
	endpoint_registry_for_each(this->endpoint_registry, close_idle_connections, NULL);
	loop_watch_delete(this->loop_watch);
	uv_prepare_stop(&this->prepare);
	peers_delete(this->peers);
	uv_run(&this->loop, UV_RUN_NOWAIT);
	uv_walk(&this->loop, close_handle, NULL);
	uv_run(&this->loop, UV_RUN_DEFAULT);
	uv_loop_close(&this->loop);
	endpoint_registry_delete(this->endpoint_registry);
	evacuation_rows_delete(this->evacuation_rows);
	evacuations_delete(this->evacuations);
	row_cache_delete(this->row_cache);
	part_watch_delete(this->part_watch);
	store_readers_delete(this->store_readers);
	catalog_put(this->catalog);
	g_hash_table_destroy(this->retry_budgets);
	g_hash_table_destroy(this->typical_times_left);
	g_free(this);
}
