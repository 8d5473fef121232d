/* Link to the agent: receives views and sends reports. */
#include <stdlib.h>
#include <string.h>

#include "src/proxyd/proxyd.h"

/* Whether the view contains a server in this zone. */
static bool zone_has_servers(const struct proxyd *p, const struct cs_view *v)
{
	unsigned i;

	for (i = 0; i < v->n_servers; i++)
		if (strcmp(v->servers[i].zone, p->zone) == 0)
			return true;
	return false;
}

/* Whether this instance currently has a slot of any server. */
static bool has_capacity(struct proxyd *p)
{
	unsigned n = cs_policy_loads(p->policy, NULL, 0, cs_mono_us()), i;
	struct cs_policy_load *rows = cs_xcalloc(n, sizeof(*rows));
	bool has_slot = false;

	n = cs_policy_loads(p->policy, rows, n, cs_mono_us());
	for (i = 0; i < n; i++)
		has_slot = has_slot || rows[i].capacity > 0;
	free(rows);
	return has_slot;
}

/*
 * The instance is ready once it has been assigned slots of the servers in its zone. Before that, a
 * newly started instance would refuse the requests that lookups direct to it. A zone without
 * servers, also after their loss, does not matter: requests are then forwarded to another zone.
 */
bool view_ready(struct proxyd *p)
{
	if (p->stop != STOP_NO || cs_policy_config(p->policy) == NULL)
		return false;
	if (!p->had_capacity)
		p->had_capacity = has_capacity(p);
	return p->had_capacity;
}

static void on_view(const struct cs_view *v, void *arg);
static void on_report(struct cs_report *r, void *arg);

bool view_start(struct proxyd *p, const char *endpoint, struct cs_msg *msg)
{
	p->link = cs_link_create(p->loop, p->timers, endpoint, p->bind_source ? p->address : NULL,
				 CS_LINK_PROXY, on_view, on_report, p, msg);
	return p->link != NULL;
}

void view_stop(struct proxyd *p)
{
	cs_link_destroy(p->link);
	free(p->report_loads);
}

/* Removes requests from the policy's queue, because class indexes depend on the configuration. */
static void dequeue_waiting(struct proxyd *p)
{
	struct request *req;

	TAILQ_FOREACH(req, &p->requests, entry)
		cs_policy_dequeue(p->policy, &req->policy_request);
}

/* Updates class indexes by class name; a request whose class was removed gets index 0. */
static void remap_class_indexes(struct proxyd *p, struct cs_config *cfg)
{
	struct request *req;
	int i;

	TAILQ_FOREACH(req, &p->requests, entry) {
		if (req->stats == NULL)
			continue;
		i = cs_config_class(cfg, req->class_name);
		req->policy_request.class_index = i < 0 ? 0 : (unsigned)i;
		req->class_removed = i < 0;
	}
}

/* Requests new decisions for the requests that were queued. */
static void decide_waiting(struct proxyd *p)
{
	struct request *req, *next;

	TAILQ_FOREACH_SAFE(req, &p->requests, entry, next) {
		if (req->stage != STAGE_WAITING || req->disconnected)
			continue;
		if (req->class_removed)
			request_error(req, 404, "unknown_class", request_ran(req),
				      "the class was removed from the configuration");
		else
			request_decide(req);
	}
}

static void on_view(const struct cs_view *v, void *arg)
{
	struct proxyd *p = arg;
	struct cs_config *old = cs_policy_config(p->policy), *cfg;
	uint64_t revision = old ? old->revision : 0;
	bool changed = v->cfg != NULL && v->cfg->revision > revision;

	if (changed)
		dequeue_waiting(p);
	cs_policy_update(p->policy, v, cs_mono_us());
	cfg = cs_policy_config(p->policy);
	if (changed && cfg != NULL) {
		stats_config(&p->stats, cfg);
		remap_class_indexes(p, cfg);
		decide_waiting(p);
		cs_log(CS_NOTICE, "view", "Configuration in force. revision=%llu",
		       (unsigned long long)cfg->revision);
	}
	if (!zone_has_servers(p, v))
		p->had_capacity = true;
	*p->stats.ready = view_ready(p);
	p->dispatch_waiting = true;
	proxyd_wake(p);
}

/* Copies the load of each service into the report. */
static void fill_loads(struct proxyd *p, struct cs_report *r)
{
	unsigned n = cs_policy_loads(p->policy, NULL, 0, cs_mono_us()), i;
	struct cs_policy_load *rows;

	if (n == 0)
		return;
	rows = cs_xcalloc(n, sizeof(*rows));
	n = cs_policy_loads(p->policy, rows, n, cs_mono_us());
	p->report_loads = cs_xrealloc(p->report_loads, n, sizeof(*p->report_loads));
	for (i = 0; i < n; i++) {
		struct cs_report_load *to = &p->report_loads[i];

		cs_copy(to->service, sizeof(to->service), rows[i].service);
		to->capacity = rows[i].capacity;
		to->in_flight = rows[i].in_flight;
		to->waiting = rows[i].waiting;
		to->foreign = rows[i].foreign;
		to->service_us = rows[i].service_us;
		to->out_of_target = rows[i].out_of_target;
	}
	free(rows);
	r->loads = p->report_loads;
	r->n_loads = n;
}

static void on_report(struct cs_report *r, void *arg)
{
	struct proxyd *p = arg;
	const struct cs_config *cfg = cs_policy_config(p->policy);

	r->kind = CS_LINK_PROXY;
	r->ready = view_ready(p);
	*p->stats.ready = r->ready;
	r->stopping = p->stop != STOP_NO;
	r->roster = cs_policy_roster(p->policy);
	r->revision = cfg ? cfg->revision : 0;
	fill_loads(p, r);
}
