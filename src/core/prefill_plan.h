#ifndef CORE_PREFILL_PLAN_H
#define CORE_PREFILL_PLAN_H
/*
 * prefill_plan - which engine reads a prompt, by what its prefill costs others there and it itself
 *
 * An engine reads prompts one after another, so a short prompt waits behind a long one, and running
 * streams pause while a long one is read.  A short prompt goes elsewhere while an engine reads for
 * much longer than the prompt itself takes; longer ones wait there, so that they gather at the
 * engines that read long prompts anyway.  A prompt that would break the pauses of running streams
 * goes to engines that read it fast enough, or else to about the fastest, and waits for one until
 * it counts as late.
 *
 * Answers: mixed prompts with a heavy tail, floods of long or of short ones, engines of unequal
 * speed.  With prompts or engines all alike, with one engine or without running streams the answer
 * is the same for each engine.  Durations are in microseconds, speeds in nanoseconds a token.
 */
#include "core/engine.h"

/* Stands for the shortest prefill of all if a prompt is read at once wherever there is room. */
#define PREFILL_PLAN_ANY (UINT64_MAX / 2)

/*
 * Returns the time that the engine needs for the prompts sent to it.  Unlike with
 * engine_prefill_backlog(), a long prompt is taken to be read until its first token has come: its
 * prefill may have been predicted too short.
 */
uint64_t prefill_plan_backlog(const engine_t *engine, instant_t now);
/*
 * Returns the part of the backlog that makes a prompt wait for longer ones than itself: at most the
 * longest prefill that has not ended.
 */
uint64_t prefill_plan_reading(const engine_t *engine, uint64_t backlog);
/* Returns the engine's speed as its owner tells it to others: rounded, so that it changes rarely.
 */
uint32_t prefill_plan_token_ns(const engine_t *engine);
/* Returns the tokens that an engine reads that has none of the shared parts but may copy them. */
uint32_t prefill_plan_tokens(const engine_work_t *work);
/* Returns the time to read that many tokens, 0 when the speed is unknown. */
uint64_t prefill_plan_duration(uint32_t tokens, uint32_t token_ns);
/* Returns whether a prompt should go elsewhere while the engine reads others for `wait`. */
bool prefill_plan_goes_elsewhere(uint64_t own, uint64_t wait);
/*
 * Returns whether streams with pauses of up to `max_event_gap`, 0: any, bear a prefill of `own`, or
 * no other engine would read the prompt much faster; `fastest`: the shortest prefill of all.
 */
bool prefill_plan_is_bearable(uint64_t own, uint64_t fastest, uint64_t max_event_gap);
/* Returns the time that the engine takes to read the prompt, see engine.h for `source_prefill`. */
uint64_t prefill_plan_at(
	const engine_t *engine, const engine_work_t *work, uint32_t source_prefill);
/*
 * Returns whether the engine may read the prompt now: it has no running streams or they bear it,
 * and a long prompt can't overtake one that was sent there a moment ago.
 */
bool prefill_plan_suits(const engine_t *engine, const engine_work_t *work, uint32_t source_prefill,
	uint64_t fastest, instant_t now);

#endif
