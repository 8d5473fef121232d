/* Discrete-event simulation of one zone's proxies and servers, with decisions by lib/policy. */
#ifndef CS_TESTS_POLICY_SIM_H
#define CS_TESTS_POLICY_SIM_H

#include "tests/unit/policy-fixture.h"

#define SIM_SERVERS 64
#define SIM_INSTANCES 4

/* Parameters of a run; times in us. */
struct sim_spec {
	uint64_t seed;
	enum cs_choice choice;
	enum cs_backoff_mode backoff;
	unsigned instances, servers, slots;
	double load; /* offered load as a fraction of the capacity of all slots */
	uint64_t service_us; /* mean; uniform between 0.5 and 1.5 times the mean */
	bool exponential; /* service times are exponential instead */
	double straggler_fraction; /* of the requests; each takes straggler_factor times the mean */
	double straggler_factor;
	double slow_fraction; /* of the servers; slowed by slow_factor, chosen anew every slow_us */
	double slow_factor;
	uint64_t slow_us;
	uint64_t duration_us;
	bool hedge;
	unsigned class_index; /* of all requests, or of the other half with half_lookups */
	bool half_lookups; /* half of the requests are lookups */
	uint64_t down_from_us, down_until_us; /* all servers refuse as not ready */
	unsigned failing_server; /* 1 + index; it responds with errors after 1 ms; 0: none */
	bool no_queue; /* requests that would wait are refused */
};

struct sim_result {
	struct cs_hist latency; /* of answered requests, including their time in the queue */
	struct cs_hist latency_lookups; /* of answered lookups */
	unsigned requests, answered, in_target, refused, hedges, retries, errors;
	unsigned slow_attempts; /* attempts sent to a slowed server */
	unsigned over_slots; /* attempts started beyond a server's slots */
	unsigned refused_attempts; /* attempts refused by servers that were not ready */
	double ejected_fraction_max; /* largest fraction of servers ejected at once */
};

void sim_run(const struct sim_spec *spec, struct sim_result *res);

#endif
