#include "standin/replica_standin.h"

#include <string.h>

#include "edge/clock.h"
#include "settings/jsondoc.h"

struct exec_log {
	pthread_mutex_t lock;
	GString *lines;
	unsigned int slots;
	unsigned int running;
	uint64_t busy_us; /* slot time used until `busy_at` */
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

void exec_log_append(exec_log_t *this, const char *request_id, const char *key)
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

/* Adds the slot time used since `busy_at`; the caller holds the lock. */
static void exec_log_update_busy(exec_log_t *this)
{
	instant_t now = clock_now();

	this->busy_us += (now - this->busy_at) * this->running;
	this->busy_at = now;
}

static void exec_log_adjust_running(exec_log_t *this, int change)
{
	pthread_mutex_lock(&this->lock);
	exec_log_update_busy(this);
	this->running += (unsigned int)change;
	pthread_mutex_unlock(&this->lock);
}

static enum MHD_Result exec_log_respond_busy(exec_log_t *this, server_request_t *request)
{
	GString *out = g_string_new(NULL);

	pthread_mutex_lock(&this->lock);
	exec_log_update_busy(this);
	g_string_printf(out, "{\"busy_us\":%" G_GUINT64_FORMAT ",\"slots\":%u,\"running\":%u}",
		(guint64)this->busy_us, this->slots, this->running);
	pthread_mutex_unlock(&this->lock);
	return server_respond_json(request, 200, out);
}

static enum MHD_Result exec_log_respond_lines(exec_log_t *this, server_request_t *request)
{
	enum MHD_Result result;

	pthread_mutex_lock(&this->lock);
	result = server_respond(request, 200, "text/plain", this->lines->str, this->lines->len);
	pthread_mutex_unlock(&this->lock);
	return result;
}

void replica_standin_init(replica_standin_t *this, exec_log_t *log, unsigned int slots,
	unsigned int load_lag_ms, uint32_t seed)
{
	memset(this, 0, sizeof(*this));
	pthread_mutex_init(&this->lock, NULL);
	cond_init(&this->slot_freed);
	this->log = log;
	this->slots = slots;
	this->load_lag_ms = load_lag_ms;
	this->random = g_rand_new_with_seed(seed);
	this->faults.slow_percent = 100;
	exec_log_add_slots(log, slots);
}

void replica_standin_clear(replica_standin_t *this)
{
	g_rand_free(this->random);
	pthread_cond_destroy(&this->slot_freed);
	pthread_mutex_destroy(&this->lock);
}

void replica_standin_acquire_slot(replica_standin_t *this)
{
	pthread_mutex_lock(&this->lock);
	this->waiting++;
	while (this->running >= this->slots)
		pthread_cond_wait(&this->slot_freed, &this->lock);
	this->waiting--;
	this->running++;
	this->served++;
	pthread_mutex_unlock(&this->lock);
	exec_log_adjust_running(this->log, 1);
}

void replica_standin_release_slot(replica_standin_t *this)
{
	exec_log_adjust_running(this->log, -1);
	pthread_mutex_lock(&this->lock);
	this->running--;
	pthread_cond_signal(&this->slot_freed);
	pthread_mutex_unlock(&this->lock);
}

void replica_standin_sample_load(replica_standin_t *this)
{
	pthread_mutex_lock(&this->lock);
	this->samples[this->sample_count++ % LOAD_SAMPLES] = this->running + this->waiting;
	pthread_mutex_unlock(&this->lock);
}

replica_faults_t replica_standin_get_faults(replica_standin_t *this)
{
	replica_faults_t faults;

	pthread_mutex_lock(&this->lock);
	faults = this->faults;
	pthread_mutex_unlock(&this->lock);
	return faults;
}

bool replica_standin_draw_fault(replica_standin_t *this, unsigned int per_mille)
{
	bool is_drawn;

	pthread_mutex_lock(&this->lock);
	is_drawn = (unsigned int)g_rand_int_range(this->random, 0, 1000) < per_mille;
	pthread_mutex_unlock(&this->lock);
	return is_drawn;
}

/* Returns the member `key`, or `current` if it is absent. */
static unsigned int get_uint(json_value_t *v, const char *key, unsigned int current)
{
	return (unsigned int)json_get_int(v, key, current);
}

static enum MHD_Result handle_control(replica_standin_t *this, server_request_t *request)
{
	jsondoc_t *doc = jsondoc_new(request->body->str, request->body->len);
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
	return server_respond_json(request, 200, g_string_new("{}"));
}

static enum MHD_Result send_load(replica_standin_t *this, server_request_t *request)
{
	unsigned int samples_back = this->load_lag_ms / LOAD_SAMPLE_MS + 1;
	GString *out = g_string_new(NULL);
	unsigned int reported_load = 0;

	pthread_mutex_lock(&this->lock);
	if (this->sample_count >= samples_back && samples_back <= LOAD_SAMPLES)
		reported_load = this->samples[(this->sample_count - samples_back) % LOAD_SAMPLES];
	g_string_printf(out,
		"{\"running\":%u,\"slots\":%u,\"served\":%" G_GUINT64_FORMAT ",\"now\":%u}",
		reported_load, this->slots, this->served, this->running);
	pthread_mutex_unlock(&this->lock);
	return server_respond_json(request, 200, out);
}

bool replica_standin_handle(
	replica_standin_t *this, server_request_t *request, enum MHD_Result *result)
{
	if (!strcmp(request->path, "/control"))
		*result = handle_control(this, request);
	else if (!strcmp(request->path, "/load"))
		*result = send_load(this, request);
	else if (!strcmp(request->path, "/busy"))
		*result = exec_log_respond_busy(this->log, request);
	else if (!strcmp(request->path, "/log"))
		*result = exec_log_respond_lines(this->log, request);
	else
		return false;
	return true;
}
