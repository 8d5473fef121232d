/* Timeouts of cs_fetch, with a test server on a loopback socket. */
#include <arpa/inet.h>
#include <fcntl.h>
#include <glib.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http/http.h"

#define PART_INTERVAL_MS 150
#define BODY_PARTS 5

struct fixture {
	struct ev_loop *loop;
	struct cs_timers *timers;
	struct cs_curl *curl;
	int listener, fd;
	char url[64];
	struct cs_timer part_timer;
	unsigned sent_parts; /* parts of the response body */
	bool done;
	CURLcode code;
	size_t len;
};

static void on_result(const struct cs_fetch_result *res, void *arg)
{
	struct fixture *f = arg;

	f->done = true;
	f->code = res->code;
	f->len = res->len;
}

static void send_text(struct fixture *f, const char *text)
{
	g_assert_cmpint(send(f->fd, text, strlen(text), MSG_NOSIGNAL), ==, (int)strlen(text));
}

/* Sends the next part of the response body; one every PART_INTERVAL_MS. */
static void on_part_timer(struct cs_timer *t, void *arg)
{
	struct fixture *f = arg;
	char buf[1024];

	if (f->sent_parts == 0) {
		f->fd = accept(f->listener, NULL, NULL);
		g_assert_cmpint(recv(f->fd, buf, sizeof(buf), 0), >, 0);
		send_text(f, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n");
	}
	send_text(f, "x");
	if (++f->sent_parts < BODY_PARTS)
		cs_timer_start(f->timers, t, PART_INTERVAL_MS * CS_US_PER_MS);
}

static void fixture_init(struct fixture *f)
{
	struct sockaddr_in sa = {.sin_family = AF_INET};
	socklen_t len = sizeof(sa);

	memset(f, 0, sizeof(*f));
	f->fd = -1;
	f->loop = ev_loop_new(EVFLAG_AUTO);
	f->timers = cs_timers_create(f->loop);
	f->curl = cs_curl_create(f->loop, f->timers);
	cs_timer_init(&f->part_timer, on_part_timer, f);
	f->listener = socket(AF_INET, SOCK_STREAM, 0);
	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	g_assert_cmpint(bind(f->listener, (struct sockaddr *)&sa, sizeof(sa)), ==, 0);
	g_assert_cmpint(listen(f->listener, 8), ==, 0);
	g_assert_cmpint(getsockname(f->listener, (struct sockaddr *)&sa, &len), ==, 0);
	g_snprintf(f->url, sizeof(f->url), "http://127.0.0.1:%u/", ntohs(sa.sin_port));
}

static void fixture_destroy(struct fixture *f)
{
	cs_timer_stop(&f->part_timer);
	cs_curl_destroy(f->curl);
	cs_timers_destroy(f->timers);
	ev_loop_destroy(f->loop);
	close(f->listener);
	if (f->fd >= 0)
		close(f->fd);
}

/* Runs a fetch to its end; returns its duration in ms. */
static uint64_t fetch(struct fixture *f, unsigned first_byte_timeout_ms, unsigned total_timeout_ms)
{
	struct cs_fetch_opts opts = {.url = f->url,
				     .timeout_ms = total_timeout_ms,
				     .first_byte_timeout_ms = first_byte_timeout_ms,
				     .max_response = 100};
	uint64_t start = cs_mono_us();

	g_assert_nonnull(cs_fetch_start(f->curl, &opts, on_result, f));
	while (!f->done && cs_mono_us() - start < 5 * CS_US_PER_S)
		ev_run(f->loop, EVRUN_ONCE);
	g_assert_true(f->done);
	return (cs_mono_us() - start) / CS_US_PER_MS;
}

/*
 * Guards against aborting a large response on a slow link, which would fail again at each retry:
 * the timeout of the first byte must not apply to the complete response.
 */
static void test_slow_body_completes(void)
{
	struct fixture f;

	fixture_init(&f);
	cs_timer_start(f.timers, &f.part_timer, 50 * CS_US_PER_MS);
	fetch(&f, 300, 4000);
	g_assert_cmpint(f.code, ==, CURLE_OK);
	g_assert_cmpuint(f.len, ==, BODY_PARTS);
	fixture_destroy(&f);
}

/* Sends 128 KB of header lines, and neither the end of the head nor that of the connection. */
static void on_lines_timer(struct cs_timer *t, void *arg)
{
	struct fixture *f = arg;
	char buf[1024];
	unsigned i;

	f->fd = accept(f->listener, NULL, NULL);
	g_assert_cmpint(recv(f->fd, buf, sizeof(buf), 0), >, 0);
	send_text(f, "HTTP/1.1 200 OK\r\n");
	for (i = 0; i < 8192; i++)
		send_text(f, "X-Line: 123456\r\n");
}

/* Guards against keeping all that a faulty store sends as a head, until the call times out. */
static void test_endless_head_fails(void)
{
	struct fixture f;
	uint64_t took_ms;

	fixture_init(&f);
	f.part_timer.cb = on_lines_timer;
	cs_timer_start(f.timers, &f.part_timer, 50 * CS_US_PER_MS);
	took_ms = fetch(&f, 300, 4000);
	g_assert_cmpint(f.code, ==, CURLE_WRITE_ERROR);
	g_assert_cmpuint(took_ms, <, 4000);
	fixture_destroy(&f);
}

/* Guards against waiting for a silent server as long as for a complete response. */
static void test_silent_server_times_out_early(void)
{
	struct fixture f;

	fixture_init(&f);
	g_assert_cmpuint(fetch(&f, 300, 4000), <, 1000);
	g_assert_cmpint(f.code, ==, CURLE_OPERATION_TIMEDOUT);
	fixture_destroy(&f);
}

/* Guards against a response that starts in time but never completes. */
static void test_total_timeout_applies_to_body(void)
{
	struct fixture f;

	fixture_init(&f);
	cs_timer_start(f.timers, &f.part_timer, 50 * CS_US_PER_MS);
	fetch(&f, 300, 450);
	g_assert_cmpint(f.code, ==, CURLE_OPERATION_TIMEDOUT);
	fixture_destroy(&f);
}

/*
 * Runs a call, which the server responds to with the text; fd is the connection of an earlier call,
 * or -1. Returns the connection that the request came on.
 */
static int serve_call(struct fixture *f, const char *method, int fd, const char *response)
{
	struct cs_fetch_opts opts = {.url = f->url,
				     .method = method,
				     .body = method != NULL ? "{}" : NULL,
				     .body_len = method != NULL ? 2 : 0,
				     .timeout_ms = 1000,
				     .max_response = 100};
	uint64_t start = cs_mono_us();
	char buf[1024];
	int new_fd = -1;

	f->done = false;
	f->len = 0;
	g_assert_nonnull(cs_fetch_start(f->curl, &opts, on_result, f));
	while (!f->done && cs_mono_us() - start < 5 * CS_US_PER_S) {
		ev_run(f->loop, EVRUN_NOWAIT);
		if (new_fd < 0)
			new_fd = accept(f->listener, NULL, NULL);
		if (new_fd >= 0)
			fd = new_fd;
		if (fd >= 0 && recv(fd, buf, sizeof(buf), MSG_DONTWAIT) > 0)
			g_assert_cmpint(send(fd, response, strlen(response), MSG_NOSIGNAL), >, 0);
		g_usleep(200);
	}
	g_assert_true(f->done);
	return fd;
}

/* Guards against the copy of the response to a write that is taken for the response to a read. */
static void test_response_to_write_not_read(void)
{
	static const char write_response[] = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nw";
	static const char read_response[] = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nread";
	struct fixture f;
	int fd, read_fd;

	fixture_init(&f);
	g_assert_cmpint(fcntl(f.listener, F_SETFL, O_NONBLOCK), ==, 0);
	fd = serve_call(&f, "POST", -1, write_response);
	g_assert_cmpuint(f.len, ==, 1);
	send(fd, write_response, strlen(write_response), MSG_NOSIGNAL);
	g_usleep(5000);
	read_fd = serve_call(&f, NULL, fd, read_response);
	g_assert_cmpint(f.code, ==, CURLE_OK);
	g_assert_cmpuint(f.len, ==, 4);
	g_assert_cmpint(read_fd, !=, fd);
	/* Reads keep their connection. */
	g_assert_cmpint(serve_call(&f, NULL, read_fd, read_response), ==, read_fd);
	close(fd);
	close(read_fd);
	fixture_destroy(&f);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	curl_global_init(CURL_GLOBAL_NOTHING);
	g_test_add_func("/fetch/endless-head-fails", test_endless_head_fails);
	g_test_add_func("/fetch/slow-body-completes", test_slow_body_completes);
	g_test_add_func("/fetch/silent-server-times-out-early", test_silent_server_times_out_early);
	g_test_add_func("/fetch/total-timeout-applies-to-body", test_total_timeout_applies_to_body);
	g_test_add_func("/fetch/response-to-write-not-read", test_response_to_write_not_read);
	return g_test_run();
}
