/* Service-level metrics per class. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "src/proxyd/stats.h"

void stats_init(struct stats *s)
{
	struct cs_metrics *m = cs_metrics_create();

	*s = (struct stats){.metrics = m};
	TAILQ_INIT(&s->classes);
	s->connections = cs_metrics_counter(m, "cassia_proxy_connections_total", "",
					    "Connections accepted from callers");
	s->bad_input = cs_metrics_counter(m, "cassia_proxy_bad_input_total", "",
					  "Requests refused before their class was known");
	s->joined = cs_metrics_counter(m, "cassia_proxy_repeats_total", "",
				       "Repeats of a request id that joined or got the outcome");
	s->truncated = cs_metrics_counter(m, "cassia_proxy_truncated_total", "",
					  "Answers cut because the server's answer was cut");
	s->open_connections = cs_metrics_gauge(m, "cassia_proxy_open_connections", "",
					       "Open connections of callers");
	s->in_flight = cs_metrics_gauge(m, "cassia_proxy_in_flight", "", "Requests in the proxy");
	s->outcomes = cs_metrics_gauge(m, "cassia_proxy_outcomes", "", "Outcomes kept by id");
	s->outcome_bytes = cs_metrics_gauge(m, "cassia_proxy_outcome_bytes", "",
					    "Bytes of answers kept by id");
	s->ready = cs_metrics_gauge(m, "cassia_proxy_ready", "", "1 while new work is welcome");
	s->revision = cs_metrics_gauge(m, "cassia_proxy_config_revision", "",
				       "Configuration revision in force");
}

void stats_free(struct stats *s)
{
	struct class_stats *c;

	while ((c = TAILQ_FIRST(&s->classes)) != NULL) {
		TAILQ_REMOVE(&s->classes, c, entry);
		free(c);
	}
	free(s->by_index);
	cs_metrics_destroy(s->metrics);
}

/* Registers the metrics of one class. */
static struct class_stats *class_create(struct stats *s, const char *name)
{
	struct class_stats *c = cs_xcalloc(1, sizeof(*c));
	struct cs_metrics *m = s->metrics;
	char l[CS_NAME_MAX * 2 + 32];
	unsigned i;

	cs_copy(c->name, sizeof(c->name), name);
	snprintf(l, sizeof(l), "class=\"%s\"", name);
	c->requests = cs_metrics_counter(m, "cassia_proxy_requests_total", l,
					 "Requests that passed the input checks");
	c->ok = cs_metrics_counter(m, "cassia_proxy_ok_total", l,
				   "Whole answers with a status below 500");
	c->in_target = cs_metrics_counter(m, "cassia_proxy_in_target_total", l,
					  "Of ok, answered within the latency target");
	c->failed = cs_metrics_counter(m, "cassia_proxy_failed_total", l,
				       "Status 5xx, lost, truncated or past the deadline");
	c->cancelled = cs_metrics_counter(m, "cassia_proxy_cancelled_total", l,
					  "The caller left before the answer was complete");
	c->rejected = cs_metrics_counter(m, "cassia_proxy_rejected_total", l,
					 "Status 4xx by the proxy itself");
	c->attempts = cs_metrics_counter(m, "cassia_proxy_attempts_total", l,
					 "Attempts at servers and other proxies");
	c->retries = cs_metrics_counter(m, "cassia_proxy_retries_total", l, "Further attempts");
	c->hedges = cs_metrics_counter(m, "cassia_proxy_hedges_total", l, "Hedged attempts");
	c->hops = cs_metrics_counter(m, "cassia_proxy_hops_total", l,
				     "Attempts at another zone's proxy");
	c->body_in = cs_metrics_counter(m, "cassia_proxy_body_in_bytes_total", l,
					"Body bytes from callers");
	c->body_out = cs_metrics_counter(m, "cassia_proxy_body_out_bytes_total", l,
					 "Body bytes to callers");
	c->latency = cs_metrics_hist(m, "cassia_proxy_latency_us", l,
				     "From the request's headers to the end of the answer");
	c->target_ms =
		cs_metrics_gauge(m, "cassia_proxy_latency_target_ms", l, "Latency target in force");
	for (i = 0; i < REFUSAL_REASONS; i++) {
		snprintf(l, sizeof(l), "class=\"%s\",reason=\"%s\"", name,
			 cs_refusal_name((enum cs_refusal)i));
		c->refused[i] = cs_metrics_counter(m, "cassia_proxy_refused_total", l,
						   "Refused as not run, by reason");
	}
	TAILQ_INSERT_TAIL(&s->classes, c, entry);
	return c;
}

void stats_config(struct stats *s, const struct cs_config *cfg)
{
	struct class_stats *c;
	unsigned i;

	s->by_index = cs_xrealloc(s->by_index, cfg->n_classes + 1, sizeof(struct class_stats *));
	s->n = cfg->n_classes;
	for (i = 0; i < cfg->n_classes; i++) {
		TAILQ_FOREACH(c, &s->classes, entry)
			if (strcmp(c->name, cfg->classes[i].name) == 0)
				break;
		if (c == NULL)
			c = class_create(s, cfg->classes[i].name);
		*c->target_ms = cfg->classes[i].latency_target_ms;
		s->by_index[i] = c;
	}
	*s->revision = (int64_t)cfg->revision;
}
