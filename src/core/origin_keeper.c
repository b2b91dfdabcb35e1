#include "core/origin_keeper.h"

#include <string.h>
#include <urcu/list.h>

#include "core/allocator.h"

/* The streams of one run of a router, as it last reported them. */
typedef struct report {
	struct cds_list_head link;
	unsigned int slot;
	uint64_t incarnation;
	char *bytes;
	size_t size;
	uint64_t seq;
	uint64_t saving_seq; /* in the save that is in progress */
	uint64_t saved_seq;
	uint64_t confirmed_seq; /* the router was told that it is saved */
	instant_t heard_at;
} report_t;

struct origin_keeper {
	uint64_t incarnation;
	unsigned int keeper;
	report_t own;
	uint64_t sent_seq; /* newest report sent to the keeper */
	instant_t sent_at;
	uint64_t own_confirmed_seq;   /* newest of them that the keeper has saved */
	instant_t unconfirmed_since;  /* 0: all of it is confirmed */
	bool kept_own;		      /* at the last tick */
	struct cds_list_head reports; /* of other routers */

	/* The save that is in progress, or was last. */
	bool changed; /* what is kept here has changed since it began */
	unsigned int unwritten_rows;
	instant_t began_at;
	instant_t save_from; /* no save begins before */
	unsigned int next_index;
	char *bytes; /* all that is saved */
	size_t size;
	size_t next_offset; /* of the next row */
};

origin_keeper_t *origin_keeper_new(uint64_t incarnation, instant_t now)
{
	origin_keeper_t *this = allocator_new(&allocator_default, 1, sizeof(*this));

	this->incarnation = incarnation;
	this->save_from = now + ORIGIN_START_DELAY;
	CDS_INIT_LIST_HEAD(&this->reports);
	return this;
}

static void report_delete(report_t *report)
{
	cds_list_del(&report->link);
	allocator_delete(&allocator_default, report->bytes);
	allocator_delete(&allocator_default, report);
}

void origin_keeper_delete(origin_keeper_t *this)
{
	if (!this)
		return;
	while (!cds_list_empty(&this->reports))
		report_delete(cds_list_first_entry(&this->reports, report_t, link));
	allocator_delete(&allocator_default, this->own.bytes);
	allocator_delete(&allocator_default, this->bytes);
	allocator_delete(&allocator_default, this);
}

/* Returns whether the bytes differ from those before. */
static bool replace_bytes(report_t *report, const char *bytes, size_t size)
{
	if (report->size == size && (!size || !memcmp(report->bytes, bytes, size)))
		return false;
	allocator_delete(&allocator_default, report->bytes);
	report->bytes = size ? allocator_new(&allocator_default, size, 1) : NULL;
	if (size)
		memcpy(report->bytes, bytes, size);
	report->size = size;
	return true;
}

/* --- this router's own streams ------------------------------------------ */

bool origin_keeper_keeps_own(const origin_keeper_t *this, instant_t now)
{
	return !this->keeper ||
	       (this->unconfirmed_since && now >= this->unconfirmed_since + ORIGIN_CONFIRM_TIMEOUT);
}

void origin_keeper_set_own(
	origin_keeper_t *this, const stream_origin_t *list, unsigned int count, instant_t now)
{
	char bytes[ORIGIN_REPORT_MAX_BYTES];

	for (unsigned int i = 0; i < count; i++)
		stream_origin_encode(&list[i], bytes + i * STREAM_RECORD_BYTES);
	if (!replace_bytes(&this->own, bytes, count * STREAM_RECORD_BYTES))
		return;
	this->own.seq++;
	this->changed |= origin_keeper_keeps_own(this, now);
	if (!this->unconfirmed_since)
		this->unconfirmed_since = now;
}

void origin_keeper_set_keeper(origin_keeper_t *this, unsigned int slot, instant_t now)
{
	if (slot == this->keeper)
		return;
	this->keeper = slot;
	this->sent_seq = 0;
	this->sent_at = 0;
	this->own_confirmed_seq = 0;
	this->changed |= !slot;
	this->unconfirmed_since = this->own.size ? now : 0;
}

static bool is_report_due(const origin_keeper_t *this, instant_t now)
{
	if (this->own.seq != this->sent_seq)
		return now >= this->sent_at + ORIGIN_REPORT_INTERVAL;
	return this->own.size && now >= this->sent_at + ORIGIN_RENEWAL;
}

/* --- reports of others -------------------------------------------------- */

static report_t *find_report(const origin_keeper_t *this, unsigned int slot, uint64_t incarnation)
{
	report_t *report;

	cds_list_for_each_entry (report, &this->reports, link) {
		if (report->slot == slot && report->incarnation == incarnation)
			return report;
	}
	return NULL;
}

static report_t *add_report(origin_keeper_t *this, unsigned int slot, uint64_t incarnation)
{
	report_t *report = allocator_new(&allocator_default, 1, sizeof(*report));

	report->slot = slot;
	report->incarnation = incarnation;
	cds_list_add_tail(&report->link, &this->reports);
	return report;
}

static void handle_report(origin_keeper_t *this, unsigned int slot, uint64_t incarnation,
	const message_entry_t *entry, instant_t now)
{
	report_t *report = find_report(this, slot, incarnation);

	if (entry->size > ORIGIN_REPORT_MAX_BYTES || entry->size % STREAM_RECORD_BYTES)
		return;
	if (!report)
		report = add_report(this, slot, incarnation);
	if (entry->ticket < report->seq)
		return;
	report->heard_at = now;
	report->seq = entry->ticket;
	/* A report that is repeated may not have been confirmed. */
	report->confirmed_seq = 0;
	this->changed |= replace_bytes(report, entry->bytes, entry->size);
	if (report->saved_seq != report->seq)
		this->changed = true;
}

static void handle_confirmation(
	origin_keeper_t *this, unsigned int slot, const message_entry_t *entry, instant_t now)
{
	if (slot != this->keeper || entry->version != this->incarnation ||
		entry->ticket > this->own.seq)
		return;
	/* A repeated confirmation does not show that the keeper still saves. */
	if (entry->ticket <= this->own_confirmed_seq)
		return;
	this->own_confirmed_seq = entry->ticket;
	this->unconfirmed_since = entry->ticket == this->own.seq ? 0 : now;
}

void origin_keeper_handle_entry(origin_keeper_t *this, unsigned int slot, uint64_t incarnation,
	const message_entry_t *entry, instant_t now)
{
	if (entry->kind == ENTRY_STREAMS)
		handle_report(this, slot, incarnation, entry, now);
	else if (entry->kind == ENTRY_STREAMS_SAVED)
		handle_confirmation(this, slot, entry, now);
}

static report_t *find_outdated(const origin_keeper_t *this, instant_t now)
{
	report_t *report;

	cds_list_for_each_entry (report, &this->reports, link) {
		if (now >= report->heard_at + STREAM_ORIGINS_MEMORY)
			return report;
	}
	return NULL;
}

void origin_keeper_tick(origin_keeper_t *this, instant_t now)
{
	bool keeps_own = origin_keeper_keeps_own(this, now);
	report_t *report;

	this->changed |= keeps_own && !this->kept_own;
	this->kept_own = keeps_own;
	while ((report = find_outdated(this, now))) {
		report_delete(report);
		this->changed = true;
	}
}

/* --- entries ------------------------------------------------------------ */

bool origin_keeper_is_due(const origin_keeper_t *this, unsigned int slot, instant_t now)
{
	return slot && slot == this->keeper && is_report_due(this, now);
}

static report_t *find_unconfirmed(const origin_keeper_t *this, unsigned int slot)
{
	report_t *report;

	cds_list_for_each_entry (report, &this->reports, link) {
		if (report->slot == slot && report->saved_seq > report->confirmed_seq)
			return report;
	}
	return NULL;
}

bool origin_keeper_next_entry(
	origin_keeper_t *this, unsigned int slot, message_entry_t *entry, instant_t now)
{
	report_t *report;

	if (origin_keeper_is_due(this, slot, now)) {
		*entry = (message_entry_t){
			.kind = ENTRY_STREAMS,
			.ticket = this->own.seq,
			.bytes = this->own.bytes,
			.size = (uint32_t)this->own.size,
		};
		this->sent_seq = this->own.seq;
		this->sent_at = now;
		return true;
	}
	report = find_unconfirmed(this, slot);
	if (!report)
		return false;
	report->confirmed_seq = report->saved_seq;
	*entry = (message_entry_t){
		.kind = ENTRY_STREAMS_SAVED,
		.ticket = report->saved_seq,
		.version = report->incarnation,
	};
	return true;
}

void origin_keeper_reset_peer(origin_keeper_t *this, unsigned int slot)
{
	report_t *report;

	if (slot == this->keeper)
		this->sent_seq = 0;
	cds_list_for_each_entry (report, &this->reports, link) {
		if (report->slot == slot)
			report->confirmed_seq = 0;
	}
}

/* --- saving ------------------------------------------------------------- */

static bool is_save_due(const origin_keeper_t *this, unsigned int routers, instant_t now)
{
	uint64_t interval = ORIGIN_SAVE_INTERVAL;

	if (this->unwritten_rows || now < this->save_from)
		return false;
	if (cds_list_empty((struct cds_list_head *)&this->reports)) {
		if (!origin_keeper_keeps_own(this, now) || !this->own.size)
			return false;
		interval = instant_max(interval, routers * ORIGIN_SAVE_INTERVAL_PER_ROUTER);
	}
	return now >= this->began_at + (this->changed ? interval : ORIGIN_RENEWAL);
}

static void append(origin_keeper_t *this, report_t *report)
{
	size_t left = ORIGIN_ROWS_MAX * (size_t)ORIGIN_ROW_MAX_BYTES - this->size;
	size_t size = report->size < left ? report->size : left;

	if (size)
		memcpy(this->bytes + this->size, report->bytes, size);
	this->size += size;
	/* What does not fit is not confirmed, so that its router saves it. */
	report->saving_seq = size == report->size ? report->seq : report->saved_seq;
}

static size_t total_size(const origin_keeper_t *this)
{
	size_t size = this->own.size;
	const report_t *report;

	cds_list_for_each_entry (report, &this->reports, link)
		size += report->size;
	return size;
}

static void end_save(origin_keeper_t *this)
{
	report_t *report;

	cds_list_for_each_entry (report, &this->reports, link)
		report->saved_seq = report->saving_seq;
	if (!this->keeper)
		this->unconfirmed_since = 0;
}

bool origin_keeper_begin_save(origin_keeper_t *this, unsigned int routers, instant_t now)
{
	report_t *report;

	if (!is_save_due(this, routers, now))
		return false;
	allocator_delete(&allocator_default, this->bytes);
	this->bytes = allocator_new(&allocator_default, total_size(this) + 1, 1);
	this->size = 0;
	if (origin_keeper_keeps_own(this, now))
		append(this, &this->own);
	cds_list_for_each_entry (report, &this->reports, link)
		append(this, report);
	this->changed = false;
	this->began_at = now;
	this->next_index = 0;
	this->next_offset = 0;
	this->unwritten_rows =
		(unsigned int)((this->size + ORIGIN_ROW_MAX_BYTES - 1) / ORIGIN_ROW_MAX_BYTES);
	if (!this->unwritten_rows)
		end_save(this);
	return true;
}

bool origin_keeper_next_row(origin_keeper_t *this, origin_row_t *row)
{
	size_t left = this->size - this->next_offset;

	if (!left)
		return false;
	*row = (origin_row_t){
		.index = this->next_index++,
		.bytes = this->bytes + this->next_offset,
		.size = left < ORIGIN_ROW_MAX_BYTES ? left : ORIGIN_ROW_MAX_BYTES,
	};
	this->next_offset += row->size;
	return true;
}

void origin_keeper_row_saved(origin_keeper_t *this)
{
	if (!this->unwritten_rows || --this->unwritten_rows)
		return;
	end_save(this);
}
