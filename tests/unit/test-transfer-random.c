/* Random transfers to a server on a loopback socket that refuses and sends copies of its responses.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "proxy/transfer.h"

#define TRANSFERS 6
#define REQUESTS 4000
#define CONNECTIONS_MAX 64
#define REQUESTS_PER_CONNECTION_MAX 256
/* Requests share this many ids, so that each id is sent again and again. */
#define IDS 6
#define REQUEST_TIMEOUT_US (5 * CS_US_PER_S)

struct connection {
	int fd; /* -1: unused */
	char buf[2048];
	size_t len;
	unsigned ids[REQUESTS_PER_CONNECTION_MAX];
	unsigned n_ids;
	char copy[256]; /* still to be sent */
};

struct exchange {
	struct cs_transfer *transfer;
	unsigned id, number;
	char id_text[16], id_line[32], target[16];
	struct curl_slist line;
	uint64_t started_us;
	bool stopped_early;
};

struct fixture {
	struct ev_loop *loop;
	struct cs_timers *timers;
	struct cs_transfer_pool *pool;
	int listener;
	uint16_t port;
	struct connection connections[CONNECTIONS_MAX];
	struct exchange exchanges[TRANSFERS];
	unsigned n_started, n_kept, n_repeated, n_copies;
	bool sent_ids[IDS];
};

static void ignore_event(struct cs_transfer *t, void *arg)
{
}

/* True in one of n cases. */
static bool one_in(int n)
{
	return g_test_rand_int_range(0, n) == 0;
}

static void connection_send(struct connection *c, const char *text, size_t len)
{
	/* The peer may have closed the connection. */
	if (send(c->fd, text, len, MSG_NOSIGNAL) < 0)
		return;
}

static void send_copy(struct connection *c)
{
	connection_send(c, c->copy, strlen(c->copy));
	c->copy[0] = '\0';
}

/* Sends a response, and some bytes of a copy along with it; the rest is sent later. */
static void respond(struct fixture *f, struct connection *c, unsigned id, unsigned number)
{
	static const char *const ends[] = {
		"Content-Length: 0\r\n\r\n",
		"Content-Length: 4\r\n\r\nnope",
		"Transfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n",
	};
	char response[128], all[256];
	size_t len, n_together = 0;

	len = (size_t)snprintf(response, sizeof(response),
			       "HTTP/1.1 503 No\r\nX-Id: %u\r\nX-Number: %u\r\n%s", id, number,
			       ends[g_test_rand_int_range(0, G_N_ELEMENTS(ends))]);
	if (one_in(8))
		n_together = (size_t)g_test_rand_int_range(0, (gint32)len + 1);
	snprintf(all, sizeof(all), "%s%.*s", response, (int)n_together, response);
	connection_send(c, all, len + n_together);
	if (n_together > 0 || one_in(3)) {
		snprintf(c->copy, sizeof(c->copy), "%s", response + n_together);
		f->n_copies++;
	}
}

/* Handles a complete request. */
static void serve(struct fixture *f, struct connection *c)
{
	const char *id_text = strstr(c->buf, "X-Id: "), *number_text = strchr(c->buf, '/');
	unsigned id, number, i;

	g_assert_nonnull(id_text);
	g_assert_nonnull(number_text);
	id = (unsigned)strtoul(id_text + strlen("X-Id: "), NULL, 10);
	number = (unsigned)strtoul(number_text + 1, NULL, 10);
	for (i = 0; i < c->n_ids; i++)
		g_assert_cmpuint(c->ids[i], !=, id);
	g_assert_cmpuint(c->n_ids, <, REQUESTS_PER_CONNECTION_MAX);
	c->ids[c->n_ids++] = id;
	c->len = 0;
	send_copy(c);
	if (one_in(16))
		shutdown(c->fd, SHUT_RDWR);
	else
		respond(f, c, id, number);
}

static void connection_step(struct fixture *f, struct connection *c)
{
	ssize_t n = recv(c->fd, c->buf + c->len, sizeof(c->buf) - 1 - c->len, MSG_DONTWAIT);

	if (n == 0 || (n < 0 && errno != EAGAIN)) {
		close(c->fd);
		c->fd = -1;
		return;
	}
	if (n > 0)
		c->len += (size_t)n;
	c->buf[c->len] = '\0';
	if (strstr(c->buf, "\r\n\r\n") != NULL)
		serve(f, c);
	else if (c->copy[0] != '\0' && one_in(20))
		send_copy(c);
}

static void server_step(struct fixture *f)
{
	struct connection *c;
	int fd;

	for (c = f->connections; c < f->connections + CONNECTIONS_MAX; c++) {
		if (c->fd >= 0) {
			connection_step(f, c);
			continue;
		}
		fd = accept4(f->listener, NULL, NULL, SOCK_NONBLOCK);
		if (fd >= 0)
			*c = (struct connection){.fd = fd};
	}
}

static void exchange_start(struct fixture *f, struct exchange *x)
{
	struct cs_transfer_opts opts = {.addr = "127.0.0.1",
					.port = f->port,
					.method = "GET",
					.target = x->target,
					.lines = &x->line,
					.id_name = "X-Id",
					.id = x->id_text,
					.at_most_once = one_in(2),
					.own_connection = one_in(20),
					.bulk = one_in(20),
					.buffer_max = 4096};

	x->number = f->n_started++;
	x->id = one_in(2) ? x->number + IDS : (unsigned)g_test_rand_int_range(0, IDS);
	if (x->id < IDS) {
		f->n_repeated += f->sent_ids[x->id];
		f->sent_ids[x->id] = true;
	}
	snprintf(x->id_text, sizeof(x->id_text), "%u", x->id);
	snprintf(x->id_line, sizeof(x->id_line), "X-Id: %u", x->id);
	snprintf(x->target, sizeof(x->target), "/%u", x->number);
	x->line.data = x->id_line;
	x->stopped_early = one_in(20);
	x->started_us = cs_mono_us();
	x->transfer = cs_transfer_start(f->pool, &opts, ignore_event, ignore_event, NULL);
}

static void exchange_step(struct fixture *f, struct exchange *x)
{
	struct cs_transfer *t = x->transfer;
	struct cs_transfer_connection conn;
	const char *number;

	if (t == NULL) {
		if (f->n_started < REQUESTS)
			exchange_start(f, x);
		return;
	}
	/* A transfer whose connections are refused or limited must not wait for another one. */
	g_assert_cmpuint(cs_mono_us() - x->started_us, <, REQUEST_TIMEOUT_US);
	if (cs_transfer_state(t) == CS_TRANSFER_COMPLETE) {
		number = head_get(cs_transfer_head(t), "X-Number");
		g_assert_nonnull(number);
		g_assert_true(cs_transfer_is_own_response(t));
		g_assert_cmpuint((unsigned)strtoul(number, NULL, 10), ==, x->number);
		cs_transfer_connection(t, &conn);
		f->n_kept += conn.earlier_sends > 0;
	} else if (cs_transfer_state(t) != CS_TRANSFER_FAILED && !x->stopped_early) {
		return;
	}
	cs_transfer_destroy(t);
	x->transfer = NULL;
}

static bool is_busy(const struct fixture *f)
{
	unsigned i;

	for (i = 0; i < TRANSFERS; i++)
		if (f->exchanges[i].transfer != NULL)
			return true;
	return f->n_started < REQUESTS;
}

static void run(long connections_per_server)
{
	struct sockaddr_in sa = {.sin_family = AF_INET};
	struct fixture *f = g_new0(struct fixture, 1);
	socklen_t len = sizeof(sa);
	unsigned i;

	f->loop = ev_loop_new(EVFLAG_AUTO);
	f->timers = cs_timers_create(f->loop);
	f->pool = cs_transfer_pool_create(f->loop, f->timers, NULL);
	cs_transfer_pool_set_limit(f->pool, false, connections_per_server);
	f->listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	g_assert_cmpint(bind(f->listener, (struct sockaddr *)&sa, sizeof(sa)), ==, 0);
	g_assert_cmpint(listen(f->listener, CONNECTIONS_MAX), ==, 0);
	g_assert_cmpint(getsockname(f->listener, (struct sockaddr *)&sa, &len), ==, 0);
	f->port = ntohs(sa.sin_port);
	for (i = 0; i < CONNECTIONS_MAX; i++)
		f->connections[i].fd = -1;
	while (is_busy(f)) {
		for (i = 0; i < TRANSFERS; i++)
			exchange_step(f, &f->exchanges[i]);
		ev_run(f->loop, EVRUN_NOWAIT);
		server_step(f);
	}
	g_assert_cmpuint(f->n_kept, >, REQUESTS / 20);
	g_assert_cmpuint(f->n_repeated, >, REQUESTS / 4);
	g_assert_cmpuint(f->n_copies, >, REQUESTS / 10);
	cs_transfer_pool_destroy(f->pool);
	cs_timers_destroy(f->timers);
	ev_loop_destroy(f->loop);
	for (i = 0; i < CONNECTIONS_MAX; i++)
		if (f->connections[i].fd >= 0)
			close(f->connections[i].fd);
	close(f->listener);
	g_free(f);
}

/* Guards against an id that is sent on a connection twice, and the copy of a refusal that is
 * believed. */
static void test_copy_is_not_believed(void)
{
	run(0);
}

/* Guards against a request that waits for good because its only connection is refused to it. */
static void test_connection_limit_does_not_block(void)
{
	run(1);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/transfer-random/copy-is-not-believed", test_copy_is_not_believed);
	g_test_add_func("/transfer-random/connection-limit-does-not-block",
			test_connection_limit_does_not_block);
	return g_test_run();
}
