/*
 * Answers that come before the end of the request's body. Closing a socket with unread input makes
 * the kernel reset the connection, and the caller may lose the answer. A duplicate of the
 * descriptor keeps the connection open and is read until the caller has closed its side.
 */
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "src/proxyd/proxyd.h"

#define LINGER_US (3 * CS_US_PER_S)
#define LINGER_MAX 256 /* connections; more are closed at once */
#define DISCARD_BLOCK (64 * 1024)
#define DISCARD_ROUNDS 16 /* blocks read in one turn */

struct discard {
	LIST_ENTRY(discard) entry;
	struct proxyd *proxyd;
	ev_io io;
	struct cs_timer timeout;
	int fd;
};

static void linger_destroy(struct discard *l)
{
	struct proxyd *p = l->proxyd;

	ev_io_stop(p->loop, &l->io);
	cs_timer_stop(&l->timeout);
	LIST_REMOVE(l, entry);
	p->n_lingers--;
	close(l->fd);
	free(l);
}

static void on_timeout(struct cs_timer *t, void *arg)
{
	linger_destroy(arg);
}

static void on_input(struct ev_loop *loop, ev_io *w, int events)
{
	static char block[DISCARD_BLOCK];
	struct discard *l = w->data;
	ssize_t n = 1;
	int i;

	for (i = 0; i < DISCARD_ROUNDS && n > 0; i++)
		n = recv(l->fd, block, sizeof(block), MSG_DONTWAIT);
	if (n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR))
		linger_destroy(l);
}

void linger_start(struct proxyd *p, int fd)
{
	struct discard *l;

	if (p->n_lingers >= LINGER_MAX)
		return;
	fd = dup(fd);
	if (fd < 0)
		return;
	l = cs_xcalloc(1, sizeof(*l));
	l->proxyd = p;
	l->fd = fd;
	ev_io_init(&l->io, on_input, fd, EV_READ);
	l->io.data = l;
	ev_io_start(p->loop, &l->io);
	cs_timer_init(&l->timeout, on_timeout, l);
	cs_timer_start(p->timers, &l->timeout, LINGER_US);
	LIST_INSERT_HEAD(&p->lingers, l, entry);
	p->n_lingers++;
}

void lingers_stop(struct proxyd *p)
{
	struct discard *l, *next;

	LIST_FOREACH_SAFE(l, &p->lingers, entry, next)
		linger_destroy(l);
}
