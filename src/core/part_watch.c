#include "core/part_watch.h"

#include <urcu/list.h>

#include "core/allocator.h"

#define BUCKETS 1024
#define RECENT_ENDPOINTS 64		    /* whose ends may still have to be taken back */
#define END_DURATION (1500 * USEC_PER_MSEC) /* an endpoint that ended is not back sooner */
#define TELL_DELAY (200 * USEC_PER_MSEC)    /* common parts are shown to be sound within it */
#define RECORD_LIFE (300 * USEC_PER_SEC)    /* after the last end */
#define SOUND_LIFE (10 * USEC_PER_SEC)	    /* for which late news of earlier ends is ignored */
/* An ended endpoint sends nothing in this time; before it, what it had sent may still be read. */
#define RESPONSE_MIN_DELAY (100 * USEC_PER_MSEC)
#define RESPONSE_MAX_DELAY (1000 * USEC_PER_MSEC)
#define TRIAL_DURATION (2 * USEC_PER_SEC) /* after which a request in doubt may be sent again */

typedef struct part_end {
	id_t32 endpoint;
	instant_t sent_at; /* the prompt */
	instant_t at;
	unsigned int occasion; /* as counted by the router that told it; 0: not told by one */
	bool told;	       /* to the peers, or by one */
} part_end_t;

typedef struct part_record {
	struct cds_list_head link;   /* in its bucket */
	struct cds_list_head in_use; /* or in the list of unused records */
	uint64_t part;
	bool is_whole;
	part_end_t ends[PART_WATCH_ENDS]; /* the last ones */
	unsigned int end_count;
	instant_t last_end_at;
	instant_t sound_at;	 /* 0: no sound answer since the record was made */
	instant_t blocked_until; /* 0: not blocked */
	unsigned int times_blocked;
	instant_t trial_until; /* a request in doubt was sent, and has no result yet; 0: none */
	bool peers_know;       /* peers may have ends of the part */
} part_record_t;

typedef struct log_entry {
	entry_kind_t kind;
	uint64_t part;
	bool is_whole;
	id_t32 endpoint;
	instant_t sent_at;
	instant_t at;
	unsigned int occasion;
} log_entry_t;

typedef struct recent_end {
	id_t32 endpoint;
	instant_t at;
} recent_end_t;

/* What a peer has been sent. */
typedef struct peer_cursor {
	uint64_t next;	     /* log entry */
	bool sends_table;    /* the records are sent first */
	unsigned int record; /* next to be sent of the table */
	unsigned int end;    /* of that record */
} peer_cursor_t;

struct part_watch {
	part_watch_options_t options;
	part_record_t records[PART_WATCH_RECORDS];
	struct cds_list_head buckets[BUCKETS];
	struct cds_list_head used;
	struct cds_list_head unused;
	recent_end_t recent_ends[RECENT_ENDPOINTS]; /* one for each endpoint */
	unsigned int next_recent_end;
	bool has_untold_ends;
	log_entry_t log[PART_WATCH_LOG]; /* a ring */
	uint64_t log_end;		 /* entries written so far */
	peer_cursor_t peers[MEMBER_MAX];
};

part_watch_t *part_watch_new(const part_watch_options_t *options)
{
	part_watch_t *this = allocator_new(&allocator_default, 1, sizeof(*this));

	this->options = *options;
	for (unsigned int i = 0; i < BUCKETS; i++)
		CDS_INIT_LIST_HEAD(&this->buckets[i]);
	CDS_INIT_LIST_HEAD(&this->used);
	CDS_INIT_LIST_HEAD(&this->unused);
	for (unsigned int i = 0; i < PART_WATCH_RECORDS; i++)
		cds_list_add_tail(&this->records[i].in_use, &this->unused);
	return this;
}

void part_watch_delete(part_watch_t *this)
{
	allocator_delete(&allocator_default, this);
}

/* --- records ------------------------------------------------------------ */

static struct cds_list_head *bucket_of(const part_watch_t *this, uint64_t part)
{
	return (struct cds_list_head *)&this->buckets[part % BUCKETS];
}

static part_record_t *find_record(const part_watch_t *this, uint64_t part)
{
	part_record_t *record;

	cds_list_for_each_entry (record, bucket_of(this, part), link) {
		if (record->part == part)
			return record;
	}
	return NULL;
}

static bool is_blocked(const part_record_t *record, instant_t now)
{
	return now < record->blocked_until;
}

/* Whether `a` is to be replaced rather than `b`. */
static bool is_less_useful(const part_record_t *a, const part_record_t *b)
{
	if (a->blocked_until != b->blocked_until)
		return a->blocked_until < b->blocked_until;
	if (a->end_count != b->end_count)
		return a->end_count < b->end_count;
	return a->last_end_at < b->last_end_at;
}

static void delete_record(part_watch_t *this, part_record_t *record)
{
	cds_list_del(&record->link);
	cds_list_del(&record->in_use);
	record->end_count = 0;
	cds_list_add(&record->in_use, &this->unused);
}

static void delete_least_useful(part_watch_t *this)
{
	part_record_t *least = cds_list_first_entry(&this->used, part_record_t, in_use);
	part_record_t *record;

	cds_list_for_each_entry (record, &this->used, in_use) {
		if (is_less_useful(record, least))
			least = record;
	}
	delete_record(this, least);
}

/* Clears what is recorded of the part. */
static void reset_record(part_record_t *record)
{
	*record = (part_record_t){
		.link = record->link,
		.in_use = record->in_use,
		.part = record->part,
		.is_whole = record->is_whole,
	};
}

static part_record_t *add_record(part_watch_t *this, uint64_t part, bool is_whole)
{
	part_record_t *record;

	if (cds_list_empty(&this->unused))
		delete_least_useful(this);
	record = cds_list_first_entry(&this->unused, part_record_t, in_use);
	cds_list_del(&record->in_use);
	reset_record(record);
	record->part = part;
	record->is_whole = is_whole;
	cds_list_add(&record->link, bucket_of(this, part));
	cds_list_add_tail(&record->in_use, &this->used);
	return record;
}

static bool has_end(const part_record_t *record, const part_end_t *end)
{
	for (unsigned int i = 0; i < record->end_count; i++) {
		const part_end_t *other = &record->ends[i];
		uint64_t apart = end->at > other->at ? end->at - other->at : other->at - end->at;

		if (other->endpoint == end->endpoint && apart < END_DURATION)
			return true;
	}
	return false;
}

static void remove_end(part_record_t *record, unsigned int index)
{
	record->end_count--;
	for (unsigned int i = index; i < record->end_count; i++)
		record->ends[i] = record->ends[i + 1];
}

/*
 * Counts, among the first `end_count`, ends of which each followed on a request that was sent
 * after the one before.  Endpoints that fail together, from another cause, so count as one.  Ends
 * that peers told have reached us with different delays: their own count holds, if it is higher.
 */
static unsigned int count_first_occasions(const part_record_t *record, unsigned int end_count)
{
	unsigned int count = 0;
	instant_t last = 0;

	for (unsigned int i = 0; i < end_count; i++) {
		const part_end_t *end = &record->ends[i];

		if (end->sent_at >= last) {
			last = end->at;
			count++;
		}
		if (end->occasion > count)
			count = end->occasion;
	}
	return count;
}

static unsigned int count_occasions(const part_record_t *record)
{
	return count_first_occasions(record, record->end_count);
}

static void notify(part_watch_t *this, part_event_t event, const part_record_t *record)
{
	if (this->options.on_event)
		this->options.on_event(this->options.ctx, event, record->part, record->is_whole,
			record->end_count);
}

/* A part that was blocked before is blocked again at the first end. */
static unsigned int occasions_to_block(const part_record_t *record)
{
	return record->times_blocked ? 1 : PART_WATCH_BLOCK_COUNT;
}

static void block_if_due(part_watch_t *this, part_record_t *record, instant_t now)
{
	unsigned int doublings = record->times_blocked < 8 ? record->times_blocked : 8;

	if (is_blocked(record, now) || count_occasions(record) < occasions_to_block(record))
		return;
	record->blocked_until = now + (PART_WATCH_BLOCK_TIME << doublings);
	record->times_blocked++;
	notify(this, PART_EVENT_BLOCKED, record);
}

/* Inserts the end by time; the oldest one makes room. */
static void insert_end(part_record_t *record, const part_end_t *end)
{
	unsigned int i;

	if (record->end_count == PART_WATCH_ENDS)
		remove_end(record, 0);
	for (i = record->end_count++; i > 0 && record->ends[i - 1].at > end->at; i--)
		record->ends[i] = record->ends[i - 1];
	record->ends[i] = *end;
}

static void note_recent_end(part_watch_t *this, id_t32 endpoint, instant_t at)
{
	recent_end_t *oldest = &this->recent_ends[this->next_recent_end];

	for (unsigned int i = 0; i < RECENT_ENDPOINTS; i++) {
		recent_end_t *recent = &this->recent_ends[i];

		if (recent->endpoint != endpoint)
			continue;
		recent->at = instant_max(recent->at, at);
		return;
	}
	*oldest = (recent_end_t){endpoint, at};
	this->next_recent_end = (this->next_recent_end + 1) % RECENT_ENDPOINTS;
}

static void add_end(
	part_watch_t *this, uint64_t part, bool is_whole, const part_end_t *end, instant_t now)
{
	part_record_t *record = find_record(this, part);

	if (record && (has_end(record, end) || end->at < record->sound_at))
		return;
	if (!record)
		record = add_record(this, part, is_whole);
	insert_end(record, end);
	note_recent_end(this, end->endpoint, end->at);
	record->last_end_at = now;
	record->trial_until = 0;
	record->peers_know |= end->told;
	this->has_untold_ends |= !end->told;
	notify(this, PART_EVENT_END, record);
	block_if_due(this, record, now);
}

void part_watch_record_end(part_watch_t *this, const part_set_t *parts, id_t32 endpoint,
	instant_t sent_at, instant_t now)
{
	part_end_t end = {.endpoint = endpoint, .sent_at = sent_at, .at = now};

	for (unsigned int i = 0; i < parts->count; i++)
		add_end(this, parts->part[i], parts->part[i] == parts->whole, &end, now);
}

/* Takes back a block that is left without the ends that caused it. */
static void unblock_if_unfounded(part_record_t *record, instant_t now)
{
	if (!is_blocked(record, now))
		return;
	record->times_blocked--;
	if (count_occasions(record) < occasions_to_block(record))
		record->blocked_until = 0;
	else
		record->times_blocked++;
}

static void remove_ends_before_response(part_record_t *record, id_t32 endpoint, instant_t now)
{
	unsigned int count = record->end_count;

	for (unsigned int i = count; i-- > 0;) {
		const part_end_t *end = &record->ends[i];

		if (end->endpoint == endpoint && now >= end->at + RESPONSE_MIN_DELAY &&
			now <= end->at + RESPONSE_MAX_DELAY)
			remove_end(record, i);
	}
	if (record->end_count != count)
		unblock_if_unfounded(record, now);
}

static bool has_recent_end(const part_watch_t *this, id_t32 endpoint, instant_t now)
{
	for (unsigned int i = 0; i < RECENT_ENDPOINTS; i++) {
		const recent_end_t *recent = &this->recent_ends[i];

		if (recent->endpoint == endpoint)
			return now <= recent->at + RESPONSE_MAX_DELAY;
	}
	return false;
}

void part_watch_record_response(part_watch_t *this, id_t32 endpoint, instant_t now)
{
	part_record_t *record;

	if (!has_recent_end(this, endpoint, now))
		return;
	cds_list_for_each_entry (record, &this->used, in_use)
		remove_ends_before_response(record, endpoint, now);
}

static void append_log(part_watch_t *this, const log_entry_t *entry)
{
	this->log[this->log_end++ % PART_WATCH_LOG] = *entry;
}

/* Forgets the ends; returns whether there were any. */
static bool clear_record(part_watch_t *this, part_record_t *record, instant_t now)
{
	if (!record->end_count && !record->times_blocked)
		return false;
	notify(this, PART_EVENT_SOUND, record);
	reset_record(record);
	record->sound_at = now;
	return true;
}

static void record_sound(part_watch_t *this, uint64_t part, instant_t now)
{
	part_record_t *record = find_record(this, part);
	log_entry_t entry = {.kind = ENTRY_PART_SOUND, .part = part, .at = now};
	bool peers_know;

	if (!record)
		return;
	peers_know = record->peers_know;
	if (clear_record(this, record, now) && peers_know)
		append_log(this, &entry);
	record->peers_know = false;
	record->sound_at = now;
}

void part_watch_record_sound(part_watch_t *this, const part_set_t *parts, instant_t now)
{
	for (unsigned int i = 0; i < parts->count; i++)
		record_sound(this, parts->part[i], now);
}

/* --- verdict ------------------------------------------------------------ */

static bool contains(const part_set_t *parts, uint64_t part)
{
	for (unsigned int i = 0; i < parts->count; i++) {
		if (parts->part[i] == part)
			return true;
	}
	return false;
}

static bool has_all_ends(const part_record_t *record, const part_record_t *other)
{
	for (unsigned int i = 0; i < other->end_count; i++) {
		if (!has_end(record, &other->ends[i]))
			return false;
	}
	return true;
}

/* True if another blocked part, which the request lacks, was there each time. */
static bool is_explained(const part_watch_t *this, const part_record_t *record,
	const part_set_t *parts, instant_t now)
{
	const part_record_t *other;

	cds_list_for_each_entry (other, &this->used, in_use) {
		if (other != record && is_blocked(other, now) && has_all_ends(other, record) &&
			!contains(parts, other->part))
			return true;
	}
	return false;
}

/* A request that may have ended endpoints, or that may have been the one beside it. */
static bool is_in_doubt(const part_record_t *record, instant_t now)
{
	if (!record->is_whole || is_blocked(record, now))
		return false;
	return record->times_blocked || record->end_count >= PART_WATCH_BLOCK_COUNT;
}

/* When this router may send the request, which is in doubt: the routers take turns. */
static instant_t next_turn(const part_watch_t *this, const part_record_t *record, instant_t now)
{
	instant_t turn =
		record->end_count ? record->ends[record->end_count - 1].at : record->blocked_until;
	unsigned int routers = 1;
	unsigned int place =
		this->options.place ? this->options.place(this->options.ctx, record->part, &routers)
				    : 0;
	uint64_t round = routers * PART_WATCH_TURN;

	if (routers < 2)
		return record->trial_until;
	turn += place * PART_WATCH_TURN;
	if (turn + PART_WATCH_TURN_OPEN <= now)
		turn += (now - turn) / round * round;
	if (turn + PART_WATCH_TURN_OPEN <= now)
		turn += round;
	return instant_max(turn, record->trial_until);
}

/* Until when a request with the part is refused; 0: it is not. */
static instant_t refused_until(const part_watch_t *this, const part_record_t *record, instant_t now)
{
	if (is_blocked(record, now))
		return record->blocked_until;
	if (!is_in_doubt(record, now))
		return 0;
	return next_turn(this, record, now);
}

part_verdict_t part_watch_check(
	const part_watch_t *this, const part_set_t *parts, instant_t now, part_block_t *block)
{
	part_verdict_t verdict = PART_ALLOWED;

	*block = (part_block_t){0};
	for (unsigned int i = 0; i < parts->count; i++) {
		const part_record_t *record = find_record(this, parts->part[i]);
		instant_t until;

		if (!record)
			continue;
		if (count_occasions(record) > 1 || record->times_blocked ||
			is_in_doubt(record, now))
			verdict = PART_SUSPECT;
		until = refused_until(this, record, now);
		if (until > now && until > block->until && !is_explained(this, record, parts, now))
			*block = (part_block_t){until, record->is_whole};
	}
	return block->until ? PART_BLOCKED : verdict;
}

void part_watch_record_sent(part_watch_t *this, const part_set_t *parts, instant_t now)
{
	part_record_t *record = parts->whole ? find_record(this, parts->whole) : NULL;

	if (record && is_in_doubt(record, now))
		record->trial_until = now + TRIAL_DURATION;
}

unsigned int part_watch_blocked_count(const part_watch_t *this, bool whole, instant_t now)
{
	const part_record_t *record;
	unsigned int count = 0;

	cds_list_for_each_entry (record, &this->used, in_use)
		count += record->is_whole == whole && is_blocked(record, now);
	return count;
}

/* --- time --------------------------------------------------------------- */

static log_entry_t log_entry_of(const part_record_t *record, unsigned int index)
{
	const part_end_t *end = &record->ends[index];

	return (log_entry_t){
		.kind = ENTRY_PART_END,
		.part = record->part,
		.is_whole = record->is_whole,
		.endpoint = end->endpoint,
		.sent_at = end->sent_at,
		.at = end->at,
		.occasion = count_first_occasions(record, index + 1),
	};
}

/*
 * An end of a request that the routers send in turns is told at once.  For others a sound answer
 * may come soon.
 */
static bool may_wait(const part_record_t *record, const part_end_t *end, instant_t now)
{
	bool in_turns = record->is_whole && (is_blocked(record, now) || is_in_doubt(record, now));

	return !in_turns && now < end->at + TELL_DELAY;
}

static void tell_ends(part_watch_t *this, part_record_t *record, instant_t now)
{
	for (unsigned int i = 0; i < record->end_count; i++) {
		part_end_t *end = &record->ends[i];
		log_entry_t entry = log_entry_of(record, i);

		if (end->told)
			continue;
		if (may_wait(record, end, now)) {
			this->has_untold_ends = true;
			continue;
		}
		end->told = true;
		record->peers_know = true;
		append_log(this, &entry);
	}
}

static bool is_outdated(const part_record_t *record, instant_t now)
{
	if (is_blocked(record, now))
		return false;
	if (!record->end_count && !record->times_blocked)
		return now >= record->sound_at + SOUND_LIFE;
	return now >= instant_max(record->last_end_at, record->blocked_until) + RECORD_LIFE;
}

/* The next end is to block it again, so those before are no longer needed. */
static void end_block(part_record_t *record, instant_t now)
{
	if (!record->blocked_until || is_blocked(record, now) || !record->end_count)
		return;
	if (record->last_end_at < record->blocked_until)
		record->end_count = 0;
}

void part_watch_tick(part_watch_t *this, instant_t now)
{
	bool had_untold_ends = this->has_untold_ends;
	part_record_t *record;
	part_record_t *next;

	this->has_untold_ends = false;
	cds_list_for_each_entry_safe (record, next, &this->used, in_use) {
		if (had_untold_ends)
			tell_ends(this, record, now);
		end_block(record, now);
		if (is_outdated(record, now))
			delete_record(this, record);
	}
}

/* --- peers -------------------------------------------------------------- */

static uint32_t age_of(instant_t at, instant_t now)
{
	return (uint32_t)((now - at) / USEC_PER_MSEC);
}

static instant_t instant_of_age(uint32_t age_ms, instant_t now)
{
	uint64_t age = age_ms * USEC_PER_MSEC;

	return now > age ? now - age : 0;
}

void part_watch_handle_entry(part_watch_t *this, const message_entry_t *entry, instant_t now)
{
	part_record_t *record = find_record(this, entry->ticket);
	part_end_t end = {
		.endpoint = entry->engine,
		.sent_at = instant_of_age(entry->source, now),
		.at = instant_of_age(entry->value, now),
		.occasion = entry->occasions,
		.told = true,
	};

	if (entry->kind == ENTRY_PART_END) {
		add_end(this, entry->ticket, entry->is_whole, &end, now);
	} else if (record) {
		clear_record(this, record, now);
		record->peers_know = false;
		record->sound_at = now;
	}
}

void part_watch_reset_peer(part_watch_t *this, unsigned int slot)
{
	this->peers[slot] =
		(peer_cursor_t){.next = this->log_end, .sends_table = !cds_list_empty(&this->used)};
}

/* Takes the next end of the table; false after the last one. */
static bool next_table_entry(part_watch_t *this, peer_cursor_t *cursor, log_entry_t *entry)
{
	while (cursor->record < PART_WATCH_RECORDS) {
		const part_record_t *record = &this->records[cursor->record];

		if (cursor->end < record->end_count) {
			*entry = log_entry_of(record, cursor->end++);
			return true;
		}
		cursor->record++;
		cursor->end = 0;
	}
	cursor->sends_table = false;
	return false;
}

bool part_watch_next_entry(
	part_watch_t *this, unsigned int slot, message_entry_t *entry, instant_t now)
{
	peer_cursor_t *cursor = &this->peers[slot];
	log_entry_t next;

	if (this->log_end - cursor->next > PART_WATCH_LOG)
		part_watch_reset_peer(this, slot);
	if (!cursor->sends_table || !next_table_entry(this, cursor, &next)) {
		if (cursor->next == this->log_end)
			return false;
		next = this->log[cursor->next++ % PART_WATCH_LOG];
	}
	*entry = (message_entry_t){
		.kind = next.kind,
		.ticket = next.part,
		.engine = next.endpoint,
		.source = age_of(next.sent_at, now),
		.value = age_of(next.at, now),
		.occasions = next.occasion,
		.is_whole = next.is_whole,
	};
	return true;
}

bool part_watch_is_due(const part_watch_t *this, unsigned int slot)
{
	const peer_cursor_t *cursor = &this->peers[slot];

	return cursor->sends_table || cursor->next != this->log_end;
}
