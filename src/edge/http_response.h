#ifndef EDGE_HTTP_RESPONSE_H
#define EDGE_HTTP_RESPONSE_H
/*
 * http_response - reads one HTTP response from bytes as they arrive, interim ones skipped
 *
 * http_check decides what is a response, http_parser takes it apart.
 */
#include <glib.h>
#include <http_parser.h>

#include "edge/http_check.h"

#define HTTP_RESPONSE_MAX_HEAD 65536 /* bytes, interim responses included */

typedef struct http_response {
	http_check_t check;
	http_parser parser;
	GPtrArray *names; /* of the head's fields */
	GPtrArray *values;
	GString *name; /* of the field being read */
	GString *value;
	GString *body; /* not owned; what is decoded is appended */
	size_t head_bytes;
	bool is_to_head; /* set by the user: the request was HEAD */
	bool in_value;
	bool head_too_large;
	bool head_complete; /* the status and the fields are known */
	bool complete;
} http_response_t;

void http_response_init(http_response_t *this, GString *body);
void http_response_clear(http_response_t *this);
/*
 * Reads bytes, and ignores those after the response.  False: it is none, or its head is too
 * large.
 */
bool http_response_feed(http_response_t *this, const char *data, size_t len);
/* Handles the end of the connection; false if that leaves the response incomplete. */
bool http_response_end(http_response_t *this);
/* Whether the response is one that only the end of the connection completes. */
bool http_response_ends_by_close(const http_response_t *this);
/* Why http_response_feed() returned false; for logs. */
const char *http_response_fault(const http_response_t *this);
unsigned int http_response_status(const http_response_t *this);
/* The first value of a field of the head; NULL if there is none. */
const char *http_response_header(const http_response_t *this, const char *name);

#endif
