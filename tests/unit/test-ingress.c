/* Tests of lib/proxy/ingress.c with clients on loopback sockets. */
#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "proxy/ingress.h"

/* Iterations of the event loop, with a pause of 1 ms each, in which every event is delivered. */
#define ITERATIONS 30
#define REQUEST "GET /x HTTP/1.1\r\nHost: h\r\n\r\n"
#define CALLS_MAX 64
/* Requests that may begin ahead, that others may follow, and that none may follow. */
#define GET_S(n) "GET /s" n " HTTP/1.1\r\nHost: h\r\n\r\n"
#define POST_U(n) "POST /u" n " HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nxy"
#define GET_U(n) "GET /u" n " HTTP/1.1\r\nHost: h\r\n\r\n"
#define GET_D(n) "GET /d" n " HTTP/1.1\r\nHost: h\r\n\r\n"
/* Size of a streamed response that never ends within a test. */
#define STREAM_SIZE ((uint64_t)1 << 40)
/* A request whose body is sent later, and what its client receives before. */
#define SLOW_POST "POST /u0 HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\n"
#define REFUSED "HTTP/1.1 404"

struct fixture {
	struct ev_loop *loop;
	struct cs_timers *timers;
	struct cs_ingress *ingress;
	struct cs_call *call; /* last request that began */
	struct cs_call *calls[CALLS_MAX]; /* in the order in which they began */
	unsigned begun, ended, disconnected, done; /* ended: complete with their body */
	bool respond; /* respond to each request at once */
	bool none_follow; /* no request may follow others */
	size_t streamed; /* bytes provided for streamed responses */
	bool refuse; /* respond to each request before its body */
	uint64_t wait_us; /* how long clients wait; 0: not stated */
	unsigned n_cuts;
	enum cs_linger_why cut_why[8];
	char cut_name[16]; /* of the last one */
	uint64_t cut_bytes; /* of the last one */
	size_t stream_limit; /* bytes that are available of a streamed response; 0: no limit */
	size_t stream_size; /* after which a streamed response ends; 0: it does not */
	bool stream_breaks; /* a streamed response has an error next */
	bool refuse_body; /* body data is not accepted for now */
	int late_fd; /* if positive, late_text is sent there when the next request begins */
	const char *late_text;
	int closed_fd; /* if positive, it is closed when the next request begins */
	enum cs_call_end end; /* of the last call that was disconnected */
};

static void send_text(int fd, const char *text)
{
	g_assert_cmpint(send(fd, text, strlen(text), MSG_NOSIGNAL), ==, (int)strlen(text));
}

static void on_begin(struct cs_call *call, void *arg)
{
	struct fixture *f = arg;
	struct head none = {0};

	f->calls[f->begun++ % CALLS_MAX] = call;
	f->call = call;
	if (f->late_fd > 0)
		send_text(f->late_fd, f->late_text);
	f->late_fd = 0;
	if (f->closed_fd > 0)
		close(f->closed_fd);
	f->closed_fd = 0;
	if (!f->refuse)
		return;
	if (f->wait_us > 0)
		cs_call_set_deadline(call, cs_mono_us() + f->wait_us);
	cs_call_respond(call, 404, &none, "", 0);
}

static size_t on_body(struct cs_call *call, const char *data, size_t n, void *arg)
{
	struct fixture *f = arg;

	return f->refuse_body ? 0 : n;
}

static void on_body_end(struct cs_call *call, void *arg)
{
	struct fixture *f = arg;
	struct head none = {0};

	f->ended++;
	if (f->respond)
		cs_call_respond(call, 200, &none, "ok", 2);
}

static void on_disconnected(struct cs_call *call, enum cs_call_end end, void *arg)
{
	struct fixture *f = arg;

	f->disconnected++;
	f->end = end;
}

static ssize_t on_read(struct cs_call *call, char *buf, size_t max, void *arg)
{
	struct fixture *f = arg;

	if (f->stream_breaks)
		return CS_READ_ERROR;
	if (f->stream_size > 0 && f->streamed == f->stream_size)
		return CS_READ_END;
	if (f->stream_limit > 0 && max > f->stream_limit - f->streamed)
		max = f->stream_limit - f->streamed;
	memset(buf, 'x', max);
	f->streamed += max;
	return (ssize_t)max;
}

static unsigned on_ahead(struct cs_call *call, void *arg)
{
	const struct fixture *f = arg;

	if (f->none_follow && cs_call_target(call)[1] == 's')
		return 0;
	switch (cs_call_target(call)[1]) {
	case 's':
		return CS_AHEAD_BEGIN | CS_AHEAD_FOLLOW;
	case 'u':
		return CS_AHEAD_FOLLOW;
	default:
		return 0;
	}
}

static void on_done(struct cs_call *call, void *arg)
{
	struct fixture *f = arg;

	f->done++;
}

static const char *on_name(struct cs_call *call, void *arg)
{
	return cs_call_target(call);
}

static void on_cut(const struct cs_linger_cut *cut, void *arg)
{
	struct fixture *f = arg;

	cs_copy(f->cut_name, sizeof(f->cut_name), cut->name);
	f->cut_why[f->n_cuts++ % G_N_ELEMENTS(f->cut_why)] = cut->why;
	f->cut_bytes = cut->bytes;
}

static const struct cs_ingress_ops ops = {.begin = on_begin,
					  .body = on_body,
					  .body_end = on_body_end,
					  .disconnected = on_disconnected,
					  .read = on_read,
					  .done = on_done,
					  .ahead = on_ahead,
					  .name = on_name,
					  .cut = on_cut};

static void fixture_init_max(struct fixture *f, unsigned connections)
{
	struct cs_ingress_opts o = {.addr = "127.0.0.1",
				    .connections = connections,
				    .head_max = 16 * 1024,
				    .idle_s = 30,
				    .ops = &ops,
				    .arg = f};
	struct cs_msg msg;

	memset(f, 0, sizeof(*f));
	f->loop = ev_loop_new(EVFLAG_AUTO);
	f->timers = cs_timers_create(f->loop);
	f->ingress = cs_ingress_create(f->loop, f->timers, &o, &msg);
	g_assert_nonnull(f->ingress);
}

static void fixture_init(struct fixture *f)
{
	fixture_init_max(f, 16);
}

static void fixture_destroy(struct fixture *f)
{
	cs_ingress_destroy(f->ingress);
	cs_timers_destroy(f->timers);
	ev_loop_destroy(f->loop);
}

static void run_loop(struct fixture *f, unsigned iterations)
{
	while (iterations-- > 0) {
		ev_run(f->loop, EVRUN_NOWAIT);
		g_usleep(1000);
	}
}

/* Connects a client with a receive buffer of this size; 0: the default. */
static int client_connect_sized(struct fixture *f, int size)
{
	struct sockaddr_in sa = {.sin_family = AF_INET,
				 .sin_port = htons(cs_ingress_port(f->ingress)),
				 .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	if (size > 0)
		setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	g_assert_cmpint(connect(fd, (struct sockaddr *)&sa, sizeof(sa)), ==, 0);
	return fd;
}

static int client_connect(struct fixture *f)
{
	return client_connect_sized(f, 0);
}

static void client_send(int fd)
{
	g_assert_cmpint(send(fd, REQUEST, strlen(REQUEST), MSG_NOSIGNAL), ==, (int)strlen(REQUEST));
}

/* No request may stay in progress for a client that has closed its connection. */
static void check_none_pending(struct fixture *f)
{
	run_loop(f, ITERATIONS);
	g_assert_cmpuint(f->disconnected, ==, f->begun);
	g_assert_cmpuint(f->done, ==, f->begun);
	g_assert_cmpuint(cs_ingress_calls(f->ingress), ==, 0);
}

/* Guards against forwarding a request whose client closed the connection before it was accepted. */
static void test_close_before_accept(void)
{
	struct fixture f;
	int fd;

	fixture_init(&f);
	fd = client_connect(&f);
	client_send(fd);
	close(fd);
	check_none_pending(&f);
	fixture_destroy(&f);
}

/* Guards against forwarding a request whose client closed the connection before it was read. */
static void test_close_before_read(void)
{
	struct fixture f;
	int fd;

	fixture_init(&f);
	fd = client_connect(&f);
	run_loop(&f, ITERATIONS);
	client_send(fd);
	close(fd);
	check_none_pending(&f);
	fixture_destroy(&f);
}

/* Guards against passing on a request whose body ends together with its connection. */
static void test_close_with_body(void)
{
	static const char *const parts[] = {POST_U("0"), "xy"};
	struct fixture f;
	unsigned i;
	int fd;

	for (i = 0; i < G_N_ELEMENTS(parts); i++) {
		fixture_init(&f);
		fd = client_connect(&f);
		/* The second time the header section was read before. */
		if (i == 1)
			send_text(fd, "POST /u0 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n");
		run_loop(&f, ITERATIONS);
		send_text(fd, parts[i]);
		close(fd);
		check_none_pending(&f);
		g_assert_cmpuint(f.ended, ==, 0);
		fixture_destroy(&f);
	}
}

/* The same for the second request on a kept connection. */
static void test_close_on_kept_connection(void)
{
	struct fixture f;
	int fd;

	fixture_init(&f);
	f.respond = true;
	fd = client_connect(&f);
	client_send(fd);
	run_loop(&f, ITERATIONS);
	g_assert_cmpuint(f.done, ==, 1);
	f.respond = false;
	f.begun = f.done = 0;
	client_send(fd);
	close(fd);
	check_none_pending(&f);
	fixture_destroy(&f);
}

/* Guards against missing a close that arrives while the request waits for a server. */
static void test_close_while_waiting(void)
{
	struct fixture f;
	int fd;

	fixture_init(&f);
	fd = client_connect(&f);
	client_send(fd);
	run_loop(&f, ITERATIONS);
	g_assert_cmpuint(f.begun, ==, 1);
	close(fd);
	check_none_pending(&f);
	fixture_destroy(&f);
}

static void respond(struct cs_call *call, const char *body)
{
	struct head none = {0};

	cs_call_respond(call, 200, &none, body, strlen(body));
}

/* Runs the loop and appends what the client received so far; true at the end of the connection. */
static bool receive(struct fixture *f, int fd, GString *text)
{
	char buf[4096];
	ssize_t n;

	run_loop(f, ITERATIONS);
	while ((n = recv(fd, buf, sizeof(buf), MSG_DONTWAIT)) > 0)
		g_string_append_len(text, buf, n);
	return n == 0;
}

/* Checks that the texts occur in this order, and how many responses there are. */
static void check_order(const GString *text, unsigned n_responses, const char *const *parts)
{
	const char *p = text->str;
	unsigned n = 0;

	for (; *parts != NULL; parts++) {
		p = strstr(p, *parts);
		g_assert_nonnull(p);
		p += strlen(*parts);
	}
	for (p = text->str; (p = strstr(p, "HTTP/1.1 ")) != NULL; p++)
		n++;
	g_assert_cmpuint(n, ==, n_responses);
}

/* Guards against responses in another order than their requests. */
static void test_ahead_reverse_order(void)
{
	static const char *const expected[] = {"body-0", "body-1", "body-2", "body-3", NULL};
	GString *text = g_string_new("");
	struct fixture f;
	char body[16];
	int fd, i;

	fixture_init(&f);
	fd = client_connect(&f);
	send_text(fd, GET_S("0") GET_S("1") GET_S("2") GET_S("3"));
	run_loop(&f, ITERATIONS);
	g_assert_cmpuint(f.begun, ==, 4);
	for (i = 3; i >= 0; i--) {
		g_assert_false(receive(&f, fd, text));
		g_assert_cmpuint(text->len, ==, 0);
		g_snprintf(body, sizeof(body), "body-%d", i);
		respond(f.calls[i], body);
	}
	g_assert_false(receive(&f, fd, text));
	check_order(text, 4, expected);
	g_assert_cmpuint(f.done, ==, 4);
	g_string_free(text, TRUE);
	close(fd);
	fixture_destroy(&f);
}

/* Guards against requests that begin although the responses before them may close the connection. */
static void test_ahead_waits(void)
{
	static const struct {
		const char *requests;
		unsigned begun; /* before the first response */
	} cases[] = {
		{GET_S("0") POST_U("1") GET_S("2"), 1},
		{GET_S("0") GET_U("1"), 1},
		{GET_U("0") GET_S("1") GET_S("2"), 3},
		{POST_U("0") GET_S("1"), 1},
		{GET_D("0") GET_S("1"), 1},
		{GET_S("0") GET_D("1"), 1},
	};
	struct fixture f;
	unsigned i;
	int fd;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		fixture_init(&f);
		fd = client_connect(&f);
		send_text(fd, cases[i].requests);
		run_loop(&f, ITERATIONS);
		g_assert_cmpuint(f.begun, ==, cases[i].begun);
		respond(f.calls[0], "ok");
		run_loop(&f, ITERATIONS);
		g_assert_cmpuint(f.begun, >=, 2);
		close(fd);
		fixture_destroy(&f);
	}
}

/*
 * Guards against a request that begins behind one whose route changed its kind while it was held,
 * so that its response may close the connection.
 */
static void test_ahead_changes_while_held(void)
{
	struct fixture f;
	int fd;

	fixture_init(&f);
	fd = client_connect(&f);
	send_text(fd, GET_D("0") GET_S("1"));
	run_loop(&f, ITERATIONS);
	g_assert_cmpuint(f.begun, ==, 1);
	f.none_follow = true;
	respond(f.calls[0], "ok");
	run_loop(&f, ITERATIONS);
	g_assert_cmpuint(f.begun, ==, 2);
	f.none_follow = false;
	send_text(fd, GET_S("2"));
	run_loop(&f, ITERATIONS);
	g_assert_cmpuint(f.begun, ==, 2);
	respond(f.calls[1], "ok");
	run_loop(&f, ITERATIONS);
	g_assert_cmpuint(f.begun, ==, 3);
	close(fd);
	fixture_destroy(&f);
}

/* Guards against a request that begins behind a response that closes the connection. */
static void test_ahead_behind_close(void)
{
	GString *text = g_string_new("");
	struct fixture f;
	int fd;

	fixture_init(&f);
	fd = client_connect(&f);
	send_text(fd, GET_S("0") POST_U("1") GET_S("2"));
	run_loop(&f, ITERATIONS);
	cs_call_close_after_response(f.calls[0]);
	respond(f.calls[0], "last");
	g_assert_true(receive(&f, fd, text));
	g_assert_nonnull(strstr(text->str, "Connection: close"));
	g_assert_cmpuint(f.begun, ==, 1);
	g_assert_cmpuint(f.done, ==, 1);
	g_string_free(text, TRUE);
	close(fd);
	fixture_destroy(&f);
}

/* Guards against a planned stop that cuts requests which were begun ahead, or begins further ones. */
static void test_ahead_stop(void)
{
	static const char *const expected[] = {"first", "second", NULL};
	GString *text = g_string_new("");
	struct fixture f;
	int fd;

	fixture_init(&f);
	fd = client_connect(&f);
	send_text(fd, GET_S("0") GET_S("1"));
	run_loop(&f, ITERATIONS);
	cs_ingress_disable_keep_alive(f.ingress);
	cs_ingress_stop_listening(f.ingress);
	send_text(fd, GET_S("2"));
	run_loop(&f, ITERATIONS);
	g_assert_cmpuint(f.begun, ==, 2);
	respond(f.calls[0], "first");
	g_assert_false(receive(&f, fd, text));
	g_assert_null(strstr(text->str, "Connection: close"));
	respond(f.calls[1], "second");
	g_assert_true(receive(&f, fd, text));
	check_order(text, 2, expected);
	g_assert_nonnull(strstr(text->str, "Connection: close"));
	g_assert_cmpuint(f.begun, ==, 2);
	g_string_free(text, TRUE);
	close(fd);
	fixture_destroy(&f);
}

/* Guards against connections that were not accepted yet and are reset when the listener closes. */
static void test_stop_accepts_backlog(void)
{
	GString *text = g_string_new("");
	struct fixture f;
	int fd[8];
	unsigned i;

	fixture_init(&f);
	f.respond = true;
	for (i = 0; i < G_N_ELEMENTS(fd); i++) {
		fd[i] = client_connect(&f);
		send_text(fd[i], GET_S("0"));
	}
	cs_ingress_disable_keep_alive(f.ingress);
	cs_ingress_stop_listening(f.ingress);
	for (i = 0; i < G_N_ELEMENTS(fd); i++) {
		g_string_truncate(text, 0);
		g_assert_true(receive(&f, fd[i], text));
		g_assert_true(g_str_has_prefix(text->str, "HTTP/1.1 200"));
		close(fd[i]);
	}
	g_string_free(text, TRUE);
	fixture_destroy(&f);
}

/* Guards against a client that ties up memory by sending without reading. */
static void test_ahead_is_bounded(void)
{
	struct fixture f;
	unsigned i, sent = 0;
	char *large = g_strnfill(100 * 1024, 'x');
	int fd;

	fixture_init(&f);
	fd = client_connect(&f);
	for (i = 0; i < 1000; i++) {
		if (send(fd, GET_S("0"), strlen(GET_S("0")), MSG_NOSIGNAL | MSG_DONTWAIT) < 0)
			break;
		sent++;
		run_loop(&f, 1);
	}
	g_assert_cmpuint(sent, >, 300);
	g_assert_cmpuint(f.begun, <=, 16);
	for (i = 1; i < f.begun; i++)
		respond(f.calls[i], large);
	run_loop(&f, ITERATIONS);
	g_assert_cmpuint(f.begun, <=, 16);
	g_assert_cmpuint(f.done, ==, 0);
	close(fd);
	check_none_pending(&f);
	g_free(large);
	fixture_destroy(&f);
}

/* Guards against requests that go on for a client that has left. */
static void test_ahead_close_cancels_all(void)
{
	struct fixture f;
	int fd;

	fixture_init(&f);
	fd = client_connect(&f);
	send_text(fd, GET_S("0") GET_S("1") GET_S("2") POST_U("3"));
	run_loop(&f, ITERATIONS);
	g_assert_cmpuint(f.begun, ==, 3);
	close(fd);
	check_none_pending(&f);
	fixture_destroy(&f);
}

/* Guards against requests that are lost without a word behind a response that breaks off. */
static void test_ahead_broken(void)
{
	GString *text = g_string_new("");
	struct head none = {0};
	struct fixture f;
	int fd;

	fixture_init(&f);
	fd = client_connect(&f);
	send_text(fd, GET_S("0") GET_S("1") GET_S("2"));
	run_loop(&f, ITERATIONS);
	g_assert_cmpuint(f.begun, ==, 3);
	respond(f.calls[1], "second");
	f.stream_limit = 1000;
	cs_call_respond_stream(f.calls[0], 200, &none, 2000);
	g_assert_false(receive(&f, fd, text));
	g_assert_cmpuint(f.disconnected, ==, 0);
	f.stream_breaks = true;
	cs_call_resume(f.calls[0]);
	receive(&f, fd, text);
	g_assert_null(strstr(text->str, "second"));
	g_assert_cmpuint(f.disconnected, ==, 3);
	g_assert_cmpint(f.end, ==, CS_CALL_BROKEN);
	g_assert_cmpuint(f.done, ==, 3);
	g_string_free(text, TRUE);
	close(fd);
	fixture_destroy(&f);
}

/* Guards against a part of a request that is taken for a whole one when the connection ends. */
static void test_ahead_cut(void)
{
	GString *text = g_string_new("");
	struct fixture f;
	int fd;

	fixture_init(&f);
	fd = client_connect(&f);
	send_text(fd, GET_S("0") "GET /s1 HTTP/1.1\r\nHo");
	run_loop(&f, ITERATIONS);
	g_assert_cmpuint(f.begun, ==, 1);
	send_text(fd, "st: h\r\n\r\nGET /s2");
	run_loop(&f, ITERATIONS);
	g_assert_cmpuint(f.begun, ==, 2);
	respond(f.calls[0], "a");
	respond(f.calls[1], "b");
	g_assert_false(receive(&f, fd, text));
	g_assert_cmpuint(f.done, ==, 2);
	close(fd);
	run_loop(&f, ITERATIONS);
	g_assert_cmpuint(cs_ingress_connections(f.ingress), ==, 0);
	g_string_free(text, TRUE);
	fixture_destroy(&f);
}

/*
 * Guards against forms of RFC 9112 for which another parser would find another end of the request:
 * no request may begin from the bytes that follow, and the connection is closed.
 */
static void test_ambiguous_framing(void)
{
	static const char *const heads[] = {
		"Content-Length: 3\r\nContent-Length: 3\r\n\r\n",
		"Content-Length: 3\r\nContent-Length: 4\r\n\r\n",
		"Content-Length: 3, 3\r\n\r\n",
		"Content-Length: +3\r\n\r\n",
		"Content-Length: -3\r\n\r\n",
		"Content-Length: 0x3\r\n\r\n",
		"Content-Length:\r\n\r\n",
		"Content-Length: 18446744073709551615\r\n\r\n",
		"Content-Length: 18446744073709551617\r\n\r\n",
		"Content-Length : 3\r\n\r\n",
		"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
		"Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n",
		"Transfer-Encoding: identity\r\n\r\n",
		"Transfer-Encoding: gzip, chunked\r\n\r\n",
		"Transfer-Encoding: chunked, chunked\r\n\r\n",
		"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n",
		"Transfer-Encoding: \vchunked\r\n\r\n",
		"Transfer-Encoding : chunked\r\n\r\n",
		"X: a\r\n Content-Length: 3\r\n\r\n",
		"X: a\nContent-Length: 3\r\n\r\n",
		"X: a\rContent-Length: 3\r\n\r\n",
		" X: a\r\n\r\n",
		"X\r\n\r\n",
		": a\r\n\r\n",
		"Transfer-Encoding: chunked\r\n\r\n3\nabc\n0\n\n",
		"Transfer-Encoding: chunked\r\n\r\n3\rXabc\r\n0\r\n\r\n",
		"Transfer-Encoding: chunked\r\n\r\n3\r\nabcXX0\r\n\r\n",
		"Transfer-Encoding: chunked\r\n\r\n-3\r\nabc\r\n0\r\n\r\n",
		"Transfer-Encoding: chunked\r\n\r\n0x3\r\nabc\r\n0\r\n\r\n",
		"Transfer-Encoding: chunked\r\n\r\n3 \r\nabc\r\n0\r\n\r\n",
		"Transfer-Encoding: chunked\r\n\r\nffffffffffffffff0\r\nabc",
	};
	GString *text = g_string_new("");
	struct fixture f;
	char *request;
	unsigned i;
	int fd;

	for (i = 0; i < G_N_ELEMENTS(heads); i++) {
		fixture_init(&f);
		f.respond = true;
		fd = client_connect(&f);
		request =
			g_strconcat("POST /s0 HTTP/1.1\r\nHost: h\r\n", heads[i], GET_S("1"), NULL);
		send_text(fd, request);
		g_string_truncate(text, 0);
		g_assert_true(receive(&f, fd, text));
		g_assert_true(g_str_has_prefix(text->str, "HTTP/1.1 400"));
		g_assert_nonnull(strstr(text->str, "Connection: close"));
		g_assert_cmpuint(f.begun, ==, 1);
		g_assert_cmpuint(f.done, ==, f.begun);
		g_free(request);
		close(fd);
		fixture_destroy(&f);
	}
	g_string_free(text, TRUE);
}

/* Guards against protocol versions and request lines that the parser would accept. */
static void test_request_lines(void)
{
	static const struct {
		const char *line;
		const char *response;
	} cases[] = {
		{"GET /s HTTP/1.1", "HTTP/1.1 200"},  {"GET /s HTTP/1.0", "HTTP/1.1 200"},
		{"GET /s HTTP/2.0", "HTTP/1.1 505"},  {"GET /s HTTP/1.2", "HTTP/1.1 505"},
		{"GET /s HTTw/1.1", "HTTP/1.1 400"},  {"GET /s", "HTTP/1.1 400"},
		{"GET  /s HTTP/1.1", "HTTP/1.1 400"}, {"GET /s  HTTP/1.1", "HTTP/1.1 400"},
		{"GOT /s HTTP/1.1", "HTTP/1.1 501"},  {"\x16\x03\x01 TLS", "HTTP/1.1 400"},
	};
	GString *text = g_string_new("");
	struct fixture f;
	char *request;
	unsigned i;
	int fd;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		fixture_init(&f);
		f.respond = true;
		fd = client_connect(&f);
		request = g_strconcat(cases[i].line, "\r\nHost: h\r\n\r\n", NULL);
		send_text(fd, request);
		g_string_truncate(text, 0);
		receive(&f, fd, text);
		g_assert_true(g_str_has_prefix(text->str, cases[i].response));
		g_free(request);
		close(fd);
		fixture_destroy(&f);
	}
	g_string_free(text, TRUE);
}

/* Guards against a large response that occupies the loop while small ones are due. */
static void test_large_response_yields(void)
{
	GString *text = g_string_new("");
	struct head none = {0};
	struct fixture f;
	size_t before;
	int large, small;
	char buf[65536];

	fixture_init(&f);
	large = client_connect(&f);
	small = client_connect(&f);
	send_text(large, GET_D("0"));
	run_loop(&f, ITERATIONS);
	cs_call_respond_stream(f.call, 200, &none, STREAM_SIZE);
	ev_run(f.loop, EVRUN_NOWAIT);
	before = f.streamed;
	ev_run(f.loop, EVRUN_NOWAIT);
	/* At most 128 KB, and the block in which the limit was reached, in one turn of the loop. */
	g_assert_cmpuint(f.streamed - before, <=, 192 * 1024);
	send_text(small, GET_S("1"));
	f.respond = true;
	while (strstr(text->str, "ok") == NULL) {
		while (recv(large, buf, sizeof(buf), MSG_DONTWAIT) > 0)
			continue;
		receive(&f, small, text);
	}
	close(large);
	close(small);
	g_string_free(text, TRUE);
	fixture_destroy(&f);
}

/* Guards against a refused connection while idle ones hold the places. */
static void test_limit_closes_idle(void)
{
	GString *text = g_string_new("");
	struct fixture f;
	int fd[17];
	unsigned i;

	fixture_init(&f);
	f.respond = true;
	for (i = 0; i < G_N_ELEMENTS(fd); i++) {
		fd[i] = client_connect(&f);
		send_text(fd[i], GET_S("0"));
		g_string_truncate(text, 0);
		receive(&f, fd[i], text);
		g_assert_true(g_str_has_prefix(text->str, "HTTP/1.1 200"));
	}
	g_assert_cmpuint(cs_ingress_connections(f.ingress), ==, 16);
	g_assert_true(receive(&f, fd[0], text));
	for (i = 0; i < G_N_ELEMENTS(fd); i++)
		close(fd[i]);
	g_string_free(text, TRUE);
	fixture_destroy(&f);
}

/* Guards against connections that are not accepted although requests on others have ended. */
static void test_limit_makes_room(void)
{
	GString *text = g_string_new("");
	struct fixture f;
	unsigned i;
	int fd[18];

	fixture_init(&f);
	for (i = 0; i < 17; i++) {
		fd[i] = client_connect(&f);
		send_text(fd[i], GET_S("0"));
		run_loop(&f, ITERATIONS);
	}
	/* The client of the next response is told that no further request is read. */
	g_assert_cmpuint(f.begun, ==, 16);
	respond(f.calls[5], "first");
	g_assert_true(receive(&f, fd[5], text));
	g_assert_nonnull(strstr(text->str, "Connection: close"));
	g_assert_nonnull(strstr(text->str, "first"));
	g_assert_cmpuint(f.begun, ==, 17);
	/* Nobody waits now; a connection that comes later takes the place of an idle one. */
	respond(f.calls[6], "second");
	g_string_truncate(text, 0);
	g_assert_false(receive(&f, fd[6], text));
	g_assert_null(strstr(text->str, "Connection: close"));
	fd[17] = client_connect(&f);
	send_text(fd[17], GET_S("0"));
	g_assert_true(receive(&f, fd[6], text));
	g_assert_cmpuint(f.begun, ==, 18);
	g_assert_cmpuint(f.disconnected, ==, 0);
	for (i = 0; i < 18; i++)
		close(fd[i]);
	g_string_free(text, TRUE);
	fixture_destroy(&f);
}

/* Guards against an idle connection that is closed although a request has arrived on it. */
static void test_limit_reads_requests(void)
{
	GString *text = g_string_new("");
	struct fixture f;
	unsigned i;
	int fd[18];

	fixture_init(&f);
	f.respond = true;
	for (i = 0; i < 16; i++) {
		fd[i] = client_connect(&f);
		send_text(fd[i], GET_S("0"));
		g_assert_false(receive(&f, fd[i], text));
	}
	f.respond = false;
	for (i = 16; i < 18; i++) {
		fd[i] = client_connect(&f);
		send_text(fd[i], GET_S("0"));
	}
	send_text(fd[0], GET_S("1"));
	send_text(fd[2], GET_S("1"));
	/* Accepts connections before input is reported. */
	cs_ingress_stop_listening(f.ingress);
	run_loop(&f, ITERATIONS);
	g_assert_cmpuint(f.begun, ==, 16 + 4);
	for (i = 16; i < f.begun; i++)
		respond(f.calls[i], "late");
	for (i = 0; i < 18; i++) {
		g_string_truncate(text, 0);
		g_assert_cmpint(receive(&f, fd[i], text), ==, i == 1 || i == 3);
		g_assert_cmpint(text->len > 0, ==, i == 0 || i == 2 || i >= 16);
		close(fd[i]);
	}
	g_string_free(text, TRUE);
	fixture_destroy(&f);
}

/*
 * Guards against an instance that accepts no connection any more, since the idle one that was to
 * make room had been closed by its client.
 */
static void test_limit_client_leaves(void)
{
	GString *text = g_string_new("");
	struct fixture f;
	int first, second, third;

	fixture_init_max(&f, 2);
	f.respond = true;
	first = client_connect(&f);
	send_text(first, GET_S("0"));
	g_assert_false(receive(&f, first, text));
	second = client_connect(&f);
	run_loop(&f, ITERATIONS);
	f.respond = false;
	third = client_connect(&f);
	/* While the request of the second begins, the first leaves and the third waits. */
	f.closed_fd = first;
	send_text(second, "GET /s1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
	run_loop(&f, ITERATIONS);
	respond(f.call, "last");
	g_assert_true(receive(&f, second, text));
	close(second);
	f.respond = true;
	send_text(third, GET_S("2"));
	g_string_truncate(text, 0);
	g_assert_false(receive(&f, third, text));
	g_assert_true(g_str_has_prefix(text->str, "HTTP/1.1 200"));
	close(third);
	g_string_free(text, TRUE);
	fixture_destroy(&f);
}

/* Guards against closing idle connections on which a request has arrived, as at a planned stop. */
static void test_close_idle_reads_requests(void)
{
	GString *text = g_string_new("");
	struct fixture f;
	int fd[2];

	fixture_init(&f);
	f.respond = true;
	fd[0] = client_connect(&f);
	fd[1] = client_connect(&f);
	run_loop(&f, ITERATIONS);
	cs_ingress_disable_keep_alive(f.ingress);
	send_text(fd[0], GET_S("0"));
	cs_ingress_close_idle(f.ingress);
	g_assert_true(receive(&f, fd[0], text));
	g_assert_true(g_str_has_prefix(text->str, "HTTP/1.1 200"));
	g_string_truncate(text, 0);
	g_assert_true(receive(&f, fd[1], text));
	g_assert_cmpuint(text->len, ==, 0);
	close(fd[0]);
	close(fd[1]);
	g_string_free(text, TRUE);
	fixture_destroy(&f);
}

/* Sends a request on a connection that this side has closed, and checks that it resets the client. */
static void check_is_reset(struct fixture *f, int fd)
{
	socklen_t len = sizeof(int);
	int error = 0;

	send_text(fd, GET_S("9"));
	run_loop(f, ITERATIONS);
	g_assert_cmpint(getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &len), ==, 0);
	g_assert_cmpint(error, ==, EPIPE);
}

/* Guards against a request that is read and discarded when it crosses the close at a planned stop. */
static void test_close_idle_resets(void)
{
	GString *text = g_string_new("");
	struct fixture f;
	int fd;

	fixture_init(&f);
	fd = client_connect(&f);
	run_loop(&f, ITERATIONS);
	cs_ingress_close_idle(f.ingress);
	check_is_reset(&f, fd);
	g_assert_cmpuint(cs_ingress_lingering(f.ingress), ==, 0);
	g_assert_cmpuint(f.begun, ==, 0);
	close(fd);
	g_string_free(text, TRUE);
	fixture_destroy(&f);
}

/* Idle time of the tests below, and a time that exceeds it. */
#define IDLE_S 1
#define IDLE_EXCEEDED_MS 1400

static void run_ms(struct fixture *f, unsigned ms)
{
	uint64_t end = cs_mono_us() + ms * CS_US_PER_MS;

	while (cs_mono_us() < end)
		run_loop(f, 1);
}

/* Connects a client and sends the start of a request, or one that the owner holds up. */
static int connect_idle(struct fixture *f, const char *input)
{
	int fd;

	fixture_init(f);
	cs_ingress_set_idle_timeout(f->ingress, IDLE_S);
	fd = client_connect(f);
	send_text(fd, input);
	run_loop(f, ITERATIONS);
	return fd;
}

/* The connection waits for its client from now on: it is closed after the idle time, not before. */
static void check_idle_time(struct fixture *f)
{
	unsigned ms;

	run_ms(f, 400);
	g_assert_cmpuint(cs_ingress_connections(f->ingress), ==, 1);
	for (ms = 0; ms < 2 * IDLE_EXCEEDED_MS && cs_ingress_connections(f->ingress) > 0; ms += 50)
		run_ms(f, 50);
	g_assert_cmpuint(cs_ingress_connections(f->ingress), ==, 0);
	g_assert_cmpuint(f->done, ==, f->begun);
}

/* Guards against a response that is cut because the server pauses within it. */
static void test_idle_paused_response(void)
{
	/* The response to a request whose body never comes is as complete as any. */
	static const char *const requests[] = {
		GET_D("0"), "POST /u0 HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nxy"};
	GString *text = g_string_new("");
	struct head none = {0};
	struct fixture f;
	unsigned i;
	int fd;

	for (i = 0; i < G_N_ELEMENTS(requests); i++) {
		fd = connect_idle(&f, requests[i]);
		f.stream_limit = 1000;
		f.stream_size = 2000;
		cs_call_respond_stream(f.call, 200, &none, f.stream_size);
		run_ms(&f, IDLE_EXCEEDED_MS);
		g_assert_cmpuint(f.disconnected, ==, 0);
		f.stream_limit = f.stream_size;
		cs_call_resume(f.call);
		g_string_truncate(text, 0);
		receive(&f, fd, text);
		g_assert_cmpuint(text->len, >, f.stream_size);
		g_assert_cmpuint(f.disconnected, ==, 0);
		g_assert_cmpuint(f.done, ==, 1);
		close(fd);
		fixture_destroy(&f);
	}
	g_string_free(text, TRUE);
}

/* Guards against a client that is closed for the time in which it waited for its response. */
static void test_idle_after_response(void)
{
	struct fixture f;
	int fd = connect_idle(&f, GET_S("0") GET_S("1"));

	g_assert_cmpuint(f.begun, ==, 2);
	respond(f.calls[1], "second");
	run_ms(&f, IDLE_EXCEEDED_MS);
	g_assert_cmpuint(f.disconnected, ==, 0);
	respond(f.calls[0], "first");
	run_loop(&f, ITERATIONS);
	g_assert_cmpuint(f.done, ==, 2);
	check_idle_time(&f);
	close(fd);
	fixture_destroy(&f);
}

/* Guards against a request that is cut because its server is slow to take the body. */
static void test_idle_blocked_body(void)
{
	struct fixture f;
	int fd;

	fixture_init(&f);
	f.refuse_body = true;
	cs_ingress_set_idle_timeout(f.ingress, IDLE_S);
	fd = client_connect(&f);
	send_text(fd, "POST /u0 HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nxy");
	run_ms(&f, IDLE_EXCEEDED_MS);
	g_assert_cmpuint(f.begun, ==, 1);
	g_assert_cmpuint(f.disconnected, ==, 0);
	f.refuse_body = false;
	cs_call_resume(f.call);
	/* The rest of the body is the client's. */
	check_idle_time(&f);
	g_assert_cmpint(f.end, ==, CS_CALL_IDLE);
	close(fd);
	fixture_destroy(&f);
}

/* Guards against connections that stay open for clients that send no more. */
static void test_idle_silent_client(void)
{
	static const char *const inputs[] = {
		"",
		"GET /s0 HTT",
		"POST /u0 HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nxy",
		"POST /u0 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nx",
		"POST /u0 HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 9\r\n\r\n",
	};
	struct fixture f;
	unsigned i;
	int fd;

	for (i = 0; i < G_N_ELEMENTS(inputs); i++) {
		fd = connect_idle(&f, inputs[i]);
		check_idle_time(&f);
		close(fd);
		fixture_destroy(&f);
	}
}

/* Guards against input that is not seen because its connection's idle time ends first. */
static void test_idle_reads_requests(void)
{
	static const char *const inputs[][2] = {
		{"", GET_S("0")},
		{"GET /s0 HTT", "P/1.1\r\nHost: h\r\n\r\n"},
		{"POST /u0 HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nxy", "xy"},
	};
	GString *text = g_string_new("");
	struct fixture f;
	unsigned i;
	int fd, other;

	for (i = 0; i < G_N_ELEMENTS(inputs); i++) {
		fd = connect_idle(&f, inputs[i][0]);
		other = client_connect(&f);
		run_loop(&f, ITERATIONS);
		f.respond = true;
		/* The input arrives after the loop looked for some and before it runs the timer. */
		g_usleep(IDLE_EXCEEDED_MS * 1000);
		send_text(other, GET_S("2"));
		f.late_fd = fd;
		f.late_text = inputs[i][1];
		g_string_truncate(text, 0);
		g_assert_false(receive(&f, fd, text));
		g_assert_true(g_str_has_prefix(text->str, "HTTP/1.1 200"));
		close(fd);
		close(other);
		fixture_destroy(&f);
	}
	g_string_free(text, TRUE);
}

/* Guards against a request that is read and discarded when it crosses the close of its connection. */
static void test_idle_resets(void)
{
	GString *text = g_string_new("");
	struct fixture f;
	int fd = connect_idle(&f, "");

	f.respond = true;
	send_text(fd, GET_S("0"));
	g_assert_false(receive(&f, fd, text));
	check_idle_time(&f);
	check_is_reset(&f, fd);
	g_assert_cmpuint(f.begun, ==, 1);
	close(fd);
	g_string_free(text, TRUE);
	fixture_destroy(&f);
}

/*
 * Guards against a connection that is closed earlier than its client expects: the idle timeout was
 * lowered while it was idle.
 */
static void test_idle_lowered(void)
{
	GString *text = g_string_new("");
	struct fixture f;
	int fd;

	fixture_init(&f);
	f.respond = true;
	cs_ingress_set_idle_timeout(f.ingress, 2 * IDLE_S);
	fd = client_connect(&f);
	run_ms(&f, 800);
	send_text(fd, GET_S("0"));
	g_assert_false(receive(&f, fd, text));
	cs_ingress_set_idle_timeout(f.ingress, IDLE_S);
	run_ms(&f, IDLE_EXCEEDED_MS);
	g_assert_cmpuint(cs_ingress_connections(f.ingress), ==, 1);
	/* From its next response on the lower one applies. */
	send_text(fd, GET_S("1"));
	run_loop(&f, ITERATIONS);
	g_assert_cmpuint(f.begun, ==, 2);
	run_ms(&f, 400);
	g_assert_cmpuint(cs_ingress_connections(f.ingress), ==, 1);
	run_ms(&f, 2 * IDLE_EXCEEDED_MS);
	g_assert_cmpuint(cs_ingress_connections(f.ingress), ==, 0);
	close(fd);
	g_string_free(text, TRUE);
	fixture_destroy(&f);
}

/* Guards against clients that use a connection until it is closed, as they do not know when. */
static void test_idle_announced(void)
{
	GString *text = g_string_new("");
	struct fixture f;
	int fd;

	fixture_init(&f);
	f.respond = true;
	cs_ingress_set_idle_timeout(f.ingress, 16);
	fd = client_connect(&f);
	send_text(fd, GET_S("0"));
	g_assert_false(receive(&f, fd, text));
	g_assert_nonnull(strstr(text->str, "\r\nKeep-Alive: timeout=15\r\n"));
	g_string_truncate(text, 0);
	cs_ingress_disable_keep_alive(f.ingress);
	send_text(fd, GET_S("1"));
	g_assert_true(receive(&f, fd, text));
	g_assert_nonnull(strstr(text->str, "\r\nConnection: close\r\n"));
	g_assert_null(strstr(text->str, "Keep-Alive"));
	close(fd);
	g_string_free(text, TRUE);
	fixture_destroy(&f);
}

/* Guards against input that is discarded without a report: a request behind the last response. */
static void test_linger_late(void)
{
	GString *text = g_string_new("");
	struct fixture f;
	int fd;

	fixture_init(&f);
	f.respond = true;
	fd = client_connect(&f);
	run_loop(&f, ITERATIONS);
	cs_ingress_disable_keep_alive(f.ingress);
	send_text(fd, GET_S("0"));
	g_assert_true(receive(&f, fd, text));
	send_text(fd, GET_S("1"));
	run_loop(&f, ITERATIONS);
	close(fd);
	run_loop(&f, ITERATIONS);
	g_assert_cmpuint(f.n_cuts, ==, 1);
	g_assert_cmpint(f.cut_why[0], ==, CS_LINGER_LATE);
	g_assert_cmpuint(f.cut_bytes, ==, strlen(GET_S("1")));
	g_string_free(text, TRUE);
	fixture_destroy(&f);
}

/* Guards against a connection that holds its response for a client that does not read. */
static void test_idle_no_reader(void)
{
	struct head none = {0};
	struct fixture f;
	int fd = connect_idle(&f, GET_D("0"));

	cs_call_respond_stream(f.call, 200, &none, STREAM_SIZE);
	check_idle_time(&f);
	g_assert_cmpuint(f.disconnected, ==, 1);
	g_assert_cmpint(f.end, ==, CS_CALL_IDLE);
	close(fd);
	fixture_destroy(&f);
}

/* Guards against a slow client that is closed while it takes its response. */
static void test_idle_slow_reader(void)
{
	struct head none = {0};
	struct fixture f;
	char buf[4096];
	int fd, size = 16 * 1024;
	uint64_t end;

	/* The client's system announces room for small parts; the server's takes much more at once.
	 */
	fixture_init(&f);
	cs_ingress_set_idle_timeout(f.ingress, IDLE_S);
	fd = client_connect_sized(&f, size);
	send_text(fd, GET_D("0"));
	run_loop(&f, ITERATIONS);
	cs_call_respond_stream(f.call, 200, &none, STREAM_SIZE);
	end = cs_mono_us() + 4 * CS_US_PER_S;
	while (cs_mono_us() < end) {
		run_ms(&f, 50);
		g_assert_cmpuint(f.disconnected, ==, 0);
		g_assert_cmpint(recv(fd, buf, sizeof(buf), 0), >, 0);
	}
	/* From here on it takes nothing. */
	check_idle_time(&f);
	g_assert_cmpint(f.end, ==, CS_CALL_IDLE);
	close(fd);
	fixture_destroy(&f);
}

/* Guards against a client that keeps its response waiting by sending more. */
static void test_idle_no_reader_sends(void)
{
	struct head none = {0};
	struct fixture f;
	unsigned i;
	int fd = connect_idle(&f, GET_D("0"));

	cs_call_respond_stream(f.call, 200, &none, STREAM_SIZE);
	for (i = 0; i < 60 && f.disconnected == 0; i++) {
		run_ms(&f, 50);
		send(fd, "G", 1, MSG_NOSIGNAL);
	}
	g_assert_cmpuint(f.disconnected, ==, 1);
	close(fd);
	fixture_destroy(&f);
}

/* Connects a client whose request is refused before its body. */
static int connect_refused(struct fixture *f)
{
	int fd = client_connect(f);

	send_text(fd, SLOW_POST);
	run_loop(f, 3);
	return fd;
}

static bool try_send(int fd)
{
	return send(fd, "x", 1, MSG_NOSIGNAL) == 1;
}

/* Runs the loop for a time in which the clients send a byte each 100 ms. */
static void send_for(struct fixture *f, uint64_t us, const int *fd, unsigned n)
{
	uint64_t end = cs_mono_us() + us;
	unsigned i;

	while (cs_mono_us() < end) {
		for (i = 0; i < n; i++)
			try_send(fd[i]);
		run_loop(f, 90);
	}
}

/* Checks that the client has received the refusal and the end of the connection. */
static void check_refused(int fd)
{
	char buf[4096];
	ssize_t n = recv(fd, buf, sizeof(buf), MSG_DONTWAIT);

	g_assert_cmpint(n, >, (int)strlen(REFUSED));
	g_assert_cmpint(strncmp(buf, REFUSED, strlen(REFUSED)), ==, 0);
	g_assert_cmpint(recv(fd, buf, sizeof(buf), MSG_DONTWAIT), ==, 0);
}

/* Guards against a refusal that is lost because its client sends for longer than 3 s. */
static void test_linger_slow_sender(void)
{
	struct fixture f;
	unsigned i;
	int fd[2];

	fixture_init(&f);
	f.refuse = true;
	f.wait_us = 8 * CS_US_PER_S;
	fd[0] = connect_refused(&f);
	f.wait_us = 0;
	fd[1] = connect_refused(&f);
	send_for(&f, 4 * CS_US_PER_S, fd, 2);
	g_assert_cmpuint(cs_ingress_lingering(f.ingress), ==, 2);
	for (i = 0; i < G_N_ELEMENTS(fd); i++) {
		g_assert_true(try_send(fd[i]));
		check_refused(fd[i]);
		close(fd[i]);
	}
	run_loop(&f, ITERATIONS);
	g_assert_cmpuint(cs_ingress_lingering(f.ingress), ==, 0);
	g_assert_cmpuint(f.n_cuts, ==, 0);
	fixture_destroy(&f);
}

/* Guards against refusals that are lost because more than 256 clients still send. */
static void test_linger_many(void)
{
	struct fixture f;
	unsigned i;
	int fd[300];

	fixture_init_max(&f, 400);
	f.refuse = true;
	for (i = 0; i < G_N_ELEMENTS(fd); i++)
		fd[i] = connect_refused(&f);
	g_assert_cmpuint(cs_ingress_lingering(f.ingress), ==, G_N_ELEMENTS(fd));
	for (i = 0; i < G_N_ELEMENTS(fd); i++)
		g_assert_true(try_send(fd[i]));
	run_loop(&f, ITERATIONS);
	for (i = 0; i < G_N_ELEMENTS(fd); i++) {
		g_assert_true(try_send(fd[i]));
		check_refused(fd[i]);
		close(fd[i]);
	}
	g_assert_cmpuint(f.n_cuts, ==, 0);
	fixture_destroy(&f);
}

/* Guards against connections that hold their places after the close: silent, past the deadline,
 * idle. */
static void test_linger_ends(void)
{
	struct fixture f;
	int sender, silent, late, idle, both[2];

	fixture_init(&f);
	idle = client_connect(&f);
	run_loop(&f, ITERATIONS);
	f.refuse = true;
	f.wait_us = 100 * CS_US_PER_MS;
	late = connect_refused(&f);
	f.wait_us = 30 * CS_US_PER_S;
	sender = connect_refused(&f);
	silent = connect_refused(&f);
	cs_ingress_close_idle(f.ingress);
	g_assert_cmpuint(cs_ingress_lingering(f.ingress), ==, 3);
	check_is_reset(&f, idle);
	both[0] = sender;
	both[1] = late;
	send_for(&f, 1500 * CS_US_PER_MS, both, 2);
	g_assert_cmpuint(cs_ingress_lingering(f.ingress), ==, 3);
	g_assert_cmpuint(f.n_cuts, ==, 0);
	send_for(&f, 2 * CS_US_PER_S, both, 2);
	g_assert_cmpuint(cs_ingress_lingering(f.ingress), ==, 1);
	g_assert_cmpuint(f.n_cuts, ==, 2);
	g_assert_cmpint(f.cut_why[0], ==, CS_LINGER_TIME);
	g_assert_cmpint(f.cut_why[1], ==, CS_LINGER_SILENT);
	check_refused(silent);
	g_assert_true(try_send(sender));
	check_refused(sender);
	close(sender);
	close(silent);
	close(late);
	close(idle);
	fixture_destroy(&f);
}

/* Guards against lingering connections that wait although all of the request has arrived. */
static void test_linger_complete(void)
{
	char body[1000];
	struct fixture f;
	int fd;

	fixture_init(&f);
	f.refuse = true;
	f.wait_us = 30 * CS_US_PER_S;
	fd = connect_refused(&f);
	memset(body, 'x', sizeof(body));
	g_assert_cmpint(send(fd, body, sizeof(body), MSG_NOSIGNAL), ==, (int)sizeof(body));
	run_loop(&f, 500);
	g_assert_cmpuint(cs_ingress_lingering(f.ingress), ==, 1);
	run_loop(&f, 1000);
	g_assert_cmpuint(cs_ingress_lingering(f.ingress), ==, 0);
	g_assert_cmpuint(f.n_cuts, ==, 0);
	check_refused(fd);
	close(fd);
	fixture_destroy(&f);
}

/* Guards against lingering connections that take more descriptors than there are. */
static void test_linger_room(void)
{
	struct fixture f;
	int fd[16], idle, more;
	unsigned i;

	fixture_init(&f);
	f.refuse = true;
	for (i = 0; i < 15; i++)
		fd[i] = connect_refused(&f);
	idle = client_connect(&f);
	run_loop(&f, ITERATIONS);
	/* The idle connection makes room, then the silent one. */
	fd[15] = connect_refused(&f);
	g_assert_cmpuint(cs_ingress_connections(f.ingress), ==, 0);
	g_assert_cmpuint(cs_ingress_lingering(f.ingress), ==, 16);
	g_assert_cmpuint(f.n_cuts, ==, 0);
	for (i = 0; i < G_N_ELEMENTS(fd); i++)
		if (i != 7)
			g_assert_true(try_send(fd[i]));
	run_loop(&f, ITERATIONS);
	more = client_connect(&f);
	run_loop(&f, ITERATIONS);
	g_assert_cmpuint(cs_ingress_connections(f.ingress), ==, 1);
	g_assert_cmpuint(cs_ingress_lingering(f.ingress), ==, 15);
	g_assert_cmpuint(f.n_cuts, ==, 1);
	g_assert_cmpint(f.cut_why[0], ==, CS_LINGER_ROOM);
	g_assert_cmpstr(f.cut_name, ==, "/u0");
	for (i = 0; i < G_N_ELEMENTS(fd); i++) {
		g_assert_true(i == 7 || try_send(fd[i]));
		check_refused(fd[i]);
		close(fd[i]);
	}
	close(idle);
	close(more);
	fixture_destroy(&f);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/ingress/close-before-accept", test_close_before_accept);
	g_test_add_func("/ingress/close-before-read", test_close_before_read);
	g_test_add_func("/ingress/close-with-body", test_close_with_body);
	g_test_add_func("/ingress/close-on-kept-connection", test_close_on_kept_connection);
	g_test_add_func("/ingress/close-while-waiting", test_close_while_waiting);
	g_test_add_func("/ingress/ahead/reverse-order", test_ahead_reverse_order);
	g_test_add_func("/ingress/ahead/waits", test_ahead_waits);
	g_test_add_func("/ingress/ahead/changes-while-held", test_ahead_changes_while_held);
	g_test_add_func("/ingress/ahead/behind-close", test_ahead_behind_close);
	g_test_add_func("/ingress/ahead/stop", test_ahead_stop);
	g_test_add_func("/ingress/ahead/bounded", test_ahead_is_bounded);
	g_test_add_func("/ingress/ahead/close-cancels-all", test_ahead_close_cancels_all);
	g_test_add_func("/ingress/ahead/broken", test_ahead_broken);
	g_test_add_func("/ingress/ahead/cut", test_ahead_cut);
	g_test_add_func("/ingress/stop-accepts-backlog", test_stop_accepts_backlog);
	g_test_add_func("/ingress/ambiguous-framing", test_ambiguous_framing);
	g_test_add_func("/ingress/request-lines", test_request_lines);
	g_test_add_func("/ingress/large-response-yields", test_large_response_yields);
	g_test_add_func("/ingress/limit-closes-idle", test_limit_closes_idle);
	g_test_add_func("/ingress/limit-makes-room", test_limit_makes_room);
	g_test_add_func("/ingress/limit-reads-requests", test_limit_reads_requests);
	g_test_add_func("/ingress/limit-client-leaves", test_limit_client_leaves);
	g_test_add_func("/ingress/close-idle-reads-requests", test_close_idle_reads_requests);
	g_test_add_func("/ingress/close-idle-resets", test_close_idle_resets);
	g_test_add_func("/ingress/idle/reads-requests", test_idle_reads_requests);
	g_test_add_func("/ingress/idle/resets", test_idle_resets);
	g_test_add_func("/ingress/idle/lowered", test_idle_lowered);
	g_test_add_func("/ingress/idle/announced", test_idle_announced);
	g_test_add_func("/ingress/idle/paused-response", test_idle_paused_response);
	g_test_add_func("/ingress/idle/after-response", test_idle_after_response);
	g_test_add_func("/ingress/idle/blocked-body", test_idle_blocked_body);
	g_test_add_func("/ingress/idle/silent-client", test_idle_silent_client);
	g_test_add_func("/ingress/idle/no-reader", test_idle_no_reader);
	g_test_add_func("/ingress/idle/no-reader-sends", test_idle_no_reader_sends);
	g_test_add_func("/ingress/idle/slow-reader", test_idle_slow_reader);
	g_test_add_func("/ingress/linger/slow-sender", test_linger_slow_sender);
	g_test_add_func("/ingress/linger/many", test_linger_many);
	g_test_add_func("/ingress/linger/ends", test_linger_ends);
	g_test_add_func("/ingress/linger/late", test_linger_late);
	g_test_add_func("/ingress/linger/complete", test_linger_complete);
	g_test_add_func("/ingress/linger/room", test_linger_room);
	return g_test_run();
}
