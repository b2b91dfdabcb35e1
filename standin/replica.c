#include "standin/replica.h"

#include <string.h>

#include "edge/clock.h"
#include "settings/jsondoc.h"

struct exec_log {
	pthread_mutex_t lock;
	GString *lines;
	unsigned int slots;
	unsigned int running;
	uint64_t busy_us; /* slot time used up to `busy_at` */
	instant_t busy_at;
};

exec_log_t *exec_log_new(void)
{
	exec_log_t *this = g_new0(exec_log_t, 1);

	pthread_mutex_init(&this->lock, NULL);
	this->lines = g_string_new(NULL);
	return this;
}

void exec_log_delete(exec_log_t *this)
{
	pthread_mutex_destroy(&this->lock);
	g_string_free(this->lines, TRUE);
	g_free(this);
}

void exec_log_add(exec_log_t *this, const char *request_id, const char *key)
{
	pthread_mutex_lock(&this->lock);
	g_string_append_printf(
		this->lines, "%s %s\n", request_id ? request_id : "-", key ? key : "-");
	pthread_mutex_unlock(&this->lock);
}

void exec_log_add_slots(exec_log_t *this, unsigned int slots)
{
	pthread_mutex_lock(&this->lock);
	this->slots += slots;
	pthread_mutex_unlock(&this->lock);
}

/* Adds up the slot time since the last change; the lock is held. */
static void exec_log_count(exec_log_t *this)
{
	instant_t now = clock_now();

	this->busy_us += (now - this->busy_at) * this->running;
	this->busy_at = now;
}

static void exec_log_run(exec_log_t *this, int step)
{
	pthread_mutex_lock(&this->lock);
	exec_log_count(this);
	this->running += (unsigned int)step;
	pthread_mutex_unlock(&this->lock);
}

static enum MHD_Result exec_log_busy(exec_log_t *this, server_call_t *call)
{
	GString *out = g_string_new(NULL);

	pthread_mutex_lock(&this->lock);
	exec_log_count(this);
	g_string_printf(out, "{\"busy_us\":%" G_GUINT64_FORMAT ",\"slots\":%u,\"running\":%u}",
		(guint64)this->busy_us, this->slots, this->running);
	pthread_mutex_unlock(&this->lock);
	return server_json(call, 200, out);
}

static enum MHD_Result exec_log_answer(exec_log_t *this, server_call_t *call)
{
	enum MHD_Result result;

	pthread_mutex_lock(&this->lock);
	result = server_answer(call, 200, "text/plain", this->lines->str, this->lines->len);
	pthread_mutex_unlock(&this->lock);
	return result;
}

void replica_init(replica_t *this, exec_log_t *log, unsigned int slots, unsigned int load_lag_ms,
	uint32_t seed)
{
	memset(this, 0, sizeof(*this));
	pthread_mutex_init(&this->lock, NULL);
	cond_init(&this->freed);
	this->log = log;
	this->slots = slots;
	this->load_lag_ms = load_lag_ms;
	this->random = g_rand_new_with_seed(seed);
	this->faults.slow_percent = 100;
	exec_log_add_slots(log, slots);
}

void replica_clear(replica_t *this)
{
	g_rand_free(this->random);
	pthread_cond_destroy(&this->freed);
	pthread_mutex_destroy(&this->lock);
}

void replica_enter(replica_t *this)
{
	pthread_mutex_lock(&this->lock);
	this->waiting++;
	while (this->running >= this->slots)
		pthread_cond_wait(&this->freed, &this->lock);
	this->waiting--;
	this->running++;
	this->served++;
	pthread_mutex_unlock(&this->lock);
	exec_log_run(this->log, 1);
}

void replica_leave(replica_t *this)
{
	exec_log_run(this->log, -1);
	pthread_mutex_lock(&this->lock);
	this->running--;
	pthread_cond_signal(&this->freed);
	pthread_mutex_unlock(&this->lock);
}

void replica_sample(replica_t *this)
{
	pthread_mutex_lock(&this->lock);
	this->samples[this->sampled++ % LOAD_SAMPLES] = this->running + this->waiting;
	pthread_mutex_unlock(&this->lock);
}

replica_faults_t replica_get_faults(replica_t *this)
{
	replica_faults_t faults;

	pthread_mutex_lock(&this->lock);
	faults = this->faults;
	pthread_mutex_unlock(&this->lock);
	return faults;
}

bool replica_draw(replica_t *this, unsigned int per_mille)
{
	bool drawn;

	pthread_mutex_lock(&this->lock);
	drawn = (unsigned int)g_rand_int_range(this->random, 0, 1000) < per_mille;
	pthread_mutex_unlock(&this->lock);
	return drawn;
}

static unsigned int get_uint(json_value_t *v, const char *key, unsigned int now)
{
	return (unsigned int)json_get_int(v, key, now);
}

static enum MHD_Result control(replica_t *this, server_call_t *call)
{
	jsondoc_t *doc = jsondoc_new(call->body->str, call->body->len);
	replica_faults_t *f = &this->faults;
	json_value_t *v = doc->root;

	pthread_mutex_lock(&this->lock);
	if (!doc->error) {
		f->slow_percent = get_uint(v, "slow_percent", f->slow_percent);
		f->cut_per_mille = get_uint(v, "cut_per_mille", f->cut_per_mille);
		f->cross_per_mille = get_uint(v, "cross_per_mille", f->cross_per_mille);
		f->drop_per_mille = get_uint(v, "drop_per_mille", f->drop_per_mille);
		f->lose_per_mille = get_uint(v, "lose_per_mille", f->lose_per_mille);
		f->late_ms = get_uint(v, "late_ms", (unsigned int)f->late_ms);
		f->refuse = json_get_bool(v, "refuse", f->refuse);
	}
	pthread_mutex_unlock(&this->lock);
	jsondoc_delete(doc);
	return server_json(call, 200, g_string_new("{}"));
}

static enum MHD_Result load(replica_t *this, server_call_t *call)
{
	unsigned int back = this->load_lag_ms / LOAD_SAMPLE_MS + 1;
	GString *out = g_string_new(NULL);
	unsigned int running = 0;

	pthread_mutex_lock(&this->lock);
	if (this->sampled >= back && back <= LOAD_SAMPLES)
		running = this->samples[(this->sampled - back) % LOAD_SAMPLES];
	g_string_printf(out,
		"{\"running\":%u,\"slots\":%u,\"served\":%" G_GUINT64_FORMAT ",\"now\":%u}",
		running, this->slots, this->served, this->running);
	pthread_mutex_unlock(&this->lock);
	return server_json(call, 200, out);
}

bool replica_answer(replica_t *this, server_call_t *call, enum MHD_Result *result)
{
	if (!strcmp(call->path, "/control"))
		*result = control(this, call);
	else if (!strcmp(call->path, "/load"))
		*result = load(this, call);
	else if (!strcmp(call->path, "/busy"))
		*result = exec_log_busy(this->log, call);
	else if (!strcmp(call->path, "/log"))
		*result = exec_log_answer(this->log, call);
	else
		return false;
	return true;
}
