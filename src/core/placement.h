#ifndef CORE_PLACEMENT_H
#define CORE_PLACEMENT_H
/*
 * placement - assigns a router's requests to model engines, together with the other routers
 *
 * Each engine has an owner, chosen by rendezvous hashing over the members, that
 * runs the scheduler for it.  A router sends a slot request to the owner of an
 * engine that has probably cached the shared parts of the prompt, or to one with
 * free slots.  An owner that does not reply is skipped until it sends a message.
 * When no owner is left, a router starts a bounded number of requests without a
 * grant, which count as served like others.  A workspace whose requests wait for more slots than
 * the owners grant it soon is refused without asking them.
 *
 * A placement does no I/O and reads no clock.  Routers exchange messages that
 * consist of a header and entries.  A lost entry costs at most a delay, as each
 * router reports all its slots in use every second.
 *
 * Parameters called `slot` are member slots (member.h), not slots of an engine.
 */
#include "core/backlog.h"
#include "core/member.h"
#include "core/rate_limit.h"
#include "core/region_set.h"
#include "core/scheduler.h"
#include "core/warm_up.h"

typedef enum entry_kind {
	ENTRY_SLOT_REQUEST,
	ENTRY_QUEUED, /* the owner has queued the slot request */
	ENTRY_GRANT,
	ENTRY_REFUSAL,	   /* with the delay after which the caller may retry */
	ENTRY_NOT_OWNER,   /* the receiver of the slot request owns no usable engine of the pool */
	ENTRY_FULL,	   /* the owner has no free slot, and another owner probably has one */
	ENTRY_WITHDRAWAL,  /* the slot is no longer wanted */
	ENTRY_FIRST_TOKEN, /* the first token has arrived */
	ENTRY_LOAD,	   /* the load that the engine reported */
	ENTRY_FAILURE,	   /* the request failed at the engine */
	ENTRY_END,	   /* the request has ended, and the slot is free */
	ENTRY_HELD_SLOT,   /* a slot in use, for an owner that may not know of it */
	ENTRY_REPORT_END,  /* all slots in use have been sent as ENTRY_HELD_SLOT */
	/* The placement ignores the next three; the embedder handles them. */
	ENTRY_ROW_VERSION,   /* the newest version of a table that the sender knows */
	ENTRY_ROW_REQUEST,   /* a request for the rows of a table above a version */
	ENTRY_ROW_CHUNK,     /* a chunk of a row */
	ENTRY_SERVED_TOKENS, /* tokens served to a workspace by the sender since its last report */
	ENTRY_SLOT_USAGE,    /* slot usage of the sender's engines of a pool */
	/* The placement ignores these as well. */
	ENTRY_PART_END,	  /* an endpoint ended under a prompt part */
	ENTRY_PART_SOUND, /* an answer to a prompt with the part was sound */
	ENTRY_RECEIPT,	  /* the newest message that the sender has received from the receiver */
	ENTRY_RATE_LIMIT, /* the rate limit of an engine, from its owner or for it */
	/* The placement ignores these as well; routers of earlier builds read no further. */
	ENTRY_STREAMS,	     /* the streams of the sender that may be taken up */
	ENTRY_STREAMS_SAVED, /* the report of streams that the sender has saved */
	ENTRY_STORE_STATE,   /* what the sender, a reader of the store, sees of it */
	/* Routers of earlier builds read no further here either. */
	ENTRY_ENGINE_STATE, /* what is known of an engine, from its owner or for it */
	ENTRY_KINDS,
} entry_kind_t;

/*
 * What routers tell each other of an engine.  Zero stands for a part that the sender does not
 * know; so does a field that a router of an earlier build did not send.
 */
typedef struct engine_state_report {
	uint64_t cold_left; /* microseconds until it is warm; UINT64_MAX: until told otherwise */
	uint64_t cold_age;  /* microseconds since that was stated */
	uint32_t cold_pace; /* starts that it bears while cold, see rate_limit.h */
	uint32_t prefill_token_ns; /* time to prefill one prompt token */
	uint32_t decode_step_us;   /* time of one decode step of a batch of one */
	uint32_t speed_samples;	   /* that the two are based on; more are worth more */
	uint64_t speed_age;	   /* microseconds since the latest of them */
} engine_state_report_t;

/* One entry of a message.  A field is set only for the kinds that its comment names. */
typedef struct message_entry {
	entry_kind_t kind;
	/*
	 * Of the slot request; ENTRY_PART_END, ENTRY_PART_SOUND: the part; ENTRY_RECEIPT: the
	 * message's sequence number; ENTRY_STREAMS, ENTRY_STREAMS_SAVED: the report's.
	 */
	uint64_t ticket;
	id_t32 engine; /* ENTRY_GRANT, ENTRY_PART_END, ENTRY_RATE_LIMIT, ENTRY_ENGINE_STATE */
	/*
	 * ENTRY_GRANT: engine to copy the shared parts from, 0: none; ENTRY_PART_END: time since
	 * the prompt was sent, ms; ENTRY_RATE_LIMIT: time since the request was sent whose response
	 * named the limit, ms; ENTRY_FIRST_TOKEN: time since the start, us; ENTRY_END: time since
	 * the first token, us; ENTRY_LOAD: how long work takes, percent of its usual time.  0 is
	 * unknown: earlier builds send nothing else with the last three.
	 */
	id_t32 source;
	id_t32 pool;	  /* ENTRY_SLOT_USAGE, ENTRY_SERVED_TOKENS */
	id_t32 workspace; /* ENTRY_SERVED_TOKENS */
	int32_t tokens;	  /* ENTRY_SERVED_TOKENS */
	/* ENTRY_PART_END: as the sender counts the occasions, 0: unknown; see part_watch.c */
	uint32_t occasions;
	/* ENTRY_END: longest pause of the stream, ms; routers of earlier builds send none. */
	uint32_t pause_ms;
	bool is_whole; /* ENTRY_PART_END: the part stands for a request as a whole */
	/*
	 * ENTRY_REFUSAL: retry delay in ms; ENTRY_FULL: time that the owner's engines read other
	 * prompts, in ms, 0: they have no free slot; ENTRY_LOAD: requests at the engine;
	 * ENTRY_FAILURE: slot_result_t; ENTRY_END: generated tokens; ENTRY_ROW_CHUNK:
	 * rows still to come; ENTRY_PART_END: time since the end, ms; ENTRY_RATE_LIMIT: the
	 * rate, see rate_limit.h; ENTRY_STORE_STATE: store_state_t.
	 */
	uint32_t value;
	slot_usage_t usage; /* ENTRY_SLOT_USAGE */
	/* ENTRY_SLOT_REQUEST; the decoder converts instants to the receiver's clock. */
	slot_request_t slot_request;
	held_slot_t held_slot;		    /* ENTRY_HELD_SLOT */
	engine_state_report_t engine_state; /* ENTRY_ENGINE_STATE */
	unsigned int table; /* ENTRY_ROW_VERSION, ENTRY_ROW_REQUEST, ENTRY_ROW_CHUNK */
	/* The same kinds: the number of a store_version_t; ENTRY_RECEIPT: the incarnation. */
	uint64_t version;
	uint64_t era; /* the same kinds: its era */
	/*
	 * ENTRY_ROW_CHUNK, `bytes` and `size` ENTRY_STREAMS too; the pointers are valid until the
	 * next entry is read.
	 */
	const char *key;
	const char *bytes;
	uint32_t size;	     /* of `bytes` */
	uint32_t offset;     /* of the chunk in the value of the row */
	uint32_t total_size; /* of the value of the row */
	uint32_t row_count;  /* rows that the sender sends for the request */
	bool is_deleted;
} message_entry_t;

typedef enum placement_state {
	PLACEMENT_NONE,
	PLACEMENT_REQUESTED, /* sent to an owner that has not replied yet */
	PLACEMENT_QUEUED,    /* queued at the owner */
	PLACEMENT_GRANTED,
} placement_state_t;

/* A request for a slot, embedded in the embedder's own record. */
typedef struct placement_request {
	/* Set by the embedder before placement_request(). */
	id_t32 pool;
	id_t32 workspace;
	/* Engine on which the request failed before, 0: none; a declined grant replaces it. */
	id_t32 avoid;
	/* Hash over the content of the request, the same for each retry; 0: none. */
	uint32_t request_fingerprint;
	engine_work_t work;
	instant_t first_token_deadline; /* latest time for the first token */
	instant_t deadline;
	id_t32 version;	      /* of the engine's software that it is bound to, 0: any */
	region_set_t regions; /* where it may run */
	bool is_late;	      /* counts as unable to meet first_token_deadline */
	bool was_started;     /* an attempt has failed: never refused for the workspace's backlog */

	/* Set by the placement. */
	backlog_entry_t backlog_entry;
	struct cds_list_head link;
	struct cds_list_head ticket_link; /* in the index of the requests that have a ticket */
	placement_state_t state;
	uint64_t ticket;
	unsigned int owner; /* member slot */
	id_t32 engine;
	id_t32 source;	     /* engine to copy the shared parts of the prompt from, 0: none */
	instant_t asked_at;  /* when the slot request was sent */
	instant_t reply_by;  /* time by which the owner must reply, in PLACEMENT_REQUESTED */
	instant_t resend_at; /* when to send the slot request again, as the reply may be lost */
	unsigned int owners_tried; /* owners that the slot request was sent to */
	bool prefill_done;	   /* the first token has arrived */
	bool without_grant;	   /* no owner granted the slot */
	instant_t started_at;	   /* at the engine */
	instant_t first_token_at;
	/* Of the stream, set by the embedder before placement_end(). */
	uint64_t longest_pause;
	bool was_held_up; /* its caller did not read: its times tell nothing of the engine */
} placement_request_t;

typedef struct placement_engine {
	id_t32 id;
	id_t32 pool;
	engine_limits_t limits;
	id_t32 version; /* of its software */
	id_t32 region;	/* that its failure domain is in, 0: unknown */
	bool usable;	/* accepts new requests */
	/* Starts that it bears while it is cold, see rate_limit.h; RATE_NONE: as many as when warm.
	 */
	uint32_t cold_pace;
	uint64_t cold_time;	  /* microseconds for which it is cold after a start, 0: unknown */
	instant_t cold_until;	  /* according to its registration or its start, 0: warm */
	instant_t cold_stated_at; /* when that was known */
	warm_up_source_t cold_source; /* WARM_UP_NONE: nothing says so */
} placement_engine_t;

typedef enum placement_action_kind {
	PLACEMENT_START,
	PLACEMENT_REJECT,
} placement_action_kind_t;

typedef struct placement_action {
	placement_action_kind_t kind;
	placement_request_t *request;
	id_t32 engine;		 /* PLACEMENT_START */
	uint32_t retry_after_ms; /* PLACEMENT_REJECT */
	/* PLACEMENT_REJECT: the pool has no usable engine of the request's version and regions */
	bool no_engine;
} placement_action_t;

/* The header of each message between routers. */
typedef struct message_header {
	id_t32 from;
	uint64_t incarnation;
	uint64_t seq;
	bool stopping;
} message_header_t;

typedef struct placement_options {
	id_t32 self;
	id_t32 domain; /* failure domain of this router, 0: unknown */
	uint64_t incarnation;
	uint64_t seed; /* of the random choice between owners */
	scheduler_options_t scheduler;
	/* Called when the limit of an engine that this router owns changes; may be NULL. */
	void (*on_rate_limit)(void *ctx, id_t32 engine, uint32_t rate, uint32_t before);
	/* Called when an engine that this router owns turns cold or warm; may be NULL. */
	void (*on_warm_up)(void *ctx, id_t32 engine, const warm_up_t *warm_up, instant_t now);
	/* Called when the speed of an engine that this router owns changes; may be NULL. */
	void (*on_speed)(void *ctx, id_t32 engine, const engine_speed_report_t *speed);
	void *ctx;
	const allocator_t *allocator; /* NULL: allocator_default */
} placement_options_t;

typedef struct placement_stats {
	uint64_t slot_requests; /* sent to owners, this router included */
	uint64_t unanswered;	/* slot requests without a reply in time */
	uint64_t without_grant; /* requests started without a grant */
	uint64_t redirected;	/* slot requests answered by ENTRY_NOT_OWNER or ENTRY_FULL */
	/* Those of them for the prompts that the owner's engines read. */
	uint64_t redirected_reading;
	/* Choices of an owner that avoided others with free slots for their streams' pauses, ... */
	uint64_t steered_pauses;
	uint64_t steered_reading; /* ... or for the prompts that they read */
	uint64_t refused;	  /* requests refused for their workspace's backlog */
	uint64_t declined;	  /* grants for engines that accept no requests any more */
} placement_stats_t;

typedef struct placement placement_t;

placement_t *placement_new(const placement_options_t *options, instant_t now);
void placement_delete(placement_t *this);

/* Adds a router unless it is known; returns its member slot. */
unsigned int placement_add_member(placement_t *this, id_t32 id);
/* Records whether the roster lists the router. */
void placement_set_listed(placement_t *this, unsigned int slot, bool listed);
void placement_set_domain(placement_t *this, unsigned int slot, id_t32 domain);
/* Records a lost connection: the router is soon dead unless it sends a message. */
void placement_connection_lost(placement_t *this, unsigned int slot, instant_t now);
/*
 * Gives the router of a connection that must be renewed, as the router has not confirmed our
 * messages; false when there is none.
 */
bool placement_next_silent_link(placement_t *this, unsigned int *slot, instant_t now);
/* Repeats the reports to the router that are sent only when they change: some were lost. */
void placement_repeat_reports(placement_t *this, unsigned int slot);
/* Replaces the set of engines; those that are not in `engines` are removed. */
void placement_set_engines(
	placement_t *this, const placement_engine_t *engines, unsigned int count, instant_t now);
/* Starts a planned stop: this router owns no engine from now on. */
void placement_stop(placement_t *this, instant_t now);

/* Requests a slot; an action reports the result.  `request` must stay valid until it is over. */
void placement_request(placement_t *this, placement_request_t *request, instant_t now);
/* Ends a request whose result is no longer wanted; does nothing in PLACEMENT_NONE. */
void placement_cancel(placement_t *this, placement_request_t *request, instant_t now);
void placement_first_token(placement_t *this, placement_request_t *request, instant_t now);
/* Reports that the engine has `load` requests running or queued. */
void placement_load_report(
	placement_t *this, placement_request_t *request, unsigned int load, instant_t now);
/* Like it, and reports that work takes `percent` of its usual time on the engine's machine. */
void placement_slowness_report(placement_t *this, placement_request_t *request, unsigned int load,
	unsigned int percent, instant_t now);
/*
 * Reports the rate limit that the engine named in the response to a request sent at `sent_at`;
 * RATE_NONE: it named none.
 */
void placement_rate_report(placement_t *this, const placement_request_t *request, uint32_t rate,
	instant_t sent_at, instant_t now);
/*
 * Reports how long the engine stays cold, in microseconds, according to the response to a request
 * sent at `sent_at`; UINT64_MAX: until told otherwise.
 */
void placement_warm_up_report(placement_t *this, const placement_request_t *request,
	uint64_t cold_left, instant_t sent_at, instant_t now);
/*
 * The engine has asked this router to send it nothing until then; other routers may.  Grants for it
 * are declined.
 */
void placement_pause_engine(placement_t *this, id_t32 engine, instant_t until);
/* Ends a granted request that failed. */
void placement_fail(
	placement_t *this, placement_request_t *request, slot_result_t failure, instant_t now);
/* Ends a granted request that succeeded, after `answer` generated tokens. */
void placement_end(placement_t *this, placement_request_t *request, uint32_t answer, instant_t now);

/*
 * Checks the header of a received message and sets `slot` to its sender.  The
 * entries must be ignored when this returns false: the message is outdated or
 * from an unknown peer.
 */
bool placement_accept_message(
	placement_t *this, const message_header_t *header, unsigned int *slot, instant_t now);
/* Handles one entry of a message from the member in `slot`. */
void placement_handle_entry(
	placement_t *this, unsigned int slot, const message_entry_t *entry, instant_t now);

/*
 * Does the work that is due; returns the latest time of the next call.  Has to be called every
 * 20 ms: a longer gap is taken for slowness of this router, which gives owners more time to reply.
 */
instant_t placement_tick(placement_t *this, instant_t now);
bool placement_next_action(placement_t *this, placement_action_t *action);
/* Begins the next message that is due: sets its receiver and header; false when none is due. */
bool placement_next_message(
	placement_t *this, unsigned int *slot, message_header_t *header, instant_t now);
/* Makes a message to `slot` due now, so that the embedder can add entries to it. */
void placement_make_message_due(placement_t *this, unsigned int slot, instant_t now);
/* Takes the next entry queued for `slot`; false when there is none. */
bool placement_next_entry(placement_t *this, unsigned int slot, message_entry_t *entry);
/*
 * Gives the confirmation of the router's messages if one is due; false when none is.  It comes
 * last in a message, as routers of earlier versions do not read on after it.
 */
bool placement_next_receipt(
	placement_t *this, unsigned int slot, message_entry_t *entry, instant_t now);

/*
 * Gives the next of the engines' states that are to be told to the router; false when there is
 * none.  They come last in a message, as routers of earlier builds do not read on after them.
 */
bool placement_next_engine_state(
	placement_t *this, unsigned int slot, message_entry_t *entry, instant_t now);

/* See scheduler_report_lanes(). */
void placement_report_lanes(placement_t *this, instant_t now,
	void (*each)(void *ctx, const lane_report_t *report), void *ctx);

/* Number of engines whose speed differs from that of their pool's median. */
unsigned int placement_unequal_engines(const placement_t *this);
/* Number of engines that are known to have a rate limit. */
unsigned int placement_rate_limited(const placement_t *this);
/* Number of engines that are known to be cold. */
unsigned int placement_cold(const placement_t *this, instant_t now);
const members_t *placement_members(const placement_t *this);
const scheduler_t *placement_scheduler(const placement_t *this);
const placement_stats_t *placement_stats(const placement_t *this);

#endif
