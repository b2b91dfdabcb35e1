#ifndef CORE_LINK_WATCH_H
#define CORE_LINK_WATCH_H
/*
 * link_watch - whether the messages to one peer arrive
 *
 * A connection can go silent without an error, in one direction or both.  The peer confirms the
 * newest message that it has received; while a message stays unconfirmed for too long, the
 * connection must be renewed.  The time allowed doubles with each renewal without a confirmation,
 * up to LINK_WATCH_MAX_FACTOR times, as the peer itself may be down.
 *
 * Times are in microseconds; zeroed before its first use.
 */
#include "core/types.h"

#define LINK_WATCH_MAX_FACTOR 8

typedef struct link_watch {
	uint64_t awaited;     /* sequence number of a message sent, 0: none awaits confirmation */
	instant_t confirm_by; /* when it must be confirmed */
	unsigned int factor;  /* by which the time allowed is multiplied; 0 stands for 1 */
} link_watch_t;

/* Records that message `seq` is sent; the peer confirms it within `allowed` if it arrives. */
void link_watch_sent(link_watch_t *this, uint64_t seq, uint64_t allowed, instant_t now);
/* Records that the peer has received `seq`, and so all messages before. */
void link_watch_confirmed(link_watch_t *this, uint64_t seq);
/*
 * Returns whether the connection must be renewed; if so, the message sent next is the first one
 * on the new connection.
 */
bool link_watch_expire(link_watch_t *this, instant_t now);

#endif
