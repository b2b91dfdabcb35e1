#ifndef CORE_ENGINE_H
#define CORE_ENGINE_H
/*
 * engine - an owner's model of one model engine: batch, memory, prompt cache and speed
 *
 * An engine prefills prompts one after another, between the decode steps of the
 * answers that it generates.  The model predicts when the first token of a
 * request would arrive, and estimates the engine's speed from the first tokens
 * that did arrive.  Sizes are in tokens, durations in microseconds.
 *
 * `source_prefill` is the number of prompt tokens that the engine to copy from
 * has not cached either, or UINT32_MAX when there is no engine to copy from.
 */
#include <urcu/list.h>

#include "core/allocator.h"
#include "core/engine_speed.h"
#include "core/types.h"

#define PROMPT_MAX_PARTS 4
#define ENGINE_COPY_MIN_TOKENS 512 /* copying fewer tokens than this isn't worth its setup cost */
#define ENGINE_CACHE_SETS 256	   /* sets of cached prompt prefixes, a power of two */
#define ENGINE_CACHE_WAYS 4
/* Number of recent prefills that engine_can_prefill() takes into account. */
#define ENGINE_TRACKED_PREFILLS 16

/* The parts of a prompt that requests share: entry i stands for the prefix of parts 0 to i. */
typedef struct prompt_chain {
	unsigned int count;
	uint64_t hash[PROMPT_MAX_PARTS];   /* of the prefix, odd */
	uint32_t tokens[PROMPT_MAX_PARTS]; /* of part i alone */
} prompt_chain_t;

/* The size of a request in tokens. */
typedef struct engine_work {
	uint32_t prompt;
	uint32_t answer; /* predicted */
	prompt_chain_t chain;
} engine_work_t;

/* One request at the engine, embedded in the caller's record. */
typedef struct engine_request {
	struct cds_list_head link; /* in engine_t.requests, in order of arrival */
	uint32_t prefill_tokens;   /* prefill tokens, see engine_prefill_tokens_with_copy() */
	uint32_t memory_tokens;	   /* that the request will occupy at its end */
	uint32_t private_tokens;   /* those of memory_tokens that are in no shared part */
	instant_t began_at;
	uint64_t reported_delay; /* to the first token, as its router measured it; 0: unknown */
	uint64_t prefill_before; /* engine_t.prefill_total at its first token */
	bool prefill_done;	 /* prefill is finished: the first token has arrived */
} engine_request_t;

typedef struct cached_prefix {
	uint64_t hash;
	uint32_t tokens; /* of the last part alone, or the private tokens of a request */
	instant_t last_used;
} cached_prefix_t;

typedef struct engine_limits {
	unsigned int slots;
	uint64_t token_memory;	/* 0: unknown */
	uint64_t max_event_gap; /* allowed between two events of a stream, 0: no limit */
} engine_limits_t;

/* The predicted prefill of one prompt. */
typedef struct engine_prefill {
	instant_t start;
	uint64_t duration;
} engine_prefill_t;

typedef struct engine {
	id_t32 id;
	engine_limits_t limits;
	struct cds_list_head requests; /* engine_request_t */
	unsigned int running;	       /* requests at the engine */
	unsigned int prefilling;       /* those of them whose prefill isn't finished */
	uint64_t memory_tokens;	       /* of all requests at the engine */
	instant_t prefill_until;       /* predicted end of the prefill of all requests */
	instant_t last_first_token_at; /* arrival of the latest first token */
	engine_speed_t speed;
	double prefill_mean_us;	   /* moving average of the prefill time of a prompt token */
	double prefill_token_us;   /* the same, or from `speed` where the pool's engines differ */
	double first_token_us;	   /* estimated time to the first token beyond prefill */
	bool degraded;		   /* much slower than it used to be */
	double prefill_share;	   /* of the time, for prefill beside streams */
	instant_t pause_counts_at; /* a late pause before belongs to the same delay as the last */
	uint64_t prefill_total;	   /* predicted time of all prefills begun so far */
	cached_prefix_t cache[ENGINE_CACHE_SETS][ENGINE_CACHE_WAYS]; /* hash 0: empty */
	uint64_t cache_tokens;
	uint64_t ended;					    /* requests that ended */
	engine_prefill_t prefills[ENGINE_TRACKED_PREFILLS]; /* a ring */
	unsigned int next_prefill;			    /* index in the ring */
} engine_t;

void engine_init(engine_t *this, id_t32 id, const engine_limits_t *limits);
/* Returns the number of prompt tokens that the engine has not cached. */
uint32_t engine_prefill_tokens(const engine_t *this, const engine_work_t *work);
/*
 * Returns whether copying from an engine with `source_prefill` uncached tokens
 * saves enough of `prefill` uncached tokens to be worth its setup cost.
 */
bool engine_copy_is_worthwhile(uint32_t prefill, uint32_t source_prefill);
/*
 * Returns the number of prefill tokens if tokens are copied from the source where
 * that is worth it.  A copied token counts as a quarter of a prefill token, as it
 * takes a quarter of the time.
 */
uint32_t engine_prefill_tokens_with_copy(
	const engine_t *this, const engine_work_t *work, uint32_t source_prefill);
/* Returns when the first token would arrive if the request began now. */
instant_t engine_first_token_at(
	const engine_t *this, const engine_work_t *work, uint32_t source_prefill, instant_t now);
/* Returns the time to the first token on an idle engine, without copying. */
uint64_t engine_idle_first_token_delay(const engine_t *this, const engine_work_t *work);
/* Returns the time that the engine needs to finish all pending prefills. */
uint64_t engine_prefill_backlog(const engine_t *this, instant_t now);
/* Returns whether one more prefill keeps the pauses of the running streams within the limit. */
bool engine_can_prefill(const engine_t *this, instant_t now);
/* Returns whether a slot and enough memory are free. */
bool engine_has_room(const engine_t *this, const engine_work_t *work);

/* Adds `request`, which the caller owns, until engine_end_request(). */
void engine_begin_request(engine_t *this, engine_request_t *request, const engine_work_t *work,
	uint32_t source_prefill, instant_t now);
/* Records that the first token has arrived; later calls for the same request do nothing. */
void engine_finish_prefill(engine_t *this, engine_request_t *request, instant_t now);
/*
 * Records that a stream of `answer` tokens took `duration` from its first token on, 0 if unknown,
 * and that `pause` was the longest time between two events; to be called before
 * engine_end_request().
 */
void engine_record_stream(engine_t *this, const engine_request_t *request, uint32_t answer,
	uint64_t duration, uint64_t pause, instant_t now);
/* See engine_speed_record_load(). */
void engine_record_load(engine_t *this, unsigned int percent, instant_t now);
/* Sets what to assume of its speed without samples, and what its last owner knew of it. */
void engine_set_speed_prior(engine_t *this, const engine_speed_prior_t *prior, instant_t now);
void engine_restore_speed(engine_t *this, const engine_speed_report_t *report, instant_t now);
void engine_end_request(engine_t *this, engine_request_t *request, instant_t now);

#endif
