#include <poll.h>

#include "daemon/event_queue.h"
#include "filter/request.h"

static ticket_t *fill_ticket(const request_t *request)
{
	ticket_t *ticket = ticket_new();

	ticket->node.pool = request->service->id;
	ticket->node.workspace = request->workspace->id;
	ticket->node.hint = request->hint;
	ticket->node.prefix = request->prefix;
	ticket->node.deadline = request->deadline;
	return ticket;
}

/* Waits for the decision; a caller that hangs up has its place given up at once. */
static void wait_decided(request_t *request, ticket_t *ticket)
{
	struct pollfd items[] = {
		{.fd = ticket->decided_fd, .events = POLLIN},
		{.fd = request->caller_fd, .events = POLLRDHUP},
	};

	for (;;) {
		if (poll(items, ARRAY_LEN(items), -1) < 1)
			continue;
		if (items[0].revents)
			break;
		decider_cancel(request->router->decider, ticket);
		items[1].fd = -1;
	}
	event_fd_drain(ticket->decided_fd);
}

static reason_t run(request_t *request)
{
	ticket_t *ticket = fill_ticket(request);
	reason_t reason;

	decider_arrive(request->router->decider, ticket);
	wait_decided(request, ticket);
	if (ticket->started) {
		request->ticket = ticket;
		return REASON_NONE;
	}
	reason = ticket->reason;
	request->retry_after_s = ticket->retry_after_s;
	decider_discard(request->router->decider, ticket);
	return reason;
}

const filter_t queue_filter = {"queue", run};
