/*
 * The history checker: a sound history passes, and for each promise a history that breaks it is
 * rejected by the rule of that promise. A checker that accepts everything would make every proof
 * run worthless.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "src/check/check.h"

#define S(n) ((uint64_t)((n) * (double)CS_US_PER_S))

struct fixture {
	struct check *check;
	char *text;
	size_t len;
	FILE *out;
};

static void setup(struct fixture *f, gconstpointer data)
{
	f->out = open_memstream(&f->text, &f->len);
	f->check = check_create(f->out);
}

static void teardown(struct fixture *f, gconstpointer data)
{
	check_destroy(f->check);
	fclose(f->out);
	free(f->text);
}

/* One history line; body "ok" unless the outcome is another. */
static void op(struct fixture *f, const char *id, bool idempotent, const char *outcome,
	       const char *ran, uint64_t at_us)
{
	char *line = cs_xasprintf(
		"{\"id\":\"%s\",\"class\":\"payments\",\"idempotent\":%s,\"caller\":\"127.9.1."
		"200\","
		"\"planned_us\":%llu,\"sent_us\":%llu,\"end_us\":%llu,\"outcome\":\"%s\","
		"\"status\":%d,\"ran\":\"%s\",\"tries\":1,\"entry\":\"a-1\",\"instance\":\"a-1\","
		"\"body\":\"ok\",\"upload_len\":10,\"upload_digest\":\"00000000000000aa\"}",
		id, idempotent ? "true" : "false", (unsigned long long)at_us,
		(unsigned long long)at_us, (unsigned long long)at_us + 20000, outcome,
		strcmp(outcome, "ok") == 0 ? 200 : 503, ran);

	check_history_line(f->check, line);
	free(line);
}

static void run_at(struct fixture *f, const char *id, const char *server, const char *zone,
		   const char *outcome, uint64_t from_us, uint64_t to_us)
{
	char *line = cs_xasprintf(
		"{\"id\":\"%s\",\"class\":\"payments\",\"server\":\"%s\",\"service\":\"orders\","
		"\"zone\":\"%s\",\"outcome\":\"%s\",\"start_us\":%llu,\"end_us\":%llu,"
		"\"concurrent\":1,\"slots\":2,\"body_len\":10,"
		"\"body_digest\":\"00000000000000aa\"}",
		id, server, zone, outcome, (unsigned long long)from_us, (unsigned long long)to_us);

	check_run_line(f->check, line);
	free(line);
}

static void run(struct fixture *f, const char *id, const char *outcome, uint64_t at_us)
{
	run_at(f, id, "s-1", "a", outcome, at_us, at_us + 10000);
}

/* Decides and compares the number of violations and, if any, the rule that found them. */
static void expect(struct fixture *f, unsigned violations, const char *rule)
{
	char *want = cs_xasprintf("violation %s:", rule), *last;

	check_join(f->check);
	g_assert_cmpuint(check_evaluate(f->check), ==, violations);
	fflush(f->out);
	if (violations > 0)
		g_assert_nonnull(strstr(f->text, want));
	else
		g_assert_null(strstr(f->text, "violation "));
	last = cs_xasprintf("check: operations %u violations %u\n", f->check->ops->len, violations);
	g_assert_true(g_str_has_suffix(f->text, last));
	free(last);
	free(want);
}

static void sound(struct fixture *f, gconstpointer data)
{
	op(f, "q1", false, "ok", "yes", S(1));
	run(f, "q1", "done", S(1));
	op(f, "q2", false, "refused", "no", S(2));
	run(f, "q2", "refused", S(2));
	op(f, "q3", false, "unknown", "unknown", S(3));
	run(f, "q3", "cancelled", S(3));
	/* An idempotent request may run twice. */
	op(f, "q4", true, "ok", "yes", S(4));
	run(f, "q4", "cancelled", S(4));
	run(f, "q4", "done", S(4));
	expect(f, 0, "");
}

static void wrong_body(struct fixture *f, gconstpointer data)
{
	op(f, "q1", true, "bad", "yes", S(1));
	run(f, "q1", "done", S(1));
	expect(f, 1, "answers");
}

static void answer_without_run(struct fixture *f, gconstpointer data)
{
	op(f, "q1", true, "ok", "yes", S(1));
	run(f, "q1", "truncated", S(1));
	expect(f, 1, "answers");
}

static void other_upload(struct fixture *f, gconstpointer data)
{
	op(f, "q1", true, "ok", "yes", S(1));
	check_run_line(f->check,
		       "{\"id\":\"q1\",\"server\":\"s-1\",\"zone\":\"a\",\"outcome\":\"done\","
		       "\"start_us\":1000000,\"end_us\":1010000,\"slots\":2,"
		       "\"body_len\":10,\"body_digest\":\"00000000000000ab\"}");
	expect(f, 1, "answers");
}

static void answered_twice(struct fixture *f, gconstpointer data)
{
	op(f, "q1", true, "ok", "yes", S(1));
	op(f, "q1", true, "ok", "yes", S(1));
	run(f, "q1", "done", S(1));
	g_assert_cmpuint(f->check->ops->len, ==, 2);
	/* The second line has no runs joined, so it also counts as an answer without a run. */
	expect(f, 2, "answers");
}

static void false_refusal(struct fixture *f, gconstpointer data)
{
	op(f, "q1", false, "refused", "no", S(1));
	run(f, "q1", "cancelled", S(1));
	expect(f, 1, "not-run");
}

static void ran_twice(struct fixture *f, gconstpointer data)
{
	op(f, "q1", false, "ok", "yes", S(1));
	run(f, "q1", "done", S(1));
	run(f, "q1", "done", S(1) + 500);
	expect(f, 1, "once");
}

/* Two runs of an unanswered payment are as bad as two of an answered one. */
static void ran_twice_unanswered(struct fixture *f, gconstpointer data)
{
	op(f, "q1", false, "unknown", "unknown", S(1));
	run(f, "q1", "deadline", S(1));
	run(f, "q1", "cancelled", S(1) + 500);
	expect(f, 1, "once");
}

static void over_slots(struct fixture *f, gconstpointer data)
{
	run_at(f, "x1", "s-1", "a", "done", S(1), S(2));
	run_at(f, "x2", "s-1", "a", "done", S(1), S(2));
	run_at(f, "x3", "s-1", "a", "done", S(1.5), S(1.6));
	expect(f, 1, "overload");
}

/* A cancelled request may overlap with its successor for less than the grace. */
static void over_slots_briefly(struct fixture *f, gconstpointer data)
{
	run_at(f, "x1", "s-1", "a", "done", S(1), S(2));
	run_at(f, "x2", "s-1", "a", "cancelled", S(1), S(1.505));
	run_at(f, "x3", "s-1", "a", "done", S(1.5), S(1.6));
	expect(f, 0, "");
}

static void state(struct fixture *f, const char *name, uint64_t at_us)
{
	char *line = cs_xasprintf("{\"event\":\"state\",\"server\":\"s-1\",\"service\":\"orders\","
				  "\"zone\":\"a\",\"state\":\"%s\",\"at_us\":%llu}",
				  name, (unsigned long long)at_us);

	check_run_line(f->check, line);
	free(line);
}

static void leaving_gets_work(struct fixture *f, gconstpointer data)
{
	state(f, "draining", S(10));
	run(f, "x1", "done", S(11));
	run(f, "x2", "done", S(12.1));
	expect(f, 1, "leaving");
}

static void leaving_returns(struct fixture *f, gconstpointer data)
{
	state(f, "draining", S(10));
	state(f, "ready", S(15));
	run(f, "x1", "done", S(11));
	run(f, "x2", "done", S(16));
	expect(f, 0, "");
}

/* 100 requests a second of zone a's callers; part(t) of them run in zone a. */
static void shift(struct fixture *f, double (*part)(int second))
{
	char id[32];
	int t, i;

	check_fact_line(f->check, "{\"fact\":\"zone\",\"name\":\"a\",\"prefix\":\"127.9.1.\"}");
	for (t = 5; t < 40; t++) {
		for (i = 0; i < 100; i++) {
			snprintf(id, sizeof(id), "q%d-%d", t, i);
			op(f, id, true, "ok", "yes", S(t) + (uint64_t)i * 10000);
			run_at(f, id, i < part(t) * 100 ? "s-1" : "s-2",
			       i < part(t) * 100 ? "a" : "b", "done", S(t) + (uint64_t)i * 10000,
			       S(t) + (uint64_t)i * 10000 + 100);
		}
	}
	check_fact_line(f->check, "{\"fact\":\"drain\",\"zone\":\"a\",\"from_us\":10000000,"
				  "\"to_us\":35000000,\"cap_pct_s\":5}");
}

static double ramp(int t)
{
	return t < 10 ? 1 : t >= 30 ? 0 : 1 - (t - 10) * 0.05;
}

static double jump(int t)
{
	return t < 20 ? 1 : 0;
}

static double never(int t)
{
	return t < 10 ? 1 : t >= 29 ? 0.05 : 1 - (t - 10) * 0.05;
}

static void drain_in_time(struct fixture *f, gconstpointer data)
{
	shift(f, ramp);
	expect(f, 0, "");
}

static void drain_over_cap(struct fixture *f, gconstpointer data)
{
	shift(f, jump);
	check_join(f->check);
	g_assert_cmpuint(check_evaluate(f->check), >, 0);
	fflush(f->out);
	g_assert_nonnull(strstr(f->text, "violation cap: zone a: 100% of its callers"));
}

/* The drain's failover after a fault is no shift: moved traffic is excused while it lasts. */
static void failover_is_no_shift(struct fixture *f, gconstpointer data)
{
	check_fact_line(f->check, "{\"fact\":\"fault\",\"what\":\"kill\",\"name\":\"a-1\","
				  "\"zone\":\"a\",\"from_us\":19000000,\"to_us\":22000000}");
	shift(f, jump);
	expect(f, 0, "");
}

static double come_back(int t)
{
	return t == 33 ? 0.8 : ramp(t);
}

/* Requests that come back because the other zones fail may leave again at once. */
static void return_is_no_shift(struct fixture *f, gconstpointer data)
{
	shift(f, come_back);
	expect(f, 0, "");
}

/* A fault that only explains late configurations does not explain moved traffic. */
static void other_excuse(struct fixture *f, gconstpointer data)
{
	check_fact_line(f->check, "{\"fact\":\"fault\",\"what\":\"stop\",\"name\":\"a-1\","
				  "\"zone\":\"a\",\"from_us\":19000000,\"to_us\":22000000,"
				  "\"excuses\":\"config\"}");
	shift(f, jump);
	check_join(f->check);
	g_assert_cmpuint(check_evaluate(f->check), >, 0);
}

static void drain_late(struct fixture *f, gconstpointer data)
{
	shift(f, never);
	/* 5 a second for 5 s, without the one at the deadline itself. */
	expect(f, 24, "cap");
}

static void stop_cuts(struct fixture *f, gconstpointer data)
{
	op(f, "q1", true, "unknown", "", S(5));
	op(f, "q2", true, "unknown", "", S(20));
	check_fact_line(f->check, "{\"fact\":\"stop\",\"name\":\"a-1\",\"zone\":\"a\","
				  "\"from_us\":4000000,\"to_us\":8000000}");
	expect(f, 1, "stop");
}

/* q1 got 502 while another zone was cut, q2 got no answer then, q3 got 502 without any fault. */
static void stop_beside_cut(struct fixture *f, gconstpointer data)
{
	static const struct {
		const char *id;
		int status;
		unsigned at_ms;
	} ops[] = {{"q1", 502, 5000}, {"q2", 0, 5000}, {"q3", 502, 7000}};
	char line[256];
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(ops); i++) {
		snprintf(line, sizeof(line),
			 "{\"id\":\"%s\",\"planned_us\":%u000,\"sent_us\":%u000,\"end_us\":%u000,"
			 "\"outcome\":\"unknown\",\"entry\":\"a-1\",\"status\":%d}",
			 ops[i].id, ops[i].at_ms, ops[i].at_ms, ops[i].at_ms + 10, ops[i].status);
		check_history_line(f->check, line);
	}
	check_fact_line(f->check, "{\"fact\":\"stop\",\"name\":\"a-1\",\"zone\":\"a\","
				  "\"from_us\":4000000,\"to_us\":8000000}");
	check_fact_line(f->check, "{\"fact\":\"fault\",\"what\":\"cut-zone\",\"zone\":\"b\","
				  "\"from_us\":4500000,\"to_us\":6000000}");
	expect(f, 2, "stop");
}

/* A connection that the stopped instance refused carried no request. */
static void stop_refuses(struct fixture *f, gconstpointer data)
{
	check_history_line(f->check,
			   "{\"id\":\"q1\",\"idempotent\":true,\"caller\":\"127.9.1.200\","
			   "\"planned_us\":5000000,\"sent_us\":5000000,\"end_us\":5001000,"
			   "\"outcome\":\"unknown\",\"entry\":\"a-1\",\"port\":4242}");
	check_fact_line(f->check, "{\"fact\":\"stop\",\"name\":\"a-1\",\"zone\":\"a\","
				  "\"from_us\":4000000,\"to_us\":8000000}");
	check_fact_line(f->check, "{\"fact\":\"refused\",\"name\":\"127.9.1.200:4242\","
				  "\"from_us\":5000500}");
	expect(f, 0, "");
}

static void seen(struct fixture *f, const char *name, unsigned boot, unsigned revision, uint64_t at)
{
	char *line = cs_xasprintf("{\"fact\":\"seen\",\"name\":\"%s\",\"zone\":\"a\",\"boot\":%u,"
				  "\"revision\":%u,\"from_us\":%llu}",
				  name, boot, revision, (unsigned long long)at);

	check_fact_line(f->check, line);
	free(line);
}

static void accepted(struct fixture *f, const char *id, unsigned revision, uint64_t at)
{
	char *line = cs_xasprintf("{\"fact\":\"accepted\",\"name\":\"%s\",\"revision\":%u,"
				  "\"from_us\":%llu}",
				  id, revision, (unsigned long long)at);

	check_fact_line(f->check, line);
	free(line);
}

static void config_sound(struct fixture *f, gconstpointer data)
{
	accepted(f, "c-1", 2, S(1));
	seen(f, "a-1/proxyd", 1, 1, S(2));
	seen(f, "a-1/proxyd", 1, 2, S(3));
	/* A new process starts without a configuration. */
	seen(f, "a-1/proxyd", 2, 0, S(4));
	seen(f, "a-1/proxyd", 2, 2, S(6));
	check_fact_line(f->check, "{\"fact\":\"final\",\"name\":\"c-1\"}");
	expect(f, 0, "");
}

static void config_reverts(struct fixture *f, gconstpointer data)
{
	seen(f, "a-1/proxyd", 1, 2, S(3));
	seen(f, "a-1/proxyd", 1, 1, S(4));
	expect(f, 1, "config");
}

static void config_late(struct fixture *f, gconstpointer data)
{
	accepted(f, "c-1", 2, S(1));
	seen(f, "a-1/proxyd", 1, 1, S(6));
	expect(f, 1, "config");
}

static void config_lost(struct fixture *f, gconstpointer data)
{
	accepted(f, "c-1", 2, S(1));
	check_fact_line(f->check, "{\"fact\":\"final\",\"name\":\"c-2\"}");
	expect(f, 1, "config");
}

static void config_two_winners(struct fixture *f, gconstpointer data)
{
	accepted(f, "c-1", 2, S(1));
	accepted(f, "c-2", 2, S(1));
	expect(f, 1, "config");
}

/* A truncated record may hide a violation, so it is one. */
static void malformed(struct fixture *f, gconstpointer data)
{
	check_history_line(f->check, "{\"id\":\"q1\",\"cla");
	check_run_line(f->check, "{}");
	expect(f, 1, "input");
}

int main(int argc, char **argv)
{
	static const struct {
		const char *name;
		void (*test)(struct fixture *f, gconstpointer data);
	} tests[] = {
		{"sound", sound},
		{"answers/wrong-body", wrong_body},
		{"answers/without-run", answer_without_run},
		{"answers/other-upload", other_upload},
		{"answers/twice", answered_twice},
		{"not-run/ran", false_refusal},
		{"once/answered", ran_twice},
		{"once/unanswered", ran_twice_unanswered},
		{"overload/over-slots", over_slots},
		{"overload/grace", over_slots_briefly},
		{"leaving/new-work", leaving_gets_work},
		{"leaving/returns", leaving_returns},
		{"cap/ramp", drain_in_time},
		{"cap/jump", drain_over_cap},
		{"cap/failover", failover_is_no_shift},
		{"cap/return", return_is_no_shift},
		{"cap/other-excuse", other_excuse},
		{"cap/late", drain_late},
		{"stop/cut", stop_cuts},
		{"stop/refused", stop_refuses},
		{"stop/beside-cut", stop_beside_cut},
		{"config/sound", config_sound},
		{"config/reverts", config_reverts},
		{"config/late", config_late},
		{"config/lost", config_lost},
		{"config/two-winners", config_two_winners},
		{"input/malformed", malformed},
	};
	char path[64];
	size_t i;

	g_test_init(&argc, &argv, NULL);
	for (i = 0; i < G_N_ELEMENTS(tests); i++) {
		snprintf(path, sizeof(path), "/check/%s", tests[i].name);
		g_test_add(path, struct fixture, NULL, setup, tests[i].test, teardown);
	}
	return g_test_run();
}
