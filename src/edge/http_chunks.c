#include "edge/http_chunks.h"

#include "edge/http_chars.h"

typedef enum chunk_state {
	STATE_SIZE_START,
	STATE_SIZE,
	STATE_BLANK,
	STATE_EXTENSION,
	STATE_SIZE_LF,
	STATE_DATA,
	STATE_DATA_CR,
	STATE_DATA_LF,
	STATE_DONE,
	STATE_FAULT,
} chunk_state_t;

static int hex_value(unsigned char c)
{
	if (c >= '0' && c <= '9')
		return c - '0';
	c |= 0x20;
	return c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
}

static chunk_state_t state_after_size(unsigned char c)
{
	switch (c) {
	case '\r':
		return STATE_SIZE_LF;
	case ';':
		return STATE_EXTENSION;
	case ' ':
	case '\t':
		return STATE_BLANK;
	default:
		return STATE_FAULT;
	}
}

static chunk_state_t state_in_extension(unsigned char c)
{
	if (c == '\r')
		return STATE_SIZE_LF;
	return http_char_is(c, HTTP_CHAR_TEXT) ? STATE_EXTENSION : STATE_FAULT;
}

static chunk_state_t add_size_digit(uint64_t *left, int digit)
{
	if (*left > HTTP_MAX_LENGTH >> 4)
		return STATE_FAULT;
	*left = (*left << 4) + (uint64_t)digit;
	return STATE_SIZE;
}

/* The state after a character of the lines between chunks; `left` is the size that they name. */
static chunk_state_t next_state(chunk_state_t state, unsigned char c, uint64_t *left)
{
	int digit;

	switch (state) {
	case STATE_DATA_CR:
		return c == '\r' ? STATE_DATA_LF : STATE_FAULT;
	case STATE_DATA_LF:
		return c == '\n' ? STATE_SIZE_START : STATE_FAULT;
	case STATE_SIZE_START:
		digit = hex_value(c);
		*left = 0;
		return digit < 0 ? STATE_FAULT : add_size_digit(left, digit);
	case STATE_SIZE:
		digit = hex_value(c);
		return digit < 0 ? state_after_size(c) : add_size_digit(left, digit);
	case STATE_BLANK:
		return state_after_size(c);
	case STATE_EXTENSION:
		return state_in_extension(c);
	case STATE_SIZE_LF:
		if (c != '\n')
			return STATE_FAULT;
		return *left ? STATE_DATA : STATE_DONE;
	default:
		return STATE_FAULT;
	}
}

void http_chunks_init(http_chunks_t *this)
{
	*this = (http_chunks_t){.state = STATE_SIZE_START};
}

/* Has no memory access but the bytes, as a body may have a line for each of its bytes. */
size_t http_chunks_feed(http_chunks_t *this, const char *data, size_t len)
{
	chunk_state_t state = (chunk_state_t)this->state;
	uint64_t left = this->left;
	size_t at = 0;

	while (at < len && state < STATE_DONE) {
		size_t run = left < len - at ? (size_t)left : len - at;

		if (state == STATE_DATA) {
			left -= run;
			at += run;
			state = left ? STATE_DATA : STATE_DATA_CR;
		} else {
			state = next_state(state, (unsigned char)data[at], &left);
			at += state != STATE_FAULT;
		}
	}
	this->state = state;
	this->left = left;
	return at;
}

bool http_chunks_are_done(const http_chunks_t *this)
{
	return this->state == STATE_DONE;
}

bool http_chunks_have_fault(const http_chunks_t *this)
{
	return this->state == STATE_FAULT;
}
