#include "standin/engine_standin.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "edge/clock.h"
#include "settings/jsondoc.h"
#include "standin/standin_response.h"

#define PREFIX_CHARS 256 /* prompts with these first characters in common share a prefix */
#define CHARS_PER_TOKEN 4
#define DEFAULT_MAX_TOKENS 256
#define STREAM_BLOCK 4096 /* bytes */
#define MAX_STREAMS 20000 /* all are discarded when there are this many */

struct engine_standin {
	replica_standin_t replica;
	engine_options_t options;
	server_t *server;
	GHashTable *streams;	/* request id -> stream_t, under the replica's lock */
	uint64_t *cached;	/* hashes of prefixes, most recently used first */
	uint64_t highest_fence; /* highest fencing number of an order */
};

/* A request received before; its response is generated again when the stream is resumed. */
typedef struct stream {
	char *id;
	char *prompt;
	unsigned int max_tokens;
	bool cancelled;
} stream_t;

/* A streamed response on one connection. */
typedef struct stream_response {
	engine_standin_t *engine;
	char *id;
	char *prompt;
	unsigned int next_event;
	unsigned int token_count;
	unsigned int cut_at; /* event before which the connection is closed, UINT32_MAX: none */
	bool ended;
	GString *pending; /* the current event */
	size_t pending_sent;
} stream_response_t;

static void stream_free(void *data)
{
	stream_t *stream = data;

	g_free(stream->id);
	g_free(stream->prompt);
	g_free(stream);
}

/* Makes `prefix` the most recently used entry; returns whether it was cached before. */
static bool cache_prefix(engine_standin_t *this, uint64_t prefix)
{
	unsigned int size = this->options.cache_prefixes;
	unsigned int i = 0;
	bool hit;

	if (!size)
		return false;
	while (i < size - 1 && this->cached[i] != prefix)
		i++;
	hit = this->cached[i] == prefix;
	memmove(this->cached + 1, this->cached, i * sizeof(*this->cached));
	this->cached[0] = prefix;
	return hit;
}

/* Sleeps for the prefill time of the prompt. */
static void prefill(engine_standin_t *this, const char *prompt)
{
	size_t len = strlen(prompt);
	size_t prefix_len = len < PREFIX_CHARS ? len : PREFIX_CHARS;
	uint64_t tokens = len / CHARS_PER_TOKEN;
	uint64_t slow_percent = replica_standin_get_faults(&this->replica).slow_percent;
	bool hit;

	pthread_mutex_lock(&this->replica.lock);
	hit = cache_prefix(this, XXH64(prompt, prefix_len, 0));
	pthread_mutex_unlock(&this->replica.lock);
	if (hit)
		tokens -= prefix_len / CHARS_PER_TOKEN;
	g_usleep(tokens * this->options.prefill_us * slow_percent / 100);
}

static void generate_tokens(engine_standin_t *this, unsigned int tokens)
{
	uint64_t slow_percent = replica_standin_get_faults(&this->replica).slow_percent;

	g_usleep((uint64_t)tokens * this->options.token_us * slow_percent / 100);
}

static void save_stream(
	engine_standin_t *this, const char *id, const char *prompt, unsigned int max_tokens)
{
	stream_t *stream = g_new0(stream_t, 1);

	stream->id = g_strdup(id);
	stream->prompt = g_strdup(prompt);
	stream->max_tokens = max_tokens;
	pthread_mutex_lock(&this->replica.lock);
	if (g_hash_table_size(this->streams) >= MAX_STREAMS)
		g_hash_table_remove_all(this->streams);
	g_hash_table_replace(this->streams, stream->id, stream);
	pthread_mutex_unlock(&this->replica.lock);
}

static bool is_cancelled(engine_standin_t *this, const char *id)
{
	stream_t *stream;
	bool cancelled;

	pthread_mutex_lock(&this->replica.lock);
	stream = g_hash_table_lookup(this->streams, id);
	cancelled = stream && stream->cancelled;
	pthread_mutex_unlock(&this->replica.lock);
	return cancelled;
}

static void append_token_event(stream_response_t *this)
{
	GString *out = this->pending;

	g_string_append_printf(out,
		"id: %u\ndata: {\"id\":\"%s\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"",
		this->next_event, this->id);
	standin_response_append_token(out, this->prompt, this->next_event);
	g_string_append(out, "\"}}]}\n\n");
}

static void append_final_event(stream_response_t *this)
{
	g_string_append_printf(this->pending,
		"id: %u\ndata: {\"id\":\"%s\",\"choices\":[{\"index\":0,\"delta\":{},"
		"\"finish_reason\":\"stop\"}],\"usage\":{\"prompt_tokens\":%zu,"
		"\"completion_tokens\":%u}}\n\ndata: [DONE]\n\n",
		this->next_event, this->id, strlen(this->prompt) / CHARS_PER_TOKEN,
		this->token_count);
	this->ended = true;
}

/* Generates the next event; false if the connection is to be closed instead. */
static bool generate_event(stream_response_t *this)
{
	engine_standin_t *engine = this->engine;

	g_string_truncate(this->pending, 0);
	this->pending_sent = 0;
	if (this->next_event >= this->cut_at || is_cancelled(engine, this->id))
		return false;
	if (this->next_event == this->token_count) {
		append_final_event(this);
		return true;
	}
	generate_tokens(engine, 1);
	append_token_event(this);
	this->next_event++;
	return true;
}

/* libmicrohttpd calls this to get the next bytes of the body. */
static ssize_t on_body_read(void *ctx, uint64_t offset, char *buffer, size_t size)
{
	stream_response_t *this = ctx;
	size_t left;

	if (this->pending_sent == this->pending->len) {
		if (this->ended)
			return MHD_CONTENT_READER_END_OF_STREAM;
		if (!generate_event(this))
			return MHD_CONTENT_READER_END_WITH_ERROR;
	}
	left = this->pending->len - this->pending_sent;
	if (left > size)
		left = size;
	memcpy(buffer, this->pending->str + this->pending_sent, left);
	this->pending_sent += left;
	return (ssize_t)left;
}

static void on_body_free(void *ctx)
{
	stream_response_t *this = ctx;

	replica_standin_release_slot(&this->engine->replica);
	g_string_free(this->pending, TRUE);
	g_free(this->id);
	g_free(this->prompt);
	g_free(this);
}

/* Returns the id to send in the response; with the fault "cross", a wrong one. */
static char *response_id(engine_standin_t *this, const char *id)
{
	if (replica_standin_draw_fault(
		    &this->replica, replica_standin_get_faults(&this->replica).cross_per_mille))
		return g_strdup_printf("crossed-%s", id);
	return g_strdup(id);
}

/* Returns the event half-way through the rest of the stream with the fault "cut", else UINT32_MAX.
 */
static unsigned int draw_cut(engine_standin_t *this, unsigned int from, unsigned int token_count)
{
	if (!replica_standin_draw_fault(
		    &this->replica, replica_standin_get_faults(&this->replica).cut_per_mille))
		return UINT32_MAX;
	return from + (token_count - from) / 2;
}

/* Starts the response at event `from`. Releases the slot when it has ended. */
static enum MHD_Result start_stream(engine_standin_t *this, server_request_t *request,
	const char *id, const char *prompt, unsigned int max_tokens, unsigned int from)
{
	stream_response_t *state = g_new0(stream_response_t, 1);
	struct MHD_Response *response;
	enum MHD_Result result;

	state->engine = this;
	state->id = response_id(this, id);
	state->prompt = g_strdup(prompt);
	state->token_count = standin_response_token_count(prompt, max_tokens);
	state->next_event = from;
	state->cut_at = draw_cut(this, from, state->token_count);
	state->pending = g_string_new(NULL);
	response = MHD_create_response_from_callback(
		MHD_SIZE_UNKNOWN, STREAM_BLOCK, on_body_read, state, on_body_free);
	MHD_add_response_header(response, "Content-Type", "text/event-stream");
	MHD_add_response_header(response, "X-Request-Id", state->id);
	result = MHD_queue_response(request->connection, 200, response);
	MHD_destroy_response(response);
	return result;
}

/* Sends the response as one JSON body and releases the slot. */
static enum MHD_Result send_whole_response(engine_standin_t *this, server_request_t *request,
	const char *id, const char *prompt, unsigned int max_tokens)
{
	unsigned int token_count = standin_response_token_count(prompt, max_tokens);
	GString *text = standin_response_model_text(prompt, max_tokens);
	GString *out = g_string_new(NULL);
	char *sent_id = response_id(this, id);

	for (unsigned int i = 0; i < token_count && !is_cancelled(this, id); i++)
		generate_tokens(this, 1);
	g_string_printf(out,
		"{\"id\":\"%s\",\"choices\":[{\"index\":0,\"message\":{\"role\":\"assistant\","
		"\"content\":\"%s\"},\"finish_reason\":\"stop\"}],\"usage\":{\"prompt_tokens\":%zu,"
		"\"completion_tokens\":%u}}",
		sent_id, text->str, strlen(prompt) / CHARS_PER_TOKEN, token_count);
	g_free(sent_id);
	g_string_free(text, TRUE);
	replica_standin_release_slot(&this->replica);
	if (is_cancelled(this, id) ||
		replica_standin_draw_fault(
			&this->replica, replica_standin_get_faults(&this->replica).cut_per_mille)) {
		g_string_free(out, TRUE);
		return server_drop_connection(request);
	}
	return server_respond_json(request, 200, out);
}

static const char *last_prompt(json_value_t *root)
{
	json_value_t *messages = json_get(root, "messages");

	if (!messages || messages->type != JSON_ARRAY || !messages->last)
		return NULL;
	return json_get_string(messages->last, "content", NULL);
}

static enum MHD_Result handle_completion(engine_standin_t *this, server_request_t *request)
{
	jsondoc_t *doc = jsondoc_new(request->body->str, request->body->len);
	const char *id = server_request_header(request, "X-Request-Id");
	const char *prompt = doc->error ? NULL : last_prompt(doc->root);
	replica_faults_t faults = replica_standin_get_faults(&this->replica);
	unsigned int max_tokens;
	enum MHD_Result result;

	if (!prompt || !id) {
		jsondoc_delete(doc);
		return server_respond_json(
			request, 400, g_string_new("{\"error\":\"bad request\"}"));
	}
	if (faults.refuse || replica_standin_draw_fault(&this->replica, faults.drop_per_mille)) {
		jsondoc_delete(doc);
		if (faults.refuse)
			return server_respond_json(
				request, 503, g_string_new("{\"error\":\"refused\"}"));
		return server_drop_connection(request);
	}
	max_tokens = (unsigned int)json_get_int(doc->root, "max_tokens", DEFAULT_MAX_TOKENS);
	save_stream(this, id, prompt, max_tokens);
	replica_standin_acquire_slot(&this->replica);
	exec_log_append(this->replica.log, id, NULL);
	if (faults.late_ms)
		sleep_ms(faults.late_ms);
	prefill(this, prompt);
	if (json_get_bool(doc->root, "stream", false))
		result = start_stream(this, request, id, prompt, max_tokens, 0);
	else
		result = send_whole_response(this, request, id, prompt, max_tokens);
	jsondoc_delete(doc);
	return result;
}

/* Resumes or cancels the response to an earlier request. */
static enum MHD_Result handle_stream(engine_standin_t *this, server_request_t *request)
{
	char **parts = g_strsplit(request->path + strlen("/v1/streams/"), "/", 2);
	const char *from = server_query_value(request, "from");
	bool cancel = parts[0] && parts[1] && !strcmp(parts[1], "cancel");
	char *prompt = NULL;
	unsigned int max_tokens = 0;
	enum MHD_Result result;
	stream_t *stream;

	pthread_mutex_lock(&this->replica.lock);
	stream = parts[0] ? g_hash_table_lookup(this->streams, parts[0]) : NULL;
	if (stream && cancel)
		stream->cancelled = true;
	if (stream && !stream->cancelled) {
		prompt = g_strdup(stream->prompt);
		max_tokens = stream->max_tokens;
	}
	pthread_mutex_unlock(&this->replica.lock);
	if (cancel || !prompt) {
		result = server_respond_json(request, cancel ? 200 : 404, g_string_new("{}"));
	} else {
		replica_standin_acquire_slot(&this->replica);
		result = start_stream(this, request, parts[0], prompt, max_tokens,
			from ? (unsigned int)strtoul(from, NULL, 10) : 0);
	}
	g_free(prompt);
	g_strfreev(parts);
	return result;
}

static enum MHD_Result handle_order(engine_standin_t *this, server_request_t *request)
{
	jsondoc_t *doc = jsondoc_new(request->body->str, request->body->len);
	uint64_t fence = doc->error ? 0 : (uint64_t)json_get_int(doc->root, "fence", 0);
	int status = doc->error ? 400 : 200;

	pthread_mutex_lock(&this->replica.lock);
	if (this->options.fencing && fence < this->highest_fence)
		status = 409;
	else
		this->highest_fence = fence;
	pthread_mutex_unlock(&this->replica.lock);
	jsondoc_delete(doc);
	return server_respond_json(request, status, g_string_new("{}"));
}

static enum MHD_Result on_request(void *ctx, server_request_t *request)
{
	engine_standin_t *this = ctx;
	enum MHD_Result result;

	if (replica_standin_handle(&this->replica, request, &result))
		return result;
	if (!strcmp(request->path, "/v1/chat/completions"))
		return handle_completion(this, request);
	if (g_str_has_prefix(request->path, "/v1/streams/"))
		return handle_stream(this, request);
	if (!strcmp(request->path, "/orders"))
		return handle_order(this, request);
	return server_respond_json(request, 404, g_string_new("{}"));
}

engine_standin_t *engine_standin_new(const engine_options_t *options)
{
	engine_standin_t *this = g_new0(engine_standin_t, 1);

	this->options = *options;
	replica_standin_init(
		&this->replica, options->log, options->slots, options->load_lag_ms, options->seed);
	this->streams = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, stream_free);
	this->cached = g_new0(uint64_t, options->cache_prefixes + 1);
	this->server = server_new(options->address, on_request, this);
	if (!this->server) {
		engine_standin_delete(this);
		return NULL;
	}
	return this;
}

void engine_standin_delete(engine_standin_t *this)
{
	if (!this)
		return;
	server_delete(this->server);
	g_hash_table_destroy(this->streams);
	g_free(this->cached);
	replica_standin_clear(&this->replica);
	g_free(this);
}

const char *engine_standin_address(const engine_standin_t *this)
{
	return this->server->address;
}

replica_standin_t *engine_standin_replica(engine_standin_t *this)
{
	return &this->replica;
}
