#include "load/record.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define GRID_STEP (50 * USEC_PER_MSEC)
#define MAX_WORKSPACES 256

static void record_free(void *data)
{
	record_t *record = data;

	g_free(record->key);
	g_free(record);
}

records_t *records_new(void)
{
	records_t *this = g_new0(records_t, 1);

	pthread_mutex_init(&this->lock, NULL);
	this->list = g_ptr_array_new_with_free_func(record_free);
	this->not_run = g_ptr_array_new_with_free_func(g_free);
	this->statuses = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return this;
}

void records_delete(records_t *this)
{
	g_ptr_array_unref(this->list);
	g_ptr_array_unref(this->not_run);
	g_hash_table_destroy(this->statuses);
	pthread_mutex_destroy(&this->lock);
	g_free(this);
}

void records_add(records_t *this, record_t *record)
{
	pthread_mutex_lock(&this->lock);
	g_ptr_array_add(this->list, record);
	pthread_mutex_unlock(&this->lock);
}

void records_add_not_run(records_t *this, const char *request_id)
{
	pthread_mutex_lock(&this->lock);
	g_ptr_array_add(this->not_run, g_strdup(request_id));
	pthread_mutex_unlock(&this->lock);
}

void records_count_status(records_t *this, int status, const char *reason)
{
	char *key = g_strdup_printf("%d %s", status, reason);
	unsigned int count;

	pthread_mutex_lock(&this->lock);
	count = GPOINTER_TO_UINT(g_hash_table_lookup(this->statuses, key));
	g_hash_table_replace(this->statuses, key, GUINT_TO_POINTER(count + 1));
	pthread_mutex_unlock(&this->lock);
}

static int compare_doubles(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	if (x == y)
		return 0;
	return x < y ? -1 : 1;
}

static double quantile(GArray *values, double q)
{
	if (!values->len)
		return 0;
	g_array_sort(values, compare_doubles);
	return g_array_index(values, double, (guint)(q * (values->len - 1) + 0.5));
}

static bool in_window(const record_t *record, const char *work_class, instant_t from, instant_t to)
{
	if (work_class && strcmp(record->stream->work_class, work_class))
		return false;
	return record->intended >= from && record->intended < to;
}

void records_summarize(records_t *this, const char *work_class, instant_t from, instant_t to,
	class_summary_t *summary)
{
	GArray *first_byte_ms = g_array_new(FALSE, FALSE, sizeof(double));
	GArray *end_ms = g_array_new(FALSE, FALSE, sizeof(double));
	double cost = 0;

	memset(summary, 0, sizeof(*summary));
	for (unsigned int i = 0; i < this->list->len; i++) {
		const record_t *r = g_ptr_array_index(this->list, i);
		double to_first;
		double to_end;

		if (!in_window(r, work_class, from, to))
			continue;
		summary->total++;
		summary->results[r->result]++;
		if (r->result != RESULT_DONE)
			continue;
		summary->rejected_then_served += r->rejections > 0;
		to_first = (double)(r->first_byte - r->intended) / 1000;
		to_end = (double)(r->ended - r->intended) / 1000;
		cost += r->cost;
		g_array_append_val(first_byte_ms, to_first);
		g_array_append_val(end_ms, to_end);
	}
	summary->p50_first_byte_ms = quantile(first_byte_ms, 0.50);
	summary->p95_first_byte_ms = quantile(first_byte_ms, 0.95);
	summary->p99_first_byte_ms = quantile(first_byte_ms, 0.99);
	summary->p99_end_ms = quantile(end_ms, 0.99);
	summary->cost_per_second = cost * USEC_PER_SEC / (double)(to - from);
	g_array_unref(first_byte_ms);
	g_array_unref(end_ms);
}

/* --- fairness --------------------------------------------------------- */

/* Cost served to each workspace and its waiting requests, in steps of GRID_STEP. */
typedef struct grid {
	unsigned int steps;
	unsigned int count;
	const char *names[MAX_WORKSPACES];
	double *served[MAX_WORKSPACES];	       /* cumulative weighted cost at each step */
	unsigned int *waiting[MAX_WORKSPACES]; /* requests waiting at each step */
} grid_t;

static unsigned int grid_workspace_index(grid_t *this, const char *name)
{
	for (unsigned int i = 0; i < this->count; i++) {
		if (!strcmp(this->names[i], name))
			return i;
	}
	if (this->count == MAX_WORKSPACES)
		return MAX_WORKSPACES - 1;
	this->names[this->count] = name;
	this->served[this->count] = g_new0(double, this->steps + 2);
	this->waiting[this->count] = g_new0(unsigned int, this->steps + 2);
	return this->count++;
}

/* Returns the step of `at`, which may lie outside the grid. */
static int64_t grid_step(instant_t at, instant_t from)
{
	return ((int64_t)at - (int64_t)from) / (int64_t)GRID_STEP;
}

static unsigned int clamp_step(const grid_t *this, int64_t step)
{
	if (step < 0)
		return 0;
	return step > this->steps ? this->steps : (unsigned int)step;
}

/*
 * A request waits from its intended time to its first byte, or to its end when it is not
 * done.  The cost of a request that is done is spread evenly from its first byte to its end.
 */
static void grid_add(grid_t *this, const record_t *r, instant_t from)
{
	unsigned int w = grid_workspace_index(this, r->stream->workspace);
	int64_t service_start =
		grid_step(r->result == RESULT_DONE ? r->first_byte : r->ended, from);
	int64_t end = grid_step(r->ended, from);
	double cost = (double)r->cost / r->stream->weight / (double)(end - service_start + 1);
	unsigned int s = clamp_step(this, grid_step(r->intended, from) + 1);

	for (; s < clamp_step(this, service_start); s++)
		this->waiting[w][s]++;
	if (r->result != RESULT_DONE || end < 0)
		return;
	for (s = clamp_step(this, service_start); s <= clamp_step(this, end) && s < this->steps;
		s++)
		this->served[w][s] += cost;
}

/* Turns the cost served in each step into the sum of all steps up to it. */
static void grid_accumulate(grid_t *this)
{
	for (unsigned int w = 0; w < this->count; w++) {
		for (unsigned int s = 1; s <= this->steps; s++)
			this->served[w][s] += this->served[w][s - 1];
	}
}

/*
 * Returns the largest difference in cost served over any window in which both workspaces
 * wait: the range that the difference of their cumulative costs covers in such a period.
 */
static double pair_gap(const grid_t *this, unsigned int a, unsigned int b)
{
	double low = 0;
	double high = 0;
	double gap = 0;
	bool both_waiting = false;

	for (unsigned int s = 0; s < this->steps; s++) {
		double difference = this->served[a][s] - this->served[b][s];

		if (!this->waiting[a][s] || !this->waiting[b][s]) {
			both_waiting = false;
			continue;
		}
		if (!both_waiting)
			low = high = difference;
		both_waiting = true;
		low = difference < low ? difference : low;
		high = difference > high ? difference : high;
		gap = high - low > gap ? high - low : gap;
	}
	return gap;
}

static double grid_largest_gap(const grid_t *this)
{
	double gap = 0;

	for (unsigned int a = 0; a < this->count; a++) {
		for (unsigned int b = 0; b < a; b++) {
			double pair = pair_gap(this, a, b);

			gap = pair > gap ? pair : gap;
		}
	}
	return gap;
}

/* Fills the grid with the requests of `model`; returns the largest weighted cost of one. */
static double grid_build(
	grid_t *this, records_t *records, const char *model, instant_t from, instant_t to)
{
	double largest = 0;

	memset(this, 0, sizeof(*this));
	this->steps = (unsigned int)((to - from) / GRID_STEP);
	for (unsigned int i = 0; i < records->list->len; i++) {
		const record_t *r = g_ptr_array_index(records->list, i);

		if (strcmp(r->stream->model, model))
			continue;
		grid_add(this, r, from);
		if (r->ended > from && (double)r->cost / r->stream->weight > largest)
			largest = (double)r->cost / r->stream->weight;
	}
	grid_accumulate(this);
	return largest;
}

static void grid_clear(grid_t *this)
{
	for (unsigned int w = 0; w < this->count; w++) {
		g_free(this->served[w]);
		g_free(this->waiting[w]);
	}
}

void records_print_shares(records_t *this, const char *model, instant_t from, instant_t to)
{
	grid_t grid;

	grid_build(&grid, this, model, from, to);
	for (unsigned int w = 0; w < grid.count; w++) {
		unsigned int waiting = 0;

		for (unsigned int s = 0; s < grid.steps; s++)
			waiting += grid.waiting[w][s] > 0;
		printf("%s\"%s\": [%.1f, %.2f]", w ? ", " : "", grid.names[w],
			grid.steps ? grid.served[w][grid.steps - 1] : 0,
			(double)waiting / grid.steps);
	}
	grid_clear(&grid);
}

double records_fairness_gap(
	records_t *this, const char *model, instant_t from, instant_t to, double *largest_cost)
{
	grid_t grid;
	double gap;

	*largest_cost = grid_build(&grid, this, model, from, to);
	gap = grid_largest_gap(&grid);
	grid_clear(&grid);
	return gap;
}
