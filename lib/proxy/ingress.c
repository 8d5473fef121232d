/* HTTP server for clients: its listening socket and the life of the connections. */
#include <errno.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "proxy/ingress-int.h"

#define HANGUP_EVENTS_MAX 64
/* Connections accepted per turn of the loop. */
#define ACCEPT_BATCH_MAX 64
/* Pause of accepting after a failure, such as no free descriptor. */
#define ACCEPT_RETRY_US (100 * CS_US_PER_MS)
/* Before requests are sent on from a queue, in the same iteration of the loop. */
#define INPUT_PRIORITY 1

static void on_accept(struct ev_loop *loop, ev_io *w, int events);
static void on_accept_timer(struct cs_timer *t, void *arg);
static void on_readable(struct ev_loop *loop, ev_io *w, int events);
static void on_writable(struct ev_loop *loop, ev_io *w, int events);
static void on_timeout(struct cs_timer *t, void *arg);
static void on_hangup(struct ev_loop *loop, ev_io *w, int events);
static void on_prepare(struct ev_loop *loop, ev_prepare *w, int events);
static void on_keep_awake(struct ev_loop *loop, ev_idle *w, int events);
static void on_linger_cut(const struct cs_linger_cut *cut, void *arg);

struct cs_ingress *cs_ingress_create(struct ev_loop *loop, struct cs_timers *ts,
				     const struct cs_ingress_opts *opts, struct cs_msg *msg)
{
	struct cs_ingress *g = cs_xcalloc(1, sizeof(*g));

	g->fd = cs_listen(opts->addr, opts->port, &g->port, msg);
	if (g->fd < 0)
		goto fail;
	g->hangup_epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	if (g->hangup_epoll_fd < 0) {
		cs_msg_set(msg, "cannot create an epoll set: %s", strerror(errno));
		close(g->fd);
		goto fail;
	}
	g->loop = loop;
	g->timers = ts;
	g->ops = opts->ops;
	g->arg = opts->arg;
	g->idle_s = opts->idle_s;
	g->connections_max = opts->connections;
	g->head_max = opts->head_max;
	g->lingers = cs_linger_list_create(loop, ts, on_linger_cut, g);
	TAILQ_INIT(&g->conns);
	TAILQ_INIT(&g->idle);
	TAILQ_INIT(&g->ready);
	ev_io_init(&g->accept, on_accept, g->fd, EV_READ);
	ev_io_init(&g->hangup, on_hangup, g->hangup_epoll_fd, EV_READ);
	ev_set_priority(&g->hangup, INPUT_PRIORITY);
	ev_prepare_init(&g->prepare, on_prepare);
	ev_idle_init(&g->keep_awake, on_keep_awake);
	g->accept.data = g->hangup.data = g->prepare.data = g->keep_awake.data = g;
	cs_timer_init(&g->accept_timer, on_accept_timer, g);
	ev_io_start(loop, &g->accept);
	ev_io_start(loop, &g->hangup);
	ev_prepare_start(loop, &g->prepare);
	return g;
fail:
	free(g);
	return NULL;
}

void cs_ingress_destroy(struct cs_ingress *g)
{
	struct conn *c;

	if (g == NULL)
		return;
	cs_ingress_stop_listening(g);
	g->destroying = true;
	while ((c = TAILQ_FIRST(&g->conns)) != NULL)
		conn_destroy(c, CS_CALL_CLIENT_CLOSED);
	ev_io_stop(g->loop, &g->hangup);
	ev_prepare_stop(g->loop, &g->prepare);
	ev_idle_stop(g->loop, &g->keep_awake);
	close(g->hangup_epoll_fd);
	cs_linger_list_destroy(g->lingers);
	free(g);
}

uint16_t cs_ingress_port(const struct cs_ingress *g)
{
	return g->port;
}

void cs_ingress_set_idle_timeout(struct cs_ingress *g, unsigned idle_s)
{
	g->idle_s = idle_s;
}

void cs_ingress_disable_keep_alive(struct cs_ingress *g)
{
	g->keep_alive_disabled = true;
}

/*
 * Reads input that has arrived and was not reported yet, such as a request; false if there is none.
 * The connection may be destroyed.
 */
static bool read_waiting(struct conn *c)
{
	struct pollfd p = {.fd = c->fd, .events = POLLIN};

	if (!ev_is_active(&c->readable) || poll(&p, 1, 0) <= 0)
		return false;
	on_readable(c->owner->loop, &c->readable, EV_READ);
	return true;
}

void cs_ingress_close_idle(struct cs_ingress *g)
{
	struct conn *c, *next;

	TAILQ_FOREACH_SAFE(c, &g->idle, idle_entry, next)
		if (!read_waiting(c))
			conn_destroy(c, CS_CALL_IDLE);
}

unsigned cs_ingress_calls(const struct cs_ingress *g)
{
	return g->n_calls;
}

unsigned cs_ingress_connections(const struct cs_ingress *g)
{
	return g->n_conns;
}

unsigned cs_ingress_lingering(const struct cs_ingress *g)
{
	return cs_linger_count(g->lingers);
}

bool ingress_place_is_wanted(const struct cs_ingress *g)
{
	struct pollfd p = {.fd = g->fd, .events = POLLIN};

	return g->n_conns >= g->connections_max && g->fd >= 0 && poll(&p, 1, 0) > 0;
}

/* Accepts connections again after there was no room for one. */
static void resume_accept(struct cs_ingress *g)
{
	if (g->fd >= 0 && !cs_timer_active(&g->accept_timer))
		ev_io_start(g->loop, &g->accept);
}

/* Enters or leaves the list of idle connections. */
static void set_idle(struct conn *c, bool idle)
{
	if (c->idle == idle)
		return;
	c->idle = idle;
	if (!idle) {
		TAILQ_REMOVE(&c->owner->idle, c, idle_entry);
		return;
	}
	TAILQ_INSERT_TAIL(&c->owner->idle, c, idle_entry);
	resume_accept(c->owner);
}

static void watch_hangup(struct conn *c, bool on)
{
	struct epoll_event ev = {.events = EPOLLRDHUP | EPOLLET, .data.ptr = c};

	if (c->hangup_watched == on)
		return;
	c->hangup_watched = on;
	epoll_ctl(c->owner->hangup_epoll_fd, on ? EPOLL_CTL_ADD : EPOLL_CTL_DEL, c->fd, &ev);
}

void conn_active(struct conn *c)
{
	c->active_us = cs_mono_us();
	c->idle_s = c->owner->idle_s;
}

/* Time between checks whether a client takes its output. */
static uint64_t output_check_us(const struct cs_ingress *g)
{
	return g->idle_s * CS_US_PER_S / 4;
}

/* True if there is room for input, and the input is of use. */
static bool wants_input(const struct conn *c)
{
	size_t max = c->owner->head_max + INPUT_BLOCK_SIZE;

	return !c->body_blocked && c->in_len < max && (!c->input_closed || c->reading != NULL);
}

/* True if the next step is the client's: to take output, or to send a request or its body. */
static bool awaits_client(const struct conn *c)
{
	if (c->output_due || c->n_calls == 0)
		return true;
	/* Once it has responded, the owner needs no more of the body. */
	return c->reading != NULL && !c->reading->responded && !c->body_blocked;
}

/*
 * True if the client has acknowledged data since the last call. The socket of a slow client reports
 * only now and then that it can be written.
 */
static bool client_takes_output(struct conn *c)
{
	uint64_t before = c->taken;
	int queued;

	if (ioctl(c->fd, SIOCOUTQ, &queued) != 0)
		return false;
	c->taken = c->sent - (uint64_t)queued;
	return c->taken > before;
}

/* The time that a client waited for the owner does not count as its idle time. */
static void update_awaits_client(struct conn *c)
{
	bool before = c->awaits_client;

	c->awaits_client = awaits_client(c);
	if (!c->awaits_client || before)
		return;
	conn_active(c);
	if (!c->output_due)
		return;
	client_takes_output(c);
	cs_timer_start(c->owner->timers, &c->timeout, output_check_us(c->owner));
}

void conn_watch(struct conn *c)
{
	struct ev_loop *loop = c->owner->loop;
	const struct cs_call *call = TAILQ_FIRST(&c->calls);
	bool input = wants_input(c);

	c->output_due = c->out_pos < c->out_len ||
			(call != NULL && call->head_written && call->body != NULL);
	if (input)
		ev_io_start(loop, &c->readable);
	else
		ev_io_stop(loop, &c->readable);
	watch_hangup(c, !input);
	if (c->output_due)
		ev_io_start(loop, &c->writable);
	else
		ev_io_stop(loop, &c->writable);
	update_awaits_client(c);
	set_idle(c, c->n_calls == 0 && c->held == NULL && c->in_len == 0);
	if (!c->idle || c->in == NULL)
		return;
	/* Most connections are idle most of the time. */
	free(c->in);
	c->in = NULL;
	c->in_size = 0;
}

void conn_schedule(struct conn *c)
{
	if (c->ready)
		return;
	c->ready = true;
	TAILQ_INSERT_TAIL(&c->owner->ready, c, ready_entry);
	ev_idle_start(c->owner->loop, &c->owner->keep_awake);
}

/* Reports the requests in progress as disconnected, then as done, and frees them. */
static void end_calls(struct conn *c, enum cs_call_end end)
{
	struct cs_ingress *g = c->owner;
	struct cs_call *call;

	while ((call = TAILQ_FIRST(&c->calls)) != NULL) {
		TAILQ_REMOVE(&c->calls, call, entry);
		c->n_calls--;
		g->n_calls--;
		if (call->begun && !g->destroying)
			g->ops->disconnected(call, end, g->arg);
		call_destroy(call);
	}
	if (c->held != NULL)
		call_destroy(c->held);
	c->held = NULL;
}

/* Frees a connection, whose descriptor stays open and is returned. */
static int conn_release(struct conn *c, enum cs_call_end end)
{
	struct cs_ingress *g = c->owner;
	int fd = c->fd;

	end_calls(c, end);
	ev_io_stop(g->loop, &c->readable);
	ev_io_stop(g->loop, &c->writable);
	watch_hangup(c, false);
	cs_timer_stop(&c->timeout);
	set_idle(c, false);
	if (c->ready)
		TAILQ_REMOVE(&g->ready, c, ready_entry);
	TAILQ_REMOVE(&g->conns, c, entry);
	if (g->n_conns-- == g->connections_max)
		resume_accept(g);
	free(c->last.name);
	free(c->in);
	free(c->out);
	free(c);
	return fd;
}

void conn_destroy(struct conn *c, enum cs_call_end end)
{
	close(conn_release(c, end));
}

void conn_close(struct conn *c)
{
	struct cs_linger_list *lingers = c->owner->lingers;
	struct cs_linger_request last = c->last;

	shutdown(c->fd, SHUT_WR);
	if (c->input_ended) {
		conn_destroy(c, CS_CALL_CLIENT_CLOSED);
		return;
	}
	c->last.name = NULL;
	cs_linger_add(lingers, conn_release(c, CS_CALL_CLIENT_CLOSED), &last);
}

static void on_linger_cut(const struct cs_linger_cut *cut, void *arg)
{
	struct cs_ingress *g = arg;

	if (g->ops->cut != NULL)
		g->ops->cut(cut, g->arg);
}

/* Reads, writes and begins what is possible. */
static void conn_run(struct conn *c)
{
	if (!c->input_ended)
		conn_parse(c);
	if (c->input_ended) {
		conn_destroy(c, CS_CALL_CLIENT_CLOSED);
		return;
	}
	if (!conn_write(c))
		return;
	/* Requests that waited for a response which was just sent. */
	conn_parse(c);
	conn_watch(c);
}

static void on_prepare(struct ev_loop *loop, ev_prepare *w, int events)
{
	struct cs_ingress *g = w->data;
	struct conn *c;

	ev_idle_stop(loop, &g->keep_awake);
	while ((c = TAILQ_FIRST(&g->ready)) != NULL) {
		TAILQ_REMOVE(&g->ready, c, ready_entry);
		c->ready = false;
		conn_run(c);
	}
}

static void on_keep_awake(struct ev_loop *loop, ev_idle *w, int events)
{
}

static void on_readable(struct ev_loop *loop, ev_io *w, int events)
{
	struct conn *c = w->data;
	size_t max = c->owner->head_max + INPUT_BLOCK_SIZE, size = c->in_len + INPUT_BLOCK_SIZE;
	ssize_t n;

	if (size > max)
		size = max;
	if (size > c->in_size) {
		c->in = cs_xrealloc(c->in, size, 1);
		c->in_size = size;
	}
	n = recv(c->fd, c->in + c->in_len, c->in_size - c->in_len, MSG_DONTWAIT);
	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (!c->output_due)
		conn_active(c);
	if (n > 0)
		c->in_len += (size_t)n;
	else
		c->input_ended = true;
	/* After the end of input only a request that was never read is of interest, to be counted. */
	if (!c->input_ended || c->reading == NULL)
		conn_parse(c);
	if (c->input_ended) {
		conn_destroy(c, CS_CALL_CLIENT_CLOSED);
		return;
	}
	conn_watch(c);
}

static void on_writable(struct ev_loop *loop, ev_io *w, int events)
{
	struct conn *c = w->data;

	conn_schedule(c);
	ev_io_stop(loop, w);
}

static void on_hangup(struct ev_loop *loop, ev_io *w, int events)
{
	struct epoll_event ev[HANGUP_EVENTS_MAX];
	struct cs_ingress *g = w->data;
	int n, i;

	n = epoll_wait(g->hangup_epoll_fd, ev, HANGUP_EVENTS_MAX, 0);
	for (i = 0; i < n; i++)
		conn_destroy(ev[i].data.ptr, CS_CALL_CLIENT_CLOSED);
}

/* Closes a connection that is idle, sends no complete request, or does not take its response. */
static void on_timeout(struct cs_timer *t, void *arg)
{
	struct conn *c = arg;
	unsigned idle_s = c->owner->idle_s;
	uint64_t idle_us, since = 0, next_us;

	if (c->output_due && client_takes_output(c))
		conn_active(c);
	/* A client may not know yet that the timeout was lowered. */
	if (c->idle && c->idle_s > idle_s)
		idle_s = c->idle_s;
	idle_us = idle_s * CS_US_PER_S;
	if (c->awaits_client)
		since = cs_mono_us() - c->active_us;
	next_us = since < idle_us ? idle_us - since : idle_us;
	if (c->output_due && next_us > output_check_us(c->owner))
		next_us = output_check_us(c->owner);
	cs_timer_start(c->owner->timers, t, next_us);
	if (since < idle_us || (!c->output_due && read_waiting(c)))
		return;
	/* No lingering: a reset shows the client that a request that is in transit was not read. */
	conn_destroy(c, CS_CALL_IDLE);
}

static void conn_create(struct cs_ingress *g, int fd)
{
	struct conn *c = cs_xcalloc(1, sizeof(*c));
	int one = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	c->owner = g;
	c->fd = fd;
	conn_active(c);
	TAILQ_INIT(&c->calls);
	ev_io_init(&c->readable, on_readable, fd, EV_READ);
	ev_io_init(&c->writable, on_writable, fd, EV_WRITE);
	ev_set_priority(&c->readable, INPUT_PRIORITY);
	c->readable.data = c->writable.data = c;
	cs_timer_init(&c->timeout, on_timeout, c);
	cs_timer_start(g->timers, &c->timeout, g->idle_s * CS_US_PER_S);
	TAILQ_INSERT_TAIL(&g->conns, c, entry);
	g->n_conns++;
	conn_watch(c);
	/* The request often arrives with the connection. */
	on_readable(g->loop, &c->readable, EV_READ);
}

/* The connection that has been idle for longest; reads the requests that have arrived on others. */
static struct conn *find_idle(struct cs_ingress *g)
{
	struct conn *c, *next;

	TAILQ_FOREACH_SAFE(c, &g->idle, idle_entry, next)
		if (!read_waiting(c))
			return c;
	return NULL;
}

/* Where the place of a new connection comes from. */
struct place {
	enum { PLACE_FREE, PLACE_LINGERING, PLACE_IDLE, PLACE_NONE } kind;
	union {
		bool sending; /* PLACE_LINGERING: the client is still sending */
		struct conn *idle; /* PLACE_IDLE */
	} u;
};

/* A lingering connection holds a descriptor too. */
static bool has_free_place(const struct cs_ingress *g)
{
	return g->n_conns + cs_linger_count(g->lingers) < g->connections_max;
}

/* Prefers connections on which nothing is under way. */
static struct place find_place(struct cs_ingress *g)
{
	struct place p = {.kind = PLACE_FREE};

	if (has_free_place(g))
		return p;
	p.kind = PLACE_LINGERING;
	if (cs_linger_has(g->lingers, false))
		return p;
	p.kind = PLACE_IDLE;
	p.u.idle = find_idle(g);
	if (p.u.idle != NULL)
		return p;
	/* An idle connection may have ended when it was read. */
	p.kind = PLACE_FREE;
	if (has_free_place(g))
		return p;
	p.kind = cs_linger_has(g->lingers, true) ? PLACE_LINGERING : PLACE_NONE;
	p.u.sending = true;
	return p;
}

static void take_place(struct cs_ingress *g, const struct place *p)
{
	switch (p->kind) {
	case PLACE_LINGERING:
		cs_linger_drop(g->lingers, p->u.sending);
		break;
	case PLACE_IDLE:
		conn_destroy(p->u.idle, CS_CALL_IDLE);
		break;
	case PLACE_FREE:
	case PLACE_NONE:
		break;
	}
}

/* Accepts up to max connections; returns false if none is left or there is no room. */
static bool accept_batch(struct cs_ingress *g, unsigned max)
{
	struct place place;
	int fd;

	while (max-- > 0) {
		place = find_place(g);
		if (place.kind == PLACE_NONE) {
			if (TAILQ_EMPTY(&g->idle))
				ev_io_stop(g->loop, &g->accept);
			return false;
		}
		fd = accept4(g->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
		if (fd >= 0) {
			take_place(g, &place);
			conn_create(g, fd);
			continue;
		}
		if (errno == EINTR || errno == ECONNABORTED)
			continue;
		if (errno != EAGAIN) {
			cs_log(CS_WARNING, "ingress", "Cannot accept a connection. error=\"%s\"",
			       strerror(errno));
			ev_io_stop(g->loop, &g->accept);
			cs_timer_start(g->timers, &g->accept_timer, ACCEPT_RETRY_US);
		}
		return false;
	}
	return true;
}

static void on_accept(struct ev_loop *loop, ev_io *w, int events)
{
	accept_batch(w->data, ACCEPT_BATCH_MAX);
}

static void on_accept_timer(struct cs_timer *t, void *arg)
{
	struct cs_ingress *g = arg;

	if (g->fd >= 0)
		ev_io_start(g->loop, &g->accept);
}

void cs_ingress_stop_listening(struct cs_ingress *g)
{
	if (g->fd < 0)
		return;
	/* Closing the socket would reset the connections that were not accepted yet. */
	while (accept_batch(g, ACCEPT_BATCH_MAX))
		continue;
	ev_io_stop(g->loop, &g->accept);
	cs_timer_stop(&g->accept_timer);
	close(g->fd);
	g->fd = -1;
}
