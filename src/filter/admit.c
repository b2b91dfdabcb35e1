#include "filter/request.h"

static bool has_endpoint(request_t *request, unsigned int service)
{
	const fleet_text_t *text = request->text;

	for (unsigned int i = 0; i < text->endpoint_count; i++) {
		if (text->endpoints[i].service == service &&
			!watcher_is_leaving(request->router->watcher, text->endpoints[i].name))
			return true;
	}
	return false;
}

/* Every service below this one, at any depth, has an endpoint; the text has no cycles. */
static bool dependencies_stand(request_t *request, const service_t *service)
{
	for (unsigned int i = 0; i < service->depends_count; i++) {
		unsigned int below = service->depends_on[i];

		if (!has_endpoint(request, below) ||
			!dependencies_stand(request, &request->text->services[below]))
			return false;
	}
	return true;
}

static reason_t run(request_t *request)
{
	request->retry_after_s = 1;
	if (router_is_stopping(request->router))
		return REASON_STOPPING;
	if (!dependencies_stand(request, request->service))
		return REASON_DEPENDENCY;
	if (request_is_order(request))
		return order_run_check(request);
	return REASON_NONE;
}

const filter_t admit_filter = {"admit", run};
