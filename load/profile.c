#include "load/profile.h"

#include <string.h>

static const char *const kinds[] = {"stream", "whole", "order", "plain", NULL};

static load_kind_t read_kind(error_list_t *faults, json_value_t *v)
{
	const char *text = json_read_string(faults, v, "kind", JSON_REQUIRED_STRING);

	for (int i = 0; kinds[i]; i++) {
		if (!strcmp(kinds[i], text))
			return (load_kind_t)i;
	}
	error_list_add(faults, v->line, "kind: \"%s\" is unknown", text);
	return LOAD_PLAIN;
}

static void read_routers(error_list_t *faults, json_value_t *v, load_stream_t *stream)
{
	json_value_t *list = json_get(v, "routers");

	if (!list || list->type != JSON_ARRAY || !list->count)
		return;
	stream->routers = g_new0(unsigned int, list->count);
	for (json_value_t *r = list->first; r; r = r->next)
		stream->routers[stream->router_count++] = (unsigned int)r->integer;
}

static void read_swings(error_list_t *faults, json_value_t *v, load_stream_t *stream)
{
	json_value_t *list = json_get(v, "swing");

	if (!list || list->type != JSON_ARRAY)
		return;
	for (json_value_t *s = list->first; s && stream->swing_count < MAX_SWINGS; s = s->next) {
		swing_t *swing = &stream->swings[stream->swing_count++];

		swing->from_ms = (unsigned int)json_read_int(faults, s, "from_ms", 0, 0, 3600000);
		swing->to_ms = (unsigned int)json_read_int(faults, s, "to_ms", 0, 0, 3600000);
		swing->factor = json_read_number(faults, s, "factor", 1, 0, 1000);
	}
}

static void read_stream(error_list_t *faults, json_value_t *v, load_stream_t *stream)
{
	stream->kind = read_kind(faults, v);
	stream->name = g_strdup(json_read_string(faults, v, "name", JSON_REQUIRED_STRING));
	stream->work_class = g_strdup(json_read_string(faults, v, "class", stream->name));
	stream->workspace =
		g_strdup(json_read_string(faults, v, "workspace", JSON_REQUIRED_STRING));
	stream->token = g_strdup(json_read_string(faults, v, "token", JSON_REQUIRED_STRING));
	stream->model = g_strdup(json_read_string(faults, v, "model", "-"));
	stream->path = g_strdup(json_read_string(faults, v, "path", "/v1/chat/completions"));
	stream->weight = (unsigned int)json_read_int(faults, v, "weight", 1, 1, 10000);
	stream->rate = json_read_number(faults, v, "rate", 1, 0, 100000);
	stream->tokens = json_read_number(faults, v, "tokens", 16, 1, 100000);
	stream->sigma = json_read_number(faults, v, "sigma", 0, 0, 4);
	stream->max_tokens = (unsigned int)json_read_int(faults, v, "max_tokens", 2000, 1, 100000);
	stream->prefixes = (unsigned int)json_read_int(faults, v, "prefixes", 0, 0, 100000);
	stream->retries = (unsigned int)json_read_int(faults, v, "retries", 0, 0, 100);
	stream->deadline_ms = (unsigned int)json_read_int(faults, v, "deadline_ms", 0, 0, 3600000);
	read_routers(faults, v, stream);
	read_swings(faults, v, stream);
}

profile_t *profile_load(const char *path, error_list_t *faults)
{
	profile_t *this = g_new0(profile_t, 1);
	json_value_t *list = NULL;
	jsondoc_t *doc = NULL;
	char *text = NULL;
	gsize len = 0;

	if (!g_file_get_contents(path, &text, &len, NULL)) {
		error_list_add(faults, 0, "cannot be read");
		goto out;
	}
	doc = jsondoc_new(text, len);
	list = doc->error ? NULL : json_get(doc->root, "streams");
	if (!list || list->type != JSON_ARRAY) {
		error_list_add(faults, doc->error ? doc->error_line : 1, "%s",
			doc->error ? doc->error : "streams: give a list");
		goto out;
	}
	this->streams = g_new0(load_stream_t, list->count + 1);
	for (json_value_t *v = list->first; v; v = v->next)
		read_stream(faults, v, &this->streams[this->count++]);
	error_list_add_unknown_keys(faults, doc->root);
out:
	jsondoc_delete(doc);
	g_free(text);
	if (!faults->count)
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

	for (unsigned int i = 0; i < stream->swing_count; i++) {
		if (ms >= stream->swings[i].from_ms && ms < stream->swings[i].to_ms)
			rate *= stream->swings[i].factor;
	}
	return rate;
}
