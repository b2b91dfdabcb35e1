#include "core/placement_internal.h"

#include <math.h>
#include <string.h>

#define REPLY_TIMEOUT (25 * USEC_PER_MSEC)    /* ten times a typical round trip */
#define MAX_OWN_DELAY (500 * USEC_PER_MSEC)   /* most that our own slowness adds to it */
#define MAX_REPLY_DELAY (200 * USEC_PER_MSEC) /* most that an owner's slowness adds to it */
#define REPLY_DELAY_DECAY 8 /* part by which the known delay approaches a shorter one */
#define MAX_REDIRECTS 2	    /* after which an owner has to queue the request */
/* A router whose turns take longer has its requests queued at once: a redirect costs it a turn. */
#define SLOW_TURN (50 * USEC_PER_MSEC)
#define MAX_OWNERS_TRIED 10	/* before a request is refused that no owner has decided on */
#define MAX_CANDIDATES 3	/* engines that may have cached the shared parts of a prompt */
#define UTILIZATION_NONE 1000.0 /* stands for an owner without a usable engine */
/* Differences between owners count only above this utilization. */
#define UTILIZATION_LOW 0.75
/* How much more utilized an owner may be whose engine has probably cached the shared parts, ... */
#define UTILIZATION_MARGIN 0.25
/* ... less this for each rank of the engine among the candidates. */
#define UTILIZATION_RANK_STEP 0.05
/* A reply delay of this much counts like the use of all slots. */
#define DELAY_OF_FULL_OWNER (400 * USEC_PER_MSEC)
/* Without grants, a router's share of an engine's slots is its even share divided by this. */
#define WITHOUT_GRANT_SHARE_DIVISOR 2

#define HASH_RANGE 18446744073709551616.0 /* 2^64 */

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

/* --- choice of the owner ------------------------------------------------ */

bool placement_accepts_requests(const placement_t *this, unsigned int slot)
{
	const member_t *member = &this->members.list[slot];

	if (slot == 0)
		return !this->stopping;
	return member_is_alive(member) && !member->stopping && !this->peers[slot].unresponsive;
}

double placement_utilization(placement_t *this, unsigned int slot, id_t32 pool, instant_t now)
{
	slot_usage_t usage = {0};
	const pool_usage_t *known;

	if (slot == 0) {
		usage = scheduler_usage(this->scheduler, pool, now);
	} else {
		known = placement_pool_usage(&this->peers[slot], pool);
		if (known)
			usage = known->received;
	}
	return usage.slots ? (double)usage.taken / usage.slots : UTILIZATION_NONE;
}

static engine_need_t need_of(const placement_request_t *request)
{
	return (engine_need_t){request->pool, request->version, &request->regions};
}

bool placement_engine_fits(const placement_engine_t *engine, const engine_need_t *need)
{
	return engine->pool == need->pool && engine->usable &&
	       (!need->version || engine->version == need->version) &&
	       (!need->regions || region_set_allows(need->regions, engine->region));
}

static bool fits(const placement_engine_t *engine, const placement_request_t *request)
{
	engine_need_t need = need_of(request);

	return placement_engine_fits(engine, &need);
}

bool placement_may_use(
	const engine_state_t *state, const placement_request_t *request, instant_t now)
{
	return fits(&state->engine, request) && state->paused_until <= now;
}

/*
 * The engine's score for the prefix.  A faster engine wins as many more prefixes as its weight
 * says, and when a weight changes, only prefixes of that engine move.
 */
static double score_of(const placement_t *this, const engine_state_t *state, uint64_t prefix)
{
	uint64_t hash = mix(prefix, state->engine.id);

	return this->speeds_differ ? -state->weight / log(((double)hash + 0.5) / HASH_RANGE)
				   : (double)hash;
}

/*
 * Finds the indexes of the engines that rank first for the prefix, by rendezvous hashing; with
 * `steering` only of those whose streams bear the prompt.
 */
static unsigned int rank_engines(const placement_t *this, const placement_request_t *request,
	uint64_t prefix, const steering_t *steering, instant_t now, unsigned int *best)
{
	double scores[MAX_CANDIDATES];
	unsigned int count = 0;

	for (unsigned int i = 0; i < this->engine_count; i++) {
		const placement_engine_t *engine = &this->engines[i].engine;
		double score;
		unsigned int rank;

		if (!fits(engine, request) ||
			(steering && !placement_bears_prompt(
					     this, this->engines[i].owner, steering, now)))
			continue;
		score = score_of(this, &this->engines[i], prefix);
		for (rank = count; rank && scores[rank - 1] < score; rank--) {
			if (rank < MAX_CANDIDATES) {
				scores[rank] = scores[rank - 1];
				best[rank] = best[rank - 1];
			}
		}
		if (rank < MAX_CANDIDATES) {
			scores[rank] = score;
			best[rank] = i;
			count += count < MAX_CANDIDATES;
		}
	}
	return count;
}

bool placement_owns(const placement_t *this, unsigned int slot, const engine_need_t *need)
{
	for (unsigned int i = 0; i < this->engine_count; i++) {
		if (this->engines[i].owner == slot &&
			placement_engine_fits(&this->engines[i].engine, need))
			return true;
	}
	return false;
}

/* Notes which members own an engine that this router may send the request to. */
static void find_owners(const placement_t *this, const placement_request_t *request, instant_t now,
	bool owners[MEMBER_MAX])
{
	memset(owners, 0, this->members.count * sizeof(*owners));
	for (unsigned int i = 0; i < this->engine_count; i++) {
		const engine_state_t *state = &this->engines[i];

		if (state->owner < this->members.count && placement_may_use(state, request, now))
			owners[state->owner] = true;
	}
}

/* The owner's utilization, and more for one that replies late: it is busy, whatever it reports. */
static double owner_load(placement_t *this, unsigned int slot, id_t32 pool, instant_t now)
{
	uint64_t delay = this->peers[slot].reply_delay;
	double load = placement_utilization(this, slot, pool, now);

	return delay > REPLY_TIMEOUT ? load + (double)delay / DELAY_OF_FULL_OWNER : load;
}

/* The owner's load for this request: more where its prompt would wait or make others wait. */
static double steered_load(
	placement_t *this, unsigned int slot, steering_t *steering, instant_t now)
{
	return placement_steered_load(
		this, slot, steering, owner_load(this, slot, steering->pool, now), now);
}

/* Returns the owner with the lowest load, a random one among equals; -1: none. */
static int least_loaded_owner(
	placement_t *this, const placement_request_t *request, steering_t *steering, instant_t now)
{
	unsigned int start = (unsigned int)(next_random(this) % this->members.count);
	int best = -1;
	double best_load = 0;
	bool owners[MEMBER_MAX];

	find_owners(this, request, now, owners);
	for (unsigned int k = 0; k < this->members.count; k++) {
		unsigned int slot = (start + k) % this->members.count;
		double load;

		if (!owners[slot] || !placement_accepts_requests(this, slot))
			continue;
		load = steered_load(this, slot, steering, now);
		if (best >= 0 && load >= best_load)
			continue;
		best = (int)slot;
		best_load = load;
	}
	return best;
}

static uint32_t shared_tokens(const prompt_chain_t *chain)
{
	uint32_t tokens = 0;

	for (unsigned int i = 0; i < chain->count; i++)
		tokens += chain->tokens[i];
	return tokens;
}

/* The engine on which this router last ran a prompt with all the shared parts, if it still may. */
static id_t32 known_place(
	const placement_t *this, const placement_request_t *request, instant_t now)
{
	const prompt_chain_t *chain = &request->work.chain;
	id_t32 id = part_places_find(&this->places, chain->hash[chain->count - 1], now);
	const engine_state_t *state = id ? placement_find_engine(this, id) : NULL;

	return state && fits(&state->engine, request) ? id : 0;
}

id_t32 placement_likely_source(
	const placement_t *this, const placement_request_t *request, id_t32 engine, instant_t now)
{
	const prompt_chain_t *chain = &request->work.chain;
	unsigned int ranked[MAX_CANDIDATES];
	id_t32 source;

	if (!chain->count || shared_tokens(chain) < ENGINE_COPY_MIN_TOKENS)
		return 0;
	source = known_place(this, request, now);
	if (!source &&
		rank_engines(this, request, chain->hash[chain->count - 1], NULL, now, ranked))
		source = this->engines[ranked[0]].engine.id;
	return source == engine ? 0 : source;
}

static void record_places(placement_t *this, const placement_request_t *request, instant_t now)
{
	const prompt_chain_t *chain = &request->work.chain;

	for (unsigned int i = 0; i < chain->count; i++)
		part_places_record(&this->places, chain->hash[i], request->engine, now);
}

/*
 * Chooses the owner with the lowest load, unless an owner whose engine has
 * probably cached the shared parts of the prompt is not much more loaded.
 * Returns -1 when no owner accepts requests.
 */
static int choose_owner(placement_t *this, const placement_request_t *request, instant_t now)
{
	const prompt_chain_t *chain = &request->work.chain;
	uint64_t prefix = chain->count ? chain->hash[chain->count - 1] : 0;
	unsigned int ranked[MAX_CANDIDATES];
	steering_t steering = placement_steering(this, request, now);
	unsigned int count =
		prefix ? rank_engines(this, request, prefix, &steering, now, ranked) : 0;
	int best = least_loaded_owner(this, request, &steering, now);
	double lowest = best < 0 ? 0 : steered_load(this, (unsigned int)best, &steering, now);
	double bound = (lowest < UTILIZATION_LOW ? UTILIZATION_LOW : lowest) + UTILIZATION_MARGIN;

	placement_count_steered(this, &steering, lowest);
	if (lowest < UTILIZATION_FREE && bound > UTILIZATION_FREE)
		bound = UTILIZATION_FREE;
	for (unsigned int i = 0; i < count; i++) {
		unsigned int owner = this->engines[ranked[i]].owner;

		if (placement_accepts_requests(this, owner) &&
			placement_may_use(&this->engines[ranked[i]], request, now) &&
			steered_load(this, owner, &steering, now) <=
				bound - i * UTILIZATION_RANK_STEP)
			return (int)owner;
	}
	return best;
}

/* Whether others own engines for the request, and none of them accepts requests. */
static bool is_cut_off(const placement_t *this, const placement_request_t *request, instant_t now)
{
	bool others = false;

	for (unsigned int i = 0; i < this->engine_count; i++) {
		unsigned int owner = this->engines[i].owner;

		if (!owner || !placement_may_use(&this->engines[i], request, now))
			continue;
		if (owner < this->members.count && placement_accepts_requests(this, owner))
			return false;
		others = true;
	}
	return others;
}

/* Returns the owner to ask; -1: none, the request may be started without a grant. */
static int next_owner(placement_t *this, const placement_request_t *request, instant_t now)
{
	int owner = choose_owner(this, request, now);

	if (owner == 0 && placement_utilization(this, 0, request->pool, now) >= 1 &&
		is_cut_off(this, request, now))
		return -1;
	return owner;
}

static struct cds_list_head *backlog_bucket(placement_t *this, const placement_request_t *request)
{
	return &this->backlogs[mix(request->pool, request->workspace) % BACKLOG_BUCKETS];
}

backlog_t *placement_backlog(placement_t *this, const placement_request_t *request)
{
	struct cds_list_head *bucket = backlog_bucket(this, request);
	backlog_t *backlog;

	cds_list_for_each_entry (backlog, bucket, link) {
		if (backlog->pool == request->pool && backlog->workspace == request->workspace)
			return backlog;
	}
	backlog = allocator_new(this->allocator, 1, sizeof(*backlog));
	backlog_init(backlog, request->pool, request->workspace);
	cds_list_add(&backlog->link, bucket);
	return backlog;
}

placement_request_t *placement_find_request(
	const placement_t *this, unsigned int owner, uint64_t ticket)
{
	placement_request_t *request;

	cds_list_for_each_entry (request, &this->tickets[ticket % TICKET_BUCKETS], ticket_link) {
		if (request->ticket == ticket && request->owner == owner)
			return request;
	}
	return NULL;
}

/* Adds the request, which has a ticket, to the pending or the running ones. */
static void enter_list(placement_t *this, placement_request_t *request, struct cds_list_head *list)
{
	cds_list_add_tail(&request->link, list);
	cds_list_add(&request->ticket_link, &this->tickets[request->ticket % TICKET_BUCKETS]);
}

/* Leaves the request in its workspace's backlog. */
static void leave_list(placement_request_t *request)
{
	cds_list_del(&request->link);
	cds_list_del(&request->ticket_link);
	request->state = PLACEMENT_NONE;
}

void placement_unlink(placement_request_t *request)
{
	leave_list(request);
	backlog_remove(&request->backlog_entry);
}

void placement_start(placement_t *this, placement_request_t *request, id_t32 engine,
	unsigned int owner, instant_t now)
{
	placement_action_t action = {.kind = PLACEMENT_START, .request = request, .engine = engine};
	engine_state_t *state = placement_find_engine(this, engine);

	if (request->state != PLACEMENT_NONE)
		leave_list(request);
	backlog_record_grant(placement_backlog(this, request), now);
	backlog_remove(&request->backlog_entry);
	enter_list(this, request, &this->running);
	request->state = PLACEMENT_GRANTED;
	request->engine = engine;
	request->owner = owner;
	request->started_at = now;
	record_places(this, request, now);
	if (state)
		state->running_here++;
	placement_push_action(this, &action);
}

bool placement_has_usable_engine(const placement_t *this, const placement_request_t *request)
{
	for (unsigned int i = 0; i < this->engine_count; i++) {
		if (fits(&this->engines[i].engine, request))
			return true;
	}
	return false;
}

void placement_reject(placement_t *this, placement_request_t *request, uint32_t retry_after_ms)
{
	placement_action_t action = {
		.kind = PLACEMENT_REJECT, .request = request, .retry_after_ms = retry_after_ms};

	if (request->state != PLACEMENT_NONE)
		leave_list(request);
	backlog_remove(&request->backlog_entry);
	action.no_engine = !placement_has_usable_engine(this, request);
	placement_push_action(this, &action);
}

/* Time until the first engine may be used again, if all that the request fits are paused; else 0.
 */
static uint32_t pause_left_ms(
	const placement_t *this, const placement_request_t *request, instant_t now)
{
	instant_t until = INSTANT_NEVER;

	for (unsigned int i = 0; i < this->engine_count; i++) {
		const engine_state_t *state = &this->engines[i];

		if (fits(&state->engine, request))
			until = instant_min(until, state->paused_until);
	}
	return until == INSTANT_NEVER ? 0 : (uint32_t)(instant_left(until, now) / USEC_PER_MSEC);
}

/* When the caller of a request that this router refuses itself may come back, in ms. */
static uint32_t own_retry_after_ms(
	placement_t *this, const placement_request_t *request, instant_t now)
{
	uint32_t pause = pause_left_ms(this, request, now);

	return pause ? pause
		     : grant_rate_retry_after(&placement_backlog(this, request)->grants, now);
}

/* An engine that is paused, for the owner to avoid: it does not know of the pause; 0: none. */
static id_t32 paused_engine(
	const placement_t *this, const placement_request_t *request, instant_t now)
{
	for (unsigned int i = 0; i < this->engine_count; i++) {
		const engine_state_t *state = &this->engines[i];

		if (state->engine.pool == request->pool && state->paused_until > now)
			return state->engine.id;
	}
	return 0;
}

/* Returns how many requests of the pool this router may run without a grant. */
static unsigned int slots_without_grant(const placement_t *this, id_t32 pool, unsigned int routers)
{
	engine_need_t need = {.pool = pool};
	unsigned int slots = 0;
	unsigned int share;

	for (unsigned int i = 0; i < this->engine_count; i++) {
		const placement_engine_t *engine = &this->engines[i].engine;

		if (placement_engine_fits(engine, &need))
			slots += engine->limits.slots;
	}
	share = slots / (WITHOUT_GRANT_SHARE_DIVISOR * routers);
	return share ? share : 1;
}

static unsigned int running_without_grant(const placement_t *this, id_t32 pool)
{
	const placement_request_t *request;
	unsigned int running = 0;

	cds_list_for_each_entry (request, &this->running, link)
		running += request->without_grant && request->pool == pool;
	return running;
}

/*
 * Starts the request without a grant, as no owner replied, on the engine that runs
 * the fewest of our requests; rejects it when our share of that engine, or of all, is in use.
 */
static void start_without_grant(placement_t *this, placement_request_t *request, instant_t now)
{
	unsigned int routers = members_expected(&this->members);
	engine_state_t *best = NULL;
	unsigned int share;

	if (!routers)
		routers = 1;
	for (unsigned int i = 0; i < this->engine_count; i++) {
		engine_state_t *state = &this->engines[i];

		if (!placement_may_use(state, request, now) || state->engine.id == request->avoid ||
			!rate_limit_allows(&state->rate_limit, now) ||
			!placement_pace_allows(this, state, now))
			continue;
		if (!best || state->running_here < best->running_here)
			best = state;
	}
	share = best ? best->engine.limits.slots / (WITHOUT_GRANT_SHARE_DIVISOR * routers) : 0;
	if (!best || best->running_here > share ||
		running_without_grant(this, request->pool) >=
			slots_without_grant(this, request->pool, routers)) {
		placement_reject(this, request, own_retry_after_ms(this, request, now));
		return;
	}
	placement_count_rate(this, best, now);
	placement_count_warm_up(this, best, now);
	this->stats.without_grant++;
	request->without_grant = true;
	scheduler_charge(this->scheduler, request->pool, request->workspace,
		engine_work_cost(&request->work), now);
	request->ticket = ++this->next_ticket;
	placement_start(this, request, best->engine.id, best->owner, now);
	placement_report_slot(this, request, now);
}

message_entry_t placement_request_entry(
	const placement_t *this, const placement_request_t *request, instant_t now)
{
	return (message_entry_t){
		.kind = ENTRY_SLOT_REQUEST,
		.slot_request =
			{
				.ticket = request->ticket,
				.pool = request->pool,
				.workspace = request->workspace,
				.avoid = request->avoid ? request->avoid
							: paused_engine(this, request, now),
				.request_fingerprint = request->request_fingerprint,
				.work = request->work,
				.first_token_deadline = request->first_token_deadline,
				.deadline = request->deadline,
				.version = request->version,
				.regions = request->regions,
				.is_late = request->is_late,
				.must_queue = request->owners_tried > MAX_REDIRECTS ||
					      this->own_delay > SLOW_TURN,
			},
	};
}

/* The request may wait for the end of one turn of our loop, and its reply for that of another. */
static uint64_t own_delay(const placement_t *this)
{
	return instant_min(2 * this->own_delay, MAX_OWN_DELAY);
}

static void send_request(
	placement_t *this, placement_request_t *request, unsigned int owner, instant_t now)
{
	message_entry_t entry;
	pool_usage_t *usage;

	request->ticket = ++this->next_ticket;
	enter_list(this, request, &this->pending);
	request->owner = owner;
	request->resend_at = now + RESEND_INTERVAL;
	entry = placement_request_entry(this, request, now);
	this->stats.slot_requests++;
	if (owner == 0) {
		request->state = PLACEMENT_QUEUED;
		scheduler_request_slot(this->scheduler, 0, &entry.slot_request, now);
		return;
	}
	request->state = PLACEMENT_REQUESTED;
	request->asked_at = now;
	request->reply_by = now + REPLY_TIMEOUT + own_delay(this) + this->peers[owner].reply_delay;
	this->next_pending_check = instant_min(this->next_pending_check, request->reply_by);
	usage = placement_pool_usage(&this->peers[owner], request->pool);
	if (usage)
		usage->received.taken++;
	placement_queue_entry(this, owner, &entry, now);
}

void placement_record_reply(placement_t *this, const placement_request_t *request, instant_t now)
{
	uint64_t *delay = &this->peers[request->owner].reply_delay;
	uint64_t taken = now - request->asked_at;

	taken -= instant_min(taken, own_delay(this));
	if (taken > *delay)
		*delay = instant_min(taken, MAX_REPLY_DELAY);
	else
		*delay -= (*delay - taken) / REPLY_DELAY_DECAY;
}

void placement_record_timeout(placement_t *this, const placement_request_t *request)
{
	peer_state_t *owner = &this->peers[request->owner];

	this->stats.unanswered++;
	owner->unresponsive = true;
	owner->reply_delay =
		instant_min(2 * instant_max(owner->reply_delay, REPLY_TIMEOUT), MAX_REPLY_DELAY);
}

/* Whether it is too late to ask one more owner for a request that several did not decide on. */
static bool is_given_up(const placement_request_t *request, instant_t now)
{
	instant_t until = request->was_started ? request->deadline : request->first_token_deadline;

	return request->owners_tried > MAX_REDIRECTS &&
	       (request->owners_tried >= MAX_OWNERS_TRIED || now >= until);
}

void placement_send_request(placement_t *this, placement_request_t *request, instant_t now)
{
	int owner = next_owner(this, request, now);

	if (request->state != PLACEMENT_NONE)
		leave_list(request);
	if (owner < 0) {
		start_without_grant(this, request, now);
		return;
	}
	if (is_given_up(request, now)) {
		placement_reject(this, request, own_retry_after_ms(this, request, now));
		return;
	}
	request->owners_tried++;
	backlog_add(placement_backlog(this, request), &request->backlog_entry, now);
	send_request(this, request, (unsigned int)owner, now);
}

void placement_withdraw(placement_t *this, unsigned int slot, uint64_t ticket, instant_t now)
{
	message_entry_t entry = {.kind = ENTRY_WITHDRAWAL, .ticket = ticket};

	if (slot == 0)
		scheduler_withdraw(this->scheduler, 0, ticket, now);
	else
		placement_queue_entry(this, slot, &entry, now);
}

void placement_release_slot(placement_t *this, placement_request_t *request)
{
	engine_state_t *state = placement_find_engine(this, request->engine);

	if (state)
		state->running_here -= state->running_here > 0;
	placement_unlink(request);
}
