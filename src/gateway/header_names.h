#ifndef GATEWAY_HEADER_NAMES_H
#define GATEWAY_HEADER_NAMES_H
/*
 * header_names - names of the HTTP headers exchanged with callers and endpoints
 *
 * The deployment's adapter provides them.  Header names are
 * case-insensitive.
 */
#include <stdbool.h>

typedef struct header_names {
	const char *request_id;	       /* id of one attempt of a caller; endpoints echo it */
	const char *time_left_ms;      /* milliseconds that the sender still waits */
	const char *workspace;	       /* sent to endpoints; removed from callers' requests */
	const char *expected_endpoint; /* sent to endpoints: name of the intended one */
	const char *response_marker;   /* in each response that the endpoint itself produced */
	const char *not_run;	       /* present if the endpoint did not execute the request */
	const char *leaving;	       /* "1" if the endpoint takes no further requests */
	/*
	 * RUNNING,WAITING,SLOTS[,SLOWNESS]: the endpoint's load, and how long work takes on its
	 * instance now, in hundredths of the usual time.
	 */
	const char *load;
	const char *cold_left_ms; /* how long the endpoint stays cold */
	const char *rate_limit;	  /* requests a second that the endpoint takes from all routers */
	const char *prompt_parts; /* ID:TOKENS,... in the prompt's order */
	const char *token_usage;  /* PROMPT,MAX: prompt tokens, maximum output tokens */
	const char *length_hint;  /* estimated output tokens */
	const char *resume_after; /* id of the last event received */
	const char *resumes; /* id of the caller's attempt that brought the stream's first event */
	const char
		*copy_from; /* sent to endpoints: address to copy cached parts from; NULL: none */
	const char *const *withheld; /* removed from callers' requests; NULL-terminated */
} header_names_t;

/* True if the NULL-terminated list contains the name. */
bool header_names_contain(const char *const *names, const char *name);
/*
 * True for headers of requests or responses that apply to a single connection, and
 * for Content-Length, which the gateway sets itself.
 */
bool header_is_hop_by_hop(const char *name);

#endif
