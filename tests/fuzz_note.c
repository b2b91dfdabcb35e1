/*
 * fuzz_note - libFuzzer target for the messages between gateways
 *
 * Decoding any bytes, and encoding the entries decoded, must not crash; decoding stops at a
 * malformed entry.
 */
#include "edge/entry_codec.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	entry_writer_t *writer = entry_writer_new();
	message_header_t header;
	entry_reader_t *reader = entry_reader_new((const char *)data, size, &header);
	message_entry_t entry;

	if (reader) {
		entry_writer_begin(writer, &header);
		while (entry_reader_next(reader, &entry, 1000))
			entry_writer_add(writer, &entry, 1000);
		entry_reader_delete(reader);
	}
	entry_writer_delete(writer);
	return 0;
}
