/*
 * Tests of the steering plan, which selects the entries of a lookup response: the instances that a
 * client is to send its requests to.
 */
#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "tests/unit/policy-fixture.h"

#define WALL_MS 1796495200000LL /* 2026-12-05T18:26:40Z */

/* View of four zones in two regions, each with members and free capacity for both services. */
static struct cs_view *four_zones(const struct fx_shape *shape, unsigned members)
{
	struct cs_view *v = fx_view(shape);
	char zone[16], name[32];
	unsigned z, i;

	for (z = 0; z < 4; z++) {
		snprintf(zone, sizeof(zone), "z-%u-%u", z / 2, z % 2);
		for (i = 0; i < members; i++) {
			snprintf(name, sizeof(name), "i-%s-%u", zone, i);
			fx_member(v, name, zone);
		}
		fx_load(v, zone, "web", 100, 40);
		fx_load(v, zone, "files", 100, 0);
	}
	return v;
}

/* Address k of the client block of a zone: zone Z has 10.0.Z.0/24. */
static void caller_addr(unsigned zone, unsigned k, uint8_t addr[16])
{
	char text[32];

	snprintf(text, sizeof(text), "10.0.%u.%u", zone, k);
	g_assert_true(cs_addr_parse(text, addr));
}

/* Fraction of the clients of one zone whose first entry is in the given zone. */
static double fraction_to(const struct cs_plan *plan, unsigned from, const char *zone,
			  int64_t wall_ms)
{
	struct cs_locate_result l;
	uint8_t addr[16];
	unsigned k, n = 0;

	for (k = 0; k < 256; k++) {
		caller_addr(from, k, addr);
		g_assert_true(cs_plan_locate(plan, FX_LOOKUPS, addr, wall_ms, 0, &l));
		n += strcmp(l.members[0]->zone, zone) == 0;
	}
	return n / 256.0;
}

/*
 * Guards against entries in distant zones, a single entry, and two entries in the same zone, which
 * would fail together.
 */
static void test_entries_in_nearest_zones(void)
{
	struct fx_shape shape = {0};
	struct cs_view *v = four_zones(&shape, 2);
	struct cs_plan *plan = cs_plan_create(v, WALL_MS);
	struct cs_locate_result l;
	uint8_t addr[16];
	unsigned z, k;

	for (z = 0; z < 4; z++) {
		for (k = 0; k < 256; k++) {
			caller_addr(z, k, addr);
			g_assert_true(cs_plan_locate(plan, FX_LOOKUPS, addr, WALL_MS, 0, &l));
			g_assert_cmpuint(l.n, >=, 2);
			g_assert_cmpstr(l.members[0]->zone, ==, v->cfg->zones[z].name);
			g_assert_cmpstr(l.members[1]->zone, ==, v->cfg->zones[z ^ 1].name);
			g_assert_nonnull(l.reason[0]);
		}
	}
	/* A client outside all client blocks gets entries too. */
	g_assert_true(cs_addr_parse("192.0.2.1", addr));
	g_assert_true(cs_plan_locate(plan, FX_LOOKUPS, addr, WALL_MS, 0, &l));
	g_assert_cmpuint(l.n, >=, 2);
	g_assert_false(cs_plan_locate(plan, 99, addr, WALL_MS, 0, &l));
	cs_plan_destroy(plan);
	cs_view_destroy(v);
}

/* Guards against entries at instances that cannot take requests. */
static void test_no_entries_at_unusable_instances(void)
{
	struct fx_shape shape = {0};
	struct cs_view *v = four_zones(&shape, 4);
	struct cs_plan *plan;
	struct cs_locate_result l;
	uint8_t addr[16];
	unsigned k, i;

	v->members[0].state = CS_MEMBER_UNREACHABLE;
	v->members[1].state = CS_MEMBER_LEAVING;
	v->members[2].ready = false;
	v->members[4].listed = false;
	v->members[5].state = CS_MEMBER_DEAD;
	plan = cs_plan_create(v, WALL_MS);
	for (k = 0; k < 256; k++) {
		caller_addr(k % 4, k, addr);
		g_assert_true(cs_plan_locate(plan, FX_LOOKUPS, addr, WALL_MS, 0, &l));
		for (i = 0; i < l.n; i++) {
			g_assert_true(l.members[i]->listed && l.members[i]->ready);
			g_assert_cmpint(l.members[i]->state, ==, CS_MEMBER_ALIVE);
		}
	}
	g_assert_cmpfloat(fraction_to(plan, 0, "z-0-0", WALL_MS), ==, 1);
	cs_plan_destroy(plan);

	/*
	 * If no instance of a zone is usable, its clients are assigned to the other zone of the
	 * region; if none of the region is, to the other region.
	 */
	v->members[3].state = CS_MEMBER_UNREACHABLE;
	plan = cs_plan_create(v, WALL_MS);
	g_assert_cmpfloat(fraction_to(plan, 0, "z-0-1", WALL_MS), ==, 1);
	cs_plan_destroy(plan);
	for (i = 0; i < 8; i++)
		v->members[i].state = CS_MEMBER_UNREACHABLE;
	plan = cs_plan_create(v, WALL_MS);
	g_assert_cmpfloat(fraction_to(plan, 0, "z-1-0", WALL_MS) +
				  fraction_to(plan, 0, "z-1-1", WALL_MS),
			  ==, 1);
	cs_plan_destroy(plan);
	cs_view_destroy(v);
}

/*
 * Guards against a full zone that still gets all of its clients, and against overflow into full
 * zones.
 */
static void test_overflow_goes_to_zones_with_capacity(void)
{
	struct fx_shape shape = {0};
	struct cs_view *v = four_zones(&shape, 2);
	struct cs_plan *plan;

	/*
	 * The demand in z-0-0 is 160 slots. 80 fit there without the headroom of 20, 30 in z-0-1,
	 * the rest in the other region.
	 */
	v->loads[0].in_flight = 100;
	v->loads[0].waiting = 60;
	v->loads[2].in_flight = 50;
	plan = cs_plan_create(v, WALL_MS);
	g_assert_cmpfloat(fraction_to(plan, 0, "z-0-0", WALL_MS), >, 0.40);
	g_assert_cmpfloat(fraction_to(plan, 0, "z-0-0", WALL_MS), <, 0.60);
	g_assert_cmpfloat(fraction_to(plan, 0, "z-0-1", WALL_MS), >, 0.10);
	g_assert_cmpfloat(fraction_to(plan, 0, "z-0-1", WALL_MS), <, 0.28);
	g_assert_cmpfloat(fraction_to(plan, 1, "z-0-1", WALL_MS), ==, 1);
	cs_plan_destroy(plan);
	/* Requests forwarded from other zones are not demand of this zone's clients. */
	v->loads[0].waiting = 0;
	v->loads[0].foreign = 30;
	plan = cs_plan_create(v, WALL_MS);
	g_assert_cmpfloat(fraction_to(plan, 0, "z-0-0", WALL_MS), ==, 1);
	cs_plan_destroy(plan);
	cs_view_destroy(v);
}

/*
 * Guards against lookup responses that still contain a zone at the end of its drain, as first or
 * second entry. Before that, clients leave within the cap per second, one lookup TTL ahead of the
 * ramp since responses are cached.
 */
static void test_drain_moves_callers_within_cap(void)
{
	struct fx_shape shape = {.cap_pct_s = 10,
				 .drains = "{\"id\":\"d-1\",\"zone\":\"z-0-0\","
					   "\"start\":\"2026-12-05T18:26:40Z\","
					   "\"deadline\":\"2026-12-05T19:26:40Z\"}"};
	struct cs_view *v = four_zones(&shape, 2);
	struct cs_plan *plan = cs_plan_create(v, WALL_MS);
	double before = 1, now;
	int64_t end_ms = cs_shift_end_ms(v->cfg, &v->cfg->drains[0]), t;
	struct cs_locate_result l;
	uint8_t addr[16];
	unsigned k, i;

	/*
	 * At 10% per second the proxies move all requests in the first 10 s; only then lookups move
	 * clients.
	 */
	g_assert_cmpfloat(fraction_to(plan, 0, "z-0-0", WALL_MS + 9900), ==, 1);
	for (t = WALL_MS; t < end_ms; t += 1000) {
		now = fraction_to(plan, 0, "z-0-0", t);
		g_assert_cmpfloat(now, <=, before);
		/* 256 addresses are uniform to within 0.08. */
		g_assert_cmpfloat(before - now, <=, 0.1 + 0.08);
		before = now;
	}
	/* Responses sent one TTL before the end are still cached at the end. */
	g_assert_cmpfloat(fraction_to(plan, 0, "z-0-0", end_ms - 2000), ==, 0);
	for (k = 0; k < 256; k++) {
		caller_addr(k % 4, k, addr);
		g_assert_true(cs_plan_locate(plan, FX_LOOKUPS, addr, end_ms, 0, &l));
		g_assert_cmpuint(l.n, >=, 2);
		for (i = 0; i < l.n; i++)
			g_assert_cmpstr(l.members[i]->zone, !=, "z-0-0");
	}
	cs_plan_destroy(plan);
	cs_view_destroy(v);
}

/*
 * Guards against clients concentrated on one instance, and against clients that move when another
 * instance leaves.
 */
static void test_callers_spread_over_instances(void)
{
	struct fx_shape shape = {0};
	struct cs_view *v = four_zones(&shape, 5);
	struct cs_plan *plan = cs_plan_create(v, WALL_MS), *plan_without;
	unsigned count[5] = {0}, i, k, moved = 0;
	struct cs_locate_result a, b;
	uint8_t addr[16];

	v->members[2].state = CS_MEMBER_LEAVING;
	plan_without = cs_plan_create(v, WALL_MS);
	for (k = 0; k < 256; k++) {
		caller_addr(0, k, addr);
		g_assert_true(cs_plan_locate(plan, FX_LOOKUPS, addr, WALL_MS, 0, &a));
		g_assert_true(cs_plan_locate(plan_without, FX_LOOKUPS, addr, WALL_MS, 0, &b));
		i = (unsigned)(a.members[0]->name[8] - '0');
		count[i]++;
		if (i != 2)
			moved += strcmp(a.members[0]->name, b.members[0]->name) != 0;
	}
	for (i = 0; i < 5; i++) {
		g_assert_cmpuint(count[i], >, 30);
		g_assert_cmpuint(count[i], <, 75);
	}
	g_assert_cmpuint(moved, ==, 0);
	cs_plan_destroy(plan);
	cs_plan_destroy(plan_without);
	cs_view_destroy(v);
}

/*
 * Guards against a drain that moves a client at one moment: one client may send most of the
 * requests.
 */
static void test_drain_moves_one_caller_gradually(void)
{
	struct fx_shape shape = {.cap_pct_s = 10,
				 .drains = "{\"id\":\"d-1\",\"zone\":\"z-0-0\","
					   "\"start\":\"2026-12-05T18:26:40Z\","
					   "\"deadline\":\"2026-12-05T19:26:40Z\"}"};
	struct cs_view *v = four_zones(&shape, 2);
	struct cs_plan *plan = cs_plan_create(v, WALL_MS);
	unsigned ramping = 2, lookup_seq, stayed;
	double remaining, error_max = 0;
	struct cs_locate_result l;
	uint8_t addr[16];
	int64_t t;

	caller_addr(0, 7, addr);
	for (t = WALL_MS; ramping > 0 && t < WALL_MS + 600000; t += 1000) {
		remaining = cs_shift_remaining_lookups(v->cfg, 0, t + v->cfg->shift.lookup_ttl_ms);
		for (stayed = 0, lookup_seq = 0; lookup_seq < 200; lookup_seq++) {
			g_assert_true(cs_plan_locate(plan, FX_LOOKUPS, addr, t, lookup_seq, &l));
			stayed += strcmp(l.members[0]->zone, "z-0-0") == 0;
		}
		if (fabs(stayed / 200.0 - remaining) > error_max)
			error_max = fabs(stayed / 200.0 - remaining);
		if (remaining <= 0)
			ramping = 0;
	}
	g_assert_cmpuint(ramping, ==, 0);
	g_assert_cmpfloat(error_max, <, 0.02);
	cs_plan_destroy(plan);
	cs_view_destroy(v);
}

/*
 * Guards against one instance that gets all requests of a zone when one client sends most of them.
 */
static void test_lookups_alternate_between_instances(void)
{
	struct fx_shape shape = {0};
	struct cs_view *v = four_zones(&shape, 2);
	struct cs_plan *plan = cs_plan_create(v, WALL_MS);
	unsigned count[2] = {0}, lookup_seq;
	struct cs_locate_result l;
	uint8_t addr[16];

	caller_addr(0, 7, addr);
	for (lookup_seq = 0; lookup_seq < 100; lookup_seq++) {
		g_assert_true(cs_plan_locate(plan, FX_LOOKUPS, addr, WALL_MS, lookup_seq, &l));
		count[l.members[0]->name[8] - '0']++;
	}
	g_assert_cmpuint(count[0], ==, 50);
	g_assert_cmpuint(count[1], ==, 50);
	/*
	 * Two clients that look up in turn: each gets every second sequence number, and must still
	 * get both instances equally often.
	 */
	count[0] = count[1] = 0;
	for (lookup_seq = 0; lookup_seq < 200; lookup_seq += 2) {
		g_assert_true(cs_plan_locate(plan, FX_LOOKUPS, addr, WALL_MS, lookup_seq, &l));
		count[l.members[0]->name[8] - '0']++;
	}
	g_assert_cmpuint(count[0], ==, 50);
	g_assert_cmpuint(count[1], ==, 50);
	cs_plan_destroy(plan);
	cs_view_destroy(v);
}

/*
 * Guards against a lookup without entries while one zone is left, and against entries when none is.
 */
static void test_answers_from_last_zone(void)
{
	struct fx_shape shape = {0};
	struct cs_view *v = four_zones(&shape, 2);
	struct cs_plan *plan;
	struct cs_locate_result l;
	uint8_t addr[16];
	unsigned i;

	for (i = 0; i < 6; i++)
		v->members[i].state = CS_MEMBER_DEAD;
	plan = cs_plan_create(v, WALL_MS);
	caller_addr(0, 1, addr);
	g_assert_true(cs_plan_locate(plan, FX_LOOKUPS, addr, WALL_MS, 0, &l));
	g_assert_cmpuint(l.n, ==, 2);
	g_assert_cmpstr(l.members[0]->zone, ==, "z-1-1");
	cs_plan_destroy(plan);
	v->members[6].state = v->members[7].state = CS_MEMBER_DEAD;
	plan = cs_plan_create(v, WALL_MS);
	g_assert_false(cs_plan_locate(plan, FX_LOOKUPS, addr, WALL_MS, 0, &l));
	cs_plan_destroy(plan);
	cs_view_destroy(v);
}

/* Sets each zone's load to what the plan assigns to it, given the demand of each zone's clients. */
static void set_planned_loads(const struct cs_plan *plan, struct cs_view *v, const double demand[4])
{
	unsigned from, to;

	for (to = 0; to < 4; to++) {
		double load = 0;

		for (from = 0; from < 4; from++)
			load += demand[from] *
				fraction_to(plan, from, v->cfg->zones[to].name, WALL_MS);
		v->loads[2 * to].in_flight = (unsigned)(load + 0.5);
	}
}

/*
 * Guards against a plan that oscillates: it steers the overflow away, measures free capacity, takes
 * all clients back, and measures an overload again.
 */
static void test_plan_converges(void)
{
	static const double demand[4] = {160, 40, 40, 40};
	struct fx_shape shape = {0};
	struct cs_view *v = four_zones(&shape, 2);
	struct cs_plan *plan, *next;
	double before = 1, now = 0, change_max = 0;
	unsigned round;

	v->loads[0].in_flight = 160;
	plan = cs_plan_create(v, WALL_MS);
	for (round = 0; round < 40; round++) {
		set_planned_loads(plan, v, demand);
		next = cs_plan_update(plan, v, WALL_MS);
		cs_plan_destroy(plan);
		plan = next;
		now = fraction_to(plan, 0, "z-0-0", WALL_MS);
		if (round >= 20 && (now > before ? now - before : before - now) > change_max)
			change_max = now > before ? now - before : before - now;
		before = now;
	}
	g_assert_cmpfloat(change_max, <=, 0.05);
	g_assert_cmpfloat(now, >=, 0.4);
	g_assert_cmpfloat(now, <=, 0.6);
	cs_plan_destroy(plan);
	cs_view_destroy(v);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/policy/plan/entries-in-nearest-zones", test_entries_in_nearest_zones);
	g_test_add_func("/policy/plan/no-entries-at-unusable-instances",
			test_no_entries_at_unusable_instances);
	g_test_add_func("/policy/plan/overflow-goes-to-zones-with-capacity",
			test_overflow_goes_to_zones_with_capacity);
	g_test_add_func("/policy/plan/drain-moves-callers-within-cap",
			test_drain_moves_callers_within_cap);
	g_test_add_func("/policy/plan/callers-spread-over-instances",
			test_callers_spread_over_instances);
	g_test_add_func("/policy/plan/lookups-alternate-between-instances",
			test_lookups_alternate_between_instances);
	g_test_add_func("/policy/plan/drain-moves-one-caller-gradually",
			test_drain_moves_one_caller_gradually);
	g_test_add_func("/policy/plan/answers-from-last-zone", test_answers_from_last_zone);
	g_test_add_func("/policy/plan/plan-converges", test_plan_converges);
	return g_test_run();
}
