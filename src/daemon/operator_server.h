#ifndef DAEMON_OPERATOR_SERVER_H
#define DAEMON_OPERATOR_SERVER_H
/*
 * operator_server - the operators' HTTP server
 *
 * GET /live, /ready, /status, /metrics and /burn are open to anyone.
 * GET /fleet/text returns the fleet configuration in force, POST
 * /fleet/accepted applies one that the table has accepted, and POST /cut stops
 * or resumes the exchange with a peer; these three need the operators' token.
 */
#include "daemon/router.h"

typedef struct operator_server operator_server_t;

/* Starts the server; NULL if it can't listen on the operator address. */
operator_server_t *operator_server_new(router_t *router);
void operator_server_delete(operator_server_t *this);

#endif
