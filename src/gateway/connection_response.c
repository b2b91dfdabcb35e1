#include "gateway/connection_response.h"

#include <stdio.h>
#include <string.h>
#include <strings.h>

#include "core/warm_up.h"

#define MAX_RETRY_AFTER_S 3600 /* a longer one is taken for an error */
#define MAX_SLOWNESS 10000     /* percent; a higher one is taken for an error */

static void parse_load(connection_response_t *response, const char *value)
{
	unsigned int running;
	unsigned int waiting;
	unsigned int slots;
	unsigned int slowness = 0;

	if (sscanf(value, "%u,%u,%u,%u", &running, &waiting, &slots, &slowness) < 3)
		return;
	response->has_load = true;
	response->load_running = running;
	response->load_waiting = waiting;
	response->slowness = slowness <= MAX_SLOWNESS ? slowness : 0;
}

static void parse_rate_limit(connection_response_t *response, const char *value)
{
	uint32_t rate;

	if (!rate_limit_parse(value, &rate))
		response->rate_limit_malformed = true;
	else if (rate < response->rate_limit)
		response->rate_limit = rate;
}

static void parse_cold_left(connection_response_t *response, const char *value)
{
	response->has_cold = true;
	response->cold_malformed |= !warm_up_parse_ms(value, &response->cold_left);
}

/* Seconds, with a fraction or without; 0 for a date or anything else. */
static double parse_retry_after(const char *value)
{
	char *end;
	double seconds = g_ascii_strtod(value, &end);

	return end != value && !*end && seconds > 0 && seconds <= MAX_RETRY_AFTER_S ? seconds : 0;
}

void connection_response_reset(connection_response_t *this)
{
	GString *headers = this->headers;

	g_string_truncate(headers, 0);
	*this = (connection_response_t){
		.headers = headers,
		.content_length = -1,
		.rate_limit = RATE_NONE,
	};
}

void connection_response_add_header(connection_response_t *this, const header_names_t *names,
	const char *name, const char *value)
{
	if (!strcasecmp(name, names->response_marker)) {
		this->has_marker = true;
	} else if (!strcasecmp(name, names->not_run)) {
		this->not_run = true;
	} else if (!strcasecmp(name, names->leaving)) {
		this->is_leaving = !strcmp(value, "1");
	} else if (!strcasecmp(name, names->load)) {
		parse_load(this, value);
	} else if (!strcasecmp(name, names->rate_limit)) {
		parse_rate_limit(this, value);
	} else if (!strcasecmp(name, names->cold_left_ms)) {
		parse_cold_left(this, value);
	} else if (!strcasecmp(name, "Content-Encoding")) {
		this->is_encoded = strcasecmp(value, "identity") != 0;
	} else if (!strcasecmp(name, "Retry-After")) {
		this->retry_after_s = parse_retry_after(value);
	}
	if (!header_is_hop_by_hop(name) && strcasecmp(name, "Proxy-Authenticate"))
		g_string_append_printf(this->headers, "%s: %s\r\n", name, value);
}
