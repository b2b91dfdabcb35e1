#include "standin/service_standin.h"

#include <string.h>

#include "standin/standin_response.h"

struct service_standin {
	replica_standin_t replica;
	service_options_t options;
	server_t *server;
};

static enum MHD_Result send_response(
	service_standin_t *this, server_request_t *request, const char *id)
{
	GString *text =
		standin_response_plain_body(request->path, request->body->str, request->body->len);
	bool wrong_id = replica_standin_draw_fault(
		&this->replica, replica_standin_get_faults(&this->replica).cross_per_mille);
	struct MHD_Response *response =
		MHD_create_response_from_buffer(text->len, text->str, MHD_RESPMEM_MUST_COPY);
	enum MHD_Result result;

	MHD_add_response_header(response, "Content-Type", "application/json");
	if (id)
		MHD_add_response_header(response, "X-Request-Id", wrong_id ? "crossed" : id);
	result = MHD_queue_response(request->connection, 200, response);
	MHD_destroy_response(response);
	g_string_free(text, TRUE);
	return result;
}

static enum MHD_Result on_request(void *ctx, server_request_t *request)
{
	service_standin_t *this = ctx;
	replica_faults_t faults = replica_standin_get_faults(&this->replica);
	const char *id = server_request_header(request, "X-Request-Id");
	enum MHD_Result result;

	if (replica_standin_handle(&this->replica, request, &result))
		return result;
	if (faults.refuse)
		return server_respond_json(request, 503, g_string_new("{\"error\":\"refused\"}"));
	if (replica_standin_draw_fault(&this->replica, faults.drop_per_mille))
		return server_drop_connection(request);
	replica_standin_acquire_slot(&this->replica);
	exec_log_append(this->replica.log, id, server_request_header(request, "Idempotency-Key"));
	sleep_ms(this->options.work_ms * faults.slow_percent / 100 + faults.late_ms);
	replica_standin_release_slot(&this->replica);
	if (replica_standin_draw_fault(&this->replica, faults.lose_per_mille))
		return server_drop_connection(request);
	return send_response(this, request, id);
}

service_standin_t *service_standin_new(const service_options_t *options)
{
	service_standin_t *this = g_new0(service_standin_t, 1);

	this->options = *options;
	replica_standin_init(
		&this->replica, options->log, options->slots, options->load_lag_ms, options->seed);
	this->server = server_new(options->address, on_request, this);
	if (!this->server) {
		service_standin_delete(this);
		return NULL;
	}
	return this;
}

void service_standin_delete(service_standin_t *this)
{
	if (!this)
		return;
	server_delete(this->server);
	replica_standin_clear(&this->replica);
	g_free(this);
}

const char *service_standin_address(const service_standin_t *this)
{
	return this->server->address;
}

replica_standin_t *service_standin_replica(service_standin_t *this)
{
	return &this->replica;
}
