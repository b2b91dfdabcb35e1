#ifndef GATEWAY_LISTENER_H
#define GATEWAY_LISTENER_H
/* listener - one listening address and the callers that came to it */
#include "gateway/caller.h"

typedef struct listener listener_t;

typedef struct listener_options {
	uv_loop_t *loop;
	const char *address; /* ip:port */
	const caller_ops_t *ops;
	void *ctx;
	/* The limits in force; asked at each request. */
	const catalog_limits_t *(*limits)(void *ctx);
	unsigned int max_callers;
} listener_options_t;

listener_t *listener_new(const listener_options_t *options);
/* Answers carry "Connection: close" from now on; callers that idle are closed from `idle_from`. */
void listener_drain(listener_t *this, instant_t idle_from);
/* Closes what idles or dawdles beyond the limits. */
void listener_sweep(listener_t *this, instant_t now);
unsigned int listener_callers(const listener_t *this);
/* Closes everything; the memory goes when the loop has run once more. */
void listener_delete(listener_t *this);

#endif
