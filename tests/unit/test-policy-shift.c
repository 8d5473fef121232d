/*
 * Tests of drains: cap per second, order of the two ramps, feasibility of deadlines, region drains.
 */
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "tests/unit/policy-fixture.h"

#define S CS_US_PER_S
#define MS CS_US_PER_MS
#define START (100 * S)
#define WALL_MS 1796495200000LL /* 2026-12-05T18:26:40Z */
#define REQUESTS 4000

static const char zone_drain[] = "{\"id\":\"d-1\",\"zone\":\"z-0-0\","
				 "\"start\":\"2026-12-05T18:26:50Z\","
				 "\"deadline\":\"2026-12-05T19:26:40Z\"}";
static const char region_drain[] = "{\"id\":\"d-1\",\"region\":\"r-0\","
				   "\"start\":\"2026-12-05T18:26:50Z\","
				   "\"deadline\":\"2026-12-05T19:26:40Z\"}";
#define DRAIN_START_MS (WALL_MS + 10000) /* start of the drains */

/*
 * Guards against a drain that moves more than the cap in a second, moves requests back, or never
 * completes.
 */
static void test_ramp_within_cap(void)
{
	static const double caps[] = {0.7, 1, 3, 5, 7, 33, 50, 99, 100};
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(caps); i++) {
		struct fx_shape shape = {.cap_pct_s = caps[i], .drains = zone_drain};
		struct cs_config *cfg = fx_config(&shape);
		int64_t t, end = cs_shift_end_ms(cfg, &cfg->drains[0]);

		g_assert_cmpfloat(cs_shift_remaining(cfg, 0, DRAIN_START_MS - 1), ==, 1);
		g_assert_cmpfloat(cs_shift_remaining(cfg, 1, end), ==, 1);
		g_assert_cmpfloat(cs_shift_remaining(cfg, 0, end), ==, 0);
		g_assert_cmpfloat(cs_shift_remaining_lookups(cfg, 0, end), ==, 0);
		for (t = DRAIN_START_MS - 2000; t < end + 2000; t += 97) {
			double a = cs_shift_remaining(cfg, 0, t),
			       b = cs_shift_remaining(cfg, 0, t + 999);

			g_assert_cmpfloat(b, <=, a);
			g_assert_cmpfloat(a - b, <=, caps[i] / 100 + 1e-9);
		}
		cs_config_unref(cfg);
	}
}

/*
 * Guards against the two ramps out of a zone adding up: lookups that send clients elsewhere and
 * proxies that forward requests. Whatever fraction of the clients follows lookups, at most the cap
 * may leave the zone's servers per second. With both ramps at once it would be up to twice the cap.
 */
static void test_both_ramps_within_cap(void)
{
	struct fx_shape shape = {.cap_pct_s = 5, .drains = zone_drain};
	struct cs_config *cfg = fx_config(&shape);
	unsigned quarter;
	int64_t t;

	for (quarter = 0; quarter <= 4; quarter++) {
		double staying[1000] = {0}, followers = quarter / 4.0;
		unsigned n = 0;

		for (t = DRAIN_START_MS - 5000; t < DRAIN_START_MS + 60000; t += 100, n++) {
			double entering = 0, remaining = cs_shift_remaining(cfg, 0, t);
			unsigned age;

			/*
			 * Cached lookup responses are 0 to 2 s old and were computed for a time 2 s
			 * ahead.
			 */
			for (age = 0; age < 20; age++)
				entering +=
					cs_shift_remaining_lookups(cfg, 0, t - 100 * age + 2000) /
					20;
			staying[n] = remaining * (followers * entering + 1 - followers);
			if (n >= 9)
				g_assert_cmpfloat(staying[n - 9] - staying[n], <=, 0.05 + 1e-9);
		}
		g_assert_cmpfloat(staying[n - 1], ==, 0);
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

/* Decides on each request whether it stays in the zone; returns the fraction that does. */
static double fraction_staying(struct cs_policy *p, uint64_t now, bool *stays)
{
	struct cs_decision d;
	unsigned i, n = 0;

	for (i = 0; i < REQUESTS; i++) {
		struct cs_policy_request req =
			fx_request(FX_LOOKUPS, cs_hash(&i, sizeof(i), 7), now);

		cs_policy_decide(p, &req, now, &d);
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
 * Guards against proxies that move different requests than their peers, a request that returns
 * during a drain, and a ramp that depends on new views or measurements (there is only one view).
 */
static void test_proxies_move_same_requests(void)
{
	struct fx_shape shape = {.cap_pct_s = 10, .drains = zone_drain, .no_bulk = true};
	struct cs_view *v = drain_view(&shape);
	struct cs_policy *p = fx_policy("i-0", 1), *q = fx_policy("i-0", 2);
	static bool stays_p[REQUESTS], stays_q[REQUESTS], previous[REQUESTS];
	double last_fraction = 1, fraction;
	unsigned i, sec;

	cs_policy_set_wall_clock(p, WALL_MS, START);
	cs_policy_set_wall_clock(q, WALL_MS, START);
	cs_policy_update(p, v, START);
	cs_policy_update(q, v, START);
	memset(previous, true, sizeof(previous));
	for (sec = 0; sec < 25; sec++) {
		uint64_t now = START + sec * S + 500 * MS;

		fraction = fraction_staying(p, now, stays_p);
		fraction_staying(q, now, stays_q);
		for (i = 0; i < REQUESTS; i++) {
			g_assert_cmpint(stays_p[i], ==, stays_q[i]);
			g_assert_true(previous[i] || !stays_p[i]);
		}
		memcpy(previous, stays_p, sizeof(previous));
		/* 4000 hashes are uniform to within 0.02. */
		g_assert_cmpfloat(last_fraction - fraction, <=, 0.1 + 0.02);
		last_fraction = fraction;
	}
	g_assert_cmpfloat(last_fraction, ==, 0);
	cs_policy_destroy(p);
	cs_policy_destroy(q);
	cs_view_destroy(v);
}

/*
 * Guards against a jump when the configuration or the wall clock changes. A drain that is removed,
 * one that starts in the past, and a clock set forward may move at most the cap per second.
 */
static void test_no_jump_on_config_or_clock_change(void)
{
	struct fx_shape drained = {
		.cap_pct_s = 10, .drains = zone_drain, .no_bulk = true, .revision = 2};
	struct fx_shape removed = {.cap_pct_s = 10, .no_bulk = true, .revision = 3};
	struct fx_shape initial = {.cap_pct_s = 10, .no_bulk = true, .revision = 1};
	struct cs_view *v[3] = {drain_view(&initial), drain_view(&drained), drain_view(&removed)};
	static bool stays[REQUESTS];
	struct cs_policy *p = fx_policy("i-0", 1);
	double last = 1, current;
	unsigned sec;

	cs_policy_update(p, v[0], START);
	cs_policy_set_wall_clock(p, WALL_MS, START);
	for (sec = 0; sec < 60; sec++) {
		uint64_t now = START + sec * S;

		/*
		 * At 5 s the clock is set to 100 s after the start of the drain, which is
		 * configured at 10 s and removed at 35 s.
		 */
		if (sec == 5)
			cs_policy_set_wall_clock(p, DRAIN_START_MS + 100000, now);
		if (sec == 10)
			cs_policy_update(p, v[1], now);
		if (sec == 35)
			cs_policy_update(p, v[2], now);
		current = fraction_staying(p, now, stays);
		g_assert_cmpfloat(last - current, <=, 0.1 + 0.02);
		g_assert_cmpfloat(current - last, <=, 0.1 + 0.02);
		if (sec == 30)
			g_assert_cmpfloat(current, ==, 0);
		last = current;
	}
	g_assert_cmpfloat(last, ==, 1);
	cs_policy_destroy(p);
	for (sec = 0; sec < 3; sec++)
		cs_view_destroy(v[sec]);
}

/* Guards against a drained zone that refuses its clients although no other zone can be reached. */
static void test_serves_if_no_other_zone_reachable(void)
{
	struct fx_shape shape = {.drains = zone_drain, .no_bulk = true};
	struct cs_view *v = drain_view(&shape);
	struct cs_policy *p = fx_policy("i-0", 1);
	static bool stays[REQUESTS];

	v->members[1].state = v->members[2].state = CS_MEMBER_UNREACHABLE;
	cs_policy_set_wall_clock(p, WALL_MS + 3000000, START);
	cs_policy_update(p, v, START);
	g_assert_cmpfloat(fraction_staying(p, START, stays), ==, 1);
	cs_policy_destroy(p);
	cs_view_destroy(v);
}

/*
 * Guards against requests moved from one zone of a drained region to another zone of that region.
 */
static void test_region_drain_leaves_region(void)
{
	struct fx_shape shape = {.drains = region_drain, .no_bulk = true};
	struct cs_view *v = drain_view(&shape);
	struct cs_policy *p = fx_policy("i-0", 1);
	struct cs_decision d;
	unsigned i;

	g_assert_cmpfloat(cs_shift_remaining(v->cfg, 1, DRAIN_START_MS + 500), ==, 0.95);
	g_assert_cmpfloat(cs_shift_remaining(v->cfg, 2, DRAIN_START_MS + 500), ==, 1);
	cs_policy_set_wall_clock(p, WALL_MS + 3000000, START);
	cs_policy_update(p, v, START);
	for (i = 0; i < 50; i++) {
		struct cs_policy_request req = fx_request(FX_LOOKUPS, i, START);

		cs_policy_decide(p, &req, START, &d);
		g_assert_cmpint(d.verdict, ==, CS_VERDICT_HOP);
		g_assert_cmpstr(d.u.hop.zone, ==, "z-1-0");
	}
	cs_policy_destroy(p);
	cs_view_destroy(v);
}

/*
 * Guards against drain deadlines that are accepted although they cannot be met, and refusals that
 * do not state the shortfall.
 */
static void test_refuses_deadline_that_cannot_be_met(void)
{
	struct fx_shape shape = {.cap_pct_s = 5};
	struct cs_view *v = fx_view(&shape);
	struct cs_drain d = {.kind = CS_DRAIN_ZONE, .target = 0};
	struct cs_msg msg;

	/* Two ramps of 20 s, lookup TTL of 2 s, request timeout of 3 s, margin of 5 s. */
	d.start_ms = WALL_MS;
	d.deadline_ms = WALL_MS + 50000;
	g_assert_true(cs_shift_feasible(v->cfg, &d, WALL_MS, NULL, &msg));
	d.deadline_ms--;
	g_assert_false(cs_shift_feasible(v->cfg, &d, WALL_MS, NULL, &msg));
	g_assert_nonnull(strstr(msg.text, "time is short by 0.0 s"));
	d.deadline_ms = WALL_MS + 30000;
	g_assert_false(cs_shift_feasible(v->cfg, &d, WALL_MS, NULL, &msg));
	g_assert_nonnull(strstr(msg.text, "time is short by 20.0 s"));
	g_assert_nonnull(strstr(msg.text, "cap_pct_s 5"));
	/* A start in the past does not shorten the ramp. */
	d.deadline_ms = WALL_MS + 60000;
	g_assert_false(cs_shift_feasible(v->cfg, &d, WALL_MS + 20000, NULL, &msg));
	g_assert_nonnull(strstr(msg.text, "time is short by 10.0 s"));

	fx_load(v, "z-0-0", "web", 100, 60);
	fx_load(v, "z-0-1", "web", 100, 60);
	fx_load(v, "z-1-0", "web", 60, 30);
	g_assert_false(cs_shift_feasible(v->cfg, &d, WALL_MS, v, &msg));
	g_assert_nonnull(strstr(msg.text, "capacity of service web is short by 22 slots"));
	v->loads[0].in_flight = 38;
	g_assert_true(cs_shift_feasible(v->cfg, &d, WALL_MS, v, &msg));
	cs_view_destroy(v);

	shape.regions = 1;
	shape.zones = 1;
	v = fx_view(&shape);
	g_assert_false(cs_shift_feasible(v->cfg, &d, WALL_MS, NULL, &msg));
	g_assert_nonnull(strstr(msg.text, "no zone"));
	cs_view_destroy(v);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/policy/shift/ramp-within-cap", test_ramp_within_cap);
	g_test_add_func("/policy/shift/both-ramps-within-cap", test_both_ramps_within_cap);
	g_test_add_func("/policy/shift/proxies-move-same-requests",
			test_proxies_move_same_requests);
	g_test_add_func("/policy/shift/no-jump-on-config-or-clock-change",
			test_no_jump_on_config_or_clock_change);
	g_test_add_func("/policy/shift/serves-if-no-other-zone-reachable",
			test_serves_if_no_other_zone_reachable);
	g_test_add_func("/policy/shift/region-drain-leaves-region",
			test_region_drain_leaves_region);
	g_test_add_func("/policy/shift/refuses-deadline-that-cannot-be-met",
			test_refuses_deadline_that_cannot_be_met);
	return g_test_run();
}
