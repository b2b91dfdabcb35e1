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

/* What callers of one listening address have in common. */
typedef struct caller_host caller_host_t;
struct caller_host {
	uv_loop_t *loop;
	const caller_ops_t *ops;
	void *ctx;
	/* The limits in force; asked at each request. */
	const catalog_limits_t *(*limits)(void *ctx);
	unsigned int max_callers;
	struct cds_list_head callers;
	unsigned int count; /* with those whose memory is still to go */
	unsigned int open;
	bool draining;	     /* answers carry "Connection: close" */
	instant_t idle_from; /* while draining: callers without a request are closed then */
	/* The memory of a caller went. */
	void (*on_closed)(caller_host_t *host);
};

/* Takes a connection that waits at `listening`; NULL when it could not be had or kept. */
caller_t *caller_new(caller_host_t *host, uv_stream_t *listening);
caller_t *caller_of_link(struct cds_list_head *link);
/* Since when it has no request, 0 when it is being closed; INSTANT_NEVER when it has one. */
instant_t caller_idle_since(const caller_t *this);
/* Closes it when it idles or dawdles beyond the limits. */
void caller_sweep(caller_t *this, instant_t now);
/* Closes it; the exchange, if any, hears of it. */
void caller_gone(caller_t *this);

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
