/*
 * Tests of cassiactl's calculations: drain times, counters across restarts, burn rates, drain
 * phases.
 */
#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "src/ctl/burn.h"
#include "src/ctl/drain.h"

static const char config[] =
	"{\"format\":1,\"deployment\":\"test\",\"revision\":3,"
	"\"network\":{\"zone_delay_ms\":1,\"region_delay_ms\":20,\"link_mbit_s\":4000},"
	"\"regions\":[{\"name\":\"r\"}],"
	"\"zones\":[{\"name\":\"a\",\"region\":\"r\"},{\"name\":\"b\",\"region\":\"r\"}],"
	"\"services\":[{\"name\":\"s\",\"slots\":9,\"connections\":360}],"
	"\"classes\":[{\"name\":\"lookups\",\"service\":\"s\",\"idempotent\":true,"
	"\"latency_target_ms\":100,\"timeout_ms\":1000,\"percentile\":99,\"availability_pct\":99.9}"
	"],"
	"\"shift\":{\"cap_pct_s\":50,\"lookup_ttl_ms\":2000},"
	"\"drains\":[{\"id\":\"d-1\",\"zone\":\"a\",\"start\":\"2026-12-06T20:00:00Z\","
	"\"deadline\":\"2026-12-06T21:00:00Z\"}]}";

static struct cs_config *parse_config(void)
{
	struct cs_msg msg = {""};
	struct cs_config *cfg = cs_config_parse(config, strlen(config), &msg);

	g_assert_cmpstr(msg.text, ==, "");
	return cfg;
}

/* Guards against invalid drain times that are accepted, and valid ones that are rounded down. */
static void test_refuses_invalid_drain_times(void)
{
	static const char *const invalid[] = {"",      "+",	     "+h",   "4h",   "+4",
					      "+4x",   "+-1h",	     "+0s",  "+1hh", "now",
					      "+1e9d", "2026-12-06", "+nanh"};
	int64_t ms;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(invalid); i++) {
		if (drain_time_parse(invalid[i], 1000, &ms))
			g_error("drain time \"%s\" accepted", invalid[i]);
	}
	g_assert_true(drain_time_parse("+90s", 5000, &ms));
	g_assert_cmpint(ms, ==, 95000);
	g_assert_true(drain_time_parse("+1.5h", 5001, &ms));
	g_assert_cmpint(ms, ==, 5406000);
	g_assert_true(drain_time_parse("1970-01-01T00:01:00Z", 5000, &ms));
	g_assert_cmpint(ms, ==, 60000);
}

static void sample_add_counts(struct sample *s, const char *instance, const char *zone, unsigned ok,
			      unsigned within, unsigned refused)
{
	char *text = g_strdup_printf(
		"# HELP cassia_proxy_ok_total x\n"
		"cassia_proxy_requests_total{class=\"lookups\"} %u\n"
		"cassia_proxy_ok_total{class=\"lookups\"} %u\n"
		"cassia_proxy_ok_total_other{class=\"lookups\"} 9999\n"
		"cassia_proxy_in_target_total{class=\"lookups\"} %u\n"
		"cassia_proxy_refused_total{class=\"lookups\",reason=\"overload\"} %u\n"
		"cassia_proxy_refused_total{class=\"lookups\",reason=\"deadline\"} 1\n"
		"cassia_proxy_latency_us{class=\"lookups\",quantile=\"0.99\"} 700\n"
		"cassia_proxy_failed_total{class=\"lookups\"} 0\n",
		ok + refused + 1, ok, within, refused);

	sample_add_text(s, instance, zone, text);
	sample_sort(s);
	g_free(text);
}

/* Guards against counters read from the wrong line and refusals not summed over their reasons. */
static void test_sums_counters_of_class(void)
{
	struct sample s = {0};
	const struct counters *c;

	sample_add_counts(&s, "a-1", "a", 100, 90, 4);
	c = sample_find(&s, "lookups", "a-1");
	g_assert_nonnull(c);
	g_assert_cmpuint(c->ok, ==, 100);
	g_assert_cmpuint(c->within, ==, 90);
	g_assert_cmpuint(c->refused, ==, 5);
	g_assert_cmpuint(c->p99_us, ==, 700);
	g_assert_null(sample_find(&s, "lookups", "a-2"));
	sample_free(&s);
}

/* Guards against negative or very large differences when a proxy restarts between two samples. */
static void test_differences_across_restart(void)
{
	struct sample before = {0}, after = {0};
	struct counters d;

	sample_add_counts(&before, "a-1", "a", 1000, 1000, 0);
	sample_add_counts(&before, "b-1", "b", 50, 50, 0);
	sample_add_counts(&after, "a-1", "a", 10, 8, 0);
	sample_add_counts(&after, "b-1", "b", 60, 55, 0);
	sample_add_counts(&after, "b-2", "b", 7, 7, 0);
	d = sample_sum(&after, &before, "lookups", NULL);
	g_assert_cmpuint(d.ok, ==, 10 + 10 + 7);
	g_assert_cmpuint(d.within, ==, 8 + 5 + 7);
	d = sample_sum(&after, &before, "lookups", "b");
	g_assert_cmpuint(d.ok, ==, 17);
	sample_free(&before);
	sample_free(&after);
}

/* Guards against burn rates that are not relative to the error budget, and a wrong worst zone. */
static void test_burn_rate_and_worst_zone(void)
{
	struct cs_config *cfg = parse_config();
	struct burn_samples s = {0};
	struct sample sample1 = {.wall_ms = 1000000}, sample2 = {.wall_ms = 1060000};
	struct burn_report r;
	struct burn_rate b;
	const char *zone;
	double zone_fraction;

	sample_add_counts(&sample1, "a-1", "a", 0, 0, 0);
	sample_add_counts(&sample1, "b-1", "b", 0, 0, 0);
	sample_add_counts(&sample2, "a-1", "a", 1000, 950, 0);
	sample_add_counts(&sample2, "b-1", "b", 1000, 990, 0);
	burn_samples_add(&s, sample1);
	burn_samples_add(&s, sample2);
	burn_report_init(&r, cfg, &s, 0);
	g_assert_cmpuint(r.n_windows, ==, 2);
	g_assert_cmpstr(r.windows[0].name, ==, "1m");
	g_assert_cmpstr(r.windows[1].name, ==, "start");
	b = burn_rate_of(&r, &cfg->classes[0], r.windows[0].from, NULL);
	/* 60 of 2,000 requests are late: 3%, where the target allows 1%. */
	g_assert_cmpfloat(b.latency_burn, >, 2.999);
	g_assert_cmpfloat(b.latency_burn, <, 3.001);
	g_assert_cmpfloat(b.answer_burn, ==, 0);
	zone = burn_worst_zone(&r, &cfg->classes[0], r.windows[0].from, &zone_fraction);
	g_assert_cmpstr(zone, ==, "a");
	g_assert_cmpfloat(zone_fraction, >, 0.83);
	burn_samples_free(&s);
	cs_config_unref(cfg);
}

/* Guards against windows that are longer than the period covered by samples. */
static void test_windows_covered_by_samples(void)
{
	struct cs_config *cfg = parse_config();
	struct burn_samples s = {0};
	struct burn_report r;
	int i;

	for (i = 0; i <= 400; i += 10)
		burn_samples_add(&s, (struct sample){.wall_ms = 1000000 + i * 1000});
	burn_report_init(&r, cfg, &s, 0);
	g_assert_cmpuint(r.n_windows, ==, 3);
	g_assert_cmpstr(r.windows[1].name, ==, "5m");
	g_assert_cmpfloat(r.windows[0].seconds, ==, 60);
	g_assert_cmpfloat(r.windows[1].seconds, ==, 300);
	burn_report_init(&r, cfg, &s, 240);
	g_assert_cmpuint(r.n_windows, ==, 2);
	g_assert_cmpfloat(r.windows[0].seconds, ==, 20);
	g_assert_cmpfloat(r.windows[1].seconds, ==, 240);
	burn_samples_free(&s);
	cs_config_unref(cfg);
}

/* Guards against a record file that loses or changes counts, and a damaged one that is accepted. */
static void test_record_round_trip(void)
{
	struct burn_samples s = {0}, restored = {0};
	struct sample sample1 = {.wall_ms = 1234};
	char *dir = g_dir_make_tmp("cassia-test-XXXXXX", NULL),
	     *path = g_strdup_printf("%s/r", dir);
	struct cs_msg msg = {""};

	sample_add_counts(&sample1, "a-1", "a", 100, 90, 4);
	burn_samples_add(&s, sample1);
	g_assert_true(burn_record_read(&restored, path, &msg));
	g_assert_cmpuint(restored.n, ==, 0);
	g_assert_true(burn_record_write(&s, path, &msg));
	g_assert_true(burn_record_read(&restored, path, &msg));
	g_assert_cmpuint(restored.n, ==, 1);
	g_assert_cmpint(restored.list[0].wall_ms, ==, 1234);
	g_assert_cmpuint(restored.list[0].rows[0].refused, ==, 5);
	burn_samples_free(&restored);
	g_assert_true(g_file_set_contents(path, "{\"at_ms\":1,\"rows\":[[1]]}\n", -1, NULL));
	g_assert_false(burn_record_read(&restored, path, &msg));
	g_assert_nonnull(strstr(msg.text, "line 1"));
	burn_samples_free(&restored);
	burn_samples_free(&s);
	unlink(path);
	rmdir(dir);
	g_free(path);
	g_free(dir);
}

/* Guards against a drain reported as done while its ramp runs or requests are in flight. */
static void test_drain_not_done_before_empty(void)
{
	struct cs_config *cfg = parse_config();
	const struct cs_drain *d = &cfg->drains[0];
	struct cs_view *v = cs_view_create();
	struct drain_progress p;

	drain_progress_compute(cfg, d, v, d->start_ms - 1, &p);
	g_assert_cmpint(p.phase, ==, DRAIN_WAITING);
	g_assert_false(p.measured);
	drain_progress_compute(cfg, d, v, d->start_ms + 100, &p);
	g_assert_cmpint(p.phase, ==, DRAIN_RAMPING);
	v->loads = cs_xcalloc(1, sizeof(*v->loads));
	v->n_loads = 1;
	cs_copy(v->loads[0].zone, CS_NAME_MAX, "a");
	cs_copy(v->loads[0].service, CS_NAME_MAX, "s");
	v->loads[0].in_flight = 2;
	drain_progress_compute(cfg, d, v, cs_shift_end_ms(cfg, d) + 1, &p);
	g_assert_cmpint(p.phase, ==, DRAIN_EMPTYING);
	g_assert_true(p.measured);
	drain_progress_compute(cfg, d, v, d->deadline_ms + 1, &p);
	g_assert_cmpint(p.phase, ==, DRAIN_LATE);
	v->loads[0].in_flight = 0;
	drain_progress_compute(cfg, d, v, cs_shift_end_ms(cfg, d) + 1, &p);
	g_assert_cmpint(p.phase, ==, DRAIN_DONE);
	cs_view_destroy(v);
	cs_config_unref(cfg);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/ctl/refuses-invalid-drain-times", test_refuses_invalid_drain_times);
	g_test_add_func("/ctl/sums-counters-of-class", test_sums_counters_of_class);
	g_test_add_func("/ctl/differences-across-restart", test_differences_across_restart);
	g_test_add_func("/ctl/burn-rate-and-worst-zone", test_burn_rate_and_worst_zone);
	g_test_add_func("/ctl/windows-covered-by-samples", test_windows_covered_by_samples);
	g_test_add_func("/ctl/record-round-trip", test_record_round_trip);
	g_test_add_func("/ctl/drain-not-done-before-empty", test_drain_not_done_before_empty);
	return g_test_run();
}
