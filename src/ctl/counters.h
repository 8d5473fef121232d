/* Request counters of the proxies: samples, increases between samples, and sums. */
#ifndef CS_CTL_COUNTERS_H
#define CS_CTL_COUNTERS_H

#include "src/ctl/fleet.h"

/* Counters of one class at one instance. */
struct counters {
	char class[CS_NAME_MAX];
	char instance[CS_NAME_MAX];
	char zone[CS_NAME_MAX];
	uint64_t requests; /* passed validation */
	uint64_t ok; /* complete responses with a status below 500 */
	uint64_t within; /* part of ok within the latency target */
	uint64_t refused; /* not executed */
	uint64_t failed;
	uint64_t p50_us, p99_us; /* since the process started */
};

/* The counters of all instances at one time. */
struct sample {
	int64_t wall_ms;
	struct counters *rows; /* sorted by class, instance */
	unsigned n;
};

/* Adds the rows of one instance from its metrics; call sample_sort after the last one. */
void sample_add_text(struct sample *s, const char *instance, const char *zone, const char *text);
/* Sorts the rows, as sample_find requires. */
void sample_sort(struct sample *s);
/* Builds a sample of all instances; the fleet must have been queried with FLEET_METRICS. */
void sample_collect(struct sample *s, const struct ctl_fleet *fleet);
void sample_free(struct sample *s);
/* Row of a class at an instance; NULL if there is none. */
const struct counters *sample_find(const struct sample *s, const char *class, const char *instance);
/*
 * Increase of one row since an earlier sample. Without an earlier row, or if a counter decreased
 * because the process restarted, the full counts of the later row.
 */
struct counters counters_since(const struct counters *later, const struct sample *earlier);
/* Adds the counts of b to a; latency quantiles become the larger of both. */
void counters_add(struct counters *a, const struct counters *b);
/*
 * Increase of a class over all instances or, if zone is not NULL, those of the zone. earlier NULL:
 * since the processes started.
 */
struct counters sample_sum(const struct sample *later, const struct sample *earlier,
			   const char *class, const char *zone);

#endif
