/* Tests of the steering plan and of locate. */
#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "tests/unit/policy-fixture.h"

#define WALL 1796495200000LL /* 2026-12-05T18:26:40Z */

/* Four zones in two regions with members of each and room for the service web. */
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

/* Address k of the block of a zone: zone Z has 10.0.Z.0/24. */
static void caller(unsigned zone, unsigned k, uint8_t addr[16])
{
	char text[32];

	snprintf(text, sizeof(text), "10.0.%u.%u", zone, k);
	g_assert_true(cs_addr_parse(text, addr));
}

/* Part of the callers of a zone whose first entry is in another one. */
static double part_to(const struct cs_plan *plan, unsigned from, const char *zone, int64_t wall)
{
	struct cs_locate_result l;
	uint8_t addr[16];
	unsigned k, n = 0;

	for (k = 0; k < 256; k++) {
		caller(from, k, addr);
		g_assert_true(cs_plan_locate(plan, FX_LOOKUPS, addr, wall, 0, &l));
		n += strcmp(l.members[0]->zone, zone) == 0;
	}
	return n / 256.0;
}

/* Guards against far entries, a single entry, and two entries that fail with the same zone. */
static void test_nearest(void)
{
	struct fx_shape shape = {0};
	struct cs_view *v = four_zones(&shape, 2);
	struct cs_plan *plan = cs_plan_create(v, WALL);
	struct cs_locate_result l;
	uint8_t addr[16];
	unsigned z, k;

	for (z = 0; z < 4; z++) {
		for (k = 0; k < 256; k++) {
			caller(z, k, addr);
			g_assert_true(cs_plan_locate(plan, FX_LOOKUPS, addr, WALL, 0, &l));
			g_assert_cmpuint(l.n, >=, 2);
			g_assert_cmpstr(l.members[0]->zone, ==, v->cfg->zones[z].name);
			g_assert_cmpstr(l.members[1]->zone, ==, v->cfg->zones[z ^ 1].name);
			g_assert_nonnull(l.reason[0]);
		}
	}
	/* A caller outside of all blocks gets entries too. */
	g_assert_true(cs_addr_parse("192.0.2.1", addr));
	g_assert_true(cs_plan_locate(plan, FX_LOOKUPS, addr, WALL, 0, &l));
	g_assert_cmpuint(l.n, >=, 2);
	g_assert_false(cs_plan_locate(plan, 99, addr, WALL, 0, &l));
	cs_plan_destroy(plan);
	cs_view_destroy(v);
}

/* Guards against entries that cannot take requests. */
static void test_unusable(void)
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
	plan = cs_plan_create(v, WALL);
	for (k = 0; k < 256; k++) {
		caller(k % 4, k, addr);
		g_assert_true(cs_plan_locate(plan, FX_LOOKUPS, addr, WALL, 0, &l));
		for (i = 0; i < l.n; i++) {
			g_assert_true(l.members[i]->listed && l.members[i]->ready);
			g_assert_cmpint(l.members[i]->state, ==, CS_MEMBER_ALIVE);
		}
	}
	g_assert_cmpfloat(part_to(plan, 0, "z-0-0", WALL), ==, 1);
	cs_plan_destroy(plan);

	/* A zone without a usable instance, then a lost region. */
	v->members[3].state = CS_MEMBER_UNREACHABLE;
	plan = cs_plan_create(v, WALL);
	g_assert_cmpfloat(part_to(plan, 0, "z-0-1", WALL), ==, 1);
	cs_plan_destroy(plan);
	for (i = 0; i < 8; i++)
		v->members[i].state = CS_MEMBER_UNREACHABLE;
	plan = cs_plan_create(v, WALL);
	g_assert_cmpfloat(part_to(plan, 0, "z-1-0", WALL) + part_to(plan, 0, "z-1-1", WALL), ==, 1);
	cs_plan_destroy(plan);
	cs_view_destroy(v);
}

/* Guards against a full zone that gets all of its callers, and against overflow into full zones. */
static void test_overflow(void)
{
	struct fx_shape shape = {0};
	struct cs_view *v = four_zones(&shape, 2);
	struct cs_plan *plan;

	/* 160 in need, 80 less headroom here, 30 next door, the rest far away. */
	v->loads[0].in_flight = 100;
	v->loads[0].waiting = 60;
	v->loads[2].in_flight = 50;
	plan = cs_plan_create(v, WALL);
	g_assert_cmpfloat(part_to(plan, 0, "z-0-0", WALL), >, 0.40);
	g_assert_cmpfloat(part_to(plan, 0, "z-0-0", WALL), <, 0.60);
	g_assert_cmpfloat(part_to(plan, 0, "z-0-1", WALL), >, 0.10);
	g_assert_cmpfloat(part_to(plan, 0, "z-0-1", WALL), <, 0.28);
	g_assert_cmpfloat(part_to(plan, 1, "z-0-1", WALL), ==, 1);
	cs_plan_destroy(plan);
	/* Work that was forwarded here is not demand of this zone's callers. */
	v->loads[0].waiting = 0;
	v->loads[0].foreign = 30;
	plan = cs_plan_create(v, WALL);
	g_assert_cmpfloat(part_to(plan, 0, "z-0-0", WALL), ==, 1);
	cs_plan_destroy(plan);
	cs_view_destroy(v);
}

/*
 * Guards against drained zones in answers: callers go in steps under the cap, one time to live
 * ahead, and the zone is no second entry either.
 */
static void test_drain(void)
{
	struct fx_shape shape = {.cap_pct_s = 10,
				 .drains = "{\"id\":\"d-1\",\"zone\":\"z-0-0\","
					   "\"start\":\"2026-12-05T18:26:40Z\","
					   "\"deadline\":\"2026-12-05T19:26:40Z\"}"};
	struct cs_view *v = four_zones(&shape, 2);
	struct cs_plan *plan = cs_plan_create(v, WALL);
	double was = 1, now;
	int64_t end = cs_shift_end_ms(v->cfg, &v->cfg->drains[0]), t;
	struct cs_locate_result l;
	uint8_t addr[16];
	unsigned k, i;

	/* Proxies move the requests in the first 10 s. */
	g_assert_cmpfloat(part_to(plan, 0, "z-0-0", WALL + 9900), ==, 1);
	for (t = WALL; t < end; t += 1000) {
		now = part_to(plan, 0, "z-0-0", t);
		g_assert_cmpfloat(now, <=, was);
		/* 256 addresses are spread evenly to within 0.08. */
		g_assert_cmpfloat(was - now, <=, 0.1 + 0.08);
		was = now;
	}
	/* Answers given one time to live before the end are still held then. */
	g_assert_cmpfloat(part_to(plan, 0, "z-0-0", end - 2000), ==, 0);
	for (k = 0; k < 256; k++) {
		caller(k % 4, k, addr);
		g_assert_true(cs_plan_locate(plan, FX_LOOKUPS, addr, end, 0, &l));
		g_assert_cmpuint(l.n, >=, 2);
		for (i = 0; i < l.n; i++)
			g_assert_cmpstr(l.members[i]->zone, !=, "z-0-0");
	}
	cs_plan_destroy(plan);
	cs_view_destroy(v);
}

/* Guards against callers that crowd one instance, and against moves of all when one instance goes. */
static void test_spread(void)
{
	struct fx_shape shape = {0};
	struct cs_view *v = four_zones(&shape, 5);
	struct cs_plan *plan = cs_plan_create(v, WALL), *less;
	unsigned count[5] = {0}, i, k, moved = 0;
	struct cs_locate_result a, b;
	uint8_t addr[16];

	v->members[2].state = CS_MEMBER_LEAVING;
	less = cs_plan_create(v, WALL);
	for (k = 0; k < 256; k++) {
		caller(0, k, addr);
		g_assert_true(cs_plan_locate(plan, FX_LOOKUPS, addr, WALL, 0, &a));
		g_assert_true(cs_plan_locate(less, FX_LOOKUPS, addr, WALL, 0, &b));
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
	cs_plan_destroy(less);
	cs_view_destroy(v);
}

/* Guards against a caller that sends most of the requests and moves all of them at one moment. */
static void test_drain_one_caller(void)
{
	struct fx_shape shape = {.cap_pct_s = 10,
				 .drains = "{\"id\":\"d-1\",\"zone\":\"z-0-0\","
					   "\"start\":\"2026-12-05T18:26:40Z\","
					   "\"deadline\":\"2026-12-05T19:26:40Z\"}"};
	struct cs_view *v = four_zones(&shape, 2);
	struct cs_plan *plan = cs_plan_create(v, WALL);
	unsigned ramp = 2, turn, stay;
	double left, most = 0;
	struct cs_locate_result l;
	uint8_t addr[16];
	int64_t t;

	caller(0, 7, addr);
	for (t = WALL; ramp > 0 && t < WALL + 600000; t += 1000) {
		left = cs_shift_remaining_lookups(v->cfg, 0, t + v->cfg->shift.lookup_ttl_ms);
		for (stay = 0, turn = 0; turn < 200; turn++) {
			g_assert_true(cs_plan_locate(plan, FX_LOOKUPS, addr, t, turn, &l));
			stay += strcmp(l.members[0]->zone, "z-0-0") == 0;
		}
		if (fabs(stay / 200.0 - left) > most)
			most = fabs(stay / 200.0 - left);
		if (left <= 0)
			ramp = 0;
	}
	g_assert_cmpuint(ramp, ==, 0);
	g_assert_cmpfloat(most, <, 0.02);
	cs_plan_destroy(plan);
	cs_view_destroy(v);
}

/* Guards against one instance that does all the work of a zone when one caller sends most of it. */
static void test_turns(void)
{
	struct fx_shape shape = {0};
	struct cs_view *v = four_zones(&shape, 2);
	struct cs_plan *plan = cs_plan_create(v, WALL);
	unsigned count[2] = {0}, turn;
	struct cs_locate_result l;
	uint8_t addr[16];

	caller(0, 7, addr);
	for (turn = 0; turn < 100; turn++) {
		g_assert_true(cs_plan_locate(plan, FX_LOOKUPS, addr, WALL, turn, &l));
		count[l.members[0]->name[8] - '0']++;
	}
	g_assert_cmpuint(count[0], ==, 50);
	g_assert_cmpuint(count[1], ==, 50);
	/* Two callers that ask in turn: each sees every second lookup. */
	count[0] = count[1] = 0;
	for (turn = 0; turn < 200; turn += 2) {
		g_assert_true(cs_plan_locate(plan, FX_LOOKUPS, addr, WALL, turn, &l));
		count[l.members[0]->name[8] - '0']++;
	}
	g_assert_cmpuint(count[0], ==, 50);
	g_assert_cmpuint(count[1], ==, 50);
	cs_plan_destroy(plan);
	cs_view_destroy(v);
}

/* Guards against no answer when one zone is left, or none. */
static void test_last_zone(void)
{
	struct fx_shape shape = {0};
	struct cs_view *v = four_zones(&shape, 2);
	struct cs_plan *plan;
	struct cs_locate_result l;
	uint8_t addr[16];
	unsigned i;

	for (i = 0; i < 6; i++)
		v->members[i].state = CS_MEMBER_DEAD;
	plan = cs_plan_create(v, WALL);
	caller(0, 1, addr);
	g_assert_true(cs_plan_locate(plan, FX_LOOKUPS, addr, WALL, 0, &l));
	g_assert_cmpuint(l.n, ==, 2);
	g_assert_cmpstr(l.members[0]->zone, ==, "z-1-1");
	cs_plan_destroy(plan);
	v->members[6].state = v->members[7].state = CS_MEMBER_DEAD;
	plan = cs_plan_create(v, WALL);
	g_assert_false(cs_plan_locate(plan, FX_LOOKUPS, addr, WALL, 0, &l));
	cs_plan_destroy(plan);
	cs_view_destroy(v);
}

/* Load that the parts of a plan bring to each zone, from the need of each zone's callers. */
static void feed_back(const struct cs_plan *plan, struct cs_view *v, const double need[4])
{
	unsigned from, to;

	for (to = 0; to < 4; to++) {
		double load = 0;

		for (from = 0; from < 4; from++)
			load += need[from] * part_to(plan, from, v->cfg->zones[to].name, WALL);
		v->loads[2 * to].in_flight = (unsigned)(load + 0.5);
	}
}

/*
 * Guards against a plan that swings: it sends the overflow away, sees a zone with room, takes all
 * back, and sees an overload again.
 */
static void test_settles(void)
{
	static const double need[4] = {160, 40, 40, 40};
	struct fx_shape shape = {0};
	struct cs_view *v = four_zones(&shape, 2);
	struct cs_plan *plan, *next;
	double was = 1, now = 0, swing = 0;
	unsigned round;

	v->loads[0].in_flight = 160;
	plan = cs_plan_create(v, WALL);
	for (round = 0; round < 40; round++) {
		feed_back(plan, v, need);
		next = cs_plan_update(plan, v, WALL);
		cs_plan_destroy(plan);
		plan = next;
		now = part_to(plan, 0, "z-0-0", WALL);
		if (round >= 20 && (now > was ? now - was : was - now) > swing)
			swing = now > was ? now - was : was - now;
		was = now;
	}
	g_assert_cmpfloat(swing, <=, 0.05);
	g_assert_cmpfloat(now, >=, 0.4);
	g_assert_cmpfloat(now, <=, 0.6);
	cs_plan_destroy(plan);
	cs_view_destroy(v);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/policy/plan/nearest", test_nearest);
	g_test_add_func("/policy/plan/unusable", test_unusable);
	g_test_add_func("/policy/plan/overflow", test_overflow);
	g_test_add_func("/policy/plan/drain", test_drain);
	g_test_add_func("/policy/plan/spread", test_spread);
	g_test_add_func("/policy/plan/turns", test_turns);
	g_test_add_func("/policy/plan/drain-one-caller", test_drain_one_caller);
	g_test_add_func("/policy/plan/last-zone", test_last_zone);
	g_test_add_func("/policy/plan/settles", test_settles);
	return g_test_run();
}
