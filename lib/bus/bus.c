/* ZeroMQ context, and watchers for the edge-triggered descriptors of its sockets. */
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <zmq.h>

#include "bus/bus.h"
#include "bus/bus-int.h"

/* Messages read from a socket per loop iteration, so that no peer can monopolise the loop. */
#define READ_BURST_MAX 64
#define SOCKETS_MAX 4096

static void on_io(struct ev_loop *loop, ev_io *w, int events);
static void on_prepare(struct ev_loop *loop, ev_prepare *w, int events);
static void on_idle(struct ev_loop *loop, ev_idle *w, int events);

struct cs_bus *cs_bus_create(struct ev_loop *loop, const char *key_public, const char *key_secret,
			     struct cs_msg *msg)
{
	struct cs_bus *b = cs_xcalloc(1, sizeof(*b));

	b->loop = loop;
	TAILQ_INIT(&b->socks);
	TAILQ_INIT(&b->pending);
	if (!bus_set_keys(b, key_public, key_secret, msg)) {
		free(b);
		return NULL;
	}
	b->ctx = zmq_ctx_new();
	if (b->ctx == NULL) {
		cs_msg_set(msg, "cannot create the ZeroMQ context: %s", zmq_strerror(errno));
		free(b);
		return NULL;
	}
	zmq_ctx_set(b->ctx, ZMQ_MAX_SOCKETS, SOCKETS_MAX);
	ev_prepare_init(&b->prepare, on_prepare);
	ev_idle_init(&b->idle, on_idle);
	b->prepare.data = b->idle.data = b;
	ev_prepare_start(loop, &b->prepare);
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
		s->reading = false;
		cs_sock_close(s);
	}
	ev_prepare_stop(b->loop, &b->prepare);
	ev_idle_stop(b->loop, &b->idle);
	zmq_ctx_term(b->ctx);
	free(b);
}

struct cs_bus_stats *cs_bus_stats(struct cs_bus *b)
{
	return &b->stats;
}

void bus_sock_register(struct cs_sock *s)
{
	size_t size = sizeof(int);
	int fd = -1;

	zmq_getsockopt(s->zmq, ZMQ_FD, &fd, &size);
	ev_io_init(&s->io, on_io, fd, EV_READ);
	s->io.data = s;
	ev_io_start(s->bus->loop, &s->io);
	TAILQ_INSERT_TAIL(&s->bus->socks, s, entry);
	bus_sock_set_pending(s);
}

/* Has the socket's events read again before the loop blocks. */
void bus_sock_set_pending(struct cs_sock *s)
{
	if (s->pending)
		return;
	s->pending = true;
	TAILQ_INSERT_TAIL(&s->bus->pending, s, pending_entry);
}

void bus_sock_clear_pending(struct cs_sock *s)
{
	if (!s->pending)
		return;
	s->pending = false;
	TAILQ_REMOVE(&s->bus->pending, s, pending_entry);
}

/* Returns true if a message can be received; reading ZMQ_EVENTS also rearms the descriptor. */
static bool sock_readable(struct cs_sock *s)
{
	size_t size = sizeof(int);
	int events = 0;

	if (zmq_getsockopt(s->zmq, ZMQ_EVENTS, &events, &size) != 0)
		return false;
	return (events & ZMQ_POLLIN) != 0;
}

/* Reads up to READ_BURST_MAX messages; frees the socket if a callback closed it. */
static void sock_drain(struct cs_sock *s)
{
	unsigned n = 0;

	bus_sock_clear_pending(s);
	s->reading = true;
	while (!s->closed && sock_readable(s)) {
		if (n++ == READ_BURST_MAX) {
			bus_sock_set_pending(s);
			break;
		}
		s->read(s);
	}
	s->reading = false;
	if (s->closed)
		cs_sock_close(s);
}

static void on_io(struct ev_loop *loop, ev_io *w, int events)
{
	sock_drain(w->data);
}

/*
 * Keeps the loop from blocking while sockets are pending: a send may have made a socket readable
 * without a new event on its descriptor.
 */
static void on_prepare(struct ev_loop *loop, ev_prepare *w, int events)
{
	struct cs_bus *b = w->data;

	if (!TAILQ_EMPTY(&b->pending))
		ev_idle_start(loop, &b->idle);
}

static void on_idle(struct ev_loop *loop, ev_idle *w, int events)
{
	struct cs_bus *b = w->data;
	struct cs_sock *s, *last = TAILQ_LAST(&b->pending, bus_pending);
	bool done = last == NULL;

	ev_idle_stop(loop, &b->idle);
	while (!done && (s = TAILQ_FIRST(&b->pending)) != NULL) {
		done = s == last;
		sock_drain(s);
	}
}
