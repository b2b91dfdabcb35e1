#ifndef TESTS_GATEWAY_FIXTURE_H
#define TESTS_GATEWAY_FIXTURE_H
/*
 * gateway_fixture - a gateway in a thread, its store, and scripted endpoints
 */
#include "gateway/gateway.h"
#include "standin/raw_endpoint.h"
#include "standin/row_store_standin.h"

#define FIXTURE_ENDPOINTS 4
#define FIXTURE_HOST "shop.example"
#define FIXTURE_MAX_CONNECTIONS 50 /* that an endpoint accepts, as the configuration says */
#define STAMP "Server-Stamp: s.1\r\n"

typedef struct fixture {
	row_store_standin_t *store;
	gateway_settings_t *settings;
	gateway_t *gateway;
	pthread_t thread;
	raw_endpoint_t *endpoints[FIXTURE_ENDPOINTS];
	char callers[32];
	char ready[32];
	unsigned int version;
	bool stopped;
} fixture_t;

/* Routes /order/ (at most once), /status/ (repeatable), /draft/ (resumable stream), /note/
 * (stream). */
fixture_t *fixture_new(void);
void fixture_delete(fixture_t *this);
/* Starts an endpoint and registers it. */
raw_endpoint_t *fixture_add_endpoint(fixture_t *this, raw_script_t script, void *ctx);
void fixture_register(fixture_t *this, unsigned int endpoint, const char *state);
void fixture_put_config(fixture_t *this, const char *extra_routes);
/* Waits until the metrics have both at once; false when they do not soon. */
bool fixture_wait_metrics(fixture_t *this, const char *one, const char *other);
void fixture_wait_ready(fixture_t *this, unsigned int endpoints);
/* Ends the gateway as SIGTERM does, and waits for its end. */
unsigned int fixture_stop(fixture_t *this);

int fixture_connect(const char *address);
/* Sends `text` on a new connection and reads until it closes or `ms` pass; to be freed. */
char *fixture_exchange(fixture_t *this, const char *text, unsigned int ms);
/* A request's text; `extra` is header lines. To be freed. */
char *fixture_request(
	const char *method, const char *path, const char *id, const char *extra, const char *body);
/* Reads until `what` has come or `ms` pass; to be freed. */
char *fixture_read_until(int fd, const char *what, unsigned int ms);

#endif
