#include "gateway/directory.h"

#include <string.h>

#include "settings/fleet_text.h"

struct directory {
	GHashTable *by_name; /* served_endpoint_t, the newest start */
	GHashTable *by_id;   /* the same, by the id of the start */
};

served_endpoint_t *served_endpoint_get(served_endpoint_t *this)
{
	this->refs++;
	return this;
}

void served_endpoint_put(served_endpoint_t *this)
{
	if (!this || --this->refs)
		return;
	g_free(this->name);
	g_free(this->service);
	g_free(this->address);
	g_free(this);
}

void endpoint_entry_clear(endpoint_entry_t *this)
{
	g_free(this->name);
	g_free(this->service);
	g_free(this->address);
}

static void drop(void *item)
{
	served_endpoint_put(item);
}

directory_t *directory_new(void)
{
	directory_t *this = g_new0(directory_t, 1);

	this->by_name = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, drop);
	this->by_id = g_hash_table_new(g_direct_hash, g_direct_equal);
	return this;
}

void directory_delete(directory_t *this)
{
	if (!this)
		return;
	g_hash_table_destroy(this->by_id);
	g_hash_table_destroy(this->by_name);
	g_free(this);
}

static id_t32 start_id(const endpoint_entry_t *entry)
{
	char *text = g_strdup_printf(
		"%s/%" G_GUINT64_FORMAT "/%s", entry->name, entry->born, entry->address);
	id_t32 id = name_id(text);

	g_free(text);
	return id;
}

static served_endpoint_t *endpoint_new(const endpoint_entry_t *entry)
{
	served_endpoint_t *this = g_new0(served_endpoint_t, 1);

	this->name = g_strdup(entry->name);
	this->service = g_strdup(entry->service);
	this->address = g_strdup(entry->address);
	this->id = start_id(entry);
	this->service_id = name_id(entry->service);
	this->slots = entry->slots;
	this->state = entry->state;
	this->born = entry->born;
	this->refs = 1;
	CDS_INIT_LIST_HEAD(&this->idle_links);
	return this;
}

static bool is_same_start(const served_endpoint_t *this, const endpoint_entry_t *entry)
{
	return this->born == entry->born && !strcmp(this->address, entry->address) &&
	       !strcmp(this->service, entry->service);
}

static void forget(directory_t *this, served_endpoint_t *endpoint)
{
	endpoint->state = ENDPOINT_GONE;
	g_hash_table_remove(this->by_id, GUINT_TO_POINTER(endpoint->id));
	g_hash_table_remove(this->by_name, endpoint->name);
}

bool directory_put(directory_t *this, const endpoint_entry_t *entry)
{
	served_endpoint_t *known = g_hash_table_lookup(this->by_name, entry->name);
	bool changed;

	if (known && is_same_start(known, entry)) {
		changed = known->state != entry->state || known->slots != entry->slots;
		known->state = entry->state;
		known->slots = entry->slots;
		known->missing_until = 0;
		return changed;
	}
	if (known)
		forget(this, known);
	known = endpoint_new(entry);
	g_hash_table_insert(this->by_name, known->name, known);
	g_hash_table_insert(this->by_id, GUINT_TO_POINTER(known->id), known);
	return true;
}

bool directory_remove(directory_t *this, const char *name, instant_t grace, instant_t now)
{
	served_endpoint_t *known = g_hash_table_lookup(this->by_name, name);

	if (!known)
		return false;
	if (now < grace) {
		known->missing_until = known->missing_until ? known->missing_until : grace;
		return false;
	}
	forget(this, known);
	return true;
}

bool directory_sweep(directory_t *this, instant_t now)
{
	GHashTableIter iter;
	bool changed = false;
	void *item;

	g_hash_table_iter_init(&iter, this->by_name);
	while (g_hash_table_iter_next(&iter, NULL, &item)) {
		served_endpoint_t *endpoint = item;

		if (!endpoint->missing_until || now < endpoint->missing_until)
			continue;
		endpoint->state = ENDPOINT_GONE;
		g_hash_table_remove(this->by_id, GUINT_TO_POINTER(endpoint->id));
		g_hash_table_iter_remove(&iter);
		changed = true;
	}
	return changed;
}

served_endpoint_t *directory_find(const directory_t *this, id_t32 id)
{
	return g_hash_table_lookup(this->by_id, GUINT_TO_POINTER(id));
}

void directory_each(
	directory_t *this, void (*each)(void *ctx, served_endpoint_t *endpoint), void *ctx)
{
	GHashTableIter iter;
	void *item;

	g_hash_table_iter_init(&iter, this->by_name);
	while (g_hash_table_iter_next(&iter, NULL, &item))
		each(ctx, item);
}

unsigned int directory_count(const directory_t *this)
{
	return g_hash_table_size(this->by_name);
}
