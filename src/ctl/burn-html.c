/* The burn report as one HTML page with inline SVG and no external resources. */
#include <stdlib.h>
#include <string.h>

#include "src/ctl/burn.h"

#define PLOT_WIDTH 640 /* px */
#define PLOT_HEIGHT 120
#define PLOT_LEFT 44
#define PLOT_BOTTOM 20
#define BAR_WIDTH 240
#define AXIS_BURN_MAX 20.0 /* upper limit of the axis */

static const char style[] =
	"body{font:14px/1.4 sans-serif;margin:2em auto;max-width:60em;color:#222;background:#fff}"
	"h1{font-size:1.5em}h2{font-size:1.2em;margin-top:2em;border-top:1px solid "
	"#ccc;padding-top:.6em}"
	"table{border-collapse:collapse;margin:.6em 0}th,td{padding:.2em .8em;text-align:right;"
	"border-bottom:1px solid #ddd}th:first-child,td:first-child{text-align:left}"
	".bad{color:#b00020;font-weight:bold}.note{color:#666}svg text{font:11px "
	"sans-serif;fill:#444}";

static void append_head(GString *s, const struct burn_report *r)
{
	char from[CS_TIME_MAX], to[CS_TIME_MAX];
	const struct sample *last = &r->samples->list[r->samples->n - 1];

	cs_time_format(r->samples->list[0].wall_ms, from);
	cs_time_format(last->wall_ms, to);
	g_string_append_printf(s,
			       "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">"
			       "<title>Burn report of %s</title><style>%s</style></head><body>\n"
			       "<h1>Burn report of %s</h1>\n<p>Configuration revision %lu, %u "
			       "samples from %s to %s. "
			       "A burn rate of 1 uses the error budget exactly.</p>\n",
			       r->cfg->deployment, style, r->cfg->deployment,
			       (unsigned long)r->cfg->revision, r->samples->n, from, to);
}

/* Bar with the remaining budget, which is negative if the budget is exceeded. */
static void append_budget_bar(GString *s, const char *what, double left_pct)
{
	double shown = left_pct < 0 ? 0 : left_pct;

	g_string_append_printf(
		s,
		"<div><svg width=\"%d\" height=\"18\" role=\"img\" aria-label=\"%s\">"
		"<rect width=\"%d\" height=\"14\" fill=\"#eee\"/>"
		"<rect width=\"%.1f\" height=\"14\" fill=\"%s\"/></svg> "
		"<span%s>%.1f%% of the %s budget left</span></div>\n",
		BAR_WIDTH + 4, what, BAR_WIDTH, shown / 100 * BAR_WIDTH,
		left_pct < 25 ? "#b00020" : "#2e7d32", left_pct < 0 ? " class=\"bad\"" : "",
		left_pct, what);
}

static void append_window_table(GString *s, const struct burn_report *r, const struct cs_class *c)
{
	struct burn_rate b;
	unsigned i;

	g_string_append(s, "<table><tr><th>window</th><th>requests</th><th>within target</th>"
			   "<th>latency burn</th><th>answered</th><th>refused</th><th>failed</th>"
			   "<th>answer burn</th></tr>\n");
	for (i = 0; i < r->n_windows; i++) {
		b = burn_rate_of(r, c, r->windows[i].from, NULL);
		g_string_append_printf(
			s,
			"<tr><td>%s</td><td>%lu</td><td>%.3f%%</td><td%s>%.2f</td><td>%.3f%%</td>"
			"<td>%lu</td><td>%lu</td><td%s>%.2f</td></tr>\n",
			r->windows[i].name, (unsigned long)b.counts.requests, b.within_pct,
			b.latency_burn > 1 ? " class=\"bad\"" : "", b.latency_burn, b.answered_pct,
			(unsigned long)b.counts.refused, (unsigned long)b.counts.failed,
			b.answer_burn > 1 ? " class=\"bad\"" : "", b.answer_burn);
	}
	g_string_append(s, "</table>\n");
}

static void append_zone_table(GString *s, const struct burn_report *r, const struct cs_class *c)
{
	const struct sample *from = r->windows[r->n_windows - 1].from;
	struct burn_rate all = burn_rate_of(r, c, from, NULL), b;
	uint64_t bad = burn_bad_requests(&all);
	unsigned z;

	if (bad == 0)
		return;
	g_string_append(s, "<table><tr><th>zone</th><th>late, refused or failed</th>"
			   "<th>part of the budget use</th></tr>\n");
	for (z = 0; z < r->cfg->n_zones; z++) {
		b = burn_rate_of(r, c, from, r->cfg->zones[z].name);
		if (burn_bad_requests(&b) > 0)
			g_string_append_printf(s,
					       "<tr><td>%s</td><td>%lu</td><td>%.1f%%</td></tr>\n",
					       r->cfg->zones[z].name,
					       (unsigned long)burn_bad_requests(&b),
					       100.0 * (double)burn_bad_requests(&b) / (double)bad);
	}
	g_string_append(s, "</table>\n");
}

/* Upper end of the axis: the largest burn rate between consecutive samples, at least 1.2. */
static double axis_top(const struct burn_report *r, const struct cs_class *c)
{
	double top = 1.2;
	struct burn_rate b;
	unsigned i;

	for (i = 1; i < r->samples->n; i++) {
		b = burn_rate_between(c, &r->samples->list[i], &r->samples->list[i - 1], NULL);
		top = b.latency_burn > top ? b.latency_burn : top;
		top = b.answer_burn > top ? b.answer_burn : top;
	}
	return top < AXIS_BURN_MAX ? top : AXIS_BURN_MAX;
}

static double plot_x(const struct burn_report *r, int64_t ms)
{
	int64_t first = r->samples->list[0].wall_ms;
	int64_t span = r->samples->list[r->samples->n - 1].wall_ms - first;

	return PLOT_LEFT + (span > 0 ? (double)(ms - first) / (double)span : 0) * PLOT_WIDTH;
}

static double plot_y(double burn, double top)
{
	return PLOT_HEIGHT - (burn < top ? burn : top) / top * (PLOT_HEIGHT - 8);
}

static void append_line(GString *s, const struct burn_report *r, const struct cs_class *c,
			double top, bool latency, const char *colour)
{
	struct burn_rate b;
	unsigned i;

	g_string_append_printf(
		s, "<polyline fill=\"none\" stroke=\"%s\" stroke-width=\"1.5\" points=\"", colour);
	for (i = 1; i < r->samples->n; i++) {
		b = burn_rate_between(c, &r->samples->list[i], &r->samples->list[i - 1], NULL);
		g_string_append_printf(s, "%.1f,%.1f ", plot_x(r, r->samples->list[i].wall_ms),
				       plot_y(latency ? b.latency_burn : b.answer_burn, top));
	}
	g_string_append(s, "\"/>\n");
}

/* Plot of the burn rate between consecutive samples, with a line at 1. */
static void append_plot(GString *s, const struct burn_report *r, const struct cs_class *c)
{
	char from[CS_TIME_MAX], to[CS_TIME_MAX];
	double top = axis_top(r, c), one = plot_y(1, top);

	if (r->samples->n < 3) {
		g_string_append(s, "<p class=\"note\">Fewer than three samples: no plot.</p>\n");
		return;
	}
	cs_time_format(r->samples->list[0].wall_ms, from);
	cs_time_format(r->samples->list[r->samples->n - 1].wall_ms, to);
	g_string_append_printf(
		s,
		"<svg width=\"%d\" height=\"%d\" role=\"img\" aria-label=\"burn rate over time\">\n"
		"<line x1=\"%d\" y1=\"%d\" x2=\"%d\" y2=\"%d\" stroke=\"#888\"/>"
		"<line x1=\"%d\" y1=\"0\" x2=\"%d\" y2=\"%d\" stroke=\"#888\"/>"
		"<line x1=\"%d\" y1=\"%.1f\" x2=\"%d\" y2=\"%.1f\" stroke=\"#b00020\" "
		"stroke-dasharray=\"4 3\"/>"
		"<text x=\"%d\" y=\"%.1f\" text-anchor=\"end\">1</text>"
		"<text x=\"%d\" y=\"14\" text-anchor=\"end\">%.1f</text>"
		"<text x=\"%d\" y=\"%d\">%s</text><text x=\"%d\" y=\"%d\" "
		"text-anchor=\"end\">%s</text>\n",
		PLOT_LEFT + PLOT_WIDTH + 8, PLOT_HEIGHT + PLOT_BOTTOM, PLOT_LEFT, PLOT_HEIGHT,
		PLOT_LEFT + PLOT_WIDTH, PLOT_HEIGHT, PLOT_LEFT, PLOT_LEFT, PLOT_HEIGHT, PLOT_LEFT,
		one, PLOT_LEFT + PLOT_WIDTH, one, PLOT_LEFT - 6, one + 4, PLOT_LEFT - 6, top,
		PLOT_LEFT, PLOT_HEIGHT + 15, from, PLOT_LEFT + PLOT_WIDTH, PLOT_HEIGHT + 15, to);
	append_line(s, r, c, top, true, "#1565c0");
	append_line(s, r, c, top, false, "#ef6c00");
	g_string_append(
		s, "</svg>\n<p class=\"note\"><span style=\"color:#1565c0\">latency burn</span>, "
		   "<span style=\"color:#ef6c00\">answer burn</span> between neighbouring "
		   "samples</p>\n");
}

char *burn_html(const struct burn_report *r)
{
	const struct burn_window *longest = &r->windows[r->n_windows - 1];
	GString *s = g_string_new("");
	struct burn_rate b;
	unsigned i;

	append_head(s, r);
	for (i = 0; i < r->cfg->n_classes; i++) {
		const struct cs_class *c = &r->cfg->classes[i];

		b = burn_rate_of(r, c, longest->from, NULL);
		g_string_append_printf(
			s,
			"<h2>%s</h2>\n<p>%g%% within %u ms, %g%% answered; budget over "
			"window %s</p>\n",
			c->name, c->percentile, c->latency_target_ms, c->availability_pct,
			longest->name);
		append_budget_bar(s, "latency", 100 * (1 - b.latency_burn));
		append_budget_bar(s, "answer", 100 * (1 - b.answer_burn));
		append_window_table(s, r, c);
		append_plot(s, r, c);
		append_zone_table(s, r, c);
	}
	g_string_append(s, "</body></html>\n");
	return g_string_free(s, FALSE);
}
