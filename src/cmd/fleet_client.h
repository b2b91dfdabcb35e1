#ifndef CMD_FLEET_CLIENT_H
#define CMD_FLEET_CLIENT_H
/*
 * fleet_client - what the operators' commands ask of the platform and the routers
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
	PUT_CONFLICT, /* `winner` tells the version that stands */
	PUT_LOST,     /* the store is out of reach: read back later by the change number */
} put_result_t;

/* Reads the settings of any router; false after printing why not. */
bool fleet_client_open(fleet_client_t *this, const char *settings_path);
void fleet_client_close(fleet_client_t *this);

/* The text in the table; STORE_NOT_FOUND before the first one. Clear `row` with STORE_OK. */
store_result_t fleet_client_read(fleet_client_t *this, config_row_t *row, uint64_t *row_version);
put_result_t fleet_client_put(fleet_client_t *this, const char *text, uint64_t expected,
	uint64_t *version, uint64_t *winner);
/* Number of routers, this settings' own and its peers. */
unsigned int fleet_client_routers(const fleet_client_t *this);
const char *fleet_client_name(const fleet_client_t *this, unsigned int router);
/* Fetches an operator page of one router; NULL when it did not answer. */
GString *fleet_client_page(fleet_client_t *this, unsigned int router, const char *path);

#endif
