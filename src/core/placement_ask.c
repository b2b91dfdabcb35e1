#include "core/placement_internal.h"

#define REPLY_TIMEOUT (25 * USEC_PER_MSEC) /* ten times a usual round trip */
#define MAX_OWNERS_TRIED 3	/* owners that are asked before a router starts work on its own */
#define MAX_CANDIDATES 3	/* engines on which a prompt's shared parts may stand */
#define UTILIZATION_NONE 1000.0 /* of an owner without a usable engine */
#define UTILIZATION_CALM 0.75	/* up to which no owner counts as fuller than another */
#define UTILIZATION_MARGIN 0.25 /* that an owner may be fuller where the shared parts were read */
#define UTILIZATION_RANK_STEP 0.05 /* less for each further place where they may have been */
#define UNOWNED_SHARE_DIVISOR 2	   /* of an even share of slots, used without an owner */

static uint64_t mix(uint64_t a, uint64_t b)
{
	uint64_t h = a * 0x9e3779b97f4a7c15ULL + b;

	h ^= h >> 32;
	h *= 0xd6e8feb86659fd93ULL;
	h ^= h >> 29;
	h *= 0x94d049bb133111ebULL;
	return h ^ (h >> 32);
}

static uint64_t next_random(placement_t *this)
{
	this->random = mix(this->random, 0x2545f4914f6cdd1dULL);
	return this->random;
}

/* --- asking ------------------------------------------------------------ */

bool placement_accepts_requests(const placement_t *this, unsigned int slot)
{
	const member_t *member = &this->members.list[slot];

	if (slot == 0)
		return !this->stopping;
	return member_is_alive(member) && !member->stopping && !this->peers[slot].unresponsive;
}

/* Taken places for each usable one; UTILIZATION_NONE where none is usable. */
double placement_utilization(placement_t *this, unsigned int slot, id_t32 pool, instant_t now)
{
	slot_usage_t usage = {0};
	const pool_usage_t *known;

	if (slot == 0) {
		usage = scheduler_usage(this->scheduler, pool, now);
	} else {
		known = placement_pool_usage(&this->peers[slot], pool);
		if (known)
			usage = known->usage;
	}
	return usage.slots ? (double)usage.taken / usage.slots : UTILIZATION_NONE;
}

/* The engines that rank first for the prompt, by rendezvous hashing. */
static unsigned int rank_engines(const placement_t *this, const place_request_t *request,
	uint64_t prefix, unsigned int *best)
{
	uint64_t scores[MAX_CANDIDATES];
	unsigned int count = 0;

	for (unsigned int i = 0; i < this->engine_count; i++) {
		const placement_engine_t *engine = &this->engines[i].engine;
		uint64_t score = mix(prefix, engine->id);
		unsigned int at;

		if (engine->pool != request->pool || !engine->usable)
			continue;
		for (at = count; at && scores[at - 1] < score; at--) {
			if (at < MAX_CANDIDATES) {
				scores[at] = scores[at - 1];
				best[at] = best[at - 1];
			}
		}
		if (at < MAX_CANDIDATES) {
			scores[at] = score;
			best[at] = i;
			count += count < MAX_CANDIDATES;
		}
	}
	return count;
}

bool placement_owns(const placement_t *this, unsigned int slot, id_t32 pool)
{
	for (unsigned int i = 0; i < this->engine_count; i++) {
		if (this->engines[i].owner == slot && this->engines[i].engine.pool == pool &&
			this->engines[i].engine.usable)
			return true;
	}
	return false;
}

/* The least full owner, -1 when none can be asked. */
static int least_utilized_owner(placement_t *this, id_t32 pool, instant_t now)
{
	unsigned int start = (unsigned int)(next_random(this) % this->members.count);
	int best = -1;
	double best_utilization = 0;

	for (unsigned int k = 0; k < this->members.count; k++) {
		unsigned int slot = (start + k) % this->members.count;
		double utilization;

		if (!placement_accepts_requests(this, slot) || !placement_owns(this, slot, pool))
			continue;
		utilization = placement_utilization(this, slot, pool, now);
		if (best >= 0 && utilization >= best_utilization)
			continue;
		best = (int)slot;
		best_utilization = utilization;
	}
	return best;
}

id_t32 placement_likely_source(
	const placement_t *this, const place_request_t *request, id_t32 engine)
{
	const prompt_chain_t *chain = &request->work.chain;
	unsigned int ranked[MAX_CANDIDATES];

	if (!chain->count || chain->tokens[chain->count - 1] < COPY_LEAST)
		return 0;
	if (!rank_engines(this, request, chain->hash[chain->count - 1], ranked) ||
		this->engines[ranked[0]].engine.id == engine)
		return 0;
	return this->engines[ranked[0]].engine.id;
}

/*
 * Whom to ask: the least full owner, unless one that has probably read the
 * prompt's shared parts is not much fuller.
 */
static int choose_owner(placement_t *this, const place_request_t *request, instant_t now)
{
	const prompt_chain_t *chain = &request->work.chain;
	uint64_t prefix = chain->count ? chain->hash[chain->count - 1] : 0;
	unsigned int ranked[MAX_CANDIDATES];
	unsigned int count = prefix ? rank_engines(this, request, prefix, ranked) : 0;
	int best = least_utilized_owner(this, request->pool, now);
	double least =
		best < 0 ? 0 : placement_utilization(this, (unsigned int)best, request->pool, now);
	double bound = (least < UTILIZATION_CALM ? UTILIZATION_CALM : least) + UTILIZATION_MARGIN;

	if (least < UTILIZATION_FREE && bound > UTILIZATION_FREE)
		bound = UTILIZATION_FREE;
	for (unsigned int i = 0; i < count; i++) {
		unsigned int owner = this->engines[ranked[i]].owner;

		if (placement_accepts_requests(this, owner) &&
			placement_utilization(this, owner, request->pool, now) <=
				bound - i * UTILIZATION_RANK_STEP)
			return (int)owner;
	}
	return best;
}

void placement_unlink(place_request_t *request)
{
	cds_list_del(&request->link);
	request->state = PLACE_NONE;
}

void placement_start(placement_t *this, place_request_t *request, id_t32 engine, unsigned int owner)
{
	placement_action_t action = {.kind = PLACEMENT_START, .request = request, .engine = engine};
	engine_state_t *view = placement_find_engine(this, engine);

	if (request->state != PLACE_NONE)
		cds_list_del(&request->link);
	cds_list_add_tail(&request->link, &this->running);
	request->state = PLACE_GIVEN;
	request->engine = engine;
	request->owner = owner;
	if (view)
		view->running_here++;
	placement_push_action(this, &action);
}

bool placement_has_usable_engine(const placement_t *this, id_t32 pool)
{
	for (unsigned int i = 0; i < this->engine_count; i++) {
		if (this->engines[i].engine.pool == pool && this->engines[i].engine.usable)
			return true;
	}
	return false;
}

void placement_reject(placement_t *this, place_request_t *request, uint32_t retry_after_ms)
{
	placement_action_t action = {
		.kind = PLACEMENT_REJECT, .request = request, .retry_after_ms = retry_after_ms};

	if (request->state != PLACE_NONE)
		placement_unlink(request);
	action.no_engine = !placement_has_usable_engine(this, request->pool);
	placement_push_action(this, &action);
}

/* No owner gave word: the engine with the least of ours, within a part of an even share. */
static void start_on_own(placement_t *this, place_request_t *request, instant_t now)
{
	unsigned int routers = members_expected(&this->members);
	engine_state_t *best = NULL;
	unsigned int share;

	for (unsigned int i = 0; i < this->engine_count; i++) {
		engine_state_t *view = &this->engines[i];

		if (view->engine.pool != request->pool || !view->engine.usable ||
			view->engine.id == request->avoid)
			continue;
		if (!best || view->running_here < best->running_here)
			best = view;
	}
	share = best ? best->engine.limits.slots / (UNOWNED_SHARE_DIVISOR * (routers ? routers : 1))
		     : 0;
	if (!best || best->running_here > share) {
		placement_reject(this, request, 0);
		return;
	}
	this->stats.on_own++;
	request->on_own = true;
	request->ticket = ++this->next_ticket;
	placement_start(this, request, best->engine.id, best->owner);
	placement_report_slot(this, request, now);
}

note_t placement_request_entry(const place_request_t *request)
{
	return (note_t){
		.kind = NOTE_ASK,
		.ask =
			{
				.ticket = request->ticket,
				.pool = request->pool,
				.workspace = request->workspace,
				.avoid = request->avoid,
				.subject = request->subject,
				.work = request->work,
				.first_by = request->first_by,
				.deadline = request->deadline,
				.is_late = request->is_late,
				.insists = request->asks >= MAX_OWNERS_TRIED,
			},
	};
}

static void send_request(
	placement_t *this, place_request_t *request, unsigned int owner, instant_t now)
{
	note_t note;
	pool_usage_t *usage;

	request->ticket = ++this->next_ticket;
	request->owner = owner;
	request->resend_at = now + RESEND_INTERVAL;
	note = placement_request_entry(request);
	this->stats.asks++;
	if (owner == 0) {
		request->state = PLACE_WAITING;
		scheduler_ask(this->scheduler, 0, &note.ask, now);
		return;
	}
	request->state = PLACE_ASKED;
	request->reply_by = now + REPLY_TIMEOUT;
	usage = placement_pool_usage(&this->peers[owner], request->pool);
	if (usage)
		usage->usage.taken++;
	placement_queue_entry(this, owner, &note, now);
}

void placement_send_request(placement_t *this, place_request_t *request, instant_t now)
{
	int owner = request->asks < MAX_OWNERS_TRIED ? choose_owner(this, request, now) : -1;

	if (request->state != PLACE_NONE)
		placement_unlink(request);
	if (owner < 0) {
		start_on_own(this, request, now);
		return;
	}
	request->asks++;
	cds_list_add_tail(&request->link, &this->pending);
	send_request(this, request, (unsigned int)owner, now);
}

void placement_withdraw(placement_t *this, unsigned int slot, uint64_t ticket, instant_t now)
{
	note_t note = {.kind = NOTE_WITHDRAW, .ticket = ticket};

	if (slot == 0)
		scheduler_withdraw(this->scheduler, 0, ticket, now);
	else
		placement_queue_entry(this, slot, &note, now);
}

void placement_release_slot(placement_t *this, place_request_t *request)
{
	engine_state_t *view = placement_find_engine(this, request->engine);

	if (view)
		view->running_here -= view->running_here > 0;
	placement_unlink(request);
}
