#include "daemon/burn_rate.h"

#include <pthread.h>
#include <string.h>

#define USEC_PER_MINUTE (60 * USEC_PER_SEC)
#define USEC_PER_HOUR (60 * USEC_PER_MINUTE)
#define MINUTE_BUCKETS 60
#define HOUR_BUCKETS 72

typedef struct bucket {
	uint64_t period; /* number of the minute or hour that the counts belong to */
	uint32_t total;
	uint32_t failed;
	uint32_t late;
} bucket_t;

typedef struct service_counts {
	char *service;
	char *workspace;
	double success;
	bucket_t minutes[MINUTE_BUCKETS];
	bucket_t hours[HOUR_BUCKETS];
} service_counts_t;

struct burn_rate {
	pthread_mutex_t lock;
	GHashTable *counts_by_key; /* "service\nworkspace" -> service_counts_t */
};

typedef struct window {
	const char *name;
	unsigned int periods; /* in hours if `hourly`, else in minutes */
	bool hourly;
} window_t;

static const window_t windows[] = {
	{"5m", 5, false},
	{"30m", 30, false},
	{"1h", 60, false},
	{"6h", 6, true},
	{"3d", 72, true},
};

static void counts_delete(void *data)
{
	service_counts_t *counts = data;

	g_free(counts->service);
	g_free(counts->workspace);
	g_free(counts);
}

burn_rate_t *burn_rate_new(void)
{
	burn_rate_t *this = g_new0(burn_rate_t, 1);

	pthread_mutex_init(&this->lock, NULL);
	this->counts_by_key = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, counts_delete);
	return this;
}

void burn_rate_delete(burn_rate_t *this)
{
	g_hash_table_destroy(this->counts_by_key);
	pthread_mutex_destroy(&this->lock);
	g_free(this);
}

static service_counts_t *find_counts(burn_rate_t *this, const burn_rate_sample_t *sample)
{
	char *key = g_strconcat(sample->service, "\n", sample->workspace, NULL);
	service_counts_t *counts = g_hash_table_lookup(this->counts_by_key, key);

	if (counts) {
		g_free(key);
		return counts;
	}
	counts = g_new0(service_counts_t, 1);
	counts->service = g_strdup(sample->service);
	counts->workspace = g_strdup(sample->workspace);
	g_hash_table_insert(this->counts_by_key, key, counts);
	return counts;
}

static void count_request(bucket_t *bucket, uint64_t period, const burn_rate_sample_t *sample)
{
	if (bucket->period != period) {
		memset(bucket, 0, sizeof(*bucket));
		bucket->period = period;
	}
	bucket->total++;
	bucket->failed += sample->failed;
	bucket->late += sample->late;
}

void burn_rate_record(burn_rate_t *this, const burn_rate_sample_t *sample, instant_t now)
{
	uint64_t minute = now / USEC_PER_MINUTE;
	uint64_t hour = now / USEC_PER_HOUR;
	service_counts_t *counts;

	pthread_mutex_lock(&this->lock);
	counts = find_counts(this, sample);
	counts->success = sample->success;
	count_request(&counts->minutes[minute % MINUTE_BUCKETS], minute, sample);
	count_request(&counts->hours[hour % HOUR_BUCKETS], hour, sample);
	pthread_mutex_unlock(&this->lock);
}

/* Adds up the last `periods` periods, including `period`; skips buckets with older counts. */
static bucket_t sum_buckets(
	const bucket_t *buckets, unsigned int size, uint64_t period, unsigned int periods)
{
	bucket_t total = {0};

	for (unsigned int i = 0; i < size; i++) {
		if (buckets[i].period + periods <= period || buckets[i].period > period)
			continue;
		total.total += buckets[i].total;
		total.failed += buckets[i].failed;
		total.late += buckets[i].late;
	}
	return total;
}

static void append_counts(const service_counts_t *counts, GString *out, instant_t now)
{
	g_string_append_printf(out,
		"{\"service\":\"%s\",\"workspace\":\"%s\",\"success\":%g,"
		"\"windows\":[",
		counts->service, counts->workspace, counts->success);
	for (unsigned int i = 0; i < ARRAY_LEN(windows); i++) {
		const window_t *w = &windows[i];
		bucket_t total = w->hourly ? sum_buckets(counts->hours, HOUR_BUCKETS,
						     now / USEC_PER_HOUR, w->periods)
					   : sum_buckets(counts->minutes, MINUTE_BUCKETS,
						     now / USEC_PER_MINUTE, w->periods);

		g_string_append_printf(out,
			"%s{\"name\":\"%s\",\"total\":%u,\"failed\":%u,\"late\":%u}", i ? "," : "",
			w->name, total.total, total.failed, total.late);
	}
	g_string_append(out, "]}");
}

void burn_rate_append_json(burn_rate_t *this, GString *out, instant_t now)
{
	GHashTableIter iter;
	void *counts;
	bool first = true;

	g_string_append_c(out, '[');
	pthread_mutex_lock(&this->lock);
	g_hash_table_iter_init(&iter, this->counts_by_key);
	while (g_hash_table_iter_next(&iter, NULL, &counts)) {
		if (!first)
			g_string_append_c(out, ',');
		first = false;
		append_counts(counts, out, now);
	}
	pthread_mutex_unlock(&this->lock);
	g_string_append_c(out, ']');
}
