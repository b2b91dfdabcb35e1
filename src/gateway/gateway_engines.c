#include "edge/clock.h"
#include "gateway/endpoint_warm_up.h"
#include "gateway/gateway.h"

/* Only half of an endpoint's connection limit is used, because its queue takes connections too. */
#define CONNECTION_DIVISOR 2

typedef struct engine_list {
	const gateway_settings_t *settings;
	const catalog_t *catalog;
	GArray *engines;
	GArray *versions; /* service_version_t of each endpoint */
	instant_t loaded_at;
} engine_list_t;

static const catalog_service_t *find_service(
	const catalog_t *catalog, const registered_endpoint_t *endpoint)
{
	int index = catalog_find_service(catalog, endpoint->service);

	return index < 0 ? NULL : &catalog->services[index];
}

static void add_engine(void *ctx, registered_endpoint_t *endpoint)
{
	engine_list_t *list = ctx;
	const catalog_service_t *service = find_service(list->catalog, endpoint);
	placement_engine_t engine = {
		.id = endpoint->id,
		.pool = endpoint->service_id,
		.limits =
			{
				.slots = endpoint->slots,
				.token_memory = service ? service->token_memory : 0,
				.max_event_gap =
					service ? service->max_event_gap_ms * USEC_PER_MSEC : 0,
			},
		.version = endpoint->version_id,
		.region = gateway_settings_region(list->settings, endpoint->failure_domain),
		.usable = registered_endpoint_takes_work(endpoint),
	};
	service_version_t version = {endpoint->service_id, endpoint->version_id};

	endpoint_warm_up_describe(endpoint, service, list->loaded_at, &engine);
	g_array_append_val(list->engines, engine);
	g_array_append_val(list->versions, version);
}

/*
 * An endpoint resets connections beyond its limit, which all routers share, and
 * accepts fewer while it has a queue.  Each running call uses a slot and a
 * connection; the routers share the remaining connections evenly for idle ones.
 */
static void set_max_idle(void *ctx, registered_endpoint_t *endpoint)
{
	const gateway_t *this = ctx;
	const catalog_service_t *service = find_service(this->catalog, endpoint);
	unsigned int accepted = service ? service->max_connections / CONNECTION_DIVISOR : 0;
	unsigned int spare = accepted > endpoint->slots ? accepted - endpoint->slots : 0;

	endpoint->max_idle_connections =
		accepted ? spare / gateway_router_count(this) : endpoint->slots;
}

static void close_idle_if_unready(void *ctx, registered_endpoint_t *endpoint)
{
	if (!registered_endpoint_takes_work(endpoint))
		endpoint_connection_trim(endpoint, 0, true);
}

void gateway_update_engines(gateway_t *this)
{
	engine_list_t list = {
		.settings = this->settings,
		.catalog = this->catalog,
		.loaded_at = this->endpoints_loaded_at,
	};

	if (!this->engines_outdated || !this->catalog)
		return;
	this->engines_outdated = false;
	list.engines = g_array_new(FALSE, FALSE, sizeof(placement_engine_t));
	list.versions = g_array_new(FALSE, FALSE, sizeof(service_version_t));
	endpoint_registry_for_each(this->endpoint_registry, add_engine, &list);
	placement_set_engines(peers_placement(this->peers),
		(const placement_engine_t *)(void *)list.engines->data, list.engines->len,
		clock_now());
	stream_origins_set_versions(origin_lookup_origins(this->origin_lookup),
		(const service_version_t *)(void *)list.versions->data, list.versions->len,
		clock_now());
	endpoint_registry_for_each(this->endpoint_registry, set_max_idle, this);
	endpoint_registry_for_each(this->endpoint_registry, close_idle_if_unready, NULL);
	g_array_free(list.engines, TRUE);
	g_array_free(list.versions, TRUE);
}
