/* lib/proxy/transfer.c against a server of the test's own on a loopback socket. */
#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "proxy/transfer.h"

/* Turns of the loop that a step may take. */
#define TURNS 200

struct rig {
	struct ev_loop *loop;
	struct cs_timers *timers;
	struct cs_transfer_pool *lanes;
	struct cs_transfer *t;
	int listener;
	uint16_t port;
	struct curl_slist line;
	struct cs_transfer_opts opts;
};

static void on_news(struct cs_transfer *t, void *arg)
{
}

static void rig_open(struct rig *r)
{
	struct sockaddr_in sa = {.sin_family = AF_INET};
	socklen_t len = sizeof(sa);

	memset(r, 0, sizeof(*r));
	r->loop = ev_loop_new(EVFLAG_AUTO);
	r->timers = cs_timers_create(r->loop);
	r->lanes = cs_transfer_pool_create(r->loop, r->timers, NULL);
	r->listener = socket(AF_INET, SOCK_STREAM, 0);
	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	g_assert_cmpint(bind(r->listener, (struct sockaddr *)&sa, sizeof(sa)), ==, 0);
	g_assert_cmpint(listen(r->listener, 8), ==, 0);
	g_assert_cmpint(getsockname(r->listener, (struct sockaddr *)&sa, &len), ==, 0);
	r->port = ntohs(sa.sin_port);
	r->line.data = (char *)(uintptr_t) "X-Id: one";
	r->opts = (struct cs_transfer_opts){.addr = "127.0.0.1",
					    .port = r->port,
					    .method = "GET",
					    .target = "/x",
					    .lines = &r->line,
					    .id_name = "X-Id",
					    .id = "one",
					    .at_most_once = true,
					    .buffer_max = 4096};
}

static void rig_close(struct rig *r)
{
	cs_transfer_destroy(r->t);
	cs_transfer_pool_destroy(r->lanes);
	cs_timers_destroy(r->timers);
	ev_loop_destroy(r->loop);
	close(r->listener);
}

/* Runs the loop until the transfer is in a state. */
static void run_until(struct rig *r, enum cs_transfer_state state)
{
	int i;

	for (i = 0; i < TURNS && cs_transfer_state(r->t) != state; i++) {
		ev_run(r->loop, EVRUN_NOWAIT);
		g_usleep(1000);
	}
	g_assert_cmpint(cs_transfer_state(r->t), ==, state);
}

static void start(struct rig *r)
{
	cs_transfer_destroy(r->t);
	r->t = cs_transfer_start(r->lanes, &r->opts, on_news, on_news, NULL);
}

/* Reads one request and answers it. */
static void serve(int fd, const char *answer)
{
	char buf[2048];

	g_assert_cmpint(recv(fd, buf, sizeof(buf), 0), >, 0);
	g_assert_cmpint(send(fd, answer, strlen(answer), MSG_NOSIGNAL), ==, (int)strlen(answer));
}

#define ANSWER(id, more) "HTTP/1.1 200 OK\r\nX-Id: " id "\r\nContent-Length: 2\r\n" more "\r\nok"

/*
 * Guards against a request that was given up and reaches its server later: bytes that a partition
 * holds up are dropped only by a reset of the connection, not by its end.
 */
static void test_stop_resets(void)
{
	char buf[2048];
	struct rig r;
	ssize_t n;
	int fd;

	rig_open(&r);
	start(&r);
	run_until(&r, CS_TRANSFER_SENT);
	fd = accept(r.listener, NULL, NULL);
	g_assert_cmpint(fd, >=, 0);
	ev_run(r.loop, EVRUN_NOWAIT);
	cs_transfer_stop(r.t);
	g_assert_cmpint(cs_transfer_state(r.t), ==, CS_TRANSFER_FAILED);
	do
		n = recv(fd, buf, sizeof(buf), 0);
	while (n > 0);
	g_assert_cmpint(n, ==, -1);
	g_assert_cmpint(errno, ==, ECONNRESET);
	close(fd);
	rig_close(&r);
}

/* Guards against an answer to another request being taken. */
static void test_other_answer(void)
{
	struct rig r;
	int fd;

	rig_open(&r);
	start(&r);
	run_until(&r, CS_TRANSFER_SENT);
	fd = accept(r.listener, NULL, NULL);
	ev_run(r.loop, EVRUN_NOWAIT);
	serve(fd, ANSWER("two", ""));
	run_until(&r, CS_TRANSFER_FAILED);
	close(fd);
	rig_close(&r);
}

/* Guards against a second sending of a request that may run once, when its kept connection has
 * died. */
static void test_once(void)
{
	struct rig r;
	int fd;

	rig_open(&r);
	start(&r);
	run_until(&r, CS_TRANSFER_SENT);
	fd = accept(r.listener, NULL, NULL);
	ev_run(r.loop, EVRUN_NOWAIT);
	serve(fd, ANSWER("one", ""));
	run_until(&r, CS_TRANSFER_COMPLETE);
	/* The kept connection is used again, and the server closes it without an answer. */
	start(&r);
	run_until(&r, CS_TRANSFER_SENT);
	ev_run(r.loop, EVRUN_NOWAIT);
	{
		char buf[2048];

		g_assert_cmpint(recv(fd, buf, sizeof(buf), 0), >, 0);
	}
	close(fd);
	run_until(&r, CS_TRANSFER_FAILED);
	rig_close(&r);
}

/* Guards against a late second answer on a kept connection being taken for the next request's. */
static void test_stray_input(void)
{
	struct rig r;
	int fd, fresh;

	rig_open(&r);
	start(&r);
	run_until(&r, CS_TRANSFER_SENT);
	fd = accept(r.listener, NULL, NULL);
	ev_run(r.loop, EVRUN_NOWAIT);
	serve(fd, ANSWER("one", ""));
	run_until(&r, CS_TRANSFER_COMPLETE);
	g_assert_cmpint(send(fd, ANSWER("one", ""), strlen(ANSWER("one", "")), MSG_NOSIGNAL), >, 0);
	g_usleep(5000);
	start(&r);
	run_until(&r, CS_TRANSFER_SENT);
	fresh = accept(r.listener, NULL, NULL);
	ev_run(r.loop, EVRUN_NOWAIT);
	serve(fresh, ANSWER("one", "X-Fresh: 1\r\n"));
	run_until(&r, CS_TRANSFER_COMPLETE);
	g_assert_nonnull(head_get(cs_transfer_head(r.t), "X-Fresh"));
	close(fd);
	close(fresh);
	rig_close(&r);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	curl_global_init(CURL_GLOBAL_NOTHING);
	g_test_add_func("/transfer/stop-resets", test_stop_resets);
	g_test_add_func("/transfer/other-answer", test_other_answer);
	g_test_add_func("/transfer/once", test_once);
	g_test_add_func("/transfer/stray-input", test_stray_input);
	return g_test_run();
}
