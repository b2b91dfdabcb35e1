/* threaded: burn rate windows, and the version order of a snapshot under concurrent writers */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <pthread.h>

#include "daemon/burn_rate.h"
#include "daemon/snapshot.h"
#include "settings/jsondoc.h"

#define MINUTE (60 * USEC_PER_SEC)
#define START (100 * 24 * 60 * MINUTE)
#define VERSIONS 2000

static int64_t window_count(
	burn_rate_t *burn_rate, instant_t now, const char *window_name, const char *member)
{
	GString *out = g_string_new(NULL);
	jsondoc_t *doc;
	int64_t count = -1;

	burn_rate_append_json(burn_rate, out, now);
	doc = jsondoc_new(out->str, out->len);
	assert_null(doc->error);
	for (json_value_t *window = json_get(doc->root->first, "windows")->first; window;
		window = window->next) {
		if (!g_strcmp0(json_get_string(window, "name", ""), window_name))
			count = json_get_int(window, member, -1);
	}
	jsondoc_delete(doc);
	g_string_free(out, TRUE);
	return count;
}

static void test_samples_count_in_each_window_until_they_are_too_old(void **state)
{
	burn_rate_sample_t good = {"shop", "w", 0.99, false, false};
	burn_rate_sample_t failed = {"shop", "w", 0.99, true, false};
	burn_rate_sample_t late = {"shop", "w", 0.99, false, true};
	burn_rate_t *burn_rate = burn_rate_new();

	burn_rate_record(burn_rate, &failed, START);
	burn_rate_record(burn_rate, &good, START + 10 * MINUTE);
	burn_rate_record(burn_rate, &late, START + 10 * MINUTE);
	assert_int_equal(window_count(burn_rate, START + 10 * MINUTE, "5m", "total"), 2);
	assert_int_equal(window_count(burn_rate, START + 10 * MINUTE, "5m", "late"), 1);
	assert_int_equal(window_count(burn_rate, START + 10 * MINUTE, "30m", "failed"), 1);
	assert_int_equal(window_count(burn_rate, START + 70 * MINUTE, "1h", "total"), 0);
	assert_int_equal(window_count(burn_rate, START + 70 * MINUTE, "6h", "total"), 3);
	assert_int_equal(window_count(burn_rate, START + 73 * 60 * MINUTE, "3d", "total"), 0);
	burn_rate_delete(burn_rate);
}

/* Shared between the threads of one test. */
typedef struct shared {
	snapshot_t snapshot;
	int stop;
} shared_t;

static fleet_config_t *config_with_version(uint64_t version)
{
	error_list_t errors;
	fleet_config_t *config;

	error_list_init(&errors, "config");
	config = fleet_config_new(
		"{\"services\":[],\"endpoints\":[],\"workspaces\":[],\"routes\":[]}", version,
		&errors);
	error_list_clear(&errors);
	return config;
}

static void *read_versions(void *ctx)
{
	shared_t *shared = ctx;
	uint64_t highest = 0;

	while (!__atomic_load_n(&shared->stop, __ATOMIC_ACQUIRE)) {
		fleet_config_t *config = snapshot_get(&shared->snapshot);

		if (config && config->version < highest)
			return shared; /* not NULL: the version decreased */
		if (config)
			highest = config->version;
		fleet_config_put(config);
	}
	return NULL;
}

static void *write_versions(void *ctx)
{
	shared_t *shared = ctx;

	for (uint64_t v = 1; v <= VERSIONS; v++)
		snapshot_set(&shared->snapshot, config_with_version(v));
	return NULL;
}

/*
 * Two writers set the same versions while two readers get the snapshot.  No reader
 * may get a lower version after a higher one.
 */
static void test_concurrent_writers_never_lower_the_snapshot_version(void **state)
{
	shared_t shared = {0};
	pthread_t writers[2];
	pthread_t readers[2];
	void *result;

	snapshot_init(&shared.snapshot);
	for (int i = 0; i < 2; i++) {
		pthread_create(&readers[i], NULL, read_versions, &shared);
		pthread_create(&writers[i], NULL, write_versions, &shared);
	}
	for (int i = 0; i < 2; i++)
		pthread_join(writers[i], NULL);
	__atomic_store_n(&shared.stop, 1, __ATOMIC_RELEASE);
	for (int i = 0; i < 2; i++) {
		pthread_join(readers[i], &result);
		assert_null(result);
	}
	assert_int_equal(snapshot_version(&shared.snapshot), VERSIONS);
	assert_false(snapshot_set(&shared.snapshot, config_with_version(VERSIONS - 1)));
	assert_int_equal(snapshot_version(&shared.snapshot), VERSIONS);
	snapshot_clear(&shared.snapshot);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_samples_count_in_each_window_until_they_are_too_old),
		cmocka_unit_test(test_concurrent_writers_never_lower_the_snapshot_version),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
