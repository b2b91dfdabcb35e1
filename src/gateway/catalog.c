#include "gateway/catalog.h"

#include <string.h>

#include "settings/fleet_config.h"

static void route_delete(void *item)
{
	catalog_route_t *this = item;

	g_free(this->name);
	g_free(this->host);
	g_free(this->prefix);
	g_free(this->targets);
	g_free(this);
}

static void workspace_delete(void *item)
{
	catalog_workspace_t *this = item;

	g_free(this->name);
	g_free(this);
}

static void routes_unref(void *item)
{
	g_ptr_array_unref(item);
}

catalog_t *catalog_new(uint64_t version, const char *source)
{
	catalog_t *this = g_new0(catalog_t, 1);

	urcu_ref_init(&this->ref);
	this->version = version;
	this->source = g_strdup(source);
	this->routes = g_ptr_array_new_with_free_func(route_delete);
	this->workspaces = g_ptr_array_new_with_free_func(workspace_delete);
	this->by_host = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, routes_unref);
	this->by_key = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return this;
}

static void catalog_delete(struct urcu_ref *ref)
{
	catalog_t *this = caa_container_of(ref, catalog_t, ref);

	for (unsigned int i = 0; i < this->service_count; i++)
		g_free(this->services[i].name);
	g_free(this->services);
	g_hash_table_destroy(this->by_host);
	g_hash_table_destroy(this->by_key);
	g_ptr_array_unref(this->routes);
	g_ptr_array_unref(this->workspaces);
	g_free(this->source);
	g_free(this);
}

catalog_t *catalog_get(catalog_t *this)
{
	if (this)
		urcu_ref_get(&this->ref);
	return this;
}

void catalog_put(catalog_t *this)
{
	if (this)
		urcu_ref_put(&this->ref, catalog_delete);
}

catalog_route_t *catalog_add_route(catalog_t *this)
{
	catalog_route_t *route = g_new0(catalog_route_t, 1);

	g_ptr_array_add(this->routes, route);
	return route;
}

catalog_workspace_t *catalog_add_workspace(catalog_t *this, const char *name)
{
	catalog_workspace_t *workspace = g_new0(catalog_workspace_t, 1);

	workspace->name = g_strdup(name);
	workspace->id = name_id(name);
	g_ptr_array_add(this->workspaces, workspace);
	return workspace;
}

void catalog_add_key(catalog_t *this, const char *key, catalog_workspace_t *workspace)
{
	g_hash_table_replace(this->by_key, g_strdup(key), workspace);
}

static gint longest_prefix_first(gconstpointer a, gconstpointer b)
{
	const catalog_route_t *first = *(catalog_route_t *const *)a;
	const catalog_route_t *second = *(catalog_route_t *const *)b;

	if (first->prefix_len == second->prefix_len)
		return 0;
	return first->prefix_len > second->prefix_len ? -1 : 1;
}

static void lower_service_event_gap(catalog_t *this, const catalog_route_t *route)
{
	for (unsigned int i = 0; i < route->target_count; i++) {
		catalog_service_t *service = &this->services[route->targets[i].service];

		if (!service->max_event_gap_ms ||
			route->max_event_gap_ms < service->max_event_gap_ms)
			service->max_event_gap_ms = route->max_event_gap_ms;
	}
}

void catalog_seal(catalog_t *this)
{
	GHashTableIter iter;
	void *routes;

	for (unsigned int i = 0; i < this->routes->len; i++) {
		catalog_route_t *route = this->routes->pdata[i];
		char *host = g_ascii_strdown(route->host, -1);

		route->prefix_len = strlen(route->prefix);
		routes = g_hash_table_lookup(this->by_host, host);
		if (!routes) {
			routes = g_ptr_array_new();
			g_hash_table_insert(this->by_host, g_strdup(host), routes);
		}
		g_ptr_array_add(routes, route);
		g_free(host);
		if (route->max_event_gap_ms)
			lower_service_event_gap(this, route);
	}
	g_hash_table_iter_init(&iter, this->by_host);
	while (g_hash_table_iter_next(&iter, NULL, &routes))
		g_ptr_array_sort(routes, longest_prefix_first);
}

const catalog_route_t *catalog_route(const catalog_t *this, const char *host, const char *path)
{
	const char *colon = strchr(host, ':');
	char *name = g_ascii_strdown(host, colon ? colon - host : -1);
	const GPtrArray *routes = g_hash_table_lookup(this->by_host, name);

	g_free(name);
	for (unsigned int i = 0; routes && i < routes->len; i++) {
		const catalog_route_t *route = routes->pdata[i];

		if (!strncmp(path, route->prefix, route->prefix_len))
			return route;
	}
	return NULL;
}

const catalog_workspace_t *catalog_find_workspace(const catalog_t *this, const char *key)
{
	return g_hash_table_lookup(this->by_key, key);
}

int catalog_find_service(const catalog_t *this, const char *name)
{
	for (unsigned int i = 0; i < this->service_count; i++) {
		if (!strcmp(this->services[i].name, name))
			return (int)i;
	}
	return -1;
}

unsigned int catalog_pick_target(const catalog_route_t *route, uint32_t random)
{
	unsigned int remaining = route->total_weight ? random % route->total_weight : 0;

	for (unsigned int i = 0; i < route->target_count; i++) {
		if (remaining < route->targets[i].weight)
			return route->targets[i].service;
		remaining -= route->targets[i].weight;
	}
	return route->targets[0].service;
}
