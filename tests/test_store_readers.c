/* store_readers - who follows the store, and what it costs a fleet; time and messages are simulated
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "core/store_readers.h"

#define TICK (100 * USEC_PER_MSEC)
#define START (100 * USEC_PER_SEC)

/* A fleet of which each router sees all others; member slot 0 of router i is router i itself. */
typedef struct fleet {
	unsigned int count;
	members_t *members;
	store_readers_t **readers;
	bool *is_dead;
	bool *is_cut_from_peers;
	bool *lost_store;
	instant_t now;
	unsigned int statements;
} fleet_t;

static unsigned int router_of(const fleet_t *this, unsigned int viewer, unsigned int slot)
{
	(void)this;
	if (slot == 0)
		return viewer;
	return slot <= viewer ? slot - 1 : slot;
}

static unsigned int slot_of(unsigned int viewer, unsigned int router)
{
	if (router == viewer)
		return 0;
	return router < viewer ? router + 1 : router;
}

static void add_members(fleet_t *this, unsigned int viewer, unsigned int domains)
{
	members_t *members = &this->members[viewer];

	members_init(members, &allocator_default, 1000 + viewer);
	members_set_domain(members, 0, 1 + viewer % domains);
	for (unsigned int slot = 1; slot < this->count; slot++) {
		unsigned int router = router_of(this, viewer, slot);

		assert_int_equal(members_add(members, 1000 + router), slot);
		members_set_domain(members, slot, 1 + router % domains);
		members_record_message(members, slot, 1, 1, this->now);
	}
}

static fleet_t *fleet_new(unsigned int count, unsigned int domains)
{
	fleet_t *this = test_calloc(1, sizeof(*this));

	this->count = count;
	this->now = START;
	this->members = test_calloc(count, sizeof(*this->members));
	this->readers = test_calloc(count, sizeof(void *));
	this->is_dead = test_calloc(count, sizeof(bool));
	this->is_cut_from_peers = test_calloc(count, sizeof(bool));
	this->lost_store = test_calloc(count, sizeof(bool));
	for (unsigned int i = 0; i < count; i++) {
		add_members(this, i, domains);
		this->readers[i] = store_readers_new();
		store_readers_choose(this->readers[i], &this->members[i]);
	}
	return this;
}

static void fleet_delete(fleet_t *this)
{
	for (unsigned int i = 0; i < this->count; i++) {
		store_readers_delete(this->readers[i]);
		members_clear(&this->members[i]);
	}
	test_free(this->members);
	test_free(this->readers);
	test_free(this->is_dead);
	test_free(this->is_cut_from_peers);
	test_free(this->lost_store);
	test_free(this);
}

static void tell(fleet_t *this, unsigned int from, unsigned int to)
{
	unsigned int slot = slot_of(from, to);
	message_entry_t entry;

	if (!store_readers_next_entry(this->readers[from], slot, &entry, this->now))
		return;
	this->statements++;
	assert_int_equal(entry.kind, ENTRY_STORE_STATE);
	if (!this->is_dead[to] && !this->is_cut_from_peers[to] && !this->is_cut_from_peers[from])
		store_readers_handle_entry(this->readers[to], slot_of(to, from), &entry, this->now);
}

static void run(fleet_t *this, uint64_t duration)
{
	instant_t end = this->now + duration;

	for (; this->now < end; this->now += TICK) {
		for (unsigned int from = 0; from < this->count; from++) {
			if (this->is_dead[from])
				continue;
			store_readers_set_state(this->readers[from],
				this->lost_store[from] ? STORE_LOST : STORE_FOLLOWED);
			for (unsigned int to = 0; to < this->count; to++) {
				if (to != from)
					tell(this, from, to);
			}
		}
	}
}

static unsigned int count_reading(const fleet_t *this)
{
	unsigned int count = 0;

	for (unsigned int i = 0; i < this->count; i++)
		count += !this->is_dead[i] && store_readers_must_read(this->readers[i], this->now);
	return count;
}

/* Marks the routers that read the store now, as chosen readers, in `marks`. */
static void mark_reading(const fleet_t *this, bool *marks)
{
	for (unsigned int i = 0; i < this->count; i++)
		marks[i] = store_readers_must_read(this->readers[i], this->now);
}

/* What a change costs, in calls and in messages of the routers, follows the failure domains. */
static void test_calls_and_messages_do_not_grow_with_the_routers_of_a_domain(void **state)
{
	static const unsigned int sizes[] = {30, 100, 300};

	for (unsigned int k = 0; k < ARRAY_LEN(sizes); k++) {
		fleet_t *fleet = fleet_new(sizes[k], 5);
		unsigned int told = 0;

		assert_int_equal(count_reading(fleet), sizes[k]); /* nobody has said anything yet */
		run(fleet, 2 * USEC_PER_SEC);
		assert_int_equal(count_reading(fleet), 5 * STORE_READERS_PER_DOMAIN);
		for (unsigned int i = 0; i < sizes[k]; i++) {
			for (unsigned int slot = 1; slot < sizes[k]; slot++)
				told += store_readers_tells_versions(fleet->readers[i], slot);
		}
		/* From each reader to its domain and to the readers of the others. */
		assert_int_equal(told, 5 * STORE_READERS_PER_DOMAIN *
					       (sizes[k] / 5 - 1 + 4 * STORE_READERS_PER_DOMAIN));
		fleet->statements = 0;
		run(fleet, 10 * USEC_PER_SEC);
		assert_in_range(fleet->statements, 1,
			21 * 5 * STORE_READERS_PER_DOMAIN * (sizes[k] / 5 - 1));
		fleet_delete(fleet);
	}
}

/* In small failure domains nothing changes: each router reads, and tells all others. */
static void test_all_routers_of_a_small_domain_read(void **state)
{
	fleet_t *fleet = fleet_new(8, 4);

	run(fleet, 5 * USEC_PER_SEC);
	assert_int_equal(count_reading(fleet), 8);
	for (unsigned int i = 0; i < 8; i++) {
		for (unsigned int slot = 1; slot < 8; slot++)
			assert_true(store_readers_tells_versions(fleet->readers[i], slot));
	}
	fleet_delete(fleet);
}

static void test_router_reads_when_its_readers_are_silent(void **state)
{
	fleet_t *fleet = fleet_new(12, 1);
	bool was_reading[12];

	run(fleet, 2 * USEC_PER_SEC);
	mark_reading(fleet, was_reading);
	for (unsigned int i = 0; i < 12; i++)
		fleet->is_dead[i] = was_reading[i];
	run(fleet, STORE_STATEMENT_LIFE + TICK);
	assert_int_equal(count_reading(fleet), 12 - STORE_READERS_PER_DOMAIN);
	fleet_delete(fleet);
}

static void test_one_reader_that_is_left_suffices(void **state)
{
	fleet_t *fleet = fleet_new(12, 1);
	bool was_reading[12];
	unsigned int left = STORE_READERS_PER_DOMAIN;

	run(fleet, 2 * USEC_PER_SEC);
	mark_reading(fleet, was_reading);
	for (unsigned int i = 0; i < 12; i++) {
		if (was_reading[i] && --left)
			fleet->is_dead[i] = true;
	}
	run(fleet, 5 * USEC_PER_SEC);
	assert_int_equal(count_reading(fleet), 1);
	fleet_delete(fleet);
}

/* A router that others do not reach must not trust what it heard before. */
static void test_router_that_is_cut_from_its_peers_reads(void **state)
{
	fleet_t *fleet = fleet_new(12, 1);

	run(fleet, 2 * USEC_PER_SEC);
	for (unsigned int i = 0; i < 12; i++)
		fleet->is_cut_from_peers[i] = true;
	run(fleet, STORE_STATEMENT_LIFE + TICK);
	assert_int_equal(count_reading(fleet), 12);
	for (unsigned int i = 0; i < 12; i++)
		fleet->is_cut_from_peers[i] = false;
	run(fleet, STORE_STATEMENT_INTERVAL + TICK);
	assert_int_equal(count_reading(fleet), STORE_READERS_PER_DOMAIN);
	fleet_delete(fleet);
}

static void lose_store(fleet_t *this, unsigned int readers)
{
	bool was_reading[64];

	mark_reading(this, was_reading);
	for (unsigned int i = 0; i < this->count && readers; i++) {
		if (was_reading[i]) {
			this->lost_store[i] = true;
			readers--;
		}
	}
}

/* The store turns the readers away: all read it, and keep what is missing when it returns. */
static void test_routers_read_at_once_when_their_readers_lose_the_store(void **state)
{
	fleet_t *fleet = fleet_new(12, 1);

	run(fleet, 2 * USEC_PER_SEC);
	lose_store(fleet, STORE_READERS_PER_DOMAIN - 1);
	run(fleet, 2 * TICK);
	assert_int_equal(count_reading(fleet), STORE_READERS_PER_DOMAIN);
	for (unsigned int i = 0; i < 12; i++)
		fleet->lost_store[i] = false;
	run(fleet, 2 * USEC_PER_SEC);
	lose_store(fleet, STORE_READERS_PER_DOMAIN);
	run(fleet, 2 * TICK);
	assert_int_equal(count_reading(fleet), 12);
	for (unsigned int i = 0; i < 12; i++)
		assert_int_equal(store_readers_lost_store(fleet->readers[i], fleet->now),
			!fleet->lost_store[i]);
	for (unsigned int i = 0; i < 12; i++)
		fleet->lost_store[i] = false;
	run(fleet, 2 * TICK);
	for (unsigned int i = 0; i < 12; i++)
		assert_false(store_readers_lost_store(fleet->readers[i], fleet->now));
	fleet_delete(fleet);
}

static void test_reader_that_dies_is_replaced(void **state)
{
	fleet_t *fleet = fleet_new(12, 1);
	bool was_reading[12];
	unsigned int dead = 0;

	run(fleet, 2 * USEC_PER_SEC);
	mark_reading(fleet, was_reading);
	while (!was_reading[dead])
		dead++;
	fleet->is_dead[dead] = true;
	for (unsigned int i = 0; i < 12; i++) {
		members_t *members = &fleet->members[i];

		if (i == dead)
			continue;
		for (unsigned int slot = 1; slot < 12; slot++) {
			if (slot != slot_of(i, dead))
				members_record_message(
					members, slot, 1, 1000, fleet->now + MEMBER_DEAD_AFTER);
		}
		members_tick(members, fleet->now + MEMBER_SUSPECT_AFTER);
		members_tick(members, fleet->now + MEMBER_DEAD_AFTER);
		store_readers_choose(fleet->readers[i], members);
	}
	run(fleet, 2 * USEC_PER_SEC);
	assert_int_equal(count_reading(fleet), STORE_READERS_PER_DOMAIN);
	fleet_delete(fleet);
}

/* Of routers of an earlier build nothing is heard, whoever is chosen. */
static void test_router_beside_earlier_builds_reads(void **state)
{
	fleet_t *fleet = fleet_new(12, 1);

	for (unsigned int i = 1; i < 12; i++)
		fleet->is_dead[i] = true; /* of this protocol only */
	run(fleet, 5 * USEC_PER_SEC);
	assert_int_equal(count_reading(fleet), 1);
	fleet_delete(fleet);
}

static void test_nothing_is_told_before_the_tables_are_read(void **state)
{
	fleet_t *fleet = fleet_new(3, 1);
	message_entry_t entry;

	for (unsigned int slot = 1; slot < 3; slot++) {
		assert_false(store_readers_is_due(fleet->readers[0], slot, fleet->now));
		assert_false(store_readers_next_entry(fleet->readers[0], slot, &entry, fleet->now));
	}
	fleet_delete(fleet);
}

static void test_odd_statement_and_that_of_an_earlier_run_do_not_count(void **state)
{
	fleet_t *fleet = fleet_new(12, 1);
	message_entry_t entry = {.kind = ENTRY_STORE_STATE, .value = 77};
	unsigned int follower = 0;

	while (store_readers_tells_versions(fleet->readers[follower], 1))
		follower++;
	store_readers_handle_entry(fleet->readers[follower], 1, &entry, fleet->now);
	assert_true(store_readers_must_read(fleet->readers[follower], fleet->now));
	entry.value = STORE_FOLLOWED;
	store_readers_handle_entry(fleet->readers[follower], 1, &entry, fleet->now);
	assert_false(store_readers_must_read(fleet->readers[follower], fleet->now));
	store_readers_reset_peer(fleet->readers[follower], 1);
	assert_true(store_readers_must_read(fleet->readers[follower], fleet->now));
	fleet_delete(fleet);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_calls_and_messages_do_not_grow_with_the_routers_of_a_domain),
		cmocka_unit_test(test_all_routers_of_a_small_domain_read),
		cmocka_unit_test(test_router_reads_when_its_readers_are_silent),
		cmocka_unit_test(test_one_reader_that_is_left_suffices),
		cmocka_unit_test(test_router_that_is_cut_from_its_peers_reads),
		cmocka_unit_test(test_routers_read_at_once_when_their_readers_lose_the_store),
		cmocka_unit_test(test_reader_that_dies_is_replaced),
		cmocka_unit_test(test_router_beside_earlier_builds_reads),
		cmocka_unit_test(test_nothing_is_told_before_the_tables_are_read),
		cmocka_unit_test(test_odd_statement_and_that_of_an_earlier_run_do_not_count),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
