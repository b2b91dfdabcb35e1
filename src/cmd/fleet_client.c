#include "cmd/fleet_client.h"

#include <stdio.h>
#include <string.h>

#include "edge/http_exchange.h"

#define STORE_TRIES 5
#define STORE_PAUSE_US 200000
#define PAGE_TIMEOUT_MS 2000
#define MAX_PAGE (64U << 20)

bool fleet_client_open(fleet_client_t *this, const char *settings_path)
{
	platform_http_options_t options;
	error_list_t faults;

	memset(this, 0, sizeof(*this));
	error_list_init(&faults, settings_path);
	this->settings = router_settings_load(settings_path, &faults);
	if (!this->settings)
		fputs(faults.text->str, stderr);
	error_list_clear(&faults);
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

	for (int i = 0; i < STORE_TRIES && result == STORE_NO_RESULT; i++) {
		if (i)
			g_usleep(STORE_PAUSE_US);
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
 * A write whose reply was lost, or that met a conflict, may have won after all:
 * the history row of its number tells by the change number which write it was.
 */
static put_result_t judge(fleet_client_t *this, const config_row_t *row, uint64_t *winner)
{
	char *key = config_history_key(row->number);
	store_result_t result = STORE_NO_RESULT;
	put_result_t verdict = PUT_LOST;
	table_row_t table_row;
	config_row_t stands;

	for (int i = 0; i < STORE_TRIES && result == STORE_NO_RESULT; i++) {
		if (i)
			g_usleep(STORE_PAUSE_US);
		result = this->platform->ops->read(this->platform, key, &table_row);
	}
	g_free(key);
	if (result != STORE_OK)
		return PUT_LOST;
	if (config_row_decode(table_row.value, &stands)) {
		verdict = strcmp(stands.change, row->change) ? PUT_CONFLICT : PUT_ACCEPTED;
		*winner = stands.number;
		config_row_clear(&stands);
	}
	table_row_clear(&table_row);
	return verdict;
}

static put_result_t write_and_judge(
	fleet_client_t *this, const config_row_t *row, uint64_t expected_row, uint64_t *winner)
{
	put_result_t verdict = PUT_LOST;

	for (int i = 0; i < STORE_TRIES && verdict == PUT_LOST; i++) {
		store_result_t result = write_once(this, row, expected_row);

		if (result == STORE_OK)
			return PUT_ACCEPTED;
		verdict = judge(this, row, winner);
	}
	return verdict;
}

unsigned int fleet_client_routers(const fleet_client_t *this)
{
	return this->settings->peer_count + 1;
}

static GString *exchange(fleet_client_t *this, unsigned int router, const char *method,
	const char *path, const char *text)
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
		.body = text,
		.body_len = text ? strlen(text) : 0,
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
 * Hands the accepted text to the first router that takes it, so that it is known
 * to the fleet even if the table goes away before anybody reads it there.
 */
static void hand_over(fleet_client_t *this, const config_row_t *row)
{
	char *value = config_row_encode(row);
	bool taken = false;

	for (unsigned int i = 0; i < fleet_client_routers(this) && !taken; i++) {
		GString *page = exchange(this, i, "POST", "/fleet/accepted", value);

		taken = page != NULL;
		if (page)
			g_string_free(page, TRUE);
	}
	g_free(value);
}

put_result_t fleet_client_put(fleet_client_t *this, const char *text, uint64_t expected,
	uint64_t *version, uint64_t *winner)
{
	uint64_t row_version = 0;
	config_row_t stands = {0};
	store_result_t result = fleet_client_read(this, &stands, &row_version);
	config_row_t row = {.number = expected + 1, .text = (char *)text};
	put_result_t verdict;

	if (result == STORE_NO_RESULT)
		return PUT_LOST;
	*winner = stands.number;
	config_row_clear(&stands);
	if (*winner != expected)
		return PUT_CONFLICT;
	row.change = g_uuid_string_random();
	verdict = write_and_judge(this, &row, row_version, winner);
	if (verdict == PUT_ACCEPTED)
		hand_over(this, &row);
	*version = row.number;
	g_free(row.change);
	return verdict;
}

const char *fleet_client_name(const fleet_client_t *this, unsigned int router)
{
	return router ? this->settings->peers[router - 1].name : this->settings->name;
}

GString *fleet_client_page(fleet_client_t *this, unsigned int router, const char *path)
{
	return exchange(this, router, "GET", path, NULL);
}
