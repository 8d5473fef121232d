/* Tests of platform/long-values.c and, with a test server on a loopback socket, platform/store.c. */
#include <arpa/inet.h>
#include <glib.h>
#include <jansson.h>
#include <sodium.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "platform/platform.h"

#define LONG_BYTES 100000

enum call_kind { CALL_GET, CALL_WATCH, CALL_RANGE };

struct fixture {
	struct ev_loop *loop;
	struct cs_timers *timers;
	struct cs_curl *curl;
	struct platform_store *store;
	int listener, fd;
	struct cs_timer serve_timer;
	const char *body; /* of the response */
	const char *era; /* header of the response; NULL: none */
	uint64_t after; /* revision of a watch */
	uint64_t revision;
	bool done;
	enum platform_status status;
	unsigned n_items;
	char *value[4]; /* of the first items */
	size_t len[4];
};

static void on_response(const struct platform_response *resp, void *arg)
{
	struct fixture *f = arg;
	unsigned i;

	f->done = true;
	f->status = resp->status;
	f->revision = resp->revision;
	f->n_items = resp->n_items;
	for (i = 0; i < resp->n_items && i < G_N_ELEMENTS(f->value); i++) {
		f->value[i] = g_memdup2(resp->items[i].value, resp->items[i].len + 1);
		f->len[i] = resp->items[i].len;
	}
}

static void on_serve(struct cs_timer *t, void *arg)
{
	char buf[1024], head[192];
	struct fixture *f = arg;

	f->fd = accept(f->listener, NULL, NULL);
	g_assert_cmpint(recv(f->fd, buf, sizeof(buf), 0), >, 0);
	g_snprintf(head, sizeof(head), "HTTP/1.1 200 OK\r\n%s%s%sContent-Length: %zu\r\n\r\n",
		   f->era != NULL ? "Store-Era: " : "", f->era != NULL ? f->era : "",
		   f->era != NULL ? "\r\n" : "", strlen(f->body));
	g_assert_cmpint(send(f->fd, head, strlen(head), MSG_NOSIGNAL), ==, (int)strlen(head));
	g_assert_cmpint(send(f->fd, f->body, strlen(f->body), MSG_NOSIGNAL), ==,
			(int)strlen(f->body));
}

static void fixture_init(struct fixture *f)
{
	struct platform_endpoint at = {.addr = "127.0.0.1"};
	struct sockaddr_in sa = {.sin_family = AF_INET};
	socklen_t len = sizeof(sa);

	memset(f, 0, sizeof(*f));
	f->after = 1;
	f->loop = ev_loop_new(EVFLAG_AUTO);
	f->timers = cs_timers_create(f->loop);
	f->curl = cs_curl_create(f->loop, f->timers);
	f->listener = socket(AF_INET, SOCK_STREAM, 0);
	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	g_assert_cmpint(bind(f->listener, (struct sockaddr *)&sa, sizeof(sa)), ==, 0);
	g_assert_cmpint(listen(f->listener, 8), ==, 0);
	g_assert_cmpint(getsockname(f->listener, (struct sockaddr *)&sa, &len), ==, 0);
	at.port = ntohs(sa.sin_port);
	f->store = platform_store_create(f->curl, &at);
	cs_timer_init(&f->serve_timer, on_serve, f);
}

/* Makes a call of the kind whose response has the given body; a key is for CALL_GET. */
static void make_call(struct fixture *f, enum call_kind kind, const char *key, const char *body)
{
	uint64_t start = cs_mono_us();

	f->body = body;
	f->done = false;
	cs_timer_start(f->timers, &f->serve_timer, 20 * CS_US_PER_MS);
	switch (kind) {
	case CALL_GET:
		platform_get(f->store, key, 1000, on_response, f);
		break;
	case CALL_WATCH:
		platform_watch(f->store, PLATFORM_ALL_KEYS, f->after, 100, 1000, NULL, on_response,
			       f);
		break;
	case CALL_RANGE:
		platform_range(f->store, PLATFORM_ALL_KEYS, "", 1000, on_response, f);
		break;
	}
	while (!f->done && cs_mono_us() - start < 5 * CS_US_PER_S)
		ev_run(f->loop, EVRUN_ONCE);
	g_assert_true(f->done);
}

static void call_kind(struct fixture *f, enum call_kind kind, const char *key, const char *body)
{
	fixture_init(f);
	make_call(f, kind, key, body);
}

/* Runs a watch, or the read of one key, whose response has the given body. */
static void call(struct fixture *f, const char *key, const char *body)
{
	call_kind(f, key != NULL ? CALL_GET : CALL_WATCH, key, body);
}

static void fixture_destroy(struct fixture *f)
{
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(f->value); i++)
		g_free(f->value[i]);
	platform_store_destroy(f->store);
	cs_curl_destroy(f->curl);
	cs_timers_destroy(f->timers);
	ev_loop_destroy(f->loop);
	close(f->listener);
	close(f->fd);
}

static char *base64(const char *data, size_t len)
{
	size_t size = sodium_base64_encoded_len(len, sodium_base64_VARIANT_ORIGINAL);
	char *out = g_malloc(size);

	sodium_bin2base64(out, size, (const unsigned char *)data, len,
			  sodium_base64_VARIANT_ORIGINAL);
	return out;
}

/* Guards against values that are lost, exchanged or cut when long ones are read apart from the
 * rest. */
static void test_long_and_short_values(void)
{
	char *long_a = g_malloc(LONG_BYTES), *long_b = g_malloc(LONG_BYTES), *a, *b, *c, *body;
	struct fixture f;

	memset(long_a, 'a', LONG_BYTES);
	memset(long_b, 'b', LONG_BYTES);
	a = base64(long_a, LONG_BYTES);
	b = base64(long_b, LONG_BYTES - 1);
	c = base64("short", 5);
	body = g_strdup_printf(
		"{\"events\":[{\"key\":\"op/config\",\"value\":\"%s\",\"revision\":2},"
		"{\"key\":\"servers/\\\"value\\\":\\\"x\",\"value\":\"%s\",\"revision\":3},"
		"{\"key\":\"servers/y\",\"revision\":4,\"tombstone\":true},"
		"{\"key\":\"servers/z\",\"value\":\"%s\",\"revision\":5}],\"at-revision\":5}",
		a, c, b);
	call(&f, NULL, body);
	g_assert_cmpint(f.status, ==, PLATFORM_OK);
	g_assert_cmpuint(f.n_items, ==, 4);
	g_assert_cmpmem(f.value[0], f.len[0], long_a, LONG_BYTES);
	g_assert_cmpmem(f.value[1], f.len[1], "short", 5);
	g_assert_cmpuint(f.len[2], ==, 0);
	g_assert_cmpmem(f.value[3], f.len[3], long_b, LONG_BYTES - 1);
	fixture_destroy(&f);
	g_free(body);
	g_free(a);
	g_free(b);
	g_free(c);
	g_free(long_a);
	g_free(long_b);
}

/* Guards against a value that passes for the mark of another one; it is no base64. */
static void test_value_like_a_mark(void)
{
	char *text = g_malloc(LONG_BYTES), *a, *body;
	struct fixture f;

	memset(text, 'a', LONG_BYTES);
	a = base64(text, LONG_BYTES);
	body = g_strdup_printf(
		"{\"events\":[{\"key\":\"op/config\",\"value\":\"%s\",\"revision\":2},"
		"{\"key\":\"servers/x\",\"value\":\"@0\",\"revision\":3}],\"at-revision\":3}",
		a);
	call(&f, NULL, body);
	g_assert_cmpint(f.status, ==, PLATFORM_OK);
	g_assert_cmpuint(f.n_items, ==, 1);
	g_assert_cmpmem(f.value[0], f.len[0], text, LONG_BYTES);
	fixture_destroy(&f);
	g_free(body);
	g_free(a);
	g_free(text);
}

/* Guards against a read of one key that succeeds without an item, which its caller then uses. */
static void test_get_without_item(void)
{
	static const char *const bodies[] = {"", "{}", "[]", "{\"key\":\"k\"}"};
	struct fixture f;
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(bodies); i++) {
		call(&f, "k", bodies[i]);
		g_assert_cmpint(f.status, ==, PLATFORM_BAD);
		fixture_destroy(&f);
	}
}

/*
 * Guards against a response to another call, such as a lease or a transaction, that is taken for a
 * store without keys.
 */
static void test_range_without_revision(void)
{
	static const char *const bodies[] = {"",
					     "{}",
					     "[]",
					     "{\"lease\":1,\"ttl-ms\":5000}",
					     "{\"revision\":8}",
					     "{\"items\":[]}"};
	struct fixture f;
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(bodies); i++) {
		call_kind(&f, CALL_RANGE, NULL, bodies[i]);
		g_assert_cmpint(f.status, ==, PLATFORM_BAD);
		fixture_destroy(&f);
	}
	call_kind(&f, CALL_RANGE, NULL, "{\"items\":[],\"has-more\":false,\"at-revision\":8}");
	g_assert_cmpint(f.status, ==, PLATFORM_OK);
	fixture_destroy(&f);
}

/*
 * Guards against the copy of the response to a watch that waits on the connection and is taken for
 * a store without keys.
 */
static void test_response_to_watch_not_range(void)
{
	static const char copy[] = "HTTP/1.1 200 OK\r\nContent-Length: 29\r\n\r\n"
				   "{\"events\":[],\"at-revision\":8}";
	uint64_t start = cs_mono_us();
	struct fixture f;
	int watch_fd;

	call_kind(&f, CALL_WATCH, NULL, "{\"events\":[],\"at-revision\":8}");
	watch_fd = f.fd;
	g_assert_cmpint(send(watch_fd, copy, strlen(copy), MSG_NOSIGNAL), ==, (int)strlen(copy));
	g_usleep(5000);
	f.done = false;
	f.body = "{\"items\":[{\"key\":\"servers/a\",\"value\":\"YQ==\",\"revision\":3}],"
		 "\"has-more\":false,\"at-revision\":8}";
	cs_timer_start(f.timers, &f.serve_timer, 20 * CS_US_PER_MS);
	platform_range(f.store, PLATFORM_ALL_KEYS, "", 1000, on_response, &f);
	while (!f.done && cs_mono_us() - start < 5 * CS_US_PER_S)
		ev_run(f.loop, EVRUN_ONCE);
	g_assert_cmpint(f.status, ==, PLATFORM_OK);
	g_assert_cmpuint(f.n_items, ==, 1);
	close(watch_fd);
	fixture_destroy(&f);
}

/* Makes a further call, whose response has the given era. */
static void call_era(struct fixture *f, const char *era, enum call_kind kind, const char *body)
{
	if (f->fd > 0)
		close(f->fd);
	f->era = era;
	make_call(f, kind, NULL, body);
}

/* Guards against revisions that a restored store has given out again. */
static void test_era(void)
{
	static const char page[] = "{\"items\":[],\"has-more\":false,\"at-revision\":70}";
	static const char changes[] = "{\"events\":[],\"at-revision\":75}";
	struct fixture f;

	fixture_init(&f);
	call_era(&f, "3", CALL_RANGE, page);
	g_assert_cmpint(f.status, ==, PLATFORM_OK);
	g_assert_cmpuint(f.revision, ==, 3 * PLATFORM_ERA_REVISIONS + 70);
	f.after = f.revision;
	call_era(&f, "3", CALL_WATCH, changes);
	g_assert_cmpint(f.status, ==, PLATFORM_OK);
	g_assert_cmpuint(f.revision, ==, 3 * PLATFORM_ERA_REVISIONS + 75);
	/* Restored, and past the revision that is known. */
	call_era(&f, "4", CALL_WATCH, changes);
	g_assert_cmpint(f.status, ==, PLATFORM_HISTORY_LOST);
	g_assert_cmpuint(platform_store_era(f.store), ==, 4);
	call_era(&f, "4", CALL_RANGE, page);
	g_assert_cmpuint(f.revision, ==, 4 * PLATFORM_ERA_REVISIONS + 70);
	/* Sent before the restoration. */
	call_era(&f, "3", CALL_RANGE, page);
	g_assert_cmpint(f.status, ==, PLATFORM_NO_ANSWER);
	/* No number: not the store's. */
	call_era(&f, "3x", CALL_RANGE, page);
	g_assert_cmpint(f.status, ==, PLATFORM_OK);
	g_assert_cmpuint(f.revision, ==, 4 * PLATFORM_ERA_REVISIONS + 70);
	call_era(&f, "99999999999999999999", CALL_RANGE, page);
	g_assert_cmpint(f.status, ==, PLATFORM_NO_ANSWER);
	g_assert_cmpuint(platform_store_era(f.store), ==, 4);
	fixture_destroy(&f);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/platform-store/long-and-short-values", test_long_and_short_values);
	g_test_add_func("/platform-store/value-like-a-mark", test_value_like_a_mark);
	g_test_add_func("/platform-store/get-without-item", test_get_without_item);
	g_test_add_func("/platform-store/range-without-revision", test_range_without_revision);
	g_test_add_func("/platform-store/response-to-watch-not-range",
			test_response_to_watch_not_range);
	g_test_add_func("/platform-store/era", test_era);
	return g_test_run();
}
