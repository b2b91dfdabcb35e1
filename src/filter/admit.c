#include "filter/request.h"

/* True if the service has an endpoint that is not leaving. */
static bool has_endpoint(request_t *request, unsigned int service)
{
	const fleet_config_t *config = request->config;

	for (unsigned int i = 0; i < config->endpoint_count; i++) {
		if (config->endpoints[i].service == service &&
			!platform_watcher_is_leaving(
				request->router->platform_watcher, config->endpoints[i].name))
			return true;
	}
	return false;
}

/*
 * True if every service that this one depends on, directly or not, has an endpoint.  The recursion
 * ends because a fleet configuration with dependency cycles is rejected.
 */
static bool dependencies_available(request_t *request, const service_t *service)
{
	for (unsigned int i = 0; i < service->dependency_count; i++) {
		unsigned int dependency = service->depends_on[i];

		if (!has_endpoint(request, dependency) ||
			!dependencies_available(request, &request->config->services[dependency]))
			return false;
	}
	return true;
}

static reason_t run(request_t *request)
{
	request->retry_after_s = 1;
	if (router_is_stopping(request->router))
		return REASON_STOPPING;
	if (!dependencies_available(request, request->service))
		return REASON_DEPENDENCY;
	if (request_is_order(request))
		return order_precheck(request);
	return REASON_NONE;
}

const filter_t admit_filter = {"admit", run};
