#include "core/evacuation.h"

#define LIST_GROWTH 8 /* statements added to the list when it is full */

struct evacuations {
	const allocator_t *allocator;
	evacuation_statement_t *statements; /* the newest about each domain */
	unsigned int count;
	unsigned int capacity;
	bool known;
	uint64_t era;
};

evacuations_t *evacuations_new(const allocator_t *allocator)
{
	const allocator_t *used = allocator ? allocator : &allocator_default;
	evacuations_t *this = allocator_new(used, 1, sizeof(*this));

	this->allocator = used;
	return this;
}

void evacuations_delete(evacuations_t *this)
{
	if (!this)
		return;
	allocator_delete(this->allocator, this->statements);
	allocator_delete(this->allocator, this);
}

static evacuation_statement_t *find(const evacuations_t *this, id_t32 domain)
{
	for (unsigned int i = 0; i < this->count; i++) {
		if (this->statements[i].domain == domain)
			return &this->statements[i];
	}
	return NULL;
}

static void add(evacuations_t *this, const evacuation_statement_t *statement)
{
	if (this->count == this->capacity) {
		unsigned int capacity = this->capacity + LIST_GROWTH;

		this->statements = allocator_grow(this->allocator, this->statements, this->capacity,
			capacity, sizeof(*this->statements));
		this->capacity = capacity;
	}
	this->statements[this->count++] = *statement;
}

static bool is_newer(const evacuation_statement_t *statement, const evacuation_statement_t *known)
{
	if (statement->era != known->era)
		return statement->era > known->era;
	return statement->number > known->number;
}

evacuation_result_t evacuations_apply(evacuations_t *this, const evacuation_statement_t *statement)
{
	evacuation_statement_t *known = find(this, statement->domain);
	bool was_evacuated = known && known->evacuated;

	if (statement->era < this->era || (known && !is_newer(statement, known)))
		return EVACUATION_OUTDATED;
	this->era = statement->era;
	if (known)
		*known = *statement;
	else
		add(this, statement);
	return statement->evacuated == was_evacuated ? EVACUATION_CONFIRMED : EVACUATION_CHANGED;
}

static bool is_listed(const evacuation_statement_t *listed, unsigned int count, id_t32 domain)
{
	for (unsigned int i = 0; i < count; i++) {
		if (listed[i].domain == domain)
			return true;
	}
	return false;
}

bool evacuations_apply_listing(evacuations_t *this, const evacuation_statement_t *listed,
	unsigned int count, uint64_t era, uint64_t number,
	void (*on_change)(void *ctx, const evacuation_statement_t *statement), void *ctx)
{
	bool changed = false;

	if (era < this->era)
		return false;
	this->era = era;
	this->known = true;
	for (unsigned int i = 0; i < count; i++) {
		if (evacuations_apply(this, &listed[i]) != EVACUATION_CHANGED)
			continue;
		changed = true;
		on_change(ctx, &listed[i]);
	}
	for (unsigned int i = 0; i < this->count; i++) {
		evacuation_statement_t lifted = {this->statements[i].domain, false, era, number};

		if (is_listed(listed, count, lifted.domain) ||
			evacuations_apply(this, &lifted) != EVACUATION_CHANGED)
			continue;
		changed = true;
		on_change(ctx, &lifted);
	}
	return changed;
}

bool evacuations_are_known(const evacuations_t *this)
{
	return this->known;
}

bool evacuations_contain(const evacuations_t *this, id_t32 domain)
{
	const evacuation_statement_t *known = find(this, domain);

	return known && known->evacuated;
}

unsigned int evacuations_count(const evacuations_t *this)
{
	unsigned int count = 0;

	for (unsigned int i = 0; i < this->count; i++)
		count += this->statements[i].evacuated;
	return count;
}

uint64_t evacuations_era(const evacuations_t *this)
{
	return this->era;
}
