#include "edge/http_chars.h"

#define TEXT (HTTP_CHAR_TEXT | HTTP_CHAR_TARGET)
#define TOKEN (HTTP_CHAR_TEXT | HTTP_CHAR_TARGET | HTTP_CHAR_TOKEN)

const unsigned char http_char_classes[256] = {
	['\t'] = HTTP_CHAR_TEXT,
	[' '] = HTTP_CHAR_TEXT,
	['!'] = TOKEN,
	['"'] = TEXT,
	['#' ... '\''] = TOKEN,
	['(' ... ')'] = TEXT,
	['*' ... '+'] = TOKEN,
	[','] = TEXT,
	['-' ... '.'] = TOKEN,
	['/'] = TEXT,
	['0' ... '9'] = TOKEN,
	[':' ... '@'] = TEXT,
	['A' ... 'Z'] = TOKEN,
	['[' ... ']'] = TEXT,
	['^' ... 'z'] = TOKEN,
	['{'] = TEXT,
	['|'] = TOKEN,
	['}'] = TEXT,
	['~'] = TOKEN,
	[0x80 ... 0xff] = TEXT,
};

#undef TEXT
#undef TOKEN

size_t http_chars_span(const char *data, size_t len, http_char_class_t class)
{
	size_t n = 0;

	while (n < len && http_char_is((unsigned char)data[n], class))
		n++;
	return n;
}
