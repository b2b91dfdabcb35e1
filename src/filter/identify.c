#include <string.h>

#include "filter/request.h"

#define BEARER "Bearer "

static reason_t run(request_t *request)
{
	const char *given = request_header(request, "Authorization");

	request->config = snapshot_get(&request->router->snapshot);
	if (!request->config) {
		request->retry_after_s = 1;
		return REASON_NOT_READY;
	}
	if (!given || !g_str_has_prefix(given, BEARER))
		return REASON_UNAUTHORIZED;
	request->workspace = fleet_config_find_workspace(request->config, given + strlen(BEARER));
	return request->workspace ? REASON_NONE : REASON_UNAUTHORIZED;
}

const filter_t identify_filter = {"identify", run};
