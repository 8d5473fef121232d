/*
 * Tests of the division of slots among the instances of a zone. The roster is the set of instances
 * that the slots are divided among. The instances agree on it when all of them announce the same
 * roster. The hold time, 8 s, is how long a share stays unused by others because requests of its
 * former owner may still run.
 */
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "tests/unit/policy-fixture.h"

#define S CS_US_PER_S
#define START (100 * S)
#define TICK (2 * CS_US_PER_MS) /* the policy counts time in ticks of 1 ms */

/* Sends requests of a class until the policy sends no more; returns how many were sent. */
static unsigned fill_slots(struct cs_policy *p, unsigned class_index, uint64_t now_us)
{
	struct cs_decision d;
	unsigned n = 0;

	for (;;) {
		struct cs_policy_request req = fx_request(class_index, n, now_us);

		cs_policy_decide(p, &req, now_us, &d);
		if (d.verdict != CS_VERDICT_SEND) {
			cs_policy_dequeue(p, &req);
			return n;
		}
		n++;
	}
}

/* View of zone z-0-0 with instances i-0, i-1, ... and servers s-0, s-1, ... of the service web. */
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

/*
 * Creates the policy of instance i-N and has all instances of the view announce the same roster, so
 * that the policy may use its share at once.
 */
static struct cs_policy *agreed_policy(unsigned n, struct cs_view *v, uint64_t now_us)
{
	struct cs_policy *p;
	char name[16];

	snprintf(name, sizeof(name), "i-%u", n);
	p = fx_policy(name, n);
	cs_policy_update(p, v, now_us);
	fx_announce_roster(p, v, now_us);
	return p;
}

/*
 * Guards against shares that add up to more or fewer than the servers' slots although all instances
 * announce the same roster.
 */
static void test_shares_sum_to_slots(void)
{
	struct fx_shape shape = {.no_bulk = true, .slots = 9};
	unsigned n, i, sum;

	for (n = 1; n <= 18; n++) {
		struct cs_view *v = zone_view(&shape, n, 3);

		for (i = 0, sum = 0; i < n; i++) {
			struct cs_policy *p = agreed_policy(i, v, START);

			sum += fill_slots(p, FX_LOOKUPS, START);
			cs_policy_destroy(p);
		}
		g_assert_cmpuint(sum, ==, 27);
		cs_view_destroy(v);
	}
}

/*
 * Guards against instances without a share at any server when a server has fewer slots than there
 * are instances. If each server's slots were divided by an independent hash, 1 in 8 of 18 instances
 * would have none at 3 servers with 9 slots.
 */
static void test_each_instance_has_a_share(void)
{
	struct fx_shape shape = {.no_bulk = true, .slots = 9};
	struct cs_view *v = zone_view(&shape, 18, 3);
	unsigned i, n_without_share = 0;

	for (i = 0; i < 18; i++) {
		struct cs_policy *p = agreed_policy(i, v, START);

		n_without_share += fill_slots(p, FX_LOOKUPS, START) == 0;
		cs_policy_destroy(p);
	}
	g_assert_cmpuint(n_without_share, ==, 0);
	cs_view_destroy(v);
}

/*
 * Guards against an instance that uses its share before the other instances announce the same
 * roster or the hold time has passed, and against one that has no share after either of these.
 */
static void test_no_share_before_agreement_or_hold(void)
{
	struct fx_shape shape = {.no_bulk = true, .slots = 9};
	struct cs_view *v = zone_view(&shape, 3, 1);
	struct cs_policy *p = fx_policy("i-0", 1);

	cs_policy_update(p, v, START);
	g_assert_cmpuint(fill_slots(p, FX_LOOKUPS, START), ==, 0);
	g_assert_cmpuint(fill_slots(p, FX_LOOKUPS, START + 8 * S - 1), ==, 0);
	g_assert_cmpuint(fill_slots(p, FX_LOOKUPS, START + 8 * S + TICK), ==, 3);
	cs_policy_destroy(p);
	p = agreed_policy(0, v, START);
	g_assert_cmpuint(fill_slots(p, FX_LOOKUPS, START), ==, 3);
	cs_policy_destroy(p);
	cs_view_destroy(v);
}

/*
 * Guards against using a departed instance's slots before the hold time has passed: its requests
 * may still run.
 */
static void test_holds_slots_of_departed_instance(void)
{
	struct fx_shape shape = {.no_bulk = true, .slots = 9};
	struct cs_view *three = zone_view(&shape, 3, 1), *two = zone_view(&shape, 2, 1);
	struct cs_policy *p = agreed_policy(0, three, START);

	cs_policy_update(p, two, START + S);
	fx_announce_roster(p, two, START + S);
	g_assert_cmpuint(fill_slots(p, FX_LOOKUPS, START + 9 * S - 1), ==, 3);
	g_assert_cmpuint(fill_slots(p, FX_LOOKUPS, START + 9 * S + TICK), >=, 1);
	cs_policy_destroy(p);
	cs_view_destroy(three);
	cs_view_destroy(two);
}

/*
 * Guards against an instance that announces agreement to a new roster, or sends more requests,
 * while more of its requests run than the new roster allows.
 */
static void test_no_agreement_above_own_share(void)
{
	struct fx_shape shape = {.no_bulk = true, .slots = 9};
	struct cs_view *one = zone_view(&shape, 1, 1), *three = zone_view(&shape, 3, 1);
	struct cs_policy *p = agreed_policy(0, one, START);

	g_assert_cmpuint(fill_slots(p, FX_LOOKUPS, START), ==, 9);
	cs_policy_update(p, three, START + S);
	/* Nine requests run and the new share is three: a lower half of 0 means no agreement. */
	g_assert_cmpuint(cs_policy_roster(p) & 0xffffffff, ==, 0);
	g_assert_cmpuint(fill_slots(p, FX_LOOKUPS, START + S), ==, 0);
	cs_policy_destroy(p);
	cs_view_destroy(one);
	cs_view_destroy(three);
}

/*
 * Guards against announcing agreement to a roster with an instance that crashed and restarted,
 * while requests of its former process may still run. A lower half of 1 means that the hold time of
 * such a process has not passed.
 */
static void test_no_agreement_during_hold_of_restarted_peer(void)
{
	struct fx_shape shape = {.no_bulk = true, .slots = 9};
	struct cs_view *v = zone_view(&shape, 2, 1);
	struct cs_policy *p = agreed_policy(0, v, START);

	g_assert_cmpuint(cs_policy_roster(p) & 0xffffffff, >, 1);
	v->members[1].incarnation = 2;
	cs_policy_update(p, v, START + S);
	g_assert_cmpuint(cs_policy_roster(p) & 0xffffffff, ==, 1);
	cs_policy_update(p, v, START + 9 * S + TICK);
	g_assert_cmpuint(cs_policy_roster(p) & 0xffffffff, >, 1);
	/* Only the proxy restarts: its agent announces 0 until the new proxy reports a roster. */
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

static void add_loan(struct cs_view *v, const char *lender, const char *borrower, unsigned slots)
{
	struct cs_loan loan = {.slots = slots, .remaining_us = 4 * S};

	cs_copy(loan.server, sizeof(loan.server), "s-0");
	cs_copy(loan.lender, sizeof(loan.lender), lender);
	cs_copy(loan.borrower, sizeof(loan.borrower), borrower);
	v->loans = cs_xrealloc(v->loans, v->n_loans + 1, sizeof(*v->loans));
	v->loans[v->n_loans++] = loan;
}

/*
 * Guards against lent slots that both instances use. The lender must not use them; the borrower may
 * start only requests whose deadlines are within the loan, and none after its process was
 * suspended, since the loan may have ended meanwhile.
 */
static void test_lent_slots_used_by_borrower_only(void)
{
	struct fx_shape shape = {.no_bulk = true, .slots = 9};
	struct cs_view *v = zone_view(&shape, 3, 1);
	struct cs_policy *lender, *borrower;
	struct cs_policy_request req;
	struct cs_decision d;

	add_loan(v, "i-0", "i-1", 2);
	lender = agreed_policy(0, v, START);
	g_assert_cmpuint(fill_slots(lender, FX_LOOKUPS, START), ==, 1);
	borrower = agreed_policy(1, v, START);
	g_assert_cmpuint(fill_slots(borrower, FX_LOOKUPS, START), ==, 5);
	cs_policy_destroy(borrower);
	borrower = agreed_policy(1, v, START);
	/* A request with a deadline of 3 s could outlast the loan of 4 s that began 2 s ago. */
	g_assert_cmpuint(fill_slots(borrower, FX_LOOKUPS, START + 2 * S), ==, 3);
	req = fx_request(FX_LOOKUPS, 1, START + 2 * S);
	req.deadline_us = START + 4 * S;
	cs_policy_decide(borrower, &req, START + 2 * S, &d);
	g_assert_cmpint(d.verdict, ==, CS_VERDICT_SEND);
	cs_policy_suspended(borrower, START + 2 * S);
	req = fx_request(FX_LOOKUPS, 2, START + 2 * S);
	req.deadline_us = START + 4 * S;
	cs_policy_decide(borrower, &req, START + 2 * S, &d);
	g_assert_cmpint(d.verdict, !=, CS_VERDICT_SEND);
	cs_policy_dequeue(borrower, &req);
	cs_policy_destroy(borrower);
	cs_policy_destroy(lender);
	cs_view_destroy(v);
}

/* Guards against bulk requests that take the slots reserved for small requests, and the reverse. */
static void test_bulk_and_small_pools_separate(void)
{
	struct fx_shape shape = {.slots = 9};
	struct cs_view *v = zone_view(&shape, 1, 2);
	struct cs_policy *p = agreed_policy(0, v, START);

	g_assert_cmpuint(fill_slots(p, FX_UPLOADS, START), ==, 6);
	g_assert_cmpuint(fill_slots(p, FX_LOOKUPS, START), ==, 12);
	g_assert_cmpuint(fill_slots(p, FX_BOOKINGS, START), ==, 0);
	cs_policy_destroy(p);
	cs_view_destroy(v);
}

/* Guards against connection limits of the instances that do not add up to the server's limit. */
static void test_connections_sum_to_limit(void)
{
	struct fx_shape shape = {.no_bulk = true, .slots = 18};
	struct cs_view *v = zone_view(&shape, 7, 1);
	struct cs_decision d;
	unsigned i, sum = 0;

	for (i = 0; i < 7; i++) {
		struct cs_policy *p = agreed_policy(i, v, START);
		struct cs_policy_request req = fx_request(FX_LOOKUPS, i, START);

		cs_policy_decide(p, &req, START, &d);
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
	g_test_add_func("/policy/share/shares-sum-to-slots", test_shares_sum_to_slots);
	g_test_add_func("/policy/share/each-instance-has-a-share", test_each_instance_has_a_share);
	g_test_add_func("/policy/share/no-share-before-agreement-or-hold",
			test_no_share_before_agreement_or_hold);
	g_test_add_func("/policy/share/holds-slots-of-departed-instance",
			test_holds_slots_of_departed_instance);
	g_test_add_func("/policy/share/no-agreement-above-own-share",
			test_no_agreement_above_own_share);
	g_test_add_func("/policy/share/no-agreement-during-hold-of-restarted-peer",
			test_no_agreement_during_hold_of_restarted_peer);
	g_test_add_func("/policy/share/lent-slots-used-by-borrower-only",
			test_lent_slots_used_by_borrower_only);
	g_test_add_func("/policy/share/bulk-and-small-pools-separate",
			test_bulk_and_small_pools_separate);
	g_test_add_func("/policy/share/connections-sum-to-limit", test_connections_sum_to_limit);
	return g_test_run();
}
