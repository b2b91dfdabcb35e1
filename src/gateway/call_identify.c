#include <string.h>

#include "gateway/call.h"
#include "gateway/gateway.h"

#define BEARER "Bearer "

static call_step_t fail(call_t *call, reason_t reason)
{
	call->reason = reason;
	return STEP_FAIL;
}

static const catalog_workspace_t *find_workspace(const call_t *call)
{
	const char *authorization = caller_header(call->request, "Authorization");

	if (!authorization || g_ascii_strncasecmp(authorization, BEARER, strlen(BEARER)))
		return NULL;
	return catalog_find_workspace(call->catalog, authorization + strlen(BEARER));
}

/* Finds the route and workspace in the current catalog, which the call keeps to its end. */
static call_step_t run(call_t *call)
{
	const char *host = caller_header(call->request, "Host");

	call->id = g_strdup(caller_header(call->request, call->gateway->header_names->request_id));
	call->catalog = catalog_get(call->gateway->catalog);
	if (!call->catalog || !evacuations_are_known(call->gateway->evacuations)) {
		call->retry_after_s = NOT_READY_RETRY_S;
		return fail(call, REASON_NOT_READY);
	}
	if (!host || !call->id || !*call->id)
		return fail(call, REASON_BAD_REQUEST);
	call->route = catalog_route(call->catalog, host, call->request->target->str);
	if (!call->route)
		return fail(call, REASON_NO_ROUTE);
	if (call->catalog->requires_keys && !call->route->is_public) {
		call->workspace = find_workspace(call);
		if (!call->workspace)
			return fail(call, REASON_UNAUTHORIZED);
	}
	return STEP_NEXT;
}

const call_filter_t call_identify = {"identify", run};
