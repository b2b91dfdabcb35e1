#include "standin/service_standin.h"

#include <string.h>

#include "standin/answer_text.h"

struct service_standin {
	replica_t replica;
	service_options_t options;
	server_t *server;
};

static enum MHD_Result answer(service_standin_t *this, server_call_t *call, const char *id)
{
	GString *text = answer_plain_text(call->path, call->body->str, call->body->len);
	bool crossed =
		replica_draw(&this->replica, replica_get_faults(&this->replica).cross_per_mille);
	struct MHD_Response *response =
		MHD_create_response_from_buffer(text->len, text->str, MHD_RESPMEM_MUST_COPY);
	enum MHD_Result result;

	MHD_add_response_header(response, "Content-Type", "application/json");
	if (id)
		MHD_add_response_header(response, "X-Request-Id", crossed ? "crossed" : id);
	result = MHD_queue_response(call->connection, 200, response);
	MHD_destroy_response(response);
	g_string_free(text, TRUE);
	return result;
}

static enum MHD_Result on_call(void *ctx, server_call_t *call)
{
	service_standin_t *this = ctx;
	replica_faults_t faults = replica_get_faults(&this->replica);
	const char *id = server_header(call, "X-Request-Id");
	enum MHD_Result result;

	if (replica_answer(&this->replica, call, &result))
		return result;
	if (faults.refuse)
		return server_json(call, 503, g_string_new("{\"error\":\"refused\"}"));
	if (replica_draw(&this->replica, faults.drop_per_mille))
		return server_drop(call);
	replica_enter(&this->replica);
	exec_log_add(this->replica.log, id, server_header(call, "Idempotency-Key"));
	sleep_ms(this->options.work_ms * faults.slow_percent / 100 + faults.late_ms);
	replica_leave(&this->replica);
	if (replica_draw(&this->replica, faults.lose_per_mille))
		return server_drop(call);
	return answer(this, call, id);
}

service_standin_t *service_standin_new(const service_options_t *options)
{
	service_standin_t *this = g_new0(service_standin_t, 1);

	this->options = *options;
	replica_init(
		&this->replica, options->log, options->slots, options->load_lag_ms, options->seed);
	this->server = server_new(options->address, on_call, this);
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
	replica_clear(&this->replica);
	g_free(this);
}

const char *service_standin_address(const service_standin_t *this)
{
	return this->server->address;
}

replica_t *service_standin_replica(service_standin_t *this)
{
	return &this->replica;
}
