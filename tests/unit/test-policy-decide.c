/* Tests of the decision: hops, admission of foreign work, queue, refusals, back-off. */
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "tests/unit/policy-sim.h"

#define S CS_US_PER_S
#define MS CS_US_PER_MS
#define START (100 * S)
#define SLOTS 10

/* Zone z-0-0 with one instance and server; zones with an entry instance and room elsewhere. */
static struct cs_view *base_view(const struct fx_shape *more)
{
	struct fx_shape shape = *more;
	struct cs_view *v;

	shape.no_bulk = true;
	shape.slots = SLOTS;
	v = fx_view(&shape);
	fx_member(v, "i-0", "z-0-0");
	fx_server(v, "s-0", "web", "z-0-0");
	return v;
}

static void other_zone(struct cs_view *v, const char *zone, unsigned capacity, unsigned in_flight)
{
	char name[32];

	snprintf(name, sizeof(name), "i-%s", zone);
	fx_member(v, name, zone);
	fx_load(v, zone, "web", capacity, in_flight);
}

static enum cs_verdict decide(struct cs_policy *p, struct cs_policy_request *ask, uint64_t now,
			      struct cs_decision *d)
{
	cs_policy_decide(p, ask, now, d);
	return d->verdict;
}

/* Sends n requests that stay at the servers. */
static void occupy(struct cs_policy *p, unsigned n, uint64_t now)
{
	struct cs_decision d;

	while (n-- > 0) {
		struct cs_policy_request ask = fx_ask(FX_LOOKUPS, n, now);

		g_assert_cmpint(decide(p, &ask, now, &d), ==, CS_VERDICT_SEND);
	}
}

/* Guards against hops to a far region while a zone of the own one has room, and to full zones. */
static void test_hop_near(void)
{
	struct fx_shape shape = {0};
	struct cs_view *v = base_view(&shape);
	struct cs_policy *p = fx_policy("i-0", 1);
	struct cs_decision d;
	unsigned i;

	other_zone(v, "z-1-0", 100, 0);
	other_zone(v, "z-0-1", 100, 70);
	cs_policy_update(p, v, START);
	occupy(p, SLOTS, START);
	/* Headroom is 20 in 100, so ten more fit in the near zone before its next digest. */
	for (i = 0; i < 12; i++) {
		struct cs_policy_request ask = fx_ask(FX_LOOKUPS, i, START);

		g_assert_cmpint(decide(p, &ask, START, &d), ==, CS_VERDICT_HOP);
		g_assert_cmpstr(d.u.hop.zone, ==, i < 10 ? "z-0-1" : "z-1-0");
	}
	cs_policy_destroy(p);
	cs_view_destroy(v);
}

/* Guards against a request that is forwarded twice, or again to zones that refuse. */
static void test_hop_once(void)
{
	struct fx_shape shape = {0};
	struct cs_view *v = base_view(&shape);
	struct cs_policy *p = fx_policy("i-0", 1);
	struct cs_policy_request ask = fx_ask(FX_LOOKUPS, 1, START);
	struct cs_decision d;

	other_zone(v, "z-0-1", 100, 0);
	cs_policy_update(p, v, START);
	occupy(p, SLOTS, START);
	ask.hopped = true;
	g_assert_cmpint(decide(p, &ask, START, &d), ==, CS_VERDICT_REFUSE);
	g_assert_cmpint(d.u.refuse.reason, ==, CS_REFUSAL_OVERLOAD);
	ask.hopped = false;
	ask.hop_refused = true;
	g_assert_cmpint(decide(p, &ask, START, &d), ==, CS_VERDICT_WAIT);
	cs_policy_dequeue(p, &ask);
	ask.hop_refused = false;
	g_assert_cmpint(decide(p, &ask, START, &d), ==, CS_VERDICT_HOP);
	cs_policy_hop_ended(p, "z-0-1", FX_LOOKUPS, true, MS, START);
	g_assert_cmpint(decide(p, &ask, START, &d), ==, CS_VERDICT_WAIT);
	cs_policy_dequeue(p, &ask);
	g_assert_cmpint(decide(p, &ask, START + 60 * MS, &d), ==, CS_VERDICT_HOP);
	cs_policy_destroy(p);
	cs_view_destroy(v);
}

/* Guards against foreign work in the headroom, which is kept for local work. */
static void test_foreign(void)
{
	struct fx_shape shape = {0};
	struct cs_view *v = base_view(&shape);
	struct cs_policy *p = fx_policy("i-0", 1);
	struct cs_decision d;
	unsigned i;

	cs_policy_update(p, v, START);
	for (i = 0; i < SLOTS; i++) {
		struct cs_policy_request ask = fx_ask(FX_LOOKUPS, i, START);

		ask.hopped = true;
		g_assert_cmpint(decide(p, &ask, START, &d), ==,
				i < 8 ? CS_VERDICT_SEND : CS_VERDICT_REFUSE);
	}
	occupy(p, 2, START);
	cs_policy_destroy(p);
	cs_view_destroy(v);
}

/* Guards against an instance without any share that makes its callers wait for nothing. */
static void test_neighbour(void)
{
	struct fx_shape shape = {0};
	struct cs_view *v = base_view(&shape);
	struct cs_policy *p = fx_policy("i-0", 1);
	struct cs_policy_request ask = fx_ask(FX_LOOKUPS, 1, START);
	struct cs_decision d;

	fx_member(v, "i-1", "z-0-0");
	cs_policy_update(p, v, START);
	g_assert_cmpint(decide(p, &ask, START, &d), ==, CS_VERDICT_HOP);
	g_assert_cmpstr(d.u.hop.instance, ==, "i-1");
	cs_policy_destroy(p);
	cs_view_destroy(v);
}

/* Guards against a queue that ignores priority, then deadline. */
static void test_queue_order(void)
{
	static const struct {
		unsigned class_index;
		unsigned left_ms;
	} asks[] = {{FX_LOOKUPS, 900}, {FX_LOOKUPS, 700}, {FX_BOOKINGS, 2000}, {FX_BOOKINGS, 1000}};
	static const unsigned order[] = {3, 2, 1, 0};
	struct fx_shape shape = {0};
	struct cs_view *v = base_view(&shape);
	struct cs_policy *p = fx_policy("i-0", 1);
	struct cs_policy_request ask[4], first = fx_ask(FX_LOOKUPS, 0, START);
	struct cs_decision d;
	struct cs_target *t;
	unsigned i;

	cs_policy_update(p, v, START);
	g_assert_cmpint(decide(p, &first, START, &d), ==, CS_VERDICT_SEND);
	t = d.u.send.target;
	occupy(p, SLOTS - 1, START);
	for (i = 0; i < 4; i++) {
		ask[i] = fx_ask(asks[i].class_index, i, START);
		ask[i].deadline_us = START + asks[i].left_ms * MS;
		g_assert_cmpint(decide(p, &ask[i], START, &d), ==, CS_VERDICT_WAIT);
	}
	g_assert_null(cs_policy_next_waiting(p, START));
	for (i = 0; i < 4; i++) {
		cs_policy_attempt_ended(p, t, FX_LOOKUPS, CS_OUTCOME_OK, MS, START + MS);
		g_assert_true(cs_policy_next_waiting(p, START + MS) == &ask[order[i]]);
		g_assert_cmpint(decide(p, &ask[order[i]], START + MS, &d), ==, CS_VERDICT_SEND);
		g_assert_null(cs_policy_next_waiting(p, START + MS));
	}
	cs_policy_destroy(p);
	cs_view_destroy(v);
}

/* Guards against requests that are kept although they cannot finish in time. */
static void test_deadline(void)
{
	struct fx_shape shape = {0};
	struct cs_view *v = base_view(&shape);
	struct cs_policy *p = fx_policy("i-0", 1);
	uint64_t now = START;
	struct cs_decision d;
	struct cs_policy_request ask;
	unsigned i;

	cs_policy_update(p, v, now);
	for (i = 0; i < 60; i++) {
		ask = fx_ask(FX_LOOKUPS, i, now);
		g_assert_cmpint(decide(p, &ask, now, &d), ==, CS_VERDICT_SEND);
		now += 100 * MS;
		cs_policy_attempt_ended(p, d.u.send.target, FX_LOOKUPS, CS_OUTCOME_OK, 100 * MS,
					now);
	}
	occupy(p, SLOTS, now);
	/* 100 ms of service and 10 ms until the next of 10 slots is free. */
	ask = fx_ask(FX_LOOKUPS, 1, now);
	ask.deadline_us = now + 90 * MS;
	g_assert_cmpint(decide(p, &ask, now, &d), ==, CS_VERDICT_REFUSE);
	g_assert_cmpint(d.u.refuse.reason, ==, CS_REFUSAL_DEADLINE);
	ask.deadline_us = now + 105 * MS;
	g_assert_cmpint(decide(p, &ask, now, &d), ==, CS_VERDICT_REFUSE);
	g_assert_cmpint(d.u.refuse.reason, ==, CS_REFUSAL_DEADLINE);
	ask.deadline_us = now + 150 * MS;
	g_assert_cmpint(decide(p, &ask, now, &d), ==, CS_VERDICT_WAIT);
	/* Its time to be sent passes. */
	g_assert_true(d.u.wait.until_us <= now + 50 * MS);
	g_assert_true(cs_policy_next_waiting(p, d.u.wait.until_us) == &ask);
	g_assert_cmpint(decide(p, &ask, d.u.wait.until_us, &d), ==, CS_VERDICT_REFUSE);
	cs_policy_destroy(p);
	cs_view_destroy(v);
}

/* Guards against a queue that fills with requests which then all miss their target. */
static void test_goodput(void)
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
				     .straggler_part = 0.01,
				     .straggler_factor = 20,
				     .duration_us = 30 * S,
				     .class_index = FX_BOOKINGS};
		struct sim_result r;
		double capacity;

		sim_run(&x, &r);
		capacity = (double)r.requests / x.load;
		g_test_message("load %.1f: in time %u of %.0f, p99 %.1f ms", x.load, r.in_time,
			       capacity, (double)cs_hist_quantile(&r.latency, 0.99) / 1000);
		g_assert_cmpfloat(r.in_time, >=, 0.9 * capacity);
	}
}

/* Guards against lower classes that displace those with a lower priority number. */
static void test_priority_overload(void)
{
	struct sim_spec x = {.seed = 3,
			     .instances = 2,
			     .servers = 6,
			     .slots = 9,
			     .load = 1.6,
			     .service_us = 40 * MS,
			     .duration_us = 30 * S,
			     .class_index = FX_BOOKINGS,
			     .both = true};
	struct sim_result r;
	unsigned bookings;

	sim_run(&x, &r);
	bookings = r.answered - (unsigned)r.latency_first.count;
	g_test_message("bookings answered %u of about %u", bookings, r.requests / 2);
	/* Bookings are half of 1.6 times the capacity, so all of them fit. */
	g_assert_cmpfloat(bookings, >=, 0.97 * r.requests / 2);
}

/* Guards against requests sent over and over to servers that say they are not ready. */
static void test_backoff(void)
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
		g_test_message("%s: refused %u errors %u tries %u p99 %.1f ms of %u",
			       mode ? "refuse" : "wait", r.refused, r.errors, r.unavailable_tries,
			       (double)cs_hist_quantile(&r.latency, 0.99) / 1000, r.requests);
		/* Each of 12 shares: up to 5 at once, then one wave each after 1 s. */
		g_assert_cmpuint(r.unavailable_tries, <=, 12 * 10);
	}
	g_assert_cmpuint(refused[0], <=, refused[1]);
}

/* Guards against a back-off other than 1 s doubled to 8 s. */
static void test_backoff_times(void)
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
		struct cs_policy_request ask = fx_ask(FX_LOOKUPS, i, now);

		g_assert_cmpint(decide(p, &ask, now, &d), ==, CS_VERDICT_SEND);
		cs_policy_attempt_ended(p, d.u.send.target, FX_LOOKUPS, CS_OUTCOME_REFUSED, MS,
					now);
		g_assert_cmpint(decide(p, &ask, now, &d), ==, CS_VERDICT_REFUSE);
		g_assert_cmpint(d.u.refuse.reason, ==, CS_REFUSAL_BACKOFF);
		g_assert_cmpuint(d.u.refuse.retry_after_ms, ==, waits_ms[i]);
		now += waits_ms[i] * MS - MS;
		g_assert_cmpint(decide(p, &ask, now, &d), ==, CS_VERDICT_REFUSE);
		now += 3 * MS;
	}
	cs_policy_destroy(p);
	cs_view_destroy(v);
}

/* Guards against more retries than 10 in 100 requests, with a burst of 10 after a quiet time. */
static void test_retry_budget(void)
{
	struct fx_shape shape = {0};
	struct cs_view *v = base_view(&shape);
	struct cs_policy *p = fx_policy("i-0", 1);
	unsigned i, taken = 0;
	struct cs_decision d;

	cs_policy_update(p, v, START);
	for (i = 0; i < 1000; i++) {
		struct cs_policy_request ask = fx_ask(FX_LOOKUPS, i, START);

		g_assert_cmpint(decide(p, &ask, START, &d), ==, CS_VERDICT_SEND);
		cs_policy_attempt_ended(p, d.u.send.target, FX_LOOKUPS, CS_OUTCOME_OK, MS, START);
		while (cs_policy_take_retry(p, FX_LOOKUPS))
			taken++;
	}
	g_assert_cmpuint(taken, <=, 100);
	g_assert_cmpuint(taken, >=, 95);
	g_assert_false(cs_policy_take_retry(p, FX_BOOKINGS));
	cs_policy_destroy(p);
	cs_view_destroy(v);
}

/* Guards against requests that are lost or miscounted when a change moves or removes classes. */
static void test_reconfigure(void)
{
	struct fx_shape shape = {.revision = 5}, older = {.revision = 4};
	struct cs_view *v = base_view(&shape), *back = base_view(&older);
	struct cs_policy *p = fx_policy("i-0", 1);
	struct cs_policy_request ask = fx_ask(FX_BOOKINGS, 1, START);
	struct cs_decision d;

	cs_policy_update(p, v, START);
	occupy(p, SLOTS, START);
	g_assert_cmpint(decide(p, &ask, START, &d), ==, CS_VERDICT_WAIT);
	cs_policy_update(p, back, START);
	g_assert_cmpuint(cs_policy_config(p)->revision, ==, 5);
	g_assert_cmpuint(ask.class_index, ==, FX_BOOKINGS);
	cs_policy_dequeue(p, &ask);
	cs_policy_destroy(p);
	cs_view_destroy(v);
	cs_view_destroy(back);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/policy/decide/hop-near", test_hop_near);
	g_test_add_func("/policy/decide/hop-once", test_hop_once);
	g_test_add_func("/policy/decide/foreign", test_foreign);
	g_test_add_func("/policy/decide/neighbour", test_neighbour);
	g_test_add_func("/policy/decide/queue-order", test_queue_order);
	g_test_add_func("/policy/decide/deadline", test_deadline);
	g_test_add_func("/policy/decide/goodput", test_goodput);
	g_test_add_func("/policy/decide/priority-overload", test_priority_overload);
	g_test_add_func("/policy/decide/backoff", test_backoff);
	g_test_add_func("/policy/decide/backoff-times", test_backoff_times);
	g_test_add_func("/policy/decide/retry-budget", test_retry_budget);
	g_test_add_func("/policy/decide/reconfigure", test_reconfigure);
	return g_test_run();
}
