/* stats: service-level counters of each class, kept by name across configurations. */
#ifndef PROXYD_STATS_H
#define PROXYD_STATS_H

#include "model/model.h"
#include "policy/policy.h"

#define REFUSALS 6

struct class_stats {
	TAILQ_ENTRY(class_stats) entry;
	char name[CS_NAME_MAX];
	uint64_t *requests; /* all that passed the input checks */
	uint64_t *ok; /* whole answers with a status below 500 */
	uint64_t *in_target; /* of ok, within the latency target */
	uint64_t *failed; /* 5xx, lost, deadline passed, truncated */
	uint64_t *cancelled; /* the caller left first */
	uint64_t *bad; /* 4xx by the proxy itself */
	uint64_t *refused[REFUSALS];
	uint64_t *attempts, *retries, *hedges, *hops;
	uint64_t *body_in, *body_out;
	struct cs_hist *latency;
	int64_t *target_ms;
};

struct stats {
	struct cs_metrics *metrics;
	TAILQ_HEAD(, class_stats) classes;
	struct class_stats **by_index; /* of the configuration in force */
	unsigned n;
	uint64_t *connections, *bad_input, *joined, *truncated;
	int64_t *open_connections, *in_flight, *outcomes, *outcome_bytes, *ready, *revision;
};

void stats_init(struct stats *s);
void stats_free(struct stats *s);
/* Points by_index at the classes of a configuration. */
void stats_config(struct stats *s, const struct cs_config *cfg);

#endif
