/* Windows and burn rates over a series of samples. */
#include <stdlib.h>
#include <string.h>

#include "src/ctl/burn.h"

/* Smallest fraction of a window that the samples must cover. */
#define WINDOW_MIN_COVERAGE 0.9
/* The short window shows whether the burn continues; 12 is the customary ratio for burn alerts. */
#define SHORT_WINDOW_RATIO 12

static const struct {
	const char *name;
	double seconds;
} default_windows[] = {{"1m", 60}, {"5m", 300}, {"1h", 3600}, {"6h", 21600}, {"3d", 259200}};

void burn_samples_add(struct burn_samples *s, struct sample one)
{
	s->list = cs_xrealloc(s->list, s->n + 1, sizeof(*s->list));
	s->list[s->n++] = one;
}

void burn_samples_free(struct burn_samples *s)
{
	unsigned i;

	for (i = 0; i < s->n; i++)
		sample_free(&s->list[i]);
	free(s->list);
	memset(s, 0, sizeof(*s));
}

static const struct sample *last_sample(const struct burn_samples *s)
{
	return &s->list[s->n - 1];
}

/* First sample of a window of this length; NULL if the samples do not cover it. */
static const struct sample *window_start(const struct burn_samples *s, double seconds)
{
	const struct sample *best = NULL;
	unsigned i;

	for (i = 0; i + 1 < s->n; i++) {
		double age = (double)(last_sample(s)->wall_ms - s->list[i].wall_ms) / 1000;

		/* The newest sample that covers the window, else the oldest that nearly does. */
		if (age >= seconds || (best == NULL && age >= WINDOW_MIN_COVERAGE * seconds))
			best = &s->list[i];
	}
	return best;
}

static void add_window(struct burn_report *r, const char *name, const struct sample *from)
{
	struct burn_window *w;

	if (r->n_windows == BURN_WINDOWS_MAX)
		return;
	w = &r->windows[r->n_windows++];
	cs_copy(w->name, sizeof(w->name), name);
	w->from = from;
	w->seconds = from != NULL
			     ? (double)(last_sample(r->samples)->wall_ms - from->wall_ms) / 1000
			     : 0;
}

void burn_report_init(struct burn_report *r, const struct cs_config *cfg,
		      const struct burn_samples *s, double window_s)
{
	const struct sample *from;
	char name[24];
	unsigned i;

	memset(r, 0, sizeof(*r));
	r->cfg = cfg;
	r->samples = s;
	if (window_s > 0 && s->n > 1) {
		from = window_start(s, window_s / SHORT_WINDOW_RATIO);
		snprintf(name, sizeof(name), "%.3gs", window_s / SHORT_WINDOW_RATIO);
		add_window(r, name, from != NULL ? from : &s->list[s->n - 2]);
		from = window_start(s, window_s);
		snprintf(name, sizeof(name), "%.3gs", window_s);
		add_window(r, name, from != NULL ? from : &s->list[0]);
		return;
	}
	for (i = 0; i < sizeof(default_windows) / sizeof(default_windows[0]); i++) {
		from = window_start(s, default_windows[i].seconds);
		if (from != NULL)
			add_window(r, default_windows[i].name, from);
	}
	if (r->n_windows == 0 && s->n > 1) {
		if (s->n > 2)
			add_window(r, "last", &s->list[s->n - 2]);
		add_window(r, "sampled", &s->list[0]);
	}
	add_window(r, "start", NULL);
}

static double percent_of(uint64_t part, uint64_t total)
{
	return total == 0 ? 100 : 100.0 * (double)part / (double)total;
}

struct burn_rate burn_rate_between(const struct cs_class *class, const struct sample *later,
				   const struct sample *earlier, const char *zone)
{
	struct burn_rate b = {.counts = sample_sum(later, earlier, class->name, zone)};
	uint64_t all = b.counts.ok + b.counts.failed + b.counts.refused;

	b.within_pct = percent_of(b.counts.within, b.counts.ok);
	b.answered_pct = percent_of(b.counts.ok, all);
	b.latency_burn = (100 - b.within_pct) / (100 - class->percentile);
	b.answer_burn = (100 - b.answered_pct) / (100 - class->availability_pct);
	return b;
}

struct burn_rate burn_rate_of(const struct burn_report *r, const struct cs_class *class,
			      const struct sample *from, const char *zone)
{
	return burn_rate_between(class, last_sample(r->samples), from, zone);
}

uint64_t burn_bad_requests(const struct burn_rate *r)
{
	return r->counts.ok - r->counts.within + r->counts.refused + r->counts.failed;
}

const char *burn_worst_zone(const struct burn_report *r, const struct cs_class *class,
			    const struct sample *from, double *share)
{
	struct burn_rate all = burn_rate_of(r, class, from, NULL), one;
	const char *worst = NULL;
	uint64_t most = 0;
	unsigned z;

	for (z = 0; z < r->cfg->n_zones; z++) {
		one = burn_rate_of(r, class, from, r->cfg->zones[z].name);
		if (burn_bad_requests(&one) <= most)
			continue;
		most = burn_bad_requests(&one);
		worst = r->cfg->zones[z].name;
	}
	*share = worst != NULL ? (double)most / (double)burn_bad_requests(&all) : 0;
	return worst;
}

static json_t *rate_json(const struct burn_rate *b)
{
	return json_pack("{s:I, s:I, s:I, s:I, s:I, s:f, s:f, s:f, s:f}", "requests",
			 (json_int_t)b->counts.requests, "ok", (json_int_t)b->counts.ok, "within",
			 (json_int_t)b->counts.within, "refused", (json_int_t)b->counts.refused,
			 "failed", (json_int_t)b->counts.failed, "within_pct", b->within_pct,
			 "answered_pct", b->answered_pct, "latency_burn", b->latency_burn,
			 "answer_burn", b->answer_burn);
}

static json_t *class_json(const struct burn_report *r, const struct cs_class *class)
{
	const struct burn_window *longest = &r->windows[r->n_windows - 1];
	json_t *windows = json_array(), *zones = json_object(), *row;
	struct burn_rate b;
	unsigned i;

	for (i = 0; i < r->n_windows; i++) {
		b = burn_rate_of(r, class, r->windows[i].from, NULL);
		row = rate_json(&b);
		json_object_set_new(row, "window", json_string(r->windows[i].name));
		json_object_set_new(row, "seconds", json_real(r->windows[i].seconds));
		json_array_append_new(windows, row);
	}
	for (i = 0; i < r->cfg->n_zones; i++) {
		b = burn_rate_of(r, class, longest->from, r->cfg->zones[i].name);
		if (b.counts.requests > 0)
			json_object_set_new(zones, r->cfg->zones[i].name, rate_json(&b));
	}
	b = burn_rate_of(r, class, longest->from, NULL);
	return json_pack("{s:s, s:i, s:f, s:f, s:f, s:f, s:o, s:o}", "class", class->name,
			 "latency_target_ms", (int)class->latency_target_ms, "percentile",
			 class->percentile, "availability_pct", class->availability_pct,
			 "latency_budget_left_pct", 100 * (1 - b.latency_burn),
			 "answer_budget_left_pct", 100 * (1 - b.answer_burn), "windows", windows,
			 "zones", zones);
}

json_t *burn_json(const struct burn_report *r)
{
	json_t *list = json_array();
	char at[CS_TIME_MAX];
	unsigned i;

	for (i = 0; i < r->cfg->n_classes; i++)
		json_array_append_new(list, class_json(r, &r->cfg->classes[i]));
	cs_time_format(last_sample(r->samples)->wall_ms, at);
	return json_pack("{s:s, s:I, s:s, s:i, s:o}", "deployment", r->cfg->deployment, "revision",
			 (json_int_t)r->cfg->revision, "at", at, "samples", (int)r->samples->n,
			 "classes", list);
}
