#include "daemon/platform_watcher.h"

#include <pthread.h>
#include <string.h>

#include "edge/clock.h"
#include "edge/http_exchange.h"
#include "edge/log.h"
#include "settings/config_row.h"

#define FLEET_POLL_INTERVAL (250 * USEC_PER_MSEC) /* mean, over all polls of the fleet */
#define RETRY_DELAY (500 * USEC_PER_MSEC)
#define LOAD_INTERVAL (250 * USEC_PER_MSEC)
#define PEER_TIMEOUT_MS 1000
#define MAX_CONFIG (16U << 20) /* bytes */

struct platform_watcher {
	platform_watcher_options_t options;
	pthread_mutex_t lock;
	pthread_mutex_t apply_lock; /* keeps versions in order for snapshot and node */
	pthread_cond_t wake;
	uint64_t peer_version; /* highest configuration version that a peer reported */
	GHashTable *leaving;   /* names of endpoints that the instance list shows as leaving */
	bool quit;
	pthread_t thread;
	pthread_t load_thread;
	bool polls_load; /* `load_thread` runs */
};

/* --- the fleet configuration ------------------------------------------ */

static void apply_locked(platform_watcher_t *this, const config_row_t *row)
{
	error_list_t errors;
	fleet_config_t *config;

	if (row->number <= snapshot_version(this->options.snapshot))
		return;
	error_list_init(&errors, "fleet-text");
	config = fleet_config_new(row->text, row->number, &errors);
	if (!config) {
		log_warn("text-refused", "version=%" G_GUINT64_FORMAT " faults=%u", row->number,
			errors.count);
	} else {
		fleet_config_get(config);
		if (snapshot_set(this->options.snapshot, config)) {
			node_thread_set_config(this->options.node_thread, config);
			log_notice("text-applied", "version=%" G_GUINT64_FORMAT, row->number);
		}
		fleet_config_put(config);
	}
	error_list_clear(&errors);
}

static void apply(platform_watcher_t *this, const config_row_t *row)
{
	pthread_mutex_lock(&this->apply_lock);
	apply_locked(this, row);
	pthread_mutex_unlock(&this->apply_lock);
}

/* False if the table is unreachable. */
static bool fetch_from_table(platform_watcher_t *this)
{
	platform_t *platform = this->options.platform;
	config_row_t config;
	table_row_t row;
	store_result_t result = platform->ops->read(platform, CONFIG_KEY, &row);

	if (result == STORE_OK && config_row_decode(row.value, &config)) {
		apply(this, &config);
		config_row_clear(&config);
	}
	if (result == STORE_OK)
		table_row_clear(&row);
	return result != STORE_NO_RESULT;
}

static bool fetch_from_peer(platform_watcher_t *this, const peer_settings_t *peer)
{
	const router_settings_t *settings = this->options.settings;
	char *bearer = g_strconcat("Bearer ", settings->operator_token, NULL);
	http_header_t header = {"Authorization", bearer};
	http_options_t options = {
		.address = peer->operator_address,
		.method = "GET",
		.path = "/fleet/text",
		.headers = &header,
		.header_count = 1,
		.connect_timeout_ms = PEER_TIMEOUT_MS,
		.read_timeout_ms = PEER_TIMEOUT_MS,
	};
	GString *response = g_string_new(NULL);
	config_row_t row;
	int status = 0;
	bool fetched = http_call(&options, MAX_CONFIG, response, &status) == HTTP_OK &&
		       status == 200 && config_row_decode(response->str, &row);

	if (fetched) {
		apply(this, &row);
		config_row_clear(&row);
	}
	g_string_free(response, TRUE);
	g_free(bearer);
	return fetched;
}

/* Asks one peer after another until the highest version that a peer reported is in force. */
static void fetch_from_peers(platform_watcher_t *this)
{
	const router_settings_t *settings = this->options.settings;
	uint64_t wanted;

	pthread_mutex_lock(&this->lock);
	wanted = this->peer_version;
	pthread_mutex_unlock(&this->lock);
	for (unsigned int i = 0; i < settings->peer_count; i++) {
		uint64_t current = snapshot_version(this->options.snapshot);

		if (current && current >= wanted)
			return;
		fetch_from_peer(this, &settings->peers[i]);
	}
}

/* --- the instance list ------------------------------------------------ */

static bool router_is_listed(const GArray *instances, const char *name)
{
	for (unsigned int i = 0; i < instances->len; i++) {
		if (!strcmp(g_array_index(instances, instance_t, i).name, name))
			return true;
	}
	return false;
}

static void apply_instances(platform_watcher_t *this, const GArray *instances)
{
	const router_settings_t *settings = this->options.settings;

	pthread_mutex_lock(&this->lock);
	g_hash_table_remove_all(this->leaving);
	for (unsigned int i = 0; i < instances->len; i++) {
		const instance_t *instance = &g_array_index(instances, instance_t, i);

		if (instance->state == INSTANCE_LEAVING)
			g_hash_table_add(this->leaving, g_strdup(instance->name));
	}
	pthread_mutex_unlock(&this->lock);
	for (unsigned int i = 0; i < instances->len; i++) {
		const instance_t *instance = &g_array_index(instances, instance_t, i);

		node_thread_set_leaving(this->options.node_thread, name_id(instance->name),
			instance->state == INSTANCE_LEAVING);
	}
	/* An empty list is ignored: it does not mean that all peers are gone. */
	for (unsigned int i = 0; i < settings->peer_count && instances->len; i++)
		node_thread_set_unlisted(this->options.node_thread,
			name_id(settings->peers[i].name),
			!router_is_listed(instances, settings->peers[i].name));
}

static void poll_instances(platform_watcher_t *this)
{
	platform_t *platform = this->options.platform;
	GArray *instances = instances_new();

	if (platform->ops->instances(platform, instances) == STORE_OK)
		apply_instances(this, instances);
	g_array_unref(instances);
}

/* --- load reports, for the policy "least" only --------------------------- */

static void poll_load(platform_watcher_t *this, const endpoint_t *endpoint)
{
	http_options_t options = {
		.address = endpoint->address,
		.method = "GET",
		.path = "/load",
		.connect_timeout_ms = PEER_TIMEOUT_MS,
		.read_timeout_ms = PEER_TIMEOUT_MS,
	};
	GString *response = g_string_new(NULL);
	int status = 0;

	if (http_call(&options, 4096, response, &status) == HTTP_OK && status == 200) {
		jsondoc_t *doc = jsondoc_new(response->str, response->len);

		if (!doc->error)
			node_thread_report_load(this->options.node_thread, endpoint->id,
				(unsigned int)json_get_int(doc->root, "running", 0));
		jsondoc_delete(doc);
	}
	g_string_free(response, TRUE);
}

/* Sleeps until `deadline` or until a peer has a newer configuration; false if asked to quit. */
static bool sleep_until(platform_watcher_t *this, instant_t deadline)
{
	bool quit;

	pthread_mutex_lock(&this->lock);
	while (!this->quit && cond_wait_until(&this->wake, &this->lock, deadline)) {
		if (this->peer_version > snapshot_version(this->options.snapshot))
			break;
	}
	quit = this->quit;
	pthread_mutex_unlock(&this->lock);
	return !quit;
}

static void *run_load(void *ctx)
{
	platform_watcher_t *this = ctx;
	instant_t next;

	do {
		fleet_config_t *config = snapshot_get(this->options.snapshot);

		for (unsigned int i = 0; config && i < config->endpoint_count; i++)
			poll_load(this, &config->endpoints[i]);
		fleet_config_put(config);
		next = clock_now() + LOAD_INTERVAL;
	} while (sleep_until(this, next));
	return NULL;
}

/* --- the polling thread ----------------------------------------------- */

static void *run(void *ctx)
{
	platform_watcher_t *this = ctx;
	unsigned int routers = this->options.settings->peer_count + 1;
	uint64_t interval = routers * FLEET_POLL_INTERVAL;
	instant_t next;

	do {
		bool reached = fetch_from_table(this);
		uint64_t version;

		if (!reached)
			fetch_from_peers(this);
		poll_instances(this);
		version = snapshot_version(this->options.snapshot);
		next = clock_now() + (reached && version ? interval : RETRY_DELAY);
	} while (sleep_until(this, next));
	return NULL;
}

platform_watcher_t *platform_watcher_new(const platform_watcher_options_t *options)
{
	platform_watcher_t *this = g_new0(platform_watcher_t, 1);

	this->options = *options;
	pthread_mutex_init(&this->lock, NULL);
	pthread_mutex_init(&this->apply_lock, NULL);
	cond_init(&this->wake);
	this->leaving = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	this->polls_load = !strcmp(options->settings->policy, "least");
	pthread_create(&this->thread, NULL, run, this);
	if (this->polls_load)
		pthread_create(&this->load_thread, NULL, run_load, this);
	return this;
}

void platform_watcher_delete(platform_watcher_t *this)
{
	pthread_mutex_lock(&this->lock);
	this->quit = true;
	pthread_cond_broadcast(&this->wake);
	pthread_mutex_unlock(&this->lock);
	pthread_join(this->thread, NULL);
	if (this->polls_load)
		pthread_join(this->load_thread, NULL);
	g_hash_table_destroy(this->leaving);
	pthread_cond_destroy(&this->wake);
	pthread_mutex_destroy(&this->lock);
	pthread_mutex_destroy(&this->apply_lock);
	g_free(this);
}

void platform_watcher_apply_accepted(platform_watcher_t *this, const config_row_t *row)
{
	apply(this, row);
}

void platform_watcher_on_peer_version(platform_watcher_t *this, uint64_t version)
{
	pthread_mutex_lock(&this->lock);
	if (version > this->peer_version)
		this->peer_version = version;
	pthread_cond_broadcast(&this->wake);
	pthread_mutex_unlock(&this->lock);
}

bool platform_watcher_is_leaving(platform_watcher_t *this, const char *endpoint)
{
	bool leaving;

	pthread_mutex_lock(&this->lock);
	leaving = g_hash_table_contains(this->leaving, endpoint);
	pthread_mutex_unlock(&this->lock);
	return leaving;
}
