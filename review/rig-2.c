#define _GNU_SOURCE
#include "rig-2.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define MAX_CHILDREN 64
#define MAX_ROWS 4096
#define HEARTBEATS 64

static struct timespec began;
static FILE *record_file;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static char folder[64];
static pid_t children[MAX_CHILDREN];
static unsigned int child_count;
static unsigned int next_machine = 1;

/* --- runs ------------------------------------------------------------------- */

double rig_now(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (double)(now.tv_sec - began.tv_sec) + (double)(now.tv_nsec - began.tv_nsec) / 1e9;
}

static void sleep_s(double seconds)
{
	struct timespec time = {(time_t)seconds, (long)((seconds - (double)(time_t)seconds) * 1e9)};

	if (seconds > 0)
		nanosleep(&time, NULL);
}

void rig_sleep_until(double at)
{
	sleep_s(at - rig_now());
}

void rig_record(const char *format, ...)
{
	va_list args;

	pthread_mutex_lock(&record_lock);
	fprintf(record_file, "%8.3f  ", rig_now());
	va_start(args, format);
	vfprintf(record_file, format, args);
	va_end(args);
	fputc('\n', record_file);
	fflush(record_file);
	pthread_mutex_unlock(&record_lock);
}

bool rig_trouble(void)
{
	const char *value = getenv("TROUBLE");

	return !value || strcmp(value, "0");
}

static void remove_folder(void)
{
	char path[192];

	for (unsigned int i = 1; i < next_machine; i++) {
		snprintf(path, sizeof(path), "%s/settings-%u.json", folder, i);
		unlink(path);
		snprintf(path, sizeof(path), "%s/log-%u.txt", folder, i);
		if (!getenv("KEEP_LOGS"))
			unlink(path);
	}
	rmdir(folder);
}

void rig_end(int code)
{
	for (unsigned int i = 0; i < child_count; i++) {
		if (children[i]) {
			kill(children[i], SIGKILL);
			waitpid(children[i], NULL, 0);
		}
	}
	rig_record("exit %d", code);
	remove_folder();
	_exit(code);
}

static void end_signals(sigset_t *signals)
{
	sigemptyset(signals);
	sigaddset(signals, SIGTERM);
	sigaddset(signals, SIGINT);
	sigaddset(signals, SIGHUP);
}

static void *watch_time(void *limit)
{
	sleep_s((double)(uintptr_t)limit);
	rig_record("the run took too long");
	rig_end(RIG_CANNOT);
}

static void start_thread(void *(*run)(void *), void *arg)
{
	pthread_t thread;

	if (pthread_create(&thread, NULL, run, arg)) {
		rig_record("no thread");
		rig_end(RIG_CANNOT);
	}
	pthread_detach(thread);
}

/* A run that is ended early leaves nothing behind. */
static void *watch_signals(void *arg)
{
	sigset_t signals;
	int number;

	end_signals(&signals);
	sigwait(&signals, &number);
	rig_record("ended early by signal %d", number);
	rig_end(RIG_CANNOT);
}

void rig_begin(const char *record, unsigned int limit_s)
{
	sigset_t signals;

	clock_gettime(CLOCK_MONOTONIC, &began);
	record_file = fopen(record, "w");
	if (!record_file)
		_exit(RIG_CANNOT);
	signal(SIGPIPE, SIG_IGN);
	end_signals(&signals);
	pthread_sigmask(SIG_BLOCK, &signals, NULL);
	snprintf(folder, sizeof(folder), "/tmp/review-XXXXXX");
	if (!mkdtemp(folder))
		rig_end(RIG_CANNOT);
	rig_record("TROUBLE=%d", rig_trouble());
	start_thread(watch_time, (void *)(uintptr_t)limit_s);
	start_thread(watch_signals, NULL);
}

/* --- sockets ------------------------------------------------------------------ */

static int listen_at(const char *ip, unsigned int port, char *address, size_t size)
{
	struct sockaddr_in sin = {.sin_family = AF_INET, .sin_port = htons((uint16_t)port)};
	socklen_t len = sizeof(sin);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int on = 1;

	inet_pton(AF_INET, ip, &sin.sin_addr);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&sin, sizeof(sin)) || listen(fd, 512)) {
		close(fd);
		return -1;
	}
	getsockname(fd, (struct sockaddr *)&sin, &len);
	snprintf(address, size, "%s:%u", ip, ntohs(sin.sin_port));
	return fd;
}

typedef struct accepted {
	int fd;
	void (*serve)(void *ctx, rig_conn_t *conn);
	void *ctx;
} accepted_t;

static void *serve_accepted(void *arg)
{
	accepted_t *accepted = arg;
	rig_conn_t conn = {.fd = accepted->fd};

	accepted->serve(accepted->ctx, &conn);
	rig_conn_close(&conn);
	free(accepted);
	return NULL;
}

static void *accept_loop(void *arg)
{
	accepted_t *listener = arg;

	for (;;) {
		int fd = accept4(listener->fd, NULL, NULL, SOCK_CLOEXEC);
		accepted_t *accepted;
		int on = 1;

		if (fd < 0)
			continue;
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		accepted = malloc(sizeof(*accepted));
		*accepted = *listener;
		accepted->fd = fd;
		start_thread(serve_accepted, accepted);
	}
	return NULL;
}

static void serve_on(int fd, void (*serve)(void *ctx, rig_conn_t *conn), void *ctx)
{
	accepted_t *listener = malloc(sizeof(*listener));

	*listener = (accepted_t){fd, serve, ctx};
	start_thread(accept_loop, listener);
}

bool rig_connect(rig_conn_t *conn, const char *address, const rig_connect_options_t *options)
{
	static const rig_connect_options_t none;
	struct sockaddr_in sin = {.sin_family = AF_INET};
	struct timeval timeout = {20, 0};
	char ip[32];
	int on = 1;

	options = options ? options : &none;
	snprintf(ip, sizeof(ip), "%s", address);
	*strchr(ip, ':') = '\0';
	inet_pton(AF_INET, ip, &sin.sin_addr);
	sin.sin_port = htons((uint16_t)atoi(strchr(address, ':') + 1));
	*conn = (rig_conn_t){.fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0),
		.read_rate = options->read_rate,
		.slow_until = options->slow_s > 0 ? rig_now() + options->slow_s : 0};
	if (options->timeout_ms)
		timeout = (struct timeval){
			options->timeout_ms / 1000, (options->timeout_ms % 1000) * 1000};
	setsockopt(conn->fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
	setsockopt(conn->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	if (options->receive_buffer)
		setsockopt(conn->fd, SOL_SOCKET, SO_RCVBUF, &options->receive_buffer,
			sizeof(options->receive_buffer));
	if (options->max_segment)
		setsockopt(conn->fd, IPPROTO_TCP, TCP_MAXSEG, &options->max_segment,
			sizeof(options->max_segment));
	if (!connect(conn->fd, (struct sockaddr *)&sin, sizeof(sin)))
		return true;
	rig_conn_close(conn);
	return false;
}

void rig_conn_close(rig_conn_t *conn)
{
	if (conn->fd >= 0)
		close(conn->fd);
	free(conn->bytes);
	*conn = (rig_conn_t){.fd = -1};
}

bool rig_write(rig_conn_t *conn, const char *bytes, size_t len)
{
	while (len) {
		ssize_t written = write(conn->fd, bytes, len);

		if (written < 0 && errno == EINTR)
			continue;
		if (written <= 0)
			return false;
		bytes += written;
		len -= (size_t)written;
	}
	return true;
}

bool rig_printf(rig_conn_t *conn, const char *format, ...)
{
	char *text = NULL;
	va_list args;
	int len;
	bool done;

	va_start(args, format);
	len = vasprintf(&text, format, args);
	va_end(args);
	done = len >= 0 && rig_write(conn, text, (size_t)len);
	free(text);
	return done;
}

/* Reads some more bytes; false at the end of the connection. */
static bool fill(rig_conn_t *conn)
{
	size_t most;
	ssize_t got;

	if (conn->slow_until > 0 && rig_now() >= conn->slow_until)
		conn->read_rate = 0;
	most = conn->read_rate ? conn->read_rate / 20 + 1 : 16384;

	if (conn->size < conn->len + most) {
		conn->size = 2 * (conn->len + most);
		conn->bytes = realloc(conn->bytes, conn->size);
	}
	if (conn->read_rate) {
		conn->read_began = conn->read_began > 0 ? conn->read_began : rig_now();
		rig_sleep_until(
			conn->read_began + (double)conn->read_total / (double)conn->read_rate);
	}
	do
		got = read(conn->fd, conn->bytes + conn->len, most);
	while (got < 0 && errno == EINTR);
	if (got <= 0) {
		conn->reset = got < 0 && errno == ECONNRESET;
		return false;
	}
	conn->len += (size_t)got;
	conn->read_total += (size_t)got;
	return true;
}

static void drop(rig_conn_t *conn, size_t len)
{
	memmove(conn->bytes, conn->bytes + len, conn->len - len);
	conn->len -= len;
}

/* --- HTTP ----------------------------------------------------------------------- */

char *rig_header(const rig_message_t *message, const char *name)
{
	size_t len = strlen(name);

	for (const char *line = strstr(message->head, "\r\n"); line; line = strstr(line, "\r\n")) {
		const char *value;

		line += 2;
		if (strncasecmp(line, name, len) || line[len] != ':')
			continue;
		value = line + len + 1;
		value += strspn(value, " \t");
		return strndup(value, strcspn(value, "\r"));
	}
	return NULL;
}

void rig_message_clear(rig_message_t *message)
{
	free(message->head);
	free(message->body);
	*message = (rig_message_t){0};
}

static bool read_head(rig_conn_t *conn, rig_message_t *message)
{
	char *end;

	*message = (rig_message_t){0};
	while (!conn->len || !(end = memmem(conn->bytes, conn->len, "\r\n\r\n", 4))) {
		if (!fill(conn))
			return false;
	}
	message->head = strndup(conn->bytes, (size_t)(end - conn->bytes) + 2);
	drop(conn, (size_t)(end - conn->bytes) + 4);
	return true;
}

static void append_body(rig_message_t *message, const char *bytes, size_t len)
{
	message->body = realloc(message->body, message->body_len + len + 1);
	memcpy(message->body + message->body_len, bytes, len);
	message->body_len += len;
	message->body[message->body_len] = '\0';
}

static bool read_length(rig_conn_t *conn, rig_message_t *message, size_t left)
{
	while (left) {
		size_t taken = conn->len < left ? conn->len : left;

		append_body(message, conn->bytes, taken);
		drop(conn, taken);
		left -= taken;
		if (left && !fill(conn))
			return false;
	}
	return true;
}

static bool read_chunks(rig_conn_t *conn, rig_message_t *message)
{
	for (;;) {
		char *end;
		size_t size;

		while (!conn->len || !(end = memmem(conn->bytes, conn->len, "\r\n", 2))) {
			if (!fill(conn))
				return false;
		}
		size = strtoul(conn->bytes, NULL, 16);
		drop(conn, (size_t)(end - conn->bytes) + 2);
		if (size && !read_length(conn, message, size))
			return false;
		while (conn->len < 2) {
			if (!fill(conn))
				return false;
		}
		drop(conn, 2);
		if (!size)
			return true;
	}
}

static bool read_body(rig_conn_t *conn, rig_message_t *message, bool until_close)
{
	char *length = rig_header(message, "Content-Length");
	char *coding = rig_header(message, "Transfer-Encoding");

	append_body(message, "", 0);
	if (coding) {
		message->complete = read_chunks(conn, message);
	} else if (length) {
		message->complete = read_length(conn, message, strtoul(length, NULL, 10));
	} else if (until_close) {
		do {
			append_body(message, conn->bytes, conn->len);
			conn->len = 0;
		} while (fill(conn));
		message->complete = !conn->reset;
	} else {
		message->complete = true;
	}
	free(length);
	free(coding);
	return message->complete;
}

bool rig_read_request(rig_conn_t *conn, rig_message_t *request)
{
	if (!read_head(conn, request))
		return false;
	if (read_body(conn, request, false))
		return true;
	rig_message_clear(request);
	return false;
}

bool rig_read_response(rig_conn_t *conn, rig_message_t *response)
{
	do {
		if (!read_head(conn, response))
			return false;
		if (sscanf(response->head, "HTTP/1.%*d %d", &response->status) != 1)
			return false;
	} while (response->status == 100);
	return read_body(conn, response, true);
}

/* --- store ------------------------------------------------------------------------ */

typedef struct row {
	char *table;
	char *key;
	char *value; /* base64, NULL: removed */
	uint64_t ver;
} row_t;

static struct {
	pthread_mutex_t lock;
	pthread_cond_t changed;
	row_t rows[MAX_ROWS];
	unsigned int count;
	uint64_t ver;
	rig_store_options_t options;
	rig_store_counts_t counts;
	char address[32];
} store = {.lock = PTHREAD_MUTEX_INITIALIZER, .changed = PTHREAD_COND_INITIALIZER, .ver = 1};

static char *encode(const char *text)
{
	static const char digits[] =
		"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
	size_t len = strlen(text);
	char *out = malloc(len * 4 / 3 + 8);
	char *at = out;

	for (size_t i = 0; i < len; i += 3) {
		uint32_t b = (uint32_t)(unsigned char)text[i] << 16;

		b |= i + 1 < len ? (uint32_t)(unsigned char)text[i + 1] << 8 : 0;
		b |= i + 2 < len ? (uint32_t)(unsigned char)text[i + 2] : 0;
		*at++ = digits[b >> 18 & 63];
		*at++ = digits[b >> 12 & 63];
		*at++ = i + 1 < len ? digits[b >> 6 & 63] : '=';
		*at++ = i + 2 < len ? digits[b & 63] : '=';
	}
	*at = '\0';
	return out;
}

static row_t *find_row(const char *table, const char *key)
{
	for (unsigned int i = 0; i < store.count; i++) {
		if (!strcmp(store.rows[i].table, table) && !strcmp(store.rows[i].key, key))
			return &store.rows[i];
	}
	return NULL;
}

/* With the lock held, at the store's current version; `value` passes. */
static void set_row(const char *table, const char *key, char *value)
{
	row_t *row = find_row(table, key);

	if (!row) {
		if (store.count == MAX_ROWS)
			rig_end(RIG_CANNOT);
		row = &store.rows[store.count++];
		row->table = strdup(table);
		row->key = strdup(key);
	}
	free(row->value);
	row->value = value;
	row->ver = store.ver;
}

uint64_t rig_store_put(const char *table, const char *key, const char *value)
{
	uint64_t ver;

	pthread_mutex_lock(&store.lock);
	ver = ++store.ver;
	set_row(table, key, value ? encode(value) : NULL);
	pthread_cond_broadcast(&store.changed);
	pthread_mutex_unlock(&store.lock);
	return ver;
}

rig_store_counts_t rig_store_counts(void)
{
	rig_store_counts_t counts;

	pthread_mutex_lock(&store.lock);
	counts = store.counts;
	pthread_mutex_unlock(&store.lock);
	return counts;
}

const char *rig_store_address(void)
{
	return store.address;
}

/* The decoded value of a query's parameter, to be freed; NULL: none. */
static char *parameter(const char *path, const char *name)
{
	const char *at = strchr(path, '?');
	size_t len = strlen(name);
	char *out;
	char *end;

	for (; at && *at != ' '; at = strpbrk(at, "& ")) {
		at++;
		if (!strncmp(at, name, len) && at[len] == '=')
			break;
		if (!strpbrk(at, "& ") || *strpbrk(at, "& ") == ' ')
			return NULL;
	}
	if (!at || strncmp(at, name, len))
		return NULL;
	at += len + 1;
	out = end = malloc(strlen(at) + 1);
	while (*at && *at != '&' && *at != ' ') {
		unsigned int byte;

		if (*at == '%' && sscanf(at + 1, "%2x", &byte) == 1) {
			*end++ = (char)byte;
			at += 3;
		} else {
			*end++ = *at++;
		}
	}
	*end = '\0';
	return out;
}

static int by_key(const void *a, const void *b)
{
	return strcmp((*(row_t *const *)a)->key, (*(row_t *const *)b)->key);
}

static int by_ver(const void *a, const void *b)
{
	uint64_t first = (*(row_t *const *)a)->ver;
	uint64_t second = (*(row_t *const *)b)->ver;

	return first < second ? -1 : first > second;
}

/* With the lock held: the JSON of the rows, and the highest version among them. */
static char *rows_json(row_t **rows, unsigned int count, uint64_t *ver)
{
	char *text = NULL;
	size_t size = 0;
	FILE *out = open_memstream(&text, &size);

	fprintf(out, "{\"rows\":[");
	*ver = 0;
	for (unsigned int i = 0; i < count; i++) {
		*ver = rows[i]->ver > *ver ? rows[i]->ver : *ver;
		fprintf(out, "%s{\"table\":\"%s\",\"part\":\"\",\"key\":\"%s\",", i ? "," : "",
			rows[i]->table, rows[i]->key);
		if (rows[i]->value)
			fprintf(out, "\"value\":\"%s\",\"ver\":%llu}", rows[i]->value,
				(unsigned long long)rows[i]->ver);
		else
			fprintf(out, "\"deleted\":true,\"ver\":%llu}",
				(unsigned long long)rows[i]->ver);
	}
	fprintf(out, "],\"hasMore\":false,\"ver\":%llu,\"nowMs\":%llu}",
		(unsigned long long)store.ver, (unsigned long long)(rig_now() * 1000));
	fclose(out);
	return text;
}

static bool answer(rig_conn_t *conn, int status, char *json)
{
	bool done = rig_printf(conn,
		"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %zu\r\n\r\n%s",
		status, strlen(json), json);

	free(json);
	pthread_mutex_lock(&store.lock);
	store.counts.answers++;
	pthread_mutex_unlock(&store.lock);
	return done;
}

static char *get_rows(const char *path)
{
	char *table = parameter(path, "table");
	char *from = parameter(path, "from");
	row_t *rows[MAX_ROWS];
	unsigned int count = 0;
	uint64_t ver;
	char *text;

	pthread_mutex_lock(&store.lock);
	for (unsigned int i = 0; i < store.count; i++) {
		row_t *row = &store.rows[i];

		if (row->value && !strcmp(row->table, table) &&
			(!from || strcmp(row->key, from) > 0))
			rows[count++] = row;
	}
	qsort(rows, count, sizeof(*rows), by_key);
	text = rows_json(rows, count, &ver);
	pthread_mutex_unlock(&store.lock);
	free(table);
	free(from);
	return text;
}

static char *feed_rows(const char *path)
{
	char *table = parameter(path, "table");
	char *after_text = parameter(path, "after");
	char *wait_text = parameter(path, "waitMs");
	uint64_t after = strtoull(after_text, NULL, 10);
	row_t *rows[MAX_ROWS];
	unsigned int count = 0;
	struct timespec until;
	uint64_t ver;
	char *text;

	clock_gettime(CLOCK_REALTIME, &until);
	until.tv_nsec += (long)(atoi(wait_text) % 1000) * 1000000;
	until.tv_sec += atoi(wait_text) / 1000 + until.tv_nsec / 1000000000;
	until.tv_nsec %= 1000000000;
	pthread_mutex_lock(&store.lock);
	for (;;) {
		for (unsigned int i = 0; i < store.count; i++) {
			if (store.rows[i].ver > after && !strcmp(store.rows[i].table, table))
				rows[count++] = &store.rows[i];
		}
		if (count || pthread_cond_timedwait(&store.changed, &store.lock, &until))
			break;
	}
	qsort(rows, count, sizeof(*rows), by_ver);
	text = rows_json(rows, count, &ver);
	pthread_mutex_unlock(&store.lock);
	free(table);
	free(after_text);
	free(wait_text);
	return text;
}

/* The value of a member of the JSON object that begins at `at`, to be freed; NULL: none. */
static char *member(const char *at, const char *end, const char *name)
{
	char quoted[40];
	const char *found;

	snprintf(quoted, sizeof(quoted), "\"%s\":", name);
	found = memmem(at, (size_t)(end - at), quoted, strlen(quoted));
	if (!found)
		return NULL;
	found += strlen(quoted);
	if (*found != '"')
		return strndup(found, strspn(found, "0123456789"));
	return strndup(found + 1, strcspn(found + 1, "\""));
}

typedef bool (*entry_handler_t)(const char *table, const char *key, char *value, char *ver);

/* Hands each object of the list to the handler; false if one of them returns false. */
static bool for_entries(const char *body, const char *list, entry_handler_t handle)
{
	char quoted[40];
	const char *at;
	bool all = true;

	snprintf(quoted, sizeof(quoted), "\"%s\":[", list);
	at = strstr(body, quoted);
	if (!at)
		return true;
	at += strlen(quoted);
	while (*at == '{' || *at == ',') {
		const char *end = strchr(at, '}');
		char *table = member(at, end, "table");
		char *key = member(at, end, "key");
		char *value = member(at, end, "value");
		char *ver = member(at, end, "ver");

		all &= handle(table, key, value, ver);
		free(table);
		free(key);
		free(value);
		free(ver);
		at = end + 1;
	}
	return all;
}

static bool check_entry(const char *table, const char *key, char *value, char *ver)
{
	const row_t *row = find_row(table, key);

	return strtoull(ver, NULL, 10) == (row && row->value ? row->ver : 0);
}

static bool write_entry(const char *table, const char *key, char *value, char *ver)
{
	set_row(table, key, strdup(value));
	return true;
}

static bool remove_entry(const char *table, const char *key, char *value, char *ver)
{
	set_row(table, key, NULL);
	return true;
}

static int transact(const char *body, char **text)
{
	bool holds;

	pthread_mutex_lock(&store.lock);
	holds = for_entries(body, "expected", check_entry);
	if (holds) {
		store.ver++;
		for_entries(body, "writes", write_entry);
		for_entries(body, "remove", remove_entry);
		pthread_cond_broadcast(&store.changed);
	}
	if (asprintf(text, "{\"ver\":%llu,\"nowMs\":%llu%s}", (unsigned long long)store.ver,
		    (unsigned long long)(rig_now() * 1000), holds ? "" : ",\"rows\":[]") < 0)
		rig_end(RIG_CANNOT);
	pthread_mutex_unlock(&store.lock);
	return holds ? 200 : 412;
}

static void serve_store(void *ctx, rig_conn_t *conn)
{
	rig_message_t request;
	bool goes_on = true;

	while (goes_on && rig_read_request(conn, &request)) {
		char *text = NULL;
		int status = 200;
		bool lost;

		sleep_s(0.004);
		if (!strncmp(request.head, "GET /rows-get?", 14))
			text = get_rows(request.head);
		else if (!strncmp(request.head, "GET /rows-feed?", 15))
			text = feed_rows(request.head);
		else if (!strncmp(request.head, "POST /rows-tx", 13))
			status = transact(request.body, &text);
		else if (asprintf(&text, "{}") >= 0)
			status = 404;
		rig_message_clear(&request);
		lost = store.options.loses && store.options.loses();
		if (!lost) {
			goes_on = answer(conn, status, text);
			continue;
		}
		/* It delivers nothing further, and ends when the caller closes it. */
		free(text);
		pthread_mutex_lock(&store.lock);
		store.counts.lost++;
		pthread_mutex_unlock(&store.lock);
		while (fill(conn))
			conn->len = 0;
		goes_on = false;
	}
}

void rig_store_start(const rig_store_options_t *options)
{
	int fd = listen_at("127.0.0.1", 0, store.address, sizeof(store.address));

	if (fd < 0)
		rig_end(RIG_CANNOT);
	if (options)
		store.options = *options;
	serve_on(fd, serve_store, NULL);
}

/* --- replicas ---------------------------------------------------------------------- */

char *rig_request_id(const rig_message_t *request)
{
	char *id = rig_header(request, "Request-Id");

	return id ? id : strdup("-");
}

static void serve_replica(void *ctx, rig_conn_t *conn)
{
	rig_replica_t *replica = ctx;
	rig_message_t request;
	bool goes_on = true;

	while (goes_on && rig_read_request(conn, &request)) {
		char *expected = rig_header(&request, "Expect-Instance");

		if (expected && strcmp(expected, replica->id))
			goes_on = rig_printf(conn,
				"HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\n"
				"Content-Length: 0\r\n\r\n",
				replica->id);
		else
			goes_on = replica->serve(replica, conn, &request);
		free(expected);
		rig_message_clear(&request);
	}
}

void rig_replica_start(rig_replica_t *replica)
{
	struct timespec now;

	clock_gettime(CLOCK_REALTIME, &now);
	replica->born = (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
	replica->listen_fd = listen_at("127.0.0.1", 0, replica->address, sizeof(replica->address));
	if (replica->listen_fd < 0)
		rig_end(RIG_CANNOT);
	serve_on(replica->listen_fd, serve_replica, replica);
}

uint64_t rig_replica_register(rig_replica_t *replica, const char *state)
{
	char *text = NULL;
	uint64_t ver;

	replica->state = state;
	if (!state)
		return rig_store_put("servers", replica->id, NULL);
	if (asprintf(&text,
		    "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"v1\","
		    "\"slots\":%u,\"state\":\"%s\",\"coldRemainingMs\":0,\"born\":%llu,"
		    "\"sequence\":%u}",
		    replica->service, replica->address, replica->zone, replica->slots, state,
		    (unsigned long long)replica->born, ++replica->sequence) < 0)
		rig_end(RIG_CANNOT);
	ver = rig_store_put("servers", replica->id, text);
	free(text);
	return ver;
}

typedef struct heartbeat {
	rig_replica_t *replica;
	unsigned int ms;
} heartbeat_t;

static void *beat(void *arg)
{
	heartbeat_t *heartbeat = arg;

	for (;;) {
		sleep_s(heartbeat->ms / 1000.0);
		if (heartbeat->replica->state)
			rig_replica_register(heartbeat->replica, heartbeat->replica->state);
	}
	return NULL;
}

void rig_replica_beat(rig_replica_t *replica, unsigned int ms)
{
	heartbeat_t *heartbeat = malloc(sizeof(*heartbeat));

	*heartbeat = (heartbeat_t){replica, ms};
	start_thread(beat, heartbeat);
}

/* --- gateways ------------------------------------------------------------------------ */

/* platform/settings.json.in, filled in with the fields of a small deployment. */
static const char settings_text[] =
	"{\n\"memory_mb\": %g,\n\"descriptors\": 4100,\n\"stop_grace_s\": 8,\n"
	"\"retry_ratio\": 0.2,\n\"retry_allowance\": 56,\n\"retry_window_s\": 10,\n"
	"\"name\": \"%s\",\n\"failure_domain\": \"%s\",\n"
	"\"regions\": { \"zone-a\": \"region\",\"zone-b\": \"region\",\"zone-c\": \"region\" },\n"
	"\"adapter\": \"rows\",\n\"caller_address\": \"%s:8783\",\n"
	"\"ready_address\": \"%s:8780\",\n\"metrics_address\": \"%s:9464\",\n"
	"\"peer_address\": \"%s:7400\",\n\"store_address\": \"%s\"\n}\n";

/* Every machine has a loopback address of its own, on which its ports are free. */
static void find_ip(char *ip, size_t size)
{
	static const unsigned int ports[] = {8783, 8780, 9464, 7400};
	unsigned int group = 1 + (unsigned int)getpid() % 250;

	for (unsigned int host = next_machine + 1; host < 250; host += 60) {
		bool is_free = true;

		snprintf(ip, size, "127.%u.%u.%u", 10 + group % 100, group, host);
		for (size_t i = 0; i < sizeof(ports) / sizeof(*ports) && is_free; i++) {
			char address[32];
			int fd = listen_at(ip, ports[i], address, sizeof(address));

			is_free = fd >= 0;
			if (is_free)
				close(fd);
		}
		if (is_free)
			return;
	}
	rig_record("no free ports");
	rig_end(RIG_CANNOT);
}

static void run_gateway(const char *settings, const char *log)
{
	static char *const arguments[] = {"target/amaranthwall", "gateway", "--verbose", NULL};
	char variable[200];
	char *environment[] = {variable, "PATH=/usr/bin:/bin", NULL};
	sigset_t signals;
	int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);

	end_signals(&signals);
	sigprocmask(SIG_UNBLOCK, &signals, NULL);
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	snprintf(variable, sizeof(variable), "AMARANTHWALL_NODE_FILE=%s", settings);
	dup2(fd, 1);
	dup2(fd, 2);
	execve(arguments[0], arguments, environment);
	_exit(127);
}

void rig_gateway_start(rig_gateway_t *gateway)
{
	char log[160];
	unsigned int number = next_machine;
	FILE *file;

	if (!*gateway->ip) {
		find_ip(gateway->ip, sizeof(gateway->ip));
		next_machine++;
		snprintf(gateway->front, sizeof(gateway->front), "%s:8783", gateway->ip);
		snprintf(gateway->ready, sizeof(gateway->ready), "%s:8780", gateway->ip);
		snprintf(gateway->settings, sizeof(gateway->settings), "%s/settings-%u.json",
			folder, number);
	}
	snprintf(log, sizeof(log), "%s", gateway->settings);
	memcpy(strstr(log, "settings-"), "log-", 4);
	memmove(strstr(log, "log-") + 4, strstr(log, "log-") + 9,
		strlen(strstr(log, "log-") + 9) + 1);
	strcpy(strstr(log, ".json"), ".txt");
	file = fopen(gateway->settings, "w");
	if (!file || child_count == MAX_CHILDREN)
		rig_end(RIG_CANNOT);
	fprintf(file, settings_text, gateway->memory_mb ? gateway->memory_mb : 110.0, gateway->name,
		gateway->zone, gateway->ip, gateway->ip, gateway->ip, gateway->ip, store.address);
	fclose(file);
	gateway->pid = fork();
	if (gateway->pid < 0)
		rig_end(RIG_CANNOT);
	if (!gateway->pid)
		run_gateway(gateway->settings, log);
	children[child_count++] = gateway->pid;
	rig_record("gateway %s starts at %s", gateway->name, gateway->front);
}

void rig_gateway_signal(rig_gateway_t *gateway, int number)
{
	rig_record("gateway %s gets %s", gateway->name, strsignal(number));
	kill(gateway->pid, number);
}

bool rig_gateway_ended(rig_gateway_t *gateway)
{
	int status;

	if (!gateway->pid || waitpid(gateway->pid, &status, WNOHANG) != gateway->pid)
		return !gateway->pid;
	for (unsigned int i = 0; i < child_count; i++)
		children[i] = children[i] == gateway->pid ? 0 : children[i];
	gateway->pid = 0;
	if (WIFSIGNALED(status))
		rig_record("gateway %s ended by signal %d", gateway->name, WTERMSIG(status));
	else
		rig_record("gateway %s exited with %d", gateway->name, WEXITSTATUS(status));
	return true;
}

static int readiness(const char *address)
{
	rig_connect_options_t options = {.timeout_ms = 1000};
	rig_message_t response = {0};
	rig_conn_t conn;
	int status;

	if (!rig_connect(&conn, address, &options))
		return 0;
	rig_printf(&conn, "GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n");
	rig_read_response(&conn, &response);
	status = response.status;
	rig_message_clear(&response);
	rig_conn_close(&conn);
	return status;
}

void rig_gateway_wait_ready(rig_gateway_t *gateway, double seconds)
{
	double until = rig_now() + seconds;

	while (rig_now() < until) {
		if (readiness(gateway->ready) == 200) {
			rig_record("gateway %s is ready", gateway->name);
			return;
		}
		if (rig_gateway_ended(gateway))
			break;
		sleep_s(0.05);
	}
	rig_record("gateway %s doesn't get ready", gateway->name);
	rig_end(RIG_CANNOT);
}
