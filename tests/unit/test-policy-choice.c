/* Tests of server choice and outlier ejection, by simulation of one zone and on a single policy. */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "tests/unit/policy-sim.h"

#define S CS_US_PER_S
#define MS CS_US_PER_MS

/* A typical zone: two instances, 20 servers with 9 slots, 70% load, 1% stragglers. */
static struct sim_spec base_spec(uint64_t seed)
{
	struct sim_spec x = {.seed = seed,
			     .choice = CS_CHOICE_LEAST,
			     .instances = 2,
			     .servers = 20,
			     .slots = 9,
			     .load = 0.7,
			     .service_us = 40 * MS,
			     .straggler_fraction = 0.01,
			     .straggler_factor = 20,
			     .slow_factor = 10,
			     .duration_us = 40 * S,
			     .hedge = true,
			     .class_index = FX_LOOKUPS};

	return x;
}

static void print_result(const char *name, const struct sim_result *r)
{
	printf("# %s: requests %u answered %u p50 %.1f p95 %.1f p99 %.1f p999 %.1f ms hedges "
	       "%.2f%% retries "
	       "%.2f%% refused %u errors %u attempts at slowed servers %u over slots %u\n",
	       name, r->requests, r->answered, (double)cs_hist_quantile(&r->latency, 0.5) / 1000,
	       (double)cs_hist_quantile(&r->latency, 0.95) / 1000,
	       (double)cs_hist_quantile(&r->latency, 0.99) / 1000,
	       (double)cs_hist_quantile(&r->latency, 0.999) / 1000, 100.0 * r->hedges / r->requests,
	       100.0 * r->retries / r->requests, r->refused, r->errors, r->slow_attempts,
	       r->over_slots);
}

static double p99(const struct sim_result *r)
{
	return (double)cs_hist_quantile(&r->latency, 0.99);
}

/*
 * Guards against slow servers that keep receiving requests, and against healthy servers ejected
 * only because latencies vary widely. A fifth of the servers, chosen anew every few seconds, is ten
 * times slower; this may at most double the 99th percentile of the latency.
 */
static void test_slow_servers_at_most_double_p99(void)
{
	struct sim_result baseline, slowed, rr;
	uint64_t seed;

	for (seed = 1; seed <= 6; seed++) {
		struct sim_spec x = base_spec(seed);

		x.exponential = seed > 3;
		sim_run(&x, &baseline);
		print_result("baseline", &baseline);
		x.slow_fraction = 0.2;
		x.slow_us = (2 + seed % 4) * S;
		sim_run(&x, &slowed);
		print_result("slow servers", &slowed);
		x.choice = CS_CHOICE_RR;
		sim_run(&x, &rr);
		print_result("round robin", &rr);
		g_assert_cmpfloat(p99(&slowed), <=, 2 * p99(&baseline));
		g_assert_cmpfloat(p99(&slowed), <=, (x.exponential ? 0.6 : 0.3) * p99(&rr));
		g_assert_cmpuint(slowed.refused * 1000, <=, slowed.requests);
		g_assert_cmpuint(baseline.over_slots + slowed.over_slots + rr.over_slots, ==, 0);
	}
}

/*
 * Guards against hedges for more than 2% of the requests, also when all servers are slow at once.
 */
static void test_hedges_within_budget(void)
{
	struct sim_spec x = base_spec(7);
	struct sim_result r;

	x.slow_fraction = 1;
	x.slow_us = 2 * S;
	x.slow_factor = 2;
	x.load = 0.4;
	sim_run(&x, &r);
	print_result("all servers slow", &r);
	g_assert_cmpuint(r.hedges, >, 0);
	g_assert_cmpuint(r.hedges * 50, <=, r.requests + 50 * 5);
}

/* Guards against a server that fails fast and therefore looks least loaded. */
static void test_ejects_failing_server(void)
{
	struct sim_spec x = base_spec(8);
	struct sim_result r;

	x.class_index = FX_BOOKINGS;
	x.failing_server = 4;
	x.straggler_fraction = 0;
	sim_run(&x, &r);
	print_result("failing server", &r);
	/*
	 * Three errors in a row eject a server; each of the two instances then probes it with one
	 * request every 500 ms.
	 */
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

static struct cs_target *send_request(struct zone *z)
{
	struct cs_policy_request req = fx_request(FX_LOOKUPS, 1, z->now);
	struct cs_decision d;

	cs_policy_decide(z->p, &req, z->now, &d);
	g_assert_cmpint(d.verdict, ==, CS_VERDICT_SEND);
	return d.u.send.target;
}

/*
 * Sends n requests one at a time, each answered after 10 ms, so that the latency of the class is
 * known.
 */
static void answer_requests(struct zone *z, unsigned n)
{
	while (n-- > 0) {
		struct cs_target *t = send_request(z);

		z->now += 10 * MS;
		cs_policy_attempt_ended(z->p, t, FX_LOOKUPS, CS_OUTCOME_OK, 10 * MS, z->now);
	}
}

static bool is_ejected(const struct zone *z, const char *server)
{
	char *text = cs_policy_explain(z->p, FX_LOOKUPS, z->now);
	const char *at = strstr(text, server), *flag;
	bool ejected;

	g_assert_nonnull(at);
	flag = strstr(at, "\"ejected\":");
	ejected = flag != NULL && strncmp(flag, "\"ejected\":true", 14) == 0;
	free(text);
	return ejected;
}

/*
 * Guards against detecting a stuck server only when its requests end. Requests that already run
 * longer than usual must count, and the server gets no further requests although it has free slots.
 */
static void test_ejects_stuck_server_while_requests_run(void)
{
	struct zone z = zone_create(3);
	struct cs_target *t[18];
	unsigned i, n_to_stuck = 0;

	answer_requests(&z, 60);
	for (i = 0; i < 18; i++)
		t[i] = send_request(&z);
	z.now += 10 * MS;
	for (i = 0; i < 18; i++)
		if (strcmp(cs_target_name(t[i]), "s-0") != 0)
			cs_policy_attempt_ended(z.p, t[i], FX_LOOKUPS, CS_OUTCOME_OK, 10 * MS,
						z.now);
	g_assert_false(is_ejected(&z, "s-0"));
	z.now += 20 * MS;
	for (i = 0; i < 20; i++)
		n_to_stuck += strcmp(cs_target_name(send_request(&z)), "s-0") == 0;
	g_assert_true(is_ejected(&z, "s-0"));
	g_assert_cmpuint(n_to_stuck, ==, 0);
	zone_destroy(&z);
}

/*
 * Guards against service times reported by others that outweigh this instance's own measurements.
 */
static void test_own_latency_outweighs_reported(void)
{
	struct zone z = zone_create(2);
	unsigned i, n = 0;

	/* Without own measurements the reported time decides. */
	z.v->servers[0].reported_service_us = 40000;
	z.v->servers[1].reported_service_us = 10000;
	cs_policy_update(z.p, z.v, z.now);
	g_assert_cmpstr(cs_target_name(send_request(&z)), ==, "s-1");
	answer_requests(&z, 400);
	for (i = 0; i < 100; i++) {
		struct cs_target *t = send_request(&z);

		n += strcmp(cs_target_name(t), "s-0") == 0;
		z.now += 10 * MS;
		cs_policy_attempt_ended(z.p, t, FX_LOOKUPS, CS_OUTCOME_OK, 10 * MS, z.now);
	}
	g_assert_cmpuint(n, >=, 25);
	zone_destroy(&z);
}

/* Guards against a new server that gets its full share of requests at once. */
static void test_new_server_starts_slowly(void)
{
	struct zone z = zone_create(2);
	unsigned i, n_to_new = 0;

	answer_requests(&z, 60);
	fx_server(z.v, "s-2", "web", "z-0-0");
	cs_policy_update(z.p, z.v, z.now);
	for (i = 0; i < 21; i++)
		n_to_new += strcmp(cs_target_name(send_request(&z)), "s-2") == 0;
	g_assert_cmpuint(n_to_new, ==, 1);
	zone_destroy(&z);
}

/*
 * Guards against slow start for all servers after a proxy restart. The first view after a restart
 * may list no servers; if those of the next view counted as new, clients would be refused for
 * seconds.
 */
static void test_no_slow_start_after_proxy_restart(void)
{
	struct zone z = zone_create(0);
	unsigned i;

	z.now += 1 * S;
	cs_policy_update(z.p, z.v, z.now);
	for (i = 0; i < 2; i++)
		fx_server(z.v, i == 0 ? "s-0" : "s-1", "web", "z-0-0");
	cs_policy_update(z.p, z.v, z.now);
	/* 2 servers with 10 slots, of which 20% are kept as headroom. */
	for (i = 0; i < 16; i++)
		send_request(&z);
	zone_destroy(&z);
}

/*
 * Guards against requests to a server that announced it is draining, and against a draining state
 * that the server cannot take back.
 */
static void test_no_requests_to_draining_server(void)
{
	struct zone z = zone_create(2);
	struct cs_target *t = send_request(&z);
	unsigned i;

	cs_policy_server_state(z.p, t, CS_SERVER_DRAINING, z.now);
	for (i = 0; i < 10; i++)
		g_assert_true(send_request(&z) != t);
	/* The next view still lists the server as ready; then the server itself announces ready. */
	cs_policy_update(z.p, z.v, z.now);
	cs_policy_server_state(z.p, t, CS_SERVER_READY, z.now);
	g_assert_true(send_request(&z) == t);
	zone_destroy(&z);
}

/*
 * Guards against a state announced by a server that never expires although no health check confirms
 * it.
 */
static void test_announced_state_expires(void)
{
	struct zone z = zone_create(2);
	struct cs_target *t = send_request(&z);
	unsigned i;

	cs_policy_server_state(z.p, t, CS_SERVER_DRAINING, z.now);
	z.now += 4 * S;
	cs_policy_update(z.p, z.v, z.now);
	for (i = 0; i < 5; i++)
		g_assert_true(send_request(&z) != t);
	z.now += 2 * S;
	cs_policy_update(z.p, z.v, z.now);
	for (i = 0; i < 4 && send_request(&z) != t; i++)
		;
	g_assert_cmpuint(i, <, 4);
	zone_destroy(&z);
}

/* Guards against working servers that get no requests because their health checks fail. */
static void test_answers_override_failed_health_checks(void)
{
	struct zone z = zone_create(2);
	struct cs_decision d;
	struct cs_policy_request req;
	unsigned i;

	answer_requests(&z, 60);
	z.v->servers[0].state = z.v->servers[1].state = CS_SERVER_DOWN;
	cs_policy_update(z.p, z.v, z.now);
	for (i = 0; i < 10; i++) {
		answer_requests(&z, 1);
		z.now += S;
	}
	/* Without recent responses the health checks decide. */
	z.now += 5 * S;
	cs_policy_update(z.p, z.v, z.now);
	req = fx_request(FX_LOOKUPS, 1, z.now);
	cs_policy_decide(z.p, &req, z.now, &d);
	g_assert_cmpint(d.verdict, ==, CS_VERDICT_REFUSE);
	g_assert_cmpint(d.u.refuse.reason, ==, CS_REFUSAL_NO_SERVER);
	zone_destroy(&z);
}

/* Guards against ejection of more than a third of the servers under random errors and timeouts. */
static void test_ejects_at_most_a_third(void)
{
	struct zone z = zone_create(9);
	struct cs_rng rng;
	unsigned i;

	cs_rng_seed(&rng, 5);
	for (i = 0; i < 3000; i++) {
		struct cs_target *t = send_request(&z);
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
	g_test_add_func("/policy/choice/slow-servers-at-most-double-p99",
			test_slow_servers_at_most_double_p99);
	g_test_add_func("/policy/choice/hedges-within-budget", test_hedges_within_budget);
	g_test_add_func("/policy/choice/ejects-failing-server", test_ejects_failing_server);
	g_test_add_func("/policy/choice/ejects-stuck-server-while-requests-run",
			test_ejects_stuck_server_while_requests_run);
	g_test_add_func("/policy/choice/own-latency-outweighs-reported",
			test_own_latency_outweighs_reported);
	g_test_add_func("/policy/choice/new-server-starts-slowly", test_new_server_starts_slowly);
	g_test_add_func("/policy/choice/no-slow-start-after-proxy-restart",
			test_no_slow_start_after_proxy_restart);
	g_test_add_func("/policy/choice/no-requests-to-draining-server",
			test_no_requests_to_draining_server);
	g_test_add_func("/policy/choice/announced-state-expires", test_announced_state_expires);
	g_test_add_func("/policy/choice/answers-override-failed-health-checks",
			test_answers_override_failed_health_checks);
	g_test_add_func("/policy/choice/ejects-at-most-a-third", test_ejects_at_most_a_third);
	return g_test_run();
}
