#ifndef TESTS_MIXED_LOAD_H
#define TESTS_MIXED_LOAD_H
/*
 * mixed_load - long and short prompts on a simulated fleet whose engines read in chunks
 *
 * Some ninety engines, of which a quarter is two to three times as fast as the others, behind
 * eighty routers.  Sizes have a heavy tail.  What happens before the speeds of the engines are
 * known is not counted.
 */
#include "tests/fleet_sim.h"

#define MIXED_ROUTERS 80
#define MIXED_ENGINES 90
#define MIXED_SHORT_PROMPT 1500 /* tokens: smaller ones are short, ... */
#define MIXED_LONG_PROMPT 12000 /* ... and these are long */

typedef struct mixed_load {
	const char *name;
	/* Requests a second: a large file, a line of a talk, a few words on a page. */
	double digests;
	double chats;
	double tags;
	double all_alike; /* prompts of one size */
	bool equal_speeds;
	unsigned int engines; /* 0: MIXED_ENGINES */
	unsigned int cold;    /* engines that crash and come back with empty caches */
} mixed_load_t;

typedef struct mixed_count {
	unsigned int offered; /* attempts that have ended */
	unsigned int served;
	unsigned int in_aim;
	unsigned int late;   /* first token after the objective */
	unsigned int paused; /* the first token was in time, a later event was not */
} mixed_count_t;

typedef struct mixed_tally {
	bool counts;
	mixed_count_t beside; /* short ones, sent to engines that read a long one */
	mixed_count_t apart;  /* the other short ones that were served */
	mixed_count_t alike;
	mixed_count_t long_ones;
	mixed_count_t digests;
	mixed_count_t largest; /* tenth of the digests */
	mixed_count_t large;   /* the fifth below */
	unsigned int paused_in_vain;
	uint64_t steered; /* choices of an owner by the size of a prompt */
	GArray *sizes;	  /* fleet_result_t, of the digests */
} mixed_tally_t;

/* Plays the load for nine seeds and prints what came of it. */
mixed_tally_t mixed_load_play(const mixed_load_t *load);
double mixed_ratio(unsigned int part, unsigned int whole);

/* The shares in aim under a load while prompts were placed without regard to their size. */
typedef struct before {
	double short_ones;
	double long_ones;
} mixed_before_t;

/*
 * Plays the load and checks that short prompts beside long ones are in aim as often as others
 * within a twentieth, that both kinds are as often as before, and the largest at least half as
 * often.
 */
void mixed_load_check(const mixed_load_t *load, mixed_before_t before);

#endif
