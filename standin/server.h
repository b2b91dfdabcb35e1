#ifndef STANDIN_SERVER_H
#define STANDIN_SERVER_H
/*
 * server - a small HTTP server for the stand-ins, based on libmicrohttpd
 *
 * Each connection has its own thread, so a handler may block.
 */
#include <glib.h>
#include <microhttpd.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct server_request {
	struct MHD_Connection *connection;
	const char *method;
	const char *path;
	GString *body; /* complete when the handler is called */
} server_request_t;

/* Handles a request with one of the respond functions and returns that function's result. */
typedef enum MHD_Result (*server_handler_t)(void *ctx, server_request_t *request);

typedef struct server {
	struct MHD_Daemon *daemon;
	server_handler_t handler;
	void *ctx;
	char *address; /* ip:port, with the port in use */
} server_t;

/* Listens on ip:port, on any free port if port is 0 (see `address`); NULL if it can't. */
server_t *server_new(const char *address, server_handler_t handler, void *ctx);
void server_delete(server_t *this);

/* Return a header or a query parameter of the request, NULL if it is absent. */
const char *server_request_header(server_request_t *request, const char *name);
const char *server_query_value(server_request_t *request, const char *name);
enum MHD_Result server_respond(
	server_request_t *request, int status, const char *type, const char *body, size_t len);
/* Responds with `text` as JSON and frees it. */
enum MHD_Result server_respond_json(server_request_t *request, int status, GString *text);
/* Like server_respond_json(), with one more response header. */
enum MHD_Result server_respond_json_with_header(
	server_request_t *request, int status, GString *text, const char *name, const char *value);
/* Closes the connection without a response. */
enum MHD_Result server_drop_connection(server_request_t *request);

void sleep_ms(uint64_t ms);

#endif
