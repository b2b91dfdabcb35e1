/* request_bodies - crowds of callers that the system does not control, before the program itself */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include "edge/clock.h"
#include "edge/log.h"
#include "tests/gateway_fixture.h"
#include "tests/program.h"

#define MEMORY_MB 48
#define DESCRIPTORS 2000
#define BODY_BYTES (1 << 20) /* maxBodyBytes */
#define HEADER_BYTES 16384   /* maxHeaderBytes */
#define CALLERS 60
#define MANY_CALLERS 600 /* each of which holds little */
#define SLOTS 800
#define LARGE_CHUNK 65536
#define BLOCK 65536
/* No byte was taken for so long: every caller waits for the program, or has sent all. */
#define QUIET_MS 1000
#define CROWD_WAIT_MS 60000 /* a guard: a crowd is checked then at the latest */
#define ANSWER_WAIT_MS 30000
#define TRICKLE_MS 3000
#define TRICKLE_STEP_MS 50

#define HEAD(path, id, key)                                                                        \
	"POST " path " HTTP/1.1\r\nHost: " FIXTURE_HOST "\r\nRequest-Id: " id                      \
	"\r\nAuthorization: Bearer " key "\r\n"
#define POST_HEAD HEAD("/upload/", "u", "k1")
#define CHUNKED POST_HEAD "Transfer-Encoding: chunked\r\n\r\n"
#define REFUSED "GET / HTTP/1.1\r\n\r\n"
#define TEXT(number) TEXT_OF(number)
#define TEXT_OF(number) #number

/* What a caller sends: the start, then the piece again and again; its connection stays open. */
typedef struct form {
	const char *name;
	unsigned int callers;
	const char *start;
	const char *piece_start;
	size_t piece_fill; /* bytes of body in the piece */
	const char *piece_end;
	size_t total;  /* bytes of pieces */
	bool trickles; /* sends some further bytes, one at a time */
} form_t;

#define WHOLE_CHUNKS(wire, data) ((size_t)(wire) * ((BODY_BYTES - 1) / (data)))

static const form_t forms[] = {
	{"large chunks, short of the end", CALLERS, CHUNKED, "10000\r\n", LARGE_CHUNK, "\r\n",
		WHOLE_CHUNKS(LARGE_CHUNK + 9, LARGE_CHUNK), false},
	{"chunks of one byte, short of the end", CALLERS, CHUNKED, "1\r\nx\r\n", 0, "",
		WHOLE_CHUNKS(6, 1), false},
	{"one chunk, one byte short", CALLERS, CHUNKED "100000\r\n", "", BLOCK, "", BODY_BYTES - 1,
		false},
	{"a length, one byte short", CALLERS, POST_HEAD "Content-Length: 1048576\r\n\r\n", "",
		BLOCK, "", BODY_BYTES - 1, false},
	{"far over the limit, announced", CALLERS, POST_HEAD "Content-Length: 67108864\r\n\r\n", "",
		BLOCK, "", 64 << 20, false},
	{"far over the limit, just sent", CALLERS, CHUNKED, "10000\r\n", LARGE_CHUNK, "\r\n",
		64 << 20, false},
	{"a chunk extension without end", CALLERS, CHUNKED "5;", "", BLOCK, "", 8 << 20, false},
	{"trailers without end", CALLERS, CHUNKED "1\r\nx\r\n0\r\n", "X-A: b\r\n", 0, "", 8 << 20,
		false},
	{"heads, one header at a time", MANY_CALLERS, POST_HEAD, "X-A: b\r\n", 0, "", 4096, true},
	{"heads of many short fields", CALLERS, POST_HEAD, "a:\r\n", 0, "", 15000 * 4, false},
	{"a hundred callers' continue", 100,
		POST_HEAD "Expect: 100-continue\r\nContent-Length: 1048576\r\n\r\n", "", BLOCK, "",
		BODY_BYTES - 1, false},
	{"uploads that trickle", CALLERS, POST_HEAD "Content-Length: 1048576\r\n\r\n", "", BLOCK,
		"", BODY_BYTES - 4096, true},
	{"bodies behind an unanswered request", MANY_CALLERS,
		HEAD("/silent/", "s", "k1") "Content-Length: 0\r\n\r\n" CHUNKED "100000\r\n", "",
		BLOCK, "", 900000, false},
	{"whole bodies for endpoints that do not read", CALLERS,
		HEAD("/silent/", "s", "k1") "Content-Length: 1048576\r\n\r\n", "", BLOCK, "",
		BODY_BYTES, false},
	{"refusals behind a request", 8, HEAD("/slow/", "s", "k1") "Content-Length: 0\r\n\r\n",
		REFUSED, 0, "", 81000, false},
};

typedef struct rig {
	program_t *program;
	int silent_fd; /* an endpoint that accepts connections and reads nothing */
} rig_t;

/* --- endpoints ------------------------------------------------------------ */

static bool respond_slowly(void *ctx, int fd, const raw_request_t *request)
{
	sleep_ms(300);
	return fixture_respond_hello(NULL, fd, request);
}

static int listen_silently(char *address, size_t size)
{
	struct sockaddr_in sin = {.sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t len = sizeof(sin);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	assert_int_equal(bind(fd, (struct sockaddr *)&sin, sizeof(sin)), 0);
	assert_int_equal(listen(fd, 2 * SLOTS), 0);
	getsockname(fd, (struct sockaddr *)&sin, &len);
	g_snprintf(address, size, "127.0.0.1:%u", ntohs(sin.sin_port));
	return fd;
}

static char *format_config(void)
{
	static const char *const names[] = {"upload", "silent", "slow"};
	GString *text = g_string_new("{\"version\":1,\"routes\":[");

	for (size_t i = 0; i < ARRAY_LEN(names); i++)
		g_string_append_printf(text,
			"%s{\"name\":\"%s\",\"host\":\"" FIXTURE_HOST "\",\"prefix\":\"/%s/\","
			"\"kind\":\"non_idempotent\",\"timeoutMs\":60000,\"maxAttempts\":1,"
			"\"service\":\"%s\"}",
			i ? "," : "", names[i], names[i], names[i]);
	g_string_append(text, "],\"services\":[");
	for (size_t i = 0; i < ARRAY_LEN(names); i++)
		g_string_append_printf(text,
			"%s{\"name\":\"%s\",\"healthPath\":\"/health\",\"maxConns\":4000}",
			i ? "," : "", names[i]);
	g_string_append(text,
		"],\"limits\":{\"maxHeaderBytes\":" TEXT(
			HEADER_BYTES) ",\"maxBodyBytes\":1048576,\"headerTimeoutMs\":60000,"
				      "\"idleTimeoutMs\":60000},"
				      "\"tenants\":[{\"name\":\"w1\",\"apiKeys\":[\"k1\"]},"
				      "{\"name\":\"w2\",\"apiKeys\":[\"k2\"]}]}");
	return g_string_free(text, FALSE);
}

static rig_t *rig_new(void)
{
	rig_t *this = g_new0(rig_t, 1);
	char *config = format_config();
	char address[32];

	this->program = program_new(config);
	this->silent_fd = listen_silently(address, sizeof(address));
	program_add_endpoint(this->program, "upload", SLOTS, fixture_respond_hello, NULL);
	program_add_endpoint(this->program, "slow", SLOTS, respond_slowly, NULL);
	program_register(this->program, "silent", SLOTS, address);
	program_start(this->program, MEMORY_MB, ",\"descriptors\":" TEXT(DESCRIPTORS));
	g_free(config);
	return this;
}

static void rig_delete(rig_t *this)
{
	program_delete(this->program);
	close(this->silent_fd);
	g_free(this);
}

/* --- the crowd ------------------------------------------------------------ */

typedef struct crowd_caller {
	const form_t *form;
	GString *start;
	size_t start_sent;
	size_t sent; /* of the pieces */
	int fd;	     /* -1: the program has closed it */
} crowd_caller_t;

typedef struct crowd {
	crowd_caller_t *callers;
	unsigned int count;
	GString *blocks[ARRAY_LEN(forms)]; /* each form's piece, some times */
	size_t piece_len[ARRAY_LEN(forms)];
	instant_t moved_at; /* when a byte was taken last */
} crowd_t;

static void add_block(crowd_t *this, unsigned int form)
{
	GString *piece = g_string_new(forms[form].piece_start);
	char *fill = g_strnfill(forms[form].piece_fill, 'x');

	g_string_append(piece, fill);
	g_string_append(piece, forms[form].piece_end);
	this->piece_len[form] = piece->len;
	this->blocks[form] = g_string_new(NULL);
	while (this->blocks[form]->len < 2 * BLOCK)
		g_string_append_len(this->blocks[form], piece->str, (gssize)piece->len);
	g_string_free(piece, TRUE);
	g_free(fill);
}

static void add_caller(crowd_t *this, const rig_t *rig, const form_t *form)
{
	crowd_caller_t *caller = &this->callers[this->count++];

	caller->form = form;
	caller->start = g_string_new(form->start);
	caller->fd = fixture_connect(rig->program->caller_address);
	assert_true(caller->fd >= 0);
	fcntl(caller->fd, F_SETFL, O_NONBLOCK);
}

static crowd_t *crowd_new(unsigned int max)
{
	crowd_t *this = g_new0(crowd_t, 1);

	this->callers = g_new0(crowd_caller_t, max);
	for (unsigned int i = 0; i < ARRAY_LEN(forms); i++)
		add_block(this, i);
	this->moved_at = clock_now();
	return this;
}

static void close_caller(crowd_caller_t *caller)
{
	if (caller->fd >= 0)
		close(caller->fd);
	caller->fd = -1;
}

static void crowd_delete(crowd_t *this)
{
	for (unsigned int i = 0; i < this->count; i++) {
		close_caller(&this->callers[i]);
		g_string_free(this->callers[i].start, TRUE);
	}
	for (unsigned int i = 0; i < ARRAY_LEN(forms); i++)
		g_string_free(this->blocks[i], TRUE);
	g_free(this->callers);
	g_free(this);
}

static bool has_more(const crowd_caller_t *caller)
{
	return caller->fd >= 0 &&
	       (caller->start_sent < caller->start->len || caller->sent < caller->form->total);
}

/* Sends up to `most` bytes; a caller whose connection fails is closed. */
static void send_some(crowd_t *this, crowd_caller_t *caller, size_t most)
{
	unsigned int form = (unsigned int)(caller->form - forms);
	const GString *block = this->blocks[form];
	bool in_start = caller->start_sent < caller->start->len;
	size_t at = in_start ? caller->start_sent : caller->sent % this->piece_len[form];
	const char *data = in_start ? caller->start->str : block->str;
	size_t len = (in_start ? caller->start->len : block->len) - at;
	ssize_t n;

	if (!in_start && len > caller->form->total - caller->sent)
		len = caller->form->total - caller->sent;
	n = send(caller->fd, data + at, MIN(len, most), MSG_NOSIGNAL);
	if (n < 0 && errno != EAGAIN)
		close_caller(caller);
	if (n <= 0)
		return;
	*(in_start ? &caller->start_sent : &caller->sent) += (size_t)n;
	this->moved_at = clock_now();
}

/* Takes no notice of what the program answers, but that it closes. */
static void read_some(crowd_caller_t *caller)
{
	static char buffer[BLOCK];
	ssize_t n = recv(caller->fd, buffer, sizeof(buffer), 0);

	if (n == 0 || (n < 0 && errno != EAGAIN))
		close_caller(caller);
}

static void crowd_turn(crowd_t *this, unsigned int wait_ms)
{
	struct pollfd *fds = g_new0(struct pollfd, this->count);

	for (unsigned int i = 0; i < this->count; i++) {
		fds[i].fd = this->callers[i].fd;
		fds[i].events = has_more(&this->callers[i]) ? POLLIN | POLLOUT : POLLIN;
	}
	poll(fds, this->count, (int)wait_ms);
	for (unsigned int i = 0; i < this->count; i++) {
		crowd_caller_t *caller = &this->callers[i];

		if (caller->fd >= 0 && fds[i].revents & (POLLIN | POLLHUP | POLLERR))
			read_some(caller);
		if (has_more(caller) && fds[i].revents & POLLOUT)
			send_some(this, caller, SIZE_MAX);
	}
	g_free(fds);
}

/* Further bytes of the callers that trickle, one of each at a time. */
static void trickle(crowd_t *this)
{
	for (unsigned int step = 0; step < TRICKLE_MS / TRICKLE_STEP_MS; step++) {
		for (unsigned int i = 0; i < this->count; i++) {
			crowd_caller_t *caller = &this->callers[i];

			if (caller->fd >= 0 && caller->form->trickles)
				(void)!send(caller->fd, "x", 1, MSG_NOSIGNAL);
		}
		sleep_ms(TRICKLE_STEP_MS);
	}
}

/* Until nobody's bytes are taken any more. */
static void run_crowd(crowd_t *this)
{
	instant_t until = clock_now() + CROWD_WAIT_MS * USEC_PER_MSEC;

	this->moved_at = clock_now();
	while (clock_now() < until && clock_now() < this->moved_at + QUIET_MS * USEC_PER_MSEC)
		crowd_turn(this, 50);
	trickle(this);
}

/* --- checks --------------------------------------------------------------- */

/* One request that has to be served; its body has `size` bytes. */
static void check_request(const rig_t *this, const char *name, size_t size)
{
	char *body = g_strnfill(size, 'b');
	char *text = g_strdup_printf(
		HEAD("/upload/", "o", "k2") "Connection: close\r\nContent-Length: %zu\r\n\r\n%s",
		size, body);
	int fd = fixture_connect(this->program->caller_address);
	char *response;

	assert_true(fd >= 0);
	raw_write(fd, text);
	response = fixture_read_until(fd, "hello", ANSWER_WAIT_MS);
	if (!g_str_has_prefix(response, "HTTP/1.1 200 ") || !strstr(response, "hello"))
		fail_msg("%s: a request of %zu bytes: %s", name, size, response);
	close(fd);
	g_free(response);
	g_free(text);
	g_free(body);
}

static void check_bounds(const rig_t *this, const char *name)
{
	unsigned long peak = program_peak_kb(this->program);
	unsigned int descriptors = program_descriptors(this->program);

	print_message("%s: peak %lu kB, %u descriptors\n", name, peak, descriptors);
	if (!peak)
		fail_msg("%s: the program has ended", name);
	if (peak > MEMORY_MB * 1024UL)
		fail_msg("%s: %lu kB of memory, %d MB are allowed", name, peak, MEMORY_MB);
	if (descriptors > DESCRIPTORS)
		fail_msg("%s: %u descriptors, %d are allowed", name, descriptors, DESCRIPTORS);
}

static void check_crowd(rig_t *rig, crowd_t *crowd, const char *name)
{
	run_crowd(crowd);
	check_request(rig, name, 100);
	check_bounds(rig, name);
	crowd_delete(crowd);
	check_request(rig, name, 100);
	check_request(rig, name, BODY_BYTES);
	check_bounds(rig, name);
	rig_delete(rig);
}

/* --- tests ---------------------------------------------------------------- */

/* Each form alone, `factor` times its crowd. */
static void check_form(unsigned int form, unsigned int factor)
{
	unsigned int count = forms[form].callers * factor;
	rig_t *rig = rig_new();
	crowd_t *crowd = crowd_new(count);

	for (unsigned int i = 0; i < count; i++)
		add_caller(crowd, rig, &forms[form]);
	check_crowd(rig, crowd, forms[form].name);
}

/* Guards against a crowd of one form that takes more than the program's memory. */
static void test_form(void **state)
{
	check_form((unsigned int)((const form_t *)*state - forms), 1);
}

static void check_mixed(unsigned int rounds)
{
	rig_t *rig = rig_new();
	crowd_t *crowd = crowd_new(rounds * ARRAY_LEN(forms));

	for (unsigned int i = 0; i < rounds * ARRAY_LEN(forms); i++)
		add_caller(crowd, rig, &forms[i % ARRAY_LEN(forms)]);
	check_crowd(rig, crowd, rounds > 10 ? "all forms, twice as many" : "all forms");
}

static void test_all_forms_at_once(void **state)
{
	check_mixed(10);
}

static void test_all_forms_at_once_twice_as_many(void **state)
{
	check_mixed(20);
}

static void test_twice_the_crowd_one_byte_short(void **state)
{
	check_form(3, 2);
}

/* More callers with unfinished requests than the program takes at all. */
static void test_unfinished_requests_that_take_all_places(void **state)
{
	check_form(8, 2);
}

static struct CMUnitTest tests[ARRAY_LEN(forms) + 4];
static size_t test_count;

static void add_test(const char *name, CMUnitTestFunction run, const form_t *form)
{
	tests[test_count++] =
		(struct CMUnitTest){name, run, NULL, program_end_left, (void *)(uintptr_t)form};
}

int main(void)
{
	log_init("test", FALSE);
	for (size_t i = 0; i < ARRAY_LEN(forms); i++)
		add_test(forms[i].name, test_form, &forms[i]);
	add_test("all forms at once", test_all_forms_at_once, NULL);
	add_test("all forms at once, twice as many", test_all_forms_at_once_twice_as_many, NULL);
	add_test("twice the crowd, one byte short", test_twice_the_crowd_one_byte_short, NULL);
	add_test("unfinished requests that take all places",
		test_unfinished_requests_that_take_all_places, NULL);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
