#ifndef STANDIN_SERVER_H
#define STANDIN_SERVER_H
/*
 * server - a small threaded HTTP server for the stand-ins, over libmicrohttpd
 *
 * Each connection has a thread of its own, so a handler may sleep.
 */
#include <glib.h>
#include <microhttpd.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct server_call {
	struct MHD_Connection *connection;
	const char *method;
	const char *path;
	GString *body;
} server_call_t;

typedef enum MHD_Result (*server_handler_t)(void *ctx, server_call_t *call);

typedef struct server {
	struct MHD_Daemon *daemon;
	server_handler_t handler;
	void *ctx;
	char *address;
} server_t;

/* Listens on ip:port (port 0: any free one, see address); NULL when it can't. */
server_t *server_new(const char *address, server_handler_t handler, void *ctx);
void server_delete(server_t *this);

const char *server_header(server_call_t *call, const char *name);
const char *server_argument(server_call_t *call, const char *name);
enum MHD_Result server_answer(
	server_call_t *call, int status, const char *type, const char *body, size_t len);
enum MHD_Result server_json(server_call_t *call, int status, GString *text);
/* Closes the connection without an answer. */
enum MHD_Result server_drop(server_call_t *call);

void sleep_ms(uint64_t ms);

#endif
