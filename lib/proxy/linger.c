/* Reads and discards the input of connections that are being closed. */
#include <errno.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "proxy/linger.h"

#define LINGER_TIMEOUT_US (3 * CS_US_PER_S)
#define LINGER_CONNS_MAX 256 /* further connections are closed without lingering */
#define READ_BLOCK_SIZE (64 * 1024)
#define READ_BLOCKS_MAX 16 /* per loop iteration */

struct linger_conn {
	LIST_ENTRY(linger_conn) entry;
	struct cs_linger_list *owner;
	ev_io io;
	struct cs_timer timeout;
	int fd;
};

struct cs_linger_list {
	struct ev_loop *loop;
	struct cs_timers *timers;
	LIST_HEAD(, linger_conn) list;
	unsigned n;
};

static void on_timeout(struct cs_timer *t, void *arg);
static void on_input(struct ev_loop *loop, ev_io *w, int events);

struct cs_linger_list *cs_linger_list_create(struct ev_loop *loop, struct cs_timers *ts)
{
	struct cs_linger_list *ll = cs_xcalloc(1, sizeof(*ll));

	ll->loop = loop;
	ll->timers = ts;
	LIST_INIT(&ll->list);
	return ll;
}

static void linger_conn_destroy(struct linger_conn *c)
{
	struct cs_linger_list *ll = c->owner;

	ev_io_stop(ll->loop, &c->io);
	cs_timer_stop(&c->timeout);
	LIST_REMOVE(c, entry);
	ll->n--;
	close(c->fd);
	free(c);
}

void cs_linger_list_destroy(struct cs_linger_list *ll)
{
	struct linger_conn *c, *next;

	if (ll == NULL)
		return;
	LIST_FOREACH_SAFE(c, &ll->list, entry, next)
		linger_conn_destroy(c);
	free(ll);
}

static void on_timeout(struct cs_timer *t, void *arg)
{
	linger_conn_destroy(arg);
}

static void on_input(struct ev_loop *loop, ev_io *w, int events)
{
	static char block[READ_BLOCK_SIZE];
	struct linger_conn *c = w->data;
	ssize_t n = 1;
	int i;

	for (i = 0; i < READ_BLOCKS_MAX && n > 0; i++)
		n = recv(c->fd, block, sizeof(block), MSG_DONTWAIT);
	if (n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR))
		linger_conn_destroy(c);
}

void cs_linger_add(struct cs_linger_list *ll, int fd)
{
	struct linger_conn *c;

	if (ll->n >= LINGER_CONNS_MAX)
		return;
	fd = dup(fd);
	if (fd < 0)
		return;
	c = cs_xcalloc(1, sizeof(*c));
	c->owner = ll;
	c->fd = fd;
	ev_io_init(&c->io, on_input, fd, EV_READ);
	c->io.data = c;
	ev_io_start(ll->loop, &c->io);
	cs_timer_init(&c->timeout, on_timeout, c);
	cs_timer_start(ll->timers, &c->timeout, LINGER_TIMEOUT_US);
	LIST_INSERT_HEAD(&ll->list, c, entry);
	ll->n++;
}

unsigned cs_linger_count(const struct cs_linger_list *ll)
{
	return ll->n;
}
