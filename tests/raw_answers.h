#ifndef TESTS_RAW_ANSWERS_H
#define TESTS_RAW_ANSWERS_H
/*
 * raw_answers - responses that are no HTTP, and unusual ones that are, for every reader of
 * responses
 *
 * In a text, "{own}" stands for the fields by which the reader knows the response to its request.
 * The body of a sound response is
 * "hello" and an empty line, which is also a whole event of a stream.
 */
#include "standin/raw_endpoint.h"

typedef struct raw_answer {
	const char *name;
	const char *text;
} raw_answer_t;

/* Each list ends with a NULL name. */
extern const raw_answer_t raw_answers_start_line[];
extern const raw_answer_t raw_answers_names[];
extern const raw_answer_t raw_answers_values[];
extern const raw_answer_t raw_answers_framing[];
extern const raw_answer_t raw_answers_chunks[]; /* whose heads are sound */
extern const raw_answer_t raw_answers_sound[];

/* What a server sends to each request. */
typedef struct raw_sender {
	const char *own;  /* format of the own fields, with %s for the request's id */
	const char *text; /* of a raw_answer_t; accessed atomically */
	size_t piece;	  /* bytes that are written at a time, 0: all; accessed atomically */
	bool resets;	  /* at the end, instead of closing in order */
} raw_sender_t;

/* Sets what is sent from now on. */
void raw_sender_set(raw_sender_t *this, const char *text, size_t piece);

/* A handler for raw_endpoint_new() whose ctx is a raw_sender_t; it ends the connection. */
bool raw_sender_respond(void *ctx, int fd, const raw_request_t *request);
/* A 200 or 404 with this field line after its own fields; the caller frees it. */
char *raw_answer_with_field(unsigned int status, const char *line);

#endif
