/* burn: attainment of targets, remaining error budget, and burn rates over windows. */
#include <stdlib.h>
#include <string.h>

#include "src/ctl/burn.h"
#include "src/ctl/drain.h"

#define SAMPLES_MAX 5000

static char *opt_window, *opt_html, *opt_record;
static gint opt_interval = 5, opt_samples = 1;

static const GOptionEntry options[] = {
	{"window", 0, 0, G_OPTION_ARG_STRING, &opt_window,
	 "Report this window and a twelfth of it, as 60s, 30m, 6h; samples until it is covered",
	 "TIME"},
	{"interval", 0, 0, G_OPTION_ARG_INT, &opt_interval, "Seconds between samples, 1 to 3600",
	 "S"},
	{"samples", 0, 0, G_OPTION_ARG_INT, &opt_samples, "Number of samples, 1 to 5000", "N"},
	{"record", 0, 0, G_OPTION_ARG_FILENAME, &opt_record,
	 "Keep samples in a file, for windows longer than one run", "FILE"},
	{"html", 0, 0, G_OPTION_ARG_FILENAME, &opt_html, "Write a page with plots", "FILE"},
	{NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL},
};

static void print_report(const struct burn_report *r)
{
	struct ctl_table *t = ctl_table_create("CLASS|WINDOW|REQUESTS|TARGET|WITHIN|LATENCY "
					       "BURN|LEFT|ANSWERED|REFUSED|FAILED|ANSWER "
					       "BURN|LEFT|MOST USED BY");
	unsigned i, w;

	for (i = 0; i < r->cfg->n_classes; i++) {
		const struct cs_class *c = &r->cfg->classes[i];

		for (w = 0; w < r->n_windows; w++) {
			struct burn_rate b = burn_rate_of(r, c, r->windows[w].from, NULL);
			double share;
			const char *zone = burn_worst_zone(r, c, r->windows[w].from, &share);

			ctl_table_add(t, "%s", w == 0 ? c->name : "");
			ctl_table_add(t, "%s", r->windows[w].name);
			ctl_table_add(t, "%lu", (unsigned long)b.counts.requests);
			ctl_table_add(t, "%g%% in %u ms", c->percentile, c->latency_target_ms);
			ctl_table_add(t, "%.3f%%", b.within_pct);
			ctl_table_add(t, "%.2f", b.latency_burn);
			ctl_table_add(t, "%.0f%%", 100 * (1 - b.latency_burn));
			ctl_table_add(t, "%.3f%% of %g%%", b.answered_pct, c->availability_pct);
			ctl_table_add(t, "%lu", (unsigned long)b.counts.refused);
			ctl_table_add(t, "%lu", (unsigned long)b.counts.failed);
			ctl_table_add(t, "%.2f", b.answer_burn);
			ctl_table_add(t, "%.0f%%", 100 * (1 - b.answer_burn));
			if (zone != NULL)
				ctl_table_add(t, "%s %.0f%%", zone, 100 * share);
			else
				ctl_table_add(t, "-");
		}
	}
	ctl_table_print(t);
}

static bool check_options(struct ctl *ctl, double *window_s)
{
	int64_t ms = 0;
	char *text;
	bool ok = true;

	*window_s = 0;
	if (opt_interval < 1 || opt_interval > 3600) {
		ctl_error(ctl, "--interval: %d is not allowed; allowed: 1 to 3600 s", opt_interval);
		return false;
	}
	if (opt_samples < 1 || opt_samples > SAMPLES_MAX) {
		ctl_error(ctl, "--samples: %d is not allowed; allowed: 1 to %d", opt_samples,
			  SAMPLES_MAX);
		return false;
	}
	if (opt_window != NULL) {
		text = cs_xasprintf("+%s", opt_window);
		ok = drain_time_parse(text, 0, &ms);
		free(text);
	}
	if (!ok) {
		ctl_error(ctl, "--window: \"%s\" is not allowed; allowed: NUMBER with s, m, h or d",
			  opt_window);
		return false;
	}
	*window_s = (double)ms / 1000;
	return true;
}

static bool more_samples_needed(const struct burn_samples *s, int taken, double window_s)
{
	double span = s->n > 0 ? (double)(s->list[s->n - 1].wall_ms - s->list[0].wall_ms) / 1000
			       : 0;

	if (taken < opt_samples)
		return true;
	return window_s > 0 && (s->n < 2 || span < window_s);
}

static int write_html(struct ctl *ctl, const struct burn_report *r)
{
	GError *err = NULL;
	char *page;
	int rc = CTL_OK;

	if (opt_html == NULL)
		return CTL_OK;
	page = burn_html(r);
	if (!g_file_set_contents(opt_html, page, -1, &err)) {
		ctl_error(ctl, "%s", err->message);
		g_error_free(err);
		rc = CTL_FAILURE;
	}
	g_free(page);
	return rc;
}

static void collect_samples(struct ctl *ctl, struct ctl_fleet *fleet, struct burn_samples *s,
			    double window_s)
{
	struct sample one;
	int taken;

	for (taken = 0; more_samples_needed(s, taken, window_s); taken++) {
		if (taken > 0) {
			ctl_sleep(ctl, (uint64_t)opt_interval * CS_US_PER_S);
			ctl_fleet_query(ctl, FLEET_METRICS, fleet);
		}
		sample_collect(&one, fleet);
		burn_samples_add(s, one);
	}
}

static int run(struct ctl *ctl, int argc, char **argv)
{
	struct burn_samples samples = {0};
	struct ctl_fleet fleet = {0};
	struct ctl_doc doc = {0};
	struct burn_report report;
	struct cs_msg msg;
	double window_s;
	int rc;

	if (!check_options(ctl, &window_s))
		return CTL_USAGE;
	rc = ctl_doc_load(ctl, &doc);
	if (rc == CTL_OK)
		rc = ctl_fleet_load(ctl, FLEET_METRICS, &fleet);
	if (rc != CTL_OK)
		goto out;
	if (opt_record != NULL && !burn_record_read(&samples, opt_record, &msg)) {
		ctl_error(ctl, "%s", msg.text);
		rc = CTL_FAILURE;
		goto out;
	}
	collect_samples(ctl, &fleet, &samples, window_s);
	if (opt_record != NULL && !burn_record_write(&samples, opt_record, &msg)) {
		ctl_error(ctl, "%s", msg.text);
		rc = CTL_FAILURE;
	}
	burn_report_init(&report, doc.cfg, &samples, window_s);
	if (ctl->json)
		ctl_print_json(burn_json(&report));
	else
		print_report(&report);
	if (write_html(ctl, &report) != CTL_OK)
		rc = CTL_FAILURE;
out:
	burn_samples_free(&samples);
	ctl_fleet_free(&fleet);
	ctl_doc_free(&doc);
	return rc;
}

const struct cmd cmd_burn = {
	.name = "burn",
	.args = "",
	.summary = "Report attainment, error budget left and burn rates of each class",
	.examples = "  cassiactl burn\n"
		    "  cassiactl burn --window 60s --interval 5\n"
		    "  cassiactl burn --record burn.jsonl --html burn.html   (from a timer, every "
		    "minute)\n"
		    "  cassiactl burn --samples 10 --interval 1 --json",
	.options = options,
	.run = run,
};
