/*
 * Tests of lib/store against a stub HTTP server: the status derived from each kind of response, or
 * from none.
 */
#include <glib.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "store/store.h"

#define ADDR "127.45.1.1"

struct fixture {
	struct ev_loop *loop;
	struct cs_timers *timers;
	struct cs_curl *curl;
	struct cs_httpd *httpd;
	struct cs_store *store;
	struct cs_timer time_limit;
	unsigned status; /* of the response; 0: no response */
	const char *body;
	char path[128];
	char query[128];
	char method[16];
	struct cs_http_req *pending;
	/* The last result. */
	unsigned calls;
	enum cs_store_status result;
	uint64_t index;
	char *value;
	unsigned n_entries;
	char first_id[64];
	char lease[64];
};

static void on_request(struct cs_http_req *req, void *arg)
{
	struct fixture *f = arg;
	const char *index = cs_http_query_arg(req, "index"), *cas = cs_http_query_arg(req, "cas");
	const char *wait = cs_http_query_arg(req, "wait");

	cs_copy(f->path, sizeof(f->path), cs_http_path(req));
	cs_copy(f->method, sizeof(f->method), cs_http_method(req));
	g_snprintf(f->query, sizeof(f->query), "index=%s wait=%s cas=%s", index ? index : "-",
		   wait ? wait : "-", cas ? cas : "-");
	if (f->status == 0) {
		f->pending = req;
		return;
	}
	cs_http_add_header(req, "X-Consul-Index", "42");
	cs_http_reply(req, f->status, NULL, f->body, strlen(f->body));
}

static void on_result(const struct cs_store_result *res, void *arg)
{
	struct fixture *f = arg;

	f->calls++;
	f->result = res->status;
	f->index = res->index;
	free(f->value);
	f->value = res->value ? cs_xstrdup(res->value) : NULL;
	f->n_entries = res->n_entries;
	if (res->n_entries > 0)
		cs_copy(f->first_id, sizeof(f->first_id), res->entries[0].id);
	if (res->lease != NULL)
		cs_copy(f->lease, sizeof(f->lease), res->lease);
	ev_break(f->loop, EVBREAK_ALL);
}

static void on_time_limit(struct cs_timer *t, void *arg)
{
	struct fixture *f = arg;

	ev_break(f->loop, EVBREAK_ALL);
}

static void run_until_result(struct fixture *f)
{
	cs_timer_init(&f->time_limit, on_time_limit, f);
	cs_timer_start(f->timers, &f->time_limit, 6 * CS_US_PER_S);
	ev_run(f->loop, 0);
	cs_timer_stop(&f->time_limit);
}

static void setup(struct fixture *f)
{
	struct cs_msg msg;
	char url[64];

	*f = (struct fixture){.loop = ev_loop_new(EVFLAG_AUTO), .status = 200, .body = ""};
	f->timers = cs_timers_create(f->loop);
	f->curl = cs_curl_create(f->loop, f->timers);
	f->httpd = cs_httpd_create(f->loop, f->timers, ADDR, 0, 1 << 20, on_request, f, &msg);
	g_assert_nonnull(f->httpd);
	g_snprintf(url, sizeof(url), "consul:http://%s:%u", ADDR, cs_httpd_port(f->httpd));
	f->store = cs_store_create(f->curl, f->timers, url, ADDR, &msg);
	g_assert_nonnull(f->store);
}

static void teardown(struct fixture *f)
{
	cs_store_destroy(f->store);
	cs_curl_destroy(f->curl);
	if (f->pending != NULL)
		cs_http_reply(f->pending, 200, NULL, "", 0);
	cs_httpd_destroy(f->httpd);
	cs_timers_destroy(f->timers);
	ev_loop_destroy(f->loop);
	free(f->value);
}

/*
 * Guards against values that are not base64-decoded and a result index that differs from the
 * ModifyIndex of the key.
 */
static void test_get_decodes_value_and_status(void)
{
	struct fixture f;

	setup(&f);
	f.body = "[{\"Key\":\"cassia/config\",\"Value\":\"aGVsbG8=\",\"ModifyIndex\":17}]";
	cs_store_get(f.store, "cassia/config", on_result, &f);
	g_assert_cmpuint(f.calls, ==, 0);
	run_until_result(&f);
	g_assert_cmpint(f.result, ==, CS_STORE_OK);
	g_assert_cmpstr(f.value, ==, "hello");
	g_assert_cmpuint(f.index, ==, 17);
	g_assert_cmpstr(f.path, ==, "/v1/kv/cassia/config");
	cs_store_watch(f.store, "k", 17, 30000, on_result, &f);
	run_until_result(&f);
	g_assert_cmpstr(f.query, ==, "index=17 wait=30000ms cas=-");
	f.status = 404;
	cs_store_get(f.store, "k", on_result, &f);
	run_until_result(&f);
	g_assert_cmpint(f.result, ==, CS_STORE_ABSENT);
	f.status = 200;
	f.body = "[{\"Value\":\"%%%\",\"ModifyIndex\":17}]";
	cs_store_get(f.store, "k", on_result, &f);
	run_until_result(&f);
	g_assert_cmpint(f.result, ==, CS_STORE_BAD);
	f.status = 500;
	cs_store_get(f.store, "k", on_result, &f);
	run_until_result(&f);
	g_assert_cmpint(f.result, ==, CS_STORE_UNAVAILABLE);
	g_assert_cmpuint(cs_store_request_count(f.store), ==, 5);
	teardown(&f);
}

/*
 * Guards against reporting a write as not executed when the store failed or sent no response, since
 * it may have been executed, and as unknown when the connection was refused.
 */
static void test_put_without_response_is_unknown(void)
{
	struct fixture f;
	struct cs_store *closed_port;
	struct cs_msg msg;

	setup(&f);
	f.body = "true";
	cs_store_put(f.store, "k", "v", 1, 9, on_result, &f);
	run_until_result(&f);
	g_assert_cmpint(f.result, ==, CS_STORE_OK);
	g_assert_cmpstr(f.method, ==, "PUT");
	g_assert_cmpstr(f.query, ==, "index=- wait=- cas=9");
	f.body = "false";
	cs_store_put(f.store, "k", "v", 1, 9, on_result, &f);
	run_until_result(&f);
	g_assert_cmpint(f.result, ==, CS_STORE_CONFLICT);
	f.status = 500;
	cs_store_put(f.store, "k", "v", 1, 9, on_result, &f);
	run_until_result(&f);
	g_assert_cmpint(f.result, ==, CS_STORE_UNKNOWN);
	f.status = 0;
	cs_store_put(f.store, "k", "v", 1, 9, on_result, &f);
	run_until_result(&f);
	g_assert_cmpint(f.result, ==, CS_STORE_UNKNOWN);
	closed_port = cs_store_create(f.curl, f.timers, "consul:http://" ADDR ":1", ADDR, &msg);
	cs_store_put(closed_port, "k", "v", 1, 9, on_result, &f);
	run_until_result(&f);
	g_assert_cmpint(f.result, ==, CS_STORE_UNAVAILABLE);
	cs_store_destroy(closed_port);
	teardown(&f);
}

/* Guards against lists that lose entries or accept entries without an address. */
static void test_list_skips_entries_without_address(void)
{
	struct fixture f;

	setup(&f);
	f.body = "[{\"Service\":{\"ID\":\"a-1\",\"Address\":\"127.0.0.1\",\"Port\":7,"
		 "\"Meta\":{\"zone\":\"a\"}}},{\"Service\":{\"ID\":\"a-2\",\"Port\":7}}]";
	cs_store_list(f.store, "cassia", 0, 0, on_result, &f);
	run_until_result(&f);
	g_assert_cmpint(f.result, ==, CS_STORE_OK);
	g_assert_cmpuint(f.n_entries, ==, 1);
	g_assert_cmpstr(f.first_id, ==, "a-1");
	g_assert_cmpuint(f.index, ==, 42);
	g_assert_cmpstr(f.path, ==, "/v1/health/service/cassia");
	f.body = "{}";
	cs_store_list(f.store, "cassia", 0, 0, on_result, &f);
	run_until_result(&f);
	g_assert_cmpint(f.result, ==, CS_STORE_BAD);
	teardown(&f);
}

/* Guards against leases whose id is lost or whose expiry is not detected. */
static void test_lease_reports_expiry(void)
{
	struct fixture f;

	setup(&f);
	f.body = "{\"ID\":\"s-1\"}";
	cs_store_lease_create(f.store, "ctl", 10000, on_result, &f);
	run_until_result(&f);
	g_assert_cmpint(f.result, ==, CS_STORE_OK);
	g_assert_cmpstr(f.lease, ==, "s-1");
	f.body = "[{\"ID\":\"s-1\"}]";
	cs_store_lease_renew(f.store, "s-1", on_result, &f);
	run_until_result(&f);
	g_assert_cmpint(f.result, ==, CS_STORE_OK);
	f.status = 404;
	cs_store_lease_renew(f.store, "s-1", on_result, &f);
	run_until_result(&f);
	g_assert_cmpint(f.result, ==, CS_STORE_ABSENT);
	teardown(&f);
}

/* Guards against a callback after the call was cancelled. */
static void test_no_callback_after_cancel(void)
{
	struct fixture f;
	struct cs_store_op *op;

	setup(&f);
	f.body = "[]";
	op = cs_store_get(f.store, "k", on_result, &f);
	cs_store_cancel(op);
	cs_timer_init(&f.time_limit, on_time_limit, &f);
	cs_timer_start(f.timers, &f.time_limit, 100 * CS_US_PER_MS);
	ev_run(f.loop, 0);
	g_assert_cmpuint(f.calls, ==, 0);
	teardown(&f);
}

/* Guards against a URL of an unknown protocol, or without one, that is accepted. */
static void test_refuses_unknown_protocol(void)
{
	struct fixture f;
	struct cs_msg msg;

	setup(&f);
	g_assert_null(cs_store_create(f.curl, f.timers, "etcd:http://127.0.0.1:1", NULL, &msg));
	g_assert_nonnull(strstr(msg.text, "etcd:http://127.0.0.1:1"));
	g_assert_null(cs_store_create(f.curl, f.timers, "consul:127.0.0.1", NULL, &msg));
	g_assert_null(cs_store_create(f.curl, f.timers, "", NULL, &msg));
	teardown(&f);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/store/get-decodes-value-and-status", test_get_decodes_value_and_status);
	g_test_add_func("/store/put-without-response-is-unknown",
			test_put_without_response_is_unknown);
	g_test_add_func("/store/list-skips-entries-without-address",
			test_list_skips_entries_without_address);
	g_test_add_func("/store/lease-reports-expiry", test_lease_reports_expiry);
	g_test_add_func("/store/no-callback-after-cancel", test_no_callback_after_cancel);
	g_test_add_func("/store/refuses-unknown-protocol", test_refuses_unknown_protocol);
	return g_test_run();
}
