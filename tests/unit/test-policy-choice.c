/* Tests of the choice of servers, by simulation of one zone. */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "tests/unit/policy-sim.h"

#define S CS_US_PER_S
#define MS CS_US_PER_MS

/* The deployments' shape: 20 servers of 9 slots, two instances, 70% load, stragglers. */
static struct sim_spec base_spec(uint64_t seed)
{
	struct sim_spec x = {.seed = seed,
			     .choice = CS_CHOICE_LEAST,
			     .instances = 2,
			     .servers = 20,
			     .slots = 9,
			     .load = 0.7,
			     .service_us = 40 * MS,
			     .straggler_part = 0.01,
			     .straggler_factor = 20,
			     .slow_factor = 10,
			     .duration_us = 40 * S,
			     .hedge = true,
			     .class_index = FX_LOOKUPS};

	return x;
}

static void print(const char *name, const struct sim_result *r)
{
	printf("# %s: requests %u answered %u p50 %.1f p95 %.1f p99 %.1f p999 %.1f ms hedges "
	       "%.2f%% retries "
	       "%.2f%% refused %u errors %u slow_sent %u over %u\n",
	       name, r->requests, r->answered, (double)cs_hist_quantile(&r->latency, 0.5) / 1000,
	       (double)cs_hist_quantile(&r->latency, 0.95) / 1000,
	       (double)cs_hist_quantile(&r->latency, 0.99) / 1000,
	       (double)cs_hist_quantile(&r->latency, 0.999) / 1000, 100.0 * r->hedges / r->requests,
	       100.0 * r->retries / r->requests, r->refused, r->errors, r->slow_sent, r->over);
}

static double p99(const struct sim_result *r)
{
	return (double)cs_hist_quantile(&r->latency, 0.99);
}

/*
 * Guards against slowed servers that keep getting requests, and against healthy ones that are
 * ejected because latencies spread widely: a fifth of the servers slowed tenfold, drawn anew every
 * few seconds, costs at most twice the 99th percentile.
 */
static void test_slowed(void)
{
	struct sim_result calm, slowed, rr;
	uint64_t seed;

	for (seed = 1; seed <= 6; seed++) {
		struct sim_spec x = base_spec(seed);

		x.exponential = seed > 3;
		sim_run(&x, &calm);
		print("calm", &calm);
		x.slow_part = 0.2;
		x.slow_us = (2 + seed % 4) * S;
		sim_run(&x, &slowed);
		print("slowed", &slowed);
		x.choice = CS_CHOICE_RR;
		sim_run(&x, &rr);
		print("round robin", &rr);
		g_assert_cmpfloat(p99(&slowed), <=, 2 * p99(&calm));
		g_assert_cmpfloat(p99(&slowed), <=, (x.exponential ? 0.6 : 0.3) * p99(&rr));
		g_assert_cmpuint(slowed.refused * 1000, <=, slowed.requests);
		g_assert_cmpuint(calm.over + slowed.over + rr.over, ==, 0);
	}
}

/* Guards against hedges beyond 2 in 100 requests, when everything is late at once too. */
static void test_hedges(void)
{
	struct sim_spec x = base_spec(7);
	struct sim_result r;

	x.slow_part = 1;
	x.slow_us = 2 * S;
	x.slow_factor = 2;
	x.load = 0.4;
	sim_run(&x, &r);
	print("all slowed", &r);
	g_assert_cmpuint(r.hedges, >, 0);
	g_assert_cmpuint(r.hedges * 50, <=, r.requests + 50 * 5);
}

/* Guards against a server whose errors come fast and that therefore looks least loaded. */
static void test_errors(void)
{
	struct sim_spec x = base_spec(8);
	struct sim_result r;

	x.class_index = FX_BOOKINGS;
	x.errors_server = 4;
	x.straggler_part = 0;
	sim_run(&x, &r);
	print("errors", &r);
	/* Three errors in a row eject; a trial each half second at each of two instances follows. */
	g_assert_cmpuint(r.errors * 200, <=, r.requests);
}

struct zone {
	struct cs_view *v;
	struct cs_policy *p;
	uint64_t now;
};

static struct zone zone_create(unsigned servers)
{
	struct fx_shape shape = {.no_bulk = true, .slots = 10};
	struct zone z = {fx_view(&shape), fx_policy("i-0", 1), 100 * S};
	char name[16];
	unsigned i;

	fx_member(z.v, "i-0", "z-0-0");
	for (i = 0; i < servers; i++) {
		snprintf(name, sizeof(name), "s-%u", i);
		fx_server(z.v, name, "web", "z-0-0");
	}
	cs_policy_update(z.p, z.v, z.now);
	return z;
}

static void zone_destroy(struct zone *z)
{
	cs_policy_destroy(z->p);
	cs_view_destroy(z->v);
}

static struct cs_target *send(struct zone *z)
{
	struct cs_policy_request ask = fx_ask(FX_LOOKUPS, 1, z->now);
	struct cs_decision d;

	cs_policy_decide(z->p, &ask, z->now, &d);
	g_assert_cmpint(d.verdict, ==, CS_VERDICT_SEND);
	return d.u.send.target;
}

/* Answers requests one at a time in 10 ms until a class latency is known. */
static void learn(struct zone *z, unsigned n)
{
	while (n-- > 0) {
		struct cs_target *t = send(z);

		z->now += 10 * MS;
		cs_policy_attempt_ended(z->p, t, FX_LOOKUPS, CS_OUTCOME_OK, 10 * MS, z->now);
	}
}

static bool is_ejected(const struct zone *z, const char *server)
{
	char *text = cs_policy_explain(z->p, FX_LOOKUPS, z->now);
	const char *at = strstr(text, server), *flag;
	bool yes;

	g_assert_nonnull(at);
	flag = strstr(at, "\"ejected\":");
	yes = flag != NULL && strncmp(flag, "\"ejected\":true", 14) == 0;
	free(text);
	return yes;
}

/*
 * Guards against a stuck server that is noticed only when its requests end: those that run longer
 * than usual count before, and it gets nothing more although it has free slots.
 */
static void test_running(void)
{
	struct zone z = zone_create(3);
	struct cs_target *t[18];
	unsigned i, more = 0;

	learn(&z, 60);
	for (i = 0; i < 18; i++)
		t[i] = send(&z);
	z.now += 10 * MS;
	for (i = 0; i < 18; i++)
		if (strcmp(cs_target_name(t[i]), "s-0") != 0)
			cs_policy_attempt_ended(z.p, t[i], FX_LOOKUPS, CS_OUTCOME_OK, 10 * MS,
						z.now);
	g_assert_false(is_ejected(&z, "s-0"));
	z.now += 20 * MS;
	for (i = 0; i < 20; i++)
		more += strcmp(cs_target_name(send(&z)), "s-0") == 0;
	g_assert_true(is_ejected(&z, "s-0"));
	g_assert_cmpuint(more, ==, 0);
	zone_destroy(&z);
}

/* Guards against reported times that outweigh this instance's own measurements. */
static void test_first_hand(void)
{
	struct zone z = zone_create(2);
	unsigned i, n = 0;

	/* Before any measurement the report counts. */
	z.v->servers[0].reported_service_us = 40000;
	z.v->servers[1].reported_service_us = 10000;
	cs_policy_update(z.p, z.v, z.now);
	g_assert_cmpstr(cs_target_name(send(&z)), ==, "s-1");
	learn(&z, 400);
	for (i = 0; i < 100; i++) {
		struct cs_target *t = send(&z);

		n += strcmp(cs_target_name(t), "s-0") == 0;
		z.now += 10 * MS;
		cs_policy_attempt_ended(z.p, t, FX_LOOKUPS, CS_OUTCOME_OK, 10 * MS, z.now);
	}
	g_assert_cmpuint(n, >=, 25);
	zone_destroy(&z);
}

/* Guards against a cold server that gets its whole share at once. */
static void test_slow_start(void)
{
	struct zone z = zone_create(2);
	unsigned i, cold = 0;

	learn(&z, 60);
	fx_server(z.v, "s-2", "web", "z-0-0");
	cs_policy_update(z.p, z.v, z.now);
	for (i = 0; i < 21; i++)
		cold += strcmp(cs_target_name(send(&z)), "s-2") == 0;
	g_assert_cmpuint(cold, ==, 1);
	zone_destroy(&z);
}

/*
 * Guards against a proxy that restarts and takes all servers for cold because its first view named
 * none: callers were refused for seconds.
 */
static void test_first_servers(void)
{
	struct zone z = zone_create(0);
	unsigned i;

	z.now += 1 * S;
	cs_policy_update(z.p, z.v, z.now);
	for (i = 0; i < 2; i++)
		fx_server(z.v, i == 0 ? "s-0" : "s-1", "web", "z-0-0");
	cs_policy_update(z.p, z.v, z.now);
	/* 2 servers of 10 slots, of which a fifth stays free. */
	for (i = 0; i < 16; i++)
		send(&z);
	zone_destroy(&z);
}

/* Guards against new work at a server that said it is draining, and against a state that sticks. */
static void test_draining(void)
{
	struct zone z = zone_create(2);
	struct cs_target *t = send(&z);
	unsigned i;

	cs_policy_server_state(z.p, t, CS_SERVER_DRAINING, z.now);
	for (i = 0; i < 10; i++)
		g_assert_true(send(&z) != t);
	/* An old view that still says ready changes nothing. */
	cs_policy_update(z.p, z.v, z.now);
	cs_policy_server_state(z.p, t, CS_SERVER_READY, z.now);
	g_assert_true(send(&z) == t);
	zone_destroy(&z);
}

/* Guards against a server's word of a state that lasts for ever although no poll confirms it. */
static void test_said(void)
{
	struct zone z = zone_create(2);
	struct cs_target *t = send(&z);
	unsigned i;

	cs_policy_server_state(z.p, t, CS_SERVER_DRAINING, z.now);
	z.now += 4 * S;
	cs_policy_update(z.p, z.v, z.now);
	for (i = 0; i < 5; i++)
		g_assert_true(send(&z) != t);
	z.now += 2 * S;
	cs_policy_update(z.p, z.v, z.now);
	for (i = 0; i < 4 && send(&z) != t; i++)
		;
	g_assert_cmpuint(i, <, 4);
	zone_destroy(&z);
}

/* Guards against servers that work and get nothing because their health checks fail. */
static void test_misled(void)
{
	struct zone z = zone_create(2);
	struct cs_decision d;
	struct cs_policy_request ask;
	unsigned i;

	learn(&z, 60);
	z.v->servers[0].state = z.v->servers[1].state = CS_SERVER_DOWN;
	cs_policy_update(z.p, z.v, z.now);
	for (i = 0; i < 10; i++) {
		learn(&z, 1);
		z.now += S;
	}
	/* Without answers the checks are believed. */
	z.now += 5 * S;
	cs_policy_update(z.p, z.v, z.now);
	ask = fx_ask(FX_LOOKUPS, 1, z.now);
	cs_policy_decide(z.p, &ask, z.now, &d);
	g_assert_cmpint(d.verdict, ==, CS_VERDICT_REFUSE);
	g_assert_cmpint(d.u.refuse.reason, ==, CS_REFUSAL_NO_SERVER);
	zone_destroy(&z);
}

/* Guards against more than a third of the servers ejected, whatever happens. */
static void test_over_ejection(void)
{
	struct zone z = zone_create(9);
	struct cs_rng rng;
	unsigned i;

	cs_rng_seed(&rng, 5);
	for (i = 0; i < 3000; i++) {
		struct cs_target *t = send(&z);
		unsigned ejected = 0;
		char *text, *at;

		z.now += MS;
		cs_policy_attempt_ended(z.p, t, FX_LOOKUPS,
					cs_rng_below(&rng, 2) ? CS_OUTCOME_ERROR
							      : CS_OUTCOME_TIMEOUT,
					cs_rng_below(&rng, 1000) * MS, z.now);
		if (i % 10)
			continue;
		text = cs_policy_explain(z.p, FX_LOOKUPS, z.now);
		for (at = text; (at = strstr(at, "\"ejected\":true")) != NULL; at++)
			ejected++;
		free(text);
		g_assert_cmpuint(ejected, <=, 3);
	}
	zone_destroy(&z);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/policy/choice/slowed", test_slowed);
	g_test_add_func("/policy/choice/hedges", test_hedges);
	g_test_add_func("/policy/choice/errors", test_errors);
	g_test_add_func("/policy/choice/running", test_running);
	g_test_add_func("/policy/choice/first-hand", test_first_hand);
	g_test_add_func("/policy/choice/slow-start", test_slow_start);
	g_test_add_func("/policy/choice/first-servers", test_first_servers);
	g_test_add_func("/policy/choice/draining", test_draining);
	g_test_add_func("/policy/choice/said", test_said);
	g_test_add_func("/policy/choice/misled", test_misled);
	g_test_add_func("/policy/choice/over-ejection", test_over_ejection);
	return g_test_run();
}
