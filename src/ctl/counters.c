/* Parses the counters of the proxies and computes increases across process restarts. */
#include <stdlib.h>
#include <string.h>

#include "src/ctl/counters.h"

/* Metric of cassia-proxyd and the counter that it is added to. */
struct counter_metric {
	const char *name;
	const char *quantile; /* label value; NULL for a plain counter */
	size_t offset; /* in struct counters */
};

static const struct counter_metric counter_metrics[] = {
	{"cassia_proxy_requests_total", NULL, offsetof(struct counters, requests)},
	{"cassia_proxy_ok_total", NULL, offsetof(struct counters, ok)},
	{"cassia_proxy_in_target_total", NULL, offsetof(struct counters, within)},
	{"cassia_proxy_refused_total", NULL, offsetof(struct counters, refused)},
	{"cassia_proxy_failed_total", NULL, offsetof(struct counters, failed)},
	{"cassia_proxy_latency_us", "0.5", offsetof(struct counters, p50_us)},
	{"cassia_proxy_latency_us", "0.99", offsetof(struct counters, p99_us)},
};

/* Value of a label in "{a="x",b="y"}"; false if it is absent. */
static bool label_value(const char *labels, const char *key, char *out, size_t size)
{
	char pattern[32];
	const char *p, *end;
	size_t len;

	snprintf(pattern, sizeof(pattern), "%s=\"", key);
	p = strstr(labels, pattern);
	if (p == NULL)
		return false;
	p += strlen(pattern);
	end = strchr(p, '"');
	if (end == NULL)
		return false;
	len = (size_t)(end - p) < size - 1 ? (size_t)(end - p) : size - 1;
	memcpy(out, p, len);
	out[len] = '\0';
	return true;
}

/* Finds or adds the row of a class; the rows of the current instance begin at first. */
static struct counters *find_or_add_row(struct sample *s, unsigned first, const char *class,
					const char *instance, const char *zone)
{
	struct counters *c;
	unsigned i;

	for (i = first; i < s->n; i++) {
		if (strcmp(s->rows[i].class, class) == 0)
			return &s->rows[i];
	}
	s->rows = cs_xrealloc(s->rows, s->n + 1, sizeof(*s->rows));
	c = &s->rows[s->n++];
	memset(c, 0, sizeof(*c));
	cs_copy(c->class, sizeof(c->class), class);
	cs_copy(c->instance, sizeof(c->instance), instance);
	cs_copy(c->zone, sizeof(c->zone), zone);
	return c;
}

/* Adds the value of a line "NAME{LABELS} VALUE" if the metric is in the table. */
static void parse_line(struct sample *s, unsigned first, const char *instance, const char *zone,
		       const char *line)
{
	const char *open = strchr(line, '{'), *close = strrchr(line, '}');
	char class[CS_NAME_MAX], quantile[16];
	struct counters *row;
	uint64_t *counter;
	size_t i;

	if (open == NULL || close == NULL || !label_value(open, "class", class, sizeof(class)))
		return;
	for (i = 0; i < sizeof(counter_metrics) / sizeof(counter_metrics[0]); i++) {
		size_t len = strlen(counter_metrics[i].name);

		if ((size_t)(open - line) != len ||
		    strncmp(line, counter_metrics[i].name, len) != 0)
			continue;
		if (counter_metrics[i].quantile != NULL &&
		    (!label_value(open, "quantile", quantile, sizeof(quantile)) ||
		     strcmp(quantile, counter_metrics[i].quantile) != 0))
			continue;
		row = find_or_add_row(s, first, class, instance, zone);
		counter = (uint64_t *)(void *)((char *)row + counter_metrics[i].offset);
		*counter += g_ascii_strtoull(close + 1, NULL, 10);
	}
}

void sample_add_text(struct sample *s, const char *instance, const char *zone, const char *text)
{
	char **lines = g_strsplit(text, "\n", -1);
	unsigned first = s->n, i;

	for (i = 0; lines[i] != NULL; i++) {
		if (lines[i][0] != '#')
			parse_line(s, first, instance, zone, lines[i]);
	}
	g_strfreev(lines);
}

void sample_collect(struct sample *s, const struct ctl_fleet *fleet)
{
	unsigned i;

	memset(s, 0, sizeof(*s));
	s->wall_ms = cs_wall_ms();
	for (i = 0; i < fleet->n; i++) {
		const struct ctl_instance *in = &fleet->list[i];

		if (in->metrics != NULL)
			sample_add_text(s, in->name, in->zone, in->metrics);
	}
	sample_sort(s);
}

void sample_free(struct sample *s)
{
	free(s->rows);
	memset(s, 0, sizeof(*s));
}

static int compare_rows(const void *a, const void *b)
{
	const struct counters *x = a, *y = b;
	int d = strcmp(x->class, y->class);

	return d != 0 ? d : strcmp(x->instance, y->instance);
}

void sample_sort(struct sample *s)
{
	if (s->n > 0)
		qsort(s->rows, s->n, sizeof(*s->rows), compare_rows);
}

const struct counters *sample_find(const struct sample *s, const char *class, const char *instance)
{
	struct counters key = {0};

	if (s->n == 0)
		return NULL;
	cs_copy(key.class, sizeof(key.class), class);
	cs_copy(key.instance, sizeof(key.instance), instance);
	return bsearch(&key, s->rows, s->n, sizeof(*s->rows), compare_rows);
}

struct counters counters_since(const struct counters *later, const struct sample *earlier)
{
	const struct counters *e =
		earlier != NULL ? sample_find(earlier, later->class, later->instance) : NULL;
	struct counters d = *later;

	if (e == NULL || e->requests > later->requests || e->ok > later->ok ||
	    e->within > later->within || e->refused > later->refused || e->failed > later->failed)
		return d;
	d.requests -= e->requests;
	d.ok -= e->ok;
	d.within -= e->within;
	d.refused -= e->refused;
	d.failed -= e->failed;
	return d;
}

void counters_add(struct counters *a, const struct counters *b)
{
	a->requests += b->requests;
	a->ok += b->ok;
	a->within += b->within;
	a->refused += b->refused;
	a->failed += b->failed;
	/* Quantiles cannot be summed over processes; the largest is kept. */
	a->p50_us = b->p50_us > a->p50_us ? b->p50_us : a->p50_us;
	a->p99_us = b->p99_us > a->p99_us ? b->p99_us : a->p99_us;
}

struct counters sample_sum(const struct sample *later, const struct sample *earlier,
			   const char *class, const char *zone)
{
	struct counters sum = {0}, d;
	unsigned i;

	cs_copy(sum.class, sizeof(sum.class), class);
	for (i = 0; i < later->n; i++) {
		const struct counters *row = &later->rows[i];

		if (strcmp(row->class, class) != 0 ||
		    (zone != NULL && strcmp(row->zone, zone) != 0))
			continue;
		d = counters_since(row, earlier);
		counters_add(&sum, &d);
	}
	return sum;
}
