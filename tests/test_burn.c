/* threaded: burn's windows, and the snapshot that never goes back */
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

static int64_t window_count(burn_rate_t *burn, instant_t now, const char *name, const char *member)
{
	GString *out = g_string_new(NULL);
	jsondoc_t *doc;
	int64_t count = -1;

	burn_rate_append_json(burn, out, now);
	doc = jsondoc_new(out->str, out->len);
	assert_null(doc->error);
	for (json_value_t *w = json_get(doc->root->first, "windows")->first; w; w = w->next) {
		if (!g_strcmp0(json_get_string(w, "name", ""), name))
			count = json_get_int(w, member, -1);
	}
	jsondoc_delete(doc);
	g_string_free(out, TRUE);
	return count;
}

static void test_windows(void **state)
{
	burn_rate_sample_t good = {"shop", "w", 0.99, false, false};
	burn_rate_sample_t failed = {"shop", "w", 0.99, true, false};
	burn_rate_sample_t late = {"shop", "w", 0.99, false, true};
	burn_rate_t *burn = burn_rate_new();

	burn_rate_record(burn, &failed, START);
	burn_rate_record(burn, &good, START + 10 * MINUTE);
	burn_rate_record(burn, &late, START + 10 * MINUTE);
	assert_int_equal(window_count(burn, START + 10 * MINUTE, "5m", "total"), 2);
	assert_int_equal(window_count(burn, START + 10 * MINUTE, "5m", "late"), 1);
	assert_int_equal(window_count(burn, START + 10 * MINUTE, "30m", "failed"), 1);
	assert_int_equal(window_count(burn, START + 70 * MINUTE, "1h", "total"), 0);
	assert_int_equal(window_count(burn, START + 70 * MINUTE, "6h", "total"), 3);
	assert_int_equal(window_count(burn, START + 73 * 60 * MINUTE, "3d", "total"), 0);
	burn_rate_delete(burn);
}

typedef struct shared {
	snapshot_t snapshot;
	int stop;
} shared_t;

static fleet_config_t *text_of(uint64_t version)
{
	error_list_t faults;
	fleet_config_t *text;

	error_list_init(&faults, "text");
	text = fleet_config_new(
		"{\"services\":[],\"endpoints\":[],\"workspaces\":[],\"routes\":[]}", version,
		&faults);
	error_list_clear(&faults);
	return text;
}

static void *watch(void *ctx)
{
	shared_t *shared = ctx;
	uint64_t highest = 0;

	while (!__atomic_load_n(&shared->stop, __ATOMIC_ACQUIRE)) {
		fleet_config_t *text = snapshot_get(&shared->snapshot);

		if (text && text->version < highest)
			return shared; /* it went back */
		if (text)
			highest = text->version;
		fleet_config_put(text);
	}
	return NULL;
}

static void *write_versions(void *ctx)
{
	shared_t *shared = ctx;

	for (uint64_t v = 1; v <= VERSIONS; v++)
		snapshot_set(&shared->snapshot, text_of(v));
	return NULL;
}

/* Two writers with the same versions, two readers: nobody reads a lower one after a higher. */
static void test_snapshot_never_goes_back(void **state)
{
	shared_t shared = {0};
	pthread_t writers[2];
	pthread_t readers[2];
	void *result;

	snapshot_init(&shared.snapshot);
	for (int i = 0; i < 2; i++) {
		pthread_create(&readers[i], NULL, watch, &shared);
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
	assert_false(snapshot_set(&shared.snapshot, text_of(VERSIONS - 1)));
	assert_int_equal(snapshot_version(&shared.snapshot), VERSIONS);
	snapshot_clear(&shared.snapshot);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_windows),
		cmocka_unit_test(test_snapshot_never_goes_back),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
