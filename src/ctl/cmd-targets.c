/* targets: targets and measured values of each class, and the deadlines of drains. */
#include <stdlib.h>
#include <string.h>

#include "src/ctl/counters.h"
#include "src/ctl/drain.h"

/* Sums the slots and the requests in flight of a service over all zones. */
static void service_load(const struct cs_view *v, const char *service, unsigned *capacity,
			 unsigned *in_flight)
{
	unsigned i;

	*capacity = *in_flight = 0;
	for (i = 0; i < v->n_loads; i++) {
		if (strcmp(v->loads[i].service, service) != 0)
			continue;
		*capacity += v->loads[i].capacity;
		*in_flight += v->loads[i].in_flight;
	}
}

static double percent(uint64_t part, uint64_t total)
{
	return total == 0 ? 100 : 100.0 * (double)part / (double)total;
}

static void add_class(struct ctl_table *t, json_t *list, const struct cs_config *cfg, unsigned i,
		      const struct cs_view *v, const struct sample *s)
{
	const struct cs_class *c = &cfg->classes[i];
	struct counters n = sample_sum(s, NULL, c->name, NULL);
	uint64_t all = n.ok + n.failed + n.refused;
	double within = percent(n.within, n.ok), answered = percent(n.ok, all), free_pct;
	unsigned capacity, in_flight;

	service_load(v, cfg->services[c->service].name, &capacity, &in_flight);
	free_pct = capacity > 0 ? 100.0 * ((double)capacity - in_flight) / capacity : 0;
	json_array_append_new(
		list,
		json_pack("{s:s, s:i, s:f, s:f, s:f, s:f, s:f, s:f, s:I, s:I}", "class", c->name,
			  "latency_target_ms", (int)c->latency_target_ms, "percentile",
			  c->percentile, "within_pct", within, "availability_pct",
			  c->availability_pct, "answered_pct", answered, "headroom_target_pct",
			  c->headroom_pct, "headroom_pct", free_pct, "p99_us", (json_int_t)n.p99_us,
			  "requests", (json_int_t)n.requests));
	ctl_table_add(t, "%s", c->name);
	ctl_table_add(t, "%lu", (unsigned long)n.requests);
	ctl_table_add(t, "%g%% in %u ms", c->percentile, c->latency_target_ms);
	ctl_table_add(t, "%.2f%%%s", within, within < c->percentile ? " missed" : "");
	ctl_table_add(t, "%.1f ms", (double)n.p99_us / 1000);
	ctl_table_add(t, "%g%%", c->availability_pct);
	ctl_table_add(t, "%.3f%%%s", answered, answered < c->availability_pct ? " missed" : "");
	ctl_table_add(t, "%g%%", c->headroom_pct);
	ctl_table_add(t, capacity > 0 ? "%.0f%%%s" : "-", free_pct,
		      free_pct < c->headroom_pct ? " short" : "");
}

static void print_drains(const struct cs_config *cfg, const struct cs_view *v)
{
	struct drain_progress p;
	char deadline[CS_TIME_MAX];
	unsigned i;

	for (i = 0; i < cfg->n_drains; i++) {
		drain_progress_compute(cfg, &cfg->drains[i], v, cs_wall_ms(), &p);
		cs_time_format(cfg->drains[i].deadline_ms, deadline);
		printf("%s empty by %s: %s, %.0f%% stays\n",
		       drain_target_name(cfg, &cfg->drains[i]), deadline, drain_phase_name(p.phase),
		       100 * p.remaining);
	}
}

static void print_all(struct ctl *ctl, const struct cs_config *cfg, const struct cs_view *v,
		      const struct sample *s)
{
	struct ctl_table *t =
		ctl_table_create("CLASS|REQUESTS|LATENCY TARGET|WITHIN|P99|ANSWER TARGET|"
				 "ANSWERED|HEADROOM TARGET|HEADROOM");
	json_t *list = json_array();
	unsigned i;

	for (i = 0; i < cfg->n_classes; i++)
		add_class(t, list, cfg, i, v, s);
	if (ctl->json)
		ctl_print_json(json_incref(list));
	ctl_table_finish(t, !ctl->json);
	if (!ctl->json)
		print_drains(cfg, v);
	json_decref(list);
}

static int run(struct ctl *ctl, int argc, char **argv)
{
	struct ctl_fleet fleet = {0};
	struct ctl_doc doc = {0};
	struct cs_view *v;
	struct sample s;
	int rc;

	rc = ctl_doc_load(ctl, &doc);
	if (rc == CTL_OK)
		rc = ctl_fleet_load(ctl, FLEET_METRICS, &fleet);
	if (rc == CTL_OK) {
		sample_collect(&s, &fleet);
		ctl_fleet_query(ctl, FLEET_AGENT | FLEET_ONE_PER_ZONE, &fleet);
		v = ctl_fleet_view(&fleet, doc.cfg);
		print_all(ctl, doc.cfg, v, &s);
		cs_view_destroy(v);
		sample_free(&s);
	}
	ctl_fleet_free(&fleet);
	ctl_doc_free(&doc);
	return rc;
}

const struct cmd cmd_targets = {
	.name = "targets",
	.args = "",
	.summary = "Show the targets of classes and drains beside what is measured",
	.examples = "  cassiactl targets\n  cassiactl targets --json\n"
		    "Counts are since the proxies started; cassiactl burn shows windows.",
	.run = run,
};
