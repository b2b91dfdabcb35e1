#include "standin/standin_response.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define DEFAULT_TOKENS 16

unsigned int standin_response_token_count(const char *prompt, unsigned int max_tokens)
{
	const char *option = strstr(prompt, "tokens=");
	unsigned long count =
		option ? strtoul(option + strlen("tokens="), NULL, 10) : DEFAULT_TOKENS;

	if (!count)
		count = 1;
	return max_tokens && count > max_tokens ? max_tokens : (unsigned int)count;
}

void standin_response_append_token(GString *out, const char *prompt, unsigned int index)
{
	g_string_append_printf(
		out, "w%04x ", (unsigned int)(XXH64(prompt, strlen(prompt), index) & 0xffff));
}

GString *standin_response_model_text(const char *prompt, unsigned int max_tokens)
{
	unsigned int count = standin_response_token_count(prompt, max_tokens);
	GString *out = g_string_new(NULL);

	for (unsigned int i = 0; i < count; i++)
		standin_response_append_token(out, prompt, i);
	return out;
}

GString *standin_response_plain_body(const char *path, const char *body, size_t len)
{
	GString *out = g_string_new(NULL);

	g_string_printf(out, "{\"path\":\"%s\",\"digest\":\"%016llx\"}\n", path,
		(unsigned long long)XXH64(body, len, 0));
	return out;
}
