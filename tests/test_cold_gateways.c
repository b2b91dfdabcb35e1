/* threaded: cold_gateways - several routers keep to the pace of a cold endpoint that ends above it
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <unistd.h>

#include "edge/clock.h"
#include "edge/log.h"
#include "tests/gateway_fixture.h"

#define ROUTERS 3
#define CALLERS 4 /* of each router, one request at a time */
#define PACE 12
#define BORNE (PACE * 3 / 2 + 5) /* requests in a second */
#define COLD_MS 3000
#define COLD_SERVICE ",\"coldStartS\":3.0,\"coldPerS\":12.0"
#define MAX_ARRIVALS 100000

typedef struct cold_endpoint {
	pthread_mutex_t lock;
	raw_endpoint_t *endpoint;
	instant_t cold_until;
	const char *header; /* further header lines of its responses */
	instant_t arrivals[MAX_ARRIVALS];
	unsigned int count;
	unsigned int first; /* arrival of the last second */
	unsigned int peak;  /* in a second while cold */
	unsigned int ends;
} cold_endpoint_t;

/* Returns whether the endpoint ends under the request. */
static bool count_arrival(cold_endpoint_t *this)
{
	instant_t now = clock_now();
	unsigned int within;

	this->arrivals[this->count++ % MAX_ARRIVALS] = now;
	if (now >= this->cold_until) {
		this->first = this->count;
		return false;
	}
	while (this->arrivals[this->first] + USEC_PER_SEC <= now)
		this->first++;
	within = this->count - this->first;
	this->peak = within > this->peak ? within : this->peak;
	if (within <= BORNE)
		return false;
	this->ends++;
	this->first = this->count;
	return true;
}

static bool respond(void *ctx, int fd, const raw_request_t *request)
{
	cold_endpoint_t *this = ctx;
	char *text;
	bool ends;

	pthread_mutex_lock(&this->lock);
	ends = count_arrival(this);
	text = g_strdup_printf("HTTP/1.1 200 OK\r\n" ENDPOINT_MARKER "Request-Id: %s\r\n%s"
			       "Content-Length: 5\r\n\r\nhello",
		request->id, this->header);
	pthread_mutex_unlock(&this->lock);
	if (ends)
		raw_endpoint_crash(this->endpoint, 300);
	else
		raw_write(fd, text);
	g_free(text);
	return !ends;
}

typedef struct caller_thread {
	fixture_t *router;
	pthread_t thread;
	instant_t until;
	unsigned int served;
} caller_thread_t;

static void *call(void *ctx)
{
	caller_thread_t *this = ctx;

	while (clock_now() < this->until) {
		this->served += fixture_is_served(this->router, "any");
		g_usleep(2000);
	}
	return NULL;
}

typedef struct fleet {
	fixture_t *routers[ROUTERS];
	cold_endpoint_t cold;
	caller_thread_t callers[ROUTERS * CALLERS];
} fleet_t;

static fleet_t *fleet_new(const char *service_fields)
{
	static const char *const names[ROUTERS] = {"r", "s", "t"};
	fleet_t *this = g_new0(fleet_t, 1);

	pthread_mutex_init(&this->cold.lock, NULL);
	this->cold.header = "";
	for (unsigned int i = 0; i < ROUTERS; i++)
		this->routers[i] = fixture_new_router(names[i], i ? this->routers[0]->store : NULL);
	this->routers[0]->service_fields = service_fields;
	fixture_put_config(this->routers[0], FIXTURE_PUBLIC_ROUTE("any"));
	this->cold.endpoint = fixture_start_endpoint(this->routers[0], respond, &this->cold);
	for (unsigned int i = 0; i < ROUTERS; i++) {
		fixture_wait_ready(this->routers[i], 0);
		fixture_wait_metric(this->routers[i], "routers_alive", ROUTERS);
	}
	return this;
}

static void fleet_delete(fleet_t *this)
{
	for (unsigned int i = ROUTERS; i-- > 0;)
		fixture_delete(this->routers[i]);
	g_free(this);
}

static void set_cold(fleet_t *this, unsigned int ms)
{
	pthread_mutex_lock(&this->cold.lock);
	this->cold.cold_until = clock_now() + ms * USEC_PER_MSEC;
	pthread_mutex_unlock(&this->cold.lock);
}

static void start_callers(fleet_t *this, unsigned int ms)
{
	for (unsigned int i = 0; i < ROUTERS * CALLERS; i++) {
		this->callers[i] = (caller_thread_t){.router = this->routers[i % ROUTERS],
			.until = clock_now() + ms * USEC_PER_MSEC};
		pthread_create(&this->callers[i].thread, NULL, call, &this->callers[i]);
	}
}

static unsigned int join_callers(fleet_t *this)
{
	unsigned int served = 0;

	for (unsigned int i = 0; i < ROUTERS * CALLERS; i++) {
		pthread_join(this->callers[i].thread, NULL);
		served += this->callers[i].served;
	}
	print_message("served %u, at most %u in a second while cold, %u ends\n", served,
		this->cold.peak, this->cold.ends);
	return served;
}

/* Requests wait for the endpoint before its row says that it is cold. */
static void test_new_endpoint_gets_its_pace(void **state)
{
	fleet_t *this = fleet_new(COLD_SERVICE);
	unsigned int served;

	start_callers(this, COLD_MS);
	set_cold(this, COLD_MS);
	fixture_register_cold(this->routers[0], 0, ",\"coldRemainingMs\":3000");
	served = join_callers(this);
	assert_int_equal(this->cold.ends, 0);
	assert_true(served >= PACE);
	fleet_delete(this);
}

static void test_new_endpoint_that_does_not_say_so_is_cold_for_its_service_s_time(void **state)
{
	fleet_t *this = fleet_new(COLD_SERVICE);

	set_cold(this, COLD_MS - 500);
	fixture_register_cold(this->routers[0], 0, "");
	start_callers(this, COLD_MS + 1000);
	assert_true(join_callers(this) >= PACE);
	assert_int_equal(this->cold.ends, 0);
	fleet_delete(this);
}

/* It goes cold while requests run, and only its responses say so. */
static void test_response_says_that_the_endpoint_is_cold(void **state)
{
	fleet_t *this = fleet_new(COLD_SERVICE);

	this->cold.header = "Cold-Ms: 60000\r\n";
	fixture_register_cold(this->routers[0], 0, ",\"coldRemainingMs\":0");
	assert_true(fixture_wait_served(this->routers[0], "any", true));
	/* Known to the owner, and by it to all, within a heartbeat or two. */
	for (unsigned int i = 0; i < ROUTERS; i++)
		assert_true(fixture_wait_metric(this->routers[i], "endpoints_cold", 1));
	set_cold(this, 60000);
	start_callers(this, 2500);
	assert_true(join_callers(this) >= PACE);
	assert_int_equal(this->cold.ends, 0);
	fleet_delete(this);
}

static void test_unreadable_cold_time_changes_nothing(void **state)
{
	static const char *const headers[] = {
		"Cold-Ms: soon\r\n", "Cold-Ms: -1\r\n", "Cold-Ms: \r\n", "Cold-Ms: 1e9\r\n"};
	fleet_t *this = fleet_new(COLD_SERVICE);

	fixture_register_cold(this->routers[0], 0, ",\"coldRemainingMs\":0");
	for (unsigned int i = 0; i < ARRAY_LEN(headers); i++) {
		pthread_mutex_lock(&this->cold.lock);
		this->cold.header = headers[i];
		pthread_mutex_unlock(&this->cold.lock);
		assert_true(fixture_wait_served(this->routers[0], "any", true));
		assert_true(fixture_wait_metric(this->routers[0], "endpoints_cold", 0));
	}
	fleet_delete(this);
}

static void test_owner_is_killed_in_the_cold_time(void **state)
{
	fleet_t *this = fleet_new(COLD_SERVICE);

	set_cold(this, 2 * COLD_MS);
	fixture_register_cold(this->routers[0], 0, ",\"coldRemainingMs\":6000");
	start_callers(this, 2 * COLD_MS);
	for (unsigned int i = 1; i < ROUTERS; i++) {
		g_usleep(1200000);
		fixture_kill_router(this->routers[i]);
		g_usleep(400000);
		fixture_restart_router(this->routers[i]);
	}
	join_callers(this);
	assert_int_equal(this->cold.ends, 0);
	fleet_delete(this);
}

/* The endpoint is there and its registration says 0: a fleet that starts beside it sends at once.
 */
static void test_endpoint_of_a_service_without_a_pace_gets_all_requests(void **state)
{
	static const char *const fields[] = {"", ",\"coldStartS\":0.0,\"coldPerS\":0.0",
		",\"coldStartS\":3.0", ",\"coldStartS\":\"long\",\"coldPerS\":\"few\"",
		",\"coldStartS\":-1,\"coldPerS\":-1"};

	for (unsigned int i = 0; i < ARRAY_LEN(fields); i++) {
		fleet_t *this = fleet_new(fields[i]);

		fixture_register_cold(this->routers[0], 0, ",\"coldRemainingMs\":60000");
		assert_true(fixture_wait_served(this->routers[0], "any", true));
		start_callers(this, 300);
		assert_true(join_callers(this) > 3 * BORNE);
		fleet_delete(this);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_new_endpoint_gets_its_pace),
		cmocka_unit_test(
			test_new_endpoint_that_does_not_say_so_is_cold_for_its_service_s_time),
		cmocka_unit_test(test_response_says_that_the_endpoint_is_cold),
		cmocka_unit_test(test_unreadable_cold_time_changes_nothing),
		cmocka_unit_test(test_owner_is_killed_in_the_cold_time),
		cmocka_unit_test(test_endpoint_of_a_service_without_a_pace_gets_all_requests),
	};

	log_init("test", FALSE);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
