/*
 * fuzz_events - a stream in any pieces gives the same events, whole and in order
 *
 * The first byte is the size of the pieces.
 */
#include <stdlib.h>
#include <string.h>

#include "gateway/event_stream.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static GString *feed(const char *data, size_t size, size_t piece, event_stream_result_t *result)
{
	GString *out = g_string_new(NULL);
	event_stream_t stream;

	event_stream_init(&stream);
	*result = EVENT_STREAM_OK;
	for (size_t at = 0; at < size && *result == EVENT_STREAM_OK; at += piece) {
		size_t len = size - at < piece ? size - at : piece;

		*result = event_stream_feed(&stream, data + at, len, out);
	}
	if (out->len && !g_str_has_suffix(out->str, "\n\n") && !memchr(out->str, 0, out->len))
		abort(); /* an event that is not whole was passed on */
	event_stream_clear(&stream);
	return out;
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	event_stream_result_t one;
	event_stream_result_t many;
	GString *whole;
	GString *pieces;

	if (size < 2)
		return 0;
	whole = feed((const char *)data + 1, size - 1, size, &one);
	pieces = feed((const char *)data + 1, size - 1, (size_t)data[0] + 1, &many);
	if (one != many || !g_string_equal(whole, pieces))
		abort();
	g_string_free(whole, TRUE);
	g_string_free(pieces, TRUE);
	return 0;
}
