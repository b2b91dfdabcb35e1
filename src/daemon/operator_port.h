#ifndef DAEMON_OPERATOR_PORT_H
#define DAEMON_OPERATOR_PORT_H
/*
 * operator_port - /live, /ready, /status, /metrics, /burn and /fleet/text
 *
 * /fleet/text, and /cut, which changes something, need the operators' token.
 */
#include "daemon/router.h"

typedef struct operator_port operator_port_t;

operator_port_t *operator_port_new(router_t *router);
void operator_port_delete(operator_port_t *this);

#endif
