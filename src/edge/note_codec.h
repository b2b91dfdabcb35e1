#ifndef EDGE_NOTE_CODEC_H
#define EDGE_NOTE_CODEC_H
/*
 * entry_codec - msgpack encoding of the messages between gateways
 *
 * A message is a header followed by entries.  Gateways do not share a clock,
 * so the instants of a slot request are sent as the time left, and decoded to
 * instants of the receiver's clock.
 */
#include "core/placement.h"

#define NOTE_MESSAGE_MAX 60000 /* bytes */

typedef struct entry_writer note_writer_t;

note_writer_t *note_writer_new(void);
void note_writer_delete(note_writer_t *this);
/* Discards the writer's contents and starts a message with its header. */
void note_writer_begin(note_writer_t *this, const message_header_t *header);
/* Appends an entry; `now` is the time from which the time left is computed. */
void note_writer_add(note_writer_t *this, const message_entry_t *entry, instant_t now);
/*
 * True when another entry might not fit.  Row chunks are larger than other
 * entries: check note_writer_room() for them.
 */
bool note_writer_is_full(const note_writer_t *this);
/* Bytes left until the message reaches NOTE_MESSAGE_MAX. */
size_t note_writer_room(const note_writer_t *this);
/* The encoded message; valid until the writer is changed or deleted. */
const char *note_writer_bytes(const note_writer_t *this, size_t *size);

typedef struct entry_reader note_reader_t;

/*
 * Decodes the header; NULL when `data` does not start with a valid one.
 * `data` is not copied and must outlive the reader.
 */
note_reader_t *note_reader_new(const char *data, size_t size, message_header_t *header);
/*
 * Decodes the next entry; false at the end or at malformed data.  `key` and
 * `bytes` of a row chunk point into `data`.
 */
bool note_reader_next(note_reader_t *this, message_entry_t *entry, instant_t now);
void note_reader_delete(note_reader_t *this);

#endif
