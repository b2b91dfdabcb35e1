#include "gateway/roster.h"

#include <pthread.h>
#include <string.h>

#include "edge/clock.h"
#include "edge/log.h"
#include "settings/address.h"

#define PUBLIC_KEY_CHARS 40		  /* in Z85 */
#define RETRY_DELAY (500 * USEC_PER_MSEC) /* between two attempts to write the row */

struct roster {
	roster_options_t options;
	store_t *store;
	pthread_t thread;
	pthread_mutex_t lock;
	pthread_cond_t wake;
	bool quit;
	bool rewrite_needed; /* the row that was written is gone or replaced */
	uint64_t version;    /* of the row as written; 0: not written yet */
};

static row_result_t write_own_row(roster_t *this)
{
	const roster_entry_t *self = &this->options.self;
	GString *text = g_string_new("{\"address\":");
	store_row_t row = {.key = (char *)self->name};
	row_result_t result;

	json_append_quoted(text, self->address);
	g_string_append(text, ",\"public_key\":");
	json_append_quoted(text, self->public_key);
	g_string_append(text, ",\"failure_domain\":");
	json_append_quoted(text, self->failure_domain);
	g_string_append_printf(
		text, ",\"incarnation\":%" G_GUINT64_FORMAT "}", (guint64)self->incarnation);
	row.value = text->str;
	row.len = text->len;
	result = this->store->ops->put(
		this->store, ROSTER_TABLE, &row, STORE_ANY_VERSION, &this->version);
	g_string_free(text, TRUE);
	return result;
}

/* Waits until `until` or until the row must be written again; false if the thread must exit. */
static bool wait_for_rewrite(roster_t *this, instant_t until)
{
	bool quit;

	pthread_mutex_lock(&this->lock);
	while (!this->quit && !this->rewrite_needed &&
		cond_wait_until(&this->wake, &this->lock, until))
		;
	this->rewrite_needed = false;
	quit = this->quit;
	pthread_mutex_unlock(&this->lock);
	return !quit;
}

static void *run(void *ctx)
{
	roster_t *this = ctx;
	row_result_t result;

	do {
		result = write_own_row(this);
		if (result != ROWS_OK)
			log_warn("roster-write-failed", "result=%d", (int)result);
	} while (wait_for_rewrite(
		this, result == ROWS_OK ? INSTANT_NEVER : clock_now() + RETRY_DELAY));
	if (this->version)
		this->store->ops->remove(
			this->store, ROSTER_TABLE, this->options.self.name, this->version);
	return NULL;
}

void roster_check_own_row(roster_t *this, const store_row_t *row)
{
	const roster_entry_t *self = &this->options.self;
	roster_entry_t entry = {0};
	jsondoc_t *doc = NULL;
	bool current = row && !row->is_deleted &&
		       roster_decode(row->value, row->len, row->key, &entry, &doc) &&
		       entry.incarnation >= self->incarnation;

	jsondoc_delete(doc);
	if (current)
		return;
	pthread_mutex_lock(&this->lock);
	this->rewrite_needed = true;
	pthread_cond_broadcast(&this->wake);
	pthread_mutex_unlock(&this->lock);
}

roster_t *roster_new(const roster_options_t *options)
{
	roster_t *this = g_new0(roster_t, 1);

	this->options = *options;
	this->store = options->adapter->open_store(&options->store);
	pthread_mutex_init(&this->lock, NULL);
	cond_init(&this->wake);
	pthread_create(&this->thread, NULL, run, this);
	return this;
}

void roster_delete(roster_t *this)
{
	if (!this)
		return;
	pthread_mutex_lock(&this->lock);
	this->quit = true;
	pthread_cond_broadcast(&this->wake);
	pthread_mutex_unlock(&this->lock);
	pthread_join(this->thread, NULL);
	this->store->ops->delete (this->store);
	pthread_cond_destroy(&this->wake);
	pthread_mutex_destroy(&this->lock);
	g_free(this);
}

static bool is_peer_address(const char *address)
{
	char ip[16];
	uint16_t port;

	return address && address_parse(address, ip, sizeof(ip), &port) && port;
}

/* Other programs may write to the table: a row that is not a router's must not count as one. */
static bool is_valid(const roster_entry_t *entry, json_value_t *root)
{
	const json_value_t *incarnation = json_get(root, "incarnation");
	const json_value_t *domain = json_get(root, "failure_domain");

	return *entry->name && is_peer_address(entry->address) && entry->public_key &&
	       strlen(entry->public_key) == PUBLIC_KEY_CHARS && incarnation &&
	       incarnation->type == JSON_INTEGER && incarnation->integer > 0 &&
	       (!domain || domain->type == JSON_STRING);
}

bool roster_decode(
	const char *text, gsize len, const char *name, roster_entry_t *entry, jsondoc_t **doc)
{
	json_value_t *root;

	*doc = jsondoc_new(text, len);
	root = (*doc)->error ? NULL : (*doc)->root;
	*entry = (roster_entry_t){
		.name = name,
		.failure_domain = json_get_string(root, "failure_domain", NULL),
		.address = json_get_string(root, "address", NULL),
		.public_key = json_get_string(root, "public_key", NULL),
		.incarnation = (uint64_t)json_get_int(root, "incarnation", 0),
	};
	return is_valid(entry, root);
}
