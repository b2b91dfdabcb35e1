#include "daemon/event_queue.h"

#include <stdint.h>
#include <stdlib.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "settings/tsan_annotations.h"

int event_fd_new(void)
{
	int fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);

	if (fd < 0)
		abort(); /* out of descriptors: the node thread could decide no more requests */
	return fd;
}

void event_fd_signal(int fd)
{
	uint64_t one = 1;
	ssize_t written = write(fd, &one, sizeof(one));

	(void)written; /* EAGAIN means that the counter is full, so the fd is readable already */
}

void event_fd_drain(int fd)
{
	uint64_t count;
	ssize_t got = read(fd, &count, sizeof(count));

	(void)got; /* EAGAIN means that the fd is drained already */
}

void event_queue_init(event_queue_t *this)
{
	cds_wfcq_init(&this->head, &this->tail);
	this->fd = event_fd_new();
}

void event_queue_clear(event_queue_t *this)
{
	close(this->fd);
}

void event_queue_push(event_queue_t *this, struct cds_wfcq_node *node)
{
	cds_wfcq_node_init(node);
	TSAN_RELEASE(node);
	cds_wfcq_enqueue(&this->head, &this->tail, node);
	event_fd_signal(this->fd);
}

struct cds_wfcq_node *event_queue_pop(event_queue_t *this)
{
	struct cds_wfcq_node *node = __cds_wfcq_dequeue_blocking(&this->head, &this->tail);

	if (node)
		TSAN_ACQUIRE(node);
	return node;
}
