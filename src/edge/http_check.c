#include "edge/http_check.h"

#include <string.h>
#include <strings.h>

#include "edge/http_chars.h"

#define MIN_STATUS 100
#define MAX_STATUS 599
#define STATUS_DIGITS 3
#define STATUS_SWITCHING_PROTOCOLS 101
#define STATUS_NO_CONTENT 204
#define STATUS_NOT_MODIFIED 304
#define CONTENT_LENGTH "Content-Length"
#define TRANSFER_ENCODING "Transfer-Encoding"

typedef enum check_state {
	STATE_START, /* before the first byte */
	STATE_METHOD,
	STATE_TARGET,
	STATE_PROTOCOL,
	STATE_VERSION,
	STATE_VERSION_END,
	STATE_STATUS,
	STATE_REASON,
	STATE_START_LINE_LF,
	STATE_LINE, /* before a line of the head or of the trailer */
	STATE_NAME,
	STATE_VALUE,
	STATE_VALUE_LF,
	STATE_HEAD_LF,
	STATE_CHUNKS,
	STATE_BODY,
	STATE_BODY_UNTIL_CLOSE,
	STATE_DONE,
	STATE_COUNT,
} check_state_t;

static const char protocol[] = "HTTP/1.";

/* --- characters -------------------------------------------------------- */

static bool is_digit(unsigned char c)
{
	return c >= '0' && c <= '9';
}

static bool is_blank(unsigned char c)
{
	return c == ' ' || c == '\t';
}

static void fail(http_check_t *this, http_fault_t fault)
{
	this->fault = fault;
}

/* --- start line -------------------------------------------------------- */

static void check_protocol(http_check_t *this, unsigned char c)
{
	if (c != (unsigned char)protocol[this->matched]) {
		fail(this, HTTP_FAULT_START_LINE);
		return;
	}
	if (!protocol[++this->matched])
		this->state = STATE_VERSION;
}

/* Empty lines before a request line are ignored, as RFC 9112 asks for. */
static void check_start(http_check_t *this, unsigned char c)
{
	if (this->kind != HTTP_CHECK_REQUEST) {
		this->state = STATE_PROTOCOL;
		check_protocol(this, c);
	} else if (http_char_is(c, HTTP_CHAR_TOKEN)) {
		this->state = STATE_METHOD;
	} else if (c != '\r' && c != '\n') {
		fail(this, HTTP_FAULT_START_LINE);
	}
}

static void check_method(http_check_t *this, unsigned char c)
{
	this->state = STATE_TARGET;
	if (c != ' ')
		fail(this, HTTP_FAULT_START_LINE);
}

static void check_target(http_check_t *this, unsigned char c)
{
	this->state = STATE_PROTOCOL;
	if (c != ' ')
		fail(this, HTTP_FAULT_START_LINE);
}

static void check_version(http_check_t *this, unsigned char c)
{
	if (!is_digit(c))
		fail(this, HTTP_FAULT_START_LINE);
	this->is_http_1_0 = c == '0';
	this->state = STATE_VERSION_END;
}

static void end_start_line(http_check_t *this, unsigned char c)
{
	if (c == '\r')
		this->state = STATE_START_LINE_LF;
	else if (c == '\n')
		this->state = STATE_LINE;
	else
		fail(this, HTTP_FAULT_START_LINE);
}

static void check_version_end(http_check_t *this, unsigned char c)
{
	if (this->kind == HTTP_CHECK_REQUEST) {
		end_start_line(this, c);
		return;
	}
	this->matched = 0;
	this->state = STATE_STATUS;
	if (c != ' ')
		fail(this, HTTP_FAULT_START_LINE);
}

static bool is_status(unsigned int status)
{
	return status >= MIN_STATUS && status <= MAX_STATUS && status != STATUS_SWITCHING_PROTOCOLS;
}

/* The blank after the status may be missing if there is no reason phrase. */
static void check_status(http_check_t *this, unsigned char c)
{
	if (this->matched < STATUS_DIGITS) {
		this->matched++;
		this->status = this->status * 10 + (unsigned int)(c - '0');
		if (!is_digit(c) || (this->matched == STATUS_DIGITS && !is_status(this->status)))
			fail(this, HTTP_FAULT_STATUS);
		return;
	}
	if (c == ' ')
		this->state = STATE_REASON;
	else if (is_digit(c))
		fail(this, HTTP_FAULT_STATUS);
	else
		end_start_line(this, c);
}

static void check_start_line_lf(http_check_t *this, unsigned char c)
{
	if (c == '\n')
		this->state = STATE_LINE;
	else
		fail(this, HTTP_FAULT_START_LINE);
}

/* --- fields ------------------------------------------------------------ */

static bool has_name(const http_check_t *this, const char *name, size_t len)
{
	return this->name_len == len && !strncasecmp(this->name, name, len);
}

/* The field that is named, of those that tell a body's length; a trailer tells none. */
static http_field_t framing_field(const http_check_t *this)
{
	if (this->in_trailer)
		return HTTP_FIELD_OTHER;
	if (has_name(this, CONTENT_LENGTH, strlen(CONTENT_LENGTH)))
		return HTTP_FIELD_LENGTH;
	if (has_name(this, TRANSFER_ENCODING, strlen(TRANSFER_ENCODING)))
		return HTTP_FIELD_CODING;
	return HTTP_FIELD_OTHER;
}

/* Appends up to the size of `text`; a text that fills it is too long to be one that counts. */
static void keep_text(char *text, unsigned int *text_len, const char *data, size_t len)
{
	size_t room = HTTP_CHECK_TEXT - *text_len;

	if (len > room)
		len = room;
	memcpy(text + *text_len, data, len);
	*text_len += (unsigned int)len;
}

static void trim_value(http_check_t *this)
{
	if (this->value_len == HTTP_CHECK_TEXT)
		return;
	while (this->value_len && is_blank((unsigned char)this->value[this->value_len - 1]))
		this->value_len--;
}

static void parse_length(http_check_t *this)
{
	uint64_t length = 0;

	trim_value(this);
	if (this->has_length || !this->value_len || this->value_len == HTTP_CHECK_TEXT) {
		fail(this, HTTP_FAULT_LENGTH);
		return;
	}
	for (unsigned int i = 0; i < this->value_len && !this->fault; i++) {
		unsigned int digit = (unsigned int)(this->value[i] - '0');

		if (digit > 9 || length > (HTTP_MAX_LENGTH - digit) / 10)
			fail(this, HTTP_FAULT_LENGTH);
		length = length * 10 + digit;
	}
	this->has_length = true;
	this->left = length;
}

/* No other coding is understood here, so that a body which has one would change its meaning. */
static void parse_coding(http_check_t *this)
{
	static const char chunked[] = "chunked";

	trim_value(this);
	if (this->is_chunked || this->value_len != strlen(chunked) ||
		strncasecmp(this->value, chunked, this->value_len))
		fail(this, HTTP_FAULT_LENGTH);
	this->is_chunked = true;
}

static void end_field(http_check_t *this)
{
	this->state = STATE_LINE;
	if (this->field == HTTP_FIELD_LENGTH)
		parse_length(this);
	else if (this->field == HTTP_FIELD_CODING)
		parse_coding(this);
}

static void check_name(http_check_t *this, unsigned char c)
{
	if (c == ':') {
		this->state = STATE_VALUE;
		this->field = framing_field(this);
		this->value_len = 0;
	} else {
		fail(this, HTTP_FAULT_NAME);
	}
}

static void check_value(http_check_t *this, unsigned char c)
{
	if (c == '\r')
		this->state = STATE_VALUE_LF;
	else if (c == '\n')
		end_field(this);
	else
		fail(this, HTTP_FAULT_VALUE);
}

static void check_value_lf(http_check_t *this, unsigned char c)
{
	if (c == '\n')
		end_field(this);
	else
		fail(this, HTTP_FAULT_VALUE);
}

/* --- end of the head --------------------------------------------------- */

static bool is_response_without_body(const http_check_t *this)
{
	return http_check_is_interim(this) || this->status == STATUS_NO_CONTENT ||
	       this->status == STATUS_NOT_MODIFIED;
}

/* Interim responses and 204 must not name a body; a length of 0 does no harm. */
static bool denies_its_body(const http_check_t *this)
{
	return (http_check_is_interim(this) || this->status == STATUS_NO_CONTENT) &&
	       (this->is_chunked || this->left);
}

static void end_head(http_check_t *this)
{
	if ((this->is_chunked && (this->has_length || this->is_http_1_0)) || denies_its_body(this))
		fail(this, HTTP_FAULT_LENGTH);
	else if (is_response_without_body(this))
		this->state = STATE_DONE;
	else if (this->is_chunked)
		this->state = STATE_CHUNKS;
	else if (this->left)
		this->state = STATE_BODY;
	else if (this->has_length || this->kind == HTTP_CHECK_REQUEST)
		this->state = STATE_DONE;
	else
		this->state = STATE_BODY_UNTIL_CLOSE;
}

static void end_fields(http_check_t *this)
{
	if (this->in_trailer)
		this->state = STATE_DONE;
	else
		end_head(this);
}

static void check_line(http_check_t *this, unsigned char c)
{
	this->name_len = 0;
	this->state = STATE_NAME;
	if (c == '\r')
		this->state = STATE_HEAD_LF;
	else if (c == '\n')
		end_fields(this);
	else if (http_char_is(c, HTTP_CHAR_TOKEN))
		this->name[this->name_len++] = (char)c;
	else
		fail(this, HTTP_FAULT_NAME);
}

static void check_head_lf(http_check_t *this, unsigned char c)
{
	if (c == '\n')
		end_fields(this);
	else
		fail(this, HTTP_FAULT_NAME);
}

/* --- the whole message ------------------------------------------------- */

static void (*const checks[STATE_COUNT])(http_check_t *this, unsigned char c) = {
	[STATE_START] = check_start,
	[STATE_METHOD] = check_method,
	[STATE_TARGET] = check_target,
	[STATE_PROTOCOL] = check_protocol,
	[STATE_VERSION] = check_version,
	[STATE_VERSION_END] = check_version_end,
	[STATE_STATUS] = check_status,
	[STATE_REASON] = end_start_line,
	[STATE_START_LINE_LF] = check_start_line_lf,
	[STATE_LINE] = check_line,
	[STATE_NAME] = check_name,
	[STATE_VALUE] = check_value,
	[STATE_VALUE_LF] = check_value_lf,
	[STATE_HEAD_LF] = check_head_lf,
};

static size_t skip_name(http_check_t *this, const char *data, size_t len)
{
	size_t n = http_chars_span(data, len, HTTP_CHAR_TOKEN);

	keep_text(this->name, &this->name_len, data, n);
	return n;
}

static size_t skip_value(http_check_t *this, const char *data, size_t len)
{
	size_t n = http_chars_span(data, len, HTTP_CHAR_TEXT);
	size_t blanks = 0;

	if (this->field == HTTP_FIELD_OTHER)
		return n;
	while (!this->value_len && blanks < n && is_blank((unsigned char)data[blanks]))
		blanks++;
	keep_text(this->value, &this->value_len, data + blanks, n - blanks);
	return n;
}

/* Counts bytes of a body that has a length; returns how many there are. */
static size_t skip_body(http_check_t *this, size_t len)
{
	if (len > this->left)
		len = (size_t)this->left;
	this->left -= len;
	if (!this->left)
		this->state = STATE_DONE;
	return len;
}

static size_t check_body(http_check_t *this, const char *data, size_t len)
{
	size_t at;

	if (this->state == STATE_BODY_UNTIL_CLOSE)
		return len;
	if (this->state == STATE_BODY)
		return skip_body(this, len);
	at = http_chunks_feed(&this->chunks, data, len);
	if (http_chunks_have_fault(&this->chunks))
		fail(this, HTTP_FAULT_CHUNK);
	this->in_trailer = http_chunks_are_done(&this->chunks);
	if (this->in_trailer)
		this->state = STATE_LINE;
	return at;
}

/* Skips characters that are sound in this state and don't end it; returns how many. */
static size_t skip_run(http_check_t *this, const char *data, size_t len)
{
	switch ((check_state_t)this->state) {
	case STATE_METHOD:
		return http_chars_span(data, len, HTTP_CHAR_TOKEN);
	case STATE_TARGET:
		return http_chars_span(data, len, HTTP_CHAR_TARGET);
	case STATE_REASON:
		return http_chars_span(data, len, HTTP_CHAR_TEXT);
	case STATE_NAME:
		return skip_name(this, data, len);
	case STATE_VALUE:
		return skip_value(this, data, len);
	default:
		return 0;
	}
}

/* Checks lines of the head or of the trailer, up to its end. */
static size_t check_lines(http_check_t *this, const char *data, size_t len)
{
	size_t at = 0;

	while (at < len && !this->fault && this->state < STATE_CHUNKS) {
		size_t run = skip_run(this, data + at, len - at);

		at += run;
		if (run)
			continue;
		checks[this->state](this, (unsigned char)data[at]);
		at += !this->fault;
	}
	return at;
}

size_t http_check_feed(http_check_t *this, const char *data, size_t len)
{
	size_t at = 0;

	if (this->fault || this->state == STATE_DONE)
		return 0;
	if (http_check_is_in_head(this))
		return check_lines(this, data, len);
	if (this->state > STATE_HEAD_LF)
		at = check_body(this, data, len);
	if (this->in_trailer)
		at += check_lines(this, data + at, len - at);
	return at;
}

void http_check_init(http_check_t *this, http_check_kind_t kind)
{
	*this = (http_check_t){.kind = kind, .state = STATE_START};
	http_chunks_init(&this->chunks);
}

bool http_check_is_in_head(const http_check_t *this)
{
	return this->state < STATE_CHUNKS && !this->in_trailer;
}

void http_check_skip_body(http_check_t *this)
{
	this->state = STATE_DONE;
}

bool http_check_is_done(const http_check_t *this)
{
	return this->state == STATE_DONE;
}

bool http_check_ends_by_close(const http_check_t *this)
{
	return this->state == STATE_BODY_UNTIL_CLOSE;
}

bool http_check_is_interim(const http_check_t *this)
{
	return this->status >= 100 && this->status < 200;
}

const char *http_fault_name(http_fault_t fault)
{
	static const char *const names[HTTP_FAULT_COUNT] = {
		[HTTP_FAULT_NONE] = "none",
		[HTTP_FAULT_START_LINE] = "start-line",
		[HTTP_FAULT_STATUS] = "status",
		[HTTP_FAULT_NAME] = "field-name",
		[HTTP_FAULT_VALUE] = "field-value",
		[HTTP_FAULT_LENGTH] = "body-length",
		[HTTP_FAULT_CHUNK] = "chunk",
	};

	return names[fault];
}
