/* answer_ends - a response that ends with its connection is whole only if both directions ended in
 * order, whoever is told of an error first */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <arpa/inet.h>
#include <fcntl.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "edge/clock.h"
#include "edge/http_call.h"
#include "edge/log.h"
#include "gateway/endpoint_connection.h"
#include "standin/raw_endpoint.h"

#define LONG_BODY (12U << 20) /* bytes; above what the sockets of loopback take */
#define SHORT_BODY 100
#define SOME_BYTES (2U << 20) /* that the endpoint reads, so that the sender can write again */
#define MAX_READ (1U << 16)
#define PART "part"
#define ID "id1"
#define LATER_MS 20
#define RUN_MS 5000

typedef enum end_kind {
	END_FIN_READS_ON, /* ends its side and reads the rest of the request */
	END_FIN_CLOSES,	  /* ends its side, then closes with unread bytes */
	END_CLOSES,	  /* closes with unread bytes, if there are any */
	END_RESETS,
} end_kind_t;

typedef enum end_time {
	END_BEFORE_WRITE, /* before the router has written its request */
	END_WITH_PART,	  /* before the part is read */
	END_DURING_READ,  /* in the turn that has read it, before the next write */
	END_LATER,
} end_time_t;

typedef struct scene {
	const char *head;
	bool is_framed; /* PART is all of the body, by the head */
	bool long_body;
	end_kind_t kind;
	end_time_t time;
	bool pauses; /* the reader pauses behind the part, until after the end */
} scene_t;

typedef struct rig {
	uv_loop_t loop;
	int listener;
	int fd; /* of the endpoint's side; -1: closed */
	endpoint_registry_t *registry;
	registered_endpoint_t *endpoint;
	endpoint_connection_options_t options;
	buffer_pool_t buffers;
	unsigned int open_count;
	endpoint_connection_t *connection;
	const scene_t *scene;
	char body[16];
	size_t body_len;
	bool has_ended;
	bool has_failed;
	connection_failure_t failure;
} rig_t;

static const header_names_t header_names = {
	.request_id = "Request-Id",
	.response_marker = "Server-Stamp",
	.not_run = "Not-Executed",
	.leaving = "Server-Leaving",
	.load = "Server-Load",
	.cold_left_ms = "Cold-Ms",
	.rate_limit = "Rate",
};

/* --- the endpoint's side ------------------------------------------------- */

static void read_all(rig_t *this, size_t most)
{
	static char buffer[MAX_READ];
	ssize_t n = 1;

	for (size_t got = 0; n > 0 && got < most; got += (size_t)n)
		n = recv(this->fd, buffer, sizeof(buffer), MSG_DONTWAIT);
}

static void close_endpoint(rig_t *this)
{
	close(this->fd);
	this->fd = -1;
}

static void end_connection(rig_t *this)
{
	switch (this->scene->kind) {
	case END_FIN_READS_ON:
	case END_FIN_CLOSES:
		shutdown(this->fd, SHUT_WR);
		break;
	case END_CLOSES:
		close_endpoint(this);
		break;
	case END_RESETS:
		raw_reset_connection(this->fd);
		break;
	}
}

/* What the endpoint does after its end. */
static void go_on(rig_t *this)
{
	if (this->fd >= 0 && this->scene->kind == END_FIN_READS_ON)
		read_all(this, SIZE_MAX);
	else if (this->fd >= 0 && this->scene->kind == END_FIN_CLOSES)
		close_endpoint(this);
}

/* --- the router's side ----------------------------------------------------- */

static void on_sent(void *user)
{
}

static void on_response(void *user, const connection_response_t *response)
{
}

static void on_body(void *user, const char *data, size_t len)
{
	rig_t *this = user;

	assert_true(this->body_len + len <= sizeof(this->body));
	memcpy(this->body + this->body_len, data, len);
	this->body_len += len;
	if (this->scene->time == END_DURING_READ)
		end_connection(this);
	if (this->scene->pauses)
		endpoint_connection_pause(this->connection, true);
}

static void on_end(void *user)
{
	rig_t *this = user;

	this->has_ended = true;
}

static void on_fail(void *user, connection_failure_t failure)
{
	rig_t *this = user;

	this->has_failed = true;
	this->failure = failure;
}

static size_t held(const void *user)
{
	return 0;
}

static const endpoint_connection_ops_t ops = {on_sent, on_response, on_body, on_end, on_fail, held};

/* --- rig ------------------------------------------------------------------- */

static void keep_endpoint(void *ctx, registered_endpoint_t *endpoint)
{
	rig_t *this = ctx;

	this->endpoint = endpoint;
}

static void listen_on_loopback(rig_t *this, char *address, size_t size)
{
	struct sockaddr_in sin = {.sin_family = AF_INET};
	socklen_t len = sizeof(sin);

	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	this->listener = socket(AF_INET, SOCK_STREAM, 0);
	assert_int_equal(bind(this->listener, (struct sockaddr *)&sin, sizeof(sin)), 0);
	assert_int_equal(listen(this->listener, 8), 0);
	getsockname(this->listener, (struct sockaddr *)&sin, &len);
	g_snprintf(address, size, "127.0.0.1:%u", ntohs(sin.sin_port));
}

static void rig_init(rig_t *this, const scene_t *scene)
{
	endpoint_registry_options_t registry_options = {0};
	char address[32];
	endpoint_registration_t registration = {.name = (char *)"e",
		.service = (char *)"s",
		.address = address,
		.version = (char *)"",
		.failure_domain = (char *)"",
		.slots = 8};

	memset(this, 0, sizeof(*this));
	this->scene = scene;
	this->fd = -1;
	listen_on_loopback(this, address, sizeof(address));
	uv_loop_init(&this->loop);
	buffer_pool_init(&this->buffers, SIZE_MAX);
	this->registry = endpoint_registry_new(&registry_options);
	endpoint_registry_put(this->registry, &registration, clock_now());
	endpoint_registry_for_each(this->registry, keep_endpoint, this);
	this->options = (endpoint_connection_options_t){
		.loop = &this->loop,
		.header_names = &header_names,
		.connect_timeout_ms = RUN_MS,
		.silence_timeout_ms = RUN_MS,
		.open_count = &this->open_count,
		.buffers = &this->buffers,
	};
}

static bool is_over(const rig_t *this)
{
	return this->has_ended || this->has_failed;
}

static void rig_finish(rig_t *this)
{
	if (!is_over(this))
		endpoint_connection_abort(this->connection);
	if (this->fd >= 0)
		close_endpoint(this);
	close(this->listener);
	uv_run(&this->loop, UV_RUN_DEFAULT);
	assert_int_equal(uv_loop_close(&this->loop), 0);
	assert_int_equal(this->open_count, 0);
	endpoint_registry_delete(this->registry);
}

/* Runs the loop for this time; the endpoint goes on meanwhile if it `acts`. */
static void run_for(rig_t *this, unsigned int ms, bool acts)
{
	instant_t until = clock_now() + ms * USEC_PER_MSEC;

	while (!is_over(this) && clock_now() < until) {
		uv_run(&this->loop, UV_RUN_NOWAIT);
		if (acts)
			go_on(this);
	}
}

static void send_request(rig_t *this)
{
	size_t size = this->scene->long_body ? LONG_BODY : SHORT_BODY;
	char *text = g_strnfill(size, 'x');
	connection_request_t request = {.id = ID, .body = request_body_new(), .now = clock_now()};

	request.head = g_string_new(NULL);
	g_string_printf(request.head, "POST / HTTP/1.1\r\nContent-Length: %zu\r\n\r\n", size);
	assert_true(request_body_append(request.body, text, size, size));
	this->connection =
		endpoint_connection_send(&this->options, this->endpoint, &request, &ops, this);
	assert_non_null(this->connection);
	request_body_put(request.body);
	g_free(text);
	this->fd = accept(this->listener, NULL, NULL);
	assert_true(this->fd >= 0);
}

static void send_part(rig_t *this)
{
	raw_write(this->fd, this->scene->head);
	if (this->scene->time <= END_WITH_PART)
		end_connection(this);
}

static void play(rig_t *this)
{
	send_request(this);
	if (this->scene->time == END_BEFORE_WRITE)
		send_part(this);
	/* Until the sockets are full, or all is written. */
	run_for(this, LATER_MS, false);
	if (this->fd >= 0)
		read_all(this, this->scene->long_body ? SOME_BYTES : SIZE_MAX);
	if (this->scene->time != END_BEFORE_WRITE)
		send_part(this);
	run_for(this, LATER_MS, false);
	if (this->scene->time == END_LATER)
		end_connection(this);
	if (this->scene->pauses) {
		run_for(this, LATER_MS, true);
		if (!is_over(this))
			endpoint_connection_pause(this->connection, false);
	}
	run_for(this, RUN_MS, true);
}

/* --- cases ----------------------------------------------------------------- */

#define HEAD "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nRequest-Id: " ID "\r\n"

static const char *const heads[] = {
	HEAD "Connection: close\r\n\r\n" PART,
	"HTTP/1.0 201 Created\r\nServer-Stamp: s\r\nRequest-Id: " ID "\r\n\r\n" PART,
	HEAD "Content-Length: 4\r\n\r\n" PART,
	HEAD "Transfer-Encoding: chunked\r\n\r\n4\r\n" PART "\r\n0\r\n\r\n",
};
#define FRAMED_FROM 2 /* heads that tell where the body ends */

/* Whether the part is all of the response. */
static bool is_whole(const scene_t *scene)
{
	if (scene->is_framed || scene->kind == END_FIN_READS_ON)
		return true;
	/* The request comes to a closed socket. */
	if (scene->time == END_BEFORE_WRITE && scene->kind == END_CLOSES)
		return false;
	/* All of the request was read: nothing is left over which the close could reset. */
	return !scene->long_body && scene->kind != END_RESETS;
}

static char *describe(const scene_t *scene)
{
	static const char *const kinds[] = {"fin, reads on", "fin, closes", "closes", "resets"};
	static const char *const times[] = {
		"before the write", "with the part", "during the read", "later"};

	return g_strdup_printf("%s request, %s %s%s, %s%.12s", scene->long_body ? "long" : "short",
		kinds[scene->kind], times[scene->time], scene->pauses ? ", paused" : "",
		scene->is_framed ? "framed " : "", scene->head);
}

static bool play_scene(const scene_t *scene)
{
	rig_t rig;
	bool is_right;

	rig_init(&rig, scene);
	play(&rig);
	is_right = is_over(&rig) && rig.has_ended == is_whole(scene);
	if (!is_right) {
		char *name = describe(scene);

		print_message("  %s: %s\n", name,
			rig.has_ended ? "whole" : (rig.has_failed ? "failed" : "no end"));
		g_free(name);
	}
	if (rig.has_ended)
		assert_memory_equal(rig.body, PART, strlen(PART));
	rig_finish(&rig);
	return is_right;
}

static void check_times(scene_t scene, unsigned int *wrong)
{
	for (unsigned int time = END_BEFORE_WRITE; time <= END_LATER; time++) {
		/* A reset connection may not count as open any more, whatever was sent on it. */
		if (time == END_BEFORE_WRITE && scene.is_framed)
			continue;
		for (unsigned int pauses = 0; pauses < 2; pauses++) {
			scene.time = (end_time_t)time;
			scene.pauses = pauses;
			*wrong += !play_scene(&scene);
		}
	}
}

static void check_ends(bool long_body)
{
	unsigned int wrong = 0;

	for (unsigned int i = 0; i < ARRAY_LEN(heads); i++) {
		for (unsigned int kind = END_FIN_READS_ON; kind <= END_RESETS; kind++)
			check_times((scene_t){.head = heads[i],
					    .is_framed = i >= FRAMED_FROM,
					    .long_body = long_body,
					    .kind = (end_kind_t)kind},
				&wrong);
	}
	assert_int_equal(wrong, 0);
}

static void test_ends_behind_a_request_that_was_read(void **state)
{
	check_ends(false);
}

static void test_ends_during_a_long_request(void **state)
{
	check_ends(true);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_ends_behind_a_request_that_was_read),
		cmocka_unit_test(test_ends_during_a_long_request),
	};

	http_init();
	log_init("test", FALSE);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
