/*
 * Relayed connections. Each direction of a connection has a queue of chunks with delivery times.
 * Directions with pending chunks are in a tree by the next delivery time, served by one timerfd.
 *
 * The relay accepts a client before it knows whether the upstream accepts. If the upstream refuses,
 * the client's connection is reset and logged, and the listener is closed until the upstream
 * accepts again, so that later clients are refused as they would be without the relay.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/timerfd.h>
#include <unistd.h>

#include "tests/standins/links/links.h"

#define CHUNK_BYTES 65536
#define PROBE_INTERVAL_US (30 * CS_US_PER_MS)
#define QUEUE_MAX_BYTES (4 * 1024 * 1024) /* of one direction */
#define COPY_MAX_BYTES 8192 /* longer responses are not copied */

struct chunk {
	STAILQ_ENTRY(chunk) entry;
	uint64_t due_us;
	size_t len, pos; /* len 0: end of the stream */
	char data[];
};

struct conn;

/* One direction of a connection. */
struct flow {
	RB_ENTRY(flow) entry;
	struct conn *conn;
	struct zone_pair *pair;
	int from, to; /* file descriptors */
	ev_io in, out;
	STAILQ_HEAD(, chunk) chunks;
	size_t queued_bytes;
	uint64_t due_us;
	bool scheduled; /* in the tree */
	bool input_ended; /* end of the stream was read */
	bool output_ended; /* end of the stream was delivered */
	uint64_t *bytes; /* counter of delivered bytes */
};

struct conn {
	LIST_ENTRY(conn) entry;
	struct flow up, down; /* up: client to upstream */
	int client_fd, upstream_fd;
	bool connecting;
	struct listener *listener;
	struct sockaddr_in client_addr;
	char response[COPY_MAX_BYTES]; /* received since the last data from the client */
	size_t response_len;
};

RB_HEAD(flow_tree, flow);

static struct flow_tree tree = RB_INITIALIZER(&tree);
static LIST_HEAD(, conn) conns = LIST_HEAD_INITIALIZER(conns);
static unsigned n_conns;
static int timer_fd;
static ev_io timer_io;
static FILE *log_file;

static int flow_compare(struct flow *a, struct flow *b);
CS_RB_GENERATE(flow_tree, flow, entry, flow_compare)

static void flow_deliver(struct flow *f);
static void on_upstream_refused(struct conn *c);

static int flow_compare(struct flow *a, struct flow *b)
{
	if (a->due_us != b->due_us)
		return a->due_us < b->due_us ? -1 : 1;
	return a < b ? -1 : a > b;
}

static void arm_timer(void)
{
	struct flow *f = RB_MIN(flow_tree, &tree);
	struct itimerspec it = {0};

	if (f != NULL) {
		it.it_value.tv_sec = (time_t)(f->due_us / CS_US_PER_S);
		it.it_value.tv_nsec = (long)(f->due_us % CS_US_PER_S) * 1000 + 1;
	}
	timerfd_settime(timer_fd, TFD_TIMER_ABSTIME, &it, NULL);
}

static void flow_unschedule(struct flow *f)
{
	if (f->scheduled)
		RB_REMOVE(flow_tree, &tree, f);
	f->scheduled = false;
}

/*
 * Schedules the delivery of the first chunk, unless the zone pair is in black hole mode, the output
 * socket is not writable or the upstream connection is not yet established.
 */
static void flow_schedule(struct flow *f)
{
	struct chunk *c = STAILQ_FIRST(&f->chunks);

	flow_unschedule(f);
	if (c == NULL || f->pair->mode == MODE_BLACK_HOLE || ev_is_active(&f->out) ||
	    f->conn->connecting)
		return;
	f->due_us = c->due_us;
	f->scheduled = true;
	RB_INSERT(flow_tree, &tree, f);
}

static void flow_free(struct flow *f)
{
	struct chunk *c;

	flow_unschedule(f);
	ev_io_stop(loop, &f->in);
	ev_io_stop(loop, &f->out);
	while ((c = STAILQ_FIRST(&f->chunks)) != NULL) {
		STAILQ_REMOVE_HEAD(&f->chunks, entry);
		free(c);
	}
}

static void conn_close(struct conn *c, bool reset)
{
	struct linger no_linger = {.l_onoff = 1, .l_linger = 0};

	flow_free(&c->up);
	flow_free(&c->down);
	if (reset) {
		setsockopt(c->client_fd, SOL_SOCKET, SO_LINGER, &no_linger, sizeof(no_linger));
		setsockopt(c->upstream_fd, SOL_SOCKET, SO_LINGER, &no_linger, sizeof(no_linger));
	}
	close(c->client_fd);
	close(c->upstream_fd);
	LIST_REMOVE(c, entry);
	n_conns--;
	free(c);
}

static void flow_append(struct flow *f, const char *data, size_t n)
{
	struct chunk *c = cs_xcalloc(1, sizeof(*c) + n);

	c->len = n;
	memcpy(c->data, data, n);
	c->due_us = pair_due_us(f->pair, cs_mono_us(), n);
	STAILQ_INSERT_TAIL(&f->chunks, c, entry);
	f->queued_bytes += n;
}

/* Schedules or sends what was appended to a flow; may free the connection. */
static void flow_push(struct flow *f)
{
	struct chunk *c = STAILQ_FIRST(&f->chunks);

	if (c == NULL || f->scheduled)
		return;
	if (f->pair->mode == MODE_OK && c->due_us <= cs_mono_us())
		flow_deliver(f);
	else
		flow_schedule(f);
}

/* Keeps a response, and appends its copy once the client has sent the next request. */
static void copy_response(struct flow *f, const char *buf, size_t n)
{
	struct conn *c = f->conn;

	if (f == &c->up) {
		if (c->down.pair->copies && c->response_len > 0 && n > 0 &&
		    c->response_len < COPY_MAX_BYTES)
			flow_append(&c->down, c->response, c->response_len);
		c->response_len = 0;
		return;
	}
	if (n > COPY_MAX_BYTES - c->response_len)
		n = COPY_MAX_BYTES - c->response_len;
	memcpy(c->response + c->response_len, buf, n);
	c->response_len += n;
}

static void on_flow_readable(struct ev_loop *l, ev_io *w, int events)
{
	struct flow *f = w->data;
	static char buf[CHUNK_BYTES];
	struct conn *conn = f->conn;
	ssize_t n = recv(f->from, buf, sizeof(buf), 0);

	if (n < 0) {
		if (errno != EAGAIN && errno != EINTR)
			conn_close(f->conn, true);
		return;
	}
	copy_response(f, buf, (size_t)n);
	flow_append(f, buf, (size_t)n);
	if (n == 0)
		f->input_ended = true;
	if (n == 0 || f->queued_bytes >= QUEUE_MAX_BYTES)
		ev_io_stop(l, w);
	/* The copy first: the connection may end with the client's data. */
	if (f == &conn->up && !conn->connecting)
		flow_schedule(&conn->down);
	flow_push(f);
	arm_timer();
}

/* Sends the chunks that are due; may free the connection. */
static void flow_deliver(struct flow *f)
{
	uint64_t now = cs_mono_us();
	struct chunk *c;
	ssize_t n;

	flow_unschedule(f);
	if (f->conn->connecting || ev_is_active(&f->out))
		return;
	while ((c = STAILQ_FIRST(&f->chunks)) != NULL && c->due_us <= now) {
		if (c->len == 0) {
			shutdown(f->to, SHUT_WR);
			f->output_ended = true;
			if (f->conn->up.output_ended && f->conn->down.output_ended) {
				conn_close(f->conn, false);
				return;
			}
		} else {
			n = send(f->to, c->data + c->pos, c->len - c->pos, MSG_NOSIGNAL);
			if (n < 0 && errno != EAGAIN && errno != EINTR) {
				conn_close(f->conn, true);
				return;
			}
			if (n > 0) {
				c->pos += (size_t)n;
				*f->bytes += (uint64_t)n;
			}
			if (c->pos < c->len) {
				ev_io_start(loop, &f->out);
				return;
			}
		}
		f->queued_bytes -= c->len;
		STAILQ_REMOVE_HEAD(&f->chunks, entry);
		free(c);
	}
	if (!f->input_ended && f->queued_bytes < QUEUE_MAX_BYTES)
		ev_io_start(loop, &f->in);
	flow_schedule(f);
}

static void on_flow_writable(struct ev_loop *l, ev_io *w, int events)
{
	struct flow *f = w->data;
	socklen_t len = sizeof(int);
	int err = 0;

	ev_io_stop(l, w);
	if (f->conn->connecting) {
		getsockopt(f->to, SOL_SOCKET, SO_ERROR, &err, &len);
		if (err != 0) {
			if (err == ECONNREFUSED)
				on_upstream_refused(f->conn);
			conn_close(f->conn, true);
			return;
		}
		f->conn->connecting = false;
		ev_io_start(l, &f->conn->down.in);
	}
	flow_schedule(f);
	arm_timer();
}

static void on_timer(struct ev_loop *l, ev_io *w, int events)
{
	uint64_t n, now = cs_mono_us();
	struct flow *f;

	if (read(w->fd, &n, sizeof(n)) < 0 && errno != EAGAIN)
		return;
	while ((f = RB_MIN(flow_tree, &tree)) != NULL && f->due_us <= now)
		flow_deliver(f);
	arm_timer();
}

static void flow_init(struct flow *f, struct conn *c, int from, int to, struct zone_pair *pair,
		      uint64_t *bytes)
{
	f->conn = c;
	f->pair = pair;
	f->from = from;
	f->to = to;
	f->bytes = bytes;
	STAILQ_INIT(&f->chunks);
	ev_io_init(&f->in, on_flow_readable, from, EV_READ);
	ev_io_init(&f->out, on_flow_writable, to, EV_WRITE);
	f->in.data = f->out.data = f;
}

/* Connects to the upstream from the client's source address. */
static int connect_upstream(const struct listener *l, const struct sockaddr_in *client)
{
	struct sockaddr_in src = {.sin_family = AF_INET, .sin_addr = client->sin_addr};
	struct sockaddr_in dst = {.sin_family = AF_INET, .sin_port = htons(l->upstream_port)};
	int fd, one = 1;

	inet_pton(AF_INET, l->upstream_addr, &dst.sin_addr);
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return -1;
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	setsockopt(fd, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&src, sizeof(src)) != 0 ||
	    (connect(fd, (struct sockaddr *)&dst, sizeof(dst)) != 0 && errno != EINPROGRESS)) {
		close(fd);
		return -1;
	}
	return fd;
}

static void on_accept(struct ev_loop *loop_, ev_io *w, int events)
{
	struct linger no_linger = {.l_onoff = 1, .l_linger = 0};
	struct listener *l = w->data;
	struct sockaddr_in client;
	socklen_t len = sizeof(client);
	struct conn *c;
	char addr[46];
	unsigned from;
	int fd, one = 1, upstream_fd;

	fd = accept4(l->fd, (struct sockaddr *)&client, &len, SOCK_NONBLOCK | SOCK_CLOEXEC);
	if (fd < 0)
		return;
	inet_ntop(AF_INET, &client.sin_addr, addr, sizeof(addr));
	from = zone_of(addr);
	l->connections++;
	upstream_fd = -1;
	if (pair_get(from, l->zone)->mode != MODE_CUT && pair_get(l->zone, from)->mode != MODE_CUT)
		upstream_fd = connect_upstream(l, &client);
	if (upstream_fd < 0) {
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &no_linger, sizeof(no_linger));
		close(fd);
		return;
	}
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	c = cs_xcalloc(1, sizeof(*c));
	c->client_fd = fd;
	c->upstream_fd = upstream_fd;
	c->connecting = true;
	c->listener = l;
	c->client_addr = client;
	flow_init(&c->up, c, fd, upstream_fd, pair_get(from, l->zone), &l->bytes_to);
	flow_init(&c->down, c, upstream_fd, fd, pair_get(l->zone, from), &l->bytes_from);
	LIST_INSERT_HEAD(&conns, c, entry);
	n_conns++;
	ev_io_start(loop_, &c->up.in);
	ev_io_start(loop_, &c->up.out);
}

void relay_apply(void)
{
	struct conn *c, *next;

	LIST_FOREACH_SAFE(c, &conns, entry, next) {
		if (c->up.pair->mode == MODE_CUT || c->down.pair->mode == MODE_CUT) {
			conn_close(c, true);
			continue;
		}
		flow_schedule(&c->up);
		flow_schedule(&c->down);
	}
	arm_timer();
}

unsigned relay_connections(void)
{
	return n_conns;
}

static bool listener_open(struct listener *l, struct cs_msg *msg)
{
	l->fd = cs_listen(l->addr, l->port, &l->port, msg);
	if (l->fd < 0)
		return false;
	ev_io_init(&l->io, on_accept, l->fd, EV_READ);
	l->io.data = l;
	ev_io_start(loop, &l->io);
	return true;
}

/* Reopens the listener if the upstream accepted the probe connection. */
static void on_probe_result(struct ev_loop *lp, ev_io *w, int events)
{
	struct listener *l = w->data;
	socklen_t len = sizeof(int);
	struct cs_msg msg;
	int err = 0;

	ev_io_stop(lp, w);
	getsockopt(l->probe_fd, SOL_SOCKET, SO_ERROR, &err, &len);
	close(l->probe_fd);
	if (err != 0 || !listener_open(l, &msg))
		cs_timer_start(timers, &l->probe_timer, PROBE_INTERVAL_US);
}

static void on_probe(struct cs_timer *t, void *arg)
{
	struct sockaddr_in source = {.sin_family = AF_INET};
	struct listener *l = arg;

	inet_pton(AF_INET, l->upstream_addr, &source.sin_addr);
	l->probe_fd = connect_upstream(l, &source);
	if (l->probe_fd < 0) {
		cs_timer_start(timers, &l->probe_timer, PROBE_INTERVAL_US);
		return;
	}
	ev_io_init(&l->probe_io, on_probe_result, l->probe_fd, EV_WRITE);
	l->probe_io.data = l;
	ev_io_start(loop, &l->probe_io);
}

/* The upstream refused a connection: logs the client and closes the listener. */
static void on_upstream_refused(struct conn *c)
{
	struct listener *l = c->listener;
	char addr[46];

	inet_ntop(AF_INET, &c->client_addr.sin_addr, addr, sizeof(addr));
	if (log_file != NULL)
		fprintf(log_file, "{\"fact\":\"refused\",\"name\":\"%s:%u\",\"from_us\":%llu}\n",
			addr, ntohs(c->client_addr.sin_port), (unsigned long long)cs_mono_us());
	if (l->fd < 0)
		return;
	ev_io_stop(loop, &l->io);
	close(l->fd);
	l->fd = -1;
	cs_timer_init(&l->probe_timer, on_probe, l);
	cs_timer_start(timers, &l->probe_timer, PROBE_INTERVAL_US);
}

bool relay_log_open(const char *path, struct cs_msg *msg)
{
	if (*path == '\0')
		return true;
	log_file = fopen(path, "w");
	if (log_file == NULL) {
		cs_msg_set(msg, "%s: %s", path, strerror(errno));
		return false;
	}
	setvbuf(log_file, NULL, _IOLBF, 0);
	return true;
}

bool relay_start(struct cs_msg *msg)
{
	struct listener *l;

	timer_fd = timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
	ev_io_init(&timer_io, on_timer, timer_fd, EV_READ);
	ev_io_start(loop, &timer_io);
	TAILQ_FOREACH(l, &listeners, entry) {
		if (!listener_open(l, msg))
			return false;
	}
	return true;
}
