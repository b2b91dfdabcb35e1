#ifndef GATEWAY_GATEWAY_SETTINGS_H
#define GATEWAY_GATEWAY_SETTINGS_H
/*
 * gateway_settings - what a gateway process is told by its settings file
 *
 * JSON with comments, every fault named at once.  Durations are in
 * milliseconds, addresses are numeric IP:PORT.
 */
#include "settings/faults.h"

typedef struct gateway_settings {
	char *name;
	char *failure_domain;
	char *adapter;
	char *caller_address;
	char *ready_address;
	char *metrics_address; /* empty: none */
	char *peer_address;
	char *store_address;
	unsigned int memory_mb;
	unsigned int descriptors;
	unsigned int stop_grace_s;   /* from the planned stop to the end by force */
	unsigned int lapse_grace_ms; /* for registrations to return after the store was away */
	double retry_ratio;
	unsigned int retry_allowance;
	unsigned int retry_window_s;
	unsigned int expected_routers; /* that part the allowance */
	unsigned int late_wait_ms;     /* that work which can't be in time waits for a place */
	unsigned int
		engine_backlog_ms;     /* of unread prompts, beyond which work waits at the owner */
	unsigned int store_wait_ms;    /* a read of the store waits for news so long */
	unsigned int roster_wait_ms;   /* likewise of the routers' table, which changes seldom */
	unsigned int store_timeout_ms; /* beyond that, for an answer */
	unsigned int store_retry_ms;   /* first pause after a failure */
	unsigned int store_pause_ms;   /* between two reads, to gather changes */
	unsigned int connect_timeout_ms; /* to an endpoint */
	unsigned int silence_timeout_ms; /* of an endpoint's connection */
} gateway_settings_t;

/* Reads and checks `path`; on NULL, `faults` says all that is wrong. */
gateway_settings_t *gateway_settings_load(const char *path, faults_t *faults);
void gateway_settings_delete(gateway_settings_t *this);

#endif
