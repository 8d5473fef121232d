/* Service-level counters of the proxies: samples, differences, sums. */
#ifndef CS_CTL_COUNTERS_H
#define CS_CTL_COUNTERS_H

#include "src/ctl/fleet.h"

/* Counters of one class at one instance. */
struct counters {
	char class[CS_NAME_MAX];
	char instance[CS_NAME_MAX];
	char zone[CS_NAME_MAX];
	uint64_t requests; /* passed the input checks */
	uint64_t ok; /* whole answers below status 500 */
	uint64_t within; /* of ok, within the latency target */
	uint64_t refused; /* not run */
	uint64_t failed;
	uint64_t p50_us, p99_us; /* since the process started */
};

/* One reading of all instances. */
struct sample {
	int64_t wall_ms;
	struct counters *rows;
	unsigned n;
};

/* Reads the rows of one instance out of its metrics text; sort when all are read. */
void sample_add_text(struct sample *s, const char *instance, const char *zone, const char *text);
/* Orders the rows for sample_find. */
void sample_sort(struct sample *s);
/* Reads all instances; the fleet's metrics must have been asked for. */
void sample_take(struct sample *s, const struct ctl_fleet *fleet);
void sample_free(struct sample *s);
/* Row of a class at an instance, or NULL. */
const struct counters *sample_find(const struct sample *s, const char *class, const char *instance);
/*
 * Growth of one row since an earlier sample; without the earlier row, or when a counter fell
 * because the process restarted, the whole of the later one.
 */
struct counters counters_since(const struct counters *later, const struct sample *earlier);
/* Adds b's counts to a. */
void counters_add(struct counters *a, const struct counters *b);
/* Growth of a class over all instances, or those of one zone; earlier NULL: since the starts. */
struct counters sample_sum(const struct sample *later, const struct sample *earlier,
			   const char *class, const char *zone);

#endif
