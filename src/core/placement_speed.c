#include "core/placement_internal.h"

#include <math.h>
#include <stdlib.h>

/* An owner tells the speed of an engine again when it has changed by this ratio, ... */
#define TELL_RATIO 1.3
/* ... and now and then, as a message may be lost and routers start. */
#define TELL_INTERVAL (4 * USEC_PER_SEC)
/* The engines of a pool differ when one in so many does: a few that do are at fault, or new. */
#define DIFFERENT_DIVISOR 8
#define MIN_SAMPLES 10.0 /* that an engine's speed is based on before it is told */
#define MAX_WEIGHT 8.0
/* A fast engine gets more than its part: a long prompt delays the streams beside it less there. */
#define WEIGHT_EXPONENT 1.5
#define NSEC_PER_USEC 1000.0

static bool has_changed(const engine_speed_report_t *now, const engine_speed_report_t *told)
{
	for (unsigned int i = 0; i < ENGINE_SPEED_KINDS; i++) {
		if (now->time[i] > told->time[i] * TELL_RATIO ||
			now->time[i] * TELL_RATIO < told->time[i])
			return true;
	}
	return false;
}

/* --- what the owners tell ------------------------------------------------ */

/* Makes the speed that is known of the engine due to all other routers. */
static void tell_all(placement_t *this, engine_state_t *state)
{
	state->speed_serial = ++this->speed_serial;
}

static void update_own(placement_t *this, engine_state_t *state, instant_t now)
{
	const engine_t *model = scheduler_engine(this->scheduler, state->engine.id);
	engine_speed_report_t report;
	bool changed;

	if (!model)
		return;
	report = engine_speed_report(&model->speed, now);
	changed = has_changed(&report, &state->speed);
	if (report.samples < MIN_SAMPLES || (!changed && now < state->speed_at + TELL_INTERVAL))
		return;
	if (changed || !state->speed_at)
		state->speed = report;
	state->speed.samples = report.samples;
	state->speed.age = report.age;
	state->speed_at = now;
	tell_all(this, state);
	if (changed && this->options.on_speed)
		this->options.on_speed(this->options.ctx, state->engine.id, &state->speed);
}

static engine_speed_report_t known_speed(const engine_state_t *state, instant_t now)
{
	engine_speed_report_t report = state->speed;

	report.age += now - state->speed_at;
	return report;
}

void placement_take_over_speed(
	placement_t *this, engine_state_t *state, bool was_owner, instant_t now)
{
	engine_speed_report_t report = known_speed(state, now);

	if (!state->speed_at)
		return;
	if (state->owner == 0)
		scheduler_restore_speed(this->scheduler, state->engine.id, &report, now);
	else if (was_owner)
		tell_all(this, state);
}

bool placement_next_speed(
	placement_t *this, unsigned int slot, message_entry_t *entry, instant_t now)
{
	peer_state_t *peer = &this->peers[slot];
	const engine_state_t *next = NULL;
	engine_speed_report_t speed;

	if (peer->speed_serial == this->speed_serial)
		return false;
	for (unsigned int i = 0; i < this->engine_count; i++) {
		const engine_state_t *state = &this->engines[i];

		if (state->speed_serial > peer->speed_serial &&
			(!next || state->speed_serial < next->speed_serial))
			next = state;
	}
	if (!next) {
		peer->speed_serial = this->speed_serial;
		return false;
	}
	peer->speed_serial = next->speed_serial;
	speed = known_speed(next, now);
	*entry = (message_entry_t){.kind = ENTRY_ENGINE_STATE,
		.engine = next->engine.id,
		.engine_state = {
			.prefill_token_ns =
				(uint32_t)(speed.time[ENGINE_SPEED_PREFILL] * NSEC_PER_USEC),
			.decode_step_us = (uint32_t)speed.time[ENGINE_SPEED_STEP],
			.speed_samples = (uint32_t)speed.samples,
			.speed_age = speed.age,
		}};
	return true;
}

void placement_handle_speed(
	placement_t *this, unsigned int slot, const message_entry_t *entry, instant_t now)
{
	const engine_state_report_t *report = &entry->engine_state;
	engine_state_t *state = placement_find_engine(this, entry->engine);

	if (!state || !report->speed_samples)
		return;
	state->speed = (engine_speed_report_t){
		.time[ENGINE_SPEED_PREFILL] = report->prefill_token_ns / NSEC_PER_USEC,
		.time[ENGINE_SPEED_STEP] = report->decode_step_us,
		.samples = report->speed_samples,
		.age = report->speed_age,
	};
	state->speed_at = now;
	if (state->owner == 0)
		scheduler_restore_speed(this->scheduler, state->engine.id, &state->speed, now);
}

/* --- what the engines of a pool need in the median ------------------------- */

static int compare(const void *a, const void *b)
{
	double left = *(const double *)a;
	double right = *(const double *)b;

	return left < right ? -1 : left > right;
}

static double median_time(const placement_t *this, id_t32 pool, engine_speed_kind_t kind)
{
	double times[MAX_MEDIAN_ENGINES];
	unsigned int count = 0;

	for (unsigned int i = 0; i < this->engine_count && count < MAX_MEDIAN_ENGINES; i++) {
		const engine_state_t *state = &this->engines[i];

		if (state->engine.pool == pool && state->speed.time[kind])
			times[count++] = state->speed.time[kind];
	}
	if (!count)
		return 0;
	qsort(times, count, sizeof(times[0]), compare);
	return times[count / 2];
}

/* By the engine's time in relation to the pool's median; 1 for about the same. */
static double weight_of(const engine_state_t *state, const engine_speed_prior_t *median)
{
	double sum = 0;
	unsigned int known = 0;
	double ratio;

	/* Plain requests have no homes, and only the owner knows their time. */
	for (unsigned int i = 0; i < ENGINE_SPEED_PLAIN; i++) {
		if (!state->speed.time[i] || !median->time[i])
			continue;
		sum += log(state->speed.time[i] / median->time[i]);
		known++;
	}
	ratio = known ? exp(sum / known) : 1;
	if (ratio < ENGINE_SPEED_MIN_RATIO && ratio * ENGINE_SPEED_MIN_RATIO > 1)
		return 1;
	return fmax(fmin(pow(ratio, -WEIGHT_EXPONENT), MAX_WEIGHT), 1 / MAX_WEIGHT);
}

/* Sets the weights of the pool's engines; returns whether enough of them differ to count. */
static bool weigh_engines(placement_t *this, id_t32 pool, const engine_speed_prior_t *median)
{
	unsigned int known = 0;
	unsigned int different = 0;

	for (unsigned int i = 0; i < this->engine_count; i++) {
		engine_state_t *state = &this->engines[i];

		if (state->engine.pool != pool)
			continue;
		state->weight = weight_of(state, median);
		known += state->speed_at != 0;
		different += state->weight != 1;
	}
	return different && different * DIFFERENT_DIVISOR >= known;
}

static void reset_weights(placement_t *this, id_t32 pool)
{
	for (unsigned int i = 0; i < this->engine_count; i++) {
		if (this->engines[i].engine.pool == pool)
			this->engines[i].weight = 1;
	}
}

static void update_pool(placement_t *this, id_t32 pool, instant_t now)
{
	engine_speed_prior_t median = {
		.time[ENGINE_SPEED_PREFILL] = median_time(this, pool, ENGINE_SPEED_PREFILL),
		.time[ENGINE_SPEED_STEP] = median_time(this, pool, ENGINE_SPEED_STEP),
		.time[ENGINE_SPEED_PLAIN] = median_time(this, pool, ENGINE_SPEED_PLAIN),
	};

	median.differ = weigh_engines(this, pool, &median);
	if (!median.differ)
		reset_weights(this, pool);
	this->speeds_differ |= median.differ;
	scheduler_set_speed_prior(this->scheduler, pool, &median, now);
}

unsigned int placement_unequal_engines(const placement_t *this)
{
	unsigned int count = 0;

	for (unsigned int i = 0; i < this->engine_count; i++)
		count += this->engines[i].weight != 1;
	return count;
}

void placement_update_speeds(placement_t *this, instant_t now)
{
	const peer_state_t *own = &this->peers[0];

	for (unsigned int i = 0; i < this->engine_count; i++) {
		if (this->engines[i].owner == 0)
			update_own(this, &this->engines[i], now);
	}
	this->speeds_differ = false;
	for (unsigned int i = 0; i < own->usage_count; i++)
		update_pool(this, own->usages[i].pool, now);
}
