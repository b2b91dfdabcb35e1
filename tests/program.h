#ifndef TESTS_PROGRAM_H
#define TESTS_PROGRAM_H
/*
 * program - the gateway program as it is deployed, started by a test with a store stand-in
 *
 * It is built without the sanitizers, whose memory would count.  Functions that return char *
 * return a string that the caller frees.  A setup that fails ends the test.
 */
#include <sys/types.h>

#include "standin/raw_endpoint.h"
#include "standin/row_store_standin.h"

#define PROGRAM_ENDPOINTS 8
#define PROGRAM_WAIT_MS 15000

typedef struct program {
	row_store_standin_t *store;
	raw_endpoint_t *endpoints[PROGRAM_ENDPOINTS]; /* the program's end deletes them */
	unsigned int endpoint_count;		      /* registered, of others too */
	char caller_address[32];
	char ready_address[32];
	char *settings_path;
	pid_t pid;
} program_t;

/* `config` is the store's row of the configuration. */
program_t *program_new(const char *config);
/* Registers an endpoint; one with a handler runs until program_delete(). */
void program_add_endpoint(
	program_t *this, const char *service, unsigned int slots, raw_handler_t handler, void *ctx);
void program_register(
	program_t *this, const char *service, unsigned int slots, const char *address);
/* Starts it and waits until it knows all endpoints; `settings` is JSON that follows, or "". */
void program_start(program_t *this, unsigned int memory_mb, const char *settings);
/* Ends a program that a failed test has left; for the teardown of each test. */
int program_end_left(void **state);
/* Checks that the program has not ended, and ends it and its stand-ins. */
void program_delete(program_t *this);

char *program_metrics(const program_t *this);
bool program_has_metrics(const program_t *this, const char *first, const char *second);
uint64_t program_metric(const program_t *this, const char *name);
/* Peak of its resident memory so far, in kB; 0: it has ended. */
unsigned long program_peak_kb(const program_t *this);
/* Number of its open descriptors. */
unsigned int program_descriptors(const program_t *this);

#endif
