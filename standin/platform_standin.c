#include "standin/platform_standin.h"

#include <string.h>

#include "edge/clock.h"
#include "settings/jsondoc.h"

typedef struct row {
	char *value;
	uint64_t version;
	instant_t expires;
} row_t;

typedef struct listed_instance {
	char *address;
	char *state;
	char *previous_state; /* listed until `effective_at` */
	instant_t effective_at;
} listed_instance_t;

struct platform_standin {
	server_t *server;
	pthread_mutex_t lock;
	GTree *rows; /* ordered, for scans */
	GHashTable *objects;
	GTree *instances;
	GRand *random;
	uint64_t last_version;
	uint64_t reads;
	uint64_t writes;
	uint64_t transactions;
	bool down;
	uint64_t slow_ms;
	unsigned int lose_per_mille;
	uint64_t lag_ms; /* from a change of an instance until the list shows it */
};

static void row_free(void *data)
{
	row_t *row = data;

	g_free(row->value);
	g_free(row);
}

static void listed_instance_free(void *data)
{
	listed_instance_t *instance = data;

	g_free(instance->address);
	g_free(instance->state);
	g_free(instance->previous_state);
	g_free(instance);
}

static int compare_keys(const void *a, const void *b, void *ctx)
{
	return strcmp(a, b);
}

static row_t *find_row(platform_standin_t *this, const char *key)
{
	row_t *row = g_tree_lookup(this->rows, key);

	if (row && row->expires <= clock_now()) {
		g_tree_remove(this->rows, key);
		return NULL;
	}
	return row;
}

/* True if each row has its expected version, 0 for a row that is absent. */
static bool versions_match(platform_standin_t *this, json_value_t *ops)
{
	for (json_value_t *op = ops->first; op; op = op->next) {
		row_t *row = find_row(this, json_get_string(op, "key", ""));

		if ((row ? row->version : 0) != (uint64_t)json_get_int(op, "expected", 0))
			return false;
	}
	return true;
}

/* Writes the rows and appends their new versions to `out`. */
static void write_rows(platform_standin_t *this, json_value_t *ops, GString *out)
{
	for (json_value_t *op = ops->first; op; op = op->next) {
		row_t *row = g_new0(row_t, 1);
		int64_t ttl = json_get_int(op, "ttl_s", 0);

		row->value = g_strdup(json_get_string(op, "value", ""));
		row->version = ++this->last_version;
		row->expires = ttl ? clock_now() + (uint64_t)ttl * USEC_PER_SEC : INSTANT_NEVER;
		g_tree_replace(this->rows, g_strdup(json_get_string(op, "key", "")), row);
		g_string_append_printf(
			out, "%s%" G_GUINT64_FORMAT, op == ops->first ? "" : ",", row->version);
		this->writes++;
	}
}

static enum MHD_Result handle_transaction(platform_standin_t *this, server_request_t *request)
{
	jsondoc_t *doc = jsondoc_new(request->body->str, request->body->len);
	json_value_t *ops = doc->error ? NULL : json_get(doc->root, "ops");
	GString *out = g_string_new("{\"versions\":[");
	bool drop_response = false;
	int status = 200;

	if (!ops || ops->type != JSON_ARRAY) {
		status = 400;
		goto out;
	}
	pthread_mutex_lock(&this->lock);
	this->transactions++;
	if (versions_match(this, ops))
		write_rows(this, ops, out);
	else
		status = 409;
	drop_response =
		(unsigned int)g_rand_int_range(this->random, 0, 1000) < this->lose_per_mille;
	pthread_mutex_unlock(&this->lock);
out:
	g_string_append(out, "]}");
	jsondoc_delete(doc);
	if (!drop_response)
		return server_respond_json(request, status, out);
	g_string_free(out, TRUE);
	return server_drop_connection(request);
}

static void append_row(GString *out, const char *key, const row_t *row)
{
	g_string_append(out, "{\"key\":");
	json_append_quoted(out, key);
	g_string_append_printf(out, ",\"version\":%" G_GUINT64_FORMAT ",\"value\":", row->version);
	json_append_quoted(out, row->value);
	g_string_append_c(out, '}');
}

static enum MHD_Result read_row(platform_standin_t *this, server_request_t *request)
{
	const char *key = server_query_value(request, "key");
	GString *out = g_string_new(NULL);
	row_t *row;

	pthread_mutex_lock(&this->lock);
	this->reads++;
	row = key ? find_row(this, key) : NULL;
	if (row)
		append_row(out, key, row);
	pthread_mutex_unlock(&this->lock);
	return server_respond_json(request, row ? 200 : 404, out);
}

/* A JSON array to which the traversal of a tree appends its elements. */
typedef struct json_array {
	const char *prefix; /* of the keys to append */
	GString *out;
	bool is_empty;
} json_array_t;

/* GTraverseFunc that appends a row if its key has the prefix. */
static gboolean append_matching_row(void *key, void *value, void *ctx)
{
	json_array_t *array = ctx;
	row_t *row = value;

	if (!g_str_has_prefix(key, array->prefix) || row->expires <= clock_now())
		return FALSE;
	if (!array->is_empty)
		g_string_append_c(array->out, ',');
	array->is_empty = false;
	append_row(array->out, key, row);
	return FALSE;
}

static enum MHD_Result scan_rows(platform_standin_t *this, server_request_t *request)
{
	const char *prefix = server_query_value(request, "prefix");
	json_array_t array = {prefix ? prefix : "", g_string_new("{\"rows\":["), true};

	pthread_mutex_lock(&this->lock);
	this->reads++;
	g_tree_foreach(this->rows, append_matching_row, &array);
	pthread_mutex_unlock(&this->lock);
	g_string_append(array.out, "]}");
	return server_respond_json(request, 200, array.out);
}

static enum MHD_Result handle_object(platform_standin_t *this, server_request_t *request)
{
	const char *key = server_query_value(request, "key");
	GString *out = g_string_new(NULL);
	int status = 200;
	GBytes *bytes;

	pthread_mutex_lock(&this->lock);
	if (!strcmp(request->method, "PUT")) {
		bytes = g_bytes_new(request->body->str, request->body->len);
		g_hash_table_replace(this->objects, g_strdup(key ? key : ""), bytes);
		this->writes++;
	} else {
		bytes = key ? g_hash_table_lookup(this->objects, key) : NULL;
		this->reads++;
		if (bytes)
			g_string_append_len(out, g_bytes_get_data(bytes, NULL),
				(gssize)g_bytes_get_size(bytes));
		else
			status = 404;
	}
	pthread_mutex_unlock(&this->lock);
	return server_respond_json(request, status, out);
}

/* GTraverseFunc that appends an instance unless it is gone. */
static gboolean append_instance(void *key, void *value, void *ctx)
{
	listed_instance_t *instance = value;
	json_array_t *array = ctx;
	bool is_effective = instance->effective_at <= clock_now();
	const char *state = is_effective ? instance->state : instance->previous_state;

	if (!strcmp(state, "gone"))
		return FALSE;
	g_string_append(array->out, array->is_empty ? "{\"name\":" : ",{\"name\":");
	json_append_quoted(array->out, key);
	g_string_append(array->out, ",\"address\":");
	json_append_quoted(array->out, instance->address);
	g_string_append_printf(array->out, ",\"state\":\"%s\"}", state);
	array->is_empty = false;
	return FALSE;
}

static enum MHD_Result list_instances(platform_standin_t *this, server_request_t *request)
{
	json_array_t array = {"", g_string_new("{\"instances\":["), true};

	pthread_mutex_lock(&this->lock);
	g_tree_foreach(this->instances, append_instance, &array);
	pthread_mutex_unlock(&this->lock);
	g_string_append(array.out, "]}");
	return server_respond_json(request, 200, array.out);
}

static void set_instance(platform_standin_t *this, json_value_t *v)
{
	const char *name = json_get_string(v, "name", "");
	listed_instance_t *previous = g_tree_lookup(this->instances, name);
	listed_instance_t *instance = g_new0(listed_instance_t, 1);

	instance->address =
		g_strdup(json_get_string(v, "address", previous ? previous->address : ""));
	instance->state = g_strdup(json_get_string(v, "state", "live"));
	instance->previous_state = g_strdup(previous ? previous->state : "gone");
	instance->effective_at = clock_now() + this->lag_ms * USEC_PER_MSEC;
	g_tree_replace(this->instances, g_strdup(name), instance);
}

static void set_faults(platform_standin_t *this, json_value_t *v)
{
	this->down = json_get_bool(v, "down", this->down);
	this->slow_ms = (uint64_t)json_get_int(v, "slow_ms", (int64_t)this->slow_ms);
	this->lose_per_mille =
		(unsigned int)json_get_int(v, "lose_per_mille", (int64_t)this->lose_per_mille);
	this->lag_ms = (uint64_t)json_get_int(v, "lag_ms", (int64_t)this->lag_ms);
	if (json_get(v, "seed"))
		g_rand_set_seed(this->random, (guint32)json_get_int(v, "seed", 0));
}

static enum MHD_Result handle_control(platform_standin_t *this, server_request_t *request)
{
	jsondoc_t *doc = jsondoc_new(request->body->str, request->body->len);
	int status = doc->error ? 400 : 200;

	pthread_mutex_lock(&this->lock);
	if (!doc->error && !strcmp(request->path, "/control/instance"))
		set_instance(this, doc->root);
	else if (!doc->error)
		set_faults(this, doc->root);
	pthread_mutex_unlock(&this->lock);
	jsondoc_delete(doc);
	return server_respond_json(request, status, g_string_new("{}"));
}

static enum MHD_Result send_stats(platform_standin_t *this, server_request_t *request)
{
	GString *out = g_string_new(NULL);

	pthread_mutex_lock(&this->lock);
	g_string_printf(out,
		"{\"reads\":%" G_GUINT64_FORMAT ",\"writes\":%" G_GUINT64_FORMAT
		",\"transactions\":%" G_GUINT64_FORMAT "}",
		this->reads, this->writes, this->transactions);
	pthread_mutex_unlock(&this->lock);
	return server_respond_json(request, 200, out);
}

static enum MHD_Result on_request(void *ctx, server_request_t *request)
{
	platform_standin_t *this = ctx;
	uint64_t slow_ms;
	bool down;

	if (g_str_has_prefix(request->path, "/control"))
		return handle_control(this, request);
	if (!strcmp(request->path, "/stats"))
		return send_stats(this, request);
	pthread_mutex_lock(&this->lock);
	slow_ms = this->slow_ms;
	down = this->down;
	pthread_mutex_unlock(&this->lock);
	if (down)
		return server_drop_connection(request);
	if (slow_ms)
		sleep_ms(slow_ms);
	if (!strcmp(request->path, "/table/transact"))
		return handle_transaction(this, request);
	if (!strcmp(request->path, "/table/row"))
		return read_row(this, request);
	if (!strcmp(request->path, "/table/scan"))
		return scan_rows(this, request);
	if (!strcmp(request->path, "/object"))
		return handle_object(this, request);
	if (!strcmp(request->path, "/instances"))
		return list_instances(this, request);
	return server_respond_json(request, 404, g_string_new("{}"));
}

platform_standin_t *platform_standin_new(const char *address)
{
	platform_standin_t *this = g_new0(platform_standin_t, 1);

	pthread_mutex_init(&this->lock, NULL);
	this->rows = g_tree_new_full(compare_keys, NULL, g_free, row_free);
	this->instances = g_tree_new_full(compare_keys, NULL, g_free, listed_instance_free);
	this->objects = g_hash_table_new_full(
		g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_bytes_unref);
	this->random = g_rand_new_with_seed(1);
	this->server = server_new(address, on_request, this);
	if (!this->server) {
		platform_standin_delete(this);
		return NULL;
	}
	return this;
}

void platform_standin_delete(platform_standin_t *this)
{
	if (!this)
		return;
	server_delete(this->server);
	g_tree_destroy(this->rows);
	g_tree_destroy(this->instances);
	g_hash_table_destroy(this->objects);
	g_rand_free(this->random);
	pthread_mutex_destroy(&this->lock);
	g_free(this);
}

const char *platform_standin_address(const platform_standin_t *this)
{
	return this->server->address;
}
