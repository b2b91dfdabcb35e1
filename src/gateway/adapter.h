#ifndef GATEWAY_ADAPTER_H
#define GATEWAY_ADAPTER_H
/*
 * adapter - what a platform translates for the gateway
 *
 * An adapter only translates: it decides, repeats, remembers and times nothing.
 */
#include "gateway/catalog.h"
#include "gateway/directory.h"
#include "gateway/store.h"
#include "gateway/header_names.h"
#include "settings/faults.h"

typedef struct adapter {
	const char *name;
	const header_names_t *header_names;
	/* Environment variable that holds the settings file's path. */
	const char *settings_variable;
	/* Where the operators' catalog and the endpoints' registrations stand. */
	const char *catalog_table;
	const char *catalog_key;
	const char *endpoint_table;
	/* NULL with every fault named. */
	catalog_t *(*decode_catalog)(const char *text, gsize len, faults_t *faults);
	/* False when the registration can't be read or is incomplete. */
	bool (*decode_endpoint)(
		const char *name, const char *text, gsize len, endpoint_entry_t *entry);
	store_t *(*open_store)(const store_options_t *options);
} adapter_t;

/* The settings file that a platform's variable names, or NULL. */
const char *adapter_settings_path(void);
/* The adapter of that name, or NULL. */
const adapter_t *adapter_find(const char *name);

#endif
