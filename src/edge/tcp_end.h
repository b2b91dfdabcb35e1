#ifndef EDGE_TCP_END_H
#define EDGE_TCP_END_H
/*
 * tcp_end - how the other side has ended a TCP connection
 *
 * The kernel reports an error of a connection once, to whichever read or write comes first; a
 * read after that looks like a regular end.  See tcp(7).
 */
#include <stdbool.h>

/* Whether a connection whose read has returned 0 was reset or has timed out. */
bool tcp_end_was_reset(int fd);
/* Whether the other host has not acknowledged all written bytes; it may still reset. */
bool tcp_end_is_pending(int fd);

#endif
