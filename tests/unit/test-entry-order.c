/* Entries of one server that do not arrive in the order in which it wrote them
 * (lib/steer/entries.c). */
#include <stdlib.h>
#include <string.h>

#include "tests/unit/steer-fixture.h"

/* Longer than an older entry is held. */
#define HOLD_US MS(6500)

static bool write_ready(struct cs_steer *s, int64_t started_ms, int64_t sequence, uint64_t now)
{
	struct cs_server_entry e = fixture_make_entry(started_ms, sequence);

	return cs_steer_update_server(s, &e, now);
}

static bool write_draining(struct cs_steer *s, int64_t started_ms, int64_t sequence, uint64_t now)
{
	struct cs_server_entry e = fixture_make_entry(started_ms, sequence);

	e.draining = true;
	return cs_steer_update_server(s, &e, now);
}

static struct cs_steer *create(uint64_t now)
{
	struct cs_steer *s = fixture_create("i1", "a1", now);

	cs_steer_set_document(s, fixture_document(1, "ra"), now);
	return s;
}

static bool is_used(struct cs_steer *s, uint64_t now)
{
	cs_steer_tick(s, now);
	return fixture_sends(s, now);
}

/* Guards against a write that the store carries out late and that takes back that a server drains. */
static void test_late_write(void)
{
	uint64_t now = MS(100000);
	struct cs_steer *s = create(now);

	g_assert_true(write_ready(s, 2000, 40, now));
	g_assert_true(is_used(s, now));
	g_assert_true(write_draining(s, 2000, 44, now));
	g_assert_false(write_ready(s, 2000, 41, now + MS(2600)));
	g_assert_false(is_used(s, now + MS(2600)));
	/* Its end, 3 s after its report. */
	cs_steer_remove_server(s, "s1", 0, now + MS(3000));
	now += MS(3000);
	fixture_run(s, &now, now + HOLD_US);
	g_assert_false(is_used(s, now));
	cs_steer_destroy(s);
}

/* Guards against the late write of a server that was removed meanwhile. */
static void test_late_write_after_removal(void)
{
	uint64_t now = MS(100000);
	struct cs_steer *s = create(now);

	write_ready(s, 2000, 40, now);
	write_draining(s, 2000, 44, now);
	cs_steer_remove_server(s, "s1", 0, now + MS(3000));
	now += MS(5000);
	g_assert_false(write_ready(s, 2000, 41, now));
	g_assert_false(is_used(s, now));
	/* Until it expires. */
	fixture_run(s, &now, now + MS(4500));
	g_assert_false(is_used(s, now));
	cs_steer_remove_server(s, "s1", 0, now);
	fixture_run(s, &now, now + HOLD_US);
	g_assert_false(is_used(s, now));
	cs_steer_destroy(s);
}

/* Guards against an entry with a wrong sequence that shuts out all that the server writes. */
static void test_huge_sequence(void)
{
	uint64_t now = MS(100000), end;
	struct cs_steer *s = create(now);
	int64_t sequence = 50;

	write_draining(s, 2000, INT64_MAX, now);
	g_assert_false(is_used(s, now));
	/* The writes of the server do not prolong the hold. */
	for (end = now + HOLD_US; now < end; now += MS(1500)) {
		write_ready(s, 2000, sequence++, now);
		cs_steer_tick(s, now);
	}
	g_assert_true(is_used(s, now));
	g_assert_true(write_draining(s, 2000, sequence, now));
	g_assert_false(is_used(s, now));
	cs_steer_destroy(s);
}

/* Guards against an entry that is believed because its server could not replace it. */
static void test_store_silent(void)
{
	uint64_t now = MS(100000), end;
	struct cs_steer *s = create(now);

	write_ready(s, 2000, 40, now);
	write_draining(s, 2000, 44, now);
	g_assert_false(write_ready(s, 2000, 41, now));
	for (end = now + MS(9000); now < end; now += MS(50)) {
		cs_steer_set_store_contact(s, false, now);
		cs_steer_tick(s, now);
	}
	g_assert_false(is_used(s, now));
	cs_steer_set_store_contact(s, true, now);
	now += MS(1500);
	g_assert_false(is_used(s, now));
	write_draining(s, 2000, 50, now);
	fixture_run(s, &now, now + HOLD_US);
	g_assert_false(is_used(s, now));
	cs_steer_destroy(s);
}

/* Guards against an older entry that is believed after a full read has shown that it was replaced. */
static void test_replaced_unseen(void)
{
	uint64_t now = MS(100000);
	struct cs_steer *s = create(now);

	write_ready(s, 2000, 40, now);
	write_draining(s, 2000, 44, now);
	g_assert_false(write_ready(s, 2000, 41, now));
	cs_steer_full_read_begin(s);
	g_assert_true(write_draining(s, 2000, 44, now));
	cs_steer_full_read_end(s, MS(2000), now);
	fixture_run(s, &now, now + HOLD_US);
	g_assert_false(is_used(s, now));
	cs_steer_destroy(s);
}

/* Guards against entries without a start time that are refused: their order is not known. */
static void test_unknown_start(void)
{
	uint64_t now = MS(100000);
	struct cs_steer *s = create(now);

	write_ready(s, 0, 40, now);
	g_assert_true(write_draining(s, 0, 1, now));
	g_assert_false(is_used(s, now));
	cs_steer_destroy(s);
}

/* Completes the health checks that are due; cold_ms: what the server's responses state. */
static unsigned complete_checks(struct cs_steer *s, unsigned cold_ms, uint64_t now)
{
	struct cs_backend *b;
	unsigned n = 0;

	for (; (b = cs_steer_next_probe(s, now)) != NULL; n++)
		cs_steer_probe_done(s, b, true, cold_ms, now);
	return n;
}

static bool write_cold(struct cs_steer *s, int64_t started_ms, int64_t sequence, unsigned cold_ms,
		       uint64_t now)
{
	struct cs_server_entry e = fixture_make_entry(started_ms, sequence);

	e.cold_ms = cold_ms;
	return cs_steer_update_server(s, &e, now);
}

/* Guards against the last write of a process that was killed, which hides that the next is cold. */
static void test_former_process(void)
{
	uint64_t now = MS(100000);
	struct cs_steer *s = create(now);

	write_ready(s, 2000, 40, now);
	g_assert_true(write_cold(s, 3000, 1, 3000, now));
	g_assert_cmpuint(cs_steer_count_cold(s, now), ==, 1);
	now += MS(600);
	g_assert_false(write_ready(s, 2000, 41, now));
	g_assert_cmpuint(cs_steer_count_cold(s, now), ==, 1);
	complete_checks(s, 2400, now);
	g_assert_true(write_cold(s, 3000, 2, 1500, now + MS(900)));
	g_assert_cmpuint(cs_steer_count_cold(s, now + MS(1000)), ==, 1);
	cs_steer_destroy(s);
}

/*
 * Guards against a server that starts again on a clock which has gone back and is lost for good, or
 * gets requests at the full rate while it is cold.
 */
static void test_clock_went_back(void)
{
	uint64_t now = MS(100000), end;
	struct cs_steer *s = create(now);
	struct cs_server_entry e;
	int64_t sequence = 1;

	write_ready(s, 9000, 40, now);
	g_assert_true(is_used(s, now));
	g_assert_false(write_cold(s, 2000, sequence++, 3000, now));
	g_assert_false(is_used(s, now));
	g_assert_cmpuint(complete_checks(s, 3000, now), ==, 1);
	g_assert_cmpuint(cs_steer_count_cold(s, now), ==, 1);
	for (end = now + HOLD_US; now < end; now += MS(1500)) {
		write_ready(s, 2000, sequence++, now);
		complete_checks(s, 0, now);
		cs_steer_tick(s, now);
	}
	complete_checks(s, 0, now);
	g_assert_true(is_used(s, now));
	/* The new process is the known one now. */
	e = fixture_make_entry(2000, sequence);
	e.draining = true;
	g_assert_true(cs_steer_update_server(s, &e, now));
	g_assert_false(is_used(s, now));
	cs_steer_destroy(s);
}

#define ENTRIES 12

/*
 * Guards against any order and any repeats in which an older entry takes back what a newer one
 * said: what is believed is always the newest of those that have arrived.
 */
static void test_random_order(void)
{
	const char *first = g_getenv("SEED");
	uint32_t seed = first != NULL ? (uint32_t)atoi(first) : 1, end = seed + 300;
	struct cs_server_entry e[ENTRIES];
	unsigned i, k, newest;
	struct cs_steer *s;
	struct cs_rng rng;
	uint64_t now;

	for (; seed < end; seed++) {
		cs_rng_seed(&rng, seed);
		now = MS(100000);
		s = create(now);
		for (i = 0; i < ENTRIES; i++) {
			/* Of two processes. */
			e[i] = fixture_make_entry(i < ENTRIES / 2 ? 2000 : 3000,
						  1 + i % (ENTRIES / 2));
			e[i].draining = cs_rng_below(&rng, 2);
		}
		newest = cs_rng_below(&rng, ENTRIES);
		cs_steer_update_server(s, &e[newest], now);
		/* All arrive within the time for which the store may carry out a write late. */
		for (i = 0; i < 3 * ENTRIES; i++) {
			k = cs_rng_below(&rng, ENTRIES);
			now += MS(cs_rng_below(&rng, 160));
			g_assert_cmpint(cs_steer_update_server(s, &e[k], now), ==, k >= newest);
			newest = k > newest ? k : newest;
			complete_checks(s, 0, now);
			if (is_used(s, now) == e[newest].draining)
				g_error("seed %u: entry %u is not believed", seed, newest);
		}
		cs_steer_destroy(s);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/entry-order/late-write", test_late_write);
	g_test_add_func("/entry-order/late-write-after-removal", test_late_write_after_removal);
	g_test_add_func("/entry-order/huge-sequence", test_huge_sequence);
	g_test_add_func("/entry-order/store-silent", test_store_silent);
	g_test_add_func("/entry-order/replaced-unseen", test_replaced_unseen);
	g_test_add_func("/entry-order/unknown-start", test_unknown_start);
	g_test_add_func("/entry-order/former-process", test_former_process);
	g_test_add_func("/entry-order/clock-went-back", test_clock_went_back);
	g_test_add_func("/entry-order/random-order", test_random_order);
	return g_test_run();
}
