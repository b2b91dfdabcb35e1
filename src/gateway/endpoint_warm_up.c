#include "gateway/endpoint_warm_up.h"

#include "edge/log.h"

/* A registration reaches this router up to this long after it was written. */
#define ROW_DELAY (1 * USEC_PER_SEC)

bool endpoint_warm_up_put(
	registered_endpoint_t *endpoint, const endpoint_registration_t *registration, instant_t now)
{
	uint64_t left = registration->cold_left;
	bool is_cold = now < endpoint->cold_until;
	instant_t stated_at = now;

	/* The same row, read again, must not put the end off. */
	if (!registration->cold_stated ||
		(endpoint->cold_stated_at && left == endpoint->cold_left && (is_cold || !left)))
		return false;
	/* A row that says that the endpoint is warm may be older than what is known. */
	if (!left)
		stated_at = instant_max(now - instant_min(now, ROW_DELAY), 1);
	endpoint->cold_left = left;
	endpoint->cold_until = warm_up_deadline(left, now);
	endpoint->cold_stated_at = instant_max(stated_at, endpoint->cold_stated_at + 1);
	return true;
}

/* Microseconds since the endpoint's start, UINT64_MAX if that is unknown. */
static uint64_t age_when_seen(const registered_endpoint_t *endpoint)
{
	uint64_t started = endpoint->incarnation;
	uint64_t seen = endpoint->seen_wall_ms;

	return started && started <= seen ? (seen - started) * USEC_PER_MSEC : UINT64_MAX;
}

void endpoint_warm_up_describe(const registered_endpoint_t *endpoint,
	const catalog_service_t *service, instant_t loaded_at, placement_engine_t *engine)
{
	bool is_new = loaded_at && endpoint->seen_at > loaded_at;

	engine->cold_pace = service ? service->cold_pace : RATE_NONE;
	engine->cold_time = service ? service->cold_start_ms * USEC_PER_MSEC : 0;
	engine->cold_until = endpoint->cold_until;
	engine->cold_stated_at = endpoint->cold_stated_at;
	engine->cold_source = WARM_UP_ROW;
	if (engine->cold_stated_at)
		return;
	engine->cold_source = WARM_UP_STARTED;
	engine->cold_until = warm_up_own_time(
		age_when_seen(endpoint), is_new, engine->cold_time, endpoint->seen_at);
	engine->cold_stated_at = endpoint->seen_at;
}

void endpoint_warm_up_log(
	const registered_endpoint_t *endpoint, const warm_up_t *warm_up, instant_t now)
{
	uint64_t left = warm_up_left(warm_up, now);

	log_notice(left ? "endpoint-cold" : "endpoint-warm",
		"endpoint=%s left_ms=%" G_GINT64_FORMAT " pace_milli=%" G_GINT64_FORMAT
		" source=%s",
		endpoint ? endpoint->name : "-",
		left == UINT64_MAX ? -1 : (gint64)(left / USEC_PER_MSEC),
		(gint64)rate_limit_signed(warm_up->pace.rate),
		warm_up_source_name(warm_up->newest.source));
}
