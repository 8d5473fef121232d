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
	char id_line[32];
	struct curl_slist header;
	struct cs_transfer_opts opts;
};

static void ignore_event(struct cs_transfer *t, void *arg)
{
}

/* Sets the id of the requests that are started from now on. */
static void set_id(struct fixture *f, const char *id)
{
	f->opts.id = id;
	snprintf(f->id_line, sizeof(f->id_line), "X-Id: %s", id);
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
	f->header.data = f->id_line;
	f->opts = (struct cs_transfer_opts){.addr = "127.0.0.1",
					    .port = f->port,
					    .method = "GET",
					    .target = "/x",
					    .lines = &f->header,
					    .id_name = "X-Id",
					    .at_most_once = true,
					    .buffer_max = 4096};
	set_id(f, "one");
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

#define REFUSAL "HTTP/1.1 503 No\r\nX-Id: one\r\nContent-Length: 0\r\n\r\n"
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

/* Sends a request on a new connection, which is returned, and sends a response on it. */
static int serve_first_request(struct fixture *f, const char *response)
{
	int fd;

	start_transfer(f);
	run_until(f, CS_TRANSFER_SENT);
	fd = accept(f->listener, NULL, NULL);
	ev_run(f->loop, EVRUN_NOWAIT);
	serve_request(fd, response);
	return fd;
}

/* Sends a first request with a buffered body; returns the connection, which is kept open. */
static int open_kept_connection(struct fixture *f)
{
	int fd = serve_first_request(f, RESPONSE("one", ""));

	run_until(f, CS_TRANSFER_COMPLETE);
	return fd;
}

/* Sends another request on the kept connection, which the server closes without a response. */
static void fail_on_kept_connection(struct fixture *f, int fd)
{
	char buf[2048];

	set_id(f, "two");
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
	set_id(&f, "two");
	start_transfer(&f);
	run_until(&f, CS_TRANSFER_SENT);
	new_fd = accept(f.listener, NULL, NULL);
	ev_run(f.loop, EVRUN_NOWAIT);
	serve_request(new_fd, RESPONSE("two", "X-Fresh: 1\r\n"));
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
	set_id(&f, "two");
	start_transfer(&f);
	run_until(&f, CS_TRANSFER_SENT);
	ev_run(f.loop, EVRUN_NOWAIT);
	serve_request(fd, refusal);
	run_until(&f, CS_TRANSFER_COMPLETE);
	g_assert_false(cs_transfer_is_own_response(f.transfer));
	set_id(&f, "three");
	start_transfer(&f);
	run_until(&f, CS_TRANSFER_SENT);
	ev_run(f.loop, EVRUN_NOWAIT);
	serve_request(fd, RESPONSE("three", ""));
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
	struct fixture f;
	int fd, new_fd;

	fixture_init(&f);
	f.opts.at_most_once = at_most_once;
	fd = serve_first_request(&f, REFUSAL);
	run_until(&f, CS_TRANSFER_COMPLETE);
	g_assert_cmpint(fcntl(f.listener, F_SETFL, O_NONBLOCK), ==, 0);
	start_transfer(&f);
	run_until(&f, CS_TRANSFER_SENT);
	ev_run(f.loop, EVRUN_NOWAIT);
	send(fd, REFUSAL, strlen(REFUSAL), MSG_NOSIGNAL);
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

/*
 * Guards against the copy of a refusal, or the rest of one whose first bytes were discarded with
 * the refusal, that is taken for the response to the next request.
 */
static void check_copy_behind_refusal(size_t n_together)
{
	int fd, new_fd, i;
	char first[256];
	struct fixture f;

	fixture_init(&f);
	start_transfer(&f);
	run_until(&f, CS_TRANSFER_SENT);
	fd = accept(f.listener, NULL, NULL);
	ev_run(f.loop, EVRUN_NOWAIT);
	snprintf(first, sizeof(first), REFUSAL "%.*s", (int)n_together, REFUSAL);
	serve_request(fd, first);
	run_until(&f, CS_TRANSFER_COMPLETE);
	g_assert_cmpint(fcntl(f.listener, F_SETFL, O_NONBLOCK), ==, 0);
	set_id(&f, "two");
	start_transfer(&f);
	run_until(&f, CS_TRANSFER_SENT);
	ev_run(f.loop, EVRUN_NOWAIT);
	send(fd, &REFUSAL[n_together], strlen(REFUSAL) - n_together, MSG_NOSIGNAL);
	new_fd = accept(f.listener, NULL, NULL);
	serve_request(new_fd >= 0 ? new_fd : fd, RESPONSE("two", ""));
	for (i = 0; i < ITERATIONS_MAX && cs_transfer_state(f.transfer) < CS_TRANSFER_COMPLETE;
	     i++) {
		ev_run(f.loop, EVRUN_NOWAIT);
		g_usleep(1000);
	}
	if (cs_transfer_state(f.transfer) == CS_TRANSFER_COMPLETE)
		g_assert_cmpuint(cs_transfer_status(f.transfer), ==, 200);
	else
		g_assert_cmpint(cs_transfer_state(f.transfer), ==, CS_TRANSFER_FAILED);
	g_assert_false(cs_transfer_has_head(f.transfer) && cs_transfer_status(f.transfer) != 200);
	if (new_fd >= 0)
		close(new_fd);
	close(fd);
	fixture_destroy(&f);
}

static void test_copy_behind_refusal(void)
{
	size_t n;

	for (n = 0; n <= strlen(REFUSAL); n++)
		check_copy_behind_refusal(n);
}

/* Sends a request and answers it; returns true if it came over the connection fd. */
static bool is_sent_on(struct fixture *f, int fd, const char *id)
{
	char response[128];
	int new_fd;

	snprintf(response, sizeof(response), "HTTP/1.1 200 OK\r\n%s%s%sContent-Length: 2\r\n\r\nok",
		 *id ? "X-Id: " : "", id, *id ? "\r\n" : "");
	set_id(f, id);
	start_transfer(f);
	run_until(f, CS_TRANSFER_SENT);
	ev_run(f->loop, EVRUN_NOWAIT);
	new_fd = accept(f->listener, NULL, NULL);
	serve_request(new_fd >= 0 ? new_fd : fd, response);
	run_until(f, CS_TRANSFER_COMPLETE);
	if (new_fd >= 0)
		close(new_fd);
	return new_fd < 0;
}

/*
 * Guards against requests without an id that follow each other on a connection: neither response
 * would tell which request it belongs to.
 */
static void test_no_id_once_per_connection(void)
{
	struct fixture f;
	int fd;

	fixture_init(&f);
	fd = open_kept_connection(&f);
	g_assert_cmpint(fcntl(f.listener, F_SETFL, O_NONBLOCK), ==, 0);
	g_assert_true(is_sent_on(&f, fd, ""));
	g_assert_true(is_sent_on(&f, fd, "two"));
	g_assert_false(is_sent_on(&f, fd, ""));
	close(fd);
	fixture_destroy(&f);
}

/* Guards against a response to an earlier request that is taken for that to one without an id. */
static void test_no_id_refuses_response_with_id(void)
{
	struct fixture f;
	int fd;

	fixture_init(&f);
	fd = open_kept_connection(&f);
	set_id(&f, "");
	start_transfer(&f);
	run_until(&f, CS_TRANSFER_SENT);
	ev_run(f.loop, EVRUN_NOWAIT);
	serve_request(fd, RESPONSE("one", ""));
	run_until(&f, CS_TRANSFER_FAILED);
	close(fd);
	fixture_destroy(&f);
}

/* Guards against a connection that outlives the memory of the ids that were sent on it. */
static void test_busy_connection_is_replaced(void)
{
	struct fixture f;
	unsigned n;
	char id[8];
	int fd;

	fixture_init(&f);
	fd = open_kept_connection(&f);
	g_assert_cmpint(fcntl(f.listener, F_SETFL, O_NONBLOCK), ==, 0);
	for (n = 1; n < 1000; n++) {
		snprintf(id, sizeof(id), "n%u", n);
		if (!is_sent_on(&f, fd, id))
			break;
	}
	/* Each connection carries several requests, and none that cannot be remembered. */
	g_assert_cmpuint(n, >=, 16);
	g_assert_cmpuint(n, <, 1000);
	close(fd);
	fixture_destroy(&f);
}

/*
 * Guards against a response that is cut in its head and the copy of another one that follows: read
 * as one head, they have the id of the request and what the other response states.
 */
static void test_two_ids_refused(void)
{
	static const char *const heads[] = {
		"HTTP/1.1 503 No\r\nX-Id: one\r\nX-Id: two\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 503 No\r\nX-Id: two\r\nX-Id: one\r\nContent-Length: 0\r\n\r\n",
	};
	struct fixture f;
	unsigned i;
	int fd;

	for (i = 0; i < G_N_ELEMENTS(heads); i++) {
		fixture_init(&f);
		fd = serve_first_request(&f, heads[i]);
		run_until(&f, CS_TRANSFER_FAILED);
		g_assert_false(cs_transfer_has_head(f.transfer));
		close(fd);
		fixture_destroy(&f);
	}
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
		fd = serve_first_request(&f, heads[i]);
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
	g_test_add_func("/transfer/copy-behind-refusal", test_copy_behind_refusal);
	g_test_add_func("/transfer/no-id-once-per-connection", test_no_id_once_per_connection);
	g_test_add_func("/transfer/no-id-refuses-response-with-id",
			test_no_id_refuses_response_with_id);
	g_test_add_func("/transfer/busy-connection-is-replaced", test_busy_connection_is_replaced);
	g_test_add_func("/transfer/two-ids-refused", test_two_ids_refused);
	g_test_add_func("/transfer/cut-head-fails", test_cut_head_fails);
	return g_test_run();
}
