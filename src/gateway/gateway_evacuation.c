#include "edge/clock.h"
#include "edge/log.h"
#include "gateway/gateway.h"

static void on_evacuation(void *ctx, const evacuation_event_t *event)
{
	gateway_t *this = ctx;
	unsigned int endpoints = endpoint_registry_apply_evacuations(this->endpoint_registry);

	log_notice("evacuation",
		"domain=%s state=%s row_version=%" G_GUINT64_FORMAT " era=%" G_GUINT64_FORMAT
		" source=%s endpoints=%u domains=%u",
		event->domain, event->evacuated ? "set" : "lifted", (guint64)event->version.number,
		(guint64)event->version.era, event->source, endpoints,
		evacuations_count(this->evacuations));
	this->engines_outdated |= endpoints > 0;
}

evacuation_rows_t *gateway_new_evacuation_rows(gateway_t *this)
{
	evacuation_rows_options_t options = {
		.adapter = this->adapter,
		.row_cache = this->row_cache,
		.evacuations = this->evacuations,
		.on_change = on_evacuation,
		.ctx = this,
	};

	return evacuation_rows_new(&options);
}
