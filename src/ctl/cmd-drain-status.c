/* drain status [ZONE|REGION|DRAIN-ID]: progress of the configured drains. */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "src/ctl/drain.h"

static gboolean opt_wait;

static const GOptionEntry options[] = {
	{"wait", 0, 0, G_OPTION_ARG_NONE, &opt_wait, "Show progress until it is empty", NULL},
	{NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL},
};

static json_t *row_json(const struct cs_config *cfg, const struct cs_drain *d,
			const struct drain_progress *p)
{
	char start[CS_TIME_MAX], end[CS_TIME_MAX], deadline[CS_TIME_MAX];

	cs_time_format(d->start_ms, start);
	cs_time_format(cs_shift_end_ms(cfg, d), end);
	cs_time_format(d->deadline_ms, deadline);
	return json_pack("{s:s, s:s, s:s, s:s, s:s, s:s, s:s, s:f, s:i, s:i, s:b}", "id", d->id,
			 "kind", d->kind == CS_DRAIN_ZONE ? "zone" : "region", "target",
			 drain_target_name(cfg, d), "start", start, "ramp_end", end, "deadline",
			 deadline, "phase", drain_phase_name(p->phase), "stay", p->remaining,
			 "in_flight", (int)p->in_flight, "waiting", (int)p->waiting, "measured",
			 p->measured);
}

static void add_row(struct ctl_table *t, const struct cs_config *cfg, const struct cs_drain *d,
		    const struct drain_progress *p, int64_t now)
{
	char time[CS_TIME_MAX];

	ctl_table_add(t, "%s", drain_target_name(cfg, d));
	ctl_table_add(t, "%s", d->id);
	ctl_table_add(t, "%s", drain_phase_name(p->phase));
	ctl_table_add(t, "%.0f%%", 100 * p->remaining);
	ctl_table_add(t, "%u%s", p->in_flight, p->measured ? "" : "?");
	ctl_table_add(t, "%u%s", p->waiting, p->measured ? "" : "?");
	cs_time_format(d->start_ms, time);
	ctl_table_add(t, "%s", time);
	cs_time_format(cs_shift_end_ms(cfg, d), time);
	ctl_table_add(t, "%s", time);
	cs_time_format(d->deadline_ms, time);
	ctl_table_add(t, "%s", time);
	ctl_table_add(t, "%" PRId64 " s", (d->deadline_ms - now) / 1000);
}

static int print_all(struct ctl *ctl, const struct cs_config *cfg, const struct cs_view *v,
		     const char *only)
{
	struct ctl_table *t = ctl_table_create(
		"TARGET|DRAIN|PHASE|STAYS|IN FLIGHT|WAITING|START|RAMP END|DEADLINE|LEFT");
	json_t *list = json_array();
	int64_t now = cs_wall_ms();
	struct drain_progress p;
	unsigned i, n = 0;

	for (i = 0; i < cfg->n_drains; i++) {
		const struct cs_drain *d = &cfg->drains[i];

		if (only != NULL && strcmp(only, drain_target_name(cfg, d)) != 0 &&
		    strcmp(only, d->id) != 0)
			continue;
		drain_progress_compute(cfg, d, v, now, &p);
		json_array_append_new(list, row_json(cfg, d, &p));
		add_row(t, cfg, d, &p, now);
		n++;
	}
	if (ctl->json)
		ctl_print_json(json_incref(list));
	else if (n == 0)
		printf("%s\n", only != NULL ? "not drained" : "no drains");
	ctl_table_finish(t, !ctl->json && n > 0);
	json_decref(list);
	return only != NULL && n == 0 ? CTL_FAILURE : CTL_OK;
}

static int run(struct ctl *ctl, int argc, char **argv)
{
	struct ctl_fleet fleet = {0};
	struct ctl_doc doc = {0};
	struct cs_view *v;
	int rc;

	if (opt_wait && argc == 1)
		return drain_wait(ctl, argv[0]);
	if (opt_wait) {
		ctl_error(ctl, "--wait needs a zone, region or drain id");
		return CTL_USAGE;
	}
	rc = ctl_doc_load(ctl, &doc);
	if (rc == CTL_OK)
		rc = ctl_fleet_load(ctl, FLEET_AGENT | FLEET_ONE_PER_ZONE, &fleet);
	if (rc == CTL_OK) {
		v = ctl_fleet_view(&fleet, doc.cfg);
		rc = print_all(ctl, doc.cfg, v, argc > 0 ? argv[0] : NULL);
		cs_view_destroy(v);
	}
	ctl_fleet_free(&fleet);
	ctl_doc_free(&doc);
	return rc;
}

const struct cmd cmd_drain_status = {
	.name = "drain status",
	.args = "[ZONE|REGION|DRAIN-ID]",
	.summary = "Show the progress of drains",
	.examples = "  cassiactl drain status\n  cassiactl drain status lom-brescia --wait",
	.options = options,
	.max_args = 1,
	.run = run,
};
