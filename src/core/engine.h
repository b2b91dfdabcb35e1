#ifndef CORE_ENGINE_H
#define CORE_ENGINE_H
/*
 * engine - what the owner of a model engine knows of it: batch, memory, prompt cache, pace
 *
 * An engine reads prompts one after another, between the steps of what it
 * generates.  The model predicts when a request's first token would come, and
 * learns the pace from the first tokens that did come.  Tokens are counted;
 * spans are microseconds.
 */
#include <urcu/list.h>

#include "core/allocator.h"
#include "core/types.h"

#define ENGINE_MAX_PARTS 4
#define COPY_LEAST 512	      /* tokens, from which on copying is worth its beginning */
#define ENGINE_CACHE_SETS 256 /* of remembered chains of prompt parts, a power of two */
#define ENGINE_CACHE_WAYS 4
#define ENGINE_READINGS 16 /* of which the begin is remembered */

/* The shared parts of a prompt: entry i names the parts 0 to i. */
typedef struct prompt_chain {
	unsigned int count;
	uint64_t hash[ENGINE_MAX_PARTS];   /* odd */
	uint32_t tokens[ENGINE_MAX_PARTS]; /* of part i alone */
} prompt_chain_t;

typedef struct engine_work {
	uint32_t prompt;
	uint32_t answer; /* predicted */
	prompt_chain_t chain;
} engine_work_t;

/* One request in the engine, embedded in its owner's record. */
typedef struct engine_run {
	struct cds_list_head link; /* in the order of arrival */
	uint32_t unread;	   /* prompt tokens that were not cached */
	uint32_t memory;	   /* tokens that it will have occupied at its end */
	uint32_t own;		   /* of them, in no shared part */
	instant_t began;
	bool is_read; /* its first token has come */
} engine_run_t;

typedef struct cached_chain {
	uint64_t hash;
	uint32_t tokens;
	instant_t used;
} cached_chain_t;

typedef struct engine_limits {
	unsigned int slots;
	uint64_t token_memory;	/* 0: unknown */
	uint64_t longest_pause; /* between two events of a stream that is in time, 0: any */
} engine_limits_t;

/* A prompt that began to be read. */
typedef struct engine_reading {
	instant_t at;
	uint64_t span;
} engine_reading_t;

typedef struct engine {
	id_t32 id;
	engine_limits_t limits;
	struct cds_list_head runs;
	unsigned int running;
	unsigned int unread_runs;
	uint64_t memory;
	instant_t reads_until; /* when all prompts that it has will be read */
	instant_t read_at;     /* when the last first token came */
	double token_us;       /* to read a prompt token, as learnt */
	double first_us;       /* of a first token beyond reading, as learnt */
	cached_chain_t cache[ENGINE_CACHE_SETS][ENGINE_CACHE_WAYS]; /* hash 0: empty */
	uint64_t cache_tokens;
	uint64_t ended;
	engine_reading_t readings[ENGINE_READINGS]; /* a ring */
	unsigned int next_reading;
} engine_t;

void engine_init(engine_t *this, id_t32 id, const engine_limits_t *limits);
/* Tokens of the prompt that it would have to read. */
uint32_t engine_unread(const engine_t *this, const engine_work_t *work);
/* Copying what another engine has, all but `elsewhere` of it, is worth its beginning. */
bool engine_copy_pays(uint32_t unread, uint32_t elsewhere);
/* The same, counted in reading time, if another engine has all but `elsewhere` of it to copy. */
uint32_t engine_unread_with_copy(
	const engine_t *this, const engine_work_t *work, uint32_t elsewhere);
/* When the first token would come if the work began now. */
instant_t engine_first_at(
	const engine_t *this, const engine_work_t *work, uint32_t elsewhere, instant_t now);
/* The same, if the engine had nothing else to read. */
uint64_t engine_first_alone(const engine_t *this, const engine_work_t *work);
/* How long what it has to read will keep it. */
uint64_t engine_backlog(const engine_t *this, instant_t now);
/* One more prompt may be read without a pause too long in the streams beside it. */
bool engine_may_read(const engine_t *this, instant_t now);
/* A slot and memory are free. */
bool engine_has_room(const engine_t *this, const engine_work_t *work);

void engine_begin(engine_t *this, engine_run_t *run, const engine_work_t *work, uint32_t elsewhere,
	instant_t now);
/* The first token has come. */
void engine_read(engine_t *this, engine_run_t *run, instant_t now);
void engine_end(engine_t *this, engine_run_t *run, instant_t now);

#endif
