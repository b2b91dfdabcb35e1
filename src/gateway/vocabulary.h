#ifndef GATEWAY_VOCABULARY_H
#define GATEWAY_VOCABULARY_H
/*
 * vocabulary - the header names by which the gateway speaks to callers and endpoints
 *
 * A deployment's adapter gives them.
 * Names compare without regard to case.
 */
#include <stdbool.h>

typedef struct vocabulary {
	const char *request_id;	       /* of one attempt of a caller; endpoints echo it */
	const char *time_left_ms;      /* how long the sender still waits */
	const char *workspace;	       /* set for endpoints, never taken from callers */
	const char *expected_endpoint; /* set for endpoints: who is meant */
	const char *signature;	       /* marks an answer of an endpoint */
	const char *not_run;	       /* the endpoint did not run the request */
	const char *load;	       /* running, waiting, slots */
	const char *prompt_parts;      /* ID:TOKENS, ... in the prompt's order */
	const char *token_usage;       /* prompt tokens, most tokens of the answer */
	const char *length_hint;       /* rough tokens of the answer */
	const char *resume_after;      /* number of the last event that arrived */
	const char *copy_from; /* set for endpoints: address of one that has shared parts; NULL:
				  can't */
	const char *const *withheld; /* of callers, not passed on; NULL at the end */
} vocabulary_t;

/* The list, NULL at its end, has the name. */
bool vocabulary_lists(const char *const *names, const char *name);
/* A header that concerns one connection, in either direction. */
bool vocabulary_is_between_hops(const char *name);

#endif
