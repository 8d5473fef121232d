/* cs_fetch against a server of the test's own: what counts as no answer. */
#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http/http.h"

#define PART_MS 150
#define PARTS 5

struct rig {
	struct ev_loop *loop;
	struct cs_timers *timers;
	struct cs_curl *curl;
	int listener, fd;
	char url[64];
	struct cs_timer next;
	unsigned sent; /* parts of the answer */
	bool done;
	CURLcode code;
	size_t len;
};

static void on_result(const struct cs_fetch_result *res, void *arg)
{
	struct rig *r = arg;

	r->done = true;
	r->code = res->code;
	r->len = res->len;
}

static void send_text(struct rig *r, const char *text)
{
	g_assert_cmpint(send(r->fd, text, strlen(text), MSG_NOSIGNAL), ==, (int)strlen(text));
}

/* Sends the answer in parts, one every PART_MS. */
static void on_next(struct cs_timer *t, void *arg)
{
	struct rig *r = arg;
	char buf[1024];

	if (r->sent == 0) {
		r->fd = accept(r->listener, NULL, NULL);
		g_assert_cmpint(recv(r->fd, buf, sizeof(buf), 0), >, 0);
		send_text(r, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n");
	}
	send_text(r, "x");
	if (++r->sent < PARTS)
		cs_timer_start(r->timers, t, PART_MS * CS_US_PER_MS);
}

static void rig_open(struct rig *r)
{
	struct sockaddr_in sa = {.sin_family = AF_INET};
	socklen_t len = sizeof(sa);

	memset(r, 0, sizeof(*r));
	r->fd = -1;
	r->loop = ev_loop_new(EVFLAG_AUTO);
	r->timers = cs_timers_create(r->loop);
	r->curl = cs_curl_create(r->loop, r->timers);
	cs_timer_init(&r->next, on_next, r);
	r->listener = socket(AF_INET, SOCK_STREAM, 0);
	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	g_assert_cmpint(bind(r->listener, (struct sockaddr *)&sa, sizeof(sa)), ==, 0);
	g_assert_cmpint(listen(r->listener, 8), ==, 0);
	g_assert_cmpint(getsockname(r->listener, (struct sockaddr *)&sa, &len), ==, 0);
	g_snprintf(r->url, sizeof(r->url), "http://127.0.0.1:%u/", ntohs(sa.sin_port));
}

static void rig_close(struct rig *r)
{
	cs_timer_stop(&r->next);
	cs_curl_destroy(r->curl);
	cs_timers_destroy(r->timers);
	ev_loop_destroy(r->loop);
	close(r->listener);
	if (r->fd >= 0)
		close(r->fd);
}

/* Runs until the result is in; returns the time that it took in ms. */
static uint64_t fetch(struct rig *r, unsigned first_byte_timeout_ms, unsigned total_ms)
{
	struct cs_fetch_opts opts = {.url = r->url,
				     .timeout_ms = total_ms,
				     .first_byte_timeout_ms = first_byte_timeout_ms,
				     .max_response = 100};
	uint64_t start = cs_mono_us();

	g_assert_nonnull(cs_fetch_start(r->curl, &opts, on_result, r));
	while (!r->done && cs_mono_us() - start < 5 * CS_US_PER_S)
		ev_run(r->loop, EVRUN_ONCE);
	g_assert_true(r->done);
	return (cs_mono_us() - start) / CS_US_PER_MS;
}

/*
 * Guards against a large answer over a slow link being cut while it comes, again at each new try:
 * the time for an answer to begin is not the time for all of it.
 */
static void test_slow_body(void)
{
	struct rig r;

	rig_open(&r);
	cs_timer_start(r.timers, &r.next, 50 * CS_US_PER_MS);
	fetch(&r, 300, 4000);
	g_assert_cmpint(r.code, ==, CURLE_OK);
	g_assert_cmpuint(r.len, ==, PARTS);
	rig_close(&r);
}

/* Guards against a server that never answers holding a call for the time of a whole answer. */
static void test_silent(void)
{
	struct rig r;

	rig_open(&r);
	g_assert_cmpuint(fetch(&r, 300, 4000), <, 1000);
	g_assert_cmpint(r.code, ==, CURLE_OPERATION_TIMEDOUT);
	rig_close(&r);
}

/* Guards against an answer that begins and then takes for ever. */
static void test_total(void)
{
	struct rig r;

	rig_open(&r);
	cs_timer_start(r.timers, &r.next, 50 * CS_US_PER_MS);
	fetch(&r, 300, 450);
	g_assert_cmpint(r.code, ==, CURLE_OPERATION_TIMEDOUT);
	rig_close(&r);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	curl_global_init(CURL_GLOBAL_NOTHING);
	g_test_add_func("/fetch/slow-body", test_slow_body);
	g_test_add_func("/fetch/silent", test_silent);
	g_test_add_func("/fetch/total", test_total);
	return g_test_run();
}
