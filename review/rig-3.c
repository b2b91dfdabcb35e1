#include "review/rig-3.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include "edge/http_call.h"

#define PROGRAM "target/amaranthwall"
#define READY_WAIT_S 15
#define FIRST_PORT 21000
#define PORT_COUNT 9000 /* below those that the system gives to connections */
#define ETHERNET_SEGMENT 1460

static FILE *record;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static instant_t began;
static char work_folder[256];
static rig_t *the_rig;

/* --- record --------------------------------------------------------------- */

void rig_record(const char *format, ...)
{
	va_list args;

	pthread_mutex_lock(&record_lock);
	fprintf(record, "%8.3f ", (double)(clock_now() - began) / USEC_PER_SEC);
	va_start(args, format);
	vfprintf(record, format, args);
	va_end(args);
	fputc('\n', record);
	fflush(record);
	pthread_mutex_unlock(&record_lock);
}

void rig_fail(const char *what)
{
	rig_record("can't run: %s", what);
	rig_end(the_rig, CASE_CANT_RUN);
}

/* --- processes ------------------------------------------------------------ */

static void free_address(char *out, size_t size)
{
	static unsigned int next;
	struct sockaddr_in addr = {.sin_family = AF_INET};

	addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	for (unsigned int tries = 0; tries < PORT_COUNT; tries++) {
		unsigned int port = FIRST_PORT + ((unsigned int)getpid() * 61 + next++) % PORT_COUNT;
		int fd = socket(AF_INET, SOCK_STREAM, 0);
		bool found;

		addr.sin_port = htons((uint16_t)port);
		found = !bind(fd, (struct sockaddr *)&addr, sizeof(addr));
		close(fd);
		if (!found)
			continue;
		snprintf(out, size, "127.0.0.1:%u", port);
		return;
	}
	rig_fail("no free port");
}

/* What platform/settings.json.in gives for a machine of the site ligas-plata. */
static void write_settings(rig_t *this, rig_router_t *router)
{
	char peer[32];
	FILE *file;

	free_address(peer, sizeof(peer));
	file = fopen(router->settings_path, "w");
	if (!file)
		rig_fail("settings file");
	fprintf(file,
		"{\"memory_mb\":110,\"descriptors\":4100,\"stop_grace_s\":8,"
		"\"retry_ratio\":0.2,\"retry_allowance\":56,\"retry_window_s\":10,"
		"\"name\":\"%s\",\"failure_domain\":\"uy-sur-a\","
		"\"regions\":{\"uy-sur-a\":\"uy-sur\",\"uy-sur-b\":\"uy-sur\"},"
		"\"adapter\":\"rows\",\"caller_address\":\"%s\",\"ready_address\":\"%s\","
		"\"peer_address\":\"%s\",\"store_address\":\"%s\"}\n",
		router->name, router->caller_address, router->ready_address, peer,
		this->store_address);
	fclose(file);
}

void rig_start_router_process(rig_t *this, unsigned int index)
{
	rig_router_t *router = &this->routers[index];
	char *log_path;

	if (!*router->name) {
		snprintf(router->name, sizeof(router->name), "front-uy-sur-a-%u", index + 1);
		router->settings_path =
			g_strdup_printf("%s/%s.json", work_folder, router->name);
		free_address(router->caller_address, sizeof(router->caller_address));
		free_address(router->ready_address, sizeof(router->ready_address));
		write_settings(this, router);
		if (index >= this->router_count)
			this->router_count = index + 1;
	}
	log_path = g_strdup_printf("%s/%s.log", work_folder, router->name);
	router->pid = fork();
	if (router->pid < 0)
		rig_fail("fork");
	if (!router->pid) {
		int fd = open(log_path, O_WRONLY | O_CREAT | O_APPEND, 0600);

		/* A script that is ended early leaves nothing behind. */
		sigset_t none;

		sigemptyset(&none);
		sigprocmask(SIG_SETMASK, &none, NULL);
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		dup2(fd, 1);
		dup2(fd, 2);
		close_range(3, ~0U, 0);
		setenv("AMARANTHWALL_NODE_FILE", router->settings_path, 1);
		execl(PROGRAM, PROGRAM, "gateway", "--verbose", NULL);
		_exit(127);
	}
	g_free(log_path);
	rig_record("router %s starts: pid=%d clients=%s", router->name, (int)router->pid,
		router->caller_address);
}

static bool is_ready(const rig_router_t *router)
{
	static const char request[] = "GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
	char answer[256] = "";
	int fd = rig_connect(router->ready_address, 0);
	struct pollfd pfd = {.fd = fd, .events = POLLIN};

	if (fd < 0)
		return false;
	rig_send(fd, request, strlen(request));
	if (poll(&pfd, 1, 1000) == 1 && read(fd, answer, sizeof(answer) - 1) < 0)
		answer[0] = '\0';
	close(fd);
	return strstr(answer, " 200 ") != NULL;
}

void rig_wait_ready(rig_t *this, unsigned int index)
{
	instant_t until = clock_now() + READY_WAIT_S * USEC_PER_SEC;

	while (!is_ready(&this->routers[index])) {
		if (clock_now() > until)
			rig_fail("router is not ready");
		sleep_ms(50);
	}
	rig_record("router %s is ready", this->routers[index].name);
}

void rig_start_router(rig_t *this, unsigned int index)
{
	rig_start_router_process(this, index);
	rig_wait_ready(this, index);
}

void rig_signal(rig_t *this, unsigned int router, int signal_number)
{
	rig_record("router %s gets signal %d", this->routers[router].name, signal_number);
	kill(this->routers[router].pid, signal_number);
}

bool rig_has_ended(rig_t *this, unsigned int router, int *status)
{
	pid_t pid = this->routers[router].pid;

	if (!pid)
		return true;
	if (waitpid(pid, status, WNOHANG) != pid)
		return false;
	this->routers[router].pid = 0;
	rig_record("router %s has ended: status=%d", this->routers[router].name, *status);
	return true;
}

/* --- platform and replicas ------------------------------------------------- */

void rig_put_config(rig_t *this, const char *extra_routes)
{
	char *text = g_strdup_printf(
		"{\"version\":%u,\"routes\":["
		"{\"name\":\"booking\",\"host\":\"" RIG_HOST "\",\"prefix\":\"/booking/\","
		"\"kind\":\"non_idempotent\",\"timeoutMs\":12000,\"targetLatencyMs\":300,"
		"\"priority\":2,\"maxAttempts\":1,\"service\":\"mostrador\"},"
		"{\"name\":\"check\",\"host\":\"" RIG_HOST "\",\"prefix\":\"/check/\","
		"\"kind\":\"idempotent\",\"timeoutMs\":12000,\"targetLatencyMs\":300,"
		"\"priority\":2,\"maxAttempts\":2,\"service\":\"mostrador\"},"
		"{\"name\":\"draft\",\"host\":\"" RIG_HOST "\",\"prefix\":\"/draft/\","
		"\"kind\":\"streaming\",\"resumable\":true,\"gapAimMs\":250,\"timeoutMs\":12000,"
		"\"targetLatencyMs\":500,\"priority\":1,\"maxAttempts\":2,"
		"\"service\":\"mostrador\"}%s],"
		"\"services\":[{\"name\":\"mostrador\",\"healthPath\":\"/health\",\"maxConns\":110},"
		"{\"name\":\"otro\",\"healthPath\":\"/health\",\"maxConns\":110}],"
		"\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
		"\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
		"\"tenants\":[{\"name\":\"w1\",\"apiKeys\":[\"" RIG_KEY "\"]},{\"name\":\"w2\",\"apiKeys\":[\"k2\"]}]}",
		++this->config_version, extra_routes);

	row_store_standin_put(this->store, "op", "config", text);
	rig_record("configuration %u is acknowledged", this->config_version);
	g_free(text);
}

void rig_register(rig_t *this, unsigned int replica, const char *service, const char *state)
{
	char *key = g_strdup_printf("i-%u", replica);
	char *text = g_strdup_printf("{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"uy-sur-a\","
				     "\"version\":\"v1\",\"slots\":6,\"state\":\"%s\","
				     "\"coldRemainingMs\":0,\"sequence\":1,\"born\":1770000000000}",
		service, raw_endpoint_address(this->replicas[replica]), state);

	row_store_standin_put(this->store, "servers", key, text);
	rig_record("the store acknowledges: replica %u is %s", replica, state);
	g_free(text);
	g_free(key);
}

void rig_unregister(rig_t *this, unsigned int replica)
{
	char *key = g_strdup_printf("i-%u", replica);

	row_store_standin_delete_row(this->store, "servers", key);
	rig_record("the store acknowledges: the entry of replica %u is removed", replica);
	g_free(key);
}

unsigned int rig_add_replica(rig_t *this, const char *service, raw_handler_t handler, void *ctx)
{
	unsigned int index = this->replica_count++;

	this->replicas[index] = raw_endpoint_new(handler, ctx);
	rig_register(this, index, service, "ready");
	return index;
}

/* --- clients -------------------------------------------------------------- */

int rig_connect(const char *address, int window)
{
	struct sockaddr_in addr = {.sin_family = AF_INET};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int segment = ETHERNET_SEGMENT;
	const char *colon = strchr(address, ':');
	char ip[32] = "";

	memcpy(ip, address, (size_t)(colon - address));
	inet_pton(AF_INET, ip, &addr.sin_addr);
	addr.sin_port = htons((uint16_t)atoi(colon + 1));
	if (window) {
		setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof(segment));
		setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &window, sizeof(window));
	}
	if (!connect(fd, (struct sockaddr *)&addr, sizeof(addr)))
		return fd;
	close(fd);
	return -1;
}

void rig_send(int fd, const char *bytes, size_t len)
{
	while (len) {
		ssize_t n = send(fd, bytes, len, MSG_NOSIGNAL);

		if (n <= 0)
			return;
		bytes += n;
		len -= (size_t)n;
	}
}

bool rig_parse_answer(const GString *answer, unsigned int *status, size_t *body, long *length)
{
	const char *end = strstr(answer->str, "\r\n\r\n");
	const char *field = strcasestr(answer->str, "\r\nContent-Length:");

	if (!end || sscanf(answer->str, "HTTP/1.1 %u", status) != 1)
		return false;
	*body = answer->len - (size_t)(end + 4 - answer->str);
	*length = field && field < end ? atol(field + strlen("\r\nContent-Length:")) : -1;
	return true;
}

/* --- start and end ---------------------------------------------------------- */

/* A script that is told to end early ends its processes and removes its folder. */
static void *wait_for_end(void *ctx)
{
	sigset_t *signals = ctx;
	int number;

	sigwait(signals, &number);
	rig_fail("ended early");
}

static void handle_early_end(void)
{
	static sigset_t signals;
	pthread_t thread;

	sigemptyset(&signals);
	sigaddset(&signals, SIGTERM);
	sigaddset(&signals, SIGINT);
	pthread_sigmask(SIG_BLOCK, &signals, NULL);
	pthread_create(&thread, NULL, wait_for_end, &signals);
}

rig_t *rig_new(const char *folder)
{
	rig_t *this = g_new0(rig_t, 1);
	const char *trouble = getenv("TROUBLE");
	char path[300];

	began = clock_now();
	the_rig = this;
	this->began = began;
	this->trouble = !trouble || strcmp(trouble, "0") != 0;
	snprintf(path, sizeof(path), "%s/record.txt", folder);
	record = fopen(path, "w");
	if (!record)
		exit(CASE_CANT_RUN);
	fprintf(record, "seconds since the start; TROUBLE=%d\n", this->trouble);
	snprintf(work_folder, sizeof(work_folder), "%s/review-3-XXXXXX", g_get_tmp_dir());
	if (!mkdtemp(work_folder))
		rig_fail("temporary folder");
	signal(SIGPIPE, SIG_IGN);
	handle_early_end();
	http_init();
	this->store = row_store_standin_new("127.0.0.1:0");
	if (!this->store)
		rig_fail("store");
	this->store_address = row_store_standin_address(this->store);
	return this;
}

static void remove_folder(void)
{
	GDir *dir = g_dir_open(work_folder, 0, NULL);
	const char *name;

	while (dir && (name = g_dir_read_name(dir))) {
		char *path = g_build_filename(work_folder, name, NULL);

		unlink(path);
		g_free(path);
	}
	if (dir)
		g_dir_close(dir);
	rmdir(work_folder);
}

void rig_end(rig_t *this, int code)
{
	int status;

	for (unsigned int i = 0; i < this->router_count; i++) {
		if (!this->routers[i].pid)
			continue;
		kill(this->routers[i].pid, SIGKILL);
		waitpid(this->routers[i].pid, &status, 0);
	}
	if (!getenv("KEEP_LOGS"))
		remove_folder();
	rig_record("exit %d", code);
	fclose(record);
	_exit(code);
}
