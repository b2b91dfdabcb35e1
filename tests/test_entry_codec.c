/* entry_codec - entries with bytes, and what a reader does at an entry that it can't read */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <string.h>

#include "core/origin_keeper.h"
#include "edge/entry_codec.h"

#define NOW (5 * USEC_PER_SEC)

static const message_header_t header = {.from = 7, .incarnation = UINT64_MAX / 2, .seq = 9};

static entry_writer_t *begin(void)
{
	entry_writer_t *writer = entry_writer_new();

	entry_writer_begin(writer, &header);
	return writer;
}

static entry_reader_t *read_back(const entry_writer_t *writer, size_t cut_off)
{
	message_header_t decoded;
	size_t size;
	const char *bytes = entry_writer_data(writer, &size);
	entry_reader_t *reader = entry_reader_new(bytes, size - cut_off, &decoded);

	assert_non_null(reader);
	assert_int_equal(decoded.incarnation, header.incarnation);
	return reader;
}

static void test_largest_report_of_streams_is_the_same_after_decoding(void **state)
{
	static char bytes[ORIGIN_REPORT_MAX_BYTES];
	message_entry_t entries[] = {
		{.kind = ENTRY_STREAMS, .ticket = 3, .bytes = bytes, .size = sizeof(bytes)},
		{.kind = ENTRY_STREAMS, .ticket = 4},
		{.kind = ENTRY_STREAMS_SAVED, .ticket = UINT64_MAX / 2, .version = 5},
	};
	entry_writer_t *writer = begin();
	entry_reader_t *reader;
	message_entry_t decoded;

	for (size_t i = 0; i < sizeof(bytes); i++)
		bytes[i] = (char)i;
	for (unsigned int i = 0; i < ARRAY_LEN(entries); i++)
		entry_writer_add(writer, &entries[i], NOW);
	assert_true(entry_writer_bytes_left(writer) > 0);
	reader = read_back(writer, 0);
	for (unsigned int i = 0; i < ARRAY_LEN(entries); i++) {
		assert_true(entry_reader_next(reader, &decoded, NOW));
		assert_int_equal(decoded.kind, entries[i].kind);
		assert_int_equal(decoded.ticket, entries[i].ticket);
		assert_int_equal(decoded.version, entries[i].version);
		assert_int_equal(decoded.size, entries[i].size);
		if (decoded.size)
			assert_memory_equal(decoded.bytes, bytes, decoded.size);
	}
	assert_false(entry_reader_next(reader, &decoded, NOW));
	entry_reader_delete(reader);
	entry_writer_delete(writer);
}

static void test_report_that_is_cut_off_is_not_read(void **state)
{
	static char bytes[STREAM_RECORD_BYTES];
	message_entry_t entry = {
		.kind = ENTRY_STREAMS, .ticket = 3, .bytes = bytes, .size = sizeof(bytes)};
	entry_writer_t *writer = begin();

	entry_writer_add(writer, &entry, NOW);
	for (size_t cut_off = 1; cut_off < sizeof(bytes) + 3; cut_off++) {
		entry_reader_t *reader = read_back(writer, cut_off);

		assert_false(entry_reader_next(reader, &entry, NOW));
		entry_reader_delete(reader);
	}
	entry_writer_delete(writer);
}

static void test_state_of_an_engine_is_the_same_after_decoding(void **state)
{
	const engine_state_report_t reports[] = {
		{.cold_left = 2900000, .cold_age = 1, .cold_pace = 12000},
		{.cold_left = UINT64_MAX, .cold_age = UINT64_MAX / 4, .cold_pace = RATE_MAX},
		{.prefill_token_ns = UINT32_MAX,
			.decode_step_us = 3410,
			.speed_samples = 7,
			.speed_age = UINT64_MAX},
	};
	message_entry_t grant = {.kind = ENTRY_GRANT, .ticket = 3, .engine = 4};
	entry_writer_t *writer = begin();
	entry_reader_t *reader;
	message_entry_t decoded;

	for (unsigned int i = 0; i < ARRAY_LEN(reports); i++) {
		message_entry_t entry = {.kind = ENTRY_ENGINE_STATE,
			.engine = UINT32_MAX - i,
			.engine_state = reports[i]};

		entry_writer_add(writer, &entry, NOW);
	}
	entry_writer_add(writer, &grant, NOW);
	reader = read_back(writer, 0);
	for (unsigned int i = 0; i < ARRAY_LEN(reports); i++) {
		assert_true(entry_reader_next(reader, &decoded, NOW));
		assert_int_equal(decoded.kind, ENTRY_ENGINE_STATE);
		assert_int_equal(decoded.engine, UINT32_MAX - i);
		assert_memory_equal(&decoded.engine_state, &reports[i], sizeof(reports[i]));
	}
	assert_true(entry_reader_next(reader, &decoded, NOW));
	assert_int_equal(decoded.engine, 4);
	entry_reader_delete(reader);
	entry_writer_delete(writer);
}

/* A router of a later build may send kinds that this one does not know. */
static void test_entries_before_one_of_unknown_kind_are_read(void **state)
{
	message_entry_t known = {.kind = ENTRY_GRANT, .ticket = 3, .engine = 4};
	message_entry_t unknown = {.kind = ENTRY_KINDS};
	entry_writer_t *writer = begin();
	entry_reader_t *reader;
	message_entry_t decoded;

	entry_writer_add(writer, &known, NOW);
	entry_writer_add(writer, &unknown, NOW);
	reader = read_back(writer, 0);
	assert_true(entry_reader_next(reader, &decoded, NOW));
	assert_int_equal(decoded.engine, 4);
	assert_false(entry_reader_next(reader, &decoded, NOW));
	entry_reader_delete(reader);
	entry_writer_delete(writer);
}

static void test_usage_tells_what_is_read_and_how_fast(void **state)
{
	message_entry_t entry = {.kind = ENTRY_SLOT_USAGE,
		.pool = 7,
		.usage = {.slots = 16, .taken = 9, .reading_ms = 640, .prefill_token_ns = 15000}};
	entry_writer_t *writer = begin();
	entry_reader_t *reader;
	message_entry_t decoded;

	entry_writer_add(writer, &entry, NOW);
	reader = read_back(writer, 0);
	assert_true(entry_reader_next(reader, &decoded, NOW));
	assert_memory_equal(&decoded.usage, &entry.usage, sizeof(entry.usage));
	entry_reader_delete(reader);
	entry_writer_delete(writer);
}

/* An owner of an earlier build reads nothing, as far as others know, at an unknown speed. */
static void test_usage_of_an_earlier_build_is_read(void **state)
{
	const char usage[] = {(char)0x94, ENTRY_SLOT_USAGE, 7, 16, 9};
	message_header_t decoded_header;
	entry_writer_t *writer = begin();
	char bytes[256];
	size_t size;
	const char *head = entry_writer_data(writer, &size);
	entry_reader_t *reader;
	message_entry_t decoded;

	assert_true(size + sizeof(usage) <= sizeof(bytes));
	memcpy(bytes, head, size);
	memcpy(bytes + size, usage, sizeof(usage));
	reader = entry_reader_new(bytes, size + sizeof(usage), &decoded_header);
	assert_non_null(reader);
	assert_true(entry_reader_next(reader, &decoded, NOW));
	assert_int_equal(decoded.pool, 7);
	assert_int_equal(decoded.usage.slots, 16);
	assert_int_equal(decoded.usage.taken, 9);
	assert_int_equal(decoded.usage.reading_ms, 0);
	assert_int_equal(decoded.usage.prefill_token_ns, 0);
	entry_reader_delete(reader);
	entry_writer_delete(writer);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_usage_tells_what_is_read_and_how_fast),
		cmocka_unit_test(test_usage_of_an_earlier_build_is_read),
		cmocka_unit_test(test_largest_report_of_streams_is_the_same_after_decoding),
		cmocka_unit_test(test_report_that_is_cut_off_is_not_read),
		cmocka_unit_test(test_state_of_an_engine_is_the_same_after_decoding),
		cmocka_unit_test(test_entries_before_one_of_unknown_kind_are_read),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
