#include "gateway/endpoint_registry.h"

#include <string.h>

#include "core/rate_limit.h"
#include "gateway/endpoint_warm_up.h"
#include "settings/fleet_config.h"

/*
 * How long it is remembered that an endpoint has left; the store's copy is some seconds old, and
 * the store may be away for a while before it is read again.
 */
#define DEPARTURE_MEMORY (60 * USEC_PER_SEC)

/* One start of an endpoint that has left. */
typedef struct departure {
	uint64_t era; /* of the store at that time */
	instant_t forget_at;
} departure_t;

struct endpoint_registry {
	endpoint_registry_options_t options;
	GHashTable *departures; /* id -> departure_t */
	GHashTable *by_name;	/* registered_endpoint_t; the newest start under each name */
	GHashTable *by_id;	/* the same endpoints by id; holds no references */
};

registered_endpoint_t *registered_endpoint_get(registered_endpoint_t *this)
{
	this->ref_count++;
	return this;
}

void registered_endpoint_put(registered_endpoint_t *this)
{
	if (!this || --this->ref_count)
		return;
	g_free(this->name);
	g_free(this->service);
	g_free(this->address);
	g_free(this->version);
	g_free(this->failure_domain);
	g_free(this);
}

void endpoint_registration_clear(endpoint_registration_t *this)
{
	g_free(this->name);
	g_free(this->service);
	g_free(this->address);
	g_free(this->version);
	g_free(this->failure_domain);
}

bool registered_endpoint_takes_work(const registered_endpoint_t *this)
{
	return this->state == ENDPOINT_READY && !this->evacuated;
}

static void unref_endpoint(void *item)
{
	registered_endpoint_put(item);
}

endpoint_registry_t *endpoint_registry_new(const endpoint_registry_options_t *options)
{
	endpoint_registry_t *this = g_new0(endpoint_registry_t, 1);

	this->options = *options;
	this->departures = g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
	this->by_name = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, unref_endpoint);
	this->by_id = g_hash_table_new(g_direct_hash, g_direct_equal);
	return this;
}

void endpoint_registry_delete(endpoint_registry_t *this)
{
	if (!this)
		return;
	g_hash_table_destroy(this->by_id);
	g_hash_table_destroy(this->by_name);
	g_hash_table_destroy(this->departures);
	g_free(this);
}

/* The name, incarnation and address identify one start of an endpoint. */
static id_t32 incarnation_id(const endpoint_registration_t *registration)
{
	char *text = g_strdup_printf("%s/%" G_GUINT64_FORMAT "/%s", registration->name,
		registration->incarnation, registration->address);
	id_t32 id = name_id(text);

	g_free(text);
	return id;
}

static registered_endpoint_t *endpoint_new(const endpoint_registration_t *registration)
{
	registered_endpoint_t *this = g_new0(registered_endpoint_t, 1);

	this->name = g_strdup(registration->name);
	this->service = g_strdup(registration->service);
	this->address = g_strdup(registration->address);
	this->version = g_strdup(registration->version ? registration->version : "");
	this->version_id = name_id(this->version);
	this->id = incarnation_id(registration);
	this->service_id = name_id(registration->service);
	this->slots = registration->slots;
	this->state = registration->state;
	this->incarnation = registration->incarnation;
	this->era = registration->era;
	this->ref_count = 1;
	this->named_rate = RATE_NONE;
	buffer_group_init(&this->buffers);
	CDS_INIT_LIST_HEAD(&this->idle_connections);
	return this;
}

static bool is_same_incarnation(
	const registered_endpoint_t *this, const endpoint_registration_t *registration)
{
	return this->incarnation == registration->incarnation &&
	       !strcmp(this->address, registration->address) &&
	       !strcmp(this->service, registration->service);
}

static gboolean is_forgotten(gpointer key, gpointer value, gpointer now)
{
	return ((const departure_t *)value)->forget_at <= *(const instant_t *)now;
}

static void record_departure(
	endpoint_registry_t *this, const registered_endpoint_t *endpoint, instant_t now)
{
	departure_t *departure = g_new0(departure_t, 1);

	departure->era = endpoint->era;
	departure->forget_at = now + DEPARTURE_MEMORY;
	g_hash_table_foreach_remove(this->departures, is_forgotten, &now);
	g_hash_table_replace(this->departures, GUINT_TO_POINTER(endpoint->id), departure);
}

/* The caller removes the endpoint by name. */
static void end_registration(
	endpoint_registry_t *this, registered_endpoint_t *endpoint, instant_t now)
{
	endpoint->state = ENDPOINT_GONE;
	g_hash_table_remove(this->by_id, GUINT_TO_POINTER(endpoint->id));
	record_departure(this, endpoint, now);
	if (this->options.on_removed)
		this->options.on_removed(this->options.ctx, endpoint);
}

static void remove_endpoint(
	endpoint_registry_t *this, registered_endpoint_t *endpoint, instant_t now)
{
	end_registration(this, endpoint, now);
	g_hash_table_remove(this->by_name, endpoint->name);
}

/* Returns whether that changed anything. */
static bool apply_evacuations(const endpoint_registry_t *this, registered_endpoint_t *endpoint)
{
	bool evacuated = this->options.evacuations && endpoint->domain_id &&
			 evacuations_contain(this->options.evacuations, endpoint->domain_id);

	if (evacuated == endpoint->evacuated)
		return false;
	endpoint->evacuated = evacuated;
	return true;
}

unsigned int endpoint_registry_apply_evacuations(endpoint_registry_t *this)
{
	unsigned int changed = 0;
	GHashTableIter iter;
	void *item;

	g_hash_table_iter_init(&iter, this->by_name);
	while (g_hash_table_iter_next(&iter, NULL, &item))
		changed += apply_evacuations(this, item);
	return changed;
}

static void set_domain(registered_endpoint_t *endpoint, const char *domain)
{
	g_free(endpoint->failure_domain);
	endpoint->failure_domain = g_strdup(domain ? domain : "");
	endpoint->domain_id = *endpoint->failure_domain ? name_id(endpoint->failure_domain) : 0;
}

/* Notes the registration's failure domain; returns whether that changed anything. */
static bool apply_registration(const endpoint_registry_t *this, registered_endpoint_t *endpoint,
	const endpoint_registration_t *registration)
{
	id_t32 domain_before = endpoint->domain_id;

	set_domain(endpoint, registration->failure_domain);
	return apply_evacuations(this, endpoint) || endpoint->domain_id != domain_before;
}

/* Returns whether it is another version than before. */
static bool set_version(registered_endpoint_t *endpoint, const char *version)
{
	if (!strcmp(endpoint->version, version ? version : ""))
		return false;
	g_free(endpoint->version);
	endpoint->version = g_strdup(version ? version : "");
	endpoint->version_id = name_id(endpoint->version);
	return true;
}

static bool update_endpoint(
	registered_endpoint_t *endpoint, const endpoint_registration_t *registration, instant_t now)
{
	bool restored = registration->era > endpoint->era;
	bool stays = (restored && endpoint->state == ENDPOINT_DRAINING) || endpoint->said_it_leaves;
	endpoint_state_t state = stays ? ENDPOINT_DRAINING : registration->state;
	bool changed = set_version(endpoint, registration->version) || endpoint->state != state ||
		       endpoint->slots != registration->slots;

	changed |= endpoint_warm_up_put(endpoint, registration, now);

	endpoint->state = state;
	endpoint->slots = registration->slots;
	endpoint->era = registration->era;
	endpoint->remove_at = 0;
	if (!stays || registration->state == ENDPOINT_DRAINING)
		endpoint->hold_until = 0;
	return changed;
}

static void hold_if_departed(
	endpoint_registry_t *this, registered_endpoint_t *endpoint, instant_t now)
{
	const departure_t *departure =
		g_hash_table_lookup(this->departures, GUINT_TO_POINTER(endpoint->id));

	if (!departure || departure->forget_at <= now || endpoint->era <= departure->era ||
		endpoint->state != ENDPOINT_READY)
		return;
	endpoint->state = ENDPOINT_DRAINING;
	endpoint->hold_until = now + this->options.returned_hold;
}

bool endpoint_registry_put(
	endpoint_registry_t *this, const endpoint_registration_t *registration, instant_t now)
{
	registered_endpoint_t *endpoint = g_hash_table_lookup(this->by_name, registration->name);

	if (endpoint && is_same_incarnation(endpoint, registration)) {
		bool changed = apply_registration(this, endpoint, registration);

		return update_endpoint(endpoint, registration, now) || changed;
	}
	if (endpoint && registration->era > endpoint->era &&
		registration->incarnation < endpoint->incarnation)
		return false;
	if (endpoint)
		remove_endpoint(this, endpoint, now);
	endpoint = endpoint_new(registration);
	endpoint->seen_at = now;
	endpoint->seen_wall_ms = (uint64_t)(g_get_real_time() / 1000);
	endpoint_warm_up_put(endpoint, registration, now);
	apply_registration(this, endpoint, registration);
	hold_if_departed(this, endpoint, now);
	g_hash_table_insert(this->by_name, endpoint->name, endpoint);
	g_hash_table_insert(this->by_id, GUINT_TO_POINTER(endpoint->id), endpoint);
	return true;
}

bool endpoint_registry_set_leaving(registered_endpoint_t *endpoint)
{
	if (endpoint->said_it_leaves)
		return false;
	endpoint->said_it_leaves = true;
	if (endpoint->state == ENDPOINT_READY)
		endpoint->state = ENDPOINT_DRAINING;
	return true;
}

endpoint_removal_t endpoint_registry_remove(endpoint_registry_t *this, const char *name,
	uint64_t era, instant_t remove_at, instant_t now)
{
	registered_endpoint_t *endpoint = g_hash_table_lookup(this->by_name, name);

	if (!endpoint)
		return ENDPOINT_UNKNOWN;
	endpoint->era = era;
	if (now < remove_at) {
		endpoint->remove_at = endpoint->remove_at ? endpoint->remove_at : remove_at;
		return ENDPOINT_MISSING;
	}
	remove_endpoint(this, endpoint, now);
	return ENDPOINT_REMOVED;
}

static bool end_hold(registered_endpoint_t *endpoint, instant_t now)
{
	if (!endpoint->hold_until || now < endpoint->hold_until)
		return false;
	endpoint->hold_until = 0;
	if (endpoint->said_it_leaves)
		return false;
	endpoint->state = ENDPOINT_READY;
	return true;
}

bool endpoint_registry_expire(endpoint_registry_t *this, instant_t now)
{
	GHashTableIter iter;
	bool changed = false;
	void *item;

	g_hash_table_iter_init(&iter, this->by_name);
	while (g_hash_table_iter_next(&iter, NULL, &item)) {
		registered_endpoint_t *endpoint = item;

		changed |= end_hold(endpoint, now);
		if (!endpoint->remove_at || now < endpoint->remove_at)
			continue;
		end_registration(this, endpoint, now);
		g_hash_table_iter_remove(&iter);
		changed = true;
	}
	return changed;
}

registered_endpoint_t *endpoint_registry_find(const endpoint_registry_t *this, id_t32 id)
{
	return g_hash_table_lookup(this->by_id, GUINT_TO_POINTER(id));
}

void endpoint_registry_for_each(endpoint_registry_t *this,
	void (*callback)(void *ctx, registered_endpoint_t *endpoint), void *ctx)
{
	GHashTableIter iter;
	void *item;

	g_hash_table_iter_init(&iter, this->by_name);
	while (g_hash_table_iter_next(&iter, NULL, &item))
		callback(ctx, item);
}

unsigned int endpoint_registry_count(const endpoint_registry_t *this)
{
	return g_hash_table_size(this->by_name);
}

unsigned int endpoint_registry_evacuated_count(const endpoint_registry_t *this)
{
	unsigned int count = 0;
	GHashTableIter iter;
	void *item;

	g_hash_table_iter_init(&iter, this->by_name);
	while (g_hash_table_iter_next(&iter, NULL, &item))
		count += ((const registered_endpoint_t *)item)->evacuated;
	return count;
}

bool endpoint_registry_is_evacuated(const endpoint_registry_t *this, id_t32 service)
{
	GHashTableIter iter;
	void *item;

	g_hash_table_iter_init(&iter, this->by_name);
	while (g_hash_table_iter_next(&iter, NULL, &item)) {
		const registered_endpoint_t *endpoint = item;

		if (endpoint->service_id == service && endpoint->evacuated &&
			endpoint->state == ENDPOINT_READY)
			return true;
	}
	return false;
}
