#include "gateway/lane_log.h"

#include "edge/log.h"

#define LANE_LOG_INTERVAL (1 * USEC_PER_SEC)

static const char *workspace_name(const catalog_t *catalog, id_t32 id)
{
	for (unsigned int i = 0; catalog && i < catalog->workspaces->len; i++) {
		const catalog_workspace_t *workspace = catalog->workspaces->pdata[i];

		if (workspace->id == id)
			return workspace->name;
	}
	return "-";
}

static const char *service_name(const catalog_t *catalog, id_t32 id)
{
	for (unsigned int i = 0; catalog && i < catalog->service_count; i++) {
		if (catalog->services[i].id == id)
			return catalog->services[i].name;
	}
	return "-";
}

static void log_lane(void *ctx, const lane_report_t *report)
{
	const catalog_t *catalog = ctx;
	const lane_counts_t *counts = &report->counts;

	log_info("lane",
		"service=%s workspace=%s id=%u level=%.0f timely=%u late=%u granted=%u "
		"granted_late=%u refused=%u raised=%u",
		service_name(catalog, report->pool), workspace_name(catalog, report->workspace),
		report->workspace, report->level, report->timely, report->late, counts->granted,
		counts->granted_late, counts->refused, counts->raised);
}

void lane_log_tick(
	lane_log_t *this, placement_t *placement, const catalog_t *catalog, instant_t now)
{
	if (now < this->due)
		return;
	this->due = now + LANE_LOG_INTERVAL;
	placement_report_lanes(placement, now, log_lane, (void *)catalog);
}
