#ifndef FILTER_ACCEPT_H
#define FILTER_ACCEPT_H
/*
 * accept - the callers' HTTP port: reads a request, runs it, answers
 *
 * One thread a connection, so a request may wait.  Bodies, headers,
 * connections and idle time are limited by the settings.
 */
#include "daemon/router.h"

typedef struct accept accept_t;

accept_t *accept_new(router_t *router);
/* Takes no new connection. */
void accept_quiesce(accept_t *this);
void accept_delete(accept_t *this);

#endif
