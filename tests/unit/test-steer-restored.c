/* Entries of a store that was restored from a copy (lib/steer/servers.c). */
#include <string.h>

#include "tests/unit/steer-fixture.h"

#define FIRST_REVISION 1000000000000000ULL
/* Longer than an entry of a server that is gone stays in a restored store. */
#define HOLD_US MS(6500)

/* Writes an entry of the server s1; true if it is believed. */
static bool write_entry(struct cs_steer *s, int64_t started_ms, int64_t sequence, bool draining,
			uint64_t now)
{
	struct cs_server_entry e = fixture_make_entry(started_ms, sequence);

	e.draining = draining;
	return cs_steer_update_server(s, &e, now);
}

/* An instance that knows the server s1, started at 2000, with sequence 5. */
static struct cs_steer *one_server(uint64_t now)
{
	struct cs_steer *s = fixture_create("i1", "a1", now);

	cs_steer_set_document(s, fixture_document(1, "ra"), now);
	g_assert_true(write_entry(s, 2000, 5, false, now));
	cs_steer_tick(s, now);
	return s;
}

/* Reads all entries; s1 has the given one, or none if started_ms is 0. */
static void full_read(struct cs_steer *s, int64_t started_ms, int64_t sequence, uint64_t now)
{
	cs_steer_full_read_begin(s);
	if (started_ms > 0)
		write_entry(s, started_ms, sequence, false, now);
	cs_steer_full_read_end(s, MS(2000), now);
}

/* Removes s1, and restores the store some time later. */
static void remove_and_restore(struct cs_steer *s, uint64_t *now, uint64_t later_us)
{
	cs_steer_remove_server(s, "s1", 0, *now);
	fixture_run(s, now, *now + later_us);
	cs_steer_store_restored(s);
}

/* Guards against a server that is used again after it has left, as a restored store has its entry. */
static void test_removed(void)
{
	static const struct {
		int64_t started_ms, sequence;
		bool used;
	} entries[] = {{2000, 4, false},
		       {2000, 5, false},
		       {2000, 6, true},
		       {1000, 9, false},
		       {3000, 1, true}};
	uint64_t now;
	struct cs_steer *s;
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(entries); i++) {
		now = MS(100000);
		s = one_server(now);
		g_assert_true(fixture_sends(s, now));
		remove_and_restore(s, &now, MS(5000));
		full_read(s, entries[i].started_ms, entries[i].sequence, now);
		g_assert_cmpint(fixture_sends(s, now), ==, entries[i].used);
		fixture_run(s, &now, now + HOLD_US);
		g_assert_true(fixture_sends(s, now));
		cs_steer_destroy(s);
	}
}

/* Guards against an old entry that is believed although it was removed while it was held. */
static void test_removed_while_held(void)
{
	uint64_t now = MS(100000);
	struct cs_steer *s = one_server(now);

	remove_and_restore(s, &now, 0);
	full_read(s, 2000, 5, now);
	fixture_run(s, &now, now + MS(1000));
	cs_steer_remove_server(s, "s1", MS(1000), now);
	g_assert_false(fixture_sends(s, now));
	fixture_run(s, &now, now + HOLD_US);
	g_assert_false(fixture_sends(s, now));
	/* Only the read that follows the restoration brings old entries. */
	full_read(s, 2000, 5, now);
	g_assert_true(fixture_sends(s, now));
	cs_steer_destroy(s);
}

/* Guards against a server that is forgotten while its old entry is not believed yet. */
static void test_held_long_after_removal(void)
{
	uint64_t now = MS(100000);
	struct cs_steer *s = one_server(now);

	remove_and_restore(s, &now, MS(28000));
	full_read(s, 2000, 5, now);
	g_assert_false(fixture_sends(s, now));
	fixture_run(s, &now, now + HOLD_US);
	g_assert_true(fixture_sends(s, now));
	cs_steer_destroy(s);
}

/* Guards against a server that drains and is used again, and against one whose entry was lost. */
static void test_present(void)
{
	uint64_t now = MS(100000);
	struct cs_steer *s = one_server(now);

	cs_steer_store_restored(s);
	full_read(s, 0, 0, now);
	g_assert_true(fixture_sends(s, now));
	write_entry(s, 2000, 6, true, now);
	g_assert_false(fixture_sends(s, now));
	cs_steer_store_restored(s);
	full_read(s, 2000, 5, now);
	g_assert_false(fixture_sends(s, now));
	cs_steer_destroy(s);
}

/* Guards against an instance that follows one which has not noticed the restoration. */
static void test_instance_behind(void)
{
	struct cs_steer_report r = {.name = "i2", .boot = 1, .ready = true};
	uint64_t now = MS(100000);
	struct cs_steer *s = one_server(now);

	fixture_add_member(s, "i2", "a1", now);
	r.seq = now + 1;
	r.store_fresh = r.store_stable = true;
	r.store_revision = 700;
	cs_steer_handle_report(s, &r, now);
	g_assert_cmpuint(cs_steer_watched_revision(s, now), ==, 700);
	g_assert_true(cs_steer_store_stable(s, now));
	cs_steer_set_first_revision(s, FIRST_REVISION);
	g_assert_cmpuint(cs_steer_watched_revision(s, now), ==, 0);
	g_assert_false(cs_steer_store_stable(s, now));
	r.seq++;
	r.store_revision = FIRST_REVISION + 690;
	cs_steer_handle_report(s, &r, now);
	g_assert_cmpuint(cs_steer_watched_revision(s, now), ==, FIRST_REVISION + 690);
	g_assert_true(cs_steer_store_stable(s, now));
	cs_steer_destroy(s);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/steer/restored/removed", test_removed);
	g_test_add_func("/steer/restored/removed-while-held", test_removed_while_held);
	g_test_add_func("/steer/restored/held-long-after-removal", test_held_long_after_removal);
	g_test_add_func("/steer/restored/present", test_present);
	g_test_add_func("/steer/restored/instance-behind", test_instance_behind);
	return g_test_run();
}
