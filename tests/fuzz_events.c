/*
 * fuzz_events - libFuzzer target for event_stream
 *
 * A stream must give the same complete events and the same result however it is split.
 * The first byte of the input sets the chunk size, from 1 to 256 bytes; the rest is the
 * stream.
 */
#include <stdlib.h>
#include <string.h>

#include "gateway/event_stream.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static GString *feed(
	const char *data, size_t size, size_t chunk_size, event_stream_result_t *result)
{
	GString *out = g_string_new(NULL);
	event_stream_t stream;

	event_stream_init(&stream);
	*result = EVENT_STREAM_OK;
	for (size_t at = 0; at < size && *result == EVENT_STREAM_OK; at += chunk_size) {
		size_t len = size - at < chunk_size ? size - at : chunk_size;

		*result = event_stream_feed(&stream, data + at, len, out);
	}
	/* g_str_has_suffix() stops at a NUL byte, so output that contains one is not checked. */
	if (out->len && !g_str_has_suffix(out->str, "\n\n") && !memchr(out->str, 0, out->len))
		abort(); /* an incomplete event was forwarded */
	event_stream_clear(&stream);
	return out;
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	event_stream_result_t whole_result;
	event_stream_result_t chunked_result;
	GString *whole;
	GString *chunked;

	if (size < 2)
		return 0;
	whole = feed((const char *)data + 1, size - 1, size, &whole_result);
	chunked = feed((const char *)data + 1, size - 1, (size_t)data[0] + 1, &chunked_result);
	if (whole_result != chunked_result || !g_string_equal(whole, chunked))
		abort();
	g_string_free(whole, TRUE);
	g_string_free(chunked, TRUE);
	return 0;
}
