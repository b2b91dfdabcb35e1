#ifndef EDGE_HTTP_CHUNKS_H
#define EDGE_HTTP_CHUNKS_H
/*
 * http_chunks - decides whether bytes are a body in chunks, as they arrive
 *
 * Grammar: RFC 9112, 7.1; sizes may be padded with blanks, as some servers send them.  The fields
 * behind the last chunk are not part of it.  Used by http_check.
 */
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define HTTP_MAX_LENGTH ((uint64_t)INT64_MAX) /* bytes, of a body or a chunk */

typedef struct http_chunks {
	unsigned int state;
	uint64_t left; /* bytes of the current chunk */
} http_chunks_t;

void http_chunks_init(http_chunks_t *this);
/* Checks bytes up to the end of the last size; returns how many of them are sound. */
size_t http_chunks_feed(http_chunks_t *this, const char *data, size_t len);
/* Whether the last size was read. */
bool http_chunks_are_done(const http_chunks_t *this);
bool http_chunks_have_fault(const http_chunks_t *this);

#endif
