/* message_codec - round trips, and the rejection of malformed messages */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <glib.h>
#include <string.h>

#include "edge/message_codec.h"

static message_t *make_message(unsigned int entries)
{
	message_t *m = g_new0(message_t, 1);

	m->from = 0xfffffffe;
	m->incarnation = UINT64_MAX;
	m->seq = 1;
	m->flags = MESSAGE_FULL;
	m->demands.count = m->holds.count = m->grants.count = m->served.count = entries;
	m->prior_served.count = m->pools.count = m->leaving.count = entries;
	for (unsigned int i = 0; i < entries; i++) {
		m->demands.entry[i] = (demand_entry_t){i, UINT32_MAX, {1, 2, i}, 1};
		m->holds.entry[i] = (hold_entry_t){i, 4, 3, 2, 1};
		m->grants.entry[i] = (grant_entry_t){i, 0, i % WORK_CLASSES, 1};
		m->served.entry[i] = (served_entry_t){i, 5, UINT64_MAX - i};
		m->prior_served.entry[i] = (served_entry_t){i, 6, i};
		m->pools.entry[i] = (pool_entry_t){i, i, 1};
		m->leaving.entry[i] = i;
	}
	return m;
}

static void test_decoded_message_equals_encoded_message(void **state)
{
	const unsigned int sizes[] = {0, 1, MESSAGE_MAX_ENTRIES};
	char *wire = g_malloc(MESSAGE_CODEC_MAX_BYTES);
	message_t *decoded = g_new0(message_t, 1);

	for (unsigned int i = 0; i < ARRAY_LEN(sizes); i++) {
		message_t *m = make_message(sizes[i]);
		size_t size = message_encode(m, wire);

		print_message("  %u entries in each section: %zu bytes\n", sizes[i], size);
		assert_true(message_decode(wire, size, decoded));
		assert_memory_equal(m, decoded, sizeof(*m));
		g_free(m);
	}
	g_free(decoded);
	g_free(wire);
}

static void test_truncated_or_too_long_message_is_rejected(void **state)
{
	char *wire = g_malloc0(MESSAGE_CODEC_MAX_BYTES);
	message_t *decoded = g_new0(message_t, 1);
	message_t *m = make_message(3);
	size_t size = message_encode(m, wire);

	for (size_t cut = 0; cut < size; cut++)
		assert_false(message_decode(wire, cut, decoded));
	assert_false(message_decode(wire, size + 1, decoded));
	assert_false(message_decode(wire, MESSAGE_CODEC_MAX_BYTES + 1, decoded));
	g_free(m);
	g_free(decoded);
	g_free(wire);
}

/*
 * After a change of any one byte the message is either rejected, or decoded to other
 * numbers with its entry counts within the bounds.
 */
static void test_message_with_one_changed_byte_is_rejected_or_within_bounds(void **state)
{
	char *wire = g_malloc0(MESSAGE_CODEC_MAX_BYTES);
	message_t *decoded = g_new0(message_t, 1);
	message_t *m = make_message(2);
	size_t size = message_encode(m, wire);
	unsigned int rejected = 0;

	for (size_t at = 0; at < size; at++) {
		for (int value = 0; value < 256; value++) {
			char original = wire[at];

			wire[at] = (char)value;
			if (!message_decode(wire, size, decoded))
				rejected++;
			else
				assert_true(decoded->demands.count <= MESSAGE_MAX_ENTRIES &&
					    decoded->grants.count <= MESSAGE_MAX_ENTRIES);
			wire[at] = original;
		}
	}
	print_message("  %u of %zu changes rejected\n", rejected, size * 256);
	assert_true(rejected > 0);
	g_free(m);
	g_free(decoded);
	g_free(wire);
}

static void test_message_of_other_version_is_rejected(void **state)
{
	char *wire = g_malloc0(MESSAGE_CODEC_MAX_BYTES);
	message_t *decoded = g_new0(message_t, 1);
	message_t *m = make_message(0);
	size_t size = message_encode(m, wire);
	size_t at;

	/* The version follows the array header, which takes one or three bytes. */
	for (at = 0; at < 4; at++) {
		if (wire[at] == MESSAGE_VERSION)
			break;
	}
	wire[at] = MESSAGE_VERSION + 1;
	assert_false(message_decode(wire, size, decoded));
	wire[at] = 0;
	assert_false(message_decode(wire, size, decoded));
	g_free(m);
	g_free(decoded);
	g_free(wire);
}

/*
 * Found by the fuzzer: a few bytes that claimed a large number of elements made the
 * msgpack library request 256 GiB of memory.
 */
static void test_element_count_beyond_message_size_is_rejected(void **state)
{
	static const uint8_t map[] = {0xdc, 0x00, 0x0d, 0x00, 0x00, 0xdf, 0xdf, 0xdf, 0xdf, 0xdf};
	static const uint8_t array[] = {0xdd, 0xff, 0xff, 0xff, 0xff, 0x00};
	static const uint8_t short_array[] = {0xdc, 0xff, 0xff, 0x00};
	message_t *decoded = g_new0(message_t, 1);

	assert_false(message_decode((const char *)map, sizeof(map), decoded));
	assert_false(message_decode((const char *)array, sizeof(array), decoded));
	assert_false(message_decode((const char *)short_array, sizeof(short_array), decoded));
	g_free(decoded);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_decoded_message_equals_encoded_message),
		cmocka_unit_test(test_truncated_or_too_long_message_is_rejected),
		cmocka_unit_test(test_message_with_one_changed_byte_is_rejected_or_within_bounds),
		cmocka_unit_test(test_message_of_other_version_is_rejected),
		cmocka_unit_test(test_element_count_beyond_message_size_is_rejected),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
