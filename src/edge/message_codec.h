#ifndef EDGE_MESSAGE_CODEC_H
#define EDGE_MESSAGE_CODEC_H
/*
 * message_codec - peer messages as msgpack
 *
 * One array: the version, the head's numbers in the order of message_t, then
 * each section as a flat array of numbers.  Decoding accepts nothing else: a
 * foreign version, a wrong type, a count over its bound or trailing bytes make
 * it fail, and nothing of the message is used.
 */
#include "core/message.h"

/* An upper bound of the encoded size in bytes. */
#define MESSAGE_CODEC_MAX 65536

/* Encodes into `buffer` of at least MESSAGE_CODEC_MAX bytes; returns the size. */
size_t message_encode(const message_t *message, char *buffer);
bool message_decode(const char *data, size_t size, message_t *message);

#endif
