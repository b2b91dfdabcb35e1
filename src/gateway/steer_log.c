#include "gateway/steer_log.h"

#include <glib.h>

#include "edge/log.h"

#define STEER_LOG_INTERVAL (1 * USEC_PER_SEC)

void steer_log_tick(steer_log_t *this, const placement_stats_t *stats, instant_t now)
{
	uint64_t pauses = stats->steered_pauses - this->pauses;
	uint64_t reading = stats->steered_reading - this->reading;
	uint64_t redirected = stats->redirected_reading - this->redirected;

	if (now < this->due)
		return;
	this->due = now + STEER_LOG_INTERVAL;
	if (!pauses && !reading && !redirected)
		return;
	this->pauses = stats->steered_pauses;
	this->reading = stats->steered_reading;
	this->redirected = stats->redirected_reading;
	log_info("prompt-steered",
		"pauses=%" G_GUINT64_FORMAT " reading=%" G_GUINT64_FORMAT
		" redirected=%" G_GUINT64_FORMAT,
		(guint64)pauses, (guint64)reading, (guint64)redirected);
}
