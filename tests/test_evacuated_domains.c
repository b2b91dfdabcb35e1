/* threaded: evacuated_domains - routers send nothing to the endpoints of evacuated failure domains
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "edge/clock.h"
#include "edge/log.h"
#include "tests/gateway_fixture.h"

#define WAIT_MS 10000
#define IN_FORCE_MS 2500 /* an operator's request takes effect within half of the 5 s promised */
#define ROUNDS 20
#define AT_ONCE 12 /* requests, while an endpoint has 8 slots */
#define SERVICE_MS 40
#define GET_ANY                                                                                    \
	"GET /any/ HTTP/1.1\r\nHost: " FIXTURE_HOST "\r\nRequest-Id: i\r\nConnection: "            \
	"close\r\n\r\n"

/* One endpoint in each of two domains. */
typedef struct two_domains {
	fixture_t *router;
	raw_endpoint_t *east;
	raw_endpoint_t *west;
} two_domains_t;

static bool respond_late(void *ctx, int fd, const raw_request_t *request)
{
	sleep_ms(SERVICE_MS);
	return fixture_respond_hello(ctx, fd, request);
}

static two_domains_t *two_domains_new(raw_handler_t handler)
{
	two_domains_t *this = g_new0(two_domains_t, 1);

	this->router = fixture_new_router("r", NULL);
	this->east = fixture_add_endpoint(this->router, handler, this);
	this->west = fixture_add_endpoint(this->router, handler, this);
	fixture_register_in(this->router, 0, "east");
	fixture_register_in(this->router, 1, "west");
	fixture_put_config(this->router, FIXTURE_PUBLIC_ROUTE("any"));
	fixture_wait_ready(this->router, 2);
	assert_true(fixture_wait_served(this->router, "any", true));
	return this;
}

static void two_domains_delete(two_domains_t *this)
{
	fixture_delete(this->router);
	g_free(this);
}

static void evacuate(two_domains_t *this, const char *domain)
{
	char *key = g_strdup_printf("evacuate/%s", domain);

	row_store_standin_put(this->router->store, "op", key, "{}");
	g_free(key);
}

static void take_back(two_domains_t *this, const char *domain)
{
	char *key = g_strdup_printf("evacuate/%s", domain);

	row_store_standin_delete_row(this->router->store, "op", key);
	g_free(key);
}

/* Waits until this number of endpoints is evacuated at the router, which it soon has to be. */
static void expect_evacuated(fixture_t *router, unsigned int endpoints)
{
	instant_t since = clock_now();

	assert_true(fixture_wait_metric(router, "endpoints_evacuated", endpoints));
	assert_true(clock_now() - since < IN_FORCE_MS * USEC_PER_MSEC);
}

/* All requests are served, and none by this endpoint. */
static void expect_unused(fixture_t *router, raw_endpoint_t *endpoint)
{
	unsigned int before = raw_endpoint_request_count(endpoint);

	for (unsigned int i = 0; i < ROUNDS; i++)
		assert_true(fixture_is_served(router, "any"));
	assert_int_equal(raw_endpoint_request_count(endpoint), before);
}

/* More requests at once than one endpoint has slots are served, some by this endpoint. */
static void expect_used(fixture_t *router, raw_endpoint_t *endpoint)
{
	unsigned int before = raw_endpoint_request_count(endpoint);

	assert_int_equal(fixture_send_at_once(router, GET_ANY, AT_ONCE), AT_ONCE);
	assert_true(raw_endpoint_request_count(endpoint) > before);
}

static void test_evacuated_domain_gets_no_requests(void **state_)
{
	two_domains_t *d = two_domains_new(respond_late);

	expect_used(d->router, d->east);
	evacuate(d, "east");
	expect_evacuated(d->router, 1);
	expect_unused(d->router, d->east);
	take_back(d, "east");
	expect_evacuated(d->router, 0);
	expect_used(d->router, d->east);
	expect_used(d->router, d->west);
	two_domains_delete(d);
}

static void test_idle_connections_to_an_evacuated_domain_are_closed(void **state_)
{
	two_domains_t *d = two_domains_new(respond_late);

	instant_t since;

	assert_true(fixture_is_served(d->router, "any"));
	evacuate(d, "east");
	evacuate(d, "west");
	since = clock_now();
	assert_true(fixture_wait_metric(d->router, "endpoint_connections", 0));
	/* Otherwise they are kept for 4 s. */
	assert_true(clock_now() - since < IN_FORCE_MS * USEC_PER_MSEC);
	two_domains_delete(d);
}

static void test_unreadable_row_names_its_domain_by_its_key(void **state_)
{
	two_domains_t *d = two_domains_new(respond_late);

	row_store_standin_put(d->router->store, "op", "evacuate/west", "\xff not json");
	expect_evacuated(d->router, 1);
	expect_unused(d->router, d->west);
	two_domains_delete(d);
}

static void test_unknown_domain_has_no_effect(void **state_)
{
	two_domains_t *d = two_domains_new(respond_late);

	evacuate(d, "north");
	row_store_standin_put(d->router->store, "op", "evacuate/", "{}");
	assert_true(fixture_wait_metric(d->router, "evacuated_domains", 1));
	assert_true(fixture_wait_metric(d->router, "endpoints_evacuated", 0));
	expect_used(d->router, d->east);
	expect_used(d->router, d->west);
	two_domains_delete(d);
}

/* An endpoint that registers in the domain later is evacuated like the others. */
static void test_endpoint_that_comes_during_an_evacuation_is_not_used(void **state_)
{
	two_domains_t *d = two_domains_new(respond_late);
	raw_endpoint_t *late;

	evacuate(d, "north");
	assert_true(fixture_wait_metric(d->router, "evacuated_domains", 1));
	late = raw_endpoint_new(fixture_respond_hello, NULL);
	d->router->endpoints[2] = late;
	fixture_register_in(d->router, 2, "north");
	expect_evacuated(d->router, 1);
	expect_unused(d->router, late);
	two_domains_delete(d);
}

/* Both domains, one after the other: callers are told at once, and when to come back. */
static void test_callers_are_refused_while_all_domains_are_evacuated(void **state_)
{
	two_domains_t *d = two_domains_new(respond_late);
	instant_t since;
	char *response;

	evacuate(d, "east");
	evacuate(d, "west");
	expect_evacuated(d->router, 2);
	since = clock_now();
	response = fixture_send_and_read(d->router, GET_ANY, WAIT_MS);
	assert_true(clock_now() - since < USEC_PER_SEC);
	assert_non_null(strstr(response, "HTTP/1.1 503 "));
	assert_non_null(strstr(response, "evacuated"));
	assert_non_null(strstr(response, "Retry-After: "));
	g_free(response);
	take_back(d, "west");
	assert_true(fixture_wait_served(d->router, "any", true));
	expect_unused(d->router, d->east);
	two_domains_delete(d);
}

static void test_evacuation_that_is_taken_back_and_repeated_within_a_second(void **state_)
{
	two_domains_t *d = two_domains_new(respond_late);

	for (unsigned int i = 0; i < 4; i++) {
		evacuate(d, "east");
		sleep_ms(i * 60);
		take_back(d, "east");
		sleep_ms(i * 60);
	}
	evacuate(d, "east");
	evacuate(d, "east");
	expect_evacuated(d->router, 1);
	sleep_ms(500);
	expect_unused(d->router, d->east);
	evacuate(d, "east");
	take_back(d, "east");
	expect_evacuated(d->router, 0);
	expect_used(d->router, d->east);
	two_domains_delete(d);
}

/* --- streams under way -------------------------------------------------- */

#define EVENTS 5
#define EVENT_PAUSE_MS 300

/* Writes events with pauses; a stream that is taken up goes on after the event it names. */
static bool stream_slowly(void *ctx, int fd, const raw_request_t *request)
{
	char *last_id = raw_request_header(request, "Last-Event-Id");
	int from = last_id ? atoi(last_id) + 1 : 0;
	char *head;

	g_free(last_id);
	if (!strncmp(request->head, "GET", 3))
		return fixture_respond_hello(ctx, fd, request);
	head = g_strdup_printf("HTTP/1.1 200 OK\r\n" ENDPOINT_MARKER "Request-Id: %s\r\n"
			       "Content-Type: text/event-stream\r\n"
			       "Transfer-Encoding: chunked\r\n\r\n",
		request->id);
	raw_write(fd, head);
	g_free(head);
	for (int i = from; i < EVENTS; i++) {
		char event[32];
		char chunk[64];

		g_snprintf(event, sizeof(event), "id: %d\ndata: e%d\n\n", i, i);
		g_snprintf(chunk, sizeof(chunk), "%zx\r\n%s\r\n", strlen(event), event);
		raw_write(fd, chunk);
		sleep_ms(EVENT_PAUSE_MS);
	}
	raw_write(fd, "0\r\n\r\n");
	return false;
}

/* Opens a stream, and sets `endpoint` to the index of the endpoint that it runs at. */
static int open_stream(two_domains_t *d, unsigned int *endpoint)
{
	unsigned int east_before = raw_endpoint_request_count(d->east);
	char *text = fixture_format_request("POST", "/draft/", "id1", "Connection: close\r\n", "x");
	int fd = fixture_connect(d->router->caller_address);
	char *received;

	raw_write(fd, text);
	received = fixture_read_until(fd, "data: e0", WAIT_MS);
	assert_non_null(strstr(received, "data: e0"));
	*endpoint = raw_endpoint_request_count(d->east) > east_before ? 0 : 1;
	g_free(received);
	g_free(text);
	return fd;
}

static void test_stream_under_way_ends_where_it_is(void **state_)
{
	static const char *const domains[] = {"east", "west"};
	two_domains_t *d = two_domains_new(stream_slowly);
	raw_endpoint_t *endpoints[] = {d->east, d->west};
	unsigned int at;
	int fd = open_stream(d, &at);
	unsigned int requests = raw_endpoint_request_count(endpoints[!at]);
	char *rest;

	evacuate(d, domains[at]);
	expect_evacuated(d->router, 1);
	rest = fixture_read_until(fd, "data: e4", WAIT_MS);
	assert_non_null(strstr(rest, "data: e4"));
	assert_int_equal(raw_endpoint_request_count(endpoints[!at]), requests);
	assert_int_equal(raw_endpoint_early_close_count(endpoints[at]), 0);
	g_free(rest);
	close(fd);
	expect_unused(d->router, endpoints[at]);
	two_domains_delete(d);
}

/* The endpoint ends during the evacuation: its stream goes on in the other domain. */
static void test_stream_that_breaks_goes_on_in_another_domain(void **state_)
{
	static const char *const domains[] = {"east", "west"};
	two_domains_t *d = two_domains_new(stream_slowly);
	raw_endpoint_t *endpoints[] = {d->east, d->west};
	unsigned int at;
	int fd = open_stream(d, &at);
	unsigned int requests = raw_endpoint_request_count(endpoints[at]);
	char *rest;

	evacuate(d, domains[at]);
	expect_evacuated(d->router, 1);
	raw_endpoint_crash(endpoints[at], 1);
	rest = fixture_read_until(fd, "data: e4", WAIT_MS);
	assert_non_null(strstr(rest, "data: e4"));
	assert_int_equal(raw_endpoint_request_count(endpoints[at]), requests);
	g_free(rest);
	close(fd);
	two_domains_delete(d);
}

/* --- store and peers ---------------------------------------------------- */

/* A router "s" at the store's second address, which can refuse it. */
static fixture_t *start_second_router(two_domains_t *d)
{
	fixture_options_t options = {
		.settings = ",\"store_wait_ms\":1000,\"roster_wait_ms\":1000",
		.idle_timeout_ms = 1000,
		.name = "s",
		.store = d->router->store,
		.use_second_address = true,
	};
	fixture_t *second = fixture_new_with(&options);

	assert_true(fixture_wait_metric(second, "routers_alive", 2));
	assert_true(fixture_wait_metric(d->router, "routers_alive", 2));
	return second;
}

static void test_router_that_the_store_refuses_learns_of_it_from_a_peer(void **state_)
{
	two_domains_t *d = two_domains_new(respond_late);
	fixture_t *second = start_second_router(d);

	fixture_wait_ready(second, 2);
	row_store_standin_set_refusing(d->router->store, true);
	evacuate(d, "east");
	expect_evacuated(second, 1);
	expect_unused(second, d->east);
	take_back(d, "east");
	expect_evacuated(second, 0);
	expect_used(second, d->east);
	fixture_delete(second);
	two_domains_delete(d);
}

/*
 * The store shows it the other routers and nothing else.  It has the catalog and the endpoints from
 * its peer: it must have the evacuations, too.
 */
static void test_router_that_starts_without_the_store_knows_of_it_when_ready(void **state_)
{
	two_domains_t *d = two_domains_new(respond_late);
	fixture_t *second;

	evacuate(d, "east");
	expect_evacuated(d->router, 1);
	row_store_standin_show_only(d->router->store, "routers");
	second = start_second_router(d);
	fixture_wait_ready(second, 2);
	assert_true(fixture_wait_metric(second, "endpoints_evacuated", 1));
	expect_unused(second, d->east);
	fixture_delete(second);
	two_domains_delete(d);
}

/* Without any evacuation, a router has to know that there is none. */
static void test_router_that_starts_without_the_store_is_ready_without_evacuations(void **state_)
{
	two_domains_t *d = two_domains_new(respond_late);
	fixture_t *second;

	row_store_standin_show_only(d->router->store, "routers");
	second = start_second_router(d);
	fixture_wait_ready(second, 2);
	assert_true(fixture_wait_metric(second, "evacuated_domains", 0));
	fixture_delete(second);
	two_domains_delete(d);
}

/* The row is deleted, and the store forgets that, while the router can't read it. */
static void test_row_that_was_deleted_during_an_outage_is_lifted(void **state_)
{
	two_domains_t *d = two_domains_new(respond_late);

	evacuate(d, "east");
	expect_evacuated(d->router, 1);
	row_store_standin_set_fault(d->router->store, STORE_FAULT_UNAVAILABLE);
	sleep_ms(1500);
	take_back(d, "east");
	row_store_standin_compact(d->router->store);
	expect_unused(d->router, d->east);
	row_store_standin_set_fault(d->router->store, STORE_FAULT_NONE);
	expect_evacuated(d->router, 0);
	expect_used(d->router, d->east);
	two_domains_delete(d);
}

static void test_evacuation_holds_while_the_store_is_down(void **state_)
{
	two_domains_t *d = two_domains_new(respond_late);

	evacuate(d, "east");
	expect_evacuated(d->router, 1);
	row_store_standin_set_fault(d->router->store, STORE_FAULT_HANG);
	sleep_ms(2500);
	expect_unused(d->router, d->east);
	row_store_standin_set_fault(d->router->store, STORE_FAULT_NONE);
	two_domains_delete(d);
}

/* The copy is older than the evacuation: its rows are what the operators see. */
static void test_store_that_was_restored_without_the_row_lifts_it(void **state_)
{
	two_domains_t *d = two_domains_new(respond_late);
	uint64_t copy = row_store_standin_version(d->router->store);

	evacuate(d, "east");
	expect_evacuated(d->router, 1);
	row_store_standin_restore(d->router->store, copy);
	assert_true(fixture_wait_metric(d->router, "store_era", 2));
	expect_evacuated(d->router, 0);
	expect_used(d->router, d->east);
	evacuate(d, "west");
	expect_evacuated(d->router, 1);
	expect_unused(d->router, d->west);
	two_domains_delete(d);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_evacuated_domain_gets_no_requests),
		cmocka_unit_test(test_idle_connections_to_an_evacuated_domain_are_closed),
		cmocka_unit_test(test_unreadable_row_names_its_domain_by_its_key),
		cmocka_unit_test(test_unknown_domain_has_no_effect),
		cmocka_unit_test(test_endpoint_that_comes_during_an_evacuation_is_not_used),
		cmocka_unit_test(test_callers_are_refused_while_all_domains_are_evacuated),
		cmocka_unit_test(test_evacuation_that_is_taken_back_and_repeated_within_a_second),
		cmocka_unit_test(test_stream_under_way_ends_where_it_is),
		cmocka_unit_test(test_stream_that_breaks_goes_on_in_another_domain),
		cmocka_unit_test(test_router_that_the_store_refuses_learns_of_it_from_a_peer),
		cmocka_unit_test(test_router_that_starts_without_the_store_knows_of_it_when_ready),
		cmocka_unit_test(
			test_router_that_starts_without_the_store_is_ready_without_evacuations),
		cmocka_unit_test(test_row_that_was_deleted_during_an_outage_is_lifted),
		cmocka_unit_test(test_evacuation_holds_while_the_store_is_down),
		cmocka_unit_test(test_store_that_was_restored_without_the_row_lifts_it),
	};

	log_init("test", FALSE);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
