#ifndef FILTER_RELAY_H
#define FILTER_RELAY_H
/*
 * relay - passes a response from the endpoint to the caller, whole or as a stream
 *
 * A stream is forwarded in whole events.  When the connection to the engine
 * breaks, the stream is resumed by event id, so that the caller gets each
 * event exactly once.  If that fails, the caller gets an error event and an
 * aborted connection, never a regular end of the stream.
 */
#include "filter/request.h"

/*
 * Copies the next bytes of a stream to `buffer` and returns their number, 0 at the end of the
 * stream, < 0 if it failed.  Blocks until the engine sends an event.
 */
ssize_t relay_read(request_t *request, char *buffer, size_t size);

#endif
