#include "gateway/first_token_histogram.h"

/* Upper bounds of the classes of prompts in tokens; larger ones are in the last class. */
static const uint32_t size_bounds[FIRST_TOKEN_SIZES - 1] = {1500, 4000, 12000};
static const char *const size_names[FIRST_TOKEN_SIZES] = {"1500", "4000", "12000", "+Inf"};
/* Upper bounds of the buckets in ms. */
static const unsigned int bounds_ms[FIRST_TOKEN_BUCKETS] = {
	50, 100, 200, 300, 400, 600, 800, 1500, 3000};

void first_token_histogram_add(first_token_histogram_t *this, uint32_t prompt, uint64_t delay)
{
	unsigned int size = 0;
	unsigned int bucket = 0;

	while (size < FIRST_TOKEN_SIZES - 1 && prompt >= size_bounds[size])
		size++;
	while (bucket < FIRST_TOKEN_BUCKETS && delay > bounds_ms[bucket] * USEC_PER_MSEC)
		bucket++;
	this->counts[size][bucket]++;
	this->sum[size] += delay;
}

static void write_size(const first_token_histogram_t *this, unsigned int size, GString *out)
{
	const char *name = size_names[size];
	uint64_t count = 0;

	for (unsigned int i = 0; i < FIRST_TOKEN_BUCKETS; i++) {
		count += this->counts[size][i];
		g_string_append_printf(out,
			"amaranthwall_first_token_seconds_bucket{prompt_below=\"%s\",le=\"%g\"} "
			"%" G_GUINT64_FORMAT "\n",
			name, bounds_ms[i] / 1000.0, (guint64)count);
	}
	count += this->counts[size][FIRST_TOKEN_BUCKETS];
	g_string_append_printf(out,
		"amaranthwall_first_token_seconds_bucket{prompt_below=\"%s\",le=\"+Inf\"} "
		"%" G_GUINT64_FORMAT "\n"
		"amaranthwall_first_token_seconds_sum{prompt_below=\"%s\"} %.6f\n"
		"amaranthwall_first_token_seconds_count{prompt_below=\"%s\"} %" G_GUINT64_FORMAT
		"\n",
		name, (guint64)count, name, (double)this->sum[size] / USEC_PER_SEC, name,
		(guint64)count);
}

void first_token_histogram_write_metrics(const first_token_histogram_t *this, GString *out)
{
	for (unsigned int size = 0; size < FIRST_TOKEN_SIZES; size++)
		write_size(this, size, out);
}
