#include "edge/clock.h"
#include "filter/request.h"

static const endpoint_t *find_endpoint(const fleet_config_t *config, id_t32 id)
{
	for (unsigned int i = 0; i < config->endpoint_count; i++) {
		if (config->endpoints[i].id == id)
			return &config->endpoints[i];
	}
	return NULL;
}

static reason_t run(request_t *request)
{
	request->endpoint = find_endpoint(request->config, request->ticket->replica);
	if (!request->endpoint) {
		/* The node already uses a newer configuration, which added this endpoint. */
		fleet_config_t *newer = snapshot_get(&request->router->snapshot);

		request->endpoint = find_endpoint(newer, request->ticket->replica);
		fleet_config_put(newer);
	}
	return request->endpoint ? REASON_NONE : REASON_NO_ENDPOINT;
}

const filter_t place_filter = {"place", run};
