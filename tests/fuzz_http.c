/*
 * fuzz_http - libFuzzer target for http_check
 *
 * The verdict must not depend on how the bytes are split, and http_parser must agree with what
 * passes: the same status, the same end.  The first byte of the input sets the kind of message and
 * the size of the pieces, from 1 to 128 bytes; the rest is the message.
 */
#include <http_parser.h>
#include <stdlib.h>

#include "edge/http_check.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* Reads a message as the project's readers do. */
typedef struct reader {
	http_check_t check;
	http_parser parser;
	bool complete; /* according to the parser */
} reader_t;

static int on_headers_complete(http_parser *parser)
{
	reader_t *this = parser->data;

	return http_check_is_done(&this->check) ? 1 : 0;
}

static int on_message_complete(http_parser *parser)
{
	reader_t *this = parser->data;

	this->complete = true;
	return 0;
}

static const http_parser_settings settings = {
	.on_headers_complete = on_headers_complete,
	.on_message_complete = on_message_complete,
};

static void reader_init(reader_t *this, http_check_kind_t kind)
{
	http_check_init(&this->check, kind);
	http_parser_init(&this->parser, kind == HTTP_CHECK_REQUEST ? HTTP_REQUEST : HTTP_RESPONSE);
	this->parser.data = this;
	this->complete = false;
}

/* http_parser refuses more: methods that it does not know, and requests for another protocol. */
static bool parser_refuses(const reader_t *this)
{
	return HTTP_PARSER_ERRNO(&this->parser) != HPE_OK || this->parser.upgrade;
}

static void parse(reader_t *this, const char *data, size_t len)
{
	if (parser_refuses(this))
		return;
	if (http_parser_execute(&this->parser, &settings, data, len) != len &&
		!parser_refuses(this))
		abort();
	if (parser_refuses(this))
		return;
	if (this->complete != http_check_is_done(&this->check))
		abort(); /* they differ about the end */
	if (!http_check_is_in_head(&this->check) && this->check.kind == HTTP_CHECK_RESPONSE &&
		this->parser.status_code != this->check.status)
		abort();
}

/* Returns the number of sound bytes. */
static size_t feed(reader_t *this, const char *data, size_t size, size_t piece)
{
	size_t used = 0;
	size_t end = 0;

	while (used < size && !this->check.fault && !http_check_is_done(&this->check)) {
		size_t sound;

		if (used == end)
			end = size - used < piece ? size : used + piece;
		sound = http_check_feed(&this->check, data + used, end - used);
		if (!this->check.fault)
			parse(this, data + used, sound);
		used += sound;
	}
	return used;
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	const char *message = (const char *)data + 1;
	http_check_kind_t kind;
	reader_t whole;
	reader_t pieces;

	if (!size)
		return 0;
	kind = data[0] & 0x80 ? HTTP_CHECK_REQUEST : HTTP_CHECK_RESPONSE;
	reader_init(&whole, kind);
	reader_init(&pieces, kind);
	if (feed(&whole, message, size - 1, size) !=
			feed(&pieces, message, size - 1, (data[0] & 0x7fU) + 1) ||
		whole.check.fault != pieces.check.fault ||
		whole.check.state != pieces.check.state ||
		whole.check.chunks.state != pieces.check.chunks.state)
		abort();
	if (whole.check.fault && http_check_feed(&whole.check, message, size - 1))
		abort(); /* it goes on after a fault */
	return 0;
}
