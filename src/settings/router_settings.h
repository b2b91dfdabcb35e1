#ifndef SETTINGS_ROUTER_SETTINGS_H
#define SETTINGS_ROUTER_SETTINGS_H
/*
 * router_settings - what one router process is told by its settings file
 *
 * Immutable after router_settings_load().  Durations are given in the file in
 * milliseconds; addresses are numeric IP:PORT.
 */
#include "settings/faults.h"

typedef struct peer_settings {
	char *name;
	char *address; /* ip:port of the peer's socket between routers */
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

/* Reads and checks `path`; on NULL, `faults` says all that is wrong. */
router_settings_t *router_settings_load(const char *path, faults_t *faults);
void router_settings_delete(router_settings_t *this);

#endif
