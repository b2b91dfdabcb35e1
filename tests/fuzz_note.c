/* fuzz_note - messages between gateways: malformed ones end, others can be told again */
#include "edge/note_codec.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	note_writer_t *writer = note_writer_new();
	message_header_t head;
	note_reader_t *reader = note_reader_new((const char *)data, size, &head);
	message_entry_t note;

	if (reader) {
		note_writer_begin(writer, &head);
		while (note_reader_next(reader, &note, 1000))
			note_writer_add(writer, &note, 1000);
		note_reader_delete(reader);
	}
	note_writer_delete(writer);
	return 0;
}
