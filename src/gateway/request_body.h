#ifndef GATEWAY_REQUEST_BODY_H
#define GATEWAY_REQUEST_BODY_H
/*
 * request_body - the body of a request, shared by the caller that sent it and the connections that
 * pass it on
 *
 * It has room for as many bytes as it was given, so that what it takes is known; it is freed with
 * its last reference.  To be used by one thread.
 */
#include <stdbool.h>
#include <stddef.h>

typedef struct request_body {
	char *str; /* not terminated */
	size_t len;
	size_t capacity;
	unsigned int references;
} request_body_t;

request_body_t *request_body_new(void);
request_body_t *request_body_get(request_body_t *this);
void request_body_put(request_body_t *this);
/* Gives it room for `capacity` bytes, at least as many as it has. */
void request_body_set_capacity(request_body_t *this, size_t capacity);
/* Appends within the capacity, which it doubles up to `most`; false if that is not enough. */
bool request_body_append(request_body_t *this, const char *data, size_t len, size_t most);

#endif
