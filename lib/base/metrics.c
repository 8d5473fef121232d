/* Counters, gauges and histograms of a process in the Prometheus text format. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/base.h"

enum metric_kind { METRIC_COUNTER, METRIC_GAUGE, METRIC_HIST };

struct metric {
	TAILQ_ENTRY(metric) entry;
	enum metric_kind kind;
	char *name;
	char *labels;
	char *help;
	union {
		uint64_t counter;
		int64_t gauge;
		struct cs_hist *hist;
	} value;
};

struct cs_metrics {
	TAILQ_HEAD(, metric) list;
};

static const double quantiles[] = {0.5, 0.9, 0.99, 0.999};

/* Index of the bucket of a duration; values below 16 us have a bucket each. */
static unsigned bucket_index(uint64_t us)
{
	unsigned power, i;

	if (us < CS_HIST_STEPS)
		return (unsigned)us;
	power = 63 - (unsigned)__builtin_clzll(us);
	i = (power - 3) * CS_HIST_STEPS + (unsigned)((us >> (power - 4)) & (CS_HIST_STEPS - 1));
	if (i >= CS_HIST_POWERS * CS_HIST_STEPS)
		i = CS_HIST_POWERS * CS_HIST_STEPS - 1;
	return i;
}

/* Largest duration that falls into a bucket. */
static uint64_t bucket_max(unsigned i)
{
	unsigned power;

	if (i < CS_HIST_STEPS)
		return i;
	power = i / CS_HIST_STEPS + 3;
	return ((uint64_t)(CS_HIST_STEPS + i % CS_HIST_STEPS + 1) << (power - 4)) - 1;
}

void cs_hist_add(struct cs_hist *h, uint64_t us)
{
	h->count++;
	h->sum_us += us;
	h->bucket[bucket_index(us)]++;
}

uint64_t cs_hist_quantile(const struct cs_hist *h, double q)
{
	uint64_t rank = (uint64_t)(q * (double)h->count), seen = 0;
	unsigned i;

	if (h->count == 0)
		return 0;
	if (rank >= h->count)
		rank = h->count - 1;
	for (i = 0; i < CS_HIST_POWERS * CS_HIST_STEPS; i++) {
		seen += h->bucket[i];
		if (seen > rank)
			return bucket_max(i);
	}
	return bucket_max(CS_HIST_POWERS * CS_HIST_STEPS - 1);
}

uint64_t cs_hist_count_at_most(const struct cs_hist *h, uint64_t us)
{
	uint64_t n = 0;
	unsigned i;

	for (i = 0; i < CS_HIST_POWERS * CS_HIST_STEPS && bucket_max(i) <= us; i++)
		n += h->bucket[i];
	return n;
}

void cs_hist_merge(struct cs_hist *to, const struct cs_hist *from)
{
	unsigned i;

	to->count += from->count;
	to->sum_us += from->sum_us;
	for (i = 0; i < CS_HIST_POWERS * CS_HIST_STEPS; i++)
		to->bucket[i] += from->bucket[i];
}

void cs_hist_decay(struct cs_hist *h)
{
	unsigned i;

	h->count = 0;
	h->sum_us /= 2;
	for (i = 0; i < CS_HIST_POWERS * CS_HIST_STEPS; i++) {
		h->bucket[i] /= 2;
		h->count += h->bucket[i];
	}
}

void cs_hist_clear(struct cs_hist *h)
{
	memset(h, 0, sizeof(*h));
}

struct cs_metrics *cs_metrics_create(void)
{
	struct cs_metrics *m = cs_xcalloc(1, sizeof(*m));

	TAILQ_INIT(&m->list);
	return m;
}

void cs_metrics_destroy(struct cs_metrics *m)
{
	struct metric *v;

	if (m == NULL)
		return;
	while ((v = TAILQ_FIRST(&m->list)) != NULL) {
		TAILQ_REMOVE(&m->list, v, entry);
		if (v->kind == METRIC_HIST)
			free(v->value.hist);
		free(v->name);
		free(v->labels);
		free(v->help);
		free(v);
	}
	free(m);
}

/* Finds or adds a metric. Metrics of the same name are adjacent, as the text format requires. */
static struct metric *metric_get_or_create(struct cs_metrics *m, enum metric_kind kind,
					   const char *name, const char *labels, const char *help)
{
	struct metric *v, *last = NULL;

	TAILQ_FOREACH(v, &m->list, entry) {
		if (strcmp(v->name, name) != 0)
			continue;
		if (strcmp(v->labels, labels) == 0)
			return v;
		last = v;
	}
	v = cs_xcalloc(1, sizeof(*v));
	v->kind = kind;
	v->name = cs_xstrdup(name);
	v->labels = cs_xstrdup(labels);
	v->help = cs_xstrdup(help);
	if (kind == METRIC_HIST)
		v->value.hist = cs_xcalloc(1, sizeof(*v->value.hist));
	if (last != NULL)
		TAILQ_INSERT_AFTER(&m->list, last, v, entry);
	else
		TAILQ_INSERT_TAIL(&m->list, v, entry);
	return v;
}

uint64_t *cs_metrics_counter(struct cs_metrics *m, const char *name, const char *labels,
			     const char *help)
{
	return &metric_get_or_create(m, METRIC_COUNTER, name, labels, help)->value.counter;
}

int64_t *cs_metrics_gauge(struct cs_metrics *m, const char *name, const char *labels,
			  const char *help)
{
	return &metric_get_or_create(m, METRIC_GAUGE, name, labels, help)->value.gauge;
}

struct cs_hist *cs_metrics_hist(struct cs_metrics *m, const char *name, const char *labels,
				const char *help)
{
	return metric_get_or_create(m, METRIC_HIST, name, labels, help)->value.hist;
}

/* Writes a histogram as a summary: quantiles, sum and count. */
static void print_hist(FILE *f, const struct metric *v)
{
	const char *sep = *v->labels ? "," : "";
	const struct cs_hist *h = v->value.hist;
	size_t i;

	for (i = 0; i < sizeof(quantiles) / sizeof(quantiles[0]); i++)
		fprintf(f, "%s{%s%squantile=\"%g\"} %" PRIu64 "\n", v->name, v->labels, sep,
			quantiles[i], cs_hist_quantile(h, quantiles[i]));
	if (*v->labels) {
		fprintf(f, "%s_sum{%s} %" PRIu64 "\n", v->name, v->labels, h->sum_us);
		fprintf(f, "%s_count{%s} %" PRIu64 "\n", v->name, v->labels, h->count);
	} else {
		fprintf(f, "%s_sum %" PRIu64 "\n", v->name, h->sum_us);
		fprintf(f, "%s_count %" PRIu64 "\n", v->name, h->count);
	}
}

static void print_metric(FILE *f, const struct metric *v)
{
	const char *open = *v->labels ? "{" : "", *end = *v->labels ? "}" : "";

	switch (v->kind) {
	case METRIC_COUNTER:
		fprintf(f, "%s%s%s%s %" PRIu64 "\n", v->name, open, v->labels, end,
			v->value.counter);
		break;
	case METRIC_GAUGE:
		fprintf(f, "%s%s%s%s %" PRId64 "\n", v->name, open, v->labels, end, v->value.gauge);
		break;
	case METRIC_HIST:
		print_hist(f, v);
		break;
	}
}

char *cs_metrics_text(const struct cs_metrics *m)
{
	static const char *const kinds[] = {"counter", "gauge", "summary"};
	const struct metric *v;
	const char *last = "";
	char *text = NULL;
	size_t size = 0;
	FILE *f = open_memstream(&text, &size);

	if (f == NULL)
		return cs_xstrdup("");
	TAILQ_FOREACH(v, &m->list, entry) {
		if (strcmp(last, v->name) != 0) {
			fprintf(f, "# HELP %s %s\n", v->name, v->help);
			fprintf(f, "# TYPE %s %s\n", v->name, kinds[v->kind]);
			last = v->name;
		}
		print_metric(f, v);
	}
	fclose(f);
	return text;
}
