#ifndef GATEWAY_WATCH_H
#define GATEWAY_WATCH_H
/*
 * watch - follows one table of the store in a thread of its own
 *
 * The loop hears of the whole table first and after each gap or outage, and of
 * what changed from then on.  A short pause after each answer gathers many
 * changes into one.
 */
#include <uv.h>

#include "gateway/adapter.h"

typedef struct watch watch_t;

typedef struct watch_ops {
	/* All rows of the table as of `version`; `outage` is how long the store was out of reach
	 * before. */
	void (*on_table)(void *ctx, const GArray *rows, uint64_t version, uint64_t outage);
	void (*on_rows)(void *ctx, const GArray *rows);
	/* The store went out of reach. */
	void (*on_lost)(void *ctx);
} watch_ops_t;

typedef struct watch_options {
	uv_loop_t *loop;
	const adapter_t *adapter;
	store_options_t store;
	const char *table;
	unsigned int wait_ms;
	unsigned int retry_ms; /* first pause after a failure; doubles twice */
	unsigned int pause_ms;
	const watch_ops_t *ops;
	void *ctx;
} watch_options_t;

watch_t *watch_new(const watch_options_t *options);
/* How long a read waits for news, and the pause after one, from the next read on. */
void watch_set_pace(watch_t *this, unsigned int wait_ms, unsigned int pause_ms);
/* Reads the table anew as soon as the present answer is there. */
void watch_refresh(watch_t *this);
/* Joins the thread; the memory goes when the loop has run once more. */
void watch_delete(watch_t *this);

#endif
