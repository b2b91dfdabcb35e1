#ifndef EDGE_MESSAGE_CODEC_H
#define EDGE_MESSAGE_CODEC_H
/*
 * message_codec - msgpack encoding of the nodes' messages (core/message.h)
 *
 * A message is one array: the version, the header's numbers in the order of
 * message_t, then each section as a flat array of numbers.  Decoding is
 * strict: an unknown version, a wrong type, a count above its limit or
 * trailing bytes reject the whole message.
 */
#include "core/message.h"

/* Upper bound of an encoded message's size, in bytes. */
#define MESSAGE_CODEC_MAX_BYTES 65536

/* Encodes into `buffer` of at least MESSAGE_CODEC_MAX_BYTES bytes; returns the encoded size. */
size_t message_encode(const message_t *message, char *buffer);
/* Decodes a message; `message` is unspecified on false. */
bool message_decode(const char *data, size_t size, message_t *message);

#endif
