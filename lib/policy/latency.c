/*
 * Latency of each target relative to the usual latency of the request's class, so that all classes
 * of a service give evidence on a server. First-hand samples count; a reported service time is used
 * only before there are any.
 */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "policy/internal.h"

#define WEIGHT 0.3 /* of a new sample: about three show a slowed server */
#define WEIGHT_BULK 0.1 /* bulk latency depends on the body and the caller */
#define RATIO_MAX 10.0
#define RATIO_MIN 0.1
#define FORGET_US (2.0 * CS_US_PER_S) /* time constant of the return to the usual latency */
#define OVERDUE 2.0 /* ratio from which a running request counts as evidence */
#define HIST_HALF_US (10 * CS_US_PER_S)
#define QUANTILE_EVERY 32 /* samples between two looks at the quantiles */
#define QUANTILE_MIN 20 /* samples before the quantiles are used */

double latency_ratio(const struct cs_target *t, uint64_t now_us)
{
	double r = t->samples > 0 ? t->slow : t->reported;
	const struct flight *f;
	uint64_t since;

	if (t->samples > 0 && now_us > t->slow_us && fabs(r - 1) > 0.1)
		r = 1 + (r - 1) * exp(-(double)(now_us - t->slow_us) / FORGET_US);
	if (t->n_flights == 0)
		return r;
	/* A request that started before a usual completion is a straggler, not a slow server. */
	f = &t->flights[0];
	since = f->start_us > t->fast_us ? f->start_us : t->fast_us;
	if (f->pool == POOL_SMALL && now_us > since) {
		double live = (double)(now_us - since) / (double)latency_usual_us(f->cls);

		if (live > OVERDUE && live > r)
			r = live < RATIO_MAX ? live : RATIO_MAX;
	}
	return r;
}

uint64_t latency_usual_us(const struct cls *c)
{
	if (c->p50_us > 0)
		return c->p50_us;
	return c->conf.latency_target_ms > 0 ? c->conf.latency_target_ms * CS_US_PER_MS / 2
					     : CS_US_PER_S;
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
	c->p50_us = cs_hist_quantile(&c->hist, 0.5);
	c->p95_us = cs_hist_quantile(&c->hist, 0.95);
	if (c->p50_us == 0)
		c->p50_us = 1;
}

void latency_sample(struct cs_target *t, struct cls *c, enum cs_outcome outcome,
		    uint64_t latency_us, uint64_t now_us)
{
	double ratio = (double)latency_us / (double)latency_usual_us(c), old, w;
	struct svc *s = t->svc;

	/* Errors and refusals may come fast and say nothing about the time of an answer. */
	if (outcome != CS_OUTCOME_OK && outcome != CS_OUTCOME_TIMEOUT &&
	    outcome != CS_OUTCOME_CANCELLED)
		return;
	if (ratio > RATIO_MAX)
		ratio = RATIO_MAX;
	if (ratio < RATIO_MIN)
		ratio = RATIO_MIN;
	old = latency_ratio(t, now_us);
	/* A cancelled attempt only shows that the answer takes at least this long. */
	if (outcome == CS_OUTCOME_CANCELLED && ratio <= old)
		return;
	if (outcome == CS_OUTCOME_OK) {
		class_sample(c, latency_us, now_us);
		s->service_us[c->pool] += (s->service_us[c->pool] == 0 ? 1.0 : 0.05) *
					  ((double)latency_us - s->service_us[c->pool]);
		if (ratio <= OVERDUE)
			t->fast_us = now_us;
	}
	w = t->samples == 0 ? 1.0 : c->pool == POOL_BULK ? WEIGHT_BULK : WEIGHT;
	t->slow = old + w * (ratio - old);
	t->slow_us = now_us;
	t->samples++;
}

static int cmp_unsigned(const void *a, const void *b)
{
	unsigned x = *(const unsigned *)a, y = *(const unsigned *)b;

	return x < y ? -1 : x > y;
}

void latency_report(struct cs_policy *p, struct svc *s, const struct cs_view *v)
{
	struct cs_target *t;
	unsigned *us = cs_xcalloc(v->n_servers, sizeof(*us)), n = 0, i, median;

	for (i = 0; i < v->n_servers; i++)
		if (v->servers[i].reported_us > 0 && strcmp(v->servers[i].service, s->name) == 0 &&
		    strcmp(v->servers[i].zone, p->opts.zone) == 0)
			us[n++] = v->servers[i].reported_us;
	qsort(us, n, sizeof(*us), cmp_unsigned);
	median = n > 0 ? us[n / 2] : 0;
	free(us);
	for (i = 0; median > 0 && i < v->n_servers; i++) {
		double r = (double)v->servers[i].reported_us / median;

		if (v->servers[i].reported_us == 0)
			continue;
		t = target_find(p, v->servers[i].name);
		if (t != NULL && t->svc == s)
			t->reported = r > RATIO_MAX ? RATIO_MAX : r < RATIO_MIN ? RATIO_MIN : r;
	}
}
