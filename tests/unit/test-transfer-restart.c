/* Tests of a transfer that is restarted on a new connection which cannot be opened. */
#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

#include "proxy/transfer.h"

#define ITERATIONS_MAX 200
#define REFUSAL "HTTP/1.1 503 No\r\nX-Id: one\r\nContent-Length: 0\r\n\r\n"

static bool bind_fails;

/* Replaces that of the C library. */
int bind(int fd, const struct sockaddr *addr, socklen_t len)
{
	if (bind_fails) {
		errno = EADDRNOTAVAIL;
		return -1;
	}
	return (int)syscall(SYS_bind, fd, addr, len);
}

static void ignore_event(struct cs_transfer *t, void *arg)
{
}

static void count_event(struct cs_transfer *t, void *arg)
{
	unsigned *n = arg;

	(*n)++;
}

static void run_until(struct ev_loop *loop, struct cs_transfer *t, enum cs_transfer_state state)
{
	int i;

	for (i = 0; i < ITERATIONS_MAX && cs_transfer_state(t) != state; i++) {
		ev_run(loop, EVRUN_NOWAIT);
		g_usleep(1000);
	}
	g_assert_cmpint(cs_transfer_state(t), ==, state);
}

/*
 * Guards against a transfer that is restarted without end, and keeps the processor busy, because
 * the source address of its new connection is no longer there.
 */
static void test_restart_ends_when_bind_fails(void)
{
	struct sockaddr_in sa = {.sin_family = AF_INET};
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct cs_timers *timers = cs_timers_create(loop);
	struct cs_transfer_pool *pool = cs_transfer_pool_create(loop, timers, "127.0.0.1");
	struct curl_slist line = {.data = (char *)(uintptr_t) "X-Id: one"};
	struct cs_transfer_opts opts = {.addr = "127.0.0.1",
					.method = "GET",
					.target = "/x",
					.lines = &line,
					.id_name = "X-Id",
					.id = "one",
					.buffer_max = 4096};
	socklen_t len = sizeof(sa);
	struct cs_transfer *t;
	unsigned n_events = 0;
	int listener, fd, i;
	char buf[2048];

	listener = socket(AF_INET, SOCK_STREAM, 0);
	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	g_assert_cmpint(bind(listener, (struct sockaddr *)&sa, sizeof(sa)), ==, 0);
	g_assert_cmpint(listen(listener, 8), ==, 0);
	g_assert_cmpint(getsockname(listener, (struct sockaddr *)&sa, &len), ==, 0);
	opts.port = ntohs(sa.sin_port);
	t = cs_transfer_start(pool, &opts, ignore_event, ignore_event, NULL);
	run_until(loop, t, CS_TRANSFER_SENT);
	fd = accept(listener, NULL, NULL);
	ev_run(loop, EVRUN_NOWAIT);
	g_assert_cmpint(recv(fd, buf, sizeof(buf), 0), >, 0);
	g_assert_cmpint(send(fd, REFUSAL, strlen(REFUSAL), MSG_NOSIGNAL), >, 0);
	run_until(loop, t, CS_TRANSFER_COMPLETE);
	cs_transfer_destroy(t);
	bind_fails = true;
	t = cs_transfer_start(pool, &opts, count_event, ignore_event, &n_events);
	for (i = 0; i < ITERATIONS_MAX && n_events == 0; i++) {
		ev_run(loop, EVRUN_NOWAIT);
		g_usleep(1000);
	}
	g_assert_cmpuint(n_events, ==, 1);
	g_assert_cmpint(cs_transfer_state(t), ==, CS_TRANSFER_UNSENT);
	cs_transfer_destroy(t);
	cs_transfer_pool_destroy(pool);
	cs_timers_destroy(timers);
	ev_loop_destroy(loop);
	close(fd);
	close(listener);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/transfer-restart/ends-when-bind-fails",
			test_restart_ends_when_bind_fails);
	return g_test_run();
}
