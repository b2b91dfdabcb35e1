#ifndef GATEWAY_GATEWAY_SETTINGS_H
#define GATEWAY_GATEWAY_SETTINGS_H
/*
 * gateway_settings - the settings file of a gateway process
 *
 * The file is JSON with comments; one check reports all its errors.  Addresses
 * are numeric IP:PORT.  Each field is read from the key of the same name, and
 * durations are in the unit at the end of the name.
 */
#include "core/types.h"
#include "settings/error_list.h"

typedef struct gateway_settings {
	char *name;
	char *failure_domain;
	char *adapter;
	char *caller_address;
	char *ready_address;
	char *metrics_address; /* empty: metrics are not served */
	char *peer_address;
	char *store_address;
	double memory_mb;
	unsigned int descriptors;
	unsigned int max_response_bytes; /* body of one response; a longer one is cut off */
	double stop_grace_s;		 /* from a planned stop until the process is killed */
	unsigned int lapse_grace_ms; /* for lapsed registrations to return after a store outage */
	/* for registrations of endpoints that had left to lapse after a restore of the store */
	unsigned int returned_hold_ms;
	double retry_ratio;	/* retries allowed per request */
	double retry_allowance; /* further retries per window, for the whole fleet */
	double retry_window_s;
	unsigned int expected_routers; /* smallest fleet size to divide the allowance by */
	/* Longest wait for a slot by a request that can't meet its first-byte target any more. */
	unsigned int late_wait_ms;
	/* Prefill backlog of an engine above which requests wait at its owner. */
	unsigned int engine_backlog_ms;
	unsigned int store_wait_ms;	 /* how long a read of the store waits for changes */
	unsigned int roster_wait_ms;	 /* same for the routers' table, which seldom changes */
	unsigned int store_timeout_ms;	 /* for a response, in addition to the wait */
	unsigned int store_retry_ms;	 /* first delay after a failed read */
	unsigned int store_pause_ms;	 /* after a read with changes, to batch the next ones */
	unsigned int connect_timeout_ms; /* for connecting to an endpoint */
	unsigned int silence_timeout_ms; /* until a silent endpoint's connection is closed */
	GHashTable *regions; /* failure domain -> its region; empty: regions bind no request */
} gateway_settings_t;

/* Reads and checks the file at `path`.  Returns NULL on error, with all errors in `errors`. */
gateway_settings_t *gateway_settings_load(const char *path, error_list_t *errors);
/* The region that the failure domain is in; 0: not stated. */
id_t32 gateway_settings_region(const gateway_settings_t *this, const char *failure_domain);
void gateway_settings_delete(gateway_settings_t *this);

#endif
