#ifndef EDGE_HTTP_CHECK_H
#define EDGE_HTTP_CHECK_H
/*
 * http_check - decides whether bytes are a message of HTTP/1.x, as they arrive
 *
 * The one place where the project decides this: all that read responses, and the gateway for its
 * callers' requests, pass bytes here first and hand only checked ones to their parser, which may
 * be more lenient (Debian builds http_parser without its strict checks).  Grammar: RFC 9112,
 * without the obsolete folding of field lines; a line of the head may also end with a single LF.
 * A status is 100 to 599, and no 101, as no request here asks for another protocol.
 *
 * A check holds no memory of its own.  After the head, only the lines between chunks are read;
 * bytes of a body are counted.
 */
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "edge/http_chunks.h"

typedef enum http_fault {
	HTTP_FAULT_NONE,
	HTTP_FAULT_START_LINE, /* not the start line of an HTTP/1.x message */
	HTTP_FAULT_STATUS,     /* not three digits from 100 to 599, or 101 */
	HTTP_FAULT_NAME,       /* a field's name is no token */
	HTTP_FAULT_VALUE,      /* a control character in a field's value */
	HTTP_FAULT_LENGTH,     /* the fields that tell the body's length are invalid */
	HTTP_FAULT_CHUNK,      /* chunks that are not separated as they should be */
	HTTP_FAULT_COUNT,
} http_fault_t;

typedef enum http_check_kind {
	HTTP_CHECK_REQUEST,
	HTTP_CHECK_RESPONSE,
} http_check_kind_t;

typedef enum http_field {
	HTTP_FIELD_OTHER,
	HTTP_FIELD_LENGTH, /* Content-Length */
	HTTP_FIELD_CODING, /* Transfer-Encoding */
} http_field_t;

#define HTTP_CHECK_TEXT 32 /* bytes that are kept of a name, and of a value, to compare them */

typedef struct http_check {
	http_check_kind_t kind;
	http_fault_t fault;
	unsigned int state;
	unsigned int status; /* of a response; interim responses included */
	bool is_http_1_0;
	bool in_trailer;
	bool has_length;
	bool is_chunked;
	unsigned int matched; /* characters of the protocol's name, digits of the status */
	uint64_t left;	      /* of a body that has a length */
	http_chunks_t chunks;
	char name[HTTP_CHECK_TEXT];
	unsigned int name_len;
	http_field_t field;
	char value[HTTP_CHECK_TEXT];
	unsigned int value_len;
} http_check_t;

void http_check_init(http_check_t *this, http_check_kind_t kind);
/*
 * Checks bytes up to the end of the head, then up to that of the message; returns how many of
 * them belong to it and are sound.  After a fault, or the message's end, it returns 0.
 */
size_t http_check_feed(http_check_t *this, const char *data, size_t len);
/* Called at the end of the head of a response to HEAD, which has no body whatever it says. */
void http_check_skip_body(http_check_t *this);
/* Whether the message's head is not complete yet. */
bool http_check_is_in_head(const http_check_t *this);
/* Whether the message is complete; one that ends with its connection never is. */
bool http_check_is_done(const http_check_t *this);
/* Whether the message's head is complete, and only the connection's end completes its body. */
bool http_check_ends_by_close(const http_check_t *this);
/* Whether the response is an interim one, after which another follows. */
bool http_check_is_interim(const http_check_t *this);
/* For logs. */
const char *http_fault_name(http_fault_t fault);

#endif
