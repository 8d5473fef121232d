/* Admin endpoints under /_cassia: health, readiness, metrics and state. */
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "src/proxyd/proxyd.h"

struct path {
	const char *name;
	void (*handle)(struct request *req);
};

static void handle_healthz(struct request *req);
static void handle_readyz(struct request *req);
static void handle_metrics(struct request *req);
static void handle_state(struct request *req);

static const struct path paths[] = {
	{"healthz", handle_healthz},
	{"readyz", handle_readyz},
	{"metrics", handle_metrics},
	{"v1/state", handle_state},
};

void admin_handle(struct request *req)
{
	const char *path = req->target + strlen("/_cassia");
	size_t len, i;

	req->result = RESULT_OK;
	path += *path == '/';
	len = strcspn(path, "?");
	if (strcmp(req->method, "GET") != 0 && strcmp(req->method, "HEAD") != 0) {
		reply_error(req, 405, "bad_method", RAN_NO, "admin paths take GET only", 0);
		return;
	}
	for (i = 0; i < sizeof(paths) / sizeof(paths[0]); i++) {
		if (strlen(paths[i].name) == len && strncmp(paths[i].name, path, len) == 0) {
			paths[i].handle(req);
			return;
		}
	}
	reply_error(req, 404, "unknown_path", RAN_NO, "no such admin path", 0);
}

static void handle_healthz(struct request *req)
{
	reply_text(req, 200, "text/plain", cs_xstrdup("ok\n"));
}

static void handle_readyz(struct request *req)
{
	struct proxyd *p = req->proxyd;

	if (p->stop != STOP_NO)
		reply_text(req, 503, "text/plain", cs_xstrdup("stopping\n"));
	else if (cs_policy_config(p->policy) == NULL)
		reply_text(req, 503, "text/plain", cs_xstrdup("no configuration\n"));
	else if (!view_ready(p))
		reply_text(req, 503, "text/plain", cs_xstrdup("no share of any server yet\n"));
	else
		reply_text(req, 200, "text/plain", cs_xstrdup("ready\n"));
}

static void handle_metrics(struct request *req)
{
	struct proxyd *p = req->proxyd;

	*p->stats.open_connections = cs_ingress_connections(p->ingress);
	*p->stats.in_flight = p->n_requests;
	*p->stats.outcomes = (int64_t)outcomes_count(p->outcomes);
	*p->stats.outcome_bytes = (int64_t)outcomes_bytes(p->outcomes);
	reply_text(req, 200, "text/plain; version=0.0.4", cs_metrics_text(p->stats.metrics));
}

/* Load of each service at this instance. */
static json_t *loads_json(struct proxyd *p)
{
	unsigned n = cs_policy_loads(p->policy, NULL, 0, cs_mono_us()), i;
	struct cs_policy_load *rows = cs_xcalloc(n + 1, sizeof(*rows));
	json_t *list = json_array();

	n = cs_policy_loads(p->policy, rows, n, cs_mono_us());
	for (i = 0; i < n; i++)
		json_array_append_new(
			list, json_pack("{s:s, s:i, s:i, s:i, s:i, s:i, s:b}", "service",
					rows[i].service, "capacity", rows[i].capacity, "in_flight",
					rows[i].in_flight, "waiting", rows[i].waiting, "foreign",
					rows[i].foreign, "service_us", rows[i].service_us,
					"out_of_target", rows[i].out_of_target));
	free(rows);
	return list;
}

/* Counters and policy state of each class. */
static json_t *classes_json(struct proxyd *p, const struct cs_config *cfg)
{
	json_t *list = json_array(), *policy;
	const struct class_stats *s;
	char *text;
	unsigned i;

	for (i = 0; cfg != NULL && i < cfg->n_classes; i++) {
		s = p->stats.by_index[i];
		text = cs_policy_explain(p->policy, i, cs_mono_us());
		policy = text ? json_loads(text, 0, NULL) : NULL;
		free(text);
		json_array_append_new(
			list, json_pack("{s:s, s:I, s:I, s:I, s:I, s:I, s:I, s:o}", "class",
					s->name, "requests", (json_int_t)*s->requests, "ok",
					(json_int_t)*s->ok, "in_target", (json_int_t)*s->in_target,
					"failed", (json_int_t)*s->failed, "p50_us",
					(json_int_t)cs_hist_quantile(s->latency, 0.5), "p99_us",
					(json_int_t)cs_hist_quantile(s->latency, 0.99), "policy",
					policy ? policy : json_null()));
	}
	return list;
}

static void handle_state(struct request *req)
{
	static const char *const stop_names[] = {"no", "announced", "refusing", "done"};
	struct proxyd *p = req->proxyd;
	const struct cs_config *cfg = cs_policy_config(p->policy);
	uint64_t agent_silent_us = cs_link_snapshot_age_us(p->link);
	json_t *doc;
	char *text;

	doc = json_pack("{s:s, s:s, s:s, s:s, s:b, s:s, s:I, s:I, s:i, s:i, s:I, s:o, s:o}", "kind",
			"proxy", "instance", p->instance, "zone", p->zone, "version", CS_VERSION,
			"ready", view_ready(p), "stopping", stop_names[p->stop], "revision",
			(json_int_t)(cfg ? cfg->revision : 0), "agent_silent_ms",
			(json_int_t)(agent_silent_us == UINT64_MAX
					     ? -1
					     : (int64_t)(agent_silent_us / CS_US_PER_MS)),
			"connections", cs_ingress_connections(p->ingress), "requests",
			p->n_requests, "outcomes", (json_int_t)outcomes_count(p->outcomes),
			"services", loads_json(p), "classes", classes_json(p, cfg));
	text = doc ? json_dumps(doc, JSON_COMPACT) : cs_xstrdup("{}");
	json_decref(doc);
	reply_text(req, 200, "application/json", text);
}
