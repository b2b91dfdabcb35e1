#ifndef EDGE_NOTE_CODEC_H
#define EDGE_NOTE_CODEC_H
/*
 * note_codec - what gateways tell one another, as msgpack
 *
 * A message is one head and its notes.  Only spans cross: an ask's instants are
 * sent as time left and come back as the receiver's own.
 */
#include "core/placement.h"

#define NOTE_MESSAGE_MAX 60000 /* bytes of one message */

typedef struct note_writer note_writer_t;

note_writer_t *note_writer_new(void);
void note_writer_delete(note_writer_t *this);
void note_writer_begin(note_writer_t *this, const message_header_t *head);
void note_writer_add(note_writer_t *this, const message_entry_t *note, instant_t now);
/* No more notes should be added to this message. */
bool note_writer_is_full(const note_writer_t *this);
/* Bytes that the message may still grow by. */
size_t note_writer_room(const note_writer_t *this);
const char *note_writer_bytes(const note_writer_t *this, size_t *size);

typedef struct note_reader note_reader_t;

/* Reads the head; NULL when the bytes are no message. */
note_reader_t *note_reader_new(const char *data, size_t size, message_header_t *head);
/* The next note; false at the end or where the bytes are malformed. */
bool note_reader_next(note_reader_t *this, message_entry_t *note, instant_t now);
void note_reader_delete(note_reader_t *this);

#endif
