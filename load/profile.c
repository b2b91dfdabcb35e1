#include "load/profile.h"

#include <string.h>

static const char *const kinds[] = {"stream", "whole", "order", "plain", NULL};

static load_kind_t read_kind(error_list_t *errors, json_value_t *v)
{
	const char *text = json_read_string(errors, v, "kind", JSON_REQUIRED_STRING);

	for (int i = 0; kinds[i]; i++) {
		if (!strcmp(kinds[i], text))
			return (load_kind_t)i;
	}
	error_list_add(errors, v->line,
		"kind: \"%s\" is unknown; give stream, whole, order or plain", text);
	return LOAD_PLAIN;
}

static void read_routers(error_list_t *errors, json_value_t *v, load_stream_t *stream)
{
	json_value_t *list = json_get(v, "routers");

	if (!list || list->type != JSON_ARRAY || !list->count)
		return;
	stream->routers = g_new0(unsigned int, list->count);
	for (json_value_t *r = list->first; r; r = r->next)
		stream->routers[stream->router_count++] = (unsigned int)r->integer;
}

static void read_rate_changes(error_list_t *errors, json_value_t *v, load_stream_t *stream)
{
	json_value_t *list = json_get(v, "swing");

	if (!list || list->type != JSON_ARRAY)
		return;
	for (json_value_t *s = list->first; s && stream->rate_change_count < MAX_RATE_CHANGES;
		s = s->next) {
		rate_change_t *change = &stream->rate_changes[stream->rate_change_count++];

		change->from_ms = (unsigned int)json_read_int(errors, s, "from_ms", 0, 0, 3600000);
		change->to_ms = (unsigned int)json_read_int(errors, s, "to_ms", 0, 0, 3600000);
		change->factor = json_read_number(errors, s, "factor", 1, 0, 1000);
	}
}

static void read_stream(error_list_t *errors, json_value_t *v, load_stream_t *stream)
{
	stream->kind = read_kind(errors, v);
	stream->name = g_strdup(json_read_string(errors, v, "name", JSON_REQUIRED_STRING));
	stream->work_class = g_strdup(json_read_string(errors, v, "class", stream->name));
	stream->workspace =
		g_strdup(json_read_string(errors, v, "workspace", JSON_REQUIRED_STRING));
	stream->token = g_strdup(json_read_string(errors, v, "token", JSON_REQUIRED_STRING));
	stream->model = g_strdup(json_read_string(errors, v, "model", "-"));
	stream->path = g_strdup(json_read_string(errors, v, "path", "/v1/chat/completions"));
	stream->weight = (unsigned int)json_read_int(errors, v, "weight", 1, 1, 10000);
	stream->rate = json_read_number(errors, v, "rate", 1, 0, 100000);
	stream->tokens = json_read_number(errors, v, "tokens", 16, 1, 100000);
	stream->sigma = json_read_number(errors, v, "sigma", 0, 0, 4);
	stream->max_tokens = (unsigned int)json_read_int(errors, v, "max_tokens", 2000, 1, 100000);
	stream->prefixes = (unsigned int)json_read_int(errors, v, "prefixes", 0, 0, 100000);
	stream->retries = (unsigned int)json_read_int(errors, v, "retries", 0, 0, 100);
	stream->deadline_ms = (unsigned int)json_read_int(errors, v, "deadline_ms", 0, 0, 3600000);
	read_routers(errors, v, stream);
	read_rate_changes(errors, v, stream);
}

profile_t *profile_load(const char *path, error_list_t *errors)
{
	profile_t *this = g_new0(profile_t, 1);
	json_value_t *list = NULL;
	jsondoc_t *doc = NULL;
	char *text = NULL;
	gsize len = 0;

	if (!g_file_get_contents(path, &text, &len, NULL)) {
		error_list_add(errors, 0, "cannot be read");
		goto out;
	}
	doc = jsondoc_new(text, len);
	list = doc->error ? NULL : json_get(doc->root, "streams");
	if (!list || list->type != JSON_ARRAY) {
		error_list_add(errors, doc->error ? doc->error_line : 1, "%s",
			doc->error ? doc->error : "streams: missing or not a list");
		goto out;
	}
	this->streams = g_new0(load_stream_t, list->count + 1);
	for (json_value_t *v = list->first; v; v = v->next)
		read_stream(errors, v, &this->streams[this->count++]);
	error_list_add_unknown_keys(errors, doc->root);
out:
	jsondoc_delete(doc);
	g_free(text);
	if (!errors->count)
		return this;
	profile_delete(this);
	return NULL;
}

void profile_delete(profile_t *this)
{
	for (unsigned int i = 0; i < this->count; i++) {
		load_stream_t *stream = &this->streams[i];

		g_free(stream->name);
		g_free(stream->work_class);
		g_free(stream->workspace);
		g_free(stream->token);
		g_free(stream->model);
		g_free(stream->path);
		g_free(stream->routers);
	}
	g_free(this->streams);
	g_free(this);
}

double load_stream_rate(const load_stream_t *stream, unsigned int ms)
{
	double rate = stream->rate;

	for (unsigned int i = 0; i < stream->rate_change_count; i++) {
		if (ms >= stream->rate_changes[i].from_ms && ms < stream->rate_changes[i].to_ms)
			rate *= stream->rate_changes[i].factor;
	}
	return rate;
}
