/* status --platform: document, evacuations, servers, and metrics of each instance. */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "src/ctl/platform.h"

/* Metrics of one instance. */
struct instance_metrics {
	bool responded;
	uint64_t ready, document, members, in_flight, requests, refused, failed, store_unavailable;
};

/* Value of a metric without labels; 0 if it is absent. */
static uint64_t metric_value(const char *text, const char *name)
{
	size_t n = strlen(name);
	const char *p = text;

	while (p != NULL) {
		if (strncmp(p, name, n) == 0 && p[n] == ' ')
			return strtoull(p + n, NULL, 10);
		p = strchr(p, '\n');
		p = p != NULL ? p + 1 : NULL;
	}
	return 0;
}

static struct instance_metrics parse_metrics(const struct ctl_fetch *f)
{
	struct instance_metrics g = {.responded = f->status == 200};

	if (!g.responded)
		return g;
	g.ready = metric_value(f->body, "cassia_node_ready");
	g.document = metric_value(f->body, "cassia_node_document");
	g.members = metric_value(f->body, "cassia_node_members");
	g.in_flight = metric_value(f->body, "cassia_node_in_flight");
	g.requests = metric_value(f->body, "cassia_node_requests_total");
	g.refused = metric_value(f->body, "cassia_node_refused_total");
	g.failed = metric_value(f->body, "cassia_node_failed_total");
	g.store_unavailable = metric_value(f->body, "cassia_node_store_away");
	return g;
}

static const char *notes_text(const struct instance_metrics *g)
{
	if (!g->responded)
		return "does not answer";
	return g->store_unavailable > 0 ? "store away" : "";
}

static void add_row(struct ctl_table *t, json_t *list, const struct cs_steer_member *m,
		    const struct instance_metrics *g)
{
	json_array_append_new(
		list,
		json_pack("{s:s, s:s, s:s, s:b, s:b, s:I, s:I, s:I, s:I, s:I, s:I, s:b}",
			  "instance", m->name, "zone", m->zone, "front", m->front, "answers",
			  g->responded, "ready", g->ready > 0, "document", (json_int_t)g->document,
			  "hears", (json_int_t)g->members, "in_flight", (json_int_t)g->in_flight,
			  "requests", (json_int_t)g->requests, "refused", (json_int_t)g->refused,
			  "failed", (json_int_t)g->failed, "store_away", g->store_unavailable > 0));
	ctl_table_add(t, "%s", m->name);
	ctl_table_add(t, "%s", m->zone);
	ctl_table_add(t, "%s", !g->responded ? "-" : g->ready > 0 ? "yes" : "no");
	ctl_table_add(t, "%" PRIu64, g->document);
	ctl_table_add(t, "%" PRIu64, g->members);
	ctl_table_add(t, "%" PRIu64, g->in_flight);
	ctl_table_add(t, "%" PRIu64, g->requests);
	ctl_table_add(t, "%" PRIu64, g->refused);
	ctl_table_add(t, "%" PRIu64, g->failed);
	ctl_table_add(t, "%s", notes_text(g));
}

/* Fetches the metrics of all instances; the result has one entry per instance. */
static struct ctl_fetch *fetch_metrics(struct ctl *ctl, const struct ctl_platform *p)
{
	struct ctl_fetch *list = cs_xcalloc(p->n_instances + 1, sizeof(*list));
	const struct platform_instance *in;
	unsigned i;

	for (i = 0; i < p->n_instances; i++) {
		in = &p->instances[i];
		list[i].url =
			cs_xasprintf("http://%s:%u/metrics", in->reports.addr, in->metrics_port);
	}
	ctl_fetch_all(ctl, list, p->n_instances);
	return list;
}

static void print_summary(const struct ctl_platform *p)
{
	unsigned i, draining = 0;

	for (i = 0; i < p->n_servers; i++)
		draining += p->servers[i].draining;
	printf("document r%" PRIu64 ", %u routes, %u services; store revision %" PRIu64 "\n",
	       p->doc ? p->doc->version : 0, p->doc ? p->doc->n_routes : 0,
	       p->doc ? p->doc->n_services : 0, p->revision);
	printf("servers: %u, of them %u draining; %u entries name no server\n", p->n_servers,
	       draining, p->n_invalid);
	for (i = 0; i < p->n_evacuated; i++)
		printf("zone %s is evacuated\n", p->evacuated[i]);
	puts("");
}

int ctl_platform_status(struct ctl *ctl)
{
	struct ctl_platform p;
	struct ctl_fetch *responses;
	struct ctl_table *t;
	struct instance_metrics g;
	json_t *list;
	unsigned i;
	int rc = ctl_platform_load(ctl, &p);

	if (rc != CTL_OK)
		goto out;
	responses = fetch_metrics(ctl, &p);
	t = ctl_table_create("INSTANCE|ZONE|READY|DOCUMENT|HEARS|IN FLIGHT|REQUESTS|REFUSED|FAILED|"
			     "NOTES");
	list = json_array();
	for (i = 0; i < p.n_instances; i++) {
		g = parse_metrics(&responses[i]);
		add_row(t, list, &p.instances[i].member, &g);
	}
	if (ctl->json)
		ctl_print_json(json_pack("{s:I, s:I, s:i, s:O}", "document",
					 (json_int_t)(p.doc ? p.doc->version : 0), "revision",
					 (json_int_t)p.revision, "servers", (int)p.n_servers,
					 "instances", list));
	else
		print_summary(&p);
	ctl_table_finish(t, !ctl->json);
	json_decref(list);
	ctl_fetch_free(responses, p.n_instances);
out:
	ctl_platform_free(&p);
	return rc;
}
