#ifndef GATEWAY_ENDPOINT_WARM_UP_H
#define GATEWAY_ENDPOINT_WARM_UP_H
/*
 * endpoint_warm_up - what endpoints, their registrations and their services say of cold time
 */
#include "core/placement.h"
#include "gateway/catalog.h"
#include "gateway/endpoint_connection.h"
#include "gateway/endpoint_registry.h"

/*
 * Takes up how long a registration, newly written, says that its endpoint stays cold; returns
 * whether that changed anything.
 */
bool endpoint_warm_up_put(registered_endpoint_t *endpoint,
	const endpoint_registration_t *registration, instant_t now);
/*
 * Sets what the placement is told of the endpoint's cold time; `loaded_at`: when this router had
 * a first list of all endpoints.
 */
void endpoint_warm_up_describe(const registered_endpoint_t *endpoint,
	const catalog_service_t *service, instant_t loaded_at, placement_engine_t *engine);
/* Logs that the endpoint, NULL if it has left, is cold or warm from now on. */
void endpoint_warm_up_log(
	const registered_endpoint_t *endpoint, const warm_up_t *warm_up, instant_t now);

#endif
