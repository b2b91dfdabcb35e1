#include "gateway/vocabulary.h"

#include <stddef.h>

static const char *const withheld[] = {NULL};

static const vocabulary_t names = {
	.request_id = "X-Request-Id",
	.time_left_ms = "X-Deadline-Ms",
	.workspace = "X-Workspace",
	.expected_endpoint = "X-Endpoint",
	.signature = "X-Endpoint-Signature",
	.not_run = "X-Not-Run",
	.load = "X-Load",
	.prompt_parts = "X-Prompt-Parts",
	.token_usage = "X-Tokens",
	.length_hint = "X-Length-Hint",
	.resume_after = "Last-Event-ID",
	.withheld = withheld,
};

const vocabulary_t *vocabulary_default(void)
{
	return &names;
}
