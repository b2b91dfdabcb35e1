/* buffer_pool - which exchange is ended when all together buffer too much */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <stdlib.h>

#include "core/buffer_pool.h"

#define LIMIT 1000
#define HOLDERS 64
#define GROUPS 4
#define ROUNDS 20000
#define SEED 7

typedef struct exchange {
	buffer_holder_t holder;
	unsigned int reclaimed;
} exchange_t;

static void on_reclaim(buffer_holder_t *holder)
{
	caa_container_of(holder, exchange_t, holder)->reclaimed++;
}

typedef struct fleet {
	buffer_pool_t pool;
	buffer_group_t groups[GROUPS];
	exchange_t exchanges[HOLDERS];
} fleet_t;

static void fleet_init(fleet_t *this)
{
	buffer_pool_init(&this->pool, LIMIT);
	for (unsigned int i = 0; i < GROUPS; i++)
		buffer_group_init(&this->groups[i]);
	for (unsigned int i = 0; i < HOLDERS; i++)
		this->exchanges[i] = (exchange_t){
			.holder = {.group = &this->groups[i % GROUPS], .reclaim = on_reclaim}};
}

static void hold(fleet_t *this, unsigned int exchange, size_t bytes)
{
	buffer_pool_update(&this->pool, &this->exchanges[exchange].holder, bytes);
}

static void test_nothing_is_reclaimed_within_the_limit(void **state)
{
	fleet_t fleet;

	fleet_init(&fleet);
	hold(&fleet, 0, LIMIT);
	assert_int_equal(buffer_pool_reclaim(&fleet.pool), 0);
	hold(&fleet, 0, 0);
	assert_int_equal(fleet.pool.held, 0);
	assert_int_equal(fleet.pool.peak, LIMIT);
}

/* An endpoint's one large response is kept beside many smaller ones of a faulty endpoint. */
static void test_largest_holder_of_the_largest_group_is_reclaimed(void **state)
{
	fleet_t fleet;

	fleet_init(&fleet);
	hold(&fleet, 0, 300); /* the largest of all, alone in its group */
	hold(&fleet, 1, 250);
	hold(&fleet, 5, 260);
	hold(&fleet, 9, 240);
	assert_int_equal(buffer_pool_reclaim(&fleet.pool), 1);
	assert_int_equal(fleet.exchanges[5].reclaimed, 1);
	assert_int_equal(fleet.exchanges[0].reclaimed, 0);
	assert_int_equal(fleet.pool.held, 790);
}

static void test_one_holder_above_the_limit_is_reclaimed_alone(void **state)
{
	fleet_t fleet;

	fleet_init(&fleet);
	hold(&fleet, 3, LIMIT + 1);
	hold(&fleet, 2, 900);
	assert_int_equal(buffer_pool_reclaim(&fleet.pool), 1);
	assert_int_equal(fleet.exchanges[3].reclaimed, 1);
	assert_int_equal(fleet.pool.held, 900);
}

/* Sums and lists agree with what the holders report, whatever the order of updates. */
static void test_sums_follow_random_updates(void **state)
{
	fleet_t fleet;
	unsigned int seed = SEED;

	fleet_init(&fleet);
	for (unsigned int round = 0; round < ROUNDS; round++) {
		size_t sum = 0;
		size_t groups[GROUPS] = {0};

		hold(&fleet, (unsigned int)rand_r(&seed) % HOLDERS,
			(size_t)rand_r(&seed) % 3 ? (size_t)rand_r(&seed) % 200 : 0);
		buffer_pool_reclaim(&fleet.pool);
		for (unsigned int i = 0; i < HOLDERS; i++) {
			sum += fleet.exchanges[i].holder.held;
			groups[i % GROUPS] += fleet.exchanges[i].holder.held;
		}
		assert_int_equal(sum, fleet.pool.held);
		assert_true(sum <= LIMIT);
		for (unsigned int i = 0; i < GROUPS; i++)
			assert_int_equal(groups[i], fleet.groups[i].held);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_nothing_is_reclaimed_within_the_limit),
		cmocka_unit_test(test_largest_holder_of_the_largest_group_is_reclaimed),
		cmocka_unit_test(test_one_holder_above_the_limit_is_reclaimed_alone),
		cmocka_unit_test(test_sums_follow_random_updates),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
