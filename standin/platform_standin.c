#include "standin/platform_standin.h"

#include <string.h>

#include "edge/clock.h"
#include "settings/jsondoc.h"

typedef struct row {
	char *value;
	uint64_t version;
	instant_t expires;
} row_t;

typedef struct listed {
	char *address;
	char *state;
	char *shown_state; /* what the list said before `since` plus the lag */
	instant_t since;
} listed_t;

struct platform_standin {
	server_t *server;
	pthread_mutex_t lock;
	GTree *rows; /* ordered, for scans */
	GHashTable *objects;
	GTree *instances;
	GRand *random;
	uint64_t next_version;
	uint64_t reads;
	uint64_t writes;
	uint64_t transactions;
	bool down;
	uint64_t slow_ms;
	unsigned int lose_per_mille;
	uint64_t lag_ms;
};

static void row_free(void *data)
{
	row_t *row = data;

	g_free(row->value);
	g_free(row);
}

static void listed_free(void *data)
{
	listed_t *listed = data;

	g_free(listed->address);
	g_free(listed->state);
	g_free(listed->shown_state);
	g_free(listed);
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

static bool conditions_hold(platform_standin_t *this, json_value_t *ops)
{
	for (json_value_t *op = ops->first; op; op = op->next) {
		row_t *row = find_row(this, json_get_string(op, "key", ""));

		if ((row ? row->version : 0) != (uint64_t)json_get_int(op, "expected", 0))
			return false;
	}
	return true;
}

static void apply(platform_standin_t *this, json_value_t *ops, GString *out)
{
	for (json_value_t *op = ops->first; op; op = op->next) {
		row_t *row = g_new0(row_t, 1);
		int64_t ttl = json_get_int(op, "ttl_s", 0);

		row->value = g_strdup(json_get_string(op, "value", ""));
		row->version = ++this->next_version;
		row->expires = ttl ? clock_now() + (uint64_t)ttl * USEC_PER_SEC : INSTANT_NEVER;
		g_tree_replace(this->rows, g_strdup(json_get_string(op, "key", "")), row);
		g_string_append_printf(
			out, "%s%" G_GUINT64_FORMAT, op == ops->first ? "" : ",", row->version);
		this->writes++;
	}
}

static enum MHD_Result transact(platform_standin_t *this, server_call_t *call)
{
	jsondoc_t *doc = jsondoc_new(call->body->str, call->body->len);
	json_value_t *ops = doc->error ? NULL : json_get(doc->root, "ops");
	GString *out = g_string_new("{\"versions\":[");
	bool lost = false;
	int status = 200;

	if (!ops || ops->type != JSON_ARRAY) {
		status = 400;
		goto out;
	}
	pthread_mutex_lock(&this->lock);
	this->transactions++;
	if (conditions_hold(this, ops))
		apply(this, ops, out);
	else
		status = 409;
	lost = (unsigned int)g_rand_int_range(this->random, 0, 1000) < this->lose_per_mille;
	pthread_mutex_unlock(&this->lock);
out:
	g_string_append(out, "]}");
	jsondoc_delete(doc);
	if (!lost)
		return server_json(call, status, out);
	g_string_free(out, TRUE);
	return server_drop(call);
}

static void append_row(GString *out, const char *key, const row_t *row)
{
	g_string_append(out, "{\"key\":");
	json_append_quoted(out, key);
	g_string_append_printf(out, ",\"version\":%" G_GUINT64_FORMAT ",\"value\":", row->version);
	json_append_quoted(out, row->value);
	g_string_append_c(out, '}');
}

static enum MHD_Result read_row(platform_standin_t *this, server_call_t *call)
{
	const char *key = server_argument(call, "key");
	GString *out = g_string_new(NULL);
	row_t *row;

	pthread_mutex_lock(&this->lock);
	this->reads++;
	row = key ? find_row(this, key) : NULL;
	if (row)
		append_row(out, key, row);
	pthread_mutex_unlock(&this->lock);
	return server_json(call, row ? 200 : 404, out);
}

typedef struct scan {
	const char *prefix;
	GString *out;
	bool first;
} scan_t;

static gboolean scan_one(void *key, void *value, void *ctx)
{
	scan_t *scan = ctx;
	row_t *row = value;

	if (!g_str_has_prefix(key, scan->prefix) || row->expires <= clock_now())
		return FALSE;
	if (!scan->first)
		g_string_append_c(scan->out, ',');
	scan->first = false;
	append_row(scan->out, key, row);
	return FALSE;
}

static enum MHD_Result scan_rows(platform_standin_t *this, server_call_t *call)
{
	const char *prefix = server_argument(call, "prefix");
	scan_t scan = {prefix ? prefix : "", g_string_new("{\"rows\":["), true};

	pthread_mutex_lock(&this->lock);
	this->reads++;
	g_tree_foreach(this->rows, scan_one, &scan);
	pthread_mutex_unlock(&this->lock);
	g_string_append(scan.out, "]}");
	return server_json(call, 200, scan.out);
}

static enum MHD_Result object(platform_standin_t *this, server_call_t *call)
{
	const char *key = server_argument(call, "key");
	GString *out = g_string_new(NULL);
	int status = 200;
	GBytes *bytes;

	pthread_mutex_lock(&this->lock);
	if (!strcmp(call->method, "PUT")) {
		bytes = g_bytes_new(call->body->str, call->body->len);
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
	return server_json(call, status, out);
}

static gboolean list_one(void *key, void *value, void *ctx)
{
	listed_t *listed = value;
	scan_t *scan = ctx;
	bool due = listed->since <= clock_now();
	const char *state = due ? listed->state : listed->shown_state;

	if (!strcmp(state, "gone"))
		return FALSE;
	g_string_append(scan->out, scan->first ? "{\"name\":" : ",{\"name\":");
	json_append_quoted(scan->out, key);
	g_string_append(scan->out, ",\"address\":");
	json_append_quoted(scan->out, listed->address);
	g_string_append_printf(scan->out, ",\"state\":\"%s\"}", state);
	scan->first = false;
	return FALSE;
}

static enum MHD_Result list_instances(platform_standin_t *this, server_call_t *call)
{
	scan_t scan = {"", g_string_new("{\"instances\":["), true};

	pthread_mutex_lock(&this->lock);
	g_tree_foreach(this->instances, list_one, &scan);
	pthread_mutex_unlock(&this->lock);
	g_string_append(scan.out, "]}");
	return server_json(call, 200, scan.out);
}

static void set_instance(platform_standin_t *this, json_value_t *v)
{
	const char *name = json_get_string(v, "name", "");
	listed_t *before = g_tree_lookup(this->instances, name);
	listed_t *listed = g_new0(listed_t, 1);

	listed->address = g_strdup(json_get_string(v, "address", before ? before->address : ""));
	listed->state = g_strdup(json_get_string(v, "state", "live"));
	listed->shown_state = g_strdup(before ? before->state : "gone");
	listed->since = clock_now() + this->lag_ms * USEC_PER_MSEC;
	g_tree_replace(this->instances, g_strdup(name), listed);
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

static enum MHD_Result control(platform_standin_t *this, server_call_t *call)
{
	jsondoc_t *doc = jsondoc_new(call->body->str, call->body->len);
	int status = doc->error ? 400 : 200;

	pthread_mutex_lock(&this->lock);
	if (!doc->error && !strcmp(call->path, "/control/instance"))
		set_instance(this, doc->root);
	else if (!doc->error)
		set_faults(this, doc->root);
	pthread_mutex_unlock(&this->lock);
	jsondoc_delete(doc);
	return server_json(call, status, g_string_new("{}"));
}

static enum MHD_Result stats(platform_standin_t *this, server_call_t *call)
{
	GString *out = g_string_new(NULL);

	pthread_mutex_lock(&this->lock);
	g_string_printf(out,
		"{\"reads\":%" G_GUINT64_FORMAT ",\"writes\":%" G_GUINT64_FORMAT
		",\"transactions\":%" G_GUINT64_FORMAT "}",
		this->reads, this->writes, this->transactions);
	pthread_mutex_unlock(&this->lock);
	return server_json(call, 200, out);
}

static enum MHD_Result on_call(void *ctx, server_call_t *call)
{
	platform_standin_t *this = ctx;
	uint64_t slow_ms;
	bool down;

	if (g_str_has_prefix(call->path, "/control"))
		return control(this, call);
	if (!strcmp(call->path, "/stats"))
		return stats(this, call);
	pthread_mutex_lock(&this->lock);
	slow_ms = this->slow_ms;
	down = this->down;
	pthread_mutex_unlock(&this->lock);
	if (down)
		return server_drop(call);
	if (slow_ms)
		sleep_ms(slow_ms);
	if (!strcmp(call->path, "/table/transact"))
		return transact(this, call);
	if (!strcmp(call->path, "/table/row"))
		return read_row(this, call);
	if (!strcmp(call->path, "/table/scan"))
		return scan_rows(this, call);
	if (!strcmp(call->path, "/object"))
		return object(this, call);
	if (!strcmp(call->path, "/instances"))
		return list_instances(this, call);
	return server_json(call, 404, g_string_new("{}"));
}

platform_standin_t *platform_standin_new(const char *address)
{
	platform_standin_t *this = g_new0(platform_standin_t, 1);

	pthread_mutex_init(&this->lock, NULL);
	this->rows = g_tree_new_full(compare_keys, NULL, g_free, row_free);
	this->instances = g_tree_new_full(compare_keys, NULL, g_free, listed_free);
	this->objects = g_hash_table_new_full(
		g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_bytes_unref);
	this->random = g_rand_new_with_seed(1);
	this->server = server_new(address, on_call, this);
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
