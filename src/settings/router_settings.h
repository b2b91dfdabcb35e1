#ifndef SETTINGS_ROUTER_SETTINGS_H
#define SETTINGS_ROUTER_SETTINGS_H
/*
 * router_settings - settings of one router process, read from its settings file
 *
 * Immutable after router_settings_load().  Durations are in milliseconds;
 * addresses are numeric IP:PORT.
 */
#include "settings/error_list.h"

typedef struct peer_settings {
	char *name;
	char *address; /* of its peer socket */
	char *operator_address;
	char *public_key; /* 40 characters of Z85 */
} peer_settings_t;

typedef struct router_settings {
	char *name;
	char *failure_domain;
	char *caller_address;
	char *operator_address;
	char *peer_address;
	char *public_key;
	char *secret_key;
	char *operator_token;
	char *platform_address;
	char *policy; /* fleet, fixed, least or forward */
	peer_settings_t *peers;
	unsigned int peer_count;
	unsigned int max_connections;
	unsigned int max_body_bytes;
	unsigned int max_answer_bytes;
	unsigned int idle_timeout_ms;
	unsigned int drain_timeout_ms;
	unsigned int store_timeout_ms;
	unsigned int default_deadline_ms;
} router_settings_t;

/* Reads and checks the file `path`; on errors adds all of them to `errors` and returns NULL. */
router_settings_t *router_settings_load(const char *path, error_list_t *errors);
void router_settings_delete(router_settings_t *this);

#endif
