#ifndef GATEWAY_ADAPTER_H
#define GATEWAY_ADAPTER_H
/*
 * adapter - translates a platform's names, data formats and store for the gateway
 *
 * An adapter only translates: it takes no decisions, retries nothing, keeps no
 * state between calls and sets no timers.
 */
#include "gateway/catalog.h"
#include "gateway/endpoint_registry.h"
#include "gateway/store.h"
#include "gateway/header_names.h"
#include "settings/error_list.h"

typedef struct adapter {
	const char *name;
	const header_names_t *header_names;
	/* Environment variable that holds the path of the settings file. */
	const char *settings_path_variable;
	/* Where the store holds the operators' catalog and the endpoint registrations. */
	const char *catalog_table;
	const char *catalog_key;
	/* Keys of rows of the catalog's table that evacuate the failure domain that follows it. */
	const char *evacuation_prefix;
	const char *endpoint_table;
	/* Returns NULL on error, with every error added to `errors`. */
	catalog_t *(*decode_catalog)(const char *text, gsize len, error_list_t *errors);
	/* False if the registration is malformed or incomplete. */
	bool (*decode_endpoint)(const char *name, const char *text, gsize len,
		endpoint_registration_t *registration);
	store_t *(*open_store)(const store_options_t *options);
} adapter_t;

/* Path of the settings file from the first adapter variable that is set, or NULL. */
const char *adapter_settings_path(void);
/* Returns the adapter called `name`, or NULL. */
const adapter_t *adapter_find(const char *name);

#endif
