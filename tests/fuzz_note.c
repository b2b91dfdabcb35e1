/*
 * fuzz_note - libFuzzer target for the messages between gateways
 *
 * Decoding any bytes, and encoding the entries decoded, must not crash; decoding stops at a
 * malformed entry.
 */
#include "edge/note_codec.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	note_writer_t *writer = note_writer_new();
	note_head_t header;
	note_reader_t *reader = note_reader_new((const char *)data, size, &header);
	note_t entry;

	if (reader) {
		note_writer_begin(writer, &header);
		while (note_reader_next(reader, &entry, 1000))
			note_writer_add(writer, &entry, 1000);
		note_reader_delete(reader);
	}
	note_writer_delete(writer);
	return 0;
}
