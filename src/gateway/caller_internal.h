#ifndef GATEWAY_CALLER_INTERNAL_H
#define GATEWAY_CALLER_INTERNAL_H
/* caller_internal - what the files of caller share: the connection, and reading from it */
#include <http_parser.h>

#include "edge/http_check.h"
#include "gateway/caller.h"

#define CALLER_READ_SIZE 16384

typedef enum caller_state {
	CALLER_READING,
	CALLER_RESPONDING, /* a complete request awaits its response */
	CALLER_CLOSING,	   /* our side is shut down; waits for the caller to close */
	CALLER_CLOSED,
} caller_state_t;

struct caller {
	uv_tcp_t tcp;
	caller_group_t *group;
	struct cds_list_head link; /* in its group's list */
	http_parser parser;
	http_check_t check; /* of what the parser gets */
	caller_state_t state;
	caller_wait_t wait;
	caller_request_t request;
	size_t head_bytes; /* names and values; counted anew for the trailer */
	bool request_complete;
	unsigned int error_status; /* status for a rejected request; 0: 400 */
	size_t head_memory;	   /* of the request's target, names and values */
	bool body_begun;	   /* the head is complete, and more is to come */
	uint64_t length;	   /* of the body, UINT64_MAX: not told */
	bool wants_continue;	   /* the caller waits to be told to send its body */
	room_sender_t room;	   /* its part of the memory for requests */
	caller_pace_t pace;
	GString *pipelined;  /* bytes received after the current request; NULL: none */
	size_t pipelined_at; /* of them, those that were parsed */
	bool is_feeding;     /* bytes are being parsed */
	void *exchange;	     /* the user's object for the current request */
	bool close_after_response;
	bool chunked;
	bool head_sent;
	bool no_body;
	unsigned int pending_writes;
	buffer_holder_t unwritten; /* memory of the pending writes */
	size_t unwritten_bytes;	   /* the same; counted without a pool too */
	bool is_reading;
};

/* caller.c */
void caller_set_wait(caller_t *this, caller_wait_kind_t kind);
void caller_request_clear(caller_t *this);
void caller_write(caller_t *this, GString *bytes);

/* caller_parse.c */
void caller_parser_init(caller_t *this);
/* Parses bytes that were received, and starts an exchange for each request among them. */
void caller_feed(caller_t *this, const char *data, size_t len);
/* Parses what is pipelined, if no exchange is in progress. */
void caller_feed_pipelined(caller_t *this);
void caller_keep_pipelined(caller_t *this, const char *data, size_t len);
size_t caller_pipelined_bytes(const caller_t *this);
/* Tells a caller that waits for it to send its body. */
void caller_send_continue(caller_t *this);
/* Answers an unfinished request with its error, and closes. */
void caller_reject_request(caller_t *this);

/* caller_read.c */
void caller_start_reading(caller_t *this);
void caller_stop_reading(caller_t *this);
/* Goes on with reading, or stops it for bytes that wait to be parsed. */
void caller_settle(caller_t *this);
/* Whether there is room for more of the request; if not, the caller waits for it. */
bool caller_may_take(caller_t *this);
/* Tells the room what the request holds now. */
void caller_update_room(caller_t *this);

#endif
