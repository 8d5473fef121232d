/* status: overview of the deployment, with one row per instance. */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "src/ctl/fleet.h"
#include "src/ctl/platform.h"

/*
 * Above this number of instances only one agent of each zone is queried, and its state is used for
 * the others: every state lists all members, so that querying all agents is quadratic in their
 * number.
 */
#define QUERY_ALL_MAX 64

/* Status of an instance, from its own agent or from another agent of its zone. */
struct instance_status {
	const char *state; /* as seen by the queried agents */
	bool responded; /* its own agent responded */
	bool reported; /* reported by itself or by another agent */
	bool ready;
	uint64_t revision;
};

static struct instance_status instance_status_of(const struct ctl_instance *in,
						 const struct cs_view *v)
{
	struct instance_status k = {.state = "unknown", .responded = in->agent != NULL};
	unsigned i;

	for (i = 0; i < v->n_members; i++) {
		const struct cs_member *m = &v->members[i];

		if (strcmp(m->name, in->name) != 0)
			continue;
		k.state = cs_member_state_name(m->state);
		k.reported = true;
		k.ready = m->ready;
		k.revision = m->revision;
		break;
	}
	if (in->agent != NULL) {
		k.reported = true;
		k.ready = json_is_true(json_object_get(in->agent, "ready"));
		k.revision = (uint64_t)json_integer_value(json_object_get(in->agent, "revision"));
	}
	return k;
}

/* Messages of the parts of an agent that are not ok; the caller frees it. */
static char *degraded_text(const json_t *state)
{
	GString *s = g_string_new("");
	const char *key;
	json_t *part;

	json_object_foreach(json_object_get(state, "parts"), key, part) {
		const char *st = json_string_value(json_object_get(part, "status"));
		const char *msg = json_string_value(json_object_get(part, "message"));

		if (st != NULL && strcmp(st, "ok") != 0)
			g_string_append_printf(s, "%s%s: %s", s->len > 0 ? "; " : "", key,
					       msg ? msg : st);
	}
	return g_string_free(s, FALSE);
}

static json_t *instance_json(const struct ctl_instance *in, const struct cs_view *v)
{
	struct instance_status k = instance_status_of(in, v);
	char *bad = degraded_text(in->agent);
	json_t *row = json_pack("{s:s, s:s, s:s, s:s, s:s, s:b, s:b, s:I, s:b, s:s}", "instance",
				in->name, "zone", in->zone, "address", in->addr, "listed",
				in->listed, "state", k.state, "answers", k.responded, "ready",
				k.ready, "revision", (json_int_t)k.revision, "watcher",
				json_is_true(json_object_get(in->agent, "watcher")), "degraded",
				bad);

	g_free(bad);
	return row;
}

static void print_instances(const struct ctl_fleet *fleet, const struct cs_view *v, bool all)
{
	struct ctl_table *t =
		ctl_table_create("INSTANCE|ZONE|LISTED|STATE|READY|REVISION|WATCHER|NOTES");
	unsigned i;

	for (i = 0; i < fleet->n; i++) {
		const struct ctl_instance *in = &fleet->list[i];
		struct instance_status k = instance_status_of(in, v);
		char *bad = degraded_text(in->agent);

		ctl_table_add(t, "%s", in->name);
		ctl_table_add(t, "%s", in->zone);
		ctl_table_add(t, "%s", in->listed[0] ? in->listed : "no");
		ctl_table_add(t, "%s", k.state);
		ctl_table_add(t, "%s", !k.reported ? "-" : k.ready ? "yes" : "no");
		ctl_table_add(t, "%" PRIu64, k.revision);
		ctl_table_add(t, "%s",
			      json_is_true(json_object_get(in->agent, "watcher")) ? "yes" : "");
		ctl_table_add(t, "%s", all && !k.responded ? "its agent does not answer" : bad);
		g_free(bad);
	}
	ctl_table_print(t);
}

static void print_summary(const struct ctl_doc *doc, const struct ctl_fleet *fleet,
			  const struct cs_view *v, bool all)
{
	unsigned i, reported = 0, ready = 0, other = 0;
	char until[CS_TIME_MAX];

	for (i = 0; i < fleet->n; i++) {
		struct instance_status k = instance_status_of(&fleet->list[i], v);

		reported += all ? k.responded : k.reported;
		ready += k.ready;
		other += (all ? k.responded : k.reported) && k.revision != doc->cfg->revision;
	}
	printf("deployment %s, revision %" PRIu64 ", read from %s\n", doc->cfg->deployment,
	       doc->cfg->revision, fleet->from_store ? "the store" : "an instance");
	printf("instances: %u listed, %u %s, %u ready, %u at another revision\n", fleet->n,
	       reported, all ? "answer" : "known by their zone", ready, other);
	for (i = 0; i < doc->cfg->n_drains; i++) {
		const struct cs_drain *d = &doc->cfg->drains[i];

		cs_time_format(d->deadline_ms, until);
		printf("drain %s of %s %s until %s\n", d->id,
		       d->kind == CS_DRAIN_ZONE ? "zone" : "region",
		       d->kind == CS_DRAIN_ZONE ? doc->cfg->zones[d->target].name
						: doc->cfg->regions[d->target].name,
		       until);
	}
	puts("");
}

static int run(struct ctl *ctl, int argc, char **argv)
{
	struct ctl_fleet fleet = {0};
	struct ctl_doc doc = {0};
	struct cs_view *v;
	json_t *list;
	unsigned i;
	bool all;
	int rc;

	if (ctl->platform != NULL)
		return ctl_platform_status(ctl);
	rc = ctl_doc_load(ctl, &doc);
	if (rc == CTL_OK)
		rc = ctl_fleet_load(ctl, 0, &fleet);
	if (rc != CTL_OK)
		goto out;
	all = fleet.n <= QUERY_ALL_MAX;
	ctl_fleet_query(ctl, FLEET_AGENT | (all ? 0 : FLEET_ONE_PER_ZONE), &fleet);
	v = ctl_fleet_view(&fleet, doc.cfg);
	if (ctl->json) {
		list = json_array();
		for (i = 0; i < fleet.n; i++)
			json_array_append_new(list, instance_json(&fleet.list[i], v));
		ctl_print_json(json_pack(
			"{s:s, s:I, s:b, s:i, s:o}", "deployment", doc.cfg->deployment, "revision",
			(json_int_t)doc.cfg->revision, "from_store", fleet.from_store, "drains",
			(int)doc.cfg->n_drains, "instances", list));
	} else {
		print_summary(&doc, &fleet, v, all);
		print_instances(&fleet, v, all);
	}
	cs_view_destroy(v);
out:
	ctl_fleet_free(&fleet);
	ctl_doc_free(&doc);
	return rc;
}

const struct cmd cmd_status = {
	.name = "status",
	.args = "",
	.summary = "Show the deployment: revision, instances, drains",
	.examples = "  cassiactl status\n"
		    "  cassiactl status --platform 10.200.1.7:8142\n"
		    "  cassiactl status --json\n"
		    "  cassiactl status --instance 127.0.0.1:7003   (while the store is down)",
	.run = run,
};
