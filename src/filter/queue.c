#include <poll.h>

#include "daemon/event_queue.h"
#include "filter/request.h"

/* Creates the ticket that is submitted for the request. */
static ticket_t *make_ticket(const request_t *request)
{
	ticket_t *ticket = ticket_new();

	ticket->node.pool = request->service->id;
	ticket->node.workspace = request->workspace->id;
	ticket->node.hint = request->hint;
	ticket->node.prefix = request->prefix_hash;
	ticket->node.deadline = request->deadline;
	return ticket;
}

/* Waits for the decision. If the caller hangs up, cancels the request and waits for that. */
static void wait_for_decision(request_t *request, ticket_t *ticket)
{
	struct pollfd fds[] = {
		{.fd = ticket->decided_fd, .events = POLLIN},
		{.fd = request->caller_fd, .events = POLLRDHUP},
	};

	for (;;) {
		if (poll(fds, ARRAY_LEN(fds), -1) < 1)
			continue;
		if (fds[0].revents)
			break;
		node_thread_cancel(request->router->node_thread, ticket);
		fds[1].fd = -1; /* cancel once only; poll() ignores negative descriptors */
	}
	event_fd_drain(ticket->decided_fd);
}

static reason_t run(request_t *request)
{
	ticket_t *ticket = make_ticket(request);
	reason_t reason;

	node_thread_submit(request->router->node_thread, ticket);
	wait_for_decision(request, ticket);
	if (ticket->started) {
		request->ticket = ticket;
		return REASON_NONE;
	}
	reason = ticket->reason;
	request->retry_after_s = ticket->retry_after_s;
	node_thread_discard(request->router->node_thread, ticket);
	return reason;
}

const filter_t queue_filter = {"queue", run};
