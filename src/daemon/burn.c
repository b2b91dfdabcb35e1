#include "daemon/burn.h"

#include <pthread.h>
#include <string.h>

#define MINUTE (60 * USEC_PER_SEC)
#define HOUR (60 * MINUTE)
#define MINUTES 60
#define HOURS 72

typedef struct bucket {
	uint64_t period; /* number of the minute or hour that is counted */
	uint32_t total;
	uint32_t failed;
	uint32_t late;
} bucket_t;

typedef struct account {
	char *service;
	char *workspace;
	double success;
	bucket_t minutes[MINUTES];
	bucket_t hours[HOURS];
} account_t;

struct burn {
	pthread_mutex_t lock;
	GHashTable *accounts; /* "service\nworkspace" -> account_t */
};

typedef struct window {
	const char *name;
	unsigned int periods;
	bool hours;
} window_t;

static const window_t windows[] = {
	{"5m", 5, false},
	{"30m", 30, false},
	{"1h", 60, false},
	{"6h", 6, true},
	{"3d", 72, true},
};

static void account_delete(void *data)
{
	account_t *account = data;

	g_free(account->service);
	g_free(account->workspace);
	g_free(account);
}

burn_t *burn_new(void)
{
	burn_t *this = g_new0(burn_t, 1);

	pthread_mutex_init(&this->lock, NULL);
	this->accounts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, account_delete);
	return this;
}

void burn_delete(burn_t *this)
{
	g_hash_table_destroy(this->accounts);
	pthread_mutex_destroy(&this->lock);
	g_free(this);
}

static account_t *find_account(burn_t *this, const burn_sample_t *sample)
{
	char *key = g_strconcat(sample->service, "\n", sample->workspace, NULL);
	account_t *account = g_hash_table_lookup(this->accounts, key);

	if (account) {
		g_free(key);
		return account;
	}
	account = g_new0(account_t, 1);
	account->service = g_strdup(sample->service);
	account->workspace = g_strdup(sample->workspace);
	g_hash_table_insert(this->accounts, key, account);
	return account;
}

static void count(bucket_t *bucket, uint64_t period, const burn_sample_t *sample)
{
	if (bucket->period != period) {
		memset(bucket, 0, sizeof(*bucket));
		bucket->period = period;
	}
	bucket->total++;
	bucket->failed += sample->failed;
	bucket->late += sample->late;
}

void burn_record(burn_t *this, const burn_sample_t *sample, instant_t now)
{
	uint64_t minute = now / MINUTE;
	uint64_t hour = now / HOUR;
	account_t *account;

	pthread_mutex_lock(&this->lock);
	account = find_account(this, sample);
	account->success = sample->success;
	count(&account->minutes[minute % MINUTES], minute, sample);
	count(&account->hours[hour % HOURS], hour, sample);
	pthread_mutex_unlock(&this->lock);
}

static bucket_t sum(
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

static void append_account(const account_t *account, GString *out, instant_t now)
{
	g_string_append_printf(out,
		"{\"service\":\"%s\",\"workspace\":\"%s\",\"success\":%g,"
		"\"windows\":[",
		account->service, account->workspace, account->success);
	for (unsigned int i = 0; i < ARRAY_LEN(windows); i++) {
		const window_t *w = &windows[i];
		bucket_t total = w->hours
					 ? sum(account->hours, HOURS, now / HOUR, w->periods)
					 : sum(account->minutes, MINUTES, now / MINUTE, w->periods);

		g_string_append_printf(out,
			"%s{\"name\":\"%s\",\"total\":%u,\"failed\":%u,\"late\":%u}", i ? "," : "",
			w->name, total.total, total.failed, total.late);
	}
	g_string_append(out, "]}");
}

void burn_json(burn_t *this, GString *out, instant_t now)
{
	GHashTableIter iter;
	void *account;
	bool first = true;

	g_string_append_c(out, '[');
	pthread_mutex_lock(&this->lock);
	g_hash_table_iter_init(&iter, this->accounts);
	while (g_hash_table_iter_next(&iter, NULL, &account)) {
		if (!first)
			g_string_append_c(out, ',');
		first = false;
		append_account(account, out, now);
	}
	pthread_mutex_unlock(&this->lock);
	g_string_append_c(out, ']');
}
