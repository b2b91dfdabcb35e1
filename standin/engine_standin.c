#include "standin/engine_standin.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "edge/clock.h"
#include "settings/jsondoc.h"
#include "standin/answer_text.h"

#define PREFIX_CHARS 256
#define CHARS_PER_TOKEN 4
#define DEFAULT_MAX_TOKENS 256
#define STREAM_BLOCK 4096
#define MAX_STREAMS 20000

struct engine_standin {
	replica_t replica;
	engine_options_t options;
	server_t *server;
	GHashTable *streams; /* request id -> stream_t, under the replica's lock */
	uint64_t *cached;    /* prefixes, most recently used first */
	uint64_t highest_fence;
};

/* What is needed to begin or resume an answer. */
typedef struct stream {
	char *id;
	char *prompt;
	unsigned int max_tokens;
	bool cancelled;
} stream_t;

/* One connection's reading of a stream. */
typedef struct reading {
	engine_standin_t *engine;
	char *id;
	char *prompt;
	unsigned int next;
	unsigned int total;
	unsigned int cut_at; /* event after which the connection breaks */
	bool ended;
	GString *pending;
	size_t pending_at;
} reading_t;

static void stream_free(void *data)
{
	stream_t *stream = data;

	g_free(stream->id);
	g_free(stream->prompt);
	g_free(stream);
}

/* True when the prefix was cached; it is the most recent afterwards. */
static bool cache_touch(engine_standin_t *this, uint64_t prefix)
{
	unsigned int n = this->options.cache_prefixes;
	unsigned int at = 0;
	bool hit;

	if (!n)
		return false;
	while (at < n - 1 && this->cached[at] != prefix)
		at++;
	hit = this->cached[at] == prefix;
	memmove(this->cached + 1, this->cached, at * sizeof(*this->cached));
	this->cached[0] = prefix;
	return hit;
}

static void prefill(engine_standin_t *this, const char *prompt)
{
	size_t len = strlen(prompt);
	size_t prefix_len = len < PREFIX_CHARS ? len : PREFIX_CHARS;
	uint64_t tokens = len / CHARS_PER_TOKEN;
	uint64_t slow = replica_get_faults(&this->replica).slow_percent;
	bool hit;

	pthread_mutex_lock(&this->replica.lock);
	hit = cache_touch(this, XXH64(prompt, prefix_len, 0));
	pthread_mutex_unlock(&this->replica.lock);
	if (hit)
		tokens -= prefix_len / CHARS_PER_TOKEN;
	g_usleep(tokens * this->options.prefill_us * slow / 100);
}

static void token_pause(engine_standin_t *this, unsigned int tokens)
{
	uint64_t slow = replica_get_faults(&this->replica).slow_percent;

	g_usleep((uint64_t)tokens * this->options.token_us * slow / 100);
}

static void remember(
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

static void append_event(reading_t *this)
{
	GString *out = this->pending;

	g_string_append_printf(out,
		"id: %u\ndata: {\"id\":\"%s\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"",
		this->next, this->id);
	answer_token(out, this->prompt, this->next);
	g_string_append(out, "\"}}]}\n\n");
}

static void append_end(reading_t *this)
{
	g_string_append_printf(this->pending,
		"id: %u\ndata: {\"id\":\"%s\",\"choices\":[{\"index\":0,\"delta\":{},"
		"\"finish_reason\":\"stop\"}],\"usage\":{\"prompt_tokens\":%zu,"
		"\"completion_tokens\":%u}}\n\ndata: [DONE]\n\n",
		this->next, this->id, strlen(this->prompt) / CHARS_PER_TOKEN, this->total);
	this->ended = true;
}

static bool produce(reading_t *this)
{
	engine_standin_t *engine = this->engine;

	g_string_truncate(this->pending, 0);
	this->pending_at = 0;
	if (this->next >= this->cut_at || is_cancelled(engine, this->id))
		return false;
	if (this->next == this->total) {
		append_end(this);
		return true;
	}
	token_pause(engine, 1);
	append_event(this);
	this->next++;
	return true;
}

static ssize_t on_read(void *ctx, uint64_t at, char *buffer, size_t size)
{
	reading_t *this = ctx;
	size_t left;

	if (this->pending_at == this->pending->len) {
		if (this->ended)
			return MHD_CONTENT_READER_END_OF_STREAM;
		if (!produce(this))
			return MHD_CONTENT_READER_END_WITH_ERROR;
	}
	left = this->pending->len - this->pending_at;
	if (left > size)
		left = size;
	memcpy(buffer, this->pending->str + this->pending_at, left);
	this->pending_at += left;
	return (ssize_t)left;
}

static void on_read_end(void *ctx)
{
	reading_t *this = ctx;

	replica_leave(&this->engine->replica);
	g_string_free(this->pending, TRUE);
	g_free(this->id);
	g_free(this->prompt);
	g_free(this);
}

/* The id that the answer bears: by fault, another request's. */
static char *answer_id(engine_standin_t *this, const char *id)
{
	if (replica_draw(&this->replica, replica_get_faults(&this->replica).cross_per_mille))
		return g_strdup_printf("crossed-%s", id);
	return g_strdup(id);
}

static unsigned int draw_cut(engine_standin_t *this, unsigned int from, unsigned int total)
{
	if (!replica_draw(&this->replica, replica_get_faults(&this->replica).cut_per_mille))
		return UINT32_MAX;
	return from + (total - from) / 2;
}

static enum MHD_Result start_stream(engine_standin_t *this, server_call_t *call, const char *id,
	const char *prompt, unsigned int max_tokens, unsigned int from)
{
	reading_t *reading = g_new0(reading_t, 1);
	struct MHD_Response *response;
	enum MHD_Result result;

	reading->engine = this;
	reading->id = answer_id(this, id);
	reading->prompt = g_strdup(prompt);
	reading->total = answer_token_count(prompt, max_tokens);
	reading->next = from;
	reading->cut_at = draw_cut(this, from, reading->total);
	reading->pending = g_string_new(NULL);
	response = MHD_create_response_from_callback(
		MHD_SIZE_UNKNOWN, STREAM_BLOCK, on_read, reading, on_read_end);
	MHD_add_response_header(response, "Content-Type", "text/event-stream");
	MHD_add_response_header(response, "X-Request-Id", reading->id);
	result = MHD_queue_response(call->connection, 200, response);
	MHD_destroy_response(response);
	return result;
}

static enum MHD_Result answer_whole(engine_standin_t *this, server_call_t *call, const char *id,
	const char *prompt, unsigned int max_tokens)
{
	unsigned int total = answer_token_count(prompt, max_tokens);
	GString *text = answer_model_text(prompt, max_tokens);
	GString *out = g_string_new(NULL);
	char *shown = answer_id(this, id);

	for (unsigned int i = 0; i < total && !is_cancelled(this, id); i++)
		token_pause(this, 1);
	g_string_printf(out,
		"{\"id\":\"%s\",\"choices\":[{\"index\":0,\"message\":{\"role\":\"assistant\","
		"\"content\":\"%s\"},\"finish_reason\":\"stop\"}],\"usage\":{\"prompt_tokens\":%zu,"
		"\"completion_tokens\":%u}}",
		shown, text->str, strlen(prompt) / CHARS_PER_TOKEN, total);
	g_free(shown);
	g_string_free(text, TRUE);
	replica_leave(&this->replica);
	if (is_cancelled(this, id) ||
		replica_draw(&this->replica, replica_get_faults(&this->replica).cut_per_mille)) {
		g_string_free(out, TRUE);
		return server_drop(call);
	}
	return server_json(call, 200, out);
}

static const char *last_prompt(json_value_t *root)
{
	json_value_t *messages = json_get(root, "messages");

	if (!messages || messages->type != JSON_ARRAY || !messages->last)
		return NULL;
	return json_get_string(messages->last, "content", NULL);
}

static enum MHD_Result complete(engine_standin_t *this, server_call_t *call)
{
	jsondoc_t *doc = jsondoc_new(call->body->str, call->body->len);
	const char *id = server_header(call, "X-Request-Id");
	const char *prompt = doc->error ? NULL : last_prompt(doc->root);
	replica_faults_t faults = replica_get_faults(&this->replica);
	unsigned int max_tokens;
	enum MHD_Result result;

	if (!prompt || !id) {
		jsondoc_delete(doc);
		return server_json(call, 400, g_string_new("{\"error\":\"bad request\"}"));
	}
	if (faults.refuse || replica_draw(&this->replica, faults.drop_per_mille)) {
		jsondoc_delete(doc);
		if (faults.refuse)
			return server_json(call, 503, g_string_new("{\"error\":\"refused\"}"));
		return server_drop(call);
	}
	max_tokens = (unsigned int)json_get_int(doc->root, "max_tokens", DEFAULT_MAX_TOKENS);
	remember(this, id, prompt, max_tokens);
	replica_enter(&this->replica);
	exec_log_add(this->replica.log, id, NULL);
	if (faults.late_ms)
		sleep_ms(faults.late_ms);
	prefill(this, prompt);
	if (json_get_bool(doc->root, "stream", false))
		result = start_stream(this, call, id, prompt, max_tokens, 0);
	else
		result = answer_whole(this, call, id, prompt, max_tokens);
	jsondoc_delete(doc);
	return result;
}

static enum MHD_Result stream_call(engine_standin_t *this, server_call_t *call)
{
	char **parts = g_strsplit(call->path + strlen("/v1/streams/"), "/", 2);
	const char *from = server_argument(call, "from");
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
		result = server_json(call, cancel ? 200 : 404, g_string_new("{}"));
	} else {
		replica_enter(&this->replica);
		result = start_stream(this, call, parts[0], prompt, max_tokens,
			from ? (unsigned int)strtoul(from, NULL, 10) : 0);
	}
	g_free(prompt);
	g_strfreev(parts);
	return result;
}

static enum MHD_Result order(engine_standin_t *this, server_call_t *call)
{
	jsondoc_t *doc = jsondoc_new(call->body->str, call->body->len);
	uint64_t fence = doc->error ? 0 : (uint64_t)json_get_int(doc->root, "fence", 0);
	int status = doc->error ? 400 : 200;

	pthread_mutex_lock(&this->replica.lock);
	if (this->options.fencing && fence < this->highest_fence)
		status = 409;
	else
		this->highest_fence = fence;
	pthread_mutex_unlock(&this->replica.lock);
	jsondoc_delete(doc);
	return server_json(call, status, g_string_new("{}"));
}

static enum MHD_Result on_call(void *ctx, server_call_t *call)
{
	engine_standin_t *this = ctx;
	enum MHD_Result result;

	if (replica_answer(&this->replica, call, &result))
		return result;
	if (!strcmp(call->path, "/v1/chat/completions"))
		return complete(this, call);
	if (g_str_has_prefix(call->path, "/v1/streams/"))
		return stream_call(this, call);
	if (!strcmp(call->path, "/orders"))
		return order(this, call);
	return server_json(call, 404, g_string_new("{}"));
}

engine_standin_t *engine_standin_new(const engine_options_t *options)
{
	engine_standin_t *this = g_new0(engine_standin_t, 1);

	this->options = *options;
	replica_init(
		&this->replica, options->log, options->slots, options->load_lag_ms, options->seed);
	this->streams = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, stream_free);
	this->cached = g_new0(uint64_t, options->cache_prefixes + 1);
	this->server = server_new(options->address, on_call, this);
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
	replica_clear(&this->replica);
	g_free(this);
}

const char *engine_standin_address(const engine_standin_t *this)
{
	return this->server->address;
}

replica_t *engine_standin_replica(engine_standin_t *this)
{
	return &this->replica;
}
