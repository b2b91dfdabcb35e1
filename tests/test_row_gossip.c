/* row_gossip - which peer is asked for rows, and when; time is given */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <string.h>

#include "gateway/row_gossip.h"

#define PEERS 60
#define VERSION 100
#define SECOND USEC_PER_SEC

typedef struct gossip_fixture {
	row_cache_t *cache;
	row_gossip_t *gossip;
	entry_writer_t *writer;
	unsigned int deliveries; /* times that rows of a peer were delivered */
} gossip_fixture_t;

static void store_rows(void *ctx, cached_table_t table, const GArray *rows)
{
	gossip_fixture_t *f = ctx;

	f->deliveries++;
	for (unsigned int i = 0; i < rows->len; i++)
		row_cache_put(f->cache, table, &g_array_index(rows, store_row_t, i));
}

static gossip_fixture_t *gossip_fixture_new_for(id_t32 self)
{
	gossip_fixture_t *f = g_new0(gossip_fixture_t, 1);
	row_gossip_options_t options = {.self = self, .on_rows = store_rows, .ctx = f};

	f->cache = row_cache_new();
	options.row_cache = f->cache;
	f->gossip = row_gossip_new(&options);
	f->writer = entry_writer_new();
	return f;
}

static gossip_fixture_t *gossip_fixture_new(void)
{
	return gossip_fixture_new_for(1);
}

static void gossip_fixture_delete(gossip_fixture_t *f)
{
	row_gossip_delete(f->gossip);
	row_cache_delete(f->cache);
	entry_writer_delete(f->writer);
	g_free(f);
}

/* Number of requests for rows in the next message to each peer. */
static unsigned int count_requests(gossip_fixture_t *f, instant_t now)
{
	message_header_t header = {.from = 1, .incarnation = 1, .seq = 1};
	unsigned int count = 0;

	for (unsigned int slot = 1; slot <= PEERS; slot++) {
		entry_reader_t *reader;
		message_entry_t entry;
		const char *bytes;
		size_t size;

		entry_writer_begin(f->writer, &header);
		row_gossip_write(f->gossip, slot, f->writer, now);
		bytes = entry_writer_data(f->writer, &size);
		reader = entry_reader_new(bytes, size, &header);
		while (entry_reader_next(reader, &entry, now))
			count += entry.kind == ENTRY_ROW_REQUEST;
		entry_reader_delete(reader);
	}
	return count;
}

static void announce(gossip_fixture_t *f, unsigned int slot, instant_t now)
{
	message_entry_t entry = {
		.kind = ENTRY_ROW_VERSION, .table = CACHED_ENDPOINTS, .version = VERSION};

	row_gossip_handle_entry(f->gossip, slot, &entry, now);
}

/* Sends the next row of a request's `count`, of which `left` follow. */
static void send_row_of(gossip_fixture_t *f, unsigned int slot, store_version_t version,
	unsigned int left, unsigned int count, instant_t now)
{
	char *key = g_strdup_printf("i-%u", left);
	message_entry_t entry = {
		.kind = ENTRY_ROW_CHUNK,
		.table = CACHED_ENDPOINTS,
		.version = version.number,
		.era = version.era,
		.key = key,
		.bytes = "{}",
		.size = 2,
		.total_size = 2,
		.value = left,
		.row_count = count,
	};

	row_gossip_handle_entry(f->gossip, slot, &entry, now);
	g_free(key);
}

static void send_only_row(gossip_fixture_t *f, unsigned int slot, uint64_t number, instant_t now)
{
	send_row_of(f, slot, (store_version_t){.number = number}, 0, 1, now);
}

/* A router that starts hears of the same rows from every peer; each would send all of them. */
static void test_starting_router_asks_one_peer_at_a_time(void **state)
{
	gossip_fixture_t *f = gossip_fixture_new();

	for (unsigned int slot = 1; slot <= PEERS; slot++)
		announce(f, slot, SECOND);
	assert_int_equal(count_requests(f, SECOND), 1);
	assert_int_equal(count_requests(f, SECOND + 900 * USEC_PER_MSEC), 0);
	assert_int_equal(count_requests(f, 2 * SECOND), 1);
	gossip_fixture_delete(f);
}

static void test_no_further_peer_is_asked_once_all_rows_have_arrived(void **state)
{
	gossip_fixture_t *f = gossip_fixture_new();

	for (unsigned int slot = 1; slot <= PEERS; slot++)
		announce(f, slot, SECOND);
	assert_int_equal(count_requests(f, SECOND), 1);
	send_only_row(f, 1, VERSION, SECOND);
	assert_int_equal(count_requests(f, 3 * SECOND), 0);
	gossip_fixture_delete(f);
}

/* The rows of a peer that knows less than another one leave the router behind. */
static void test_next_peer_is_asked_at_once_if_rows_are_still_missing(void **state)
{
	gossip_fixture_t *f = gossip_fixture_new();

	announce(f, 1, SECOND);
	announce(f, 2, SECOND);
	assert_int_equal(count_requests(f, SECOND), 1);
	send_only_row(f, 1, VERSION - 1, SECOND);
	assert_int_equal(count_requests(f, SECOND), 1);
	gossip_fixture_delete(f);
}

/* After a restore of the store, versions of the newer era are lower than those of the older. */
static void test_peer_of_a_newer_era_is_asked_and_one_of_an_older_era_is_not(void **state)
{
	gossip_fixture_t *f = gossip_fixture_new();
	message_entry_t older = {
		.kind = ENTRY_ROW_VERSION,
		.table = CACHED_ENDPOINTS,
		.version = 2 * VERSION,
		.era = 1,
	};
	message_entry_t newer = {
		.kind = ENTRY_ROW_VERSION,
		.table = CACHED_ENDPOINTS,
		.version = VERSION,
		.era = 3,
	};

	send_row_of(f, 1, (store_version_t){.era = 2, .number = VERSION + 10}, 0, 1, SECOND);
	row_gossip_handle_entry(f->gossip, 1, &older, SECOND);
	assert_int_equal(count_requests(f, 3 * SECOND), 0);
	row_gossip_handle_entry(f->gossip, 2, &newer, 3 * SECOND);
	assert_int_equal(count_requests(f, 4 * SECOND), 1);
	gossip_fixture_delete(f);
}

/* Rows of a newer era replace the whole table, so a part of them must not be applied. */
static void test_rows_of_a_request_are_delivered_only_if_all_have_arrived(void **state)
{
	gossip_fixture_t *f = gossip_fixture_new();
	store_version_t version = {.era = 2, .number = VERSION};

	send_row_of(f, 1, version, 2, 3, SECOND);
	send_row_of(f, 1, version, 0, 3, SECOND);
	assert_int_equal(f->deliveries, 0);
	send_row_of(f, 1, version, 2, 3, SECOND);
	send_row_of(f, 1, version, 1, 3, SECOND);
	assert_int_equal(f->deliveries, 0);
	send_row_of(f, 1, version, 0, 3, SECOND);
	assert_int_equal(f->deliveries, 1);
	gossip_fixture_delete(f);
}

#define CHUNK 16384

/* Sends a row of this size in chunks. */
static void send_large_row(
	gossip_fixture_t *f, uint32_t size, unsigned int left, unsigned int count)
{
	static const char bytes[CHUNK];
	char *key = g_strdup_printf("i-%u", left);
	message_entry_t entry = {
		.kind = ENTRY_ROW_CHUNK,
		.table = CACHED_ENDPOINTS,
		.version = VERSION,
		.key = key,
		.bytes = bytes,
		.size = CHUNK,
		.total_size = size,
		.value = left,
		.row_count = count,
	};

	for (; entry.offset < size; entry.offset += CHUNK)
		row_gossip_handle_entry(f->gossip, 1, &entry, SECOND);
	g_free(key);
}

/* Guards against a peer whose row, or rows together, take memory for as long as they come. */
static void test_rows_of_a_peer_are_bounded(void **state)
{
	gossip_fixture_t *f = gossip_fixture_new();

	send_large_row(f, 64 * CHUNK, 0, 1);
	assert_int_equal(f->deliveries, 1);
	send_large_row(f, 65 * CHUNK, 0, 1);
	assert_int_equal(f->deliveries, 1);
	for (unsigned int left = 15; left < 16; left--)
		send_large_row(f, 64 * CHUNK, left, 16);
	assert_int_equal(f->deliveries, 2);
	for (unsigned int left = 99; left < 100; left--)
		send_large_row(f, 64 * CHUNK, left, 100);
	assert_int_equal(f->deliveries, 2);
	gossip_fixture_delete(f);
}

static bool has_request(gossip_fixture_t *f, unsigned int slot, instant_t now)
{
	return row_gossip_is_due(f->gossip, slot, false, now);
}

/* Notes the rows of each table in the next message to the peer. */
static void count_rows(gossip_fixture_t *f, unsigned int slot,
	unsigned int rows[CACHED_TABLE_COUNT], instant_t now)
{
	message_header_t header = {.from = 1, .incarnation = 1, .seq = 1};
	message_entry_t entry;
	entry_reader_t *reader;
	const char *bytes;
	size_t size;

	memset(rows, 0, CACHED_TABLE_COUNT * sizeof(*rows));
	entry_writer_begin(f->writer, &header);
	row_gossip_write(f->gossip, slot, f->writer, now);
	bytes = entry_writer_data(f->writer, &size);
	reader = entry_reader_new(bytes, size, &header);
	while (entry_reader_next(reader, &entry, now)) {
		if (entry.kind != ENTRY_ROW_CHUNK)
			continue;
		rows[entry.table]++;
		assert_int_equal(entry.row_count, 2);
	}
	entry_reader_delete(reader);
}

/* A router that starts without the store asks for all tables at once; none may wait for a retry. */
static void test_requests_for_several_tables_are_all_answered(void **state)
{
	gossip_fixture_t *f = gossip_fixture_new();
	unsigned int rows[CACHED_TABLE_COUNT];

	for (unsigned int table = 0; table < CACHED_TABLE_COUNT; table++) {
		message_entry_t request = {.kind = ENTRY_ROW_REQUEST, .table = table};

		for (unsigned int i = 1; i <= 2; i++) {
			store_row_t row = {.key = i == 1 ? "a" : "b",
				.value = "",
				.version = {.number = 10 * i + table}};

			row_cache_put(f->cache, (cached_table_t)table, &row);
		}
		row_gossip_handle_entry(f->gossip, 1, &request, SECOND);
		row_gossip_handle_entry(f->gossip, 1, &request, SECOND);
	}
	assert_true(row_gossip_is_due(f->gossip, 1, false, SECOND));
	count_rows(f, 1, rows, SECOND);
	for (unsigned int table = 0; table < CACHED_TABLE_COUNT; table++)
		assert_int_equal(rows[table], 2);
	assert_false(row_gossip_is_due(f->gossip, 1, false, SECOND));
	gossip_fixture_delete(f);
}

/* The store delivers them in most cases. */
static void test_router_that_reads_the_store_waits_before_it_asks(void **state)
{
	gossip_fixture_t *f = gossip_fixture_new();

	send_only_row(f, 1, VERSION - 1, SECOND);
	announce(f, 1, SECOND);
	assert_int_equal(count_requests(f, SECOND + 350 * USEC_PER_MSEC), 0);
	assert_int_equal(count_requests(f, SECOND + 450 * USEC_PER_MSEC), 1);
	gossip_fixture_delete(f);
}

/* Its peers are its only source: it asks soon, and another one soon if there is no answer. */
static void test_router_that_does_not_read_the_store_asks_soon(void **state)
{
	gossip_fixture_t *f = gossip_fixture_new();
	instant_t now = SECOND;

	send_only_row(f, 1, VERSION - 1, now);
	row_gossip_set_only_source(f->gossip, true);
	for (unsigned int slot = 1; slot <= 3; slot++)
		announce(f, slot, now);
	now += 70 * USEC_PER_MSEC;
	assert_int_equal(count_requests(f, now), 1);
	assert_int_equal(count_requests(f, now + 300 * USEC_PER_MSEC), 0);
	assert_int_equal(count_requests(f, now + 450 * USEC_PER_MSEC), 1);
	send_only_row(f, 2, VERSION, now + 460 * USEC_PER_MSEC);
	assert_int_equal(count_requests(f, now + 2 * SECOND), 0);
	gossip_fixture_delete(f);
}

/* Readers of the store tell at the same time; each is asked first by some of the routers. */
static void test_requests_of_routers_that_do_not_read_are_spread(void **state)
{
	unsigned int asked_first[3] = {0};

	for (id_t32 self = 1000; self < 1060; self++) {
		gossip_fixture_t *f = gossip_fixture_new_for(self);
		instant_t now = SECOND;
		unsigned int slot = 0;

		send_only_row(f, 1, VERSION - 1, now);
		row_gossip_set_only_source(f->gossip, true);
		for (unsigned int i = 1; i <= 3; i++)
			announce(f, i, now);
		for (; !slot; now += USEC_PER_MSEC) {
			for (unsigned int i = 1; i <= 3 && !slot; i++)
				slot = has_request(f, i, now) ? i : 0;
		}
		asked_first[slot - 1]++;
		gossip_fixture_delete(f);
	}
	for (unsigned int i = 0; i < 3; i++)
		assert_in_range(asked_first[i], 10, 30);
}

/* A new version that need not be told at once goes out with the next message. */
static void test_version_goes_out_with_the_next_message(void **state)
{
	gossip_fixture_t *f = gossip_fixture_new();

	send_only_row(f, 1, VERSION, SECOND);
	assert_true(row_gossip_is_due(f->gossip, 2, true, SECOND));
	assert_false(row_gossip_is_due(f->gossip, 2, false, SECOND));
	count_requests(f, SECOND);
	assert_false(row_gossip_is_due(f->gossip, 2, true, SECOND));
	gossip_fixture_delete(f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_starting_router_asks_one_peer_at_a_time),
		cmocka_unit_test(test_no_further_peer_is_asked_once_all_rows_have_arrived),
		cmocka_unit_test(test_next_peer_is_asked_at_once_if_rows_are_still_missing),
		cmocka_unit_test(test_peer_of_a_newer_era_is_asked_and_one_of_an_older_era_is_not),
		cmocka_unit_test(test_rows_of_a_request_are_delivered_only_if_all_have_arrived),
		cmocka_unit_test(test_rows_of_a_peer_are_bounded),
		cmocka_unit_test(test_router_that_reads_the_store_waits_before_it_asks),
		cmocka_unit_test(test_router_that_does_not_read_the_store_asks_soon),
		cmocka_unit_test(test_requests_of_routers_that_do_not_read_are_spread),
		cmocka_unit_test(test_requests_for_several_tables_are_all_answered),
		cmocka_unit_test(test_version_goes_out_with_the_next_message),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
