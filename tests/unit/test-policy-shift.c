/* Tests of drains: the cap in each second, order of the two ramps, refusals, region drains. */
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "tests/unit/policy-fixture.h"

#define S CS_US_PER_S
#define MS CS_US_PER_MS
#define START (100 * S)
#define WALL 1796495200000LL /* 2026-12-05T18:26:40Z */
#define REQUESTS 4000

static const char zone_drain[] = "{\"id\":\"d-1\",\"zone\":\"z-0-0\","
				 "\"start\":\"2026-12-05T18:26:50Z\","
				 "\"deadline\":\"2026-12-05T19:26:40Z\"}";
static const char region_drain[] = "{\"id\":\"d-1\",\"region\":\"r-0\","
				   "\"start\":\"2026-12-05T18:26:50Z\","
				   "\"deadline\":\"2026-12-05T19:26:40Z\"}";
#define RAMP (WALL + 10000) /* start of the drains */

/* Guards against a step over the cap, a rise during a drain and an end that does not come. */
static void test_steps(void)
{
	static const double caps[] = {0.7, 1, 3, 5, 7, 33, 50, 99, 100};
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(caps); i++) {
		struct fx_shape shape = {.cap_pct_s = caps[i], .drains = zone_drain};
		struct cs_config *cfg = fx_config(&shape);
		int64_t t, end = cs_shift_end_ms(cfg, &cfg->drains[0]);

		g_assert_cmpfloat(cs_shift_remaining(cfg, 0, RAMP - 1), ==, 1);
		g_assert_cmpfloat(cs_shift_remaining(cfg, 1, end), ==, 1);
		g_assert_cmpfloat(cs_shift_remaining(cfg, 0, end), ==, 0);
		g_assert_cmpfloat(cs_shift_remaining_lookups(cfg, 0, end), ==, 0);
		for (t = RAMP - 2000; t < end + 2000; t += 97) {
			double a = cs_shift_remaining(cfg, 0, t),
			       b = cs_shift_remaining(cfg, 0, t + 999);

			g_assert_cmpfloat(b, <=, a);
			g_assert_cmpfloat(a - b, <=, caps[i] / 100 + 1e-9);
		}
		cs_config_unref(cfg);
	}
}

/*
 * Guards against the two ways out of a zone adding up: lookups that send callers elsewhere and
 * proxies that forward requests. Whatever part of the callers follows lookups, at most the cap
 * leaves the zone's servers in a second. With both ramps at once it would be up to twice the cap.
 */
static void test_both_ways(void)
{
	struct fx_shape shape = {.cap_pct_s = 5, .drains = zone_drain};
	struct cs_config *cfg = fx_config(&shape);
	unsigned quarter;
	int64_t t;

	for (quarter = 0; quarter <= 4; quarter++) {
		double was[1000] = {0}, follow = quarter / 4.0;
		unsigned n = 0;

		for (t = RAMP - 5000; t < RAMP + 60000; t += 100, n++) {
			double entry = 0, stay = cs_shift_remaining(cfg, 0, t);
			unsigned age;

			/* Lookup answers are between 0 and 2 s old and look 2 s ahead. */
			for (age = 0; age < 20; age++)
				entry += cs_shift_remaining_lookups(cfg, 0, t - 100 * age + 2000) /
					 20;
			was[n] = stay * (follow * entry + 1 - follow);
			if (n >= 9)
				g_assert_cmpfloat(was[n - 9] - was[n], <=, 0.05 + 1e-9);
		}
		g_assert_cmpfloat(was[n - 1], ==, 0);
	}
	cs_config_unref(cfg);
}

static struct cs_view *drain_view(const struct fx_shape *shape)
{
	struct cs_view *v = fx_view(shape);

	fx_member(v, "i-0", "z-0-0");
	fx_member(v, "i-1", "z-0-1");
	fx_member(v, "i-2", "z-1-0");
	fx_server(v, "s-0", "web", "z-0-0");
	fx_load(v, "z-0-1", "web", 60000, 0);
	fx_load(v, "z-1-0", "web", 60000, 0);
	return v;
}

/* Asks for each of the requests whether it stays; gives the part that does. */
static double part(struct cs_policy *p, uint64_t now, bool *stays)
{
	struct cs_decision d;
	unsigned i, n = 0;

	for (i = 0; i < REQUESTS; i++) {
		struct cs_policy_request ask = fx_ask(FX_LOOKUPS, cs_hash(&i, sizeof(i), 7), now);

		cs_policy_decide(p, &ask, now, &d);
		stays[i] = d.verdict == CS_VERDICT_SEND;
		if (stays[i])
			cs_policy_attempt_ended(p, d.u.send.target, FX_LOOKUPS, CS_OUTCOME_OK, MS,
						now);
		else
			cs_policy_hop_ended(p, d.u.hop.zone, FX_LOOKUPS, false, MS, now);
		n += stays[i];
	}
	return (double)n / REQUESTS;
}

/*
 * Guards against proxies that move other requests than their peers, a request that comes back
 * during a drain, and a ramp that needs new views or measurements: there is one view only.
 */
static void test_requests(void)
{
	struct fx_shape shape = {.cap_pct_s = 10, .drains = zone_drain, .no_bulk = true};
	struct cs_view *v = drain_view(&shape);
	struct cs_policy *p = fx_policy("i-0", 1), *q = fx_policy("i-0", 2);
	static bool mine[REQUESTS], theirs[REQUESTS], before[REQUESTS];
	double last = 1, now_part;
	unsigned i, sec;

	cs_policy_set_wall_clock(p, WALL, START);
	cs_policy_set_wall_clock(q, WALL, START);
	cs_policy_update(p, v, START);
	cs_policy_update(q, v, START);
	memset(before, true, sizeof(before));
	for (sec = 0; sec < 25; sec++) {
		uint64_t now = START + sec * S + 500 * MS;

		now_part = part(p, now, mine);
		part(q, now, theirs);
		for (i = 0; i < REQUESTS; i++) {
			g_assert_cmpint(mine[i], ==, theirs[i]);
			g_assert_true(before[i] || !mine[i]);
		}
		memcpy(before, mine, sizeof(before));
		/* 4000 hashes are spread evenly to within 0.02. */
		g_assert_cmpfloat(last - now_part, <=, 0.1 + 0.02);
		last = now_part;
	}
	g_assert_cmpfloat(last, ==, 0);
	cs_policy_destroy(p);
	cs_policy_destroy(q);
	cs_view_destroy(v);
}

/*
 * Guards against a jump when the configuration or the wall clock does: a drain that is removed, one
 * that starts in the past, and a clock that is set forward move at most the cap in a second.
 */
static void test_jumps(void)
{
	struct fx_shape with = {
		.cap_pct_s = 10, .drains = zone_drain, .no_bulk = true, .revision = 2};
	struct fx_shape none = {.cap_pct_s = 10, .no_bulk = true, .revision = 3};
	struct fx_shape first = {.cap_pct_s = 10, .no_bulk = true, .revision = 1};
	struct cs_view *v[3] = {drain_view(&first), drain_view(&with), drain_view(&none)};
	static bool stays[REQUESTS];
	struct cs_policy *p = fx_policy("i-0", 1);
	double last = 1, x;
	unsigned sec;

	cs_policy_update(p, v[0], START);
	cs_policy_set_wall_clock(p, WALL, START);
	for (sec = 0; sec < 60; sec++) {
		uint64_t now = START + sec * S;

		/* The drain is stated 100 s after its start, then removed. */
		if (sec == 5)
			cs_policy_set_wall_clock(p, RAMP + 100000, now);
		if (sec == 10)
			cs_policy_update(p, v[1], now);
		if (sec == 35)
			cs_policy_update(p, v[2], now);
		x = part(p, now, stays);
		g_assert_cmpfloat(last - x, <=, 0.1 + 0.02);
		g_assert_cmpfloat(x - last, <=, 0.1 + 0.02);
		if (sec == 30)
			g_assert_cmpfloat(x, ==, 0);
		last = x;
	}
	g_assert_cmpfloat(last, ==, 1);
	cs_policy_destroy(p);
	for (sec = 0; sec < 3; sec++)
		cs_view_destroy(v[sec]);
}

/* Guards against a drained zone that refuses its callers because no other zone can be reached. */
static void test_nowhere(void)
{
	struct fx_shape shape = {.drains = zone_drain, .no_bulk = true};
	struct cs_view *v = drain_view(&shape);
	struct cs_policy *p = fx_policy("i-0", 1);
	static bool stays[REQUESTS];

	v->members[1].state = v->members[2].state = CS_MEMBER_UNREACHABLE;
	cs_policy_set_wall_clock(p, WALL + 3000000, START);
	cs_policy_update(p, v, START);
	g_assert_cmpfloat(part(p, START, stays), ==, 1);
	cs_policy_destroy(p);
	cs_view_destroy(v);
}

/* Guards against requests moved from one zone of a drained region to another one of it. */
static void test_region(void)
{
	struct fx_shape shape = {.drains = region_drain, .no_bulk = true};
	struct cs_view *v = drain_view(&shape);
	struct cs_policy *p = fx_policy("i-0", 1);
	struct cs_decision d;
	unsigned i;

	g_assert_cmpfloat(cs_shift_remaining(v->cfg, 1, RAMP + 500), ==, 0.95);
	g_assert_cmpfloat(cs_shift_remaining(v->cfg, 2, RAMP + 500), ==, 1);
	cs_policy_set_wall_clock(p, WALL + 3000000, START);
	cs_policy_update(p, v, START);
	for (i = 0; i < 50; i++) {
		struct cs_policy_request ask = fx_ask(FX_LOOKUPS, i, START);

		cs_policy_decide(p, &ask, START, &d);
		g_assert_cmpint(d.verdict, ==, CS_VERDICT_HOP);
		g_assert_cmpstr(d.u.hop.zone, ==, "z-1-0");
	}
	cs_policy_destroy(p);
	cs_view_destroy(v);
}

/* Guards against deadlines that are accepted and cannot be met, and refusals without the figure. */
static void test_feasible(void)
{
	struct fx_shape shape = {.cap_pct_s = 5};
	struct cs_view *v = fx_view(&shape);
	struct cs_drain d = {.kind = CS_DRAIN_ZONE, .target = 0};
	struct cs_msg msg;

	/* Two ramps of 20 s, 2 s of lookups, 3 s of requests, 5 s of margin. */
	d.start_ms = WALL;
	d.deadline_ms = WALL + 50000;
	g_assert_true(cs_shift_feasible(v->cfg, &d, WALL, NULL, &msg));
	d.deadline_ms--;
	g_assert_false(cs_shift_feasible(v->cfg, &d, WALL, NULL, &msg));
	g_assert_nonnull(strstr(msg.text, "time is short by 0.0 s"));
	d.deadline_ms = WALL + 30000;
	g_assert_false(cs_shift_feasible(v->cfg, &d, WALL, NULL, &msg));
	g_assert_nonnull(strstr(msg.text, "time is short by 20.0 s"));
	g_assert_nonnull(strstr(msg.text, "cap_pct_s 5"));
	/* A start in the past does not make the ramp shorter. */
	d.deadline_ms = WALL + 60000;
	g_assert_false(cs_shift_feasible(v->cfg, &d, WALL + 20000, NULL, &msg));
	g_assert_nonnull(strstr(msg.text, "time is short by 10.0 s"));

	fx_load(v, "z-0-0", "web", 100, 60);
	fx_load(v, "z-0-1", "web", 100, 60);
	fx_load(v, "z-1-0", "web", 60, 30);
	g_assert_false(cs_shift_feasible(v->cfg, &d, WALL, v, &msg));
	g_assert_nonnull(strstr(msg.text, "capacity of service web is short by 22 slots"));
	v->loads[0].in_flight = 38;
	g_assert_true(cs_shift_feasible(v->cfg, &d, WALL, v, &msg));
	cs_view_destroy(v);

	shape.regions = 1;
	shape.zones = 1;
	v = fx_view(&shape);
	g_assert_false(cs_shift_feasible(v->cfg, &d, WALL, NULL, &msg));
	g_assert_nonnull(strstr(msg.text, "no zone"));
	cs_view_destroy(v);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/policy/shift/steps", test_steps);
	g_test_add_func("/policy/shift/both-ways", test_both_ways);
	g_test_add_func("/policy/shift/requests", test_requests);
	g_test_add_func("/policy/shift/jumps", test_jumps);
	g_test_add_func("/policy/shift/nowhere", test_nowhere);
	g_test_add_func("/policy/shift/region", test_region);
	g_test_add_func("/policy/shift/feasible", test_feasible);
	return g_test_run();
}
