#include "cmd/fleet_client.h"

#include <stdio.h>
#include <string.h>

#include "edge/http_exchange.h"

#define STORE_ATTEMPTS 5
#define STORE_RETRY_US 200000
#define PAGE_TIMEOUT_MS 2000
#define MAX_PAGE (64U << 20)

bool fleet_client_open(fleet_client_t *this, const char *settings_path)
{
	platform_http_options_t options;
	error_list_t errors;

	memset(this, 0, sizeof(*this));
	error_list_init(&errors, settings_path);
	this->settings = router_settings_load(settings_path, &errors);
	if (!this->settings)
		fputs(errors.text->str, stderr);
	error_list_clear(&errors);
	if (!this->settings)
		return false;
	http_init();
	options = (platform_http_options_t){
		this->settings->platform_address, this->settings->store_timeout_ms};
	this->platform = platform_http_new(&options);
	return true;
}

void fleet_client_close(fleet_client_t *this)
{
	platform_delete(this->platform);
	router_settings_delete(this->settings);
}

store_result_t fleet_client_read(fleet_client_t *this, config_row_t *row, uint64_t *row_version)
{
	store_result_t result = STORE_NO_RESULT;
	table_row_t table_row;

	for (int i = 0; i < STORE_ATTEMPTS && result == STORE_NO_RESULT; i++) {
		if (i)
			g_usleep(STORE_RETRY_US);
		result = this->platform->ops->read(this->platform, CONFIG_KEY, &table_row);
	}
	if (result != STORE_OK)
		return result;
	*row_version = table_row.version;
	if (!config_row_decode(table_row.value, row))
		result = STORE_NO_RESULT;
	table_row_clear(&table_row);
	return result;
}

static store_result_t write_once(
	fleet_client_t *this, const config_row_t *row, uint64_t expected_row)
{
	char *value = config_row_encode(row);
	char *history = config_history_key(row->number);
	table_write_t writes[] = {
		{.key = CONFIG_KEY, .value = value, .expected = expected_row},
		{.key = history, .value = value, .expected = 0},
	};
	store_result_t result =
		this->platform->ops->transact(this->platform, writes, ARRAY_LEN(writes));

	g_free(history);
	g_free(value);
	return result;
}

/*
 * Resolves a write whose reply was lost or that met a conflict: it may have taken effect.
 * The change id in the history row of its version shows which write made that row.
 */
static put_result_t resolve_write(fleet_client_t *this, const config_row_t *row, uint64_t *current)
{
	char *key = config_history_key(row->number);
	store_result_t result = STORE_NO_RESULT;
	put_result_t outcome = PUT_UNKNOWN;
	table_row_t table_row;
	config_row_t found;

	for (int i = 0; i < STORE_ATTEMPTS && result == STORE_NO_RESULT; i++) {
		if (i)
			g_usleep(STORE_RETRY_US);
		result = this->platform->ops->read(this->platform, key, &table_row);
	}
	g_free(key);
	if (result != STORE_OK)
		return PUT_UNKNOWN;
	if (config_row_decode(table_row.value, &found)) {
		outcome = strcmp(found.change, row->change) ? PUT_CONFLICT : PUT_ACCEPTED;
		*current = found.number;
		config_row_clear(&found);
	}
	table_row_clear(&table_row);
	return outcome;
}

static put_result_t write_and_resolve(
	fleet_client_t *this, const config_row_t *row, uint64_t expected_row, uint64_t *current)
{
	put_result_t outcome = PUT_UNKNOWN;

	for (int i = 0; i < STORE_ATTEMPTS && outcome == PUT_UNKNOWN; i++) {
		store_result_t result = write_once(this, row, expected_row);

		if (result == STORE_OK)
			return PUT_ACCEPTED;
		outcome = resolve_write(this, row, current);
	}
	return outcome;
}

unsigned int fleet_client_routers(const fleet_client_t *this)
{
	return this->settings->peer_count + 1;
}

static GString *exchange(fleet_client_t *this, unsigned int router, const char *method,
	const char *path, const char *body)
{
	char *bearer = g_strconcat("Bearer ", this->settings->operator_token, NULL);
	http_header_t header = {"Authorization", bearer};
	http_options_t options = {
		.address = router ? this->settings->peers[router - 1].operator_address
				  : this->settings->operator_address,
		.method = method,
		.path = path,
		.headers = &header,
		.header_count = 1,
		.body = body,
		.body_len = body ? strlen(body) : 0,
		.connect_timeout_ms = PAGE_TIMEOUT_MS,
		.read_timeout_ms = PAGE_TIMEOUT_MS,
	};
	GString *page = g_string_new(NULL);
	int status = 0;

	if (http_call(&options, MAX_PAGE, page, &status) != HTTP_OK || status != 200) {
		g_string_free(page, TRUE);
		page = NULL;
	}
	g_free(bearer);
	return page;
}

/*
 * Sends the accepted configuration to the first router that takes it, so that the fleet
 * gets it even if the table service fails before any router has read it there.
 */
static void announce_config(fleet_client_t *this, const config_row_t *row)
{
	char *value = config_row_encode(row);
	bool accepted = false;

	for (unsigned int i = 0; i < fleet_client_routers(this) && !accepted; i++) {
		GString *page = exchange(this, i, "POST", "/fleet/accepted", value);

		accepted = page != NULL;
		if (page)
			g_string_free(page, TRUE);
	}
	g_free(value);
}

put_result_t fleet_client_put(fleet_client_t *this, const char *config, uint64_t expected,
	uint64_t *version, uint64_t *current)
{
	uint64_t row_version = 0;
	config_row_t found = {0};
	store_result_t result = fleet_client_read(this, &found, &row_version);
	config_row_t row = {.number = expected + 1, .text = (char *)config};
	put_result_t outcome;

	if (result == STORE_NO_RESULT)
		return PUT_UNKNOWN;
	*current = found.number;
	config_row_clear(&found);
	if (*current != expected)
		return PUT_CONFLICT;
	row.change = g_uuid_string_random();
	outcome = write_and_resolve(this, &row, row_version, current);
	if (outcome == PUT_ACCEPTED)
		announce_config(this, &row);
	*version = row.number;
	g_free(row.change);
	return outcome;
}

const char *fleet_client_name(const fleet_client_t *this, unsigned int router)
{
	return router ? this->settings->peers[router - 1].name : this->settings->name;
}

GString *fleet_client_page(fleet_client_t *this, unsigned int router, const char *path)
{
	return exchange(this, router, "GET", path, NULL);
}
