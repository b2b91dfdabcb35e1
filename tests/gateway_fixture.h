#ifndef TESTS_GATEWAY_FIXTURE_H
#define TESTS_GATEWAY_FIXTURE_H
/*
 * gateway_fixture - runs a gateway in a thread, with a store stand-in and endpoints that a test
 * controls
 *
 * Functions that return char * return a string that the caller frees.  A failed setup aborts
 * the process.
 */
#include "gateway/gateway.h"
#include "standin/raw_endpoint.h"
#include "standin/row_store_standin.h"

#define FIXTURE_ENDPOINTS 4
#define FIXTURE_HOST "shop.example"
#define FIXTURE_MAX_CONNECTIONS 50		/* per endpoint: maxConns of the configuration */
#define ENDPOINT_MARKER "Server-Stamp: s.1\r\n" /* marks an endpoint's own responses */

typedef struct fixture {
	const char *name; /* of the router */
	row_store_standin_t *store;
	bool owns_store;
	gateway_settings_t *settings;
	gateway_t *gateway;
	pthread_t thread;
	raw_endpoint_t *endpoints[FIXTURE_ENDPOINTS];
	char caller_address[32];      /* where the gateway listens for callers */
	char ready_address[32];	      /* where it serves /readiness and /metrics */
	unsigned int config_version;  /* of the last configuration written */
	unsigned int idle_timeout_ms; /* of the configurations written */
	unsigned int max_body_bytes;  /* of the configurations written */
	const char *service_fields; /* JSON that follows the last fixed one of the service; NULL */
	bool stopped;		    /* the gateway's thread has ended */
} fixture_t;

/*
 * Starts a gateway without endpoints.  Its configuration has the routes /order/ (not
 * idempotent), /status/ (idempotent), /draft/ (resumable stream) and /note/ (stream that can't
 * be resumed).
 */
fixture_t *fixture_new(void);

typedef struct fixture_options {
	const char *settings;	      /* JSON that follows the last fixed setting, or "" */
	unsigned int idle_timeout_ms; /* of callers */
	const char *name;	      /* of the router; NULL: "r" */
	/* Of another fixture, which has written the configuration; NULL: a store of its own. */
	row_store_standin_t *store;
	bool use_second_address;   /* of the store; see row_store_standin_set_refusing() */
	const char *store_address; /* a proxy before the store; NULL: the store itself */
} fixture_options_t;

fixture_t *fixture_new_with(const fixture_options_t *options);
/* Starts a router of this name that reads the store often, to run beside others; see
 * fixture_options_t. */
fixture_t *fixture_new_router(const char *name, row_store_standin_t *store);
/* Also stops the gateway, without a planned stop, if fixture_stop() was not called. */
void fixture_delete(fixture_t *this);
/*
 * Starts an endpoint whose responses `handler` writes, and registers it as ready; at most
 * FIXTURE_ENDPOINTS.
 */
raw_endpoint_t *fixture_add_endpoint(fixture_t *this, raw_handler_t handler, void *ctx);
/* Writes the store's row of the endpoint with this index, in the given state; its version is v1. */
void fixture_register_endpoint(fixture_t *this, unsigned int endpoint, const char *state);
/* The same for an endpoint whose software has another version. */
void fixture_register_version(
	fixture_t *this, unsigned int endpoint, const char *state, const char *version);
/* The same with JSON that stands for the cold time, or "". */
void fixture_register_cold(fixture_t *this, unsigned int endpoint, const char *cold);
/* Like fixture_add_endpoint(), without the row. */
raw_endpoint_t *fixture_start_endpoint(fixture_t *this, raw_handler_t handler, void *ctx);
/* The same for an endpoint that is ready, in another failure domain than "z". */
void fixture_register_in(fixture_t *this, unsigned int endpoint, const char *failure_domain);
/*
 * Writes a new version of the configuration to the store; `extra_routes` is JSON that follows
 * the last fixed route, or "".
 */
void fixture_put_config(fixture_t *this, const char *extra_routes);
/* JSON for `extra_routes`: an idempotent route /NAME/ that needs no key. */
#define FIXTURE_PUBLIC_ROUTE(name)                                                                 \
	",{\"name\":\"" name "\",\"host\":\"" FIXTURE_HOST "\",\"prefix\":\"/" name "/\","         \
	"\"kind\":\"idempotent\",\"timeoutMs\":1000,\"maxAttempts\":1,\"public\":true,"            \
	"\"service\":\"shop\"}"
/* Whether a GET for the public route `name` gets a response whose body is "hello". */
bool fixture_is_served(fixture_t *this, const char *name);
/* Repeats it until it is served, or is not, as `served` says; false after 10 seconds. */
bool fixture_wait_served(fixture_t *this, const char *name, bool served);
/* Sends a request `count` times at once, at most 64, and returns how many responses have "hello".
 */
unsigned int fixture_send_at_once(fixture_t *this, const char *text, unsigned int count);
/* A handler for fixture_add_endpoint() that responds with "hello". */
bool fixture_respond_hello(void *ctx, int fd, const raw_request_t *request);
/* Waits until the metric has this value; false after 10 seconds. */
bool fixture_wait_metric(fixture_t *this, const char *name, unsigned int value);
/* Waits until one /metrics response contains both strings; false after 10 seconds. */
bool fixture_wait_metrics(fixture_t *this, const char *first, const char *second);
/* Waits until the gateway is ready and knows this number of endpoints. */
void fixture_wait_ready(fixture_t *this, unsigned int endpoints);
/* Ends the gateway without a planned stop, and starts it again; endpoints and store go on. */
void fixture_kill_router(fixture_t *this);
void fixture_restart_router(fixture_t *this);
/*
 * Sends SIGTERM to the process, which begins the planned stop, and waits for its end.  Returns
 * the number of calls that the stop had to end early.
 */
unsigned int fixture_stop(fixture_t *this);

/*
 * Finds an address that nothing is bound to.  The port is below those that the system gives to
 * connections, so that none takes it before the gateway does; processes begin at different ports.
 */
void fixture_free_address(char *out, size_t size);
/* Connects to `address` (ip:port); -1 on failure. */
int fixture_connect(const char *address);
/*
 * Sends `text` to the caller address on a new connection and returns the bytes received until
 * the gateway closes it or `timeout_ms` pass.
 */
char *fixture_send_and_read(fixture_t *this, const char *text, unsigned int timeout_ms);
/* A request with the API key of workspace w1; `extra` is further header lines or "". */
char *fixture_format_request(
	const char *method, const char *path, const char *id, const char *extra, const char *body);
/*
 * Returns the bytes received until they contain `expected`, the other side closes the connection
 * or `timeout_ms` pass.
 */
char *fixture_read_until(int fd, const char *expected, unsigned int timeout_ms);

#endif
