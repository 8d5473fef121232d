/*
 * Detection of slow targets. An attempt is late if it takes longer than the class's 90th
 * percentile, so that all classes of a service count alike whatever the spread of their latencies.
 * It counts as soon as it is late, before it ends. The service time that a server reports is used
 * only until latencies have been measured.
 */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "policy/internal.h"

/*
 * CUSUM test: cumulative sum of the log-likelihood ratios of "slow" to "normal", with 1 of 10
 * attempts late at a normal server and 8 of 10 at a slow one.
 */
#define LATE_WEIGHT 2.08 /* ln(0.8 / 0.1) */
#define TIMELY_WEIGHT (-1.50) /* ln(0.2 / 0.9) */
#define CUSUM_MAX 11.0
/* Old evidence decays, so that an idle server is tried again. */
#define CUSUM_HALF_LIFE_US (2.0 * CS_US_PER_S)

#define RATIO_EWMA_WEIGHT 0.05 /* slow average: for lasting differences between servers */
#define SERVICE_TIME_EWMA_WEIGHT 0.05
#define RATIO_MAX 4.0
#define RATIO_MIN 0.25
#define HIST_HALVING_INTERVAL_US (10 * CS_US_PER_S)
#define QUANTILE_INTERVAL_SAMPLES 32
#define QUANTILE_MIN_SAMPLES 20

uint64_t latency_late_threshold_us(const struct cls *c)
{
	if (c->p90_us > 0)
		return c->p90_us;
	return c->conf.latency_target_ms > 0 ? c->conf.latency_target_ms * CS_US_PER_MS
					     : CS_US_PER_S;
}

static void cusum_add(struct cs_target *t, double weight, uint64_t now_us)
{
	if (t->cusum > 0 && now_us > t->cusum_us)
		t->cusum *= exp2(-(double)(now_us - t->cusum_us) / CUSUM_HALF_LIFE_US);
	t->cusum += weight;
	if (t->cusum < 0)
		t->cusum = 0;
	if (t->cusum > CUSUM_MAX)
		t->cusum = CUSUM_MAX;
	t->cusum_us = now_us;
}

double latency_cusum(struct cs_target *t, uint64_t now_us)
{
	unsigned i;

	/* Attempts are in order of their start: stop at the first one that is not late. */
	for (i = t->n_late; i < t->n_attempts; i++) {
		struct attempt *a = &t->attempts[i];

		if (now_us < a->start_us + latency_late_threshold_us(a->cls))
			break;
		a->late = true;
		t->n_late++;
		cusum_add(t, LATE_WEIGHT, now_us);
	}
	return t->cusum;
}

double latency_cost(struct cs_target *t, uint64_t now_us)
{
	double mean = t->samples > 0 ? t->latency_ratio : t->reported_ratio;

	return mean * (1 + latency_cusum(t, now_us));
}

void latency_cusum_set(struct cs_target *t, double cusum, uint64_t now_us)
{
	t->cusum = cusum;
	t->cusum_us = now_us;
}

static void class_latency_add(struct cls *c, uint64_t latency_us, uint64_t now_us)
{
	if (now_us - c->hist_us > HIST_HALVING_INTERVAL_US) {
		cs_hist_decay(&c->hist);
		c->n_in_target /= 2;
		c->n_over_target /= 2;
		c->hist_us = now_us;
	}
	cs_hist_add(&c->hist, latency_us);
	if (latency_us <= c->conf.latency_target_ms * CS_US_PER_MS)
		c->n_in_target++;
	else
		c->n_over_target++;
	if (c->quantile_countdown > 0) {
		c->quantile_countdown--;
		return;
	}
	if (c->hist.count < QUANTILE_MIN_SAMPLES)
		return;
	c->quantile_countdown = QUANTILE_INTERVAL_SAMPLES;
	c->p50_us = cs_hist_quantile(&c->hist, 0.5) + 1;
	c->p90_us = cs_hist_quantile(&c->hist, 0.9) + 1;
	c->p95_us = cs_hist_quantile(&c->hist, 0.95) + 1;
	c->p98_us = cs_hist_quantile(&c->hist, 0.98) + 1;
}

/* Updates the average ratio of a target's latencies to the median of their classes. */
static void latency_ratio_add(struct cs_target *t, const struct cls *c, uint64_t latency_us)
{
	double ratio;

	if (c->p50_us == 0)
		return;
	ratio = (double)latency_us / (double)c->p50_us;
	if (ratio > RATIO_MAX)
		ratio = RATIO_MAX;
	if (ratio < RATIO_MIN)
		ratio = RATIO_MIN;
	t->latency_ratio += RATIO_EWMA_WEIGHT * (ratio - t->latency_ratio);
	t->samples++;
}

bool latency_attempt_ended(struct cs_target *t, const struct attempt *a, enum cs_outcome outcome,
			   uint64_t latency_us, uint64_t now_us)
{
	struct cls *c = a->cls;
	bool late = a->late || latency_us > latency_late_threshold_us(c);
	double *mean = &t->svc->service_us[c->pool];

	if (outcome == CS_OUTCOME_OK) {
		class_latency_add(c, latency_us, now_us);
		*mean += (*mean == 0 ? 1.0 : SERVICE_TIME_EWMA_WEIGHT) *
			 ((double)latency_us - *mean);
		latency_ratio_add(t, c, latency_us);
	}
	if (late && !a->late)
		cusum_add(t, LATE_WEIGHT, now_us);
	/* Errors and refusals may be fast and say nothing about the latency of a response. */
	if (!late && outcome == CS_OUTCOME_OK)
		cusum_add(t, TIMELY_WEIGHT, now_us);
	return late;
}

static int cmp_unsigned(const void *a, const void *b)
{
	unsigned x = *(const unsigned *)a, y = *(const unsigned *)b;

	return x < y ? -1 : x > y;
}

/* Sets the ratio of each reported service time to the median of the service. */
static void reported_ratios_update(struct svc *s, unsigned *us)
{
	struct cs_target *t;
	unsigned n = 0, median;
	double r;

	TAILQ_FOREACH(t, &s->targets, in_svc)
		if (t->listed && t->reported_us > 0)
			us[n++] = t->reported_us;
	if (n == 0)
		return;
	qsort(us, n, sizeof(*us), cmp_unsigned);
	median = us[n / 2];
	TAILQ_FOREACH(t, &s->targets, in_svc) {
		if (t->reported_us == 0)
			continue;
		r = (double)t->reported_us / median;
		t->reported_ratio = r > RATIO_MAX ? RATIO_MAX : r < RATIO_MIN ? RATIO_MIN : r;
	}
}

void latency_reported_update(struct cs_policy *p)
{
	unsigned *us = cs_xcalloc(p->n_targets, sizeof(*us));
	struct svc *s;

	TAILQ_FOREACH(s, &p->svcs, entry)
		reported_ratios_update(s, us);
	free(us);
}
