#ifndef FILTER_RELAY_H
#define FILTER_RELAY_H
/*
 * relay - from the endpoint to the caller, whole or as a stream
 *
 * A stream is passed on in whole events.  When the engine's connection breaks,
 * the rest is asked for by event number, so the caller reads neither a gap nor
 * a repeat; when that fails the caller gets an error event and a connection
 * that breaks, never a proper end.
 */
#include "filter/request.h"

/* The next bytes of a stream: > 0, 0 at its end, < 0 when it failed. */
ssize_t relay_read(request_t *request, char *buffer, size_t size);

#endif
