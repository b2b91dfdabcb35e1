#ifndef CMD_FLEET_CLIENT_H
#define CMD_FLEET_CLIENT_H
/*
 * fleet_client - access to the platform's table service and the routers' operator servers
 * for the operators' commands
 */
#include "edge/platform.h"
#include "settings/router_settings.h"
#include "settings/config_row.h"

typedef struct fleet_client {
	router_settings_t *settings;
	platform_t *platform;
} fleet_client_t;

typedef enum put_result {
	PUT_ACCEPTED,
	PUT_CONFLICT, /* another version than expected; `current` is set to it */
	PUT_UNKNOWN,  /* the table service does not answer; the history shows later whether
			 the row with this change id was written */
} put_result_t;

/* Reads the settings of any router; on failure prints the reasons and returns false. */
bool fleet_client_open(fleet_client_t *this, const char *settings_path);
void fleet_client_close(fleet_client_t *this);

/*
 * Reads the current fleet configuration; STORE_NOT_FOUND before the first one.  After STORE_OK
 * the caller clears `row`.
 */
store_result_t fleet_client_read(fleet_client_t *this, config_row_t *row, uint64_t *row_version);
/* Replaces version `expected`, 0 for none; sets `version` to that of the new configuration. */
put_result_t fleet_client_put(fleet_client_t *this, const char *config, uint64_t expected,
	uint64_t *version, uint64_t *current);
/* Number of routers: the one that the settings belong to, which is router 0, and its peers. */
unsigned int fleet_client_routers(const fleet_client_t *this);
const char *fleet_client_name(const fleet_client_t *this, unsigned int router);
/* Fetches a page of a router's operator server; NULL when it does not answer with status 200. */
GString *fleet_client_page(fleet_client_t *this, unsigned int router, const char *path);

#endif
