/* A lost heartbeat of a draining replica is performed late by the store; see claim.txt. */
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "review/rig-3.h"

#define HEARTBEAT_MS 1200
#define DRAIN_MS 2000
#define CONTACT_MS 3000
#define LATE_MS 5300	/* the lost heartbeat is done so long after it was sent (1 to 6 s) */
#define DRAINS_MS 3200	/* the replica reports that it drains, after the lost heartbeat */
#define EXIT_MS 5950	/* it exits: drainMs and a little longer after its report */
#define DOWN_MS 60000
#define WORK_MS 100	/* of a request */
#define PAUSE_MS 20	/* between two requests of a client */
#define CLIENTS 20	/* enough to use the 6 slots of each replica */
#define REPLICAS 3

typedef struct replica {
	unsigned int index;
	instant_t late_from; /* requests that arrive later break the rule; 0: none does */
	unsigned int runs;
	unsigned int late;
} replica_t;

static rig_t *rig;
static replica_t replicas[REPLICAS];
static bool stopping;
static unsigned int broken_off; /* orders that ended with 502: nobody knows whether they ran */

static bool respond(void *ctx, int fd, const raw_request_t *request)
{
	replica_t *this = ctx;
	instant_t late_from = __atomic_load_n(&this->late_from, __ATOMIC_SEQ_CST);
	bool is_late = late_from && clock_now() > late_from;
	char *answer = g_strdup_printf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: s.1\r\n"
				       "Content-Length: 2\r\n\r\nok",
		request->id);

	__atomic_add_fetch(&this->runs, 1, __ATOMIC_SEQ_CST);
	sleep_ms(WORK_MS);
	if (is_late)
		__atomic_add_fetch(&this->late, 1, __ATOMIC_SEQ_CST);
	rig_record("replica %u has run id=%s%s", this->index, request->id,
		is_late ? ", which reached it later than drainMs" : "");
	raw_write(fd, answer);
	g_free(answer);
	return true;
}

/* One request on a connection of its own; returns the status, 0: none. */
static unsigned int ask(unsigned int router, const char *id)
{
	char *request = g_strdup_printf("POST /booking/1 HTTP/1.1\r\nHost: " RIG_HOST
					"\r\nRequest-Id: %s\r\n"
					"Authorization: Bearer " RIG_KEY "\r\n"
					"Connection: close\r\nDeadline-Ms: 1000\r\n"
					"Content-Length: 2\r\n\r\n{}",
		id);
	int fd = rig_connect(rig->routers[router].caller_address, 0);
	char answer[1024] = "";
	unsigned int status = 0;

	if (fd < 0)
		return 0;
	rig_send(fd, request, strlen(request));
	if (recv(fd, answer, sizeof(answer) - 1, 0) > 0 && sscanf(answer, "HTTP/1.1 %u", &status) != 1)
		status = 0;
	close(fd);
	g_free(request);
	return status;
}

static void *run_client(void *ctx)
{
	unsigned int number = GPOINTER_TO_UINT(ctx);
	unsigned int served = 0;
	unsigned int sent = 0;

	while (!__atomic_load_n(&stopping, __ATOMIC_SEQ_CST)) {
		unsigned int status;
		char id[32];

		g_snprintf(id, sizeof(id), "c%u-%u", number, sent++);
		status = ask(number % 2, id);
		served += status == 200;
		rig_record("client %u: /booking/ %s status=%u", number, id, status);
		if (status == 502)
			__atomic_add_fetch(&broken_off, 1, __ATOMIC_SEQ_CST);
		sleep_ms(PAUSE_MS);
	}
	rig_record("client %u: sent %u, served %u", number, sent, served);
	return NULL;
}

/* What the replica writes of itself. */
static void beat(unsigned int replica, const char *state, unsigned int sequence, const char *note)
{
	char *key = g_strdup_printf("i-%u", replica);
	char *text = g_strdup_printf(
		"{\"service\":\"mostrador\",\"address\":\"%s\",\"zone\":\"uy-sur-a\","
		"\"version\":\"v1\",\"slots\":6,\"state\":\"%s\",\"coldRemainingMs\":0,"
		"\"sequence\":%u,\"born\":1770000000000}",
		raw_endpoint_address(rig->replicas[replica]), state, sequence);

	static char stored[REPLICAS][16]; /* states */

	/* "The entry changes when more than `sequence` changes." */
	if (strcmp(stored[replica], state))
		row_store_standin_put(rig->store, "servers", key, text);
	else
		note = " (only the sequence is new: the entry stays)";
	g_strlcpy(stored[replica], state, sizeof(stored[replica]));
	rig_record("store: heartbeat of replica %u: %s, sequence %u%s", replica, state, sequence, note);
	g_free(text);
	g_free(key);
}

static void sleep_until(instant_t at)
{
	instant_t now = clock_now();

	if (at > now)
		sleep_ms((unsigned int)((at - now) / USEC_PER_MSEC));
}

/* The heartbeats of replica 0, of which number 5 got no answer and is done late. */
static void run_replica(instant_t lost_at)
{
	instant_t drains_at = lost_at + DRAINS_MS * USEC_PER_MSEC;
	instant_t late_at = lost_at + LATE_MS * USEC_PER_MSEC;
	instant_t exit_at = lost_at + EXIT_MS * USEC_PER_MSEC;
	instant_t next = lost_at + HEARTBEAT_MS * USEC_PER_MSEC;
	unsigned int sequence = 6;
	bool drains = false;
	bool was_late = !rig->trouble;

	rig_record("replica 0 sends a heartbeat, sequence 5: no answer of the store");
	while (clock_now() < exit_at) {
		instant_t at = instant_min(next, drains ? exit_at : drains_at);

		if (!was_late && late_at < at) {
			sleep_until(late_at);
			was_late = true;
			beat(0, "ready", 5, ": the heartbeat of before, done late");
			continue;
		}
		sleep_until(at);
		if (at == exit_at)
			break;
		drains |= at == drains_at;
		beat(0, drains ? "draining" : "ready", sequence++, "");
		if (at == drains_at)
			__atomic_store_n(&replicas[0].late_from,
				clock_now() + DRAIN_MS * USEC_PER_MSEC, __ATOMIC_SEQ_CST);
		else
			next += HEARTBEAT_MS * USEC_PER_MSEC;
	}
	raw_endpoint_crash(rig->replicas[0], DOWN_MS);
	rig_record("replica 0 exits");
	rig_unregister(rig, 0);
	sleep_ms(1000);
}

int main(int argc, char **argv)
{
	pthread_t clients[CLIENTS];
	unsigned int late;

	rig = rig_new(argc > 1 ? argv[1] : ".");
	rig_put_config(rig, "");
	for (unsigned int i = 0; i < REPLICAS; i++) {
		replicas[i].index = i;
		rig_add_replica(rig, "mostrador", respond, &replicas[i]);
		beat(i, "ready", 4, "");
	}
	rig_start_router(rig, 0);
	rig_start_router(rig, 1);
	sleep_ms(CONTACT_MS + 1000);
	for (unsigned int i = 0; i < CLIENTS; i++)
		pthread_create(&clients[i], NULL, run_client, GUINT_TO_POINTER(i));
	run_replica(clock_now());
	__atomic_store_n(&stopping, true, __ATOMIC_SEQ_CST);
	for (unsigned int i = 0; i < CLIENTS; i++)
		pthread_join(clients[i], NULL);
	for (unsigned int i = 0; i < REPLICAS; i++)
		rig_record("replica %u ran %u requests", i, replicas[i].runs);
	late = replicas[0].late;
	rig_record("%u orders ended with 502", broken_off);
	rig_record("%u requests reached the draining replica later than drainMs: DRAIN is %s", late,
		late ? "broken" : "kept");
	rig_end(rig, late ? CASE_BROKEN : CASE_HELD);
}
