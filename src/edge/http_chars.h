#ifndef EDGE_HTTP_CHARS_H
#define EDGE_HTTP_CHARS_H
/* http_chars - classes of the characters of HTTP's heads; see RFC 9110, 5 */
#include <stdbool.h>
#include <stddef.h>

typedef enum http_char_class {
	HTTP_CHAR_TEXT = 1,   /* of field values, reason phrases and chunk extensions */
	HTTP_CHAR_TOKEN = 2,  /* of methods and names */
	HTTP_CHAR_TARGET = 4, /* of targets */
} http_char_class_t;

extern const unsigned char http_char_classes[256]; /* sums of http_char_class_t */

static inline bool http_char_is(unsigned char c, http_char_class_t class)
{
	return http_char_classes[c] & class;
}

/* Number of leading characters that are of the class. */
size_t http_chars_span(const char *data, size_t len, http_char_class_t class);

#endif
