/* Reads and drops input of connections that are about to be closed. */
#include <errno.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "proxy/linger.h"

#define LINGER_US (3 * CS_US_PER_S)
#define LINGER_MAX 256 /* connections; more are closed at once */
#define DISCARD_BLOCK (64 * 1024)
#define DISCARD_ROUNDS 16 /* blocks read in one turn */

struct discard {
	LIST_ENTRY(discard) entry;
	struct cs_lingers *owner;
	ev_io io;
	struct cs_timer timeout;
	int fd;
};

struct cs_lingers {
	struct ev_loop *loop;
	struct cs_timers *timers;
	LIST_HEAD(, discard) list;
	unsigned n;
};

static void on_timeout(struct cs_timer *t, void *arg);
static void on_input(struct ev_loop *loop, ev_io *w, int events);

struct cs_lingers *cs_lingers_create(struct ev_loop *loop, struct cs_timers *ts)
{
	struct cs_lingers *ls = cs_xcalloc(1, sizeof(*ls));

	ls->loop = loop;
	ls->timers = ts;
	LIST_INIT(&ls->list);
	return ls;
}

static void linger_destroy(struct discard *l)
{
	struct cs_lingers *ls = l->owner;

	ev_io_stop(ls->loop, &l->io);
	cs_timer_stop(&l->timeout);
	LIST_REMOVE(l, entry);
	ls->n--;
	close(l->fd);
	free(l);
}

void cs_lingers_destroy(struct cs_lingers *ls)
{
	struct discard *l, *next;

	if (ls == NULL)
		return;
	LIST_FOREACH_SAFE(l, &ls->list, entry, next)
		linger_destroy(l);
	free(ls);
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

void cs_linger(struct cs_lingers *ls, int fd)
{
	struct discard *l;

	if (ls->n >= LINGER_MAX)
		return;
	fd = dup(fd);
	if (fd < 0)
		return;
	l = cs_xcalloc(1, sizeof(*l));
	l->owner = ls;
	l->fd = fd;
	ev_io_init(&l->io, on_input, fd, EV_READ);
	l->io.data = l;
	ev_io_start(ls->loop, &l->io);
	cs_timer_init(&l->timeout, on_timeout, l);
	cs_timer_start(ls->timers, &l->timeout, LINGER_US);
	LIST_INSERT_HEAD(&ls->list, l, entry);
	ls->n++;
}
