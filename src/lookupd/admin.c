/* Handlers of the health, metrics, state and configuration paths of cassia-lookupd. */
#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "src/lookupd/lookupd.h"

/* Whether lookups can be answered; after a start, no member is known to be ready at first. */
static bool has_usable_entry(const struct lookupd *d)
{
	static const uint8_t any[16];
	struct cs_locate_result found;

	return steer_plan(d->steer) != NULL &&
	       cs_plan_locate(steer_plan(d->steer), 0, any, cs_wall_ms(), 0, &found);
}

static bool is_ready(const struct lookupd *d)
{
	return has_usable_entry(d) && !d->stopping;
}

static void reply_ready(struct lookupd *d, struct cs_http_req *req)
{
	static const char ready[] = "{\"ready\":true}\n";

	if (is_ready(d))
		cs_http_reply(req, 200, NULL, ready, sizeof(ready) - 1);
	else if (d->stopping)
		send_error(req, 503, "stopping", "a planned stop has begun");
	else
		send_error(req, 503, "not_ready", "no configuration or no entry instance yet");
}

static void reply_metrics(struct lookupd *d, struct cs_http_req *req)
{
	const struct cs_view *v = steer_view(d->steer);
	uint64_t silent_us = cs_link_snapshot_age_us(d->link);
	char *text;

	*cs_metrics_gauge(d->metrics, "cassia_config_revision", "",
			  "Configuration revision in force.") =
		v != NULL ? (int64_t)v->cfg->revision : 0;
	*cs_metrics_gauge(d->metrics, "cassia_agent_silent_ms", "",
			  "Time since the local agent was heard; -1 if never.") =
		silent_us == UINT64_MAX ? -1 : (int64_t)(silent_us / CS_US_PER_MS);
	*cs_metrics_gauge(d->metrics, "cassia_plans", "", "Steering plans made.") =
		(int64_t)steer_plan_count(d->steer);
	text = cs_metrics_text(d->metrics);
	cs_http_reply(req, 200, "text/plain; version=0.0.4", text, strlen(text));
	free(text);
}

static void reply_state(struct lookupd *d, struct cs_http_req *req)
{
	const struct cs_view *v = steer_view(d->steer);
	uint64_t silent_us = cs_link_snapshot_age_us(d->link), lookups = 0;
	json_t *doc;
	char *text;
	unsigned i;

	for (i = 0; i < d->n_class_lookups; i++)
		lookups += *d->class_lookups[i];
	doc = json_pack("{s:s, s:s, s:s, s:s, s:b, s:b, s:I, s:I, s:I, s:I, s:I, s:i, s:b}", "kind",
			"lookup", "instance", d->instance, "zone", d->zone, "version", CS_VERSION,
			"ready", (int)is_ready(d), "stopping", (int)d->stopping, "revision",
			v != NULL ? (json_int_t)v->cfg->revision : (json_int_t)0, "agent_silent_ms",
			silent_us == UINT64_MAX ? (json_int_t)-1
						: (json_int_t)(silent_us / CS_US_PER_MS),
			"lookups", (json_int_t)lookups, "lookup_p99_us",
			(json_int_t)cs_hist_quantile(d->lookup_us, 0.99), "plans",
			(json_int_t)steer_plan_count(d->steer), "members",
			v != NULL ? (int)v->n_members : 0, "store_ok", v != NULL && v->store_ok);
	text = json_dumps(doc, JSON_COMPACT);
	cs_http_reply(req, 200, NULL, text, strlen(text));
	free(text);
	json_decref(doc);
}

/* Serves the configuration in force, so that operators can read it while the store is down. */
static void reply_config(struct lookupd *d, struct cs_http_req *req)
{
	const struct cs_view *v = steer_view(d->steer);

	if (v == NULL)
		send_error(req, 503, "not_ready", "no configuration yet");
	else
		cs_http_reply(req, 200, NULL, v->cfg->text, v->cfg->text_len);
}

bool admin_handle(struct lookupd *d, struct cs_http_req *req)
{
	const char *path = cs_http_path(req);

	if (strcmp(path, "/healthz") == 0)
		cs_http_reply(req, 200, NULL, "{\"ok\":true}\n", 12);
	else if (strcmp(path, "/readyz") == 0)
		reply_ready(d, req);
	else if (strcmp(path, "/metrics") == 0)
		reply_metrics(d, req);
	else if (strcmp(path, "/v1/state") == 0)
		reply_state(d, req);
	else if (strcmp(path, "/v1/config") == 0)
		reply_config(d, req);
	else
		return false;
	return true;
}
