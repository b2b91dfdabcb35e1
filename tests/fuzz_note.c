/* fuzz_note - messages between gateways: malformed ones end, others can be told again */
#include "edge/entry_codec.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	entry_writer_t *writer = entry_writer_new();
	message_header_t head;
	entry_reader_t *reader = entry_reader_new((const char *)data, size, &head);
	message_entry_t note;

	if (reader) {
		entry_writer_begin(writer, &head);
		while (entry_reader_next(reader, &note, 1000))
			entry_writer_add(writer, &note, 1000);
		entry_reader_delete(reader);
	}
	entry_writer_delete(writer);
	return 0;
}
