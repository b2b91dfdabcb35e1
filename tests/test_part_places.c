/* part_places - shared parts of prompts are copied from an engine that has them */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "core/part_places.h"
#include "core/placement.h"

#define ROUTER 1U
#define PEER 2U
#define POOL 7U
#define ENGINES 16U
#define PART 0x1235ULL
#define PART_TOKENS 3000U

static void test_newest_engine_of_a_prefix_is_found(void **state)
{
	static part_places_t places;

	part_places_record(&places, PART, 3, USEC_PER_SEC);
	assert_int_equal(part_places_find(&places, PART, USEC_PER_SEC), 3);
	part_places_record(&places, PART, 4, 2 * USEC_PER_SEC);
	assert_int_equal(part_places_find(&places, PART, 2 * USEC_PER_SEC), 4);
	assert_int_equal(part_places_find(&places, PART + 2, 2 * USEC_PER_SEC), 0);
	assert_int_equal(part_places_find(&places, PART, 60 * USEC_PER_SEC), 0);
}

static void test_prefixes_of_an_ended_engine_are_forgotten(void **state)
{
	static part_places_t places;

	part_places_record(&places, PART, 3, USEC_PER_SEC);
	part_places_record(&places, PART + 2, 4, USEC_PER_SEC);
	part_places_forget(&places, 3);
	assert_int_equal(part_places_find(&places, PART, USEC_PER_SEC), 0);
	assert_int_equal(part_places_find(&places, PART + 2, USEC_PER_SEC), 4);
}

static void test_the_least_recently_used_prefix_makes_room(void **state)
{
	static part_places_t places;

	for (uint64_t i = 0; i <= PART_PLACES_WAYS; i++)
		part_places_record(&places, i + 1, 3, (i + 1) * USEC_PER_MSEC);
	assert_int_equal(part_places_find(&places, 1, USEC_PER_SEC), 0);
	for (uint64_t i = 1; i <= PART_PLACES_WAYS; i++)
		assert_int_equal(part_places_find(&places, i + 1, USEC_PER_SEC), 3);
}

/* A router beside a peer that grants what it is asked, on the engine that the test names. */
typedef struct fleet {
	placement_t *placement;
	unsigned int peer;
	uint64_t seq;
	instant_t now;
} fleet_t;

static void receive(fleet_t *this, const message_entry_t *entry)
{
	message_header_t header = {.from = PEER, .incarnation = 1, .seq = ++this->seq};
	unsigned int slot;

	assert_true(placement_accept_message(this->placement, &header, &slot, this->now));
	if (entry)
		placement_handle_entry(this->placement, slot, entry, this->now);
}

static void fleet_init(fleet_t *this)
{
	placement_options_t options = {.self = ROUTER, .incarnation = 1, .seed = 1};
	message_entry_t usage = {.kind = ENTRY_SLOT_USAGE, .pool = POOL, .usage = {.slots = 64}};
	placement_engine_t engines[ENGINES];

	*this = (fleet_t){.now = USEC_PER_SEC};
	options.scheduler.pool.max_backlog = USEC_PER_SEC;
	this->placement = placement_new(&options, this->now);
	this->peer = placement_add_member(this->placement, PEER);
	placement_set_listed(this->placement, this->peer, true);
	receive(this, NULL);
	for (unsigned int i = 0; i < ENGINES; i++)
		engines[i] = (placement_engine_t){
			.id = 100 + i, .pool = POOL, .limits = {.slots = 4}, .usable = true};
	placement_set_engines(this->placement, engines, ENGINES, this->now);
	receive(this, &usage);
}

/* Takes the ticket of the slot request to the peer; false if this router is asked itself. */
static bool take_ticket(fleet_t *this, uint64_t *ticket)
{
	message_header_t header;
	message_entry_t entry;
	unsigned int slot;
	bool found = false;

	placement_make_message_due(this->placement, this->peer, this->now);
	while (placement_next_message(this->placement, &slot, &header, this->now)) {
		while (placement_next_entry(this->placement, slot, &entry)) {
			if (entry.kind != ENTRY_SLOT_REQUEST)
				continue;
			*ticket = entry.slot_request.ticket;
			found = true;
		}
	}
	return found;
}

/* Runs a request on the engine and returns the engine to copy from; `asked`: the peer was asked. */
static id_t32 run_on(fleet_t *this, id_t32 engine, uint64_t part, bool *asked)
{
	placement_request_t request = {
		.pool = POOL,
		.workspace = 9,
		.work = {.prompt = 2 * PART_TOKENS,
			.answer = 10,
			.chain = {.count = 2,
				.hash = {part, part + 2},
				.tokens = {PART_TOKENS, 100}}},
		.first_token_deadline = this->now + USEC_PER_SEC,
		.deadline = this->now + 10 * USEC_PER_SEC,
	};
	message_entry_t grant = {.kind = ENTRY_GRANT, .engine = engine};
	placement_action_t action;

	placement_request(this->placement, &request, this->now);
	*asked = take_ticket(this, &grant.ticket);
	if (!*asked) {
		placement_cancel(this->placement, &request, this->now);
		return 0;
	}
	receive(this, &grant);
	assert_true(placement_next_action(this->placement, &action));
	assert_int_equal(action.kind, PLACEMENT_START);
	placement_end(this->placement, &request, 10, this->now);
	return request.source;
}

/*
 * The engine that ranks first for a part may never have run it, as it was full then; and the last
 * of the shared parts may be small.
 */
static void test_parts_are_copied_from_where_they_last_ran(void **state)
{
	unsigned int checked = 0;
	fleet_t fleet;

	fleet_init(&fleet);
	for (uint64_t part = 1; part < 400; part += 4) {
		id_t32 engine = 100 + part % ENGINES;
		bool asked;
		id_t32 source;

		run_on(&fleet, engine, part, &asked);
		if (!asked)
			continue;
		source = run_on(&fleet, 100 + (part + 1) % ENGINES, part, &asked);
		if (!asked)
			continue;
		assert_int_equal(source, engine);
		checked++;
	}
	assert_true(checked > 10);
	placement_delete(fleet.placement);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_newest_engine_of_a_prefix_is_found),
		cmocka_unit_test(test_prefixes_of_an_ended_engine_are_forgotten),
		cmocka_unit_test(test_the_least_recently_used_prefix_makes_room),
		cmocka_unit_test(test_parts_are_copied_from_where_they_last_ran),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
