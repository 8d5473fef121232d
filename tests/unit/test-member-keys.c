/* Keys of instances that the store writes late (lib/steer/members.c). */
#include <string.h>

#include "tests/unit/steer-fixture.h"

#define ADDRS_MAX 8

/* Reads the key of the process of i2 that started at boot. */
static void read_key(struct cs_steer *s, uint64_t boot, const char *front, uint64_t now)
{
	struct cs_steer_member m = {.boot = boot, .ready = true, .name = "i2", .zone = "a1"};

	cs_copy(m.front, sizeof(m.front), front);
	cs_steer_update_member(s, &m, now);
}

/* Receives a report of that process. */
static void receive_report(struct cs_steer *s, uint64_t boot, uint64_t now)
{
	static struct cs_steer_report r;

	memset(&r, 0, sizeof(r));
	cs_copy(r.name, sizeof(r.name), "i2");
	r.boot = boot;
	r.seq = now;
	r.ready = true;
	cs_steer_handle_report(s, &r, now);
}

/* True if clients are directed to the address. */
static bool is_offered(struct cs_steer *s, const char *front, uint64_t now)
{
	struct cs_steer_member self = {.ready = true, .front = "self"};
	char out[ADDRS_MAX][CS_ADDR_MAX + 8];
	unsigned i, n = cs_steer_client_addresses(s, "a1", "ra", &self, now, out, ADDRS_MAX);

	for (i = 0; i < n; i++)
		if (strcmp(out[i], front) == 0)
			return true;
	return false;
}

static struct cs_steer *create(uint64_t now)
{
	struct cs_steer_bounds bounds = {.member_silence_ms = 6000};
	struct cs_steer *s = fixture_create("i1", "a1", now);

	cs_steer_set_bounds(s, &bounds);
	return s;
}

/* Guards against clients that are directed to an instance which ended before its key was written. */
static void test_never_heard(void)
{
	uint64_t now = MS(100000), end;
	struct cs_steer *s = create(now);

	read_key(s, 1000, "old", now);
	for (end = now + MS(9000); now < end; now += MS(50)) {
		g_assert_false(is_offered(s, "old", now));
		cs_steer_tick(s, now);
	}
	/* It is alive after all. */
	receive_report(s, 1000, now);
	g_assert_true(is_offered(s, "old", now));
	cs_steer_destroy(s);
}

/* Guards against the key of a former process that replaces what is known of the present one. */
static void test_former_process(void)
{
	uint64_t now = MS(100000), end;
	struct cs_steer *s = create(now);

	read_key(s, 1000, "old", now);
	receive_report(s, 1000, now);
	now += MS(1000);
	read_key(s, 2000, "new", now);
	g_assert_false(is_offered(s, "old", now));
	g_assert_false(is_offered(s, "new", now));
	receive_report(s, 2000, now);
	g_assert_true(is_offered(s, "new", now));
	read_key(s, 1000, "old", now + MS(100));
	for (end = now + MS(9000); now < end; now += MS(150)) {
		receive_report(s, 2000, now);
		cs_steer_tick(s, now);
		g_assert_true(is_offered(s, "new", now));
		g_assert_false(is_offered(s, "old", now));
	}
	/* A late message of the former process does not count. */
	receive_report(s, 1000, now + MS(10));
	g_assert_true(is_offered(s, "new", now + MS(20)));
	cs_steer_destroy(s);
}

/* Guards against an instance that is lost for good as the clock of its machine has gone back. */
static void test_clock_went_back(void)
{
	uint64_t now = MS(100000), end;
	struct cs_steer *s = create(now);

	read_key(s, 2000, "old", now);
	receive_report(s, 2000, now);
	now += MS(200);
	read_key(s, 1000, "new", now);
	for (end = now + MS(2500); now < end; now += MS(150)) {
		receive_report(s, 1000, now);
		cs_steer_tick(s, now);
	}
	receive_report(s, 1000, now);
	g_assert_true(is_offered(s, "new", now));
	g_assert_false(is_offered(s, "old", now));
	cs_steer_destroy(s);
}

/* Guards against the key of a former process that is believed when both have ended. */
static void test_both_ended(void)
{
	uint64_t now = MS(100000), end;
	struct cs_steer *s = create(now);

	read_key(s, 2000, "new", now);
	receive_report(s, 2000, now);
	read_key(s, 1000, "old", now + MS(100));
	for (end = now + MS(9000); now < end; now += MS(50)) {
		cs_steer_tick(s, now);
		g_assert_false(is_offered(s, "old", now));
	}
	cs_steer_unlist_member(s, "i2", now);
	fixture_run(s, &now, now + MS(11000));
	g_assert_false(cs_steer_has_member(s, "i2"));
	cs_steer_destroy(s);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/member-keys/never-heard", test_never_heard);
	g_test_add_func("/member-keys/former-process", test_former_process);
	g_test_add_func("/member-keys/clock-went-back", test_clock_went_back);
	g_test_add_func("/member-keys/both-ended", test_both_ended);
	return g_test_run();
}
