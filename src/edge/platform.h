#ifndef EDGE_PLATFORM_H
#define EDGE_PLATFORM_H
/*
 * platform - interface to the platform's table service, object store and instance list
 *
 * All calls block, for at most the configured timeout, and must be made from
 * worker threads only.  After STORE_NO_RESULT, a write may or may not have taken
 * effect.
 */
#include <glib.h>

#include "core/types.h"

typedef enum store_result {
	STORE_OK,
	STORE_CONFLICT,	 /* a row's version was not the expected one; nothing was written */
	STORE_NOT_FOUND, /* no such row or object */
	STORE_NO_RESULT, /* no valid response; a write may have taken effect */
} store_result_t;

typedef struct table_write {
	const char *key;
	const char *value;
	uint64_t expected; /* the row's current version must be this; 0: the row must not exist */
	unsigned int ttl_sec; /* 0: never expires */
	uint64_t version;     /* set on STORE_OK: the row's new version */
} table_write_t;

typedef struct table_row {
	char *key;
	char *value;
	uint64_t version;
} table_row_t;

typedef enum instance_state {
	INSTANCE_LIVE,
	INSTANCE_LEAVING,
} instance_state_t;

typedef struct instance {
	char *name;
	char *address;
	instance_state_t state;
} instance_t;

typedef struct platform platform_t;

typedef struct platform_ops {
	/* Performs all writes atomically. */
	store_result_t (*transact)(platform_t *this, table_write_t *writes, unsigned int count);
	/* Reads one row; on STORE_OK the caller must free it with table_row_clear(). */
	store_result_t (*read)(platform_t *this, const char *key, table_row_t *row);
	/* Appends the rows whose key starts with `prefix` to `rows`, see table_rows_new(). */
	store_result_t (*scan)(platform_t *this, const char *prefix, GArray *rows);
	store_result_t (*object_put)(
		platform_t *this, const char *key, const char *data, size_t len);
	/* Appends the object to `data`, which is unspecified unless the result is STORE_OK. */
	store_result_t (*object_get)(platform_t *this, const char *key, GString *data);
	/* Appends the instance list to `instances`, see instances_new(); it may be out of date. */
	store_result_t (*instances)(platform_t *this, GArray *instances);
	void (*delete)(platform_t *this);
} platform_ops_t;

struct platform {
	const platform_ops_t *ops;
};

typedef struct platform_http_options {
	const char *address;
	unsigned int timeout_ms;
} platform_http_options_t;

platform_t *platform_http_new(const platform_http_options_t *options);
/*
 * Wraps `inner`, which it then owns, and combines the single writes of
 * concurrent callers into shared transactions (group commit).  No timer delays
 * a write: it is sent at once while few transactions are in progress, and
 * otherwise together with the others that queue up until one of those ends.  If
 * a shared transaction ends in a conflict, each of its writes is retried alone.
 * Transactions of several writes are passed on unchanged.
 */
platform_t *platform_batch_new(platform_t *inner);
void platform_delete(platform_t *this);

/* Arrays of table_row_t and instance_t that free their elements. */
GArray *table_rows_new(void);
GArray *instances_new(void);
void table_row_clear(table_row_t *row);

#endif
