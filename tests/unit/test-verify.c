/* Servers that an instance checks before their first request (lib/steer/verify.c). */
#include <string.h>

#include "tests/unit/steer-fixture.h"

#define SERVERS 4
#define REQUESTS 8

static struct cs_steer_request reqs[REQUESTS];
static const char *const ids[SERVERS] = {"s0", "s1", "s2", "s3"};

static void add_servers(struct cs_steer *s, uint64_t now)
{
	unsigned i;

	for (i = 0; i < SERVERS; i++)
		fixture_add_server(s, ids[i], "a1", 0, now);
}

/* An instance that has just read the store for the first time. */
static struct cs_steer *start(uint64_t now)
{
	struct cs_steer *s = fixture_create("i1", "a1", now);

	cs_steer_set_document(s, fixture_document(1, "ra"), now);
	cs_steer_full_read_begin(s);
	add_servers(s, now);
	cs_steer_full_read_end(s, 0, now);
	cs_steer_tick(s, now + 1);
	return s;
}

/* An instance that has long known the same servers. */
static struct cs_steer *start_established(uint64_t now)
{
	struct cs_steer *s = fixture_create("i1", "a1", now);

	cs_steer_set_document(s, fixture_document(1, "ra"), now);
	add_servers(s, now);
	cs_steer_tick(s, now + 1);
	return s;
}

/* Offers a request; returns the server that it is sent to, or NULL if it waits. */
static struct cs_backend *offer(struct cs_steer *s, unsigned i, uint64_t object, uint64_t now)
{
	struct cs_steer_decision d;

	fixture_init_request(s, &reqs[i], object, now);
	cs_steer_decide(s, &reqs[i], now, &d);
	g_assert_cmpint(d.verdict, !=, CS_STEER_REFUSE);
	return d.verdict == CS_STEER_SEND ? d.u.send.backend : NULL;
}

/* The next request that no longer waits is sent; returns its server, or NULL if there is none. */
static struct cs_backend *next_sent(struct cs_steer *s, uint64_t now)
{
	struct cs_steer_decision d;

	if (cs_steer_next_waiting(s, now, &d) == NULL)
		return NULL;
	g_assert_cmpint(d.verdict, ==, CS_STEER_SEND);
	return d.u.send.backend;
}

/* Guards against a first request that is sent to a server whose entry is out of date. */
static void test_first_request(void)
{
	uint64_t now = MS(100000);
	struct cs_steer *s = start(now);
	struct cs_backend *b;

	g_assert_null(cs_steer_next_probe(s, now));
	g_assert_null(offer(s, 0, 1, now));
	b = cs_steer_next_probe(s, now);
	g_assert_nonnull(b);
	g_assert_null(cs_steer_next_probe(s, now));
	g_assert_null(next_sent(s, now + MS(1)));
	cs_steer_probe_done(s, b, true, 0, now + MS(2));
	g_assert_true(next_sent(s, now + MS(2)) == b);
	/* The next one does not wait. */
	g_assert_true(offer(s, 1, 1, now + MS(3)) == b);
	cs_steer_destroy(s);
}

/* Guards against a check that finds a cold server and whose result is not used. */
static void test_cold(void)
{
	uint64_t now = MS(100000);
	struct cs_steer *s = start(now);
	struct cs_backend *b;

	g_assert_null(offer(s, 0, 1, now));
	b = cs_steer_next_probe(s, now);
	g_assert_true(cs_steer_probe_done(s, b, true, 3000, now + MS(2)));
	g_assert_cmpuint(cs_steer_count_cold(s, now + MS(2)), ==, 1);
	cs_steer_destroy(s);
}

/*
 * Guards against a cold server that nobody reports: an instance that starts reads it in an entry,
 * which is no news, while the others do not reach the store.
 */
static void test_cold_entry(void)
{
	static struct cs_steer_report r;
	uint64_t now = MS(100000);
	struct cs_steer *s = fixture_create("i1", "a1", now);
	struct cs_backend *b;

	cs_steer_set_document(s, fixture_document(1, "ra"), now);
	cs_steer_full_read_begin(s);
	add_servers(s, now);
	fixture_add_server(s, "s9", "a1", 3000, now);
	cs_steer_full_read_end(s, 0, now);
	b = cs_steer_next_probe(s, now);
	g_assert_nonnull(b);
	g_assert_cmpstr(cs_backend_id(b), ==, "s9");
	cs_steer_probe_done(s, b, true, 1500, now + MS(2));
	g_assert_null(cs_steer_next_probe(s, now + MS(1000)));
	cs_steer_build_report(s, &r, now + MS(2));
	g_assert_cmpuint(r.n_cold, ==, 1);
	g_assert_cmpuint(r.cold[0].cold_ms, ==, 1500);
	cs_steer_destroy(s);
}

/*
 * Guards against requests that go to the servers checked so far, which do not have their objects in
 * the cache: each must reach the server that it would have reached without checks.
 */
static void test_same_server(void)
{
	uint64_t now = MS(100000), object;
	struct cs_steer *s, *known = start_established(now);
	struct cs_backend *b, *best;
	char id[CS_NAME_MAX];

	for (object = 1; object < 40; object++) {
		s = start(now);
		best = offer(known, 0, object, now);
		g_assert_nonnull(best);
		cs_steer_attempt_ended(known, &reqs[0], best, CS_STEER_OK, MS(1), now);
		/* Another server has passed its check. */
		g_assert_null(offer(s, 1, object % 2 + 100, now));
		b = cs_steer_next_probe(s, now);
		cs_steer_probe_done(s, b, true, 0, now + MS(1));
		b = next_sent(s, now + MS(1));
		cs_steer_attempt_ended(s, &reqs[1], b, CS_STEER_OK, MS(1), now + MS(1));
		b = offer(s, 2, object, now + MS(2));
		if (b == NULL) {
			b = cs_steer_next_probe(s, now + MS(2));
			g_assert_nonnull(b);
			cs_steer_probe_done(s, b, true, 0, now + MS(3));
			b = next_sent(s, now + MS(3));
		}
		g_assert_nonnull(b);
		cs_copy(id, sizeof(id), cs_backend_id(best));
		g_assert_cmpstr(cs_backend_id(b), ==, id);
		cs_steer_destroy(s);
	}
	cs_steer_destroy(known);
}

/* Guards against requests that wait behind one whose server has not passed its check yet. */
static void test_others_pass(void)
{
	uint64_t now = MS(100000), object;
	struct cs_steer *s = start(now);
	struct cs_backend *first, *b;

	g_assert_null(offer(s, 0, 1, now));
	first = cs_steer_next_probe(s, now);
	g_assert_nonnull(first);
	/* One that is best served by another server. */
	for (object = 2, b = NULL; b == NULL; object++) {
		g_assert_null(offer(s, 1, object, now));
		b = cs_steer_next_probe(s, now);
		if (b == NULL)
			cs_steer_dequeue(s, &reqs[1]);
	}
	cs_steer_probe_done(s, b, true, 0, now + MS(2));
	g_assert_true(next_sent(s, now + MS(2)) == b);
	g_assert_null(next_sent(s, now + MS(2)));
	cs_steer_destroy(s);
}

/* Guards against requests that are refused, or wait on, as a server does not respond to its check. */
static void test_slow_check(void)
{
	uint64_t now = MS(100000);
	struct cs_steer *s = start(now);
	struct cs_backend *slow, *b;

	g_assert_null(offer(s, 0, 1, now));
	slow = cs_steer_next_probe(s, now);
	g_assert_nonnull(slow);
	now += MS(100);
	g_assert_true(cs_steer_take_check_request(s));
	g_assert_null(next_sent(s, now));
	g_assert_true(cs_steer_take_check_request(s));
	b = cs_steer_next_probe(s, now);
	g_assert_nonnull(b);
	g_assert_true(b != slow);
	/* Past the time for which a request waits for a slot. */
	now += MS(90);
	g_assert_null(next_sent(s, now));
	g_assert_cmpuint(cs_steer_count_waiting(s), ==, 1);
	now += MS(1);
	cs_steer_probe_done(s, b, true, 0, now);
	g_assert_true(next_sent(s, now) == b);
	/* The check fails; it is repeated, and the server is used when one passes. */
	cs_steer_probe_done(s, slow, false, 0, now);
	g_assert_true(offer(s, 1, 1, now) != slow);
	now += MS(300);
	do {
		b = cs_steer_next_probe(s, now);
		g_assert_nonnull(b);
	} while (b != slow);
	cs_steer_probe_done(s, slow, true, 0, now);
	g_assert_true(offer(s, 2, 1, now) == slow);
	cs_steer_destroy(s);
}

/*
 * Guards against servers that look busy as all instances check them: after a loss of power, checks
 * that counted as requests in flight filled the slots of warm servers, and requests were refused.
 */
static void test_check_takes_no_slot(void)
{
	static struct cs_steer_report r;
	uint64_t now = MS(100000);
	struct cs_steer *s = start(now);
	unsigned i;

	g_assert_null(offer(s, 0, 1, now));
	g_assert_nonnull(cs_steer_next_probe(s, now));
	cs_steer_build_report(s, &r, now + MS(1));
	for (i = 0; i < r.n_rows; i++)
		g_assert_cmpuint(r.rows[i].in_flight, ==, 0);
	cs_steer_destroy(s);
}

/* Guards against a server that is freed while its check runs. */
static void test_removed_during_check(void)
{
	uint64_t now = MS(100000);
	struct cs_steer *s = start(now);
	struct cs_backend *b;
	char id[CS_NAME_MAX];

	g_assert_null(offer(s, 0, 1, now));
	b = cs_steer_next_probe(s, now);
	g_assert_nonnull(b);
	cs_copy(id, sizeof(id), cs_backend_id(b));
	cs_steer_remove_server(s, id, 0, now);
	cs_steer_dequeue(s, &reqs[0]);
	fixture_run(s, &now, now + MS(40000));
	cs_steer_probe_done(s, b, true, 0, now);
	cs_steer_tick(s, now + MS(1));
	cs_steer_destroy(s);
}

/*
 * Guards against a request that is refused because the server that it waits for was just about to
 * be checked, or not to be, in the turn of checks during an outage.
 */
static void test_check_at_once(void)
{
	uint64_t now = MS(100000);
	struct cs_steer *s = start(now);
	struct cs_backend *b;

	cs_steer_set_store_contact(s, false, now);
	fixture_add_member(s, "i2", "a1", now);
	while ((b = cs_steer_next_probe(s, now)) != NULL)
		cs_steer_probe_done(s, b, false, 0, now);
	g_assert_null(offer(s, 0, 1, now + MS(1)));
	g_assert_true(cs_steer_take_check_request(s));
	b = cs_steer_next_probe(s, now + MS(1));
	g_assert_nonnull(b);
	cs_steer_probe_done(s, b, true, 0, now + MS(2));
	g_assert_true(next_sent(s, now + MS(2)) == b);
	cs_steer_destroy(s);
}

/* Guards against a hedge or a repeat that goes to a server whose entry is out of date. */
static void test_hedge(void)
{
	uint64_t now = MS(100000);
	struct cs_steer *s = start(now);
	struct cs_backend *b;

	g_assert_null(offer(s, 0, 1, now));
	b = cs_steer_next_probe(s, now);
	cs_steer_probe_done(s, b, true, 0, now + MS(1));
	g_assert_true(next_sent(s, now + MS(1)) == b);
	g_assert_null(cs_steer_hedge(s, &reqs[0], now + MS(50)));
	b = cs_steer_next_probe(s, now + MS(50));
	g_assert_nonnull(b);
	cs_steer_probe_done(s, b, true, 0, now + MS(51));
	g_assert_true(cs_steer_hedge(s, &reqs[0], now + MS(52)) == b);
	cs_steer_destroy(s);
}

/* Another instance reports that it reached the store all the time, or that it did not. */
static void report_stable(struct cs_steer *s, bool stable, uint64_t now)
{
	struct cs_steer_report r = {.name = "i2", .boot = 1, .seq = now + 1, .ready = true};

	fixture_add_member(s, "i2", "a1", now);
	r.store_fresh = true;
	r.store_stable = stable;
	cs_steer_handle_report(s, &r, now);
	cs_steer_tick(s, now + 2);
}

/* Guards against checks that nobody needs, as the store was reached all the time. */
static void test_stable_neighbour(void)
{
	uint64_t now = MS(100000);
	struct cs_steer *s = start(now);

	report_stable(s, false, now + 10);
	g_assert_null(offer(s, 0, 1, now + MS(1)));
	report_stable(s, true, now + MS(2));
	g_assert_nonnull(next_sent(s, now + MS(3)));
	g_assert_nonnull(offer(s, 1, 2, now + MS(3)));
	cs_steer_destroy(s);
}

/* Guards against checks that go on after the servers have written their entries again. */
static void test_ends(void)
{
	uint64_t now = MS(100000);
	struct cs_steer *s = start(now);

	fixture_run(s, &now, now + MS(2600));
	g_assert_nonnull(offer(s, 0, 1, now));
	g_assert_null(cs_steer_next_probe(s, now));
	/* A read that follows brings no doubt. */
	cs_steer_full_read_begin(s);
	add_servers(s, now);
	fixture_add_server(s, "s9", "a1", 0, now);
	cs_steer_full_read_end(s, 0, now);
	g_assert_nonnull(offer(s, 1, 2, now));
	cs_steer_destroy(s);
}

/* Guards against entries that are believed when the store is silent again before they were written.
 */
static void test_silent_again(void)
{
	uint64_t now = MS(100000), end = now + MS(4000);
	struct cs_steer *s = start(now);

	for (; now < end; now += MS(50)) {
		cs_steer_set_store_contact(s, false, now);
		cs_steer_tick(s, now);
	}
	g_assert_null(offer(s, 0, 1, now));
	cs_steer_destroy(s);
}

/* Guards against a check of a server that has just written its entry. */
static void test_entry_written(void)
{
	uint64_t now = MS(100000);
	struct cs_steer *s = start(now);

	add_servers(s, now + MS(10));
	g_assert_nonnull(offer(s, 0, 1, now + MS(10)));
	cs_steer_destroy(s);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/verify/first-request", test_first_request);
	g_test_add_func("/verify/cold", test_cold);
	g_test_add_func("/verify/cold-entry", test_cold_entry);
	g_test_add_func("/verify/same-server", test_same_server);
	g_test_add_func("/verify/others-pass", test_others_pass);
	g_test_add_func("/verify/slow-check", test_slow_check);
	g_test_add_func("/verify/check-takes-no-slot", test_check_takes_no_slot);
	g_test_add_func("/verify/removed-during-check", test_removed_during_check);
	g_test_add_func("/verify/check-at-once", test_check_at_once);
	g_test_add_func("/verify/hedge", test_hedge);
	g_test_add_func("/verify/stable-neighbour", test_stable_neighbour);
	g_test_add_func("/verify/ends", test_ends);
	g_test_add_func("/verify/silent-again", test_silent_again);
	g_test_add_func("/verify/entry-written", test_entry_written);
	return g_test_run();
}
