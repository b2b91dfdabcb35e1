#ifndef DAEMON_OPERATOR_PORT_H
#define DAEMON_OPERATOR_PORT_H
/*
 * operator_server - the operators' HTTP server
 *
 * GET /live, /ready, /status, /metrics and /burn are open to anyone.
 * GET /fleet/text returns the fleet configuration in force, POST
 * /fleet/accepted applies one that the table has accepted, and POST /cut stops
 * or resumes the exchange with a peer; these three need the operators' token.
 */
#include "daemon/router.h"

typedef struct operator_port operator_port_t;

/* Starts the server; NULL if it can't listen on the operator address. */
operator_port_t *operator_port_new(router_t *router);
void operator_port_delete(operator_port_t *this);

#endif
