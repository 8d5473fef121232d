/* Tests of the division of slots: sums, holds, agreement, loans, pools. */
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "tests/unit/policy-fixture.h"

#define S CS_US_PER_S
#define START (100 * S)
#define TICK (2 * CS_US_PER_MS) /* time passes in ticks of 1 ms */

/* Sends requests of a class until no more can be sent; returns how many run at the server. */
static unsigned fill(struct cs_policy *p, unsigned class_index, uint64_t now_us)
{
	struct cs_decision d;
	unsigned n = 0;

	for (;;) {
		struct cs_policy_request ask = fx_ask(class_index, n, now_us);

		cs_policy_decide(p, &ask, now_us, &d);
		if (d.verdict != CS_VERDICT_SEND) {
			cs_policy_dequeue(p, &ask);
			return n;
		}
		n++;
	}
}

/* View of zone z-0-0 with instances i-0.. and servers s-0.. of the service web. */
static struct cs_view *zone_view(const struct fx_shape *shape, unsigned instances, unsigned servers)
{
	struct cs_view *v = fx_view(shape);
	char name[16];
	unsigned i;

	for (i = 0; i < instances; i++) {
		snprintf(name, sizeof(name), "i-%u", i);
		fx_member(v, name, "z-0-0")->incarnation = 1;
	}
	for (i = 0; i < servers; i++) {
		snprintf(name, sizeof(name), "s-%u", i);
		fx_server(v, name, "web", "z-0-0");
	}
	return v;
}

/* Policy of instance i-N that has agreed on the view. */
static struct cs_policy *settled(unsigned n, struct cs_view *v, uint64_t now_us)
{
	struct cs_policy *p;
	char name[16];

	snprintf(name, sizeof(name), "i-%u", n);
	p = fx_policy(name, n);
	cs_policy_update(p, v, now_us);
	fx_agree(p, v, now_us);
	return p;
}

/* Guards against shares that add up to more or less than the slots once all agree. */
static void test_sum(void)
{
	struct fx_shape shape = {.no_bulk = true, .slots = 9};
	unsigned n, i, sum;

	for (n = 1; n <= 18; n++) {
		struct cs_view *v = zone_view(&shape, n, 3);

		for (i = 0, sum = 0; i < n; i++) {
			struct cs_policy *p = settled(i, v, START);

			sum += fill(p, FX_LOOKUPS, START);
			cs_policy_destroy(p);
		}
		g_assert_cmpuint(sum, ==, 27);
		cs_view_destroy(v);
	}
}

/*
 * Guards against instances that have no share at any server when there are fewer slots at a server
 * than instances. With independent hashes 1 in 8 of 18 instances has none at 3 servers of 9 slots.
 */
static void test_thin(void)
{
	struct fx_shape shape = {.no_bulk = true, .slots = 9};
	struct cs_view *v = zone_view(&shape, 18, 3);
	unsigned i, none = 0;

	for (i = 0; i < 18; i++) {
		struct cs_policy *p = settled(i, v, START);

		none += fill(p, FX_LOOKUPS, START) == 0;
		cs_policy_destroy(p);
	}
	g_assert_cmpuint(none, ==, 0);
	cs_view_destroy(v);
}

/* Guards against a share before the others know of this instance, and against none after it. */
static void test_first(void)
{
	struct fx_shape shape = {.no_bulk = true, .slots = 9};
	struct cs_view *v = zone_view(&shape, 3, 1);
	struct cs_policy *p = fx_policy("i-0", 1);

	cs_policy_update(p, v, START);
	g_assert_cmpuint(fill(p, FX_LOOKUPS, START), ==, 0);
	g_assert_cmpuint(fill(p, FX_LOOKUPS, START + 8 * S - 1), ==, 0);
	g_assert_cmpuint(fill(p, FX_LOOKUPS, START + 8 * S + TICK), ==, 3);
	cs_policy_destroy(p);
	p = settled(0, v, START);
	g_assert_cmpuint(fill(p, FX_LOOKUPS, START), ==, 3);
	cs_policy_destroy(p);
	cs_view_destroy(v);
}

/* Guards against slots of an instance that left being taken while its requests may still run. */
static void test_leave(void)
{
	struct fx_shape shape = {.no_bulk = true, .slots = 9};
	struct cs_view *three = zone_view(&shape, 3, 1), *two = zone_view(&shape, 2, 1);
	struct cs_policy *p = settled(0, three, START);

	cs_policy_update(p, two, START + S);
	fx_agree(p, two, START + S);
	g_assert_cmpuint(fill(p, FX_LOOKUPS, START + 9 * S - 1), ==, 3);
	g_assert_cmpuint(fill(p, FX_LOOKUPS, START + 9 * S + TICK), >=, 1);
	cs_policy_destroy(p);
	cs_view_destroy(three);
	cs_view_destroy(two);
}

/* Guards against a joined instance's slots being used by this one after the join is seen. */
static void test_shrink(void)
{
	struct fx_shape shape = {.no_bulk = true, .slots = 9};
	struct cs_view *one = zone_view(&shape, 1, 1), *three = zone_view(&shape, 3, 1);
	struct cs_policy *p = settled(0, one, START);

	g_assert_cmpuint(fill(p, FX_LOOKUPS, START), ==, 9);
	cs_policy_update(p, three, START + S);
	/* Nine run, three are the share: it must not say that it agrees. */
	g_assert_cmpuint(cs_policy_roster(p) & 0xffffffff, ==, 0);
	g_assert_cmpuint(fill(p, FX_LOOKUPS, START + S), ==, 0);
	cs_policy_destroy(p);
	cs_view_destroy(one);
	cs_view_destroy(three);
}

/* Guards against a crashed and restarted instance whose peers agree while its old requests run. */
static void test_restart(void)
{
	struct fx_shape shape = {.no_bulk = true, .slots = 9};
	struct cs_view *v = zone_view(&shape, 2, 1);
	struct cs_policy *p = settled(0, v, START);

	g_assert_cmpuint(cs_policy_roster(p) & 0xffffffff, >, 1);
	v->members[1].incarnation = 2;
	cs_policy_update(p, v, START + S);
	g_assert_cmpuint(cs_policy_roster(p) & 0xffffffff, ==, 1);
	cs_policy_update(p, v, START + 9 * S + TICK);
	g_assert_cmpuint(cs_policy_roster(p) & 0xffffffff, >, 1);
	/* The proxy alone ends: its agent names no roster until the new process has a view. */
	v->members[1].roster = 0;
	cs_policy_update(p, v, START + 11 * S);
	v->members[1].roster = cs_policy_roster(p) | 2;
	cs_policy_update(p, v, START + 12 * S);
	g_assert_cmpuint(cs_policy_roster(p) & 0xffffffff, ==, 1);
	cs_policy_update(p, v, START + 19 * S + TICK);
	g_assert_cmpuint(cs_policy_roster(p) & 0xffffffff, >, 1);
	cs_policy_destroy(p);
	cs_view_destroy(v);
}

static void lend(struct cs_view *v, const char *lender, const char *borrower, unsigned slots)
{
	struct cs_loan loan = {.slots = slots, .remaining_us = 4 * S};

	cs_copy(loan.server, sizeof(loan.server), "s-0");
	cs_copy(loan.lender, sizeof(loan.lender), lender);
	cs_copy(loan.borrower, sizeof(loan.borrower), borrower);
	v->loans = cs_xrealloc(v->loans, v->n_loans + 1, sizeof(*v->loans));
	v->loans[v->n_loans++] = loan;
}

/*
 * Guards against lent slots used by both sides: the lender does without them, the borrower starts
 * only what ends within the loan, and gives them up after a pause of its process.
 */
static void test_loan(void)
{
	struct fx_shape shape = {.no_bulk = true, .slots = 9};
	struct cs_view *v = zone_view(&shape, 3, 1);
	struct cs_policy *lender, *borrower;
	struct cs_policy_request ask;
	struct cs_decision d;

	lend(v, "i-0", "i-1", 2);
	lender = settled(0, v, START);
	g_assert_cmpuint(fill(lender, FX_LOOKUPS, START), ==, 1);
	borrower = settled(1, v, START);
	g_assert_cmpuint(fill(borrower, FX_LOOKUPS, START), ==, 5);
	cs_policy_destroy(borrower);
	borrower = settled(1, v, START);
	/* The deadline of 3 s ends after a loan of 4 s that began 2 s ago. */
	g_assert_cmpuint(fill(borrower, FX_LOOKUPS, START + 2 * S), ==, 3);
	ask = fx_ask(FX_LOOKUPS, 1, START + 2 * S);
	ask.deadline_us = START + 4 * S;
	cs_policy_decide(borrower, &ask, START + 2 * S, &d);
	g_assert_cmpint(d.verdict, ==, CS_VERDICT_SEND);
	cs_policy_suspended(borrower, START + 2 * S);
	ask = fx_ask(FX_LOOKUPS, 2, START + 2 * S);
	ask.deadline_us = START + 4 * S;
	cs_policy_decide(borrower, &ask, START + 2 * S, &d);
	g_assert_cmpint(d.verdict, !=, CS_VERDICT_SEND);
	cs_policy_dequeue(borrower, &ask);
	cs_policy_destroy(borrower);
	cs_policy_destroy(lender);
	cs_view_destroy(v);
}

/* Guards against bulk requests that take the slots of small ones, and the other way round. */
static void test_pools(void)
{
	struct fx_shape shape = {.slots = 9};
	struct cs_view *v = zone_view(&shape, 1, 2);
	struct cs_policy *p = settled(0, v, START);

	g_assert_cmpuint(fill(p, FX_UPLOADS, START), ==, 6);
	g_assert_cmpuint(fill(p, FX_LOOKUPS, START), ==, 12);
	g_assert_cmpuint(fill(p, FX_BOOKINGS, START), ==, 0);
	cs_policy_destroy(p);
	cs_view_destroy(v);
}

/* Guards against connections beyond the server's limit over all instances. */
static void test_connections(void)
{
	struct fx_shape shape = {.no_bulk = true, .slots = 18};
	struct cs_view *v = zone_view(&shape, 7, 1);
	struct cs_decision d;
	unsigned i, sum = 0;

	for (i = 0; i < 7; i++) {
		struct cs_policy *p = settled(i, v, START);
		struct cs_policy_request ask = fx_ask(FX_LOOKUPS, i, START);

		cs_policy_decide(p, &ask, START, &d);
		g_assert_cmpint(d.verdict, ==, CS_VERDICT_SEND);
		sum += cs_target_connections(d.u.send.target);
		cs_policy_destroy(p);
	}
	g_assert_cmpuint(sum, ==, 360);
	cs_view_destroy(v);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/policy/share/sum", test_sum);
	g_test_add_func("/policy/share/thin", test_thin);
	g_test_add_func("/policy/share/first", test_first);
	g_test_add_func("/policy/share/leave", test_leave);
	g_test_add_func("/policy/share/shrink", test_shrink);
	g_test_add_func("/policy/share/restart", test_restart);
	g_test_add_func("/policy/share/loan", test_loan);
	g_test_add_func("/policy/share/pools", test_pools);
	g_test_add_func("/policy/share/connections", test_connections);
	return g_test_run();
}
