/* Tests of lib/base: timer order and gaps, histogram error, settings messages, nearest name. */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "base/base.h"

struct order {
	int seen[8];
	int n;
	struct ev_loop *loop;
};

struct tick {
	struct cs_timer timer;
	struct order *order;
	int id;
};

static void on_tick(struct cs_timer *t, void *arg)
{
	struct tick *k = arg;

	k->order->seen[k->order->n++] = k->id;
	if (k->order->n == 3)
		ev_break(k->order->loop, EVBREAK_ALL);
}

/* Guards against timers that fire by start order instead of due time. */
static void test_timer_order(void)
{
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct cs_timers *ts = cs_timers_create(loop);
	struct order order = {.loop = loop};
	struct tick ticks[3];
	int i;

	for (i = 0; i < 3; i++) {
		ticks[i].order = &order;
		ticks[i].id = i;
		cs_timer_init(&ticks[i].timer, on_tick, &ticks[i]);
		cs_timer_start(ts, &ticks[i].timer, (uint64_t)(30 - 10 * i) * CS_US_PER_MS);
	}
	ev_run(loop, 0);
	g_assert_cmpint(order.seen[0], ==, 2);
	g_assert_cmpint(order.seen[1], ==, 1);
	g_assert_cmpint(order.seen[2], ==, 0);
	cs_timers_destroy(ts);
	ev_loop_destroy(loop);
}

/* Guards against quantiles that are below the samples or more than a sixteenth above. */
static void test_hist_error(void)
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

/* Guards against a bad value that is taken silently or reported without what is allowed. */
static void test_settings_bad(void)
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

/* Guards against a word that is no flag, as in "prog FILE", being dropped without a word. */
static void test_settings_argument(void)
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

/* Guards against an environment value that outweighs a flag. */
static void test_settings_order(void)
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

/* Guards against a suggestion that has nothing in common with the word. */
static void test_nearest(void)
{
	static const char *const names[] = {"drain", "status", "history"};

	g_assert_cmpstr(cs_closest_name("statsu", names, 3), ==, "status");
	g_assert_null(cs_closest_name("zzzzzzzz", names, 3));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/base/timer/order", test_timer_order);
	g_test_add_func("/base/hist/error", test_hist_error);
	g_test_add_func("/base/settings/bad", test_settings_bad);
	g_test_add_func("/base/settings/argument", test_settings_argument);
	g_test_add_func("/base/settings/order", test_settings_order);
	g_test_add_func("/base/nearest", test_nearest);
	return g_test_run();
}
