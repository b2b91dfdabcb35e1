#include "daemon/caller_watch.h"

#include <glib.h>
#include <poll.h>
#include <pthread.h>

#include "edge/clock.h"
#include "edge/http_exchange.h"

#define POLL_INTERVAL (50 * USEC_PER_MSEC)
#define CANCEL_TIMEOUT_MS 1000

typedef struct watched {
	uint64_t id;
	int fd; /* the caller's socket */
	char *endpoint;
	char *request_id;
	bool disconnected;
	bool cancelled; /* the engine has been asked to cancel */
} watched_t;

struct caller_watch {
	pthread_mutex_t lock;
	pthread_cond_t wake;
	GHashTable *watched; /* id -> watched_t */
	uint64_t last_id;
	bool quit;
	pthread_t thread;
};

static void watched_delete(void *data)
{
	watched_t *watched = data;

	g_free(watched->endpoint);
	g_free(watched->request_id);
	g_free(watched);
}

bool caller_has_disconnected(int fd)
{
	struct pollfd item = {.fd = fd, .events = POLLRDHUP};

	return poll(&item, 1, 0) > 0 && (item.revents & (POLLHUP | POLLRDHUP | POLLERR));
}

static void send_cancel(const char *endpoint, const char *request_id)
{
	char *path = g_strdup_printf("/v1/streams/%s/cancel", request_id);
	GString *response = g_string_new(NULL);
	http_options_t options = {
		.address = endpoint,
		.method = "POST",
		.path = path,
		.connect_timeout_ms = CANCEL_TIMEOUT_MS,
		.read_timeout_ms = CANCEL_TIMEOUT_MS,
	};
	int status;

	http_call(&options, 4096, response, &status);
	g_string_free(response, TRUE);
	g_free(path);
}

/* Finds a disconnected caller whose request is not cancelled yet; returns copies of the strings. */
static bool next_disconnected(caller_watch_t *this, char **endpoint, char **request_id)
{
	GHashTableIter iter;
	void *value;
	bool found = false;

	g_hash_table_iter_init(&iter, this->watched);
	while (!found && g_hash_table_iter_next(&iter, NULL, &value)) {
		watched_t *watched = value;

		if (watched->cancelled || !caller_has_disconnected(watched->fd))
			continue;
		watched->disconnected = true;
		watched->cancelled = true;
		*endpoint = g_strdup(watched->endpoint);
		*request_id = g_strdup(watched->request_id);
		found = true;
	}
	return found;
}

static void *run(void *ctx)
{
	caller_watch_t *this = ctx;

	pthread_mutex_lock(&this->lock);
	while (!this->quit) {
		char *endpoint;
		char *request_id;

		if (!next_disconnected(this, &endpoint, &request_id)) {
			cond_wait_until(&this->wake, &this->lock, clock_now() + POLL_INTERVAL);
			continue;
		}
		pthread_mutex_unlock(&this->lock);
		send_cancel(endpoint, request_id);
		g_free(endpoint);
		g_free(request_id);
		pthread_mutex_lock(&this->lock);
	}
	pthread_mutex_unlock(&this->lock);
	return NULL;
}

caller_watch_t *caller_watch_new(void)
{
	caller_watch_t *this = g_new0(caller_watch_t, 1);

	pthread_mutex_init(&this->lock, NULL);
	cond_init(&this->wake);
	this->watched = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, watched_delete);
	pthread_create(&this->thread, NULL, run, this);
	return this;
}

void caller_watch_delete(caller_watch_t *this)
{
	pthread_mutex_lock(&this->lock);
	this->quit = true;
	pthread_cond_signal(&this->wake);
	pthread_mutex_unlock(&this->lock);
	pthread_join(this->thread, NULL);
	g_hash_table_destroy(this->watched);
	pthread_cond_destroy(&this->wake);
	pthread_mutex_destroy(&this->lock);
	g_free(this);
}

uint64_t caller_watch_add(
	caller_watch_t *this, int caller_fd, const char *endpoint, const char *request_id)
{
	watched_t *watched = g_new0(watched_t, 1);
	uint64_t id;

	watched->fd = caller_fd;
	watched->endpoint = g_strdup(endpoint);
	watched->request_id = g_strdup(request_id);
	pthread_mutex_lock(&this->lock);
	id = ++this->last_id;
	watched->id = id;
	g_hash_table_insert(this->watched, &watched->id, watched);
	pthread_mutex_unlock(&this->lock);
	return id;
}

bool caller_watch_remove(caller_watch_t *this, uint64_t id)
{
	watched_t *watched;
	bool disconnected;

	pthread_mutex_lock(&this->lock);
	watched = g_hash_table_lookup(this->watched, &id);
	disconnected = watched && watched->disconnected;
	g_hash_table_remove(this->watched, &id);
	pthread_mutex_unlock(&this->lock);
	return disconnected;
}
