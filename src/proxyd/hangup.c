/*
 * MHD does not watch the socket of a suspended connection, so a caller that leaves while its
 * request waits for a server would go unnoticed. A second epoll set watches all callers' sockets
 * for the end of input only, edge-triggered: one system call a connection, none a request.
 */
#include <stdlib.h>
#include <sys/epoll.h>
#include <unistd.h>

#include "src/proxyd/proxyd.h"

#define EVENTS_MAX 64

struct hangup {
	struct ev_loop *loop;
	ev_io io;
	int fd;
};

static void on_hangup(struct ev_loop *loop, ev_io *w, int events)
{
	struct epoll_event ev[EVENTS_MAX];
	struct hangup *h = w->data;
	struct conn *c;
	int n, i;

	n = epoll_wait(h->fd, ev, EVENTS_MAX, 0);
	/* request_gone defers what could free a connection, so that all of ev stays valid. */
	for (i = 0; i < n; i++) {
		c = ev[i].data.ptr;
		if (c->req != NULL)
			request_gone(c->req);
	}
}

struct hangup *hangup_create(struct ev_loop *loop)
{
	struct hangup *h = cs_xcalloc(1, sizeof(*h));

	h->loop = loop;
	h->fd = epoll_create1(EPOLL_CLOEXEC);
	ev_io_init(&h->io, on_hangup, h->fd, EV_READ);
	h->io.data = h;
	ev_io_start(loop, &h->io);
	return h;
}

void hangup_destroy(struct hangup *h)
{
	if (h == NULL)
		return;
	ev_io_stop(h->loop, &h->io);
	close(h->fd);
	free(h);
}

void hangup_add(struct hangup *h, struct conn *c)
{
	struct epoll_event ev = {.events = EPOLLRDHUP | EPOLLET, .data.ptr = c};

	epoll_ctl(h->fd, EPOLL_CTL_ADD, c->fd, &ev);
}

void hangup_remove(struct hangup *h, struct conn *c)
{
	epoll_ctl(h->fd, EPOLL_CTL_DEL, c->fd, NULL);
}
