#ifndef DAEMON_EVENT_QUEUE_H
#define DAEMON_EVENT_QUEUE_H
/*
 * event_queue - a multi-producer, single-consumer queue of events
 *
 * Combines liburcu's wait-free queue with an eventfd, so that the consumer can
 * poll for events together with its sockets.  Producers never block.
 */
#include <stdbool.h>
#include <urcu/wfcqueue.h>

typedef struct event_queue {
	struct cds_wfcq_head head;
	struct cds_wfcq_tail tail;
	int fd; /* eventfd, readable while events may be queued */
} event_queue_t;

void event_queue_init(event_queue_t *this);
/* Closes the eventfd; events that are still queued are not freed. */
void event_queue_clear(event_queue_t *this);
void event_queue_push(event_queue_t *this, struct cds_wfcq_node *node);
/* Removes and returns the oldest event, NULL if the queue is empty. Consumer thread only. */
struct cds_wfcq_node *event_queue_pop(event_queue_t *this);

/* Makes `fd` readable, which wakes a thread that polls it. */
void event_fd_signal(int fd);
/* Makes `fd` unreadable again. */
void event_fd_drain(int fd);
/* Returns a new non-blocking eventfd; aborts the process if no descriptor is left. */
int event_fd_new(void);

#endif
