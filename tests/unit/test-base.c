/* Tests of lib/base: timer order, histogram error, settings, closest name. */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "base/base.h"

struct firing_order {
	int ids[8];
	int n;
	struct ev_loop *loop;
};

struct numbered_timer {
	struct cs_timer timer;
	struct firing_order *firing_order;
	int id;
};

static void on_timer(struct cs_timer *t, void *arg)
{
	struct numbered_timer *nt = arg;

	nt->firing_order->ids[nt->firing_order->n++] = nt->id;
	if (nt->firing_order->n == 3)
		ev_break(nt->firing_order->loop, EVBREAK_ALL);
}

/* Guards against timers that fire in start order instead of due order. */
static void test_timers_fire_when_due(void)
{
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct cs_timers *ts = cs_timers_create(loop);
	struct firing_order firing_order = {.loop = loop};
	struct numbered_timer timers[3];
	int i;

	for (i = 0; i < 3; i++) {
		timers[i].firing_order = &firing_order;
		timers[i].id = i;
		cs_timer_init(&timers[i].timer, on_timer, &timers[i]);
		cs_timer_start(ts, &timers[i].timer, (uint64_t)(30 - 10 * i) * CS_US_PER_MS);
	}
	ev_run(loop, 0);
	g_assert_cmpint(firing_order.ids[0], ==, 2);
	g_assert_cmpint(firing_order.ids[1], ==, 1);
	g_assert_cmpint(firing_order.ids[2], ==, 0);
	cs_timers_destroy(ts);
	ev_loop_destroy(loop);
}

/* Guards against quantiles that are below the samples or more than 1/16 above them. */
static void test_hist_quantile_error_bound(void)
{
	struct cs_hist h = {0};
	uint64_t us, q;

	for (us = 1; us < 1ULL << 32; us = us * 5 / 4 + 1) {
		cs_hist_clear(&h);
		cs_hist_add(&h, us);
		q = cs_hist_quantile(&h, 0.99);
		g_assert_cmpuint(q, >=, us);
		g_assert_cmpuint(q, <=, us + us / 16);
		g_assert_cmpuint(cs_hist_count_at_most(&h, q), ==, 1);
	}
}

/* Guards against invalid values that are accepted, and messages without the allowed range. */
static void test_settings_refuse_invalid_value(void)
{
	struct cs_setting table[] = {
		{"port", CS_SET_INT, "80", 1, 65535, NULL, "", "port", NULL, 0},
		{"mode", CS_SET_CHOICE, "a", 0, 0, "a|b", "", "mode", NULL, 0},
		{NULL},
	};
	char *args[] = {"prog", "--port=99999", NULL};
	char **argv = args;
	struct cs_msg msg = {""};
	int argc = 2;

	g_assert_cmpint(cs_settings_load(table, "test", &argc, &argv, &msg), ==,
			CS_SETTINGS_INVALID);
	g_assert_nonnull(strstr(msg.text, "--port"));
	g_assert_nonnull(strstr(msg.text, "99999"));
	g_assert_nonnull(strstr(msg.text, "65535"));
	cs_settings_free(table);
}

/* Guards against positional arguments, as in "prog FILE", that are ignored silently. */
static void test_settings_refuse_positional_argument(void)
{
	struct cs_setting table[] = {
		{"port", CS_SET_INT, "80", 1, 65535, NULL, "", "port", NULL, 0},
		{NULL},
	};
	char *args[] = {"prog", "--port=82", "file.json", NULL};
	char **argv = args;
	struct cs_msg msg = {""};
	int argc = 3;

	g_assert_cmpint(cs_settings_load(table, "test", &argc, &argv, &msg), ==,
			CS_SETTINGS_INVALID);
	g_assert_nonnull(strstr(msg.text, "file.json"));
	cs_settings_free(table);
}

/* Guards against an environment variable that overrides a flag. */
static void test_settings_flag_overrides_environment(void)
{
	struct cs_setting table[] = {
		{"test-port", CS_SET_INT, "80", 1, 65535, NULL, "", "port", NULL, 0},
		{NULL},
	};
	char *args[] = {"prog", "--test-port=82", NULL};
	char **argv = args;
	struct cs_msg msg = {""};
	int argc = 2;

	setenv("CASSIA_TEST_PORT", "81", 1);
	g_assert_cmpint(cs_settings_load(table, "test", &argc, &argv, &msg), ==, CS_SETTINGS_OK);
	g_assert_cmpint(cs_setting_int(table, "test-port"), ==, 82);
	cs_settings_free(table);
	argc = 1;
	g_assert_cmpint(cs_settings_load(table, "test", &argc, &argv, &msg), ==, CS_SETTINGS_OK);
	g_assert_cmpint(cs_setting_int(table, "test-port"), ==, 81);
	cs_settings_free(table);
	unsetenv("CASSIA_TEST_PORT");
}

/* Guards against suggested names that do not resemble the given one. */
static void test_closest_name_resembles_input(void)
{
	static const char *const names[] = {"drain", "status", "history"};

	g_assert_cmpstr(cs_closest_name("statsu", names, 3), ==, "status");
	g_assert_null(cs_closest_name("zzzzzzzz", names, 3));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/base/timer/fire-when-due", test_timers_fire_when_due);
	g_test_add_func("/base/hist/quantile-error-bound", test_hist_quantile_error_bound);
	g_test_add_func("/base/settings/refuse-invalid-value", test_settings_refuse_invalid_value);
	g_test_add_func("/base/settings/refuse-positional-argument",
			test_settings_refuse_positional_argument);
	g_test_add_func("/base/settings/flag-overrides-environment",
			test_settings_flag_overrides_environment);
	g_test_add_func("/base/closest-name-resembles-input", test_closest_name_resembles_input);
	return g_test_run();
}
