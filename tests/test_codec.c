/* message_codec - round trips, and whatever else may come over the wire */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <glib.h>
#include <string.h>

#include "edge/message_codec.h"

static message_t *sample(unsigned int entries)
{
	message_t *m = g_new0(message_t, 1);

	m->from = 0xfffffffe;
	m->incarnation = UINT64_MAX;
	m->seq = 1;
	m->flags = MESSAGE_FULL;
	m->asks.count = m->holds.count = m->grants.count = m->served.count = entries;
	m->prior_served.count = m->pools.count = m->leaving.count = entries;
	for (unsigned int i = 0; i < entries; i++) {
		m->asks.entry[i] = (demand_entry_t){i, UINT32_MAX, {1, 2, i}, 1};
		m->holds.entry[i] = (hold_entry_t){i, 4, 3, 2, 1};
		m->grants.entry[i] = (grant_entry_t){i, 0, i % WORK_CLASSES, 1};
		m->served.entry[i] = (served_entry_t){i, 5, UINT64_MAX - i};
		m->prior_served.entry[i] = (served_entry_t){i, 6, i};
		m->pools.entry[i] = (pool_entry_t){i, i, 1};
		m->leaving.entry[i] = i;
	}
	return m;
}

static void test_round_trip(void **state)
{
	const unsigned int sizes[] = {0, 1, MESSAGE_MAX_ENTRIES};
	char *wire = g_malloc(MESSAGE_CODEC_MAX_BYTES);
	message_t *back = g_new0(message_t, 1);

	for (unsigned int i = 0; i < ARRAY_LEN(sizes); i++) {
		message_t *m = sample(sizes[i]);
		size_t size = message_encode(m, wire);

		print_message("  %u entries a section: %zu bytes\n", sizes[i], size);
		assert_true(message_decode(wire, size, back));
		assert_memory_equal(m, back, sizeof(*m));
		g_free(m);
	}
	g_free(back);
	g_free(wire);
}

static void test_what_is_cut_or_longer_is_refused(void **state)
{
	char *wire = g_malloc0(MESSAGE_CODEC_MAX_BYTES);
	message_t *back = g_new0(message_t, 1);
	message_t *m = sample(3);
	size_t size = message_encode(m, wire);

	for (size_t cut = 0; cut < size; cut++)
		assert_false(message_decode(wire, cut, back));
	assert_false(message_decode(wire, size + 1, back));
	assert_false(message_decode(wire, MESSAGE_CODEC_MAX_BYTES + 1, back));
	g_free(m);
	g_free(back);
	g_free(wire);
}

/* Any one byte changed: refused, or read as other numbers within the bounds. */
static void test_changed_bytes_stay_within_bounds(void **state)
{
	char *wire = g_malloc0(MESSAGE_CODEC_MAX_BYTES);
	message_t *back = g_new0(message_t, 1);
	message_t *m = sample(2);
	size_t size = message_encode(m, wire);
	unsigned int refused = 0;

	for (size_t at = 0; at < size; at++) {
		for (int value = 0; value < 256; value++) {
			char kept = wire[at];

			wire[at] = (char)value;
			if (!message_decode(wire, size, back))
				refused++;
			else
				assert_true(back->asks.count <= MESSAGE_MAX_ENTRIES &&
					    back->grants.count <= MESSAGE_MAX_ENTRIES);
			wire[at] = kept;
		}
	}
	print_message("  %u of %zu changes refused\n", refused, size * 256);
	assert_true(refused > 0);
	g_free(m);
	g_free(back);
	g_free(wire);
}

static void test_foreign_versions_are_refused(void **state)
{
	char *wire = g_malloc0(MESSAGE_CODEC_MAX_BYTES);
	message_t *back = g_new0(message_t, 1);
	message_t *m = sample(0);
	size_t size = message_encode(m, wire);
	size_t at = 3; /* after the array's head of three bytes or one */

	for (at = 0; at < 4; at++) {
		if (wire[at] == MESSAGE_VERSION)
			break;
	}
	wire[at] = MESSAGE_VERSION + 1;
	assert_false(message_decode(wire, size, back));
	wire[at] = 0;
	assert_false(message_decode(wire, size, back));
	g_free(m);
	g_free(back);
	g_free(wire);
}

/* Found by the fuzzer: a few bytes that made the library ask for 256 GiB. */
static void test_claimed_sizes_are_not_believed(void **state)
{
	static const uint8_t map[] = {0xdc, 0x00, 0x0d, 0x00, 0x00, 0xdf, 0xdf, 0xdf, 0xdf, 0xdf};
	static const uint8_t array[] = {0xdd, 0xff, 0xff, 0xff, 0xff, 0x00};
	static const uint8_t short_array[] = {0xdc, 0xff, 0xff, 0x00};
	message_t *back = g_new0(message_t, 1);

	assert_false(message_decode((const char *)map, sizeof(map), back));
	assert_false(message_decode((const char *)array, sizeof(array), back));
	assert_false(message_decode((const char *)short_array, sizeof(short_array), back));
	g_free(back);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_round_trip),
		cmocka_unit_test(test_what_is_cut_or_longer_is_refused),
		cmocka_unit_test(test_changed_bytes_stay_within_bounds),
		cmocka_unit_test(test_foreign_versions_are_refused),
		cmocka_unit_test(test_claimed_sizes_are_not_believed),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
