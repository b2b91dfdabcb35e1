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

static unsigned int count_listed(const stream_origins_t *this, instant_t now)
{
	stream_origin_t list[8];

	return stream_origins_list(this, list, ARRAY_LEN(list), now);
}

static void test_streams_of_one_version_are_remembered_but_not_listed(void **state)
{
	stream_origins_t *origins = stream_origins_new();
	instant_t now = USEC_PER_SEC;
	id_t32 version;

	stream_origins_set_versions(origins, only_v1, 2, now);
	record(origins, 100, V1, now);
	assert_false(stream_origins_is_mixed(origins));
	assert_int_equal(count_listed(origins, now), 0);
	assert_true(stream_origins_find(origins, SERVICE, 100, &version));
	assert_int_equal(version, V1);
	assert_false(stream_origins_find(origins, OTHER_SERVICE, 100, &version));
	assert_true(stream_origins_only_version(origins, SERVICE, &version));
	assert_int_equal(version, V1);
	stream_origins_delete(origins);
}

static void test_second_version_causes_earlier_streams_to_be_listed(void **state)
{
	stream_origins_t *origins = stream_origins_new();
	instant_t now = USEC_PER_SEC;
	id_t32 services[4];
	id_t32 version;

	stream_origins_set_versions(origins, only_v1, 2, now);
	record(origins, 100, V1, now);
	stream_origins_set_versions(origins, both, 3, now);
	record(origins, 101, V2, now);
	assert_int_equal(count_listed(origins, now), 2);
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

/* Nobody takes up a stream that was received to its end, so the rows hold few streams. */
static void test_only_streams_that_may_be_taken_up_are_listed(void **state)
{
	stream_origins_t *origins = stream_origins_new();
	instant_t now = USEC_PER_SEC;
	stream_origin_t list[2];
	id_t32 version;

	stream_origins_set_versions(origins, both, 3, now);
	record(origins, 100, V1, now);
	record(origins, 101, V2, now);
	stream_origins_complete(origins, SERVICE, 100, now);
	now += STREAM_ORIGINS_COMPLETE_MEMORY - 1;
	stream_origins_tick(origins, now);
	assert_int_equal(count_listed(origins, now), 2); /* its end may have been lost */
	now++;
	stream_origins_tick(origins, now);
	assert_int_equal(stream_origins_list(origins, list, 2, now), 1);
	assert_int_equal(list[0].stream, 101);
	assert_int_equal(list[0].version, V2);
	assert_true(stream_origins_find(origins, SERVICE, 100, &version));
	record(origins, 100, V1, now); /* it was taken up */
	assert_int_equal(count_listed(origins, now), 2);
	stream_origins_delete(origins);
}

static void test_newest_streams_are_listed_first(void **state)
{
	stream_origins_t *origins = stream_origins_new();
	instant_t now = USEC_PER_SEC;
	stream_origin_t list[3];

	stream_origins_set_versions(origins, both, 3, now);
	for (unsigned int i = 0; i < 5; i++)
		record(origins, 100 + i, V1, now);
	assert_int_equal(stream_origins_list(origins, list, 3, now), 3);
	assert_int_equal(list[0].stream, 104);
	assert_int_equal(list[2].stream, 102);
	stream_origins_delete(origins);
}

static void test_record_is_the_same_after_encoding(void **state)
{
	const stream_origin_t origin = {0x0123456789abcdef, 0xfedcba98, 0x76543210};
	char record_bytes[STREAM_RECORD_BYTES];
	stream_origin_t decoded;

	stream_origin_encode(&origin, record_bytes);
	assert_int_equal((unsigned char)record_bytes[0], 0xef); /* little-endian on any machine */
	decoded = stream_origin_decode(record_bytes);
	assert_int_equal(decoded.stream, origin.stream);
	assert_int_equal(decoded.service, origin.service);
	assert_int_equal(decoded.version, origin.version);
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
		cmocka_unit_test(test_streams_of_one_version_are_remembered_but_not_listed),
		cmocka_unit_test(test_second_version_causes_earlier_streams_to_be_listed),
		cmocka_unit_test(test_version_is_known_for_a_while_after_it_has_left),
		cmocka_unit_test(test_note_of_saved_streams_counts_as_several_versions),
		cmocka_unit_test(test_only_streams_that_may_be_taken_up_are_listed),
		cmocka_unit_test(test_newest_streams_are_listed_first),
		cmocka_unit_test(test_record_is_the_same_after_encoding),
		cmocka_unit_test(test_streams_are_forgotten_and_their_number_is_bounded),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
