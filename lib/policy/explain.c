/* Load reports for the agent and the explain output for operators. */
#include <jansson.h>
#include <stdlib.h>

#include "policy/internal.h"

#define TARGET_MIN_SAMPLES 20

/* True if fewer responses than the class's percentile were within the latency target. */
static bool class_out_of_target(const struct cls *c)
{
	uint64_t n = c->n_in_target + c->n_over_target;

	return n >= TARGET_MIN_SAMPLES &&
	       (double)c->n_in_target * 100 < c->conf.percentile * (double)n;
}

static bool service_out_of_target(const struct cs_policy *p, const struct svc *s)
{
	const struct cls *c;
	unsigned used = 0, capacity = 0, k;

	TAILQ_FOREACH(c, &p->classes, entry)
		if (c->svc == s && c->index >= 0 && class_out_of_target(c))
			return true;
	for (k = 0; k < POOLS; k++) {
		used += s->in_flight[k] + s->waiting[k];
		capacity += s->capacity[k];
	}
	return capacity > 0 && used > capacity * (1 - s->headroom);
}

unsigned cs_policy_loads(struct cs_policy *p, struct cs_policy_load *rows, unsigned n,
			 uint64_t now_us)
{
	struct svc *s;
	unsigned count = 0, k;

	policy_tick(p, now_us);
	TAILQ_FOREACH(s, &p->svcs, entry) {
		struct cs_policy_load *r = &rows[count];
		double sum = 0, weight = 0;

		if (s->index < 0)
			continue;
		if (count++ >= n)
			continue;
		cs_copy(r->service, sizeof(r->service), s->name);
		r->capacity = r->in_flight = r->waiting = r->foreign = 0;
		for (k = 0; k < POOLS; k++) {
			r->capacity += s->capacity[k];
			r->in_flight += s->in_flight[k];
			r->waiting += s->waiting[k];
			r->foreign += s->foreign[k];
			sum += s->service_us[k] * (s->in_flight[k] + 1);
			weight += s->service_us[k] > 0 ? s->in_flight[k] + 1 : 0;
		}
		r->service_us = weight > 0 ? (unsigned)(sum / weight) : 0;
		r->out_of_target = service_out_of_target(p, s);
	}
	return count;
}

static json_t *explain_target(struct cs_target *t, unsigned pool, uint64_t now_us)
{
	return json_pack("{s:s, s:s, s:i, s:i, s:i, s:f, s:b, s:b}", "server", t->name, "state",
			 cs_server_state_name(t->state), "share", (int)t->share[pool], "in_flight",
			 (int)t->in_flight[pool], "connections", (int)t->connections,
			 "latency_cost", latency_cost(t, now_us), "ejected", (int)t->ejected,
			 "backoff", (int)backoff_active(t, now_us));
}

static json_t *explain_zone(const struct zone_service *r, uint64_t now_us)
{
	return json_pack("{s:s, s:b, s:i, s:i, s:i, s:i, s:b}", "zone", r->zone, "known",
			 (int)r->has_digest, "capacity", (int)r->capacity, "in_flight",
			 (int)r->in_flight, "waiting", (int)r->waiting, "sent", (int)r->hops_sent,
			 "refused", (int)(now_us < r->refused_until_us));
}

char *cs_policy_explain(struct cs_policy *p, unsigned class_index, uint64_t now_us)
{
	struct cls *c = policy_class(p, class_index);
	json_t *servers, *zones, *all;
	struct cs_target *t;
	unsigned i;
	char *text;

	if (c == NULL)
		return cs_xstrdup("{\"error\":\"unknown class\"}");
	servers = json_array();
	zones = json_array();
	TAILQ_FOREACH(t, &c->svc->targets, in_svc)
		json_array_append_new(servers, explain_target(t, c->pool, now_us));
	for (i = 0; i < p->n_zone_services; i++)
		if (p->zone_services[i].service == c->svc->index)
			json_array_append_new(zones, explain_zone(&p->zone_services[i], now_us));
	all = json_pack(
		"{s:s, s:s, s:s, s:i, s:i, s:i, s:i, s:f, s:I, s:I, s:f, s:f, s:i, s:o, s:o}",
		"class", c->name, "service", c->svc->name, "pool",
		c->pool == POOL_BULK ? "bulk" : "small", "capacity", (int)c->svc->capacity[c->pool],
		"in_flight", (int)c->svc->in_flight[c->pool], "foreign",
		(int)c->svc->foreign[c->pool], "waiting", (int)c->n_queue, "stay", p->remaining,
		"p50_us", (json_int_t)c->p50_us, "p95_us", (json_int_t)c->p95_us, "retry_tokens",
		c->retry_tokens, "hedge_tokens", c->hedge_tokens, "former_rosters",
		p->n_rosters > 0 ? (int)p->n_rosters - 1 : 0, "servers", servers, "zones", zones);
	text = json_dumps(all, JSON_COMPACT);
	json_decref(all);
	return text != NULL ? text : cs_xstrdup("{}");
}
