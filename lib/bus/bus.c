/* Bus: context, counters and the loop side of edge-triggered ZeroMQ descriptors. */
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <zmq.h>

#include "bus/bus.h"
#include "bus/bus-int.h"

/* Messages read from one socket in a loop turn, so that one peer cannot hold the loop. */
#define READ_BURST 64

static void on_io(struct ev_loop *loop, ev_io *w, int events);
static void on_prepare(struct ev_loop *loop, ev_prepare *w, int events);
static void on_idle(struct ev_loop *loop, ev_idle *w, int events);

struct cs_bus *cs_bus_create(struct ev_loop *loop, const char *key_public, const char *key_secret,
			     struct cs_msg *msg)
{
	struct cs_bus *b = cs_xcalloc(1, sizeof(*b));

	b->loop = loop;
	TAILQ_INIT(&b->socks);
	TAILQ_INIT(&b->dirty);
	if (!bus_keys_set(b, key_public, key_secret, msg)) {
		free(b);
		return NULL;
	}
	b->ctx = zmq_ctx_new();
	if (b->ctx == NULL) {
		cs_msg_set(msg, "cannot create the ZeroMQ context: %s", zmq_strerror(errno));
		free(b);
		return NULL;
	}
	zmq_ctx_set(b->ctx, ZMQ_MAX_SOCKETS, 4096);
	ev_prepare_init(&b->before, on_prepare);
	ev_idle_init(&b->busy, on_idle);
	b->before.data = b->busy.data = b;
	ev_prepare_start(loop, &b->before);
	if (b->secure && !bus_zap_start(b, msg)) {
		cs_bus_destroy(b);
		return NULL;
	}
	return b;
}

void cs_bus_destroy(struct cs_bus *b)
{
	struct cs_sock *s;

	if (b == NULL)
		return;
	while ((s = TAILQ_FIRST(&b->socks)) != NULL) {
		s->in_call = false;
		cs_sock_close(s);
	}
	ev_prepare_stop(b->loop, &b->before);
	ev_idle_stop(b->loop, &b->busy);
	zmq_ctx_term(b->ctx);
	free(b);
}

struct cs_bus_stats *cs_bus_stats(struct cs_bus *b)
{
	return &b->stats;
}

void bus_sock_watch(struct cs_sock *s)
{
	size_t size = sizeof(int);
	int fd = -1;

	zmq_getsockopt(s->zmq, ZMQ_FD, &fd, &size);
	ev_io_init(&s->io, on_io, fd, EV_READ);
	s->io.data = s;
	ev_io_start(s->bus->loop, &s->io);
	TAILQ_INSERT_TAIL(&s->bus->socks, s, entry);
	bus_sock_dirty(s);
}

/* Marks a socket whose events must be read before the loop sleeps. */
void bus_sock_dirty(struct cs_sock *s)
{
	if (s->dirty)
		return;
	s->dirty = true;
	TAILQ_INSERT_TAIL(&s->bus->dirty, s, dirty_entry);
}

void bus_sock_clean(struct cs_sock *s)
{
	if (!s->dirty)
		return;
	s->dirty = false;
	TAILQ_REMOVE(&s->bus->dirty, s, dirty_entry);
}

/* True if a message waits; reading ZMQ_EVENTS also rearms the descriptor. */
static bool sock_readable(struct cs_sock *s)
{
	size_t size = sizeof(int);
	int events = 0;

	if (zmq_getsockopt(s->zmq, ZMQ_EVENTS, &events, &size) != 0)
		return false;
	return (events & ZMQ_POLLIN) != 0;
}

/* Reads until empty or the burst is used up; the socket may be closed on return. */
static void sock_drain(struct cs_sock *s)
{
	unsigned n = 0;

	bus_sock_clean(s);
	s->in_call = true;
	while (!s->closed && sock_readable(s)) {
		if (n++ == READ_BURST) {
			bus_sock_dirty(s);
			break;
		}
		s->read(s);
	}
	s->in_call = false;
	if (s->closed)
		cs_sock_close(s);
}

static void on_io(struct ev_loop *loop, ev_io *w, int events)
{
	sock_drain(w->data);
}

/* A socket that was written to may have become readable without a new descriptor event. */
static void on_prepare(struct ev_loop *loop, ev_prepare *w, int events)
{
	struct cs_bus *b = w->data;

	if (!TAILQ_EMPTY(&b->dirty))
		ev_idle_start(loop, &b->busy);
}

static void on_idle(struct ev_loop *loop, ev_idle *w, int events)
{
	struct cs_bus *b = w->data;
	struct cs_sock *s, *last = TAILQ_LAST(&b->dirty, bus_dirty);
	bool end = last == NULL;

	ev_idle_stop(loop, &b->busy);
	while (!end && (s = TAILQ_FIRST(&b->dirty)) != NULL) {
		end = s == last;
		sock_drain(s);
	}
}
