#include "standin/row_store_standin.h"

#include <pthread.h>
#include <string.h>

#include "core/types.h"
#include "edge/clock.h"
#include "settings/jsondoc.h"

#define POLL_INTERVAL_MS 5
#define ERA_HEADER "Store-Era"

typedef struct row {
	char *table;
	char *key;
	char *value; /* base64; NULL in a deleted row */
	uint64_t version;
	bool is_deleted;
} row_t;

struct row_store_standin {
	server_t *server;
	server_t *second_server;
	pthread_mutex_t lock;
	GPtrArray *rows;    /* in order of version */
	GPtrArray *history; /* every write, in order of version */
	uint64_t version;
	uint64_t era;
	uint64_t compacted_version; /* a feed from an earlier version gets 410 */
	unsigned int request_count;
	GHashTable *followers; /* table -> number of feeds that wait for its changes */
	int fault; /* store_fault_t; `fault` and `quit` are accessed atomically, without the lock */
	int refusing; /* the second server refuses all requests; accessed like `fault` */
	int hidden;   /* the second server refuses reads of all tables but one; likewise */
	char *shown;  /* that table; does not change while `hidden` is set */
	int quit;
};

static bool has_fault(row_store_standin_t *this, store_fault_t fault)
{
	return __atomic_load_n(&this->fault, __ATOMIC_SEQ_CST) == (int)fault;
}

static bool must_quit(row_store_standin_t *this)
{
	return __atomic_load_n(&this->quit, __ATOMIC_SEQ_CST);
}

static void row_delete(void *item)
{
	row_t *row = item;

	g_free(row->table);
	g_free(row->key);
	g_free(row->value);
	g_free(row);
}

static row_t *find_row(row_store_standin_t *this, const char *table, const char *key)
{
	for (unsigned int i = 0; i < this->rows->len; i++) {
		row_t *row = this->rows->pdata[i];

		if (!strcmp(row->table, table) && !strcmp(row->key, key))
			return row;
	}
	return NULL;
}

static row_t *row_new(const char *table, const char *key, const char *value, uint64_t version)
{
	row_t *row = g_new0(row_t, 1);

	row->table = g_strdup(table);
	row->key = g_strdup(key);
	row->value = g_strdup(value);
	row->is_deleted = !value;
	row->version = version;
	return row;
}

static void replace_row(row_store_standin_t *this, const row_t *write)
{
	row_t *row = find_row(this, write->table, write->key);

	if (row)
		g_ptr_array_remove(this->rows, row);
	g_ptr_array_add(
		this->rows, row_new(write->table, write->key, write->value, write->version));
}

/* Writes a row at the store's current version. `value` is base64; NULL deletes the row. */
static void write_row(
	row_store_standin_t *this, const char *table, const char *key, const char *value)
{
	row_t *write = row_new(table, key, value, this->version);

	g_ptr_array_add(this->history, write);
	replace_row(this, write);
}

/* Responds with the era that the store is in; `text` is freed. */
static enum MHD_Result respond_in_era(
	server_request_t *request, int status, GString *text, uint64_t era)
{
	char value[32];

	g_snprintf(value, sizeof(value), "%" G_GUINT64_FORMAT, (guint64)era);
	return server_respond_json_with_header(request, status, text, ERA_HEADER, value);
}

static void append_row(GString *out, const row_t *row)
{
	if (out->str[out->len - 1] != '[')
		g_string_append_c(out, ',');
	g_string_append(out, "{\"table\":");
	json_append_quoted(out, row->table);
	g_string_append(out, ",\"part\":\"\",\"key\":");
	json_append_quoted(out, row->key);
	if (row->value)
		g_string_append_printf(out, ",\"value\":\"%s\"", row->value);
	g_string_append_printf(out, ",\"ver\":%" G_GUINT64_FORMAT "%s}", (guint64)row->version,
		row->is_deleted ? ",\"deleted\":true" : "");
}

/*
 * Appends the rows of `table` with a version above `after`; deleted ones only if
 * `with_deleted`.  Returns their number.
 */
static unsigned int append_rows(row_store_standin_t *this, GString *out, const char *table,
	uint64_t after, bool with_deleted)
{
	unsigned int count = 0;

	for (unsigned int i = 0; i < this->rows->len; i++) {
		const row_t *row = this->rows->pdata[i];

		if (strcmp(row->table, table) || row->version <= after)
			continue;
		if (row->is_deleted && !with_deleted)
			continue;
		append_row(out, row);
		count++;
	}
	return count;
}

/* Completes `out` and sends it; unlocks the store, which the caller has locked. */
static enum MHD_Result respond_and_unlock(
	row_store_standin_t *this, server_request_t *request, GString *out)
{
	uint64_t era;

	g_string_append_printf(out,
		"],\"hasMore\":false,\"ver\":%" G_GUINT64_FORMAT ",\"nowMs\":%" G_GUINT64_FORMAT
		"}",
		(guint64)this->version, (guint64)(clock_now() / USEC_PER_MSEC));
	era = this->era;
	pthread_mutex_unlock(&this->lock);
	return respond_in_era(request, 200, out, era);
}

static enum MHD_Result handle_get(row_store_standin_t *this, server_request_t *request)
{
	GString *out = g_string_new("{\"rows\":[");

	pthread_mutex_lock(&this->lock);
	append_rows(this, out, server_query_value(request, "table"), 0, false);
	return respond_and_unlock(this, request, out);
}

static void count_follower(row_store_standin_t *this, const char *table, int step)
{
	int count;

	pthread_mutex_lock(&this->lock);
	count = GPOINTER_TO_INT(g_hash_table_lookup(this->followers, table)) + step;
	g_hash_table_replace(this->followers, g_strdup(table), GINT_TO_POINTER(count));
	pthread_mutex_unlock(&this->lock);
}

unsigned int row_store_standin_follower_count(row_store_standin_t *this, const char *table)
{
	int count;

	pthread_mutex_lock(&this->lock);
	count = GPOINTER_TO_INT(g_hash_table_lookup(this->followers, table));
	pthread_mutex_unlock(&this->lock);
	return (unsigned int)count;
}

/* Waits up to waitMs for rows that changed after the version `after`. */
static enum MHD_Result wait_for_changes(row_store_standin_t *this, server_request_t *request)
{
	const char *table = server_query_value(request, "table");
	uint64_t after = g_ascii_strtoull(server_query_value(request, "after"), NULL, 10);
	uint64_t wait_ms = g_ascii_strtoull(server_query_value(request, "waitMs"), NULL, 10);
	instant_t until = clock_now() + wait_ms * USEC_PER_MSEC;
	uint64_t began_in_era = 0;

	for (;;) {
		GString *out = g_string_new("{\"rows\":[");

		pthread_mutex_lock(&this->lock);
		began_in_era = began_in_era ? began_in_era : this->era;
		if (began_in_era != this->era) {
			pthread_mutex_unlock(&this->lock);
			g_string_free(out, TRUE);
			return server_drop_connection(request);
		}
		if (after < this->compacted_version || after > this->version) {
			uint64_t era = this->era;

			pthread_mutex_unlock(&this->lock);
			g_string_assign(out, "{\"error\":\"compacted\"}");
			return respond_in_era(request, 410, out, era);
		}
		if (append_rows(this, out, table, after, true) || clock_now() >= until ||
			must_quit(this))
			return respond_and_unlock(this, request, out);
		pthread_mutex_unlock(&this->lock);
		g_string_free(out, TRUE);
		if (has_fault(this, STORE_FAULT_HANG))
			return server_drop_connection(request);
		sleep_ms(POLL_INTERVAL_MS);
	}
}

static enum MHD_Result handle_feed(row_store_standin_t *this, server_request_t *request)
{
	char *table = g_strdup(server_query_value(request, "table"));
	enum MHD_Result result;

	count_follower(this, table, 1);
	result = wait_for_changes(this, request);
	count_follower(this, table, -1);
	g_free(table);
	return result;
}

/* True if each expected row has the expected version, 0 for a row that is absent. */
static bool versions_match(row_store_standin_t *this, json_value_t *expected)
{
	for (json_value_t *v = expected ? expected->first : NULL; v; v = v->next) {
		const row_t *row = find_row(
			this, json_get_string(v, "table", ""), json_get_string(v, "key", ""));
		uint64_t version = row && !row->is_deleted ? row->version : 0;

		if (version != (uint64_t)json_get_int(v, "ver", 0))
			return false;
	}
	return true;
}

/* Writes the rows of `list`; a row without a value is deleted. */
static void write_rows(row_store_standin_t *this, json_value_t *list)
{
	for (json_value_t *v = list ? list->first : NULL; v; v = v->next)
		write_row(this, json_get_string(v, "table", ""), json_get_string(v, "key", ""),
			json_get_string(v, "value", NULL));
}

static enum MHD_Result handle_transaction(row_store_standin_t *this, server_request_t *request)
{
	jsondoc_t *doc = jsondoc_new(request->body->str, request->body->len);
	GString *out = g_string_new("{\"rows\":[");
	uint64_t era;
	bool accepted;

	pthread_mutex_lock(&this->lock);
	accepted = !doc->error && versions_match(this, json_get(doc->root, "expected"));
	if (accepted) {
		this->version++;
		write_rows(this, json_get(doc->root, "writes"));
		write_rows(this, json_get(doc->root, "remove"));
	}
	jsondoc_delete(doc);
	if (has_fault(this, STORE_FAULT_LOST_REPLY)) {
		pthread_mutex_unlock(&this->lock);
		g_string_free(out, TRUE);
		return server_drop_connection(request);
	}
	if (accepted)
		return respond_and_unlock(this, request, out);
	era = this->era;
	pthread_mutex_unlock(&this->lock);
	g_string_append(out, "]}");
	return respond_in_era(request, 412, out, era);
}

static enum MHD_Result on_request(void *ctx, server_request_t *request)
{
	row_store_standin_t *this = ctx;

	pthread_mutex_lock(&this->lock);
	this->request_count++;
	pthread_mutex_unlock(&this->lock);
	while (has_fault(this, STORE_FAULT_HANG) && !must_quit(this))
		sleep_ms(POLL_INTERVAL_MS);
	if (has_fault(this, STORE_FAULT_UNAVAILABLE))
		return server_respond(request, 503, "text/plain", "", 0);
	if (!strcmp(request->path, "/rows-get"))
		return handle_get(this, request);
	if (!strcmp(request->path, "/rows-feed"))
		return handle_feed(this, request);
	if (!strcmp(request->path, "/rows-tx"))
		return handle_transaction(this, request);
	return server_respond(request, 404, "text/plain", "", 0);
}

static bool is_hidden(row_store_standin_t *this, server_request_t *request)
{
	const char *table = server_query_value(request, "table");

	return table && __atomic_load_n(&this->hidden, __ATOMIC_SEQ_CST) &&
	       strcmp(table, this->shown) != 0;
}

static enum MHD_Result on_second_request(void *ctx, server_request_t *request)
{
	row_store_standin_t *this = ctx;

	if (__atomic_load_n(&this->refusing, __ATOMIC_SEQ_CST) || is_hidden(this, request))
		return server_respond(request, 503, "text/plain", "", 0);
	return on_request(ctx, request);
}

row_store_standin_t *row_store_standin_new(const char *address)
{
	row_store_standin_t *this = g_new0(row_store_standin_t, 1);

	pthread_mutex_init(&this->lock, NULL);
	this->rows = g_ptr_array_new_with_free_func(row_delete);
	this->history = g_ptr_array_new_with_free_func(row_delete);
	this->followers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	this->version = 1;
	this->era = 1;
	this->server = server_new(address, on_request, this);
	this->second_server = server_new("127.0.0.1:0", on_second_request, this);
	if (this->server && this->second_server)
		return this;
	row_store_standin_delete(this);
	return NULL;
}

void row_store_standin_delete(row_store_standin_t *this)
{
	__atomic_store_n(&this->quit, 1, __ATOMIC_SEQ_CST);
	server_delete(this->server);
	server_delete(this->second_server);
	g_ptr_array_unref(this->rows);
	g_ptr_array_unref(this->history);
	g_hash_table_destroy(this->followers);
	pthread_mutex_destroy(&this->lock);
	g_free(this->shown);
	g_free(this);
}

const char *row_store_standin_address(const row_store_standin_t *this)
{
	return this->server->address;
}

const char *row_store_standin_second_address(const row_store_standin_t *this)
{
	return this->second_server->address;
}

void row_store_standin_set_refusing(row_store_standin_t *this, bool refusing)
{
	__atomic_store_n(&this->refusing, refusing, __ATOMIC_SEQ_CST);
}

void row_store_standin_show_only(row_store_standin_t *this, const char *table)
{
	__atomic_store_n(&this->hidden, 0, __ATOMIC_SEQ_CST);
	g_free(this->shown);
	this->shown = g_strdup(table);
	__atomic_store_n(&this->hidden, table != NULL, __ATOMIC_SEQ_CST);
}

void row_store_standin_put(
	row_store_standin_t *this, const char *table, const char *key, const char *value)
{
	char *encoded = g_base64_encode((const guchar *)value, strlen(value));

	pthread_mutex_lock(&this->lock);
	this->version++;
	write_row(this, table, key, encoded);
	pthread_mutex_unlock(&this->lock);
	g_free(encoded);
}

void row_store_standin_delete_row(row_store_standin_t *this, const char *table, const char *key)
{
	pthread_mutex_lock(&this->lock);
	this->version++;
	write_row(this, table, key, NULL);
	pthread_mutex_unlock(&this->lock);
}

char *row_store_standin_get(row_store_standin_t *this, const char *table, const char *key)
{
	char *value = NULL;
	gsize len;
	row_t *row;

	pthread_mutex_lock(&this->lock);
	row = find_row(this, table, key);
	if (row && row->value)
		value = (char *)g_base64_decode(row->value, &len);
	pthread_mutex_unlock(&this->lock);
	return value;
}

void row_store_standin_set_fault(row_store_standin_t *this, store_fault_t fault)
{
	__atomic_store_n(&this->fault, (int)fault, __ATOMIC_SEQ_CST);
}

void row_store_standin_compact(row_store_standin_t *this)
{
	pthread_mutex_lock(&this->lock);
	this->version++;
	this->compacted_version = this->version;
	pthread_mutex_unlock(&this->lock);
}

uint64_t row_store_standin_version(row_store_standin_t *this)
{
	uint64_t version;

	pthread_mutex_lock(&this->lock);
	version = this->version;
	pthread_mutex_unlock(&this->lock);
	return version;
}

static unsigned int count_writes_until(const row_store_standin_t *this, uint64_t version)
{
	unsigned int count = 0;

	while (count < this->history->len &&
		((const row_t *)this->history->pdata[count])->version <= version)
		count++;
	return count;
}

void row_store_standin_restore(row_store_standin_t *this, uint64_t version)
{
	pthread_mutex_lock(&this->lock);
	g_ptr_array_set_size(this->history, (gint)count_writes_until(this, version));
	g_ptr_array_set_size(this->rows, 0);
	for (unsigned int i = 0; i < this->history->len; i++)
		replace_row(this, this->history->pdata[i]);
	this->version = version;
	this->era++;
	pthread_mutex_unlock(&this->lock);
}

unsigned int row_store_standin_request_count(row_store_standin_t *this)
{
	unsigned int count;

	pthread_mutex_lock(&this->lock);
	count = this->request_count;
	pthread_mutex_unlock(&this->lock);
	return count;
}
