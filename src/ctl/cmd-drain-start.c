/* drain start ZONE|REGION: moves all traffic away from a zone or region by a deadline. */
#include <stdlib.h>
#include <string.h>

#include "src/ctl/change.h"
#include "src/ctl/drain.h"

static char *opt_deadline, *opt_start;
static gboolean opt_wait, opt_replace;

static const GOptionEntry options[] = {
	{"deadline", 0, 0, G_OPTION_ARG_STRING, &opt_deadline,
	 "Time by which it must be empty: 2026-12-06T23:59:00Z, or from now as +4h (required)",
	 "TIME"},
	{"start", 0, 0, G_OPTION_ARG_STRING, &opt_start, "Earliest start of the ramp, default now",
	 "TIME"},
	{"replace", 0, 0, G_OPTION_ARG_NONE, &opt_replace, "Change a drain that is already stated",
	 NULL},
	{"wait", 0, 0, G_OPTION_ARG_NONE, &opt_wait, "Show progress until it is empty", NULL},
	{NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL},
};

struct drain_request {
	const char *target;
	int64_t start_ms, deadline_ms;
	bool has_start;
};

static bool edit(struct ctl *ctl, json_t *doc, const struct cs_config *cfg, void *arg,
		 struct ctl_change *change, struct cs_msg *reason)
{
	struct drain_request *a = arg;
	char id[CS_NAME_MAX], start[CS_TIME_MAX], deadline[CS_TIME_MAX];
	json_t *drains, *old;
	enum cs_drain_kind kind;
	size_t at;
	unsigned index;

	if (!drain_target_find(cfg, a->target, &kind, &index, reason))
		return false;
	cs_time_format(a->start_ms, start);
	cs_time_format(a->deadline_ms, deadline);
	old = drain_find(doc, a->target, &at);
	if (old != NULL && !opt_replace) {
		cs_msg_set(reason,
			   "%s is already drained with deadline %s (drain %s); use --replace to "
			   "change it",
			   a->target, json_string_value(json_object_get(old, "deadline")),
			   json_string_value(json_object_get(old, "id")));
		return false;
	}
	drains = json_object_get(doc, "drains");
	if (drains == NULL) {
		drains = json_array();
		json_object_set_new(doc, "drains", drains);
	}
	if (old != NULL) {
		json_object_set_new(old, "deadline", json_string(deadline));
		if (a->has_start)
			json_object_set_new(old, "start", json_string(start));
	} else {
		cs_random_id(id, sizeof(id), "d-");
		json_array_append_new(drains,
				      json_pack("{s:s, s:s, s:s, s:s}", "id", id,
						kind == CS_DRAIN_ZONE ? "zone" : "region",
						a->target, "start", start, "deadline", deadline));
	}
	snprintf(change->text, sizeof(change->text), "drain %s by %s", a->target, deadline);
	return true;
}

/*
 * Rejects a drain that is not feasible within the traffic shift cap, the deadline and the capacity
 * of the other zones; the reason states the shortfall.
 */
static bool check_feasible(struct ctl *ctl, const struct cs_config *cfg, void *arg,
			   struct cs_msg *reason)
{
	struct drain_request *a = arg;
	struct ctl_fleet fleet;
	struct cs_view *v = NULL;
	struct cs_msg shortfall;
	unsigned i;
	bool ok;

	if (ctl_fleet_load(ctl, FLEET_AGENT | FLEET_ONE_PER_ZONE, &fleet) == CTL_OK)
		v = ctl_fleet_view(&fleet, (struct cs_config *)cfg);
	if (v == NULL || v->n_loads == 0)
		fprintf(stderr,
			"cassiactl: no load reported by any instance; capacity is not checked\n");
	for (i = 0; i < cfg->n_drains; i++) {
		if (strcmp(drain_target_name(cfg, &cfg->drains[i]), a->target) == 0)
			break;
	}
	ok = i < cfg->n_drains &&
	     cs_shift_feasible(cfg, &cfg->drains[i], cs_wall_ms(), v, &shortfall);
	if (!ok)
		cs_msg_set(reason, "drain of %s: %.200s", a->target, shortfall.text);
	cs_view_destroy(v);
	ctl_fleet_free(&fleet);
	return ok;
}

static bool object_changed(const json_t *before, const json_t *after, void *arg)
{
	struct drain_request *a = arg;

	return drain_changed(before, after, a->target);
}

static bool parse_times(struct ctl *ctl, struct drain_request *a)
{
	int64_t now = cs_wall_ms();

	if (opt_deadline == NULL) {
		ctl_error(ctl, "--deadline is required, as 2026-12-06T23:59:00Z or +4h");
		return false;
	}
	if (!drain_time_parse(opt_deadline, now, &a->deadline_ms)) {
		ctl_error(ctl,
			  "--deadline: \"%s\" is not allowed; allowed: 2026-12-06T23:59:00Z, or "
			  "+NUMBER with s, m, h or d",
			  opt_deadline);
		return false;
	}
	a->has_start = opt_start != NULL;
	a->start_ms = now / 1000 * 1000;
	if (opt_start != NULL && !drain_time_parse(opt_start, now, &a->start_ms)) {
		ctl_error(ctl,
			  "--start: \"%s\" is not allowed; allowed: 2026-12-06T20:00:00Z, or "
			  "+NUMBER with s, m, h or d",
			  opt_start);
		return false;
	}
	return true;
}

static int run(struct ctl *ctl, int argc, char **argv)
{
	struct drain_request a = {.target = argv[0]};
	struct ctl_change change = {
		.edit = edit, .check = check_feasible, .object_changed = object_changed, .arg = &a};
	int rc;

	if (!parse_times(ctl, &a))
		return CTL_USAGE;
	rc = ctl_change_run(ctl, &change);
	if (rc == CTL_OK && opt_wait)
		rc = drain_wait(ctl, a.target);
	return rc;
}

const struct cmd cmd_drain_start = {
	.name = "drain start",
	.args = "ZONE|REGION",
	.summary = "Empty a zone or region by a deadline",
	.examples = "  cassiactl drain start lom-brescia --deadline 2026-12-06T23:59:00Z\n"
		    "  cassiactl drain start veneto --start +1h --deadline +6h --wait\n"
		    "  cassiactl drain start lom-brescia --deadline +2h --replace",
	.options = options,
	.min_args = 1,
	.max_args = 1,
	.run = run,
};
