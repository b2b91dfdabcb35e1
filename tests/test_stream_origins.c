/* stream_origins - which streams are remembered and saved; time is given */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "core/stream_origins.h"

#define SERVICE 7U
#define OTHER_SERVICE 8U
#define V1 1U
#define V2 2U

static const service_version_t only_v1[] = {{SERVICE, V1}, {OTHER_SERVICE, V2}};
static const service_version_t both[] = {{SERVICE, V1}, {SERVICE, V2}, {OTHER_SERVICE, V2}};
static const service_version_t only_v2[] = {{SERVICE, V2}, {OTHER_SERVICE, V2}};

static void record(stream_origins_t *this, uint64_t stream, id_t32 version, instant_t now)
{
	const stream_origin_t origin = {stream, SERVICE, version};

	stream_origins_record(this, &origin, now);
}

static unsigned int count_unsaved(stream_origins_t *this)
{
	stream_origin_t origin;
	unsigned int count = 0;

	while (stream_origins_next_unsaved(this, &origin))
		count++;
	return count;
}

static void test_streams_of_one_version_are_remembered_but_not_saved(void **state)
{
	stream_origins_t *origins = stream_origins_new();
	instant_t now = USEC_PER_SEC;
	id_t32 version;

	stream_origins_set_versions(origins, only_v1, 2, now);
	record(origins, 100, V1, now);
	assert_false(stream_origins_is_mixed(origins));
	assert_int_equal(count_unsaved(origins), 0);
	assert_true(stream_origins_find(origins, SERVICE, 100, &version));
	assert_int_equal(version, V1);
	assert_false(stream_origins_find(origins, OTHER_SERVICE, 100, &version));
	assert_true(stream_origins_only_version(origins, SERVICE, &version));
	assert_int_equal(version, V1);
	stream_origins_delete(origins);
}

static void test_second_version_causes_earlier_streams_to_be_saved(void **state)
{
	stream_origins_t *origins = stream_origins_new();
	instant_t now = USEC_PER_SEC;
	id_t32 services[4];
	id_t32 version;

	stream_origins_set_versions(origins, only_v1, 2, now);
	record(origins, 100, V1, now);
	stream_origins_set_versions(origins, both, 3, now);
	record(origins, 101, V2, now);
	assert_int_equal(count_unsaved(origins), 2);
	assert_int_equal(count_unsaved(origins), 0);
	assert_false(stream_origins_only_version(origins, SERVICE, &version));
	assert_true(stream_origins_only_version(origins, OTHER_SERVICE, &version));
	assert_int_equal(stream_origins_mixed_services(origins, services, 4), 1);
	assert_int_equal(services[0], SERVICE);
	stream_origins_delete(origins);
}

/* A stream may break off and be taken up after the last endpoint of its version has left. */
static void test_version_is_known_for_a_while_after_it_has_left(void **state)
{
	stream_origins_t *origins = stream_origins_new();
	instant_t now = USEC_PER_SEC;
	id_t32 version;

	stream_origins_set_versions(origins, both, 3, now);
	stream_origins_set_versions(origins, only_v2, 2, now);
	now += STREAM_ORIGINS_MEMORY - 1;
	stream_origins_tick(origins, now);
	assert_false(stream_origins_only_version(origins, SERVICE, &version));
	stream_origins_tick(origins, now + 1);
	assert_true(stream_origins_only_version(origins, SERVICE, &version));
	assert_int_equal(version, V2);
	stream_origins_delete(origins);
}

/* A restarted router sees one version, but others have saved streams while there were two. */
static void test_note_of_saved_streams_counts_as_several_versions(void **state)
{
	stream_origins_t *origins = stream_origins_new();
	instant_t now = USEC_PER_SEC;
	id_t32 version;

	stream_origins_set_versions(origins, only_v2, 2, now);
	stream_origins_note_mixed(origins, SERVICE, now);
	assert_false(stream_origins_only_version(origins, SERVICE, &version));
	assert_true(stream_origins_only_version(origins, OTHER_SERVICE, &version));
	stream_origins_tick(origins, now + STREAM_ORIGINS_MEMORY);
	assert_true(stream_origins_only_version(origins, SERVICE, &version));
	stream_origins_delete(origins);
}

static void test_saved_stream_does_not_replace_what_this_router_has_seen(void **state)
{
	stream_origins_t *origins = stream_origins_new();
	const stream_origin_t saved = {100, SERVICE, V2};
	instant_t now = USEC_PER_SEC;
	id_t32 version;

	stream_origins_set_versions(origins, both, 3, now);
	record(origins, 100, V1, now);
	stream_origins_add_saved(origins, &saved, now);
	assert_true(stream_origins_find(origins, SERVICE, 100, &version));
	assert_int_equal(version, V1);
	stream_origins_delete(origins);
}

static void test_streams_are_forgotten_and_their_number_is_bounded(void **state)
{
	stream_origins_t *origins = stream_origins_new();
	instant_t now = USEC_PER_SEC;
	id_t32 version;

	for (unsigned int i = 0; i < STREAM_ORIGINS_MAX + 10; i++)
		record(origins, i + 1, V1, now);
	assert_int_equal(stream_origins_count(origins), STREAM_ORIGINS_MAX);
	assert_false(stream_origins_find(origins, SERVICE, 1, &version));
	record(origins, 11, V1, now + USEC_PER_SEC); /* goes on */
	stream_origins_tick(origins, now + STREAM_ORIGINS_MEMORY);
	assert_int_equal(stream_origins_count(origins), 1);
	assert_true(stream_origins_find(origins, SERVICE, 11, &version));
	stream_origins_delete(origins);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_streams_of_one_version_are_remembered_but_not_saved),
		cmocka_unit_test(test_second_version_causes_earlier_streams_to_be_saved),
		cmocka_unit_test(test_version_is_known_for_a_while_after_it_has_left),
		cmocka_unit_test(test_note_of_saved_streams_counts_as_several_versions),
		cmocka_unit_test(test_saved_stream_does_not_replace_what_this_router_has_seen),
		cmocka_unit_test(test_streams_are_forgotten_and_their_number_is_bounded),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
