#include "settings/router_settings.h"

#include <string.h>

#include "settings/address.h"

#define KEY_CHARS 40

static char *read_address(error_list_t *errors, json_value_t *object, const char *key)
{
	return g_strdup(json_read_address(errors, object, key, JSON_REQUIRED_STRING));
}

static char *read_key(error_list_t *errors, json_value_t *object, const char *key)
{
	const char *text = json_read_string(errors, object, key, JSON_REQUIRED_STRING);
	json_value_t *v = json_get(object, key);

	if (*text && strlen(text) != KEY_CHARS)
		error_list_add(errors, v->line,
			"%s: a key has %d characters; make one with "
			"\"amaranthwall keygen\"",
			key, KEY_CHARS);
	return g_strdup(text);
}

static void read_peer(error_list_t *errors, json_value_t *v, peer_settings_t *peer)
{
	peer->name = g_strdup(json_read_string(errors, v, "name", JSON_REQUIRED_STRING));
	peer->address = read_address(errors, v, "address");
	peer->operator_address = read_address(errors, v, "operator_address");
	peer->public_key = read_key(errors, v, "public_key");
}

static void read_peers(router_settings_t *this, error_list_t *errors, json_value_t *root)
{
	json_value_t *peers = json_get(root, "peers");
	unsigned int i = 0;

	if (!peers)
		return;
	if (peers->type != JSON_ARRAY) {
		error_list_add(errors, peers->line, "peers: wrong type; give a list");
		return;
	}
	this->peers = g_new0(peer_settings_t, peers->count);
	this->peer_count = peers->count;
	for (json_value_t *v = peers->first; v; v = v->next, i++) {
		if (v->type == JSON_OBJECT) {
			read_peer(errors, v, &this->peers[i]);
			continue;
		}
		error_list_add(errors, v->line, "peers: each must be an object");
		v->used = true;
	}
	for (i = 0; i < this->peer_count; i++) {
		for (unsigned int j = 0; j < i; j++) {
			if (!g_strcmp0(this->peers[i].name, this->peers[j].name))
				error_list_add(errors, peers->line, "peers: %s is listed twice",
					this->peers[i].name);
		}
	}
}

static void read_policy(router_settings_t *this, error_list_t *errors, json_value_t *root)
{
	static const char *const policies[] = {"fleet", "fixed", "least", "forward", NULL};
	const char *text = json_read_string(errors, root, "policy", "fleet");

	if (!g_strv_contains(policies, text))
		error_list_add(errors, json_get(root, "policy")->line,
			"policy: \"%s\" is unknown; give fleet, fixed, least or forward", text);
	this->policy = g_strdup(text);
}

static void read_root(router_settings_t *this, error_list_t *errors, json_value_t *root)
{
	this->name = g_strdup(json_read_string(errors, root, "name", JSON_REQUIRED_STRING));
	this->failure_domain =
		g_strdup(json_read_string(errors, root, "failure_domain", JSON_REQUIRED_STRING));
	this->caller_address = read_address(errors, root, "caller_address");
	this->operator_address = read_address(errors, root, "operator_address");
	this->peer_address = read_address(errors, root, "peer_address");
	this->platform_address = read_address(errors, root, "platform_address");
	this->public_key = read_key(errors, root, "public_key");
	this->secret_key = read_key(errors, root, "secret_key");
	this->operator_token =
		g_strdup(json_read_string(errors, root, "operator_token", JSON_REQUIRED_STRING));
	read_policy(this, errors, root);
	this->max_connections =
		(unsigned int)json_read_int(errors, root, "max_connections", 2000, 1, 20000);
	this->max_body_bytes = (unsigned int)json_read_int(
		errors, root, "max_body_bytes", 4 << 20, 1024, 64 << 20);
	this->max_answer_bytes = (unsigned int)json_read_int(
		errors, root, "max_answer_bytes", 16 << 20, 1024, 256 << 20);
	this->idle_timeout_ms =
		(unsigned int)json_read_int(errors, root, "idle_timeout_ms", 30000, 1000, 3600000);
	this->drain_timeout_ms =
		(unsigned int)json_read_int(errors, root, "drain_timeout_ms", 600000, 0, 3600000);
	this->store_timeout_ms =
		(unsigned int)json_read_int(errors, root, "store_timeout_ms", 2000, 1000, 60000);
	this->default_deadline_ms = (unsigned int)json_read_int(
		errors, root, "default_deadline_ms", 10000, 10, 3600000);
	read_peers(this, errors, root);
	error_list_add_unknown_keys(errors, root);
}

router_settings_t *router_settings_load(const char *path, error_list_t *errors)
{
	jsondoc_t *doc = json_load_object(errors, path);
	router_settings_t *this;

	if (!doc)
		return NULL;
	this = g_new0(router_settings_t, 1);
	read_root(this, errors, doc->root);
	jsondoc_delete(doc);
	if (!errors->count)
		return this;
	router_settings_delete(this);
	return NULL;
}

void router_settings_delete(router_settings_t *this)
{
	if (!this)
		return;
	for (unsigned int i = 0; i < this->peer_count; i++) {
		g_free(this->peers[i].name);
		g_free(this->peers[i].address);
		g_free(this->peers[i].operator_address);
		g_free(this->peers[i].public_key);
	}
	g_free(this->peers);
	g_free(this->name);
	g_free(this->failure_domain);
	g_free(this->caller_address);
	g_free(this->operator_address);
	g_free(this->peer_address);
	g_free(this->platform_address);
	g_free(this->public_key);
	g_free(this->secret_key);
	g_free(this->operator_token);
	g_free(this->policy);
	g_free(this);
}
