/* Tests of cassia-proxyd's ring buffer, header checks, outcome table and socket index. */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "proxy/head.h"
#include "src/proxyd/outcome.h"
#include "proxy/ring.h"
#include "proxy/sockets.h"

/* Guards against lost, duplicated or reordered bytes when the buffer grows and wraps around. */
static void test_ring_keeps_order(void)
{
	struct cs_rng rng;
	uint64_t n_written = 0, n_read = 0;
	unsigned char block[700];
	struct ring r;
	size_t n, i;
	int round;

	cs_rng_seed(&rng, 7);
	ring_init(&r, 5000);
	for (round = 0; round < 20000; round++) {
		n = cs_rng_below(&rng, sizeof(block));
		for (i = 0; i < n; i++)
			block[i] = (unsigned char)((n_written + i) % 251);
		n_written += ring_write(&r, (char *)block, n);
		g_assert_cmpuint(ring_used(&r), ==, n_written - n_read);
		g_assert_cmpuint(ring_used(&r) + ring_space(&r), ==, 5000);
		n = ring_read(&r, (char *)block, cs_rng_below(&rng, sizeof(block)));
		for (i = 0; i < n; i++)
			g_assert_cmpuint(block[i], ==, (n_read + i) % 251);
		n_read += n;
	}
	g_assert_cmpuint(n_read, >, 100000);
	ring_free(&r);
}

/*
 * Guards against a second attempt that sends a body whose beginning was overwritten in the buffer.
 */
static void test_ring_rewinds_only_complete_data(void)
{
	char block[64];
	struct ring r;

	memset(block, 'x', sizeof(block));
	ring_init(&r, 100);
	g_assert_cmpuint(ring_write(&r, block, 64), ==, 64);
	g_assert_cmpuint(ring_read(&r, block, 64), ==, 64);
	g_assert_true(ring_rewind(&r));
	g_assert_cmpuint(ring_used(&r), ==, 64);
	g_assert_cmpuint(ring_read(&r, block, 60), ==, 60);
	g_assert_cmpuint(ring_write(&r, block, 36), ==, 36);
	g_assert_true(ring_rewind(&r));
	g_assert_cmpuint(ring_read(&r, block, 10), ==, 10);
	g_assert_cmpuint(ring_write(&r, block, 1), ==, 1);
	g_assert_false(ring_rewind(&r));
	ring_free(&r);
}

/* Guards against a reused buffer that keeps old data, or whose limit is below its size. */
static void test_ring_reset_discards_data(void)
{
	struct ring r;

	ring_init(&r, 1000);
	ring_reserve(&r, 600);
	ring_write(&r, "abc", 3);
	ring_reset(&r, 500, 600);
	g_assert_cmpuint(ring_used(&r), ==, 0);
	g_assert_cmpuint(r.size, ==, 600);
	g_assert_cmpuint(r.max, >=, r.size);
	ring_reset(&r, 500, 100);
	g_assert_null(r.data);
	g_assert_cmpuint(ring_space(&r), ==, 500);
	ring_free(&r);
}

/* Guards against accepting invalid request ids, deadlines, targets, methods or header values. */
static void test_refuses_invalid_fields(void)
{
	char id[REQUEST_ID_MAX + 2];
	unsigned ms = 0;

	memset(id, 'a', sizeof(id));
	id[REQUEST_ID_MAX + 1] = '\0';
	g_assert_false(check_request_id(id));
	id[REQUEST_ID_MAX] = '\0';
	g_assert_true(check_request_id(id));
	g_assert_false(check_request_id(""));
	g_assert_false(check_request_id("a b"));
	g_assert_false(check_request_id("a\"b"));
	g_assert_true(check_request_id("A.b_c-9"));
	g_assert_true(check_deadline("600000", &ms));
	g_assert_cmpuint(ms, ==, 600000);
	g_assert_false(check_deadline("600001", &ms));
	g_assert_false(check_deadline("0", &ms));
	g_assert_false(check_deadline("", &ms));
	g_assert_false(check_deadline("-1", &ms));
	g_assert_false(check_deadline("10ms", &ms));
	g_assert_false(check_deadline("99999999999999999999", &ms));
	g_assert_true(check_target("/a?b=%20"));
	g_assert_false(check_target("a"));
	g_assert_false(check_target("/a b"));
	g_assert_false(check_target("/\x7f"));
	g_assert_false(check_target("http://x/"));
	g_assert_true(check_method("PATCH"));
	g_assert_false(check_method("CONNECT"));
	g_assert_false(check_method(""));
	g_assert_false(check_method("GE(T"));
	g_assert_true(check_value("a\tb \xc3\xa4"));
	g_assert_false(check_value("a\rb"));
	g_assert_false(check_value("a\x01"));
}

/* Guards against forwarding hop-by-hop headers. */
static void test_recognises_hop_by_hop_headers(void)
{
	g_assert_true(head_is_hop_by_hop("connection"));
	g_assert_true(head_is_hop_by_hop("Transfer-Encoding"));
	g_assert_true(head_is_hop_by_hop("TE"));
	g_assert_false(head_is_hop_by_hop("Content-Type"));
	g_assert_true(head_list_contains("close, X-Private", "x-private"));
	g_assert_false(head_list_contains("close, X-Private", "X-Priv"));
	g_assert_false(head_list_contains("", "a"));
}

/* Guards against losing empty or long header values, and against copies that share memory. */
static void test_head_keeps_all_lines(void)
{
	struct head h = {0}, copy = {0};
	const char *name, *value;
	char text[600];
	unsigned n = 0;
	size_t at = 0;

	memset(text, 'v', sizeof(text));
	head_add(&h, "A", 1, "1", 1);
	head_add(&h, "Empty", 5, "", 0);
	head_add(&h, "Long", 4, text, sizeof(text));
	head_add(&h, "Long2", 5, text, sizeof(text));
	while (head_next(&h, &at, &name, &value))
		n++;
	g_assert_cmpuint(n, ==, 4);
	g_assert_cmpstr(head_get(&h, "a"), ==, "1");
	g_assert_cmpstr(head_get(&h, "empty"), ==, "");
	g_assert_cmpuint(strlen(head_get(&h, "LONG2")), ==, sizeof(text));
	g_assert_null(head_get(&h, "none"));
	head_copy(&copy, &h);
	head_clear(&h);
	g_assert_null(head_get(&h, "a"));
	g_assert_cmpstr(head_get(&copy, "a"), ==, "1");
	head_free(&h);
	head_free(&copy);
}

/* Guards against running a repeated request again, and against entries that never expire. */
static void test_repeat_finds_outcome_until_expiry(void)
{
	struct outcomes *t = outcomes_create(100, 10000, 60 * CS_US_PER_S);
	struct head head = {0};
	struct outcome *o;

	head_add(&head, "A", 1, "1", 1);
	o = outcomes_begin(t, "c", "id", 5, 0);
	g_assert_nonnull(o);
	g_assert_true(outcomes_find(t, "c", "id", 1) == o);
	g_assert_null(outcomes_begin(t, "c", "id", 5, 1));
	g_assert_null(outcomes_find(t, "other", "id", 1));
	outcomes_complete(t, o, 201, &head, "body", 4, 10);
	o = outcomes_find(t, "c", "id", 10 + 60 * CS_US_PER_S - 1);
	g_assert_nonnull(o);
	g_assert_cmpint(o->kind, ==, OUTCOME_STORED);
	g_assert_cmpuint(o->status, ==, 201);
	g_assert_cmpstr(o->body, ==, "body");
	g_assert_null(outcomes_find(t, "c", "id", 10 + 60 * CS_US_PER_S));
	g_assert_cmpuint(outcomes_count(t), ==, 0);
	g_assert_cmpuint(outcomes_bytes(t), ==, 0);
	o = outcomes_begin(t, "c", "id", 5, 0);
	outcomes_remove(t, o);
	g_assert_null(outcomes_find(t, "c", "id", 0));
	o = outcomes_begin(t, "c", "id", 5, 0);
	outcomes_set_unknown(t, o, 5);
	g_assert_cmpint(outcomes_find(t, "c", "id", 6)->kind, ==, OUTCOME_UNKNOWN);
	head_free(&head);
	outcomes_destroy(t);
}

/* Guards against unbounded memory for responses: old entries keep only their status. */
static void test_outcome_memory_bounded(void)
{
	struct outcomes *t = outcomes_create(1000, 20000, 60 * CS_US_PER_S);
	struct head head = {0};
	char body[4000] = {0}, id[16];
	struct outcome *o;
	unsigned i;

	head_add(&head, "A", 1, "1", 1);
	for (i = 0; i < 50; i++) {
		snprintf(id, sizeof(id), "%u", i);
		o = outcomes_begin(t, "c", id, 1, i);
		outcomes_complete(t, o, 200, &head, body, sizeof(body), i);
		g_assert_cmpuint(outcomes_bytes(t), <=, 20000);
	}
	g_assert_cmpuint(outcomes_count(t), ==, 50);
	g_assert_cmpint(outcomes_find(t, "c", "0", 60)->kind, ==, OUTCOME_STATUS_ONLY);
	g_assert_cmpint(outcomes_find(t, "c", "49", 60)->kind, ==, OUTCOME_STORED);
	head_free(&head);
	outcomes_destroy(t);
}

/* Guards against evicting running requests from a full table. */
static void test_full_table_keeps_running_requests(void)
{
	struct outcomes *t = outcomes_create(3, 1000, 60 * CS_US_PER_S);
	struct outcome *a = outcomes_begin(t, "c", "a", 1, 0);

	outcomes_begin(t, "c", "b", 1, 0);
	outcomes_begin(t, "c", "c", 1, 0);
	g_assert_null(outcomes_begin(t, "c", "d", 1, 0));
	outcomes_set_unknown(t, a, 1);
	g_assert_nonnull(outcomes_begin(t, "c", "d", 1, 2));
	g_assert_null(outcomes_find(t, "c", "a", 2));
	g_assert_nonnull(outcomes_find(t, "c", "b", 2));
	outcomes_destroy(t);
}

/* Guards against delivering a stray response on an idle connection to the next request. */
static void test_sockets_detect_stray_input(void)
{
	struct sockets *s = sockets_create();
	uint64_t a = sockets_key("127.0.0.1", 80, "127.0.0.2", 4000);
	uint64_t b = sockets_key("127.0.0.1", 81, "127.0.0.2", 4000);
	struct sockets_use use = {.fd = -1, .idle_us = UINT64_MAX};
	int pair[2];

	g_assert_true(a != b);
	g_assert_cmpint(socketpair(AF_UNIX, SOCK_STREAM, 0, pair), ==, 0);
	sockets_add(s, a, pair[0]);
	g_assert_true(sockets_find(s, a, "x", &use));
	g_assert_cmpint(use.fd, ==, pair[0]);
	g_assert_cmpuint(use.idle_us, <, CS_US_PER_S);
	g_assert_false(sockets_find(s, b, "x", &use));
	g_assert_false(sockets_has_input(pair[0]));
	g_assert_cmpint(write(pair[1], "x", 1), ==, 1);
	g_assert_true(sockets_has_input(pair[0]));
	close(pair[1]);
	g_assert_true(sockets_has_input(pair[0]));
	sockets_remove(s, pair[0]);
	g_assert_false(sockets_find(s, a, "x", &use));
	close(pair[0]);
	sockets_destroy(s);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/proxyd/ring/keeps-order", test_ring_keeps_order);
	g_test_add_func("/proxyd/ring/rewinds-only-complete-data",
			test_ring_rewinds_only_complete_data);
	g_test_add_func("/proxyd/ring/reset-discards-data", test_ring_reset_discards_data);
	g_test_add_func("/proxyd/head/refuses-invalid-fields", test_refuses_invalid_fields);
	g_test_add_func("/proxyd/head/recognises-hop-by-hop", test_recognises_hop_by_hop_headers);
	g_test_add_func("/proxyd/head/keeps-all-lines", test_head_keeps_all_lines);
	g_test_add_func("/proxyd/outcome/repeat-finds-it-until-expiry",
			test_repeat_finds_outcome_until_expiry);
	g_test_add_func("/proxyd/outcome/memory-bounded", test_outcome_memory_bounded);
	g_test_add_func("/proxyd/outcome/full-table-keeps-running",
			test_full_table_keeps_running_requests);
	g_test_add_func("/proxyd/sockets/detect-stray-input", test_sockets_detect_stray_input);
	return g_test_run();
}
