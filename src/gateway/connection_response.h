#ifndef GATEWAY_CONNECTION_RESPONSE_H
#define GATEWAY_CONNECTION_RESPONSE_H
/* connection_response - what the head of an endpoint's response says */
#include <glib.h>

#include "core/rate_limit.h"
#include "gateway/header_names.h"

typedef struct connection_response {
	unsigned int status;
	GString *headers;	 /* "Name: value\r\n" each, without hop-by-hop headers */
	bool id_matches;	 /* the request's id was present */
	bool has_marker;	 /* the marker of the endpoint's own responses was present */
	bool on_used_connection; /* other exchanges came before on the connection */
	bool not_run;		 /* the endpoint did not execute the request */
	double retry_after_s;	 /* the endpoint wants nothing from this router for so long; 0: none
				    named */
	bool is_leaving;	 /* the endpoint takes no further requests */
	bool has_load;
	unsigned int load_running;
	unsigned int load_waiting;
	unsigned int slowness;	   /* of its machine, percent of the usual time; 0: not stated */
	uint32_t rate_limit;	   /* lowest named, see rate_limit.h; RATE_NONE: none */
	bool rate_limit_malformed; /* one was named that can't be read */
	bool has_cold;		   /* it said how long the endpoint stays cold */
	bool cold_malformed;	   /* it did, in a way that can't be read */
	uint64_t cold_left;	   /* microseconds, UINT64_MAX: until told otherwise */
	bool is_encoded;	   /* the body has a content encoding */
	int64_t content_length;	   /* -1: unknown */
	bool ends_by_close;	   /* the body has neither a length nor chunks */
} connection_response_t;

/* Forgets the head before; `headers` stays allocated. */
void connection_response_reset(connection_response_t *this);
/* Takes up one header; hop-by-hop ones are not kept in `headers`. */
void connection_response_add_header(connection_response_t *this, const header_names_t *names,
	const char *name, const char *value);

#endif
