#include "settings/fleet_config.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "settings/address.h"

#define TOKEN_PREFIX "sha256:"
#define TOKEN_HEX_DIGITS 64
#define MAX_WEIGHT 10000

id_t32 name_id(const char *name)
{
	id_t32 id = XXH32(name, strlen(name), 0);

	return id ? id : 1; /* 0 means "none" in messages */
}

typedef void (*read_item_t)(
	fleet_config_t *this, error_list_t *errors, json_value_t *v, unsigned int i);

/* Allocates `*items` for the array `key` and calls `read` for each of its elements. */
static void read_list(fleet_config_t *this, error_list_t *errors, json_value_t *root,
	const char *key, void **items, size_t size, unsigned int *count, read_item_t read)
{
	json_value_t *list = json_get(root, key);
	unsigned int i = 0;

	if (!list || list->type != JSON_ARRAY) {
		error_list_add(errors, list ? list->line : root->line, "%s: give a list", key);
		return;
	}
	*items = g_malloc0_n(list->count + 1, size);
	*count = list->count;
	for (json_value_t *v = list->first; v; v = v->next, i++) {
		if (v->type != JSON_OBJECT)
			error_list_add(errors, v->line, "%s: each must be an object", key);
		read(this, errors, v, i);
	}
}

static service_kind_t read_kind(error_list_t *errors, json_value_t *v)
{
	const char *kind = json_read_string(errors, v, "kind", JSON_REQUIRED_STRING);

	if (*kind && strcmp(kind, "model") && strcmp(kind, "plain"))
		error_list_add(
			errors, v->line, "kind: \"%s\" is unknown; give model or plain", kind);
	return strcmp(kind, "plain") ? SERVICE_MODEL : SERVICE_PLAIN;
}

static void read_service(
	fleet_config_t *this, error_list_t *errors, json_value_t *v, unsigned int i)
{
	service_t *service = &this->services[i];

	service->name = g_strdup(json_read_string(errors, v, "name", JSON_REQUIRED_STRING));
	service->id = name_id(service->name);
	service->kind = read_kind(errors, v);
	service->long_cost =
		(unsigned int)json_read_int(errors, v, "long_cost", 400, 1, 1000000000);
	service->long_share = (unsigned int)json_read_int(errors, v, "long_share", 60, 1, 100);
	/* Marks the key as used; read_all_dependencies() reads it once all services are known. */
	json_get(v, "depends_on");
}

static void read_dependencies(
	fleet_config_t *this, error_list_t *errors, json_value_t *v, service_t *service)
{
	json_value_t *list = json_get(v, "depends_on");

	if (!list)
		return;
	if (list->type != JSON_ARRAY) {
		error_list_add(errors, list->line, "depends_on: give a list of names");
		return;
	}
	service->depends_on = g_new0(unsigned int, list->count + 1);
	for (json_value_t *name = list->first; name; name = name->next) {
		int index = name->type == JSON_STRING
				    ? fleet_config_find_service(this, name->string)
				    : -1;

		if (index < 0)
			error_list_add(errors, name->line, "depends_on: no service is named \"%s\"",
				name->string ? name->string : "?");
		else
			service->depends_on[service->dependency_count++] = (unsigned int)index;
	}
}

static void read_all_dependencies(fleet_config_t *this, error_list_t *errors, json_value_t *root)
{
	json_value_t *list = json_get(root, "services");
	unsigned int i = 0;

	if (!list || list->type != JSON_ARRAY)
		return;
	for (json_value_t *v = list->first; v && i < this->service_count; v = v->next, i++)
		read_dependencies(this, errors, v, &this->services[i]);
}

/*
 * Depth-first search for a cycle from a service.  `state` is 0 for unvisited
 * services, 1 for those on the current path and 2 for finished ones.
 */
static bool reaches_cycle(const fleet_config_t *this, unsigned int index, unsigned char *state)
{
	const service_t *service = &this->services[index];

	if (state[index])
		return state[index] == 1;
	state[index] = 1;
	for (unsigned int i = 0; i < service->dependency_count; i++) {
		if (reaches_cycle(this, service->depends_on[i], state))
			return true;
	}
	state[index] = 2;
	return false;
}

static void check_dependency_cycles(const fleet_config_t *this, error_list_t *errors)
{
	unsigned char *state = g_malloc0(this->service_count + 1);

	for (unsigned int i = 0; i < this->service_count; i++) {
		if (reaches_cycle(this, i, state)) {
			error_list_add(errors, 1, "depends_on: %s is on a cycle of services",
				this->services[i].name);
			break;
		}
	}
	g_free(state);
}

static void read_endpoint(
	fleet_config_t *this, error_list_t *errors, json_value_t *v, unsigned int i)
{
	endpoint_t *endpoint = &this->endpoints[i];
	const char *service = json_read_string(errors, v, "service", JSON_REQUIRED_STRING);
	int index = fleet_config_find_service(this, service);
	char ip[64];
	uint16_t port;

	endpoint->name = g_strdup(json_read_string(errors, v, "name", JSON_REQUIRED_STRING));
	endpoint->id = name_id(endpoint->name);
	endpoint->address = g_strdup(json_read_string(errors, v, "address", JSON_REQUIRED_STRING));
	endpoint->failure_domain = g_strdup(json_read_string(errors, v, "failure_domain", "-"));
	endpoint->slots = (unsigned int)json_read_int(errors, v, "slots", 8, 1, 10000);
	endpoint->fencing = json_read_bool(errors, v, "fencing", false);
	if (index < 0 && *service)
		error_list_add(errors, v->line, "service: no service is named \"%s\"", service);
	endpoint->service = index < 0 ? 0 : (unsigned int)index;
	if (*endpoint->address && !address_parse(endpoint->address, ip, sizeof(ip), &port))
		error_list_add(errors, v->line,
			"address: \"%s\" is no address; give a numeric IP:PORT", endpoint->address);
}

static bool is_valid_token(const char *token)
{
	size_t prefix = strlen(TOKEN_PREFIX);

	if (strncmp(token, TOKEN_PREFIX, prefix) || strlen(token) != prefix + TOKEN_HEX_DIGITS)
		return false;
	return strspn(token + prefix, "0123456789abcdef") == TOKEN_HEX_DIGITS;
}

static void read_tokens(
	fleet_config_t *this, error_list_t *errors, json_value_t *v, workspace_t *ws)
{
	json_value_t *list = json_get(v, "tokens");
	unsigned int count = 0;

	if (!list || list->type != JSON_ARRAY || !list->count) {
		error_list_add(errors, v->line, "tokens: give a non-empty list of \"sha256:HEX\"");
		ws->tokens = g_new0(char *, 1);
		return;
	}
	ws->tokens = g_new0(char *, list->count + 1);
	for (json_value_t *t = list->first; t; t = t->next) {
		if (t->type != JSON_STRING || !is_valid_token(t->string)) {
			error_list_add(errors, t->line,
				"tokens: give \"sha256:\" and 64 hex digits, "
				"never the token itself");
			continue;
		}
		if (!g_hash_table_insert(this->workspaces_by_token, t->string, ws))
			error_list_add(errors, t->line, "tokens: this token stands twice");
		ws->tokens[count++] = g_strdup(t->string);
	}
}

static void read_workspace(
	fleet_config_t *this, error_list_t *errors, json_value_t *v, unsigned int i)
{
	workspace_t *ws = &this->workspaces[i];

	ws->name = g_strdup(json_read_string(errors, v, "name", JSON_REQUIRED_STRING));
	ws->id = name_id(ws->name);
	ws->weight = (unsigned int)json_read_int(errors, v, "weight", 1, 1, MAX_WEIGHT);
	read_tokens(this, errors, v, ws);
}

static key_rule_t read_key_rule(error_list_t *errors, json_value_t *v, bool is_idempotent)
{
	const char *key = json_read_string(errors, v, "key", is_idempotent ? "none" : "required");

	if (!strcmp(key, "required"))
		return KEY_REQUIRED;
	if (!strcmp(key, "optional"))
		return KEY_OPTIONAL;
	if (strcmp(key, "none"))
		error_list_add(errors, v->line,
			"key: \"%s\" is unknown; give required, optional or none", key);
	return KEY_NONE;
}

static void read_route(fleet_config_t *this, error_list_t *errors, json_value_t *v, unsigned int i)
{
	route_t *route = &this->routes[i];
	const char *service = json_read_string(errors, v, "service", JSON_REQUIRED_STRING);

	route->method = g_strdup(json_read_string(errors, v, "method", "*"));
	route->path = g_strdup(json_read_string(errors, v, "path", JSON_REQUIRED_STRING));
	route->is_idempotent = json_read_bool(errors, v, "repeatable", false);
	route->key = read_key_rule(errors, v, route->is_idempotent);
	route->deadline_ms = (unsigned int)json_read_int(errors, v, "deadline_ms", 0, 0, 3600000);
	route->cost = (unsigned int)json_read_int(errors, v, "cost", 0, 0, 1000000);
	route->first_byte_ms =
		(unsigned int)json_read_int(errors, v, "first_byte_ms", 1800, 1, 3600000);
	route->success = json_read_number(errors, v, "success", 0.99, 0.5, 0.99999);
	route->service =
		strcmp(service, "by-model") ? fleet_config_find_service(this, service) : -1;
	if (*route->path && route->path[0] != '/')
		error_list_add(errors, v->line, "path: \"%s\" must begin with /", route->path);
	if (*service && route->service < 0 && strcmp(service, "by-model"))
		error_list_add(errors, v->line, "service: no service is named \"%s\"", service);
	if (route->service >= 0 && this->services[route->service].kind == SERVICE_MODEL)
		error_list_add(
			errors, v->line, "service: \"%s\" is a model; give \"by-model\"", service);
}

typedef struct named_item {
	const char *kind;
	const char *name;
	id_t32 id;
} named_item_t;

static int compare_ids(const void *a, const void *b)
{
	const named_item_t *x = a;
	const named_item_t *y = b;

	if (x->id != y->id)
		return x->id < y->id ? -1 : 1;
	return 0;
}

static void check_ids(const fleet_config_t *this, error_list_t *errors)
{
	unsigned int total = this->service_count + this->endpoint_count + this->workspace_count;
	named_item_t *items = g_new0(named_item_t, total + 1);
	unsigned int n = 0;

	for (unsigned int i = 0; i < this->service_count; i++)
		items[n++] =
			(named_item_t){"service", this->services[i].name, this->services[i].id};
	for (unsigned int i = 0; i < this->endpoint_count; i++)
		items[n++] =
			(named_item_t){"endpoint", this->endpoints[i].name, this->endpoints[i].id};
	for (unsigned int i = 0; i < this->workspace_count; i++)
		items[n++] = (named_item_t){
			"workspace", this->workspaces[i].name, this->workspaces[i].id};
	qsort(items, n, sizeof(*items), compare_ids);
	for (unsigned int i = 1; i < n; i++) {
		if (items[i].id == items[i - 1].id)
			error_list_add(errors, 1,
				"name: %s \"%s\" and %s \"%s\" are the same or share an id; "
				"rename one",
				items[i - 1].kind, items[i - 1].name, items[i].kind, items[i].name);
	}
	g_free(items);
}

static void read_config(fleet_config_t *this, error_list_t *errors, json_value_t *root)
{
	read_list(this, errors, root, "services", (void **)&this->services, sizeof(service_t),
		&this->service_count, read_service);
	read_all_dependencies(this, errors, root);
	read_list(this, errors, root, "endpoints", (void **)&this->endpoints, sizeof(endpoint_t),
		&this->endpoint_count, read_endpoint);
	read_list(this, errors, root, "workspaces", (void **)&this->workspaces, sizeof(workspace_t),
		&this->workspace_count, read_workspace);
	read_list(this, errors, root, "routes", (void **)&this->routes, sizeof(route_t),
		&this->route_count, read_route);
	error_list_add_unknown_keys(errors, root);
	check_dependency_cycles(this, errors);
	check_ids(this, errors);
}

static void fleet_config_delete(fleet_config_t *this)
{
	for (unsigned int i = 0; i < this->service_count; i++) {
		g_free(this->services[i].name);
		g_free(this->services[i].depends_on);
	}
	for (unsigned int i = 0; i < this->endpoint_count; i++) {
		g_free(this->endpoints[i].name);
		g_free(this->endpoints[i].address);
		g_free(this->endpoints[i].failure_domain);
	}
	for (unsigned int i = 0; i < this->workspace_count; i++) {
		g_free(this->workspaces[i].name);
		g_strfreev(this->workspaces[i].tokens);
	}
	for (unsigned int i = 0; i < this->route_count; i++) {
		g_free(this->routes[i].method);
		g_free(this->routes[i].path);
	}
	g_hash_table_destroy(this->workspaces_by_token);
	g_free(this->services);
	g_free(this->endpoints);
	g_free(this->workspaces);
	g_free(this->routes);
	g_free(this->source);
	g_free(this);
}

fleet_config_t *fleet_config_new(const char *source, uint64_t version, error_list_t *errors)
{
	fleet_config_t *this = g_new0(fleet_config_t, 1);
	jsondoc_t *doc = json_parse_object(errors, source, strlen(source));

	this->ref_count = 1;
	this->version = version;
	this->source = g_strdup(source);
	this->workspaces_by_token = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, NULL);
	if (doc)
		read_config(this, errors, doc->root);
	/* Parsing used the table to find duplicate tokens; its keys belong to `doc`. */
	g_hash_table_remove_all(this->workspaces_by_token);
	jsondoc_delete(doc);
	if (errors->count) {
		fleet_config_delete(this);
		return NULL;
	}
	for (unsigned int i = 0; i < this->workspace_count; i++) {
		for (char **t = this->workspaces[i].tokens; t && *t; t++)
			g_hash_table_insert(this->workspaces_by_token, *t, &this->workspaces[i]);
	}
	return this;
}

fleet_config_t *fleet_config_get(fleet_config_t *this)
{
	g_atomic_int_inc(&this->ref_count);
	return this;
}

void fleet_config_put(fleet_config_t *this)
{
	if (this && g_atomic_int_dec_and_test(&this->ref_count))
		fleet_config_delete(this);
}

const workspace_t *fleet_config_find_workspace(const fleet_config_t *this, const char *token)
{
	char *hex = g_compute_checksum_for_string(G_CHECKSUM_SHA256, token, -1);
	char *hashed = g_strconcat(TOKEN_PREFIX, hex, NULL);
	const workspace_t *ws = g_hash_table_lookup(this->workspaces_by_token, hashed);

	g_free(hashed);
	g_free(hex);
	return ws;
}

static bool path_matches(const char *pattern, const char *path)
{
	size_t len = strlen(pattern);

	if (len && pattern[len - 1] == '*')
		return !strncmp(pattern, path, len - 1);
	return !strcmp(pattern, path);
}

const route_t *fleet_config_find_route(
	const fleet_config_t *this, const char *method, const char *path)
{
	for (unsigned int i = 0; i < this->route_count; i++) {
		const route_t *route = &this->routes[i];

		if (strcmp(route->method, "*") && strcmp(route->method, method))
			continue;
		if (path_matches(route->path, path))
			return route;
	}
	return NULL;
}

int fleet_config_find_service(const fleet_config_t *this, const char *name)
{
	for (unsigned int i = 0; i < this->service_count; i++) {
		if (!g_strcmp0(this->services[i].name, name))
			return (int)i;
	}
	return -1;
}
