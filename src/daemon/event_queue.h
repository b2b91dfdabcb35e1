#ifndef DAEMON_EVENT_QUEUE_H
#define DAEMON_EVENT_QUEUE_H
/*
 * event_queue - many threads hand events to one, without waiting
 *
 * liburcu's wait-free queue and an eventfd that is readable while events wait.
 */
#include <stdbool.h>
#include <urcu/wfcqueue.h>

typedef struct event_queue {
	struct cds_wfcq_head head;
	struct cds_wfcq_tail tail;
	int fd;
} event_queue_t;

void event_queue_init(event_queue_t *this);
void event_queue_clear(event_queue_t *this);
void event_queue_push(event_queue_t *this, struct cds_wfcq_node *node);
/* The oldest event, NULL when there is none. For the one reading thread. */
struct cds_wfcq_node *event_queue_pop(event_queue_t *this);

/* Wakes whoever polls `fd`. */
void event_fd_signal(int fd);
void event_fd_drain(int fd);
int event_fd_new(void);

#endif
