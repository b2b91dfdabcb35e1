#ifndef EDGE_ENTRY_CODEC_H
#define EDGE_ENTRY_CODEC_H
/*
 * entry_codec - msgpack encoding of the messages between gateways
 *
 * A message is a header followed by entries.  Gateways do not share a clock,
 * so the instants of a slot request are sent as the time left, and decoded to
 * instants of the receiver's clock.
 */
#include "core/placement.h"

#define ENTRY_CODEC_MAX_BYTES 60000 /* of an encoded message */
#define ENTRY_MAX_BYTES 400	    /* of an encoded entry without its `key` and `bytes` */

typedef struct entry_writer entry_writer_t;

entry_writer_t *entry_writer_new(void);
void entry_writer_delete(entry_writer_t *this);
/* Discards the writer's contents and starts a message with its header. */
void entry_writer_begin(entry_writer_t *this, const message_header_t *header);
/* Appends an entry; `now` is the time from which the time left is computed. */
void entry_writer_add(entry_writer_t *this, const message_entry_t *entry, instant_t now);
/*
 * True when another entry might not fit.  Row chunks are larger than other
 * entries: check entry_writer_bytes_left() for them.
 */
bool entry_writer_is_full(const entry_writer_t *this);
/* Bytes left until the message reaches ENTRY_CODEC_MAX_BYTES. */
size_t entry_writer_bytes_left(const entry_writer_t *this);
/* The encoded message; valid until the writer is changed or deleted. */
const char *entry_writer_data(const entry_writer_t *this, size_t *size);

typedef struct entry_reader entry_reader_t;

/*
 * Decodes the header; NULL when `data` does not start with a valid one.
 * `data` is not copied and must outlive the reader.
 */
entry_reader_t *entry_reader_new(const char *data, size_t size, message_header_t *header);
/*
 * Decodes the next entry; false at the end or at malformed data.  `key` and
 * `bytes` of a row chunk point into `data`.
 */
bool entry_reader_next(entry_reader_t *this, message_entry_t *entry, instant_t now);
void entry_reader_delete(entry_reader_t *this);

#endif
