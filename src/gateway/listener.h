#ifndef GATEWAY_LISTENER_H
#define GATEWAY_LISTENER_H
/* listener - one listening address and the callers connected to it */
#include "gateway/caller.h"

typedef struct listener listener_t;

typedef struct listener_options {
	uv_loop_t *loop;
	const char *address; /* ip:port */
	const caller_ops_t *ops;
	void *ctx;
	/* Returns the current limits; called for each check, as they may change. */
	const catalog_limits_t *(*limits)(void *ctx);
	/* Called for each connection, with the time in microseconds that accepting it took. */
	void (*on_accepted)(void *ctx, uint64_t time_taken);
	unsigned int max_callers;
	request_room_t *room; /* for requests; NULL: not bounded */
	uint32_t (*workspace_of)(void *ctx, const caller_request_t *request);
	unsigned int room_wait_ms; /* longest wait for room */
	unsigned int body_pace;	   /* least bytes a second of a body; 0: any */
	buffer_pool_t *buffers;	   /* for what is still to be written; NULL: not bounded */
} listener_options_t;

/* Returns NULL, with the error logged, if the address can't be bound. */
listener_t *listener_new(const listener_options_t *options);
/* Changes the bound; callers above it are closed as others connect. */
void listener_set_max_callers(listener_t *this, unsigned int max_callers);
/* Has to be called once in each turn of the loop; each turn accepts a bounded number of callers. */
void listener_begin_turn(listener_t *this);
/* Responses carry "Connection: close" from now on; idle callers are closed from that instant. */
void listener_drain(listener_t *this, instant_t close_idle_from);
/* Number of callers looked at so far to make room for others. */
uint64_t listener_callers_examined(const listener_t *this);
/* Number of callers closed so far to keep the process within its memory. */
uint64_t listener_callers_reclaimed(const listener_t *this);
/* Number of requests refused for lack of room, and of bodies ended for their pace. */
uint64_t listener_requests_refused(const listener_t *this);
uint64_t listener_bodies_too_slow(const listener_t *this);
/* Number of callers closed to make room for others while their request made no progress. */
uint64_t listener_callers_stalled(const listener_t *this);
/* Closes the callers whose time is up. */
void listener_check_timeouts(listener_t *this, instant_t now);
unsigned int listener_caller_count(const listener_t *this);
/* Closes all sockets; memory is freed when the loop runs the close callbacks. */
void listener_delete(listener_t *this);

#endif
