#include "edge/http_response.h"

#include <strings.h>

static void clear_fields(http_response_t *this)
{
	g_ptr_array_set_size(this->names, 0);
	g_ptr_array_set_size(this->values, 0);
	g_string_truncate(this->name, 0);
	g_string_truncate(this->value, 0);
	this->in_value = false;
}

static void keep_field(http_response_t *this)
{
	if (!this->name->len)
		return;
	g_ptr_array_add(this->names, g_strdup(this->name->str));
	g_ptr_array_add(this->values, g_strdup(this->value->str));
	g_string_truncate(this->name, 0);
	g_string_truncate(this->value, 0);
}

static bool is_in_trailer(const http_parser *parser)
{
	return parser->flags & F_TRAILING;
}

static int on_header_field(http_parser *parser, const char *at, size_t len)
{
	http_response_t *this = parser->data;

	if (is_in_trailer(parser))
		return 0;
	if (this->in_value)
		keep_field(this);
	this->in_value = false;
	g_string_append_len(this->name, at, (gssize)len);
	return 0;
}

static int on_header_value(http_parser *parser, const char *at, size_t len)
{
	http_response_t *this = parser->data;

	if (is_in_trailer(parser))
		return 0;
	this->in_value = true;
	g_string_append_len(this->value, at, (gssize)len);
	return 0;
}

static int on_headers_complete(http_parser *parser)
{
	http_response_t *this = parser->data;

	keep_field(this);
	this->head_complete = !http_check_is_interim(&this->check);
	if (this->head_complete && this->is_to_head)
		http_check_skip_body(&this->check);
	return http_check_is_done(&this->check) ? 1 : 0;
}

static int on_body(http_parser *parser, const char *at, size_t len)
{
	http_response_t *this = parser->data;

	g_string_append_len(this->body, at, (gssize)len);
	return 0;
}

static int on_message_complete(http_parser *parser)
{
	http_response_t *this = parser->data;

	this->complete = this->head_complete;
	return 0;
}

static const http_parser_settings parser_settings = {
	.on_header_field = on_header_field,
	.on_header_value = on_header_value,
	.on_headers_complete = on_headers_complete,
	.on_body = on_body,
	.on_message_complete = on_message_complete,
};

static void begin_message(http_response_t *this)
{
	http_check_init(&this->check, HTTP_CHECK_RESPONSE);
	http_parser_init(&this->parser, HTTP_RESPONSE);
	this->parser.data = this;
	clear_fields(this);
}

void http_response_init(http_response_t *this, GString *body)
{
	*this = (http_response_t){
		.names = g_ptr_array_new_with_free_func(g_free),
		.values = g_ptr_array_new_with_free_func(g_free),
		.name = g_string_new(NULL),
		.value = g_string_new(NULL),
		.body = body,
	};
	begin_message(this);
}

void http_response_clear(http_response_t *this)
{
	g_ptr_array_free(this->names, TRUE);
	g_ptr_array_free(this->values, TRUE);
	g_string_free(this->name, TRUE);
	g_string_free(this->value, TRUE);
}

/* Reads bytes up to the end of the head or of the message; returns how many, 0 if they are bad. */
static size_t read_part(http_response_t *this, const char *data, size_t len)
{
	bool in_head = http_check_is_in_head(&this->check);
	size_t used = http_check_feed(&this->check, data, len);

	if (in_head)
		this->head_bytes += used;
	this->head_too_large = this->head_bytes > HTTP_RESPONSE_MAX_HEAD;
	if (this->check.fault || this->head_too_large)
		return 0;
	http_parser_execute(&this->parser, &parser_settings, data, used);
	if (HTTP_PARSER_ERRNO(&this->parser) != HPE_OK)
		return 0;
	if (http_check_is_done(&this->check) && !this->head_complete)
		begin_message(this); /* that was an interim response */
	else if (http_check_is_done(&this->check) != this->complete)
		return 0; /* parser and check differ about the end */
	return used;
}

bool http_response_feed(http_response_t *this, const char *data, size_t len)
{
	while (len && !this->complete) {
		size_t used = read_part(this, data, len);

		if (!used)
			return false;
		data += used;
		len -= used;
	}
	return true;
}

bool http_response_end(http_response_t *this)
{
	if (!this->complete)
		http_parser_execute(&this->parser, &parser_settings, NULL, 0);
	return this->complete;
}

bool http_response_ends_by_close(const http_response_t *this)
{
	return http_check_ends_by_close(&this->check);
}

const char *http_response_fault(const http_response_t *this)
{
	if (this->head_too_large)
		return "head-too-large";
	if (this->check.fault)
		return http_fault_name(this->check.fault);
	return http_errno_name(HTTP_PARSER_ERRNO(&this->parser));
}

unsigned int http_response_status(const http_response_t *this)
{
	return this->check.status;
}

const char *http_response_header(const http_response_t *this, const char *name)
{
	for (unsigned int i = 0; i < this->names->len; i++) {
		if (!strcasecmp(this->names->pdata[i], name))
			return this->values->pdata[i];
	}
	return NULL;
}
