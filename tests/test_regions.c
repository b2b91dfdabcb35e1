/* threaded: regions - requests that may run only in some regions, by their route and workspace */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <string.h>
#include <unistd.h>

#include "core/region_set.h"
#include "edge/clock.h"
#include "edge/entry_codec.h"
#include "edge/log.h"
#include "tests/gateway_fixture.h"

#define WAIT_MS 10000
#define AT_ONCE 12 /* requests, while an endpoint has 8 slots */
#define SERVICE_MS 40
#define NORTH 11
#define SOUTH 12

/* --- decision ----------------------------------------------------------- */

static void test_set_allows_its_members_and_an_unrestricted_one_all(void **state)
{
	region_set_t any = {0};
	region_set_t north = {0};
	region_set_t both = {0};
	region_set_t none;

	region_set_add(&north, NORTH);
	region_set_add(&both, NORTH);
	region_set_add(&both, SOUTH);
	assert_true(region_set_allows(&any, SOUTH) && region_set_allows(&any, 0));
	assert_true(region_set_allows(&north, NORTH));
	assert_false(region_set_allows(&north, SOUTH) || region_set_allows(&north, 0));
	none = both;
	region_set_intersect(&none, &north);
	assert_true(region_set_allows(&none, NORTH) && !region_set_allows(&none, SOUTH));
	none = (region_set_t){0};
	region_set_add(&none, SOUTH);
	region_set_intersect(&none, &north);
	assert_false(region_set_allows(&none, NORTH) || region_set_allows(&none, SOUTH));
	region_set_intersect(&any, &north);
	assert_false(region_set_allows(&any, SOUTH));
}

/* The regions that `count` pass on to the owner, with parts and version beside them. */
static void check_decoded(unsigned int count, id_t32 version, unsigned int parts)
{
	static const message_header_t header = {.from = 7, .incarnation = 8, .seq = 9};
	message_entry_t entry = {.kind = ENTRY_SLOT_REQUEST};
	slot_request_t *request = &entry.slot_request;
	entry_writer_t *writer = entry_writer_new();
	message_header_t decoded_header;
	message_entry_t decoded;
	entry_reader_t *reader;
	const char *bytes;
	size_t size;

	*request = (slot_request_t){
		.ticket = 5,
		.pool = UINT32_MAX,
		.workspace = 2,
		.avoid = 3,
		.request_fingerprint = UINT32_MAX - 1,
		.work = {.prompt = 1000, .answer = 100},
		.first_token_deadline = 300,
		.deadline = INSTANT_NEVER,
		.version = version,
		.regions = {.restricted = true},
		.is_late = true,
		.must_queue = true,
	};
	request->work.chain.count = parts;
	for (unsigned int i = 0; i < parts; i++) {
		request->work.chain.hash[i] = UINT64_MAX - i;
		request->work.chain.tokens[i] = 100 + i;
	}
	for (unsigned int i = 0; i < count; i++)
		assert_true(region_set_add(&request->regions, UINT32_MAX - i));
	entry_writer_begin(writer, &header);
	entry_writer_add(writer, &entry, 0);
	bytes = entry_writer_data(writer, &size);
	reader = entry_reader_new(bytes, size, &decoded_header);
	assert_true(entry_reader_next(reader, &decoded, 0));
	assert_memory_equal(&decoded.slot_request, request, sizeof(*request));
	entry_reader_delete(reader);
	entry_writer_delete(writer);
}

static void test_regions_of_a_slot_request_are_the_same_after_decoding(void **state)
{
	for (unsigned int count = 0; count <= REGION_SET_MAX; count++) {
		for (unsigned int parts = 0; parts <= PROMPT_MAX_PARTS; parts++) {
			check_decoded(count, 0, parts);
			check_decoded(count, UINT32_MAX, parts);
		}
	}
}

/* --- owner -------------------------------------------------------------- */

#define POOL 3
#define LATE_WAIT (300 * USEC_PER_MSEC)

static slot_request_t slot_request(uint64_t ticket, id_t32 region, instant_t now)
{
	slot_request_t request = {
		.ticket = ticket,
		.pool = POOL,
		.workspace = 1,
		.work = {.prompt = 6000, .answer = 100, .chain = {1, {77}, {5000}}},
		.first_token_deadline = now + USEC_PER_SEC,
		.deadline = now + 5 * USEC_PER_SEC,
	};

	if (region)
		region_set_add(&request.regions, region);
	return request;
}

/* An engine in the north with one slot, and one in the south with as many. */
static scheduler_t *two_engines(void)
{
	scheduler_options_t options = {
		.pool = {.late_wait = LATE_WAIT, .max_backlog = 60 * USEC_PER_MSEC}};
	scheduler_t *this = scheduler_new(&options);

	scheduler_add_engine(this, NORTH + 100, POOL, &(engine_limits_t){.slots = 1});
	scheduler_set_region(this, NORTH + 100, NORTH);
	scheduler_add_engine(this, SOUTH + 100, POOL, &(engine_limits_t){.slots = 1});
	scheduler_set_region(this, SOUTH + 100, SOUTH);
	return this;
}

static scheduler_action_t request_slot(
	scheduler_t *this, const slot_request_t *request, instant_t now)
{
	scheduler_action_t action = {.kind = SCHEDULER_REFUSE};

	scheduler_request_slot(this, 3, request, now);
	scheduler_run(this, now);
	if (!scheduler_next_action(this, &action))
		action.kind = SCHEDULER_REFUSE;
	return action;
}

/* The engine that has the prompt's parts is in the south, from where they must not be copied. */
static void test_parts_are_not_copied_from_another_region(void **state)
{
	for (unsigned int restricted = 0; restricted < 2; restricted++) {
		scheduler_t *this = two_engines();
		instant_t now = USEC_PER_SEC;
		slot_request_t first = slot_request(1, SOUTH, now);
		slot_request_t second =
			slot_request(2, restricted ? NORTH : 0, now + 200 * USEC_PER_MSEC);
		scheduler_action_t action = request_slot(this, &first, now);

		assert_int_equal(action.kind, SCHEDULER_GRANT);
		assert_int_equal(action.engine, SOUTH + 100);
		action = request_slot(this, &second, now + 200 * USEC_PER_MSEC);
		assert_int_equal(action.kind, SCHEDULER_GRANT);
		assert_int_equal(action.engine, NORTH + 100);
		assert_int_equal(action.source, restricted ? 0 : SOUTH + 100);
		scheduler_delete(this);
	}
}

/* Neither does it start elsewhere, nor does it hold up what may run there. */
static void test_request_waits_for_its_region_and_blocks_no_others(void **state)
{
	for (unsigned int late = 0; late < 2; late++) {
		scheduler_t *this = two_engines();
		instant_t now = USEC_PER_SEC;
		scheduler_action_t action;

		for (uint64_t ticket = 1; ticket <= 2; ticket++) {
			slot_request_t request = slot_request(ticket, NORTH, now);

			request.is_late = late;
			action = request_slot(this, &request, now);
			assert_int_equal(action.kind == SCHEDULER_GRANT, ticket == 1);
		}
		now += 200 * USEC_PER_MSEC;
		for (uint64_t ticket = 3; ticket <= 3; ticket++) {
			slot_request_t request = slot_request(ticket, 0, now);

			request.is_late = late;
			action = request_slot(this, &request, now);
			assert_int_equal(action.kind, SCHEDULER_GRANT);
			assert_int_equal(action.engine, SOUTH + 100);
		}
		scheduler_delete(this);
	}
}

/* --- real gateways ------------------------------------------------------ */

/* An endpoint in the region "r-north", and one in "r-south". */
typedef struct two_regions {
	fixture_t *router;
	raw_endpoint_t *north;
	raw_endpoint_t *south;
} two_regions_t;

#define REGIONS ",\"regions\":{\"z\":\"r-north\",\"north\":\"r-north\",\"south\":\"r-south\"}"
#define WAITS ",\"store_wait_ms\":1000,\"roster_wait_ms\":1000"
#define ROUTE(name, more)                                                                          \
	"{\"name\":\"" name "\",\"host\":\"" FIXTURE_HOST "\",\"prefix\":\"/" name "/\","          \
	"\"kind\":\"idempotent\",\"timeoutMs\":2000,\"maxAttempts\":3,\"service\":\"shop\"" more   \
	"}"
#define TENANT(name, more) "{\"name\":\"" name "\",\"apiKeys\":[\"" name "\"]" more "}"
#define NORTH_ONLY ",\"allowedRegions\":[\"r-north\"]"
#define SOUTH_ONLY ",\"allowedRegions\":[\"r-south\"]"
#define ELSEWHERE ",\"allowedRegions\":[\"r-west\"]"
#define EITHER ",\"allowedRegions\":[\"r-north\",\"r-south\"]"

#define DRAFT                                                                                      \
	"{\"name\":\"draft\",\"host\":\"" FIXTURE_HOST "\",\"prefix\":\"/draft/\","                \
	"\"kind\":\"streaming\",\"resumable\":true,\"timeoutMs\":3000,\"maxAttempts\":3,"          \
	"\"service\":\"shop\"" NORTH_ONLY "}"

static void put_config(fixture_t *f)
{
	static const char *const routes[] = {ROUTE("any", ""), ROUTE("north", NORTH_ONLY),
		ROUTE("either", EITHER), ROUTE("west", ELSEWHERE), DRAFT, NULL};
	static const char *const tenants[] = {
		TENANT("free", ""), TENANT("southern", SOUTH_ONLY), NULL};
	char *route_list = g_strjoinv(",", (char **)routes);
	char *tenant_list = g_strjoinv(",", (char **)tenants);
	char *config =
		g_strdup_printf("{\"version\":9,\"services\":[{\"name\":\"shop\",\"maxConns\":50}],"
				"\"routes\":[%s],\"tenants\":[%s]}",
			route_list, tenant_list);

	row_store_standin_put(f->store, "op", "config", config);
	assert_true(fixture_wait_metric(f, "catalog_version", 9));
	g_free(config);
	g_free(tenant_list);
	g_free(route_list);
}

static bool respond_late(void *ctx, int fd, const raw_request_t *request)
{
	sleep_ms(SERVICE_MS);
	return fixture_respond_hello(ctx, fd, request);
}

static two_regions_t *two_regions_new(const char *settings, raw_handler_t northern)
{
	two_regions_t *this = g_new0(two_regions_t, 1);
	fixture_options_t options = {.settings = settings, .idle_timeout_ms = 1000};

	this->router = fixture_new_with(&options);
	this->north = fixture_add_endpoint(this->router, northern, NULL);
	this->south = fixture_add_endpoint(this->router, respond_late, NULL);
	fixture_register_in(this->router, 0, "north");
	fixture_register_in(this->router, 1, "south");
	fixture_wait_ready(this->router, 2);
	put_config(this->router);
	return this;
}

static void two_regions_delete(two_regions_t *this)
{
	fixture_delete(this->router);
	g_free(this);
}

static char *format_get(const char *route, const char *tenant)
{
	return g_strdup_printf("GET /%s/ HTTP/1.1\r\nHost: " FIXTURE_HOST
			       "\r\nRequest-Id: i\r\nAuthorization: Bearer %s\r\n"
			       "Connection: close\r\n\r\n",
		route, tenant);
}

/* Sends more requests at once than one endpoint has slots; checks which of the two have any. */
static void expect_at(two_regions_t *r, fixture_t *router, const char *route, const char *tenant,
	bool north, bool south)
{
	char *text = format_get(route, tenant);
	unsigned int north_before = raw_endpoint_request_count(r->north);
	unsigned int south_before = raw_endpoint_request_count(r->south);

	assert_true(fixture_send_at_once(router, text, AT_ONCE) >= AT_ONCE - 4);
	assert_int_equal(raw_endpoint_request_count(r->north) > north_before, north);
	assert_int_equal(raw_endpoint_request_count(r->south) > south_before, south);
	g_free(text);
}

/* The request is refused at once, has reached nobody, and may come back. */
static void expect_refused(two_regions_t *r, const char *route, const char *tenant)
{
	char *text = format_get(route, tenant);
	unsigned int before =
		raw_endpoint_request_count(r->north) + raw_endpoint_request_count(r->south);
	instant_t since = clock_now();
	char *response = fixture_send_and_read(r->router, text, WAIT_MS);

	assert_true(clock_now() - since < USEC_PER_SEC);
	assert_non_null(strstr(response, "HTTP/1.1 503 "));
	assert_non_null(strstr(response, "Retry-After: "));
	assert_int_equal(
		raw_endpoint_request_count(r->north) + raw_endpoint_request_count(r->south),
		before);
	g_free(response);
	g_free(text);
}

static void test_route_binds_its_requests_to_its_regions(void **state)
{
	two_regions_t *r = two_regions_new(REGIONS WAITS, respond_late);

	expect_at(r, r->router, "any", "free", true, true);
	expect_at(r, r->router, "either", "free", true, true);
	expect_at(r, r->router, "north", "free", true, false);
	two_regions_delete(r);
}

static void test_route_and_workspace_both_bind(void **state)
{
	two_regions_t *r = two_regions_new(REGIONS WAITS, respond_late);

	expect_at(r, r->router, "any", "southern", false, true);
	expect_at(r, r->router, "either", "southern", false, true);
	expect_refused(r, "north", "southern");
	two_regions_delete(r);
}

static void test_request_without_an_endpoint_in_its_regions_is_refused(void **state)
{
	two_regions_t *r = two_regions_new(REGIONS WAITS, respond_late);

	expect_refused(r, "west", "free");
	row_store_standin_delete_row(r->router->store, "servers", "i-0");
	assert_true(fixture_wait_metric(r->router, "endpoints", 1));
	expect_refused(r, "north", "free");
	expect_at(r, r->router, "any", "free", false, true);
	two_regions_delete(r);
}

static void test_evacuated_region_is_not_replaced_by_another(void **state)
{
	two_regions_t *r = two_regions_new(REGIONS WAITS, respond_late);

	row_store_standin_put(r->router->store, "op", "evacuate/north", "{}");
	assert_true(fixture_wait_metric(r->router, "endpoints_evacuated", 1));
	expect_refused(r, "north", "free");
	expect_at(r, r->router, "either", "free", false, true);
	two_regions_delete(r);
}

/* Each of the two routers owns an engine; both ask each other. */
static void test_owners_at_other_routers_keep_to_the_regions(void **state)
{
	two_regions_t *r = two_regions_new(REGIONS WAITS, respond_late);
	fixture_options_t options = {
		.settings = REGIONS WAITS,
		.idle_timeout_ms = 1000,
		.name = "s",
		.store = r->router->store,
	};
	fixture_t *second = fixture_new_with(&options);

	fixture_wait_ready(second, 2);
	assert_true(fixture_wait_metric(second, "routers_alive", 2));
	assert_true(fixture_wait_metric(r->router, "routers_alive", 2));
	for (unsigned int i = 0; i < 4; i++) {
		expect_at(r, i % 2 ? second : r->router, "north", "free", true, false);
		expect_at(r, i % 2 ? second : r->router, "any", "southern", false, true);
	}
	fixture_delete(second);
	two_regions_delete(r);
}

static bool crash(void *ctx, int fd, const raw_request_t *request)
{
	raw_reset_connection(fd);
	return false;
}

static void test_retry_stays_in_the_region(void **state)
{
	two_regions_t *r = two_regions_new(REGIONS WAITS, crash);
	char *text = format_get("north", "free");
	unsigned int before = raw_endpoint_request_count(r->south);

	assert_int_equal(fixture_send_at_once(r->router, text, 1), 0);
	assert_int_equal(raw_endpoint_request_count(r->south), before);
	g_free(text);
	two_regions_delete(r);
}

/* Writes one event of a stream, and ends like a process that crashes. */
static bool break_stream(void *ctx, int fd, const raw_request_t *request)
{
	char *head = g_strdup_printf(
		"HTTP/1.1 200 OK\r\n" ENDPOINT_MARKER "Request-Id: %s\r\n"
		"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
		"11\r\nid: 0\ndata: e0\n\n\n\r\n",
		request->id);

	raw_write(fd, head);
	g_free(head);
	sleep_ms(SERVICE_MS);
	raw_reset_connection(fd);
	return false;
}

static void test_broken_stream_is_not_taken_up_in_another_region(void **state)
{
	two_regions_t *r = two_regions_new(REGIONS WAITS, break_stream);
	unsigned int before = raw_endpoint_request_count(r->south);
	char *response = fixture_send_and_read(r->router,
		"POST /draft/ HTTP/1.1\r\nHost: " FIXTURE_HOST "\r\nRequest-Id: i\r\n"
		"Authorization: Bearer free\r\nConnection: close\r\nContent-Length: 1\r\n\r\nx",
		WAIT_MS);

	assert_non_null(strstr(response, "data: e0"));
	assert_int_equal(raw_endpoint_request_count(r->south), before);
	g_free(response);
	two_regions_delete(r);
}

/* Without the settings, nobody knows what is where. */
static void test_nothing_is_bound_where_no_regions_are_known(void **state)
{
	two_regions_t *r = two_regions_new(WAITS, respond_late);

	expect_at(r, r->router, "north", "free", true, true);
	expect_at(r, r->router, "west", "southern", true, true);
	two_regions_delete(r);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_set_allows_its_members_and_an_unrestricted_one_all),
		cmocka_unit_test(test_regions_of_a_slot_request_are_the_same_after_decoding),
		cmocka_unit_test(test_parts_are_not_copied_from_another_region),
		cmocka_unit_test(test_request_waits_for_its_region_and_blocks_no_others),
		cmocka_unit_test(test_route_binds_its_requests_to_its_regions),
		cmocka_unit_test(test_route_and_workspace_both_bind),
		cmocka_unit_test(test_request_without_an_endpoint_in_its_regions_is_refused),
		cmocka_unit_test(test_evacuated_region_is_not_replaced_by_another),
		cmocka_unit_test(test_owners_at_other_routers_keep_to_the_regions),
		cmocka_unit_test(test_retry_stays_in_the_region),
		cmocka_unit_test(test_broken_stream_is_not_taken_up_in_another_region),
		cmocka_unit_test(test_nothing_is_bound_where_no_regions_are_known),
	};

	log_init("test", FALSE);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
