/* top: request rates of each class and zone, updated at every interval. */
#include <stdlib.h>
#include <string.h>

#include "src/ctl/counters.h"

static gint opt_interval = 2, opt_samples;

static const GOptionEntry options[] = {
	{"interval", 0, 0, G_OPTION_ARG_INT, &opt_interval, "Seconds between samples, 1 to 3600",
	 "S"},
	{"samples", 0, 0, G_OPTION_ARG_INT, &opt_samples, "Number of samples; 0: until stopped",
	 "N"},
	{NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL},
};

static void add_row(struct ctl_table *t, json_t *list, const char *class, const char *zone,
		    const struct counters *d, double s)
{
	double within = d->ok > 0 ? 100.0 * (double)d->within / (double)d->ok : 100;

	json_array_append_new(list,
			      json_pack("{s:s, s:s, s:f, s:f, s:f, s:f, s:f, s:I}", "class", class,
					"zone", zone, "requests_s", (double)d->requests / s, "ok_s",
					(double)d->ok / s, "refused_s", (double)d->refused / s,
					"failed_s", (double)d->failed / s, "within_pct", within,
					"p99_us", (json_int_t)d->p99_us));
	ctl_table_add(t, "%s", class);
	ctl_table_add(t, "%s", zone);
	ctl_table_add(t, "%.1f", (double)d->requests / s);
	ctl_table_add(t, "%.1f", (double)d->ok / s);
	ctl_table_add(t, "%.1f", (double)d->refused / s);
	ctl_table_add(t, "%.1f", (double)d->failed / s);
	ctl_table_add(t, "%.2f%%", within);
	ctl_table_add(t, "%.1f ms", (double)d->p99_us / 1000);
}

static void print_rates(struct ctl *ctl, const struct cs_config *cfg, const struct sample *now,
			const struct sample *before)
{
	struct ctl_table *t = ctl_table_create(
		"CLASS|ZONE|REQUESTS/S|OK/S|REFUSED/S|FAILED/S|WITHIN|P99 SINCE START");
	double s = (double)(now->wall_ms - before->wall_ms) / 1000;
	json_t *list = json_array();
	char at[CS_TIME_MAX];
	struct counters d;
	unsigned i, z;

	if (s <= 0)
		s = 1;
	for (i = 0; i < cfg->n_classes; i++) {
		for (z = 0; z < cfg->n_zones; z++) {
			d = sample_sum(now, before, cfg->classes[i].name, cfg->zones[z].name);
			if (d.requests > 0)
				add_row(t, list, cfg->classes[i].name, cfg->zones[z].name, &d, s);
		}
		d = sample_sum(now, before, cfg->classes[i].name, NULL);
		add_row(t, list, cfg->classes[i].name, "all", &d, s);
	}
	cs_time_format(now->wall_ms, at);
	if (ctl->json)
		ctl_print_json(json_pack("{s:s, s:f, s:O}", "at", at, "seconds", s, "rows", list));
	else
		printf("%s%s, over %.1f s\n", opt_samples == 0 ? "\033[H\033[2J" : "", at, s);
	ctl_table_finish(t, !ctl->json);
	fflush(stdout);
	json_decref(list);
}

static int run(struct ctl *ctl, int argc, char **argv)
{
	struct ctl_fleet fleet = {0};
	struct ctl_doc doc = {0};
	struct sample before, now;
	int rc, i;

	if (opt_interval < 1 || opt_interval > 3600 || opt_samples < 0) {
		ctl_error(ctl, "--interval: %d is not allowed; allowed: 1 to 3600 s", opt_interval);
		return CTL_USAGE;
	}
	rc = ctl_doc_load(ctl, &doc);
	if (rc == CTL_OK)
		rc = ctl_fleet_load(ctl, FLEET_METRICS, &fleet);
	if (rc != CTL_OK)
		goto out;
	sample_collect(&before, &fleet);
	for (i = 0; opt_samples == 0 || i < opt_samples; i++) {
		ctl_sleep(ctl, (uint64_t)opt_interval * CS_US_PER_S);
		ctl_fleet_query(ctl, FLEET_METRICS, &fleet);
		sample_collect(&now, &fleet);
		print_rates(ctl, doc.cfg, &now, &before);
		sample_free(&before);
		before = now;
	}
	sample_free(&before);
out:
	ctl_fleet_free(&fleet);
	ctl_doc_free(&doc);
	return rc;
}

const struct cmd cmd_top = {
	.name = "top",
	.args = "",
	.summary = "Show rates of classes and zones, renewed every interval",
	.examples = "  cassiactl top\n  cassiactl top --interval 1 --samples 1 --json",
	.options = options,
	.run = run,
};
