#ifndef DAEMON_ORDER_STORE_H
#define DAEMON_ORDER_STORE_H
/*
 * order_store - reads and writes the table rows of orders, with their stored responses
 *
 * There is one row per (workspace, idempotency key).  A response body above
 * ORDER_INLINE_BYTES is written to the object store before the row, and the
 * row then names the object.
 */
#include "core/order.h"
#include "edge/platform.h"

#define ORDER_INLINE_BYTES 16384  /* longest body that the row itself holds */
#define ORDER_TTL_SEC (24 * 3600) /* how long the table keeps a row */

typedef struct order_response {
	int status;
	char *type; /* Content-Type */
	GString *body;
} order_response_t;

/* A decoded row: what the order protocol needs, and the response to replay. */
typedef struct order_record {
	order_row_t row;
	char *holder;	      /* router that wrote the row; NULL if there is no row */
	uint64_t incarnation; /* of that router */
	order_response_t answer;
	char *object; /* key of the object that holds the body; NULL if the row holds it */
} order_record_t;

/* Where rows are written, and the router that they name as their holder. */
typedef struct order_writer {
	platform_t *platform;
	const char *router;
	uint64_t incarnation;
} order_writer_t;

/* The table key of an order's row; the caller frees it. */
char *order_row_key(const char *workspace, const char *key);
/*
 * Reads a row; an absent one gives STORE_OK and ROW_ABSENT, an undecodable one STORE_NO_RESULT.
 * Call order_record_clear() whatever the result.
 */
store_result_t order_store_read(platform_t *platform, const char *key, order_record_t *record);
/* Loads the response body from the object store, if the row names an object. */
store_result_t order_store_fetch(platform_t *platform, order_record_t *record);
/*
 * Writes `state` if the row still has version `expected`.  `response` is stored with ROW_DONE only.
 * Sets `version` to the new version with STORE_OK.
 */
store_result_t order_store_write(const order_writer_t *writer, const char *key,
	const order_t *order, row_state_t state, const order_response_t *response,
	uint64_t expected, uint64_t *version);
void order_record_clear(order_record_t *record);
void order_response_clear(order_response_t *response);

#endif
