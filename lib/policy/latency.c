/*
 * Evidence on the speed of each target. An attempt is late if it takes longer than the class's 90th
 * percentile, so that classes with widely spread latencies and all classes of a service count
 * alike; it counts as soon as it is late, before it ends. First-hand evidence decides; a reported
 * service time is used only before there is any.
 */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "policy/internal.h"

/*
 * Cumulative sum of log-likelihood ratios of "slowed" against "usual": late is expected in 1 of 10
 * attempts at a usual server and in 8 of 10 at a slowed one.
 */
#define LATE_WEIGHT 2.08 /* ln(0.8 / 0.1) */
#define TIMELY_WEIGHT (-1.50) /* ln(0.2 / 0.9) */
#define DOUBT_MAX 11.0
/* A server that was idle is judged anew: its doubt halves in this time. */
#define FORGET_US (2.0 * CS_US_PER_S)

#define WEIGHT 0.05 /* of a sample in the mean, for servers that always differ */
#define RATIO_MAX 4.0
#define RATIO_MIN 0.25
#define HIST_HALF_US (10 * CS_US_PER_S)
#define QUANTILE_EVERY 32 /* samples between two looks at the quantiles */
#define QUANTILE_MIN 20 /* samples before the quantiles are used */

uint64_t latency_late_us(const struct cls *c)
{
	if (c->p90_us > 0)
		return c->p90_us;
	return c->conf.latency_target_ms > 0 ? c->conf.latency_target_ms * CS_US_PER_MS
					     : CS_US_PER_S;
}

static void doubt_add(struct cs_target *t, double weight, uint64_t now_us)
{
	if (t->doubt > 0 && now_us > t->doubt_us)
		t->doubt *= exp2(-(double)(now_us - t->doubt_us) / FORGET_US);
	t->doubt += weight;
	if (t->doubt < 0)
		t->doubt = 0;
	if (t->doubt > DOUBT_MAX)
		t->doubt = DOUBT_MAX;
	t->doubt_us = now_us;
}

double latency_doubt(struct cs_target *t, uint64_t now_us)
{
	unsigned i;

	/* Flights are in order of their start: the first one that is not late ends the search. */
	for (i = t->n_late; i < t->n_flights; i++) {
		struct flight *f = &t->flights[i];

		if (now_us < f->start_us + latency_late_us(f->cls))
			break;
		f->late = true;
		t->n_late++;
		doubt_add(t, LATE_WEIGHT, now_us);
	}
	return t->doubt;
}

double latency_cost(struct cs_target *t, uint64_t now_us)
{
	double mean = t->samples > 0 ? t->mean : t->reported;

	return mean * (1 + latency_doubt(t, now_us));
}

void latency_reset(struct cs_target *t, double doubt, uint64_t now_us)
{
	t->doubt = doubt;
	t->doubt_us = now_us;
}

static void class_sample(struct cls *c, uint64_t latency_us, uint64_t now_us)
{
	if (now_us - c->hist_us > HIST_HALF_US) {
		cs_hist_decay(&c->hist);
		c->good /= 2;
		c->bad /= 2;
		c->hist_us = now_us;
	}
	cs_hist_add(&c->hist, latency_us);
	if (latency_us <= c->conf.latency_target_ms * CS_US_PER_MS)
		c->good++;
	else
		c->bad++;
	if (c->quantile_count > 0) {
		c->quantile_count--;
		return;
	}
	if (c->hist.count < QUANTILE_MIN)
		return;
	c->quantile_count = QUANTILE_EVERY;
	c->p50_us = cs_hist_quantile(&c->hist, 0.5) + 1;
	c->p90_us = cs_hist_quantile(&c->hist, 0.9) + 1;
	c->p95_us = cs_hist_quantile(&c->hist, 0.95) + 1;
	c->p98_us = cs_hist_quantile(&c->hist, 0.98) + 1;
}

/* Mean ratio of a target's latencies to the usual one of their classes. */
static void mean_sample(struct cs_target *t, const struct cls *c, uint64_t latency_us)
{
	double ratio;

	if (c->p50_us == 0)
		return;
	ratio = (double)latency_us / (double)c->p50_us;
	if (ratio > RATIO_MAX)
		ratio = RATIO_MAX;
	if (ratio < RATIO_MIN)
		ratio = RATIO_MIN;
	t->mean += WEIGHT * (ratio - t->mean);
	t->samples++;
}

bool latency_sample(struct cs_target *t, const struct flight *f, enum cs_outcome outcome,
		    uint64_t latency_us, uint64_t now_us)
{
	struct cls *c = f->cls;
	bool late = f->late || latency_us > latency_late_us(c);
	double *mean = &t->svc->service_us[c->pool];

	if (outcome == CS_OUTCOME_OK) {
		class_sample(c, latency_us, now_us);
		*mean += (*mean == 0 ? 1.0 : 0.05) * ((double)latency_us - *mean);
		mean_sample(t, c, latency_us);
	}
	if (late && !f->late)
		doubt_add(t, LATE_WEIGHT, now_us);
	/* Errors and refusals may come fast and say nothing about the time of an answer. */
	if (!late && outcome == CS_OUTCOME_OK)
		doubt_add(t, TIMELY_WEIGHT, now_us);
	return late;
}

static int cmp_unsigned(const void *a, const void *b)
{
	unsigned x = *(const unsigned *)a, y = *(const unsigned *)b;

	return x < y ? -1 : x > y;
}

/* One service's reported times relative to their median. */
static void report_service(struct svc *s, unsigned *us)
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
		t->reported = r > RATIO_MAX ? RATIO_MAX : r < RATIO_MIN ? RATIO_MIN : r;
	}
}

void latency_report(struct cs_policy *p)
{
	unsigned *us = cs_xcalloc(p->n_targets, sizeof(*us));
	struct svc *s;

	TAILQ_FOREACH(s, &p->svcs, entry)
		report_service(s, us);
	free(us);
}
