#ifndef REVIEW_RIG_2_H
#define REVIEW_RIG_2_H
/*
 * rig-2 - what the scripts of review/6 and review/7 share
 *
 * Stand-ins of the platform's store, of replicas and of clients, as PROTOCOL.md describes them, and
 * the start of gateways with the command and the settings template of the deploy file.  All
 * addresses are loopback addresses.  Every connection has its own thread.
 */

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define RIG_HELD 0 /* exit codes of a case */
#define RIG_BROKEN 1
#define RIG_CANNOT 2

/* Prepares a run; `record` is the path of the record, `limit_s` ends a run that hangs. */
void rig_begin(const char *record, unsigned int limit_s);
/* Ends all processes that the rig started, and exits. */
void rig_end(int code) __attribute__((noreturn));
/* False with TROUBLE=0 in the environment. */
bool rig_trouble(void);
/* Seconds since rig_begin(). */
double rig_now(void);
void rig_sleep_until(double at);
/* Adds a line with the time to the record. */
void rig_record(const char *format, ...) __attribute__((format(printf, 1, 2)));

/* --- the platform's store ---------------------------------------------- */

typedef struct rig_store_options {
	/*
	 * Asked for each answer; true: it is lost.  Its connection stays open and delivers nothing
	 * further.
	 */
	bool (*loses)(void);
} rig_store_options_t;

typedef struct rig_store_counts {
	unsigned int answers; /* of all calls */
	unsigned int lost;
} rig_store_counts_t;

void rig_store_start(const rig_store_options_t *options);
const char *rig_store_address(void);
/* Writes or, with a value of NULL, removes a row; returns its version: the acknowledgement. */
uint64_t rig_store_put(const char *table, const char *key, const char *value);
rig_store_counts_t rig_store_counts(void);

/* --- HTTP -------------------------------------------------------------- */

typedef struct rig_message {
	char *head; /* start line and headers, each line ends in CRLF */
	char *body;
	size_t body_len;
	bool complete; /* false: the connection ended before */
	int status;    /* of a response */
} rig_message_t;

typedef struct rig_conn {
	int fd;
	char *bytes;
	size_t len;
	size_t size;
	/* Clients that read slowly: bytes a second, 0: as fast as they come. */
	unsigned int read_rate;
	double slow_until; /* 0: the rate holds to the end */
	double read_began;
	size_t read_total;
	bool reset; /* the connection ended with a reset */
} rig_conn_t;

/* Value of a header, to be freed; NULL: none. */
char *rig_header(const rig_message_t *message, const char *name);
/* Reads a request; false at the end of the connection. */
bool rig_read_request(rig_conn_t *conn, rig_message_t *request);
/* Reads a response; `complete` tells whether all of it came. */
bool rig_read_response(rig_conn_t *conn, rig_message_t *response);
void rig_message_clear(rig_message_t *message);
bool rig_write(rig_conn_t *conn, const char *bytes, size_t len);
bool rig_printf(rig_conn_t *conn, const char *format, ...) __attribute__((format(printf, 2, 3)));
void rig_conn_close(rig_conn_t *conn);

typedef struct rig_connect_options {
	int receive_buffer;	 /* bytes, 0: the system's choice */
	int max_segment;	 /* bytes, 0: the system's choice */
	unsigned int read_rate;	 /* bytes a second, 0: as fast as they come */
	double slow_s;		 /* for how long it reads so slowly, 0: to the end */
	unsigned int timeout_ms; /* of reads, 0: 20 seconds */
} rig_connect_options_t;

bool rig_connect(rig_conn_t *conn, const char *address, const rig_connect_options_t *options);

/* --- replicas ----------------------------------------------------------- */

typedef struct rig_replica rig_replica_t;

struct rig_replica {
	const char *id;
	const char *service;
	const char *zone;
	unsigned int slots;
	/* Answers the request; false ends the connection. */
	bool (*serve)(rig_replica_t *replica, rig_conn_t *conn, const rig_message_t *request);
	/* Set by the rig. */
	char address[32];
	int listen_fd;
	uint64_t born;
	unsigned int sequence;
	const char *state;
};

void rig_replica_start(rig_replica_t *replica);
/* Writes the replica's entry with the state "ready" or "draining", or removes it with NULL. */
uint64_t rig_replica_register(rig_replica_t *replica, const char *state);
/* Rewrites the entry of the replica every `ms`, as its heartbeat. */
void rig_replica_beat(rig_replica_t *replica, unsigned int ms);
/* The request's id, to be freed. */
char *rig_request_id(const rig_message_t *request);

/* --- gateways ----------------------------------------------------------- */

typedef struct rig_gateway {
	const char *name;
	const char *zone;
	double memory_mb;
	pid_t pid;
	char ip[16];
	char front[32];
	char ready[32];
	char settings[160];
} rig_gateway_t;

/* Starts the program with the deploy file's command; reads it from the working directory. */
void rig_gateway_start(rig_gateway_t *gateway);
void rig_gateway_signal(rig_gateway_t *gateway, int number);
/* Waits until it answers its readiness check with 200; ends the run with RIG_CANNOT if not. */
void rig_gateway_wait_ready(rig_gateway_t *gateway, double seconds);
/* Whether the process has ended; records how. */
bool rig_gateway_ended(rig_gateway_t *gateway);

#endif
