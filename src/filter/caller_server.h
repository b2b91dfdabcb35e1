#ifndef FILTER_CALLER_SERVER_H
#define FILTER_CALLER_SERVER_H
/*
 * caller_server - the callers' HTTP server: reads, runs and answers requests
 *
 * Each connection has its own thread, so a request may block.  The settings
 * limit the size of bodies, the number of connections and the idle time; the
 * size of headers is limited by each connection's memory.
 */
#include "daemon/router.h"

typedef struct caller_server caller_server_t;

/* Starts the server; NULL if it can't listen on the caller address. */
caller_server_t *caller_server_new(router_t *router);
/* Stops accepting connections; open ones go on. */
void caller_server_quiesce(caller_server_t *this);
/* Closes all connections and waits for their threads to end. */
void caller_server_delete(caller_server_t *this);

#endif
