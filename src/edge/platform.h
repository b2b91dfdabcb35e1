#ifndef EDGE_PLATFORM_H
#define EDGE_PLATFORM_H
/*
 * platform - the table service, object store and instance list as tables of functions
 *
 * All calls block for at most the configured time and are made from worker
 * threads only.  A result of STORE_LOST means that a write may or may not have
 * taken effect.
 */
#include <glib.h>

#include "core/types.h"

typedef enum store_result {
	STORE_OK,
	STORE_CONFLICT, /* a row's version was not the expected one; nothing was written */
	STORE_ABSENT,
	STORE_LOST,
} store_result_t;

typedef struct table_write {
	const char *key;
	const char *value;
	uint64_t expected;    /* version that must stand; 0: no row may stand */
	unsigned int ttl_sec; /* 0: kept for ever */
	uint64_t version;     /* out, with STORE_OK */
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
	/* All writes take effect, or none. */
	store_result_t (*transact)(platform_t *this, table_write_t *writes, unsigned int count);
	/* Fills `row`; table_row_clear() it with STORE_OK. */
	store_result_t (*read)(platform_t *this, const char *key, table_row_t *row);
	/* Rows whose key begins with `prefix`, as table_row_t in `rows`. */
	store_result_t (*scan)(platform_t *this, const char *prefix, GArray *rows);
	store_result_t (*object_put)(
		platform_t *this, const char *key, const char *data, size_t len);
	store_result_t (*object_get)(platform_t *this, const char *key, GString *data);
	/* instance_t in `instances`; the list lags. */
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
 * Puts single writes of many callers into common transactions of `inner`, which
 * it owns.  Nobody waits for a timer: a write goes at once while few are under
 * way, with whatever came meanwhile after that.  When a common transaction
 * meets a conflict, each write is tried by itself.
 */
platform_t *platform_batch_new(platform_t *inner);
void platform_delete(platform_t *this);

/* Arrays whose elements are cleared with the array. */
GArray *table_rows_new(void);
GArray *instances_new(void);
void table_row_clear(table_row_t *row);

#endif
