/* Event simulation of the proxies and servers of one zone around lib/policy. */
#ifndef CS_TESTS_POLICY_SIM_H
#define CS_TESTS_POLICY_SIM_H

#include "tests/unit/policy-fixture.h"

#define SIM_SERVERS 64
#define SIM_INSTANCES 4

/* What a run does; times in us. */
struct sim_spec {
	uint64_t seed;
	enum cs_choice choice;
	enum cs_backoff_mode backoff;
	unsigned instances, servers, slots;
	double load; /* requests offered per slot and mean service time */
	uint64_t service_us; /* mean; drawn evenly between a half and three halves of it */
	bool exponential; /* drawn from an exponential distribution instead */
	double straggler_part; /* of the requests take straggler_factor times as long */
	double straggler_factor;
	double slow_part; /* of the servers is slowed by slow_factor, drawn anew each slow_us */
	double slow_factor;
	uint64_t slow_us;
	uint64_t duration_us;
	bool hedge;
	unsigned class_index; /* of all requests, or of the second half if both is set */
	bool both; /* half of the requests are lookups */
	uint64_t down_from_us, down_until_us; /* all servers refuse as not ready */
	unsigned errors_server; /* 1 + index of a server that answers errors at once; 0: none */
	bool no_queue; /* requests that would wait are refused */
};

struct sim_result {
	struct cs_hist latency; /* of answered requests, with their waits */
	struct cs_hist latency_first; /* of lookups if both is set */
	unsigned requests, answered, in_time, refused, hedges, retries, errors;
	unsigned slow_sent; /* attempts sent to a slowed server */
	unsigned over; /* attempts over the slots of a server */
	unsigned unavailable_tries; /* attempts at servers that refused */
	double ejected_most; /* largest part of ejected servers seen */
};

void sim_run(const struct sim_spec *spec, struct sim_result *res);

#endif
