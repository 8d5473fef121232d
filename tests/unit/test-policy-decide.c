/*
 * Tests of cs_policy_decide: hops (a request is forwarded to another instance), admission of
 * forwarded requests, queue, refusals, back-off.
 */
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "tests/unit/policy-sim.h"

#define S CS_US_PER_S
#define MS CS_US_PER_MS
#define START (100 * S)
#define SLOTS 10

/* View of zone z-0-0 with one instance and one server. */
static struct cs_view *base_view(const struct fx_shape *options)
{
	struct fx_shape shape = *options;
	struct cs_view *v;

	shape.no_bulk = true;
	shape.slots = SLOTS;
	v = fx_view(&shape);
	fx_member(v, "i-0", "z-0-0");
	fx_server(v, "s-0", "web", "z-0-0");
	return v;
}

static void add_remote_zone(struct cs_view *v, const char *zone, unsigned capacity,
			    unsigned in_flight)
{
	char name[32];

	snprintf(name, sizeof(name), "i-%s", zone);
	fx_member(v, name, zone);
	fx_load(v, zone, "web", capacity, in_flight);
}

static enum cs_verdict decide(struct cs_policy *p, struct cs_policy_request *req, uint64_t now,
			      struct cs_decision *d)
{
	cs_policy_decide(p, req, now, d);
	return d->verdict;
}

/* Sends n requests that do not end. */
static void occupy_slots(struct cs_policy *p, unsigned n, uint64_t now)
{
	struct cs_decision d;

	while (n-- > 0) {
		struct cs_policy_request req = fx_request(FX_LOOKUPS, n, now);

		g_assert_cmpint(decide(p, &req, now, &d), ==, CS_VERDICT_SEND);
	}
}

/*
 * Guards against hops to another region while a zone of the own region has capacity, and against
 * hops to full zones.
 */
static void test_hops_to_nearest_zone_with_capacity(void)
{
	struct fx_shape shape = {0};
	struct cs_view *v = base_view(&shape);
	struct cs_policy *p = fx_policy("i-0", 1);
	struct cs_decision d;
	unsigned i;

	add_remote_zone(v, "z-1-0", 100, 0);
	add_remote_zone(v, "z-0-1", 100, 70);
	cs_policy_update(p, v, START);
	occupy_slots(p, SLOTS, START);
	/*
	 * Of the 100 slots of z-0-1, 70 are in use and 20 are kept free as headroom: ten requests
	 * may be sent there until its next load digest.
	 */
	for (i = 0; i < 12; i++) {
		struct cs_policy_request req = fx_request(FX_LOOKUPS, i, START);

		g_assert_cmpint(decide(p, &req, START, &d), ==, CS_VERDICT_HOP);
		g_assert_cmpstr(d.u.hop.zone, ==, i < 10 ? "z-0-1" : "z-1-0");
	}
	cs_policy_destroy(p);
	cs_view_destroy(v);
}

/*
 * Guards against forwarding a request that was forwarded before, and against forwarding to a zone
 * that has just refused a request.
 */
static void test_hops_once(void)
{
	struct fx_shape shape = {0};
	struct cs_view *v = base_view(&shape);
	struct cs_policy *p = fx_policy("i-0", 1);
	struct cs_policy_request req = fx_request(FX_LOOKUPS, 1, START);
	struct cs_decision d;

	add_remote_zone(v, "z-0-1", 100, 0);
	cs_policy_update(p, v, START);
	occupy_slots(p, SLOTS, START);
	req.hopped = true;
	g_assert_cmpint(decide(p, &req, START, &d), ==, CS_VERDICT_REFUSE);
	g_assert_cmpint(d.u.refuse.reason, ==, CS_REFUSAL_OVERLOAD);
	req.hopped = false;
	req.hop_refused = true;
	g_assert_cmpint(decide(p, &req, START, &d), ==, CS_VERDICT_WAIT);
	cs_policy_dequeue(p, &req);
	req.hop_refused = false;
	g_assert_cmpint(decide(p, &req, START, &d), ==, CS_VERDICT_HOP);
	cs_policy_hop_ended(p, "z-0-1", FX_LOOKUPS, true, MS, START);
	g_assert_cmpint(decide(p, &req, START, &d), ==, CS_VERDICT_WAIT);
	cs_policy_dequeue(p, &req);
	g_assert_cmpint(decide(p, &req, START + 60 * MS, &d), ==, CS_VERDICT_HOP);
	cs_policy_destroy(p);
	cs_view_destroy(v);
}

/*
 * Guards against forwarded requests that use the headroom: those slots are reserved for requests of
 * the zone's own clients.
 */
static void test_headroom_reserved_for_own_zone(void)
{
	struct fx_shape shape = {0};
	struct cs_view *v = base_view(&shape);
	struct cs_policy *p = fx_policy("i-0", 1);
	struct cs_decision d;
	unsigned i;

	cs_policy_update(p, v, START);
	for (i = 0; i < SLOTS; i++) {
		struct cs_policy_request req = fx_request(FX_LOOKUPS, i, START);

		req.hopped = true;
		g_assert_cmpint(decide(p, &req, START, &d), ==,
				i < 8 ? CS_VERDICT_SEND : CS_VERDICT_REFUSE);
	}
	occupy_slots(p, 2, START);
	cs_policy_destroy(p);
	cs_view_destroy(v);
}

/*
 * Guards against an instance that queues requests although it has no share of any server and could
 * never send them.
 */
static void test_forwards_without_own_share(void)
{
	struct fx_shape shape = {0};
	struct cs_view *v = base_view(&shape);
	struct cs_policy *p = fx_policy("i-0", 1);
	struct cs_policy_request req = fx_request(FX_LOOKUPS, 1, START);
	struct cs_decision d;

	fx_member(v, "i-1", "z-0-0");
	cs_policy_update(p, v, START);
	g_assert_cmpint(decide(p, &req, START, &d), ==, CS_VERDICT_HOP);
	g_assert_cmpstr(d.u.hop.instance, ==, "i-1");
	cs_policy_destroy(p);
	cs_view_destroy(v);
}

/* Guards against a queue that is not ordered by priority and then by deadline. */
static void test_queue_ordered_by_priority_then_deadline(void)
{
	static const struct {
		unsigned class_index;
		unsigned left_ms;
	} cases[] = {
		{FX_LOOKUPS, 900}, {FX_LOOKUPS, 700}, {FX_BOOKINGS, 2000}, {FX_BOOKINGS, 1000}};
	static const unsigned order[] = {3, 2, 1, 0};
	struct fx_shape shape = {0};
	struct cs_view *v = base_view(&shape);
	struct cs_policy *p = fx_policy("i-0", 1);
	struct cs_policy_request req[4], first = fx_request(FX_LOOKUPS, 0, START);
	struct cs_decision d;
	struct cs_target *t;
	unsigned i;

	cs_policy_update(p, v, START);
	g_assert_cmpint(decide(p, &first, START, &d), ==, CS_VERDICT_SEND);
	t = d.u.send.target;
	occupy_slots(p, SLOTS - 1, START);
	for (i = 0; i < 4; i++) {
		req[i] = fx_request(cases[i].class_index, i, START);
		req[i].deadline_us = START + cases[i].left_ms * MS;
		g_assert_cmpint(decide(p, &req[i], START, &d), ==, CS_VERDICT_WAIT);
	}
	g_assert_null(cs_policy_next_waiting(p, START));
	for (i = 0; i < 4; i++) {
		cs_policy_attempt_ended(p, t, FX_LOOKUPS, CS_OUTCOME_OK, MS, START + MS);
		g_assert_true(cs_policy_next_waiting(p, START + MS) == &req[order[i]]);
		g_assert_cmpint(decide(p, &req[order[i]], START + MS, &d), ==, CS_VERDICT_SEND);
		g_assert_null(cs_policy_next_waiting(p, START + MS));
	}
	cs_policy_destroy(p);
	cs_view_destroy(v);
}

/* Guards against requests that are queued although they cannot finish before their deadline. */
static void test_refuses_when_deadline_cannot_be_met(void)
{
	struct fx_shape shape = {0};
	struct cs_view *v = base_view(&shape);
	struct cs_policy *p = fx_policy("i-0", 1);
	uint64_t now = START;
	struct cs_decision d;
	struct cs_policy_request req;
	unsigned i;

	cs_policy_update(p, v, now);
	for (i = 0; i < 60; i++) {
		req = fx_request(FX_LOOKUPS, i, now);
		g_assert_cmpint(decide(p, &req, now, &d), ==, CS_VERDICT_SEND);
		now += 100 * MS;
		cs_policy_attempt_ended(p, d.u.send.target, FX_LOOKUPS, CS_OUTCOME_OK, 100 * MS,
					now);
	}
	occupy_slots(p, SLOTS, now);
	/* 100 ms of service time and 10 ms until the next of 10 slots is free. */
	req = fx_request(FX_LOOKUPS, 1, now);
	req.deadline_us = now + 90 * MS;
	g_assert_cmpint(decide(p, &req, now, &d), ==, CS_VERDICT_REFUSE);
	g_assert_cmpint(d.u.refuse.reason, ==, CS_REFUSAL_DEADLINE);
	req.deadline_us = now + 105 * MS;
	g_assert_cmpint(decide(p, &req, now, &d), ==, CS_VERDICT_REFUSE);
	g_assert_cmpint(d.u.refuse.reason, ==, CS_REFUSAL_DEADLINE);
	req.deadline_us = now + 150 * MS;
	g_assert_cmpint(decide(p, &req, now, &d), ==, CS_VERDICT_WAIT);
	/* A waiting request is refused once it can no longer finish in time. */
	g_assert_true(d.u.wait.until_us <= now + 50 * MS);
	g_assert_true(cs_policy_next_waiting(p, d.u.wait.until_us) == &req);
	g_assert_cmpint(decide(p, &req, d.u.wait.until_us, &d), ==, CS_VERDICT_REFUSE);
	cs_policy_destroy(p);
	cs_view_destroy(v);
}

/*
 * Guards against a queue that fills under overload, so that all requests in it miss their latency
 * target.
 */
static void test_goodput_under_overload(void)
{
	static const double loads[] = {1.5, 3};
	unsigned i;

	for (i = 0; i < 2; i++) {
		struct sim_spec x = {.seed = 1 + i,
				     .instances = 2,
				     .servers = 6,
				     .slots = 9,
				     .load = loads[i],
				     .service_us = 40 * MS,
				     .straggler_fraction = 0.01,
				     .straggler_factor = 20,
				     .duration_us = 30 * S,
				     .class_index = FX_BOOKINGS};
		struct sim_result r;
		double capacity;

		sim_run(&x, &r);
		capacity = (double)r.requests / x.load;
		g_test_message("load %.1f: in target %u of %.0f, p99 %.1f ms", x.load, r.in_target,
			       capacity, (double)cs_hist_quantile(&r.latency, 0.99) / 1000);
		g_assert_cmpfloat(r.in_target, >=, 0.9 * capacity);
	}
}

/*
 * Guards against requests of low priority displacing those of high priority under overload. A lower
 * number is a higher priority.
 */
static void test_overload_spares_high_priority(void)
{
	struct sim_spec x = {.seed = 3,
			     .instances = 2,
			     .servers = 6,
			     .slots = 9,
			     .load = 1.6,
			     .service_us = 40 * MS,
			     .duration_us = 30 * S,
			     .class_index = FX_BOOKINGS,
			     .half_lookups = true};
	struct sim_result r;
	unsigned bookings;

	sim_run(&x, &r);
	bookings = r.answered - (unsigned)r.latency_lookups.count;
	g_test_message("bookings answered %u of about %u", bookings, r.requests / 2);
	/* Bookings are half of 1.6 times the capacity, so there is room for all of them. */
	g_assert_cmpfloat(bookings, >=, 0.97 * r.requests / 2);
}

/* Guards against repeated attempts at servers that refuse requests as not ready. */
static void test_backoff_limits_attempts(void)
{
	unsigned mode, refused[2];

	for (mode = 0; mode < 2; mode++) {
		struct sim_spec x = {.seed = 4,
				     .backoff = mode ? CS_BACKOFF_REFUSE : CS_BACKOFF_WAIT,
				     .instances = 2,
				     .servers = 6,
				     .slots = 9,
				     .load = 0.5,
				     .service_us = 40 * MS,
				     .duration_us = 40 * S,
				     .class_index = FX_BOOKINGS,
				     .down_from_us = 15 * S,
				     .down_until_us = 16 * S};
		struct sim_result r;

		sim_run(&x, &r);
		refused[mode] = r.refused + r.errors;
		g_test_message(
			"%s: refused %u errors %u refused attempts %u p99 %.1f ms requests %u",
			mode ? "refuse" : "wait", r.refused, r.errors, r.refused_attempts,
			(double)cs_hist_quantile(&r.latency, 0.99) / 1000, r.requests);
		/*
		 * Each of the 2 instances sends up to 5 attempts at once to each of the 6 servers,
		 * and as many again after a back-off of 1 s.
		 */
		g_assert_cmpuint(r.refused_attempts, <=, 12 * 10);
	}
	g_assert_cmpuint(refused[0], <=, refused[1]);
}

/* Guards against back-off times other than 1 s, doubled after each further refusal up to 8 s. */
static void test_backoff_doubles_up_to_8_s(void)
{
	static const unsigned waits_ms[] = {1000, 2000, 4000, 8000, 8000};
	struct fx_shape shape = {0};
	struct cs_view *v = base_view(&shape);
	struct cs_policy_opts opts = {
		.instance = "i-0", .zone = "z-0-0", .backoff = CS_BACKOFF_REFUSE};
	struct cs_policy *p = cs_policy_create(&opts);
	uint64_t now = START;
	struct cs_decision d;
	unsigned i;

	cs_policy_update(p, v, now);
	for (i = 0; i < 5; i++) {
		struct cs_policy_request req = fx_request(FX_LOOKUPS, i, now);

		g_assert_cmpint(decide(p, &req, now, &d), ==, CS_VERDICT_SEND);
		cs_policy_attempt_ended(p, d.u.send.target, FX_LOOKUPS, CS_OUTCOME_REFUSED, MS,
					now);
		g_assert_cmpint(decide(p, &req, now, &d), ==, CS_VERDICT_REFUSE);
		g_assert_cmpint(d.u.refuse.reason, ==, CS_REFUSAL_BACKOFF);
		g_assert_cmpuint(d.u.refuse.retry_after_ms, ==, waits_ms[i]);
		now += waits_ms[i] * MS - MS;
		g_assert_cmpint(decide(p, &req, now, &d), ==, CS_VERDICT_REFUSE);
		now += 3 * MS;
	}
	cs_policy_destroy(p);
	cs_view_destroy(v);
}

/*
 * Guards against retries for more than 10 in 100 requests. The budget saves up to 10 unused
 * retries; here each is used as soon as it is available.
 */
static void test_retries_within_budget(void)
{
	struct fx_shape shape = {0};
	struct cs_view *v = base_view(&shape);
	struct cs_policy *p = fx_policy("i-0", 1);
	unsigned i, retries = 0;
	struct cs_decision d;

	cs_policy_update(p, v, START);
	for (i = 0; i < 1000; i++) {
		struct cs_policy_request req = fx_request(FX_LOOKUPS, i, START);

		g_assert_cmpint(decide(p, &req, START, &d), ==, CS_VERDICT_SEND);
		cs_policy_attempt_ended(p, d.u.send.target, FX_LOOKUPS, CS_OUTCOME_OK, MS, START);
		while (cs_policy_take_retry(p, FX_LOOKUPS))
			retries++;
	}
	g_assert_cmpuint(retries, <=, 100);
	g_assert_cmpuint(retries, >=, 95);
	g_assert_false(cs_policy_take_retry(p, FX_BOOKINGS));
	cs_policy_destroy(p);
	cs_view_destroy(v);
}

/*
 * Guards against an older configuration that replaces a newer one, or changes the class of a queued
 * request.
 */
static void test_ignores_older_config(void)
{
	struct fx_shape shape = {.revision = 5}, older = {.revision = 4};
	struct cs_view *v = base_view(&shape), *old_view = base_view(&older);
	struct cs_policy *p = fx_policy("i-0", 1);
	struct cs_policy_request req = fx_request(FX_BOOKINGS, 1, START);
	struct cs_decision d;

	cs_policy_update(p, v, START);
	occupy_slots(p, SLOTS, START);
	g_assert_cmpint(decide(p, &req, START, &d), ==, CS_VERDICT_WAIT);
	cs_policy_update(p, old_view, START);
	g_assert_cmpuint(cs_policy_config(p)->revision, ==, 5);
	g_assert_cmpuint(req.class_index, ==, FX_BOOKINGS);
	cs_policy_dequeue(p, &req);
	cs_policy_destroy(p);
	cs_view_destroy(v);
	cs_view_destroy(old_view);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/policy/decide/hops-to-nearest-zone-with-capacity",
			test_hops_to_nearest_zone_with_capacity);
	g_test_add_func("/policy/decide/hops-once", test_hops_once);
	g_test_add_func("/policy/decide/headroom-reserved-for-own-zone",
			test_headroom_reserved_for_own_zone);
	g_test_add_func("/policy/decide/forwards-without-own-share",
			test_forwards_without_own_share);
	g_test_add_func("/policy/decide/queue-ordered-by-priority-then-deadline",
			test_queue_ordered_by_priority_then_deadline);
	g_test_add_func("/policy/decide/refuses-when-deadline-cannot-be-met",
			test_refuses_when_deadline_cannot_be_met);
	g_test_add_func("/policy/decide/goodput-under-overload", test_goodput_under_overload);
	g_test_add_func("/policy/decide/overload-spares-high-priority",
			test_overload_spares_high_priority);
	g_test_add_func("/policy/decide/backoff-limits-attempts", test_backoff_limits_attempts);
	g_test_add_func("/policy/decide/backoff-doubles-up-to-8-s", test_backoff_doubles_up_to_8_s);
	g_test_add_func("/policy/decide/retries-within-budget", test_retries_within_budget);
	g_test_add_func("/policy/decide/ignores-older-config", test_ignores_older_config);
	return g_test_run();
}
