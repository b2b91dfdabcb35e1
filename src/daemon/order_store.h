#ifndef DAEMON_ORDER_STORE_H
#define DAEMON_ORDER_STORE_H
/*
 * order_store - the rows of orders in the table, and their kept answers
 *
 * One row for each (workspace, key).  An answer above ORDER_INLINE_BYTES goes
 * to the object store first and the row names the object.
 */
#include "core/order.h"
#include "edge/platform.h"

#define ORDER_INLINE_BYTES 16384
#define ORDER_KEPT_SEC (24 * 3600)

typedef struct order_answer {
	int status;
	char *type; /* Content-Type */
	GString *body;
} order_answer_t;

/* A row as read: for the protocol, and for giving the answer again. */
typedef struct order_record {
	order_row_t row;
	char *holder;	      /* router that wrote it */
	uint64_t incarnation; /* of that router */
	order_answer_t answer;
	char *object;
} order_record_t;

typedef struct order_writer {
	platform_t *platform;
	const char *router;
	uint64_t incarnation;
} order_writer_t;

char *order_key(const char *workspace, const char *key);
/* STORE_OK also for an absent row; clear the record in any case. */
store_result_t order_store_read(platform_t *platform, const char *key, order_record_t *record);
/* Fetches an answer that the row keeps elsewhere. */
store_result_t order_store_fetch(platform_t *platform, order_record_t *record);
/* Writes `state`, with `answer` for ROW_DONE; sets `version` with STORE_OK. */
store_result_t order_store_write(const order_writer_t *writer, const char *key,
	const order_t *order, row_state_t state, const order_answer_t *answer, uint64_t expected,
	uint64_t *version);
void order_record_clear(order_record_t *record);
void order_answer_clear(order_answer_t *answer);

#endif
