#ifndef EDGE_HTTP_EXCHANGE_H
#define EDGE_HTTP_EXCHANGE_H
/*
 * http_exchange - one HTTP request to a numeric address, whose response is read in parts, over
 * neon's sockets
 *
 * neon's own requests hide the bytes of a response, and take more for one than http_check does.
 * Each exchange opens its own connection, so the server receives a request at most once.  All
 * calls block and must not be made from the node thread or an event loop's thread.  The options'
 * timeouts are rounded up to whole seconds.
 */
#include <neon/ne_socket.h>

#include "edge/http_call.h"
#include "edge/http_response.h"

typedef struct http_exchange {
	ne_socket *socket;
	char *address;
	unsigned int read_timeout_ms;
	http_response_t response;
	GString *body; /* received and not yet read */
	int status;
} http_exchange_t;

/*
 * Sends the request and reads the response header.  The exchange must be
 * deleted whatever the result.
 */
http_result_t http_exchange_begin(http_exchange_t *this, const http_options_t *options);
/*
 * Reads part of the response body.  Returns the number of bytes, 0 at the end
 * of a complete response, or a negative value if the response is incomplete.
 */
ssize_t http_exchange_read(http_exchange_t *this, char *buffer, size_t size);
/* Value of a response header; NULL when absent. */
const char *http_exchange_header(http_exchange_t *this, const char *name);
void http_exchange_delete(http_exchange_t *this);

#endif
