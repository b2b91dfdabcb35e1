#include "gateway/gateway_settings.h"

#include <stddef.h>
#include <string.h>

#include "core/types.h"
#include "settings/address.h"
#include "settings/fleet_config.h"

typedef enum setting_kind {
	SETTING_TEXT,
	SETTING_ADDRESS,
	SETTING_COUNT,
	SETTING_NUMBER, /* may have a fraction */
} setting_kind_t;

typedef struct setting {
	const char *key;
	setting_kind_t kind;
	size_t offset;
	const char *default_text; /* of texts and addresses; NULL: required */
	double default_number;	  /* of counts and other numbers */
	double min;
	double max;
} setting_t;

#define TEXT(name, fallback)                                                                       \
	{                                                                                          \
#name, SETTING_TEXT, offsetof(gateway_settings_t, name), fallback, 0, 0, 0         \
	}
#define ADDRESS(name, fallback)                                                                    \
	{                                                                                          \
#name, SETTING_ADDRESS, offsetof(gateway_settings_t, name), fallback, 0, 0, 0      \
	}
#define COUNT(name, fallback, min, max)                                                            \
	{                                                                                          \
#name, SETTING_COUNT, offsetof(gateway_settings_t, name), NULL, fallback, min, max \
	}

#define NUMBER(name, fallback, min, max)                                                           \
	{                                                                                          \
#name, SETTING_NUMBER, offsetof(gateway_settings_t, name), NULL, fallback, min,    \
			max                                                                        \
	}

static const setting_t settings_table[] = {
	TEXT(name, NULL),
	TEXT(failure_domain, NULL),
	TEXT(adapter, NULL),
	ADDRESS(caller_address, NULL),
	ADDRESS(ready_address, NULL),
	ADDRESS(metrics_address, ""),
	ADDRESS(peer_address, NULL),
	ADDRESS(store_address, NULL),
	NUMBER(memory_mb, 256, 16, 1 << 20),
	COUNT(descriptors, 4096, 128, 1 << 20),
	COUNT(max_response_bytes, 16 << 20, 1024, 1 << 30),
	NUMBER(stop_grace_s, 8, 0.1, 600),
	COUNT(lapse_grace_ms, 2200, 0, 60000),
	NUMBER(retry_ratio, 0.1, 0, 10),
	COUNT(returned_hold_ms, 4000, 0, 60000),
	NUMBER(retry_allowance, 10, 0, 1000000),
	NUMBER(retry_window_s, 10, 0.1, 600),
	COUNT(expected_routers, 8, 1, 10000),
	COUNT(late_wait_ms, 80, 0, 60000),
	COUNT(engine_backlog_ms, 15, 1, 10000),
	COUNT(store_wait_ms, 5000, 100, 30000),
	COUNT(roster_wait_ms, 10000, 100, 30000),
	COUNT(store_timeout_ms, 1000, 100, 30000),
	COUNT(store_retry_ms, 200, 10, 10000),
	COUNT(store_pause_ms, 150, 0, 5000),
	COUNT(connect_timeout_ms, 400, 10, 60000),
	COUNT(silence_timeout_ms, 3000, 100, 600000),
};

static void load_text(gateway_settings_t *this, error_list_t *errors, json_value_t *root,
	const setting_t *setting)
{
	char **field = (char **)((char *)this + setting->offset);
	const char *text =
		setting->kind == SETTING_ADDRESS
			? json_read_address(errors, root, setting->key, setting->default_text)
			: json_read_string(errors, root, setting->key, setting->default_text);

	*field = g_strdup(text);
}

static void load_number(gateway_settings_t *this, error_list_t *errors, json_value_t *root,
	const setting_t *setting)
{
	void *field = (char *)this + setting->offset;

	if (setting->kind == SETTING_NUMBER)
		*(double *)field = json_read_number(errors, root, setting->key,
			setting->default_number, setting->min, setting->max);
	else
		*(unsigned int *)field = (unsigned int)json_read_int(errors, root, setting->key,
			(int64_t)setting->default_number, (int64_t)setting->min,
			(int64_t)setting->max);
}

static void load_regions(gateway_settings_t *this, error_list_t *errors, json_value_t *root)
{
	json_value_t *domains = json_get(root, "regions");

	this->regions = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	if (domains && domains->type != JSON_OBJECT) {
		error_list_add(errors, domains->line,
			"regions: not an object; give the region of each failure domain");
		return;
	}
	for (json_value_t *domain = domains ? domains->first : NULL; domain; domain = domain->next)
		g_hash_table_replace(this->regions, g_strdup(domain->key),
			g_strdup(json_read_string(
				errors, domains, domain->key, JSON_REQUIRED_STRING)));
}

gateway_settings_t *gateway_settings_load(const char *path, error_list_t *errors)
{
	jsondoc_t *doc = json_load_object(errors, path);
	gateway_settings_t *this;

	if (!doc)
		return NULL;
	this = g_new0(gateway_settings_t, 1);
	for (size_t i = 0; i < ARRAY_LEN(settings_table); i++) {
		if (settings_table[i].kind <= SETTING_ADDRESS)
			load_text(this, errors, doc->root, &settings_table[i]);
		else
			load_number(this, errors, doc->root, &settings_table[i]);
	}
	load_regions(this, errors, doc->root);
	error_list_add_unknown_keys(errors, doc->root);
	jsondoc_delete(doc);
	if (!errors->count)
		return this;
	gateway_settings_delete(this);
	return NULL;
}

id_t32 gateway_settings_region(const gateway_settings_t *this, const char *failure_domain)
{
	const char *region = g_hash_table_lookup(this->regions, failure_domain);

	return region ? name_id(region) : 0;
}

void gateway_settings_delete(gateway_settings_t *this)
{
	if (!this)
		return;
	g_hash_table_destroy(this->regions);
	for (size_t i = 0; i < ARRAY_LEN(settings_table); i++) {
		if (settings_table[i].kind <= SETTING_ADDRESS)
			g_free(*(char **)((char *)this + settings_table[i].offset));
	}
	g_free(this);
}
