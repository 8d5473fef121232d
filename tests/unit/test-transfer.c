/* Tests of lib/proxy/transfer.c with a test server on a loopback socket. */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "proxy/transfer.h"

/* Limit of event loop iterations, with a pause of 1 ms each, until a state is reached. */
#define ITERATIONS_MAX 200

struct fixture {
	struct ev_loop *loop;
	struct cs_timers *timers;
	struct cs_transfer_pool *pool;
	struct cs_transfer *transfer;
	int listener;
	uint16_t port;
	struct curl_slist header;
	struct cs_transfer_opts opts;
};

static void ignore_event(struct cs_transfer *t, void *arg)
{
}

static void fixture_init(struct fixture *f)
{
	struct sockaddr_in sa = {.sin_family = AF_INET};
	socklen_t len = sizeof(sa);

	memset(f, 0, sizeof(*f));
	f->loop = ev_loop_new(EVFLAG_AUTO);
	f->timers = cs_timers_create(f->loop);
	f->pool = cs_transfer_pool_create(f->loop, f->timers, NULL);
	f->listener = socket(AF_INET, SOCK_STREAM, 0);
	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	g_assert_cmpint(bind(f->listener, (struct sockaddr *)&sa, sizeof(sa)), ==, 0);
	g_assert_cmpint(listen(f->listener, 8), ==, 0);
	g_assert_cmpint(getsockname(f->listener, (struct sockaddr *)&sa, &len), ==, 0);
	f->port = ntohs(sa.sin_port);
	f->header.data = (char *)(uintptr_t) "X-Id: one";
	f->opts = (struct cs_transfer_opts){.addr = "127.0.0.1",
					    .port = f->port,
					    .method = "GET",
					    .target = "/x",
					    .lines = &f->header,
					    .id_name = "X-Id",
					    .id = "one",
					    .at_most_once = true,
					    .buffer_max = 4096};
}

static void fixture_destroy(struct fixture *f)
{
	cs_transfer_destroy(f->transfer);
	cs_transfer_pool_destroy(f->pool);
	cs_timers_destroy(f->timers);
	ev_loop_destroy(f->loop);
	close(f->listener);
}

/* Runs the event loop until the transfer reaches a state. */
static void run_until(struct fixture *f, enum cs_transfer_state state)
{
	int i;

	for (i = 0; i < ITERATIONS_MAX && cs_transfer_state(f->transfer) != state; i++) {
		ev_run(f->loop, EVRUN_NOWAIT);
		g_usleep(1000);
	}
	g_assert_cmpint(cs_transfer_state(f->transfer), ==, state);
}

static void start_transfer(struct fixture *f)
{
	cs_transfer_destroy(f->transfer);
	f->transfer = cs_transfer_start(f->pool, &f->opts, ignore_event, ignore_event, NULL);
}

/* Reads one request and sends a response. */
static void serve_request(int fd, const char *response)
{
	char buf[2048];

	g_assert_cmpint(recv(fd, buf, sizeof(buf), 0), >, 0);
	g_assert_cmpint(send(fd, response, strlen(response), MSG_NOSIGNAL), ==,
			(int)strlen(response));
}

#define RESPONSE(id, headers)                                                                      \
	"HTTP/1.1 200 OK\r\nX-Id: " id "\r\nContent-Length: 2\r\n" headers "\r\nok"

/*
 * Guards against an aborted request that reaches its server later: data delayed by a partition is
 * discarded only if the connection is reset, not if it is closed in an orderly way.
 */
static void test_stop_resets_connection(void)
{
	char buf[2048];
	struct fixture f;
	ssize_t n;
	int fd;

	fixture_init(&f);
	start_transfer(&f);
	run_until(&f, CS_TRANSFER_SENT);
	fd = accept(f.listener, NULL, NULL);
	g_assert_cmpint(fd, >=, 0);
	ev_run(f.loop, EVRUN_NOWAIT);
	cs_transfer_stop(f.transfer);
	g_assert_cmpint(cs_transfer_state(f.transfer), ==, CS_TRANSFER_FAILED);
	do
		n = recv(fd, buf, sizeof(buf), 0);
	while (n > 0);
	g_assert_cmpint(n, ==, -1);
	g_assert_cmpint(errno, ==, ECONNRESET);
	close(fd);
	fixture_destroy(&f);
}

/* Guards against accepting a response to another request. */
static void test_refuses_response_to_other_request(void)
{
	struct fixture f;
	int fd;

	fixture_init(&f);
	start_transfer(&f);
	run_until(&f, CS_TRANSFER_SENT);
	fd = accept(f.listener, NULL, NULL);
	ev_run(f.loop, EVRUN_NOWAIT);
	serve_request(fd, RESPONSE("two", ""));
	run_until(&f, CS_TRANSFER_FAILED);
	close(fd);
	fixture_destroy(&f);
}

/* Sends a first request with a buffered body; returns the connection, which is kept open. */
static int open_kept_connection(struct fixture *f)
{
	int fd;

	start_transfer(f);
	run_until(f, CS_TRANSFER_SENT);
	fd = accept(f->listener, NULL, NULL);
	ev_run(f->loop, EVRUN_NOWAIT);
	serve_request(fd, RESPONSE("one", ""));
	run_until(f, CS_TRANSFER_COMPLETE);
	return fd;
}

/* Sends a request on the kept connection, which the server closes without a response. */
static void fail_on_kept_connection(struct fixture *f, int fd)
{
	char buf[2048];

	start_transfer(f);
	run_until(f, CS_TRANSFER_SENT);
	ev_run(f->loop, EVRUN_NOWAIT);
	g_assert_cmpint(recv(fd, buf, sizeof(buf), 0), >, 0);
	close(fd);
	run_until(f, CS_TRANSFER_FAILED);
	/* libcurl may have connected once more, but nothing is sent there. */
	g_assert_cmpint(fcntl(f->listener, F_SETFL, O_NONBLOCK), ==, 0);
	fd = accept(f->listener, NULL, NULL);
	if (fd < 0)
		return;
	g_assert_cmpint(recv(fd, buf, sizeof(buf), 0), <=, 0);
	close(fd);
}

/* Guards against resending an at-most-once request when its reused connection was closed. */
static void test_at_most_once_not_resent(void)
{
	struct fixture f;

	fixture_init(&f);
	fail_on_kept_connection(&f, open_kept_connection(&f));
	fixture_destroy(&f);
}

/*
 * Guards against a request that may be repeated and is sent again without the knowledge of its
 * owner: outside the retry budget, with the time that was left at the first send, and to a server
 * that may have been withdrawn.
 */
static void test_repeatable_not_resent(void)
{
	struct fixture f;

	fixture_init(&f);
	f.opts.at_most_once = false;
	fail_on_kept_connection(&f, open_kept_connection(&f));
	fixture_destroy(&f);
}

/*
 * Guards against a streamed body that is sent again without its beginning, which was read from the
 * buffer by the first send, and looks complete in chunked coding.
 */
static void test_streamed_body_not_resent(void)
{
	struct ring body;
	bool body_ended = true;
	struct fixture f;
	int fd;

	fixture_init(&f);
	f.opts.at_most_once = false;
	f.opts.method = "POST";
	f.opts.body = &body;
	f.opts.body_ended = &body_ended;
	ring_init(&body, 4096);
	ring_write(&body, "first", 5);
	f.opts.body_buffered = true;
	f.opts.body_length = 5;
	fd = open_kept_connection(&f);
	ring_write(&body, "second", 6);
	f.opts.body_buffered = false;
	f.opts.body_length = UINT64_MAX;
	fail_on_kept_connection(&f, fd);
	ring_free(&body);
	fixture_destroy(&f);
}

/* Guards against taking a late second response for that of the next request on a connection. */
static void test_stray_input_prevents_reuse(void)
{
	struct fixture f;
	int fd, new_fd;

	fixture_init(&f);
	start_transfer(&f);
	run_until(&f, CS_TRANSFER_SENT);
	fd = accept(f.listener, NULL, NULL);
	ev_run(f.loop, EVRUN_NOWAIT);
	serve_request(fd, RESPONSE("one", ""));
	run_until(&f, CS_TRANSFER_COMPLETE);
	g_assert_cmpint(send(fd, RESPONSE("one", ""), strlen(RESPONSE("one", "")), MSG_NOSIGNAL), >,
			0);
	g_usleep(5000);
	start_transfer(&f);
	run_until(&f, CS_TRANSFER_SENT);
	new_fd = accept(f.listener, NULL, NULL);
	ev_run(f.loop, EVRUN_NOWAIT);
	serve_request(new_fd, RESPONSE("one", "X-Fresh: 1\r\n"));
	run_until(&f, CS_TRANSFER_COMPLETE);
	g_assert_nonnull(head_get(cs_transfer_head(f.transfer), "X-Fresh"));
	close(fd);
	close(new_fd);
	fixture_destroy(&f);
}

/*
 * Guards against a refusal of an earlier request, written once more on a kept connection, that is
 * taken for the response to the request that is running.
 */
static void test_refusal_of_earlier_request_not_own(void)
{
	static const char refusal[] = "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n";
	struct fixture f;
	int fd;

	fixture_init(&f);
	start_transfer(&f);
	run_until(&f, CS_TRANSFER_SENT);
	fd = accept(f.listener, NULL, NULL);
	ev_run(f.loop, EVRUN_NOWAIT);
	serve_request(fd, refusal);
	run_until(&f, CS_TRANSFER_COMPLETE);
	g_assert_true(cs_transfer_is_own_response(f.transfer));
	start_transfer(&f);
	run_until(&f, CS_TRANSFER_SENT);
	ev_run(f.loop, EVRUN_NOWAIT);
	serve_request(fd, refusal);
	run_until(&f, CS_TRANSFER_COMPLETE);
	g_assert_false(cs_transfer_is_own_response(f.transfer));
	start_transfer(&f);
	run_until(&f, CS_TRANSFER_SENT);
	ev_run(f.loop, EVRUN_NOWAIT);
	serve_request(fd, RESPONSE("one", ""));
	run_until(&f, CS_TRANSFER_COMPLETE);
	g_assert_true(cs_transfer_is_own_response(f.transfer));
	close(fd);
	fixture_destroy(&f);
}

/*
 * Guards against the copy of a refusal that arrives late, while the refused request is being sent
 * again, and is taken for a second refusal.
 */
static void check_late_copy_of_refusal(bool at_most_once)
{
	static const char refusal[] = "HTTP/1.1 503 No\r\nX-Id: one\r\nContent-Length: 0\r\n\r\n";
	struct fixture f;
	int fd, new_fd;

	fixture_init(&f);
	f.opts.at_most_once = at_most_once;
	start_transfer(&f);
	run_until(&f, CS_TRANSFER_SENT);
	fd = accept(f.listener, NULL, NULL);
	ev_run(f.loop, EVRUN_NOWAIT);
	serve_request(fd, refusal);
	run_until(&f, CS_TRANSFER_COMPLETE);
	g_assert_cmpint(fcntl(f.listener, F_SETFL, O_NONBLOCK), ==, 0);
	start_transfer(&f);
	run_until(&f, CS_TRANSFER_SENT);
	ev_run(f.loop, EVRUN_NOWAIT);
	send(fd, refusal, strlen(refusal), MSG_NOSIGNAL);
	new_fd = accept(f.listener, NULL, NULL);
	if (new_fd >= 0)
		serve_request(new_fd, RESPONSE("one", ""));
	run_until(&f, CS_TRANSFER_COMPLETE);
	g_assert_cmpuint(cs_transfer_status(f.transfer), ==, 200);
	close(fd);
	close(new_fd);
	fixture_destroy(&f);
}

static void test_late_copy_of_refusal(void)
{
	check_late_copy_of_refusal(true);
}

static void test_late_copy_of_refusal_repeatable(void)
{
	check_late_copy_of_refusal(false);
}

/* Guards against a head that ends early and is taken for a complete response. */
static void test_cut_head_fails(void)
{
	static const char *const heads[] = {
		"H",
		"HTTP/1.1 200 OK",
		"HTTP/1.1 200 OK\r\n",
		"HTTP/1.1 200 OK\r\nX-Id: one\r\nContent-Length: 0",
		"HTTP/1.1 200 OK\r\nX-Id: one\r\nContent-Length: 0\r\n",
		"HTTP/1.1 200 OK\r\nX-Id: one\r\n\r",
		"HTTP/1.1 100 Continue\r\n\r\n",
	};
	struct fixture f;
	unsigned i;
	int fd;

	for (i = 0; i < G_N_ELEMENTS(heads); i++) {
		fixture_init(&f);
		start_transfer(&f);
		run_until(&f, CS_TRANSFER_SENT);
		fd = accept(f.listener, NULL, NULL);
		ev_run(f.loop, EVRUN_NOWAIT);
		serve_request(fd, heads[i]);
		close(fd);
		run_until(&f, CS_TRANSFER_FAILED);
		g_assert_false(cs_transfer_has_head(f.transfer));
		fixture_destroy(&f);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	curl_global_init(CURL_GLOBAL_NOTHING);
	g_test_add_func("/transfer/stop-resets-connection", test_stop_resets_connection);
	g_test_add_func("/transfer/refuses-response-to-other-request",
			test_refuses_response_to_other_request);
	g_test_add_func("/transfer/at-most-once-not-resent", test_at_most_once_not_resent);
	g_test_add_func("/transfer/repeatable-not-resent", test_repeatable_not_resent);
	g_test_add_func("/transfer/streamed-body-not-resent", test_streamed_body_not_resent);
	g_test_add_func("/transfer/stray-input-prevents-reuse", test_stray_input_prevents_reuse);
	g_test_add_func("/transfer/refusal-of-earlier-request-not-own",
			test_refusal_of_earlier_request_not_own);
	g_test_add_func("/transfer/late-copy-of-refusal", test_late_copy_of_refusal);
	g_test_add_func("/transfer/late-copy-of-refusal-repeatable",
			test_late_copy_of_refusal_repeatable);
	g_test_add_func("/transfer/cut-head-fails", test_cut_head_fails);
	return g_test_run();
}
