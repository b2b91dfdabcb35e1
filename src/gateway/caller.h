#ifndef GATEWAY_CALLER_H
#define GATEWAY_CALLER_H
/*
 * caller - one caller's connection: reads requests one by one, writes answers
 *
 * What a caller sends ahead is kept, up to a bound, until its turn; a caller
 * that closes is noticed in every state.  The owner of an exchange hears of it
 * through caller_ops_t.
 */
#include <urcu/list.h>
#include <uv.h>

#include "gateway/catalog.h"

typedef struct caller caller_t;
typedef struct listener listener_t;

/* What a request's head said; strings live until the exchange is over. */
typedef struct caller_request {
	const char *method;
	bool is_head;
	GString *target;  /* as sent */
	GPtrArray *names; /* of the headers, as sent */
	GPtrArray *values;
	GString *body;
	instant_t began; /* when its first byte came */
} caller_request_t;

typedef struct caller_ops {
	/* A whole request; the answer is owed. caller_set_exchange() says to whom the rest goes. */
	void (*on_request)(void *ctx, caller_t *caller, const caller_request_t *request);
	/* The caller went away before its answer was whole. */
	void (*on_gone)(void *exchange);
	/* What was written has left, after caller_is_choked() held. */
	void (*on_drained)(void *exchange);
} caller_ops_t;

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

const char *caller_header(const caller_request_t *request, const char *name);
void caller_set_exchange(caller_t *this, void *exchange);

/* A whole answer; `headers` are lines that end in CRLF. */
void caller_answer(caller_t *this, unsigned int status, const char *headers, const char *body,
	size_t body_len);
/* An answer in pieces: the head, then bodies, then the end. `length` -1: not known. */
void caller_begin(caller_t *this, unsigned int status, const char *headers, int64_t length);
void caller_piece(caller_t *this, const char *data, size_t len);
void caller_finish(caller_t *this);
/* Breaks the connection off, so that the answer can't look whole. */
void caller_abort(caller_t *this);
/* More is waiting to be written than should be. */
bool caller_is_choked(const caller_t *this);

#endif
